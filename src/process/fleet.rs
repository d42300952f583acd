//! What a process knows of the others: heartbeats, and what they allow it to do.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::process::VmRef;
use crate::process::placement::Demand;
use crate::{ModelName, Offset, UpstreamName};

/// Silence after which a process counts as dead for duties, never for safety.
pub const DEAD_AFTER: Duration = Duration::from_millis(2500);

/// Age of the last confirmed tail of the log up to which a configuration counts as in force.
pub const FRESH_FOR: Duration = Duration::from_secs(4);

const GOSSIP_ALL: usize = 16; // fleets up to this size send heartbeats to all
const GOSSIP_TARGETS: usize = 4;
const GOSSIP_RELAYED: usize = 8; // heartbeats of others in each message

/// Requests of one process that an upstream runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Requests.
    pub running: u32,
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

/// The other processes as heard of.
#[derive(Debug, Default)]
pub struct Fleet {
    peers: BTreeMap<VmRef, Peer>,
}

impl Fleet {
    /// Takes in a heartbeat; older and doubled ones are ignored.
    pub fn hear(&mut self, beat: Heartbeat, now: Duration) -> bool {
        let known = self.peers.get(&beat.vm);
        if known.is_some_and(|peer| peer.beat.count >= beat.count) {
            return false;
        }
        self.peers.insert(beat.vm.clone(), Peer { beat, heard: now });
        true
    }

    /// Forgets processes that `keep` does not hold.
    pub fn retain(&mut self, keep: impl Fn(&VmRef) -> bool) {
        self.peers.retain(|vm, _| keep(vm));
    }

    /// Whether `vm` was heard of lately.
    pub fn alive(&self, vm: &VmRef, now: Duration) -> bool {
        self.peers.get(vm).is_some_and(|peer| now.saturating_sub(peer.heard) < DEAD_AFTER)
    }

    /// The heartbeats of all processes that were heard of lately.
    pub fn living(&self, now: Duration) -> impl Iterator<Item = &Heartbeat> {
        let lately = move |peer: &&Peer| now.saturating_sub(peer.heard) < DEAD_AFTER;
        self.peers.values().filter(lately).map(|peer| &peer.beat)
    }

    /// The process in charge of `duty`, among `me` and those that are heard of and not leaving.
    /// Two processes may take themselves for it at once; what it does must be safe all the same.
    pub fn in_charge(&self, duty: &str, me: &VmRef, now: Duration) -> VmRef {
        let others = self.living(now).filter(|beat| !beat.draining).map(|beat| &beat.vm);
        let all = others.chain([me]);
        let weight = |vm: &&VmRef| xxh3_64(format!("{duty}\0{vm}").as_bytes());
        all.max_by_key(weight).unwrap_or(me).clone()
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
        if members.len() <= GOSSIP_ALL {
            return (members.to_vec(), Vec::new());
        }
        let targets = (0..GOSSIP_TARGETS).map(|_| members[random(members.len())].clone());
        let mut living: Vec<&Peer> = self.peers.values().collect();
        living.retain(|peer| now.saturating_sub(peer.heard) < DEAD_AFTER);
        living.sort_by_key(|peer| std::cmp::Reverse(peer.heard));
        let relayed = living.into_iter().take(GOSSIP_RELAYED).map(|peer| peer.beat.clone());
        (targets.collect(), relayed.collect())
    }
}
