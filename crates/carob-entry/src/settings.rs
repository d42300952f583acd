//! The settings file of the entry process.

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use carobglade::{DataCentre, VmName};
use eyre::{Context, Result, bail};
use serde::{Deserialize, Serialize};

/// Settings of the entry process, as read from a JSON file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of the vm, unique among all vms that ever run.
    pub vm: String,
    /// Data centre of the vm.
    pub data_centre: String,
    /// Addresses that the process listens on.
    pub listen: ListenAddresses,
    /// Address of the platform's log.
    #[serde(rename = "log")]
    pub log_address: SocketAddr,
    /// Address of the platform's list of vms; absent if there is no list.
    #[serde(rename = "list")]
    pub platform_list: Option<SocketAddr>,
    /// Addresses of peers that provide snapshots of the state while the log is unavailable.
    #[serde(rename = "peers")]
    pub bootstrap_peers: Vec<SocketAddr>,
    /// Certificates for the connections between vms.
    pub tls: TlsFiles,
    /// Size and concurrency limits.
    pub limits: Limits,
    /// Timeouts and intervals in milliseconds.
    pub times: Times,
    /// Limits of the weight store, which the planner respects.
    pub store: StoreLimits,
    /// Format of log lines: `text` or `json`.
    #[serde(rename = "format")]
    pub log_format: String,
}

/// Addresses that the process listens on.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListenAddresses {
    /// Address for callers, over TCP.
    pub callers: SocketAddr,
    /// Address for operators and metrics, over TCP.
    pub admin: SocketAddr,
    /// Address for other vms, over UDP.
    pub peers: SocketAddr,
}

/// Paths of PEM files.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TlsFiles {
    /// Certificate of the authority that signs the vms' certificates.
    pub ca: String,
    /// Certificate of this vm.
    pub cert: String,
    /// Private key of this vm.
    pub key: String,
}

/// Size and concurrency limits.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    #[serde(rename = "body")]
    pub body_bytes: usize,
    /// Maximum bytes of the bodies of all requests together.
    #[serde(rename = "bodies")]
    pub total_bodies: usize,
    /// Maximum size of the names and values of a request's headers, in bytes.
    #[serde(rename = "headers")]
    pub header_bytes: usize,
    /// Largest response body, in bytes, that is stored for replay when a call that may run only
    /// once is sent again.
    #[serde(rename = "outcome")]
    pub outcome_bytes: usize,
    /// Maximum requests in flight on one upstream, from all vms together.
    #[serde(rename = "upstream")]
    pub upstream_requests: u32,
    /// Maximum requests queued in this process.
    #[serde(rename = "waiting")]
    pub queued_requests: usize,
    /// Threads that serve callers.
    pub threads: usize,
    /// Log entries between two snapshots; at most half of the entries that the log retains.
    #[serde(rename = "snapshot")]
    pub snapshot_entries: u64,
}

/// Timeouts and intervals in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Times {
    /// Timeout for receiving the body of a request.
    #[serde(rename = "body")]
    pub body_timeout: u64,
    /// Longest time to the first byte from an upstream, and to each chunk from a plain service, after
    /// which the upstream counts as silent.
    #[serde(rename = "first")]
    pub first_byte: u64,
    /// Time between two chunks from a model engine after which it counts as silent.
    #[serde(rename = "between")]
    pub between_chunks: u64,
    /// Time for which a silent upstream is waited for, if no other one answers meanwhile.
    #[serde(rename = "silence")]
    pub max_silence: u64,
    /// Timeout for a caller that stops reading its response.
    #[serde(rename = "caller")]
    pub caller_stall: u64,
    /// Timeout for reading an appended claim back from the log.
    #[serde(rename = "claim")]
    pub claim_wait: u64,
    /// Minimum time between two appends of this process to one stream.
    #[serde(rename = "append")]
    pub append_interval: u64,
    /// Time between two heartbeats; doubled in a large fleet.
    #[serde(rename = "heartbeat")]
    pub heartbeat_interval: u64,
    /// Time from reporting not ready until new requests are refused, so that the load balancer
    /// notices first.
    #[serde(rename = "notice")]
    pub drain_notice: u64,
    /// Maximum duration of a drain.
    #[serde(rename = "drain")]
    pub max_drain: u64,
}

/// Limits of the weight store.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreLimits {
    /// Maximum concurrent loads of model weights.
    #[serde(rename = "loads")]
    pub model_loads: usize,
    /// Maximum concurrent loads of adapters.
    #[serde(rename = "adapters")]
    pub adapter_loads: usize,
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            vm: "vm-1".into(),
            data_centre: "local".into(),
            listen: ListenAddresses::default(),
            log_address: loopback(7000),
            platform_list: None,
            bootstrap_peers: Vec::new(),
            tls: TlsFiles::default(),
            limits: Limits::default(),
            times: Times::default(),
            store: StoreLimits::default(),
            log_format: "text".into(),
        }
    }
}

impl Default for ListenAddresses {
    fn default() -> Self {
        ListenAddresses { callers: loopback(8080), admin: loopback(8081), peers: loopback(8082) }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            body_bytes: 1 << 20,
            total_bodies: 32 << 20,
            header_bytes: 16 << 10,
            outcome_bytes: 4096,
            upstream_requests: 32,
            queued_requests: 1000,
            threads: 2,
            snapshot_entries: 5_000,
        }
    }
}

impl Default for Times {
    fn default() -> Self {
        Times {
            body_timeout: 5_000,
            first_byte: 10_000,
            between_chunks: 3_000,
            max_silence: 60_000,
            caller_stall: 10_000,
            claim_wait: 3_000,
            append_interval: 10,
            heartbeat_interval: 500,
            drain_notice: 1_000,
            max_drain: 600_000,
        }
    }
}

impl Default for StoreLimits {
    fn default() -> Self {
        StoreLimits { model_loads: 2, adapter_loads: 16 }
    }
}

impl Settings {
    /// Reads the settings from a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, has an unknown field, or a field has a value of the wrong
    /// type.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("settings file {}", path.display()))?;
        serde_json::from_str(&text).wrap_err_with(|| format!("settings file {}", path.display()))
    }

    /// Checks the values and their ranges.
    ///
    /// # Errors
    ///
    /// Fails with every problem found, each with its JSON path and value.
    pub fn check(&self) -> Result<()> {
        let mut problems = Vec::new();
        if let Err(err) = VmName::from_str(&self.vm) {
            problems.push(format!("$.vm: {}", err.message()));
        }
        if let Err(err) = DataCentre::from_str(&self.data_centre) {
            problems.push(format!("$.data_centre: {}", err.message()));
        }
        if !["text", "json"].contains(&self.log_format.as_str()) {
            problems.push(format!("$.format: {:?} must be \"text\" or \"json\"", self.log_format));
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

    /// Returns the JSON path, value, minimum and maximum of each number.
    fn ranges(&self) -> Vec<(&'static str, u64, u64, u64)> {
        let (limits, times) = (&self.limits, &self.times);
        vec![
            ("$.limits.body", limits.body_bytes as u64, 1024, 64 << 20),
            ("$.limits.bodies", limits.total_bodies as u64, 2 * limits.body_bytes as u64, 16 << 30),
            ("$.limits.headers", limits.header_bytes as u64, 1024, 32 << 10),
            ("$.limits.outcome", limits.outcome_bytes as u64, 0, 65_536),
            ("$.limits.upstream", u64::from(limits.upstream_requests), 1, 4096),
            ("$.limits.waiting", limits.queued_requests as u64, 1, 100_000),
            ("$.limits.threads", limits.threads as u64, 1, 64),
            ("$.limits.snapshot", limits.snapshot_entries, 10, 1_000_000),
            ("$.times.body", times.body_timeout, 100, 600_000),
            ("$.times.first", times.first_byte, 100, 600_000),
            ("$.times.between", times.between_chunks, 100, 600_000),
            ("$.times.silence", times.max_silence, 100, 3_600_000),
            ("$.times.caller", times.caller_stall, 100, 600_000),
            ("$.times.claim", times.claim_wait, 100, 60_000),
            ("$.times.append", times.append_interval, 1, 5_000),
            ("$.times.heartbeat", times.heartbeat_interval, 50, 1_000),
            ("$.times.notice", times.drain_notice, 0, 60_000),
            ("$.times.drain", times.max_drain, 0, 3_600_000),
            ("$.store.loads", self.store.model_loads as u64, 1, 1000),
            ("$.store.adapters", self.store.adapter_loads as u64, 1, 10_000),
        ]
    }
}

/// Converts a time of the settings, in milliseconds, to a duration.
pub fn millis(time: u64) -> Duration {
    Duration::from_millis(time)
}
