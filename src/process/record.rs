//! Records of the platform log.

use std::collections::BTreeMap;
use std::fmt::{self, Display};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::version::Change;
use crate::{
    ByteSize, DataCentre, Incarnation, ModelName, Offset, TenantName, UpstreamName, VmName,
};

/// Entry of a log stream, holding the records of one append.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position of the entry in the stream.
    pub offset: Offset,
    /// Time of the append on the log's clock, in milliseconds.
    #[serde(rename = "time")]
    pub time_ms: u64,
    /// Unique id chosen by the appender.
    pub id: String,
    /// Records of the append, in order.
    pub records: Vec<Record>,
}

/// One incarnation of the process on a vm.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VmRef {
    /// Name of the vm.
    pub vm: VmName,
    /// Number of the incarnation.
    pub incarnation: Incarnation,
}

impl Display for VmRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.vm, self.incarnation)
    }
}

/// Hash of a request's method, path and body.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint of a request.
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let head = format!("{method} {path}\n");
        Fingerprint(xxh3_64(&[head.as_bytes(), body].concat()))
    }
}

impl Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Record of the platform log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// Changes the configuration.
    #[serde(rename = "config")]
    ConfigChange(ConfigChange),
    /// A process joins the fleet.
    Join(Join),
    /// A process leaves and its incarnation does not return.
    Leave(VmRef),
    /// A process renews the lease of its slots.
    Renew(VmRef),
    /// An operator declares that a process is gone.
    #[serde(rename = "gone")]
    ForceLeave(VmRef),
    /// A process acquires slots.
    #[serde(rename = "slot_take")]
    SlotAcquire(SlotChange),
    /// A process releases slots.
    #[serde(rename = "slot_give")]
    SlotRelease(SlotChange),
    /// An order to an upstream is about to be sent.
    #[serde(rename = "intent")]
    OrderIntent(OrderIntent),
    /// An order has taken effect or can no longer do so.
    #[serde(rename = "resolve")]
    OrderResolution(OrderResolution),
    /// An upstream has restarted with a new incarnation.
    #[serde(rename = "restarted")]
    UpstreamRestart(UpstreamRestart),
    /// Requests were in flight on an upstream that crashed.
    Suspicion(Suspicion),
    /// A suspected request completed successfully.
    #[serde(rename = "cleared")]
    SuspicionCleared(Fingerprint),
    /// Claims an idempotency key.
    Claim(Claim),
    /// Records the outcome of a claimed request.
    #[serde(rename = "done")]
    ClaimOutcome(ClaimOutcome),
    /// Releases a claim whose request was never sent.
    #[serde(rename = "release")]
    ClaimRelease(ClaimRef),
    /// Holds the state up to an offset.
    Snapshot(Snapshot),
}

/// Configuration change, which is rejected unless `base` is the current version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Version on which the change is based.
    pub base: Offset,
    /// Changes, applied in order.
    pub changes: Vec<Change>,
}

/// Record of a process that joins the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Join {
    /// Process and its incarnation.
    pub vm: VmRef,
    /// Data centre in which the process runs.
    pub data_centre: DataCentre,
    /// Address on which the process accepts peers.
    pub peer: SocketAddr,
    /// Address on which the process accepts operators.
    pub admin: SocketAddr,
}

/// Slots that a process acquires or releases.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotChange {
    /// Process and its incarnation.
    pub vm: VmRef,
    /// Numbers of the slots.
    pub slots: Vec<u16>,
    /// Unspent tokens of each tenant in released slots; empty when slots are acquired.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub levels: BTreeMap<TenantName, u64>,
}

/// Kind of an order to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Loads a model or adapter.
    Load,
    /// Evicts a model or adapter.
    Evict,
}

/// Intent to send an order, appended to the log before the order is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderIntent {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Incarnation that the upstream last reported.
    pub incarnation: Incarnation,
    /// Kind of the order.
    pub kind: OrderKind,
    /// Model or adapter to load or evict.
    pub model: ModelName,
    /// Accelerator memory that the model needs.
    pub size: ByteSize,
}

/// Record that an order has taken effect or can no longer do so.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderResolution {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Incarnation of the upstream to which the order was sent.
    pub incarnation: Incarnation,
    /// Offset of the intent, which is also the fencing token of the order.
    pub order: Offset,
}

/// Record of an upstream that restarted with a new incarnation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRestart {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// New incarnation of the upstream.
    pub incarnation: Incarnation,
}

/// Record of the requests that were in flight on an upstream when it crashed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Suspicion {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Incarnation of the upstream that crashed.
    pub incarnation: Incarnation,
    /// Fingerprints of the requests in flight.
    pub requests: Vec<Fingerprint>,
}

/// Identity of a claim: tenant, idempotency key and attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimRef {
    /// Tenant that owns the key.
    pub tenant: TenantName,
    /// Idempotency key.
    pub key: String,
    /// Unique id of the attempt.
    pub attempt: String,
}

/// Claim on an idempotency key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Tenant, key and attempt.
    pub claim: ClaimRef,
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Process that makes the claim.
    pub vm: VmRef,
}

/// Recorded outcome of a claimed request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimOutcome {
    /// Tenant, key and attempt.
    pub claim: ClaimRef,
    /// Outcome of the request.
    pub outcome: RequestOutcome,
}

/// Outcome of a claimed request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The request ran, and its response is recorded.
    Answered {
        /// HTTP status of the response.
        status: u16,
        /// Content type of the response.
        #[serde(rename = "content")]
        content_type: String,
        /// Body of the response, in base64.
        body: String,
    },
    /// The request ran, but its response was too long to keep or has expired.
    Ran,
    /// The request may or may not have run.
    Unknown,
}

/// Serialised state up to and including an offset.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last offset that the state covers.
    #[serde(rename = "upto")]
    pub last_offset: Offset,
    /// State and the hashes of recent entry ids, as JSON.
    pub state: serde_json::Value,
}
