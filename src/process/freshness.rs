//! How old the confirmed knowledge of a process is, and what it may do with it.

use std::time::Duration;

/// Settings of [`Freshness`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessSettings {
    /// Age from which requests with keys are refused, since a key may have been withdrawn.
    pub key_max_age: Duration,
    /// Age from which the process asks for no new callers.
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

/// The last confirmed reading of the configuration.
///
/// A reading is as old as the moment at which its request was *sent*, on a clock that runs on
/// while the vm is suspended: the answer proves nothing about later moments.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    settings: FreshnessSettings,
    confirmed_at: Option<Duration>,
}

impl Freshness {
    /// Nothing confirmed yet.
    pub fn new(settings: FreshnessSettings) -> Self {
        Freshness { settings, confirmed_at: None }
    }

    /// A reading that was asked for at `sent_at` brought everything up to then.
    pub fn confirm(&mut self, sent_at: Duration) {
        self.confirmed_at = Some(self.confirmed_at.unwrap_or(sent_at).max(sent_at));
    }

    /// Age of what is known.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Whether a request with a key may run at `now`.
    pub fn accepts_keys(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < self.settings.key_max_age)
    }

    /// Whether the process should get new callers at `now`.
    pub fn is_ready(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < self.settings.ready_max_age)
    }
}
