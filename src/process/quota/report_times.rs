//! When each peer last reported, and which peers are silent.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::VmName;

/// A peer that fell silent or is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum PeerChange {
    /// The peer has sent no report for the silence timeout.
    Silent(VmName),
    /// The peer has sent no report for the time after which it counts as gone.
    Gone(VmName),
}

#[derive(Clone, Copy, Debug)]
struct ReportTime {
    at: Duration,
    silent: bool,
}

/// Times of the peers' last reports.
#[derive(Clone, Debug)]
pub(super) struct ReportTimes {
    silence_timeout: Duration,
    gone_timeout: Duration,
    peers: BTreeMap<VmName, ReportTime>,
    /// No peer falls silent or is gone before this time, so that most calls need no walk over them.
    next_change: Duration,
}

impl ReportTimes {
    /// Creates the times of a fleet without peers.
    pub(super) fn new(silence_timeout: Duration, gone_timeout: Duration) -> Self {
        let (peers, next_change) = (BTreeMap::new(), Duration::MAX);
        ReportTimes { silence_timeout, gone_timeout, peers, next_change }
    }

    /// Returns the number of peers that are not gone.
    pub(super) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns the age of the oldest of the peers' last reports; zero without peers.
    pub(super) fn oldest_age(&self, now: Duration) -> Duration {
        let oldest = self.peers.values().map(|time| time.at).min();
        oldest.map_or(Duration::ZERO, |at| now.saturating_sub(at))
    }

    /// Records a report, and returns whether the peer was silent before.
    pub(super) fn record(&mut self, vm: &VmName, now: Duration) -> bool {
        let time = ReportTime { at: now, silent: false };
        self.next_change = self.next_change.min(self.change_time(time));
        if let Some(last) = self.peers.get_mut(vm) {
            return std::mem::replace(last, time).silent;
        }
        self.peers.insert(vm.clone(), time);
        false
    }

    /// Returns the changes since the last call.
    pub(super) fn changes(&mut self, now: Duration) -> Vec<PeerChange> {
        if now < self.next_change {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for (vm, time) in &mut self.peers {
            let age = now.saturating_sub(time.at);
            if age >= self.gone_timeout {
                changes.push(PeerChange::Gone(vm.clone()));
            } else if age >= self.silence_timeout && !time.silent {
                time.silent = true;
                changes.push(PeerChange::Silent(vm.clone()));
            }
        }
        self.peers.retain(|_, time| now.saturating_sub(time.at) < self.gone_timeout);
        let next = self.peers.values().map(|time| self.change_time(*time)).min();
        self.next_change = next.unwrap_or(Duration::MAX);
        changes
    }

    fn change_time(&self, time: ReportTime) -> Duration {
        let timeout = if time.silent {
            self.gone_timeout
        } else {
            self.silence_timeout.min(self.gone_timeout)
        };
        time.at + timeout
    }
}
