//! Crashes that may come from too many rejections and not from a prompt.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::evidence::UpstreamCrash;

/// Time after a rejection in which a crash may come from too many of them, and its news arrive.
const OVERLOAD_TIME: Duration = Duration::from_secs(4);
/// Weight of a crash that nothing but one prompt explains.
pub(super) const CRASH_WEIGHT: usize = 4;

/// The runs of brittle upstreams that rejected requests, each named by the crash that would end it,
/// and the crashes that are in doubt for it.
#[derive(Clone, Debug, Default)]
pub(super) struct Overloads {
    rejected_at: BTreeMap<UpstreamCrash, Duration>,
    doubtful: BTreeSet<UpstreamCrash>,
}

impl Overloads {
    /// Records that a run rejected a request at `at`; its crash was first heard of at `seen_at`, if
    /// it has crashed. Returns whether that crash is in doubt only now.
    pub fn record_rejection(
        &mut self,
        run: &UpstreamCrash,
        at: Duration,
        seen_at: Option<Duration>,
    ) -> bool {
        let last = self.rejected_at.entry(run.clone()).or_insert(at);
        *last = at.max(*last);
        seen_at.is_some_and(|seen_at| self.record_crash(run, seen_at))
    }

    /// Records that a run ended; returns whether its crash is in doubt only now.
    pub fn record_crash(&mut self, crash: &UpstreamCrash, now: Duration) -> bool {
        self.has_rejected(crash, now) && self.doubtful.insert(crash.clone())
    }

    /// Reports whether a run rejected a request lately.
    pub fn has_rejected(&self, run: &UpstreamCrash, now: Duration) -> bool {
        self.rejected_at.get(run).is_some_and(|at| now <= *at + OVERLOAD_TIME)
    }

    /// Reports whether too many rejections may explain a crash.
    pub fn is_doubtful(&self, crash: &UpstreamCrash) -> bool {
        self.doubtful.contains(crash)
    }

    /// Forgets old rejections, and the crashes for which `is_known` is false.
    pub fn expire(&mut self, now: Duration, is_known: impl Fn(&UpstreamCrash) -> bool) {
        self.rejected_at.retain(|_, at| now <= *at + OVERLOAD_TIME);
        self.doubtful.retain(is_known);
    }
}
