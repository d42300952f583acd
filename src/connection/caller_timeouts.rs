//! How long a connection of a caller stays open without progress.

use std::time::Duration;

use super::TimeoutHistory;
use crate::version::CallerLimits;

/// Settings of [`CallerTimeouts`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerTimeoutsSettings {
    /// Shortest time for which an idle connection stays open, as callers were told.
    pub min_idle: Duration,
    /// Time in which a configuration that callers may know comes into force here.
    pub config_delay: Duration,
}

impl Default for CallerTimeoutsSettings {
    fn default() -> Self {
        CallerTimeoutsSettings {
            min_idle: Duration::from_millis(2500),
            config_delay: Duration::from_secs(2),
        }
    }
}

/// Ends of the waits of callers' connections, by the configurations in force while they wait.
#[derive(Clone, Debug)]
pub struct CallerTimeouts {
    settings: CallerTimeoutsSettings,
    idle: TimeoutHistory,
    head: TimeoutHistory,
}

impl CallerTimeouts {
    /// Creates the timeouts of the default limits.
    pub fn new(settings: CallerTimeoutsSettings) -> Self {
        let limits = CallerLimits::default();
        CallerTimeouts {
            settings,
            idle: TimeoutHistory::new(limits.idle_timeout),
            head: TimeoutHistory::new(limits.header_timeout),
        }
    }

    /// Records that a configuration with these limits is in force from `now` on.
    pub fn record(&mut self, limits: &CallerLimits, now: Duration) {
        self.idle.record(limits.idle_timeout, now);
        self.head.record(limits.header_timeout, now);
    }

    /// Returns until when a connection stays open that has been idle since `since`.
    ///
    /// Its caller is not told when it closes. So it also stays open while a configuration with a
    /// longer time may be known to the caller and not here.
    pub fn idle_until(&self, since: Duration) -> Duration {
        let idle = self.idle.longest_since(since) + self.settings.config_delay;
        since + idle.max(self.settings.min_idle)
    }

    /// Returns until when the head of a request may arrive whose first byte came at `since`.
    pub fn head_until(&self, since: Duration) -> Duration {
        since + self.head.longest_since(since)
    }

    /// Returns until when the next part of a body may arrive after the one before at `since`.
    pub fn body_until(&self, since: Duration) -> Duration {
        since + self.idle.longest_since(since)
    }
}
