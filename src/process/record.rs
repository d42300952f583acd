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

/// One entry of a stream: the records of one append.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the stream.
    pub offset: Offset,
    /// Milliseconds on the log's own clock.
    pub time: u64,
    /// Unique id that the appender gave.
    pub id: String,
    /// The records.
    pub records: Vec<Record>,
}

/// One run of a vm's process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VmRef {
    /// Name of the vm.
    pub vm: VmName,
    /// The run.
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
    /// The fingerprint of a request.
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

/// A record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A change of configuration.
    Config(ConfigChange),
    /// A process joins.
    Join(Join),
    /// A process leaves for good.
    Leave(VmRef),
    /// A process renews the lease of its slots.
    Renew(VmRef),
    /// An operator states that a process is gone.
    Gone(VmRef),
    /// A process takes slots.
    SlotTake(SlotChange),
    /// A process gives slots up.
    SlotGive(SlotChange),
    /// An order to an upstream is about to be sent.
    Intent(Intent),
    /// An order took effect or can no longer take effect.
    Resolve(Resolve),
    /// An upstream runs with a new incarnation.
    Restarted(Restarted),
    /// A request was in flight on an upstream that crashed.
    Suspicion(Suspicion),
    /// A request ended well after a suspicion.
    Cleared(Fingerprint),
    /// A claim on an idempotency key.
    Claim(Claim),
    /// The end of a claimed request.
    Done(ClaimDone),
    /// A claim is given up; nothing was sent.
    Release(ClaimRef),
    /// The state up to an offset.
    Snapshot(Snapshot),
}

/// A change of configuration, valid only when `base` is the version in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// The version that the change is based on.
    pub base: Offset,
    /// The changes.
    pub changes: Vec<Change>,
}

/// A process joins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Join {
    /// The process.
    pub vm: VmRef,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
}

/// Slots taken or given up.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotChange {
    /// The process.
    pub vm: VmRef,
    /// The slots.
    pub slots: Vec<u16>,
    /// Unspent tokens of each tenant in these slots, when given up.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub levels: BTreeMap<TenantName, u64>,
}

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IntentKind {
    /// Loads a model or adapter.
    Load,
    /// Evicts a model or adapter.
    Evict,
}

/// The intent of an order, appended before the order is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Intent {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The upstream's incarnation as reported.
    pub incarnation: Incarnation,
    /// What the order does.
    pub kind: IntentKind,
    /// The model.
    pub model: ModelName,
    /// Its size.
    pub size: ByteSize,
}

/// The end of an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Resolve {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The upstream's incarnation.
    pub incarnation: Incarnation,
    /// The intent's offset, which is the order's fencing number.
    pub order: Offset,
}

/// An upstream runs with a new incarnation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Restarted {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// A request was in flight on an upstream that crashed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The incarnation that crashed.
    pub incarnation: Incarnation,
    /// The requests that were in flight.
    pub requests: Vec<Fingerprint>,
}

/// A claim by its tenant, key and attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimRef {
    /// The tenant.
    pub tenant: TenantName,
    /// The idempotency key.
    pub key: String,
    /// Unique id of the attempt.
    pub attempt: String,
}

/// A claim on an idempotency key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Tenant, key and attempt.
    pub claim: ClaimRef,
    /// The request.
    pub request: Fingerprint,
    /// The process that claims.
    pub vm: VmRef,
}

/// The recorded end of a claimed request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimDone {
    /// Tenant, key and attempt.
    pub claim: ClaimRef,
    /// The end.
    pub outcome: Outcome,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran, with this answer.
    Answered {
        /// Status of the answer.
        status: u16,
        /// Its content type.
        content: String,
        /// Its body in base64.
        body: String,
    },
    /// It ran; the answer is too long to keep.
    Ran,
    /// It may have run.
    Unknown,
}

/// The state up to and including an offset.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last offset that the state covers.
    pub upto: Offset,
    /// The state.
    pub state: serde_json::Value,
}
