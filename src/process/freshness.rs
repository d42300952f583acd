//! How old the confirmed knowledge of a process is, and what it may do with it.

use std::time::Duration;

/// Settings of [`Freshness`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessSettings {
    /// Age from which requests with keys are refused, since a key may have been withdrawn.
    pub refuse: Duration,
    /// Age from which the process asks for no new callers.
    pub unready: Duration,
}

impl Default for FreshnessSettings {
    fn default() -> Self {
        FreshnessSettings {
            refuse: Duration::from_millis(4300),
            unready: Duration::from_millis(2800),
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
    confirmed: Option<Duration>,
}

impl Freshness {
    /// Nothing confirmed yet.
    pub fn new(settings: FreshnessSettings) -> Self {
        Freshness { settings, confirmed: None }
    }

    /// A reading that was asked for at `sent` brought everything up to then.
    pub fn confirm(&mut self, sent: Duration) {
        self.confirmed = Some(self.confirmed.unwrap_or(sent).max(sent));
    }

    /// Age of what is known.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed.map(|at| now.saturating_sub(at))
    }

    /// Whether a request with a key may run at `now`.
    pub fn keys_hold(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < self.settings.refuse)
    }

    /// Whether the process should get new callers at `now`.
    pub fn ready(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < self.settings.unready)
    }
}
