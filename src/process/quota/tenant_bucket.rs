//! A tenant's bucket, as one process keeps it for the whole fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{Incarnation, VmName};

/// A tenant's bucket, as one process keeps it.
#[derive(Clone, Debug, Default)]
pub struct TenantBucket {
    /// Tokens a second; 0 is no limit.
    pub rate: f64,
    /// Tokens that it holds at most.
    pub burst: f64,
    /// Tokens left, of the whole fleet.
    pub level: f64,
    /// Tokens that this process admitted since it started.
    pub total: u64,
    /// Tokens taken since this process last told the others.
    pub unreported: f64,
    /// Tokens a second that the others told lately, as of the time beside it.
    pub peer_flow: (f64, Duration),
    /// Tokens taken since the time beside it, of which the others may not know yet.
    pub recent: (f64, Duration),
    /// What each of the others told.
    pub peers: BTreeMap<VmName, PeerUsage>,
}

/// What another process told.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerUsage {
    /// Its run.
    pub incarnation: Incarnation,
    /// Tokens that it admitted since it started.
    pub total: u64,
    /// Tokens that it is assumed to have admitted since it fell silent.
    pub assumed: f64,
}

/// Time over which what others tell is averaged.
const FLOW_TIME: f64 = 0.5; // seconds, some messages

/// Part of a bucket below which processes that hear late take turns.
const LOW_PART: f64 = 0.5;

impl TenantBucket {
    /// Tokens a second that the others told lately.
    pub fn peer_flow(&self, now: Duration) -> f64 {
        let (rate, at) = self.peer_flow;
        rate * (-now.saturating_sub(at).as_secs_f64() / FLOW_TIME).exp()
    }

    /// Whether this process leaves a bucket that runs low to the others, as they may not know yet
    /// what it took in the last `delay`.
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
        recent && level < self.burst * LOW_PART && taken + tokens > share
    }

    /// This process took tokens.
    pub fn record_taken(&mut self, tokens: f64, delay: Duration, now: Duration) {
        if now.saturating_sub(self.recent.1) >= delay {
            self.recent = (0.0, now);
        }
        self.recent.0 += tokens;
    }

    /// Another process told that it took tokens.
    pub fn record_flow(&mut self, tokens: f64, now: Duration) {
        self.peer_flow = (self.peer_flow(now) + tokens.max(0.0) / FLOW_TIME, now);
    }
}
