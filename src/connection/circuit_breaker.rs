//! Circuit breaker that stops sending requests to a failing upstream.

use std::time::Duration;

/// Settings of [`CircuitBreaker`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CircuitBreakerSettings {
    /// Consecutive failures after which the breaker opens.
    pub failure_threshold: u32,
    /// First time for which the breaker stays open; doubles with each failed trial request.
    pub initial_pause: Duration,
    /// Longest time for which the breaker stays open.
    pub max_pause: Duration,
}

impl Default for CircuitBreakerSettings {
    fn default() -> Self {
        CircuitBreakerSettings {
            failure_threshold: 2,
            initial_pause: Duration::from_millis(500),
            max_pause: Duration::from_secs(10),
        }
    }
}

/// Circuit breaker of one process for one upstream.
///
/// After the pause, one trial request is allowed. Its success closes the breaker, and its failure
/// opens the breaker for a longer pause.
#[derive(Clone, Debug, Default)]
pub struct CircuitBreaker {
    settings: CircuitBreakerSettings,
    failures: u32,
    open_until: Option<Duration>,
    trial: bool,
}

impl CircuitBreaker {
    /// Creates a closed breaker.
    pub fn new(settings: CircuitBreakerSettings) -> Self {
        CircuitBreaker { settings, ..CircuitBreaker::default() }
    }

    /// Reports whether a request may be sent to the upstream at `now`.
    pub fn allows_request(&self, now: Duration) -> bool {
        match self.open_until {
            None => true,
            Some(until) => now >= until && !self.trial,
        }
    }

    /// Records that a request is sent to the upstream.
    pub fn record_start(&mut self) {
        self.trial = self.open_until.is_some();
    }

    /// Records that a request succeeded.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.open_until = None;
        self.trial = false;
    }

    /// Records that a request failed because of the upstream.
    pub fn record_failure(&mut self, now: Duration) {
        self.failures += 1;
        self.trial = false;
        if self.failures >= self.settings.failure_threshold {
            let doublings = (self.failures - self.settings.failure_threshold).min(16);
            let pause = self.settings.initial_pause.saturating_mul(1 << doublings);
            self.open_until = Some(now + pause.min(self.settings.max_pause));
        }
    }

    /// Records that a request ended in a way that does not show whether the upstream works.
    pub fn record_inconclusive(&mut self) {
        self.trial = false;
    }
}
