//! Settings of the entry process.

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use carobglade::{DataCentre, VmName};
use eyre::{Context, Result, bail};
use serde::{Deserialize, Serialize};

/// Settings of the entry process, as read from JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of the vm; unique among all vms that ever run.
    pub vm: String,
    /// Data centre of the vm.
    pub data_centre: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Address of the platform's list of vms, if there is one.
    pub list: Option<SocketAddr>,
    /// Peer addresses to ask for the state while the log is out.
    pub peers: Vec<SocketAddr>,
    /// Certificates for the connections between vms.
    pub tls: Tls,
    /// Limits.
    pub limits: Limits,
    /// Times in milliseconds.
    pub times: Times,
    /// The store's limits, for the planner.
    pub store: Store,
    /// Log lines: `text` or `json`.
    pub format: String,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Listen {
    /// For callers, over TCP.
    pub callers: SocketAddr,
    /// For operators and metrics, over TCP.
    pub admin: SocketAddr,
    /// For other vms, over UDP.
    pub peers: SocketAddr,
}

/// Paths of PEM files.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tls {
    /// Certificate of the authority that signs the vms' certificates.
    pub ca: String,
    /// Certificate of this vm.
    pub cert: String,
    /// Private key of this vm.
    pub key: String,
}

/// Limits.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Bytes of a request's body.
    pub body: usize,
    /// Bytes of the names and values of a request's headers.
    pub headers: usize,
    /// Bytes of an answer to a call that may not be repeated which are kept for resends.
    pub outcome: usize,
    /// Requests of all vms that run on one upstream.
    pub upstream: u32,
    /// Requests that wait in this process.
    pub waiting: usize,
    /// Threads that serve callers.
    pub threads: usize,
    /// Log entries between two snapshots; at most half of what the log keeps.
    pub snapshot: u64,
}

/// Times in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Times {
    /// Until a request's body must have arrived.
    pub body: u64,
    /// Silence of an upstream before the first byte.
    pub first: u64,
    /// Silence of an upstream between two chunks.
    pub between: u64,
    /// Silence of a caller that reads an answer.
    pub caller: u64,
    /// Wait for a claim to come back from the log.
    pub claim: u64,
    /// Between two appends of this process to one stream.
    pub append: u64,
    /// Between two heartbeats.
    pub heartbeat: u64,
    /// Between a stop signal and the end of taking new requests, for the balancer to notice.
    pub notice: u64,
    /// Longest drain.
    pub drain: u64,
}

/// The weight store's limits.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Store {
    /// Weights loaded at once.
    pub loads: usize,
    /// Adapters loaded at once.
    pub adapters: usize,
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            vm: "vm-1".into(),
            data_centre: "local".into(),
            listen: Listen::default(),
            log: loopback(7000),
            list: None,
            peers: Vec::new(),
            tls: Tls::default(),
            limits: Limits::default(),
            times: Times::default(),
            store: Store::default(),
            format: "text".into(),
        }
    }
}

impl Default for Listen {
    fn default() -> Self {
        Listen { callers: loopback(8080), admin: loopback(8081), peers: loopback(8082) }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            body: 1 << 20,
            headers: 16 << 10,
            outcome: 4096,
            upstream: 32,
            waiting: 1000,
            threads: 2,
            snapshot: 5_000,
        }
    }
}

impl Default for Times {
    fn default() -> Self {
        Times {
            body: 5_000,
            first: 10_000,
            between: 3_000,
            caller: 10_000,
            claim: 3_000,
            append: 10,
            heartbeat: 500,
            notice: 1_000,
            drain: 600_000,
        }
    }
}

impl Default for Store {
    fn default() -> Self {
        Store { loads: 2, adapters: 16 }
    }
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// When the file cannot be read, has an unknown field, or a field has a bad value.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("settings file {}", path.display()))?;
        serde_json::from_str(&text).wrap_err_with(|| format!("settings file {}", path.display()))
    }

    /// Checks values and ranges.
    ///
    /// # Errors
    ///
    /// Every problem, with the JSON path and the value.
    pub fn check(&self) -> Result<()> {
        let mut problems = Vec::new();
        if let Err(err) = VmName::from_str(&self.vm) {
            problems.push(format!("$.vm: {}", err.message()));
        }
        if let Err(err) = DataCentre::from_str(&self.data_centre) {
            problems.push(format!("$.data_centre: {}", err.message()));
        }
        if !["text", "json"].contains(&self.format.as_str()) {
            problems.push(format!("$.format: {:?} must be \"text\" or \"json\"", self.format));
        }
        for (name, path) in [("ca", &self.tls.ca), ("cert", &self.tls.cert), ("key", &self.tls.key)]
        {
            if path.is_empty() {
                problems.push(format!("$.tls.{name}: \"\" must be the path of a PEM file"));
            }
        }
        for (path, value, low, high) in self.ranges() {
            if !(low..=high).contains(&value) {
                problems.push(format!("{path}: {value} must be from {low} to {high}"));
            }
        }
        if !problems.is_empty() {
            bail!("settings:\n  {}", problems.join("\n  "));
        }
        Ok(())
    }

    fn ranges(&self) -> Vec<(&'static str, u64, u64, u64)> {
        let (limits, times) = (&self.limits, &self.times);
        vec![
            ("$.limits.body", limits.body as u64, 1024, 64 << 20),
            ("$.limits.headers", limits.headers as u64, 1024, 32 << 10),
            ("$.limits.outcome", limits.outcome as u64, 0, 65_536),
            ("$.limits.upstream", u64::from(limits.upstream), 1, 4096),
            ("$.limits.waiting", limits.waiting as u64, 1, 100_000),
            ("$.limits.threads", limits.threads as u64, 1, 64),
            ("$.limits.snapshot", limits.snapshot, 10, 1_000_000),
            ("$.times.body", times.body, 100, 600_000),
            ("$.times.first", times.first, 100, 600_000),
            ("$.times.between", times.between, 100, 600_000),
            ("$.times.caller", times.caller, 100, 600_000),
            ("$.times.claim", times.claim, 100, 60_000),
            ("$.times.append", times.append, 1, 5_000),
            ("$.times.heartbeat", times.heartbeat, 50, 1_000),
            ("$.times.notice", times.notice, 0, 60_000),
            ("$.times.drain", times.drain, 0, 3_600_000),
            ("$.store.loads", self.store.loads as u64, 1, 1000),
            ("$.store.adapters", self.store.adapters as u64, 1, 10_000),
        ]
    }
}

/// A time of the settings as a duration.
pub fn millis(time: u64) -> Duration {
    Duration::from_millis(time)
}
