//! Settings of the process.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use carobglade::HubSettings;
use eyre::{Result, WrapErr, bail};
use serde::{Deserialize, Serialize};

/// Addresses on which the process listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListenAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's question whether the process takes callers.
    pub ready: SocketAddr,
}

/// Ports of the vm that are free for messages between vms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PortRange {
    /// The first.
    pub first: u16,
    /// The last.
    pub last: u16,
}

/// The processor of the vm.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Processor {
    /// Part of a core that the process has.
    pub share: f64,
    /// Speed of a core, 1 is usual.
    pub speed: f64,
}

impl Default for Processor {
    fn default() -> Self {
        Processor { share: 1.0, speed: 1.0 }
    }
}

/// The platform's log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
    /// Shortest time in milliseconds for which it keeps a silent member's duties.
    #[serde(default)]
    pub shortest: u64,
    /// Partitions of a topic.
    #[serde(default = "default_parts")]
    pub parts: u32,
}

fn default_parts() -> u32 {
    1
}

/// What the deployment demands, in milliseconds where nothing else is said.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DeploymentLimits {
    /// From a withdrawn key to its last use.
    pub revoke: u64,
    /// From SIGTERM to SIGKILL, in seconds.
    pub grace: f64,
    /// From the last order of one holder to the first of another.
    pub lease: u64,
    /// Requests sent again, of those that came.
    pub retries: f64,
    /// Requests that may be sent again beside that in a window, over all vms.
    pub spare: f64,
    /// Tokens by which a tenant may go beyond its limit in a window.
    pub tokens: u64,
}

impl Default for DeploymentLimits {
    fn default() -> Self {
        DeploymentLimits {
            revoke: 5000,
            grace: 8.0,
            lease: 3000,
            retries: 0.2,
            spare: 50.0,
            tokens: 0,
        }
    }
}

/// Settings of the process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Name of the vm.
    pub vm: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its address.
    pub ip: IpAddr,
    /// The processor of the vm.
    #[serde(default)]
    pub processor: Processor,
    /// Addresses to listen on.
    pub listen: ListenAddresses,
    /// Ports for messages between vms.
    pub ports: PortRange,
    /// The platform's log.
    pub store: StoreSettings,
    /// Whether the whole system starts for the first time.
    #[serde(default)]
    pub first: bool,
    /// What the deployment demands.
    #[serde(default)]
    pub bounds: DeploymentLimits,
    /// Vms from which on messages go through one vm of each data centre.
    #[serde(default = "default_hub_fleet")]
    pub hub_fleet: usize,
}

fn default_hub_fleet() -> usize {
    HubSettings::default().fleet
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// When the file cannot be read, or a field is missing or has a bad value; the message names
    /// the field.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("settings file {} cannot be read", path.display()))?;
        Self::parse(&text).wrap_err_with(|| format!("settings file {}", path.display()))
    }

    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// As [`read`](Self::read).
    pub fn parse(text: &str) -> Result<Self> {
        let mut json = serde_json::Deserializer::from_str(text);
        let settings: Settings = serde_path_to_error::deserialize(&mut json)?;
        json.end()?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<()> {
        if self.vm.parse::<carobglade::VmName>().is_err() {
            bail!("vm {:?} is not a name", self.vm);
        }
        if self.data_centre.parse::<carobglade::DataCentre>().is_err() {
            bail!("data_centre {:?} is not a name", self.data_centre);
        }
        if self.ports.last <= self.ports.first {
            bail!("ports.last {} must be above ports.first {}", self.ports.last, self.ports.first);
        }
        if self.store.parts == 0 {
            bail!("store.parts 0 must be above 0");
        }
        if self.hub_fleet < 2 {
            bail!("hub_fleet {} must be 2 or more", self.hub_fleet);
        }
        let positive = [
            ("bounds.revoke", self.bounds.revoke as f64),
            ("bounds.grace", self.bounds.grace),
            ("processor.share", self.processor.share),
            ("processor.speed", self.processor.speed),
            ("bounds.lease", self.bounds.lease as f64),
        ];
        for (name, value) in positive {
            if !value.is_finite() || value <= 0.0 {
                bail!("{name} {value} must be above 0");
            }
        }
        let shares = [("bounds.retries", self.bounds.retries), ("bounds.spare", self.bounds.spare)];
        for (name, value) in shares {
            if !value.is_finite() || value < 0.0 {
                bail!("{name} {value} must be 0 or more");
            }
        }
        Ok(())
    }

    /// What the processor does, in hundredths of a usual core.
    pub fn power(&self) -> u32 {
        (self.processor.share * self.processor.speed * 100.0).round() as u32
    }

    /// The address for messages from other vms.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.first)
    }

    /// The address for metrics.
    pub fn metrics_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.last)
    }

    /// Time from SIGTERM until the process must be gone.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.grace)
    }
}
