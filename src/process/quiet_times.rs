//! Upstreams that turned a request away and said for how long they want none.
//!
//! Answers the load of processes that come back to a full upstream at once, and of all that come back
//! at the same moment when it said that it will take requests again.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::UpstreamName;

/// Longest time that is believed; an upstream that lives longer says it again.
const MAX_TIME: Duration = Duration::from_secs(60);
/// Part of the time by which the last processes come back later than the first.
const SPREAD: f64 = 0.2;
/// Longest such delay.
const MAX_SPREAD: Duration = Duration::from_secs(1);

/// Until when each upstream wants no requests.
#[derive(Clone, Debug, Default)]
pub struct QuietTimes {
    until: BTreeMap<UpstreamName, Duration>,
}

impl QuietTimes {
    /// Records that an upstream wants no requests for `time`. Of two times the one that ends later
    /// counts. `spread`, uniformly distributed over processes from 0 to 1, delays the return. Returns
    /// whether it wanted some before.
    pub fn record(
        &mut self,
        upstream: &UpstreamName,
        time: Duration,
        spread: f64,
        now: Duration,
    ) -> bool {
        let time = time.min(MAX_TIME);
        let delay = time.mul_f64(SPREAD * spread.clamp(0.0, 1.0)).min(MAX_SPREAD);
        let was_open = self.left(upstream, now).is_none();
        let until = self.until.entry(upstream.clone()).or_default();
        *until = (*until).max(now + time + delay);
        was_open && !time.is_zero()
    }

    /// Returns the time until an upstream wants requests again; `None` if it wants some now.
    pub fn left(&self, upstream: &UpstreamName, now: Duration) -> Option<Duration> {
        let left = self.until.get(upstream)?.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Forgets an upstream that has started again or is gone.
    pub fn remove(&mut self, upstream: &UpstreamName) {
        self.until.remove(upstream);
    }

    /// Forgets the times that have ended.
    pub fn expire(&mut self, now: Duration) {
        self.until.retain(|_, until| *until > now);
    }
}
