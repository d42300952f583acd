//! Requests that were in flight when their upstreams crashed.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::process::{Fingerprint, Suspicion};

/// Number of crashes after which a request is quarantined, that is, refused.
pub const QUARANTINE_THRESHOLD: usize = 3;

const CRASH_REPORT_MS: u64 = 1500; // how long a crash is reported to other processes
const MAX_REPORTED_CRASHES: usize = 60; // crashes per message
const CRASH_TTL_MS: u64 = 3600 * 1000; // how long a crash counts

/// Crashes during which each request was in flight.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Suspects {
    seen: BTreeMap<Fingerprint, Vec<(String, u64)>>,
    /// Crashes that something else than a request may have caused; each counts half.
    #[serde(skip)]
    doubtful: BTreeSet<String>,
}

impl Suspects {
    /// Returns the number of crashes during which `request` was in flight.
    pub fn crash_count(&self, request: Fingerprint) -> usize {
        self.seen.get(&request).map_or(0, Vec::len)
    }

    /// Reports whether `request` is quarantined.
    pub fn is_quarantined(&self, request: Fingerprint) -> bool {
        let Some(crashes) = self.seen.get(&request) else {
            return false;
        };
        let weight = |crash| if self.doubtful.contains(crash) { 1 } else { 2 };
        crashes.iter().map(|(crash, _)| weight(crash)).sum::<usize>() >= 2 * QUARANTINE_THRESHOLD
    }

    /// Returns the number of suspected requests.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Reports whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    /// Records a crash for each of its requests; repeated reports of a crash count once.
    pub(crate) fn apply_suspicion(&mut self, suspicion: &Suspicion, time: u64) {
        let crash = format!("{}#{}", suspicion.upstream, suspicion.incarnation);
        for request in &suspicion.requests {
            self.record_crash(*request, &crash, time);
        }
    }

    /// Records the crash named `crash` for `request`, at most once; `time` is in milliseconds,
    /// in Unix time or on the log's clock, alike in all calls.
    pub fn record_crash(&mut self, request: Fingerprint, crash: &str, time: u64) {
        let crashes = self.seen.entry(request).or_default();
        if !crashes.iter().any(|(known, _)| *known == crash) {
            crashes.push((crash.to_owned(), time));
        }
    }

    /// Records that something else than a request may have caused the crash named `crash`.
    pub fn record_doubt(&mut self, crash: &str) {
        self.doubtful.insert(crash.to_owned());
    }

    /// Returns the latest crashes, for reports to other processes.
    pub fn recent_crashes(&self, time: u64) -> Vec<(Fingerprint, String)> {
        let all = self.seen.iter().flat_map(|(request, crashes)| {
            crashes.iter().map(move |(crash, seen)| (*request, crash, *seen))
        });
        let fresh = all.filter(|(_, _, seen)| time.saturating_sub(*seen) < CRASH_REPORT_MS);
        fresh
            .take(MAX_REPORTED_CRASHES)
            .map(|(request, crash, _)| (request, crash.clone()))
            .collect()
    }

    /// Removes a request that completed successfully, unless the request is quarantined.
    pub fn clear(&mut self, request: Fingerprint) {
        if !self.is_quarantined(request) {
            self.seen.remove(&request);
        }
    }

    /// Removes crashes that no longer count at `time`, in milliseconds on the clock that
    /// [`record_crash`](Self::record_crash) was called with.
    pub fn expire(&mut self, time: u64) {
        for crashes in self.seen.values_mut() {
            crashes.retain(|(_, seen)| seen + CRASH_TTL_MS > time);
        }
        self.seen.retain(|_, crashes| !crashes.is_empty());
        let seen = &self.seen;
        let is_seen = |crash: &String| seen.values().flatten().any(|(known, _)| known == crash);
        self.doubtful.retain(is_seen);
    }
}
