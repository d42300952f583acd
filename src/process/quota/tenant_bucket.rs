//! Replica of a tenant's fleet-wide token bucket, as kept by one process.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{Incarnation, VmName};

/// Replica of a tenant's fleet-wide token bucket.
#[derive(Clone, Debug, Default)]
pub struct TenantBucket {
    /// Refill rate in tokens per second; 0 means no limit.
    pub rate: f64,
    /// Capacity in tokens.
    pub burst: f64,
    /// Tokens left for the whole fleet.
    pub level: f64,
    /// Whether the configuration in force does not name the tenant.
    pub withdrawn: bool,
    /// Tokens that this process admitted since it started.
    pub total: u64,
    /// Tokens taken since the last report to the peers.
    pub unreported: f64,
    /// Averaged rate of the peers' reported admissions in tokens per second, and the time at which
    /// the rate was computed.
    pub peer_flow: (f64, Duration),
    /// Tokens taken that the peers may not know of yet, and the time from which they are counted.
    pub recent: (f64, Duration),
    /// Last usage reported by each peer.
    peers: BTreeMap<VmName, PeerUsage>,
    /// Number of the peers that are silent.
    silent: usize,
    /// Tokens that a peer that was silent from the start on would be assumed to have admitted.
    assumed: f64,
}

/// What a process knows of a tenant's bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BucketState {
    /// Refill rate in tokens per second; 0 means no limit.
    pub rate: u64,
    /// Capacity in tokens.
    pub burst: u64,
    /// Tokens left for the whole fleet.
    pub level: i64,
    /// Number of peers that are assumed to use their shares, since they do not report.
    pub silent: usize,
    /// Age of the oldest of the peers' last reports.
    pub age: Duration,
}

/// Usage reported by a peer.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerUsage {
    /// Incarnation of the peer.
    pub incarnation: Incarnation,
    /// Tokens that the peer admitted since it started.
    pub total: u64,
    /// Tokens that the peer is assumed to have admitted while it was silent.
    pub assumed: f64,
    /// What the bucket assumed when the peer fell silent; `None` while it reports.
    pub silent_from: Option<f64>,
}

/// Time constant in seconds of the averaged peer rate, which spans several reports.
const PEER_FLOW_SECONDS: f64 = 0.5;

/// Fraction of the burst below which processes that receive reports late limit themselves to their
/// share.
const LOW_FRACTION: f64 = 0.5;

impl TenantBucket {
    /// Reports whether the bucket holds as much as a new one, or limits nothing.
    pub fn is_full(&self) -> bool {
        self.rate <= 0.0 || self.level >= self.burst
    }

    /// Returns what is known of the bucket, where the oldest report has an `age`.
    pub fn state(&self, age: Duration) -> BucketState {
        let (rate, burst) = (self.rate as u64, self.burst as u64);
        BucketState { rate, burst, level: self.level as i64, silent: self.silent, age }
    }

    /// Refills the bucket with a `share` of its rate for `passed` seconds, less the even share of a
    /// `fleet` for each silent peer.
    pub fn advance(&mut self, share: f64, passed: f64, fleet: f64) {
        self.level += self.rate * share * passed;
        let part = self.rate / fleet * passed;
        self.assumed += part;
        self.level -= part * self.silent as f64;
        self.level = self.level.min(self.burst);
    }

    /// Assumes from now on that a peer uses its share.
    pub fn set_silent(&mut self, vm: &VmName) {
        if let Some(peer) = self.peers.get_mut(vm).filter(|peer| peer.silent_from.is_none()) {
            peer.silent_from = Some(self.assumed);
            self.silent += 1;
        }
    }

    /// Assumes no further usage of a peer that reports again.
    pub fn set_heard(&mut self, vm: &VmName) {
        if let Some(peer) = self.peers.get_mut(vm)
            && let Some(from) = peer.silent_from.take()
        {
            peer.assumed += self.assumed - from;
            self.silent -= 1;
        }
    }

    /// Forgets a peer that is gone.
    pub fn remove_peer(&mut self, vm: &VmName) {
        self.set_heard(vm);
        self.peers.remove(vm);
    }

    /// Records the total that a peer reports, and returns its usage before.
    pub fn record_total(
        &mut self,
        vm: &VmName,
        incarnation: Incarnation,
        total: u64,
    ) -> Option<PeerUsage> {
        self.set_heard(vm);
        let usage = PeerUsage { incarnation, total, ..PeerUsage::default() };
        if let Some(known) = self.peers.get_mut(vm) {
            return Some(std::mem::replace(known, usage));
        }
        self.peers.insert(vm.clone(), usage);
        None
    }

    /// Returns the averaged rate of the peers' reported admissions at `now`, in tokens per second.
    pub fn peer_flow(&self, now: Duration) -> f64 {
        let (rate, at) = self.peer_flow;
        rate * (-now.saturating_sub(at).as_secs_f64() / PEER_FLOW_SECONDS).exp()
    }

    /// Reports whether this process should leave the rest of a bucket that runs low to the peers,
    /// which may not know yet of the tokens that this process took in the last `delay`.
    pub fn defers_to_peers(
        &self,
        tokens: f64,
        level: f64,
        fleet: f64,
        delay: Duration,
        now: Duration,
    ) -> bool {
        let (taken, since) = self.recent;
        let recent = now.saturating_sub(since) < delay;
        let share = (level + taken) / fleet;
        recent && level < self.burst * LOW_FRACTION && taken + tokens > share
    }

    /// Records tokens taken by this process.
    pub fn record_taken(&mut self, tokens: f64, delay: Duration, now: Duration) {
        if now.saturating_sub(self.recent.1) >= delay {
            self.recent = (0.0, now);
        }
        self.recent.0 += tokens;
    }

    /// Adds tokens reported by a peer to the averaged rate.
    pub fn record_flow(&mut self, tokens: f64, now: Duration) {
        self.peer_flow = (self.peer_flow(now) + tokens.max(0.0) / PEER_FLOW_SECONDS, now);
    }
}
