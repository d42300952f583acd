//! Requests that were in flight on upstreams when these crashed.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::process::{Fingerprint, Suspicion};

/// Crashes after which a request is refused.
pub const QUARANTINE_AFTER: usize = 3;

const RECENT_MS: u64 = 1500; // how long a crash is told other processes
const RECENT_MOST: usize = 60; // crashes in one message
const REMEMBER_MS: u64 = 3600 * 1000; // how long a suspicion counts, on the log's clock

/// Crashes seen with each request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Suspects {
    seen: BTreeMap<Fingerprint, Vec<(String, u64)>>,
}

impl Suspects {
    /// Crashes in which `request` was in flight.
    pub fn crashes(&self, request: Fingerprint) -> usize {
        self.seen.get(&request).map_or(0, Vec::len)
    }

    /// Whether `request` is refused.
    pub fn quarantined(&self, request: Fingerprint) -> bool {
        self.crashes(request) >= QUARANTINE_AFTER
    }

    /// Number of requests under suspicion.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Whether no request is under suspicion.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    /// Counts a crash once for each request, whoever reports it and how often.
    pub(crate) fn add(&mut self, suspicion: &Suspicion, time: u64) {
        let crash = format!("{}#{}", suspicion.upstream, suspicion.incarnation);
        for request in &suspicion.requests {
            self.suspect(*request, &crash, time);
        }
    }

    /// Counts the crash of this name once for `request`; `time` is in Unix milliseconds.
    pub fn suspect(&mut self, request: Fingerprint, crash: &str, time: u64) {
        let crashes = self.seen.entry(request).or_default();
        if !crashes.iter().any(|(known, _)| *known == crash) {
            crashes.push((crash.to_owned(), time));
        }
    }

    /// Crashes of the last seconds, to tell other processes.
    pub fn recent(&self, time: u64) -> Vec<(Fingerprint, String)> {
        let all = self.seen.iter().flat_map(|(request, crashes)| {
            crashes.iter().map(move |(crash, seen)| (*request, crash, *seen))
        });
        let fresh = all.filter(|(_, _, seen)| time.saturating_sub(*seen) < RECENT_MS);
        fresh.take(RECENT_MOST).map(|(request, crash, _)| (request, crash.clone())).collect()
    }

    /// Forgets a request that ended well, unless it is refused already.
    pub(crate) fn clear(&mut self, request: Fingerprint) {
        if !self.quarantined(request) {
            self.seen.remove(&request);
        }
    }

    /// Forgets crashes that are long past.
    pub fn expire(&mut self, time: u64) {
        for crashes in self.seen.values_mut() {
            crashes.retain(|(_, seen)| seen + REMEMBER_MS > time);
        }
        self.seen.retain(|_, crashes| !crashes.is_empty());
    }
}
