//! Maximum of recent values.

use std::time::Duration;

/// Time in which a maximum falls to about a third if no value reaches it.
const DECAY_TIME: Duration = Duration::from_secs(30);

/// Maximum of recent values, which decays exponentially.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RecentMaximum {
    value: f64,
    updated_at: Duration,
}

impl RecentMaximum {
    /// Returns the maximum at `now`.
    pub fn value_at(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.value * (-passed / DECAY_TIME.as_secs_f64()).exp()
    }

    /// Records a value and returns the maximum.
    pub fn record(&mut self, value: f64, now: Duration) -> f64 {
        self.value = self.value_at(now).max(value);
        self.updated_at = now;
        self.value
    }
}
