//! Age of the confirmed configuration, and what a process may do at that age.

use std::time::Duration;

/// Settings of [`Freshness`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessSettings {
    /// Age from which requests with keys are refused, since a key may have been revoked.
    pub key_max_age: Duration,
    /// Age from which the process reports itself as not ready for new callers.
    pub ready_max_age: Duration,
}

impl Default for FreshnessSettings {
    fn default() -> Self {
        FreshnessSettings {
            key_max_age: Duration::from_millis(4300),
            ready_max_age: Duration::from_millis(2800),
        }
    }
}

/// Time of the last confirmed read of the configuration.
///
/// A read is as old as the moment at which its request was *sent*, on a clock that runs on while
/// the vm is suspended: the response proves nothing about later moments.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    settings: FreshnessSettings,
    confirmed_at: Option<Duration>,
}

impl Freshness {
    /// Creates the state before the first confirmed read.
    pub fn new(settings: FreshnessSettings) -> Self {
        Freshness { settings, confirmed_at: None }
    }

    /// Records a complete read whose request was sent at `sent_at`.
    pub fn record_read(&mut self, sent_at: Duration) {
        self.confirmed_at = Some(self.confirmed_at.unwrap_or(sent_at).max(sent_at));
    }

    /// Returns the age of the configuration; none before the first confirmed read.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Reports whether requests with keys may run at `now`.
    pub fn accepts_keys(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < self.settings.key_max_age)
    }

    /// Reports whether the process should get new callers at `now`.
    pub fn is_ready(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < self.settings.ready_max_age)
    }
}
