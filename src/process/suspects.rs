//! Requests that were in flight on upstreams when these crashed.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::process::{Fingerprint, Suspicion};

/// Crashes after which a request is refused.
pub const QUARANTINE_AFTER: usize = 3;

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
            let crashes = self.seen.entry(*request).or_default();
            if !crashes.iter().any(|(known, _)| *known == crash) {
                crashes.push((crash.clone(), time));
            }
        }
    }

    /// Forgets a request that ended well, unless it is refused already.
    pub(crate) fn clear(&mut self, request: Fingerprint) {
        if !self.quarantined(request) {
            self.seen.remove(&request);
        }
    }

    pub(crate) fn expire(&mut self, time: u64) {
        for crashes in self.seen.values_mut() {
            crashes.retain(|(_, seen)| seen + REMEMBER_MS > time);
        }
        self.seen.retain(|_, crashes| !crashes.is_empty());
    }
}
