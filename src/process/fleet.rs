//! What a process knows of the others: heartbeats, and what they allow it to do.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::process::VmRef;
use crate::process::placement::Demand;
use crate::{ModelName, Offset, UpstreamName};

/// Silence after which a process of a small fleet counts as dead for duties, never for safety.
pub const DEAD_AFTER: Duration = Duration::from_millis(2500);

const DEAD_AFTER_EACH: Duration = Duration::from_millis(70); // more, for each process of a large one

/// Age of the last confirmed tail of the log up to which a configuration counts as in force.
pub const FRESH_FOR: Duration = Duration::from_secs(4);

const RING_POINTS: u64 = 64; // of each process
const GOSSIP_ALL: usize = 16; // fleets up to this size send heartbeats to all
const GOSSIP_TARGETS: usize = 2;
const GOSSIP_RELAYED: usize = 32; // heartbeats of others in each message, without their details

/// Requests of one process that an upstream runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Requests.
    pub running: u32,
}

/// Whether a fleet with this many other processes is large: heartbeats then go to a few only, and
/// what is polled is polled less often.
pub fn is_large(others: usize) -> bool {
    others > GOSSIP_ALL
}

/// What a process tells of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The process.
    pub vm: VmRef,
    /// Counts the heartbeats of the process.
    pub count: u64,
    /// The configuration version in force.
    pub version: Offset,
    /// Milliseconds since the process last confirmed the tail of the log.
    pub log_age: u64,
    /// Milliseconds since the process itself last read the log.
    pub own_age: u64,
    /// Whether it takes no new requests.
    pub draining: bool,
    /// Requests that it runs.
    pub running: u32,
    /// Slots that it holds.
    pub slots: u32,
    /// Demand for each model.
    pub demand: Vec<(ModelName, Demand)>,
    /// Load on each upstream.
    pub loads: Vec<UpstreamLoad>,
    /// Upstreams in its charge that do not answer.
    pub down: Vec<UpstreamName>,
}

impl Heartbeat {
    /// The heartbeat as others pass it on.
    fn without_details(&self) -> Heartbeat {
        let (demand, loads, down) = (Vec::new(), Vec::new(), Vec::new());
        Heartbeat { vm: self.vm.clone(), demand, loads, down, ..*self }
    }
}

#[derive(Clone, Debug)]
struct Peer {
    beat: Heartbeat,
    heard: Duration,
}

/// Whether a process may serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The configuration in force is known.
    Current,
    /// The log is out for most of the fleet; what was in force stays in force.
    Outage,
    /// The process may be cut off; requests with keys are refused.
    Isolated,
}

/// Spreads duties over processes, by consistent hashing.
///
/// Two processes may take themselves for the one in charge at once; what it does must be safe all
/// the same.
#[derive(Clone, Debug)]
pub struct Ring {
    vms: Vec<VmRef>,
    points: Vec<(u64, usize)>,
}

impl Ring {
    /// A ring of `vms`, of which there is at least one.
    pub fn new(vms: Vec<VmRef>) -> Self {
        let mut points = Vec::with_capacity(vms.len() * RING_POINTS as usize);
        for (i, vm) in vms.iter().enumerate() {
            let name = vm.to_string();
            let hashes = (0..RING_POINTS).map(|seed| xxh3_64_with_seed(name.as_bytes(), seed));
            points.extend(hashes.map(|hash| (hash, i)));
        }
        points.sort_unstable();
        Ring { vms, points }
    }

    /// The process in charge of `duty`.
    pub fn owner(&self, duty: &str) -> Option<&VmRef> {
        let hash = xxh3_64(duty.as_bytes());
        let at = self.points.partition_point(|(point, _)| *point < hash);
        let (_, vm) = self.points.get(at).or(self.points.first())?;
        self.vms.get(*vm)
    }
}

/// The other processes as heard of.
#[derive(Debug, Default)]
pub struct Fleet {
    peers: BTreeMap<VmRef, Peer>,
    ring: Option<Arc<Ring>>,
}

impl Fleet {
    /// Takes in a heartbeat; older and doubled ones are ignored. One that another process
    /// `relayed` comes without details, and the last known ones stay.
    pub fn hear(&mut self, beat: Heartbeat, relayed: bool, now: Duration) -> bool {
        let known = self.peers.get(&beat.vm);
        if known.is_some_and(|peer| peer.beat.count >= beat.count) {
            return false;
        }
        let details = known.filter(|_| relayed).map(|peer| peer.beat.clone());
        let mut beat = beat;
        if let Some(old) = details {
            (beat.demand, beat.loads, beat.down) = (old.demand, old.loads, old.down);
        }
        self.peers.insert(beat.vm.clone(), Peer { beat, heard: now });
        true
    }

    /// Forgets processes that `keep` does not hold.
    pub fn retain(&mut self, keep: impl Fn(&VmRef) -> bool) {
        self.peers.retain(|vm, _| keep(vm));
    }

    /// Silence after which a process counts as dead. In a large fleet news of a process takes
    /// longer to come round.
    pub fn dead_after(&self) -> Duration {
        let more = if is_large(self.peers.len()) { self.peers.len() as u32 } else { 0 };
        DEAD_AFTER + DEAD_AFTER_EACH * more
    }

    fn lately(&self, peer: &Peer, now: Duration) -> bool {
        now.saturating_sub(peer.heard) < self.dead_after()
    }

    /// Whether `vm` was heard of lately.
    pub fn alive(&self, vm: &VmRef, now: Duration) -> bool {
        self.peers.get(vm).is_some_and(|peer| self.lately(peer, now))
    }

    /// The heartbeats of all processes that were heard of lately.
    pub fn living(&self, now: Duration) -> impl Iterator<Item = &Heartbeat> {
        let lately = self.peers.values().filter(move |peer| self.lately(peer, now));
        lately.map(|peer| &peer.beat)
    }

    /// The ring of `me` and the processes that are heard of and not leaving.
    pub fn ring(&mut self, me: &VmRef, now: Duration) -> Arc<Ring> {
        let others = self.living(now).filter(|beat| !beat.draining).map(|beat| &beat.vm);
        let vms: Vec<&VmRef> = others.chain([me]).collect();
        match &self.ring {
            Some(ring) if ring.vms.iter().eq(vms.iter().copied()) => Arc::clone(ring),
            _ => {
                let ring = Arc::new(Ring::new(vms.into_iter().cloned().collect()));
                self.ring = Some(Arc::clone(&ring));
                ring
            }
        }
    }

    /// Whether `me` is in charge of `duty`.
    pub fn in_charge(&mut self, duty: &str, me: &VmRef, now: Duration) -> bool {
        self.ring(me, now).owner(duty) == Some(me)
    }

    /// Load that the others put on each upstream.
    pub fn loads(&self, now: Duration) -> BTreeMap<UpstreamName, u32> {
        let mut loads = BTreeMap::new();
        for load in self.living(now).flat_map(|beat| &beat.loads) {
            *loads.entry(load.upstream.clone()).or_insert(0) += load.running;
        }
        loads
    }

    /// Demand of the others for each model.
    pub fn demand(&self, now: Duration) -> BTreeMap<ModelName, Demand> {
        let mut total: BTreeMap<ModelName, Demand> = BTreeMap::new();
        for (model, demand) in self.living(now).flat_map(|beat| &beat.demand) {
            total.entry(model.clone()).or_default().add(demand);
        }
        total
    }

    /// Whether a process whose own last confirmed tail is `age` old may serve. `members` are the
    /// other processes that joined.
    pub fn standing(&self, age: Duration, members: &[VmRef], now: Duration) -> Standing {
        if age <= FRESH_FOR {
            return Standing::Current;
        }
        let mut without = 1;
        for beat in self.living(now).filter(|beat| members.contains(&beat.vm)) {
            if Duration::from_millis(beat.own_age) > FRESH_FOR {
                without += 1;
            }
        }
        let fleet = members.len() + 1;
        if 2 * without > fleet { Standing::Outage } else { Standing::Isolated }
    }

    /// A process that reads the log while this one cannot.
    pub fn reader(&self, now: Duration) -> Option<&VmRef> {
        let fresh = self.living(now).filter(|beat| Duration::from_millis(beat.own_age) < FRESH_FOR);
        fresh.min_by_key(|beat| beat.own_age).map(|beat| &beat.vm)
    }

    /// Whom to send heartbeats to, and the heartbeats of others that go along. Small fleets send
    /// to all; in large ones the cost of a process does not grow with the fleet.
    pub fn gossip(
        &self,
        members: &[VmRef],
        now: Duration,
        mut random: impl FnMut(usize) -> usize,
    ) -> (Vec<VmRef>, Vec<Heartbeat>) {
        if !is_large(members.len()) {
            return (members.to_vec(), Vec::new());
        }
        let targets = (0..GOSSIP_TARGETS).map(|_| members[random(members.len())].clone());
        let targets = targets.collect();
        let living: Vec<&Heartbeat> = self.living(now).collect();
        if living.is_empty() {
            return (targets, Vec::new());
        }
        let relayed = (0..GOSSIP_RELAYED).map(|_| living[random(living.len())].without_details());
        (targets, relayed.collect())
    }
}
