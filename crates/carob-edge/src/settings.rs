//! The settings file of the process.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use carobglade::{HubSelectorSettings, KeepAlivePromise};
use eyre::{Result, WrapErr, bail};
use serde::{Deserialize, Serialize};

/// Longest time from the end of all requests in a stop to the end of the grace period.
const MAX_GRACE_MARGIN: Duration = Duration::from_millis(500);
/// Longest time from the moment when open requests get an error response to the end of all requests.
const MAX_ABORT_MARGIN: Duration = Duration::from_millis(400);
/// Longest interval at which a stop checks for open requests and connections.
const MAX_STOP_INTERVAL: Duration = Duration::from_millis(50);
/// Memory of a process whose settings tell none, in MB.
const DEFAULT_DESCRIPTORS: u64 = 3075; // of the smallest vms
const MIN_DESCRIPTORS: u64 = 200;
const DEFAULT_MEMORY_MB: u64 = 128;
/// Part of the memory that the bodies of requests may take.
const BODIES_PART: u64 = 4;
/// Parts of a short grace period that are used as these times.
const GRACE_MARGIN_PART: u32 = 8;
const ABORT_MARGIN_PART: u32 = 10;
const STOP_INTERVAL_PART: u32 = 50;

/// Addresses that the process listens on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListenAddresses {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for the readiness probe of the load balancer.
    pub ready: SocketAddr,
}

/// Ports that are reserved on each vm: the first for messages from peers, the last for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PortRange {
    /// The lowest port.
    pub first: u16,
    /// The highest port.
    pub last: u16,
}

/// The processor capacity of the vm.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Processor {
    /// Number of cores that the process may use; may be a fraction.
    pub share: f64,
    /// Speed of a core relative to a standard core.
    pub speed: f64,
}

impl Default for Processor {
    fn default() -> Self {
        Processor { share: 1.0, speed: 1.0 }
    }
}

/// Settings of the platform's log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreSettings {
    /// The address of the log.
    pub address: SocketAddr,
    /// Minimum time in milliseconds for which the log keeps the duties of a member that stopped
    /// joining.
    #[serde(default)]
    pub shortest: u64,
    /// Number of partitions of a topic.
    #[serde(default = "default_parts")]
    pub parts: u32,
}

fn default_parts() -> u32 {
    1
}

/// Limits that the deployment sets.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DeploymentLimits {
    /// Maximum time from the withdrawal of a key to its last use, in milliseconds.
    pub revoke: u64,
    /// Time from SIGTERM to SIGKILL, in seconds.
    pub grace: f64,
    /// Time from the last order of one holder of a duty to the first order of the next, in
    /// milliseconds.
    pub lease: u64,
    /// Maximum ratio of retries to requests.
    pub retries: f64,
    /// Retries of all vms in a window that are allowed beyond `retries`.
    pub spare: f64,
    /// Tokens by which a tenant may exceed its limit in a window.
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

/// The settings of the process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// The name of the vm.
    pub vm: String,
    /// The data centre of the vm.
    pub data_centre: String,
    /// The address of the vm for peers and metrics.
    pub ip: IpAddr,
    /// The processor capacity of the vm.
    #[serde(default)]
    pub processor: Processor,
    /// The addresses to listen on.
    pub listen: ListenAddresses,
    /// The ports for messages between vms and for metrics.
    pub ports: PortRange,
    /// The settings of the platform's log.
    pub store: StoreSettings,
    /// Whether the whole system starts for the first time, not just this process.
    #[serde(default)]
    pub first: bool,
    /// The limits that the deployment sets.
    #[serde(default)]
    pub bounds: DeploymentLimits,
    /// Memory that the process may use, in MB; that of the smallest vms if none is given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory: Option<u64>,
    /// Descriptors that the process may open; those of the smallest vms if none are given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub descriptors: Option<u64>,
    /// Fleet size from which messages go through one hub vm in each data centre.
    #[serde(default = "default_hub_fleet")]
    pub hub_fleet: usize,
}

fn default_hub_fleet() -> usize {
    HubSelectorSettings::default().min_fleet
}

impl Settings {
    /// Returns the bytes that the bodies of all requests may take together. A body is copied while it
    /// is sent, and the rest of the process needs memory too.
    pub fn max_bodies_bytes(&self) -> usize {
        let megabytes = self.memory.unwrap_or(DEFAULT_MEMORY_MB);
        (megabytes.saturating_mul(1 << 20) / BODIES_PART) as usize
    }

    /// Returns the most connections of callers that are open at once. The others are for upstreams,
    /// other vms and the log.
    pub fn max_caller_connections(&self) -> usize {
        let descriptors = self.descriptors.unwrap_or(DEFAULT_DESCRIPTORS) as usize;
        descriptors / 5 * 3
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read, and one that names the field when a field is
    /// missing or invalid.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("settings file {} cannot be read", path.display()))?;
        Self::parse(&text).wrap_err_with(|| format!("settings file {}", path.display()))
    }

    /// Parses and checks settings in JSON.
    ///
    /// # Errors
    ///
    /// Returns an error that names the field that is missing or invalid.
    pub fn parse(text: &str) -> Result<Self> {
        let mut json = serde_json::Deserializer::from_str(text);
        let settings: Settings = serde_path_to_error::deserialize(&mut json)?;
        json.end()?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<()> {
        if self.vm.parse::<carobglade::VmName>().is_err() {
            bail!("vm {:?} is not a valid name", self.vm);
        }
        if self.data_centre.parse::<carobglade::DataCentre>().is_err() {
            bail!("data_centre {:?} is not a valid name", self.data_centre);
        }
        if self.ports.last <= self.ports.first {
            bail!("ports.last {} must be above ports.first {}", self.ports.last, self.ports.first);
        }
        if self.store.parts == 0 {
            bail!("store.parts 0 must be above 0");
        }
        if self.descriptors.is_some_and(|descriptors| descriptors < MIN_DESCRIPTORS) {
            bail!("descriptors must be {MIN_DESCRIPTORS} or more");
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
        let non_negative =
            [("bounds.retries", self.bounds.retries), ("bounds.spare", self.bounds.spare)];
        for (name, value) in non_negative {
            if !value.is_finite() || value < 0.0 {
                bail!("{name} {value} must be 0 or more");
            }
        }
        Ok(())
    }

    /// Returns the processor capacity in hundredths of a standard core.
    pub fn cpu_capacity(&self) -> u32 {
        (self.processor.share * self.processor.speed * 100.0).round() as u32
    }

    /// Returns the address for messages from other vms.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.first)
    }

    /// Returns the address of the metrics endpoint.
    pub fn metrics_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.last)
    }

    /// Returns the time from SIGTERM to SIGKILL.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.grace)
    }

    /// Returns the time from SIGTERM until all requests have to end.
    pub fn stop_time(&self) -> Duration {
        let grace = self.grace();
        grace.saturating_sub(MAX_GRACE_MARGIN.min(grace / GRACE_MARGIN_PART))
    }

    /// Returns the time before the end of all requests in a stop when those without a response get an
    /// error response.
    pub fn abort_margin(&self) -> Duration {
        MAX_ABORT_MARGIN.min(self.grace() / ABORT_MARGIN_PART)
    }

    /// Returns the interval at which a stop checks for open requests and connections.
    pub fn stop_interval(&self) -> Duration {
        MAX_STOP_INTERVAL.min(self.grace() / STOP_INTERVAL_PART)
    }

    /// Returns how long callers may use idle connections again.
    pub fn keep_alive_promise(&self) -> KeepAlivePromise {
        KeepAlivePromise::fitting(self.stop_time())
    }
}
