//! View that a process has of its fleet: heartbeats, failure detection and the owners of duties.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::process::VmRef;
use crate::process::placement::Demand;
use crate::{ModelName, Offset, UpstreamName};

/// Time without a heartbeat after which a process of a small fleet counts as dead. Only the
/// assignment of duties relies on this; nothing that must be safe does.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2500);

/// Added to [`HEARTBEAT_TIMEOUT`] for each peer in a large fleet.
const HEARTBEAT_TIMEOUT_PER_PEER: Duration = Duration::from_millis(70);

/// Time since the end of the log was last confirmed within which the configuration counts as
/// current.
pub const MAX_LOG_AGE: Duration = Duration::from_secs(4);

const POINTS_PER_VM: u64 = 64;
const MAX_BROADCAST_PEERS: usize = 16; // up to here, heartbeats go to all peers
const GOSSIP_TARGETS: usize = 2;
const GOSSIP_RELAYED: usize = 32; // heartbeats of others per message, without details

/// Load that one process puts on an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Requests that the upstream runs for the process.
    pub running: u32,
}

/// Reports whether a fleet with this many other processes is large. In a large fleet heartbeats go
/// to a few random peers, and polling is less frequent.
pub fn is_large_fleet(others: usize) -> bool {
    others > MAX_BROADCAST_PEERS
}

/// State that a process announces to its peers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Process and its incarnation.
    pub vm: VmRef,
    /// Sequence number of the heartbeat.
    #[serde(rename = "count")]
    pub sequence: u64,
    /// Current configuration version of the process.
    pub version: Offset,
    /// Milliseconds since the process last confirmed the end of the log, itself or through a peer.
    #[serde(rename = "log_age")]
    pub log_age_ms: u64,
    /// Milliseconds since the process itself last read the log.
    #[serde(rename = "own_age")]
    pub read_age_ms: u64,
    /// Whether the process accepts no new requests.
    pub draining: bool,
    /// Requests in flight on the process.
    pub running: u32,
    /// Rate slots that the process holds.
    pub slots: u32,
    /// Demand that the process sees for each model.
    pub demand: Vec<(ModelName, Demand)>,
    /// Load that the process puts on each upstream.
    pub loads: Vec<UpstreamLoad>,
    /// Unresponsive upstreams among those that the process monitors.
    pub down: Vec<UpstreamName>,
}

impl Heartbeat {
    /// Returns the heartbeat without demand, loads and unresponsive upstreams, for relaying.
    fn without_details(&self) -> Heartbeat {
        let (demand, loads, down) = (Vec::new(), Vec::new(), Vec::new());
        Heartbeat { vm: self.vm.clone(), demand, loads, down, ..*self }
    }
}

#[derive(Clone, Debug)]
struct Peer {
    heartbeat: Heartbeat,
    heard_at: Duration,
}

/// Whether a process may serve requests, by what it knows of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingStatus {
    /// The configuration is known to be current.
    Current,
    /// Most of the fleet cannot read the log; the last known configuration stays in force.
    Outage,
    /// The process may be partitioned from the rest; requests with keys are refused.
    Isolated,
}

/// Assigns duties to processes by consistent hashing.
///
/// Two processes may consider themselves the owner of a duty at the same time, so the work of a
/// duty must be safe when both do it.
#[derive(Clone, Debug)]
pub struct HashRing {
    vms: Vec<VmRef>,
    points: Vec<(u64, usize)>,
}

impl HashRing {
    /// Creates a ring of `vms`.
    pub fn new(vms: Vec<VmRef>) -> Self {
        let mut points = Vec::with_capacity(vms.len() * POINTS_PER_VM as usize);
        for (i, vm) in vms.iter().enumerate() {
            let name = vm.to_string();
            let hashes = (0..POINTS_PER_VM).map(|seed| xxh3_64_with_seed(name.as_bytes(), seed));
            points.extend(hashes.map(|hash| (hash, i)));
        }
        points.sort_unstable();
        HashRing { vms, points }
    }

    /// Returns the process that owns `duty`; `None` if the ring is empty.
    pub fn owner(&self, duty: &str) -> Option<&VmRef> {
        let hash = xxh3_64(duty.as_bytes());
        let at = self.points.partition_point(|(point, _)| *point < hash);
        let (_, vm) = self.points.get(at).or(self.points.first())?;
        self.vms.get(*vm)
    }
}

/// Other processes of the fleet, known from their heartbeats.
#[derive(Debug, Default)]
pub struct Fleet {
    peers: BTreeMap<VmRef, Peer>,
    ring: Option<Arc<HashRing>>,
}

impl Fleet {
    /// Applies a heartbeat and reports whether it was new; outdated and duplicate heartbeats are
    /// ignored. A heartbeat that another process `relayed` has no details, so the last known ones
    /// stay.
    pub fn apply_heartbeat(&mut self, heartbeat: Heartbeat, relayed: bool, now: Duration) -> bool {
        let known = self.peers.get(&heartbeat.vm);
        if known.is_some_and(|peer| peer.heartbeat.sequence >= heartbeat.sequence) {
            return false;
        }
        let details = known.filter(|_| relayed).map(|peer| peer.heartbeat.clone());
        let mut heartbeat = heartbeat;
        if let Some(old) = details {
            (heartbeat.demand, heartbeat.loads, heartbeat.down) = (old.demand, old.loads, old.down);
        }
        self.peers.insert(heartbeat.vm.clone(), Peer { heartbeat, heard_at: now });
        true
    }

    /// Keeps only the processes for which `keep` returns true.
    pub fn retain(&mut self, keep: impl Fn(&VmRef) -> bool) {
        self.peers.retain(|vm, _| keep(vm));
    }

    /// Returns the time without a heartbeat after which a process counts as dead. The time grows
    /// with a large fleet, where heartbeats take longer to spread.
    pub fn heartbeat_timeout(&self) -> Duration {
        let more = if is_large_fleet(self.peers.len()) { self.peers.len() as u32 } else { 0 };
        HEARTBEAT_TIMEOUT + HEARTBEAT_TIMEOUT_PER_PEER * more
    }

    fn heard_recently(&self, peer: &Peer, now: Duration) -> bool {
        now.saturating_sub(peer.heard_at) < self.heartbeat_timeout()
    }

    /// Reports whether `vm` is alive, that is, sent a recent heartbeat.
    pub fn is_alive(&self, vm: &VmRef, now: Duration) -> bool {
        self.peers.get(vm).is_some_and(|peer| self.heard_recently(peer, now))
    }

    /// Returns the last heartbeat of each process that is alive.
    pub fn live_heartbeats(&self, now: Duration) -> impl Iterator<Item = &Heartbeat> {
        let alive = self.peers.values().filter(move |peer| self.heard_recently(peer, now));
        alive.map(|peer| &peer.heartbeat)
    }

    /// Returns the ring of `me` and the live processes that are not draining.
    pub fn ring(&mut self, me: &VmRef, now: Duration) -> Arc<HashRing> {
        let others = self
            .live_heartbeats(now)
            .filter(|heartbeat| !heartbeat.draining)
            .map(|heartbeat| &heartbeat.vm);
        let vms: Vec<&VmRef> = others.chain([me]).collect();
        match &self.ring {
            Some(ring) if ring.vms.iter().eq(vms.iter().copied()) => Arc::clone(ring),
            _ => {
                let ring = Arc::new(HashRing::new(vms.into_iter().cloned().collect()));
                self.ring = Some(Arc::clone(&ring));
                ring
            }
        }
    }

    /// Reports whether `me` owns `duty`.
    pub fn owns_duty(&mut self, duty: &str, me: &VmRef, now: Duration) -> bool {
        self.ring(me, now).owner(duty) == Some(me)
    }

    /// Returns the load that the other live processes put on each upstream.
    pub fn upstream_loads(&self, now: Duration) -> BTreeMap<UpstreamName, u32> {
        let mut loads = BTreeMap::new();
        for load in self.live_heartbeats(now).flat_map(|heartbeat| &heartbeat.loads) {
            *loads.entry(load.upstream.clone()).or_insert(0) += load.running;
        }
        loads
    }

    /// Returns the demand that the other live processes see for each model.
    pub fn model_demand(&self, now: Duration) -> BTreeMap<ModelName, Demand> {
        let mut total: BTreeMap<ModelName, Demand> = BTreeMap::new();
        for (model, demand) in self.live_heartbeats(now).flat_map(|heartbeat| &heartbeat.demand) {
            total.entry(model.clone()).or_default().add(demand);
        }
        total
    }

    /// Returns whether this process may serve, if it last confirmed the end of the log `age` ago.
    /// `members` are the other processes that joined.
    pub fn serving_status(&self, age: Duration, members: &[VmRef], now: Duration) -> ServingStatus {
        if age <= MAX_LOG_AGE {
            return ServingStatus::Current;
        }
        let mut without_log = 1;
        for heartbeat in
            self.live_heartbeats(now).filter(|heartbeat| members.contains(&heartbeat.vm))
        {
            if Duration::from_millis(heartbeat.read_age_ms) > MAX_LOG_AGE {
                without_log += 1;
            }
        }
        let fleet = members.len() + 1;
        if 2 * without_log > fleet { ServingStatus::Outage } else { ServingStatus::Isolated }
    }

    /// Returns the process that read the log most recently, for use while this process cannot read
    /// the log; `None` if no process has read the log recently.
    pub fn freshest_reader(&self, now: Duration) -> Option<&VmRef> {
        let fresh = self
            .live_heartbeats(now)
            .filter(|heartbeat| Duration::from_millis(heartbeat.read_age_ms) < MAX_LOG_AGE);
        fresh.min_by_key(|heartbeat| heartbeat.read_age_ms).map(|heartbeat| &heartbeat.vm)
    }

    /// Returns the peers to send a heartbeat to, and the heartbeats of others to relay to them. A
    /// small fleet sends to all peers; in a large fleet the cost for each process does not grow
    /// with the fleet.
    pub fn gossip(
        &self,
        members: &[VmRef],
        now: Duration,
        mut random: impl FnMut(usize) -> usize,
    ) -> (Vec<VmRef>, Vec<Heartbeat>) {
        if !is_large_fleet(members.len()) {
            return (members.to_vec(), Vec::new());
        }
        let targets = (0..GOSSIP_TARGETS).map(|_| members[random(members.len())].clone());
        let targets = targets.collect();
        let living: Vec<&Heartbeat> = self.live_heartbeats(now).collect();
        if living.is_empty() {
            return (targets, Vec::new());
        }
        let relayed = (0..GOSSIP_RELAYED).map(|_| living[random(living.len())].without_details());
        (targets, relayed.collect())
    }
}
