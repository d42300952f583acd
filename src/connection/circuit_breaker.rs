//! Whether an upstream is given requests, judged by how earlier ones ended.

use std::time::Duration;

/// Settings of [`CircuitBreaker`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CircuitBreakerSettings {
    /// Failures in a row after which an upstream is left out.
    pub failure_threshold: u32,
    /// Time for which it is left out first; doubles with each failed trial.
    pub initial_pause: Duration,
    /// Longest such time.
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

/// The health of one upstream as one process sees it.
///
/// After a pause one request is let through as a trial; its end decides.
#[derive(Clone, Debug, Default)]
pub struct CircuitBreaker {
    settings: CircuitBreakerSettings,
    failures: u32,
    open_until: Option<Duration>,
    trial: bool,
}

impl CircuitBreaker {
    /// A healthy upstream.
    pub fn new(settings: CircuitBreakerSettings) -> Self {
        CircuitBreaker { settings, ..CircuitBreaker::default() }
    }

    /// Whether a request may go to the upstream at `now`.
    pub fn allows_request(&self, now: Duration) -> bool {
        match self.open_until {
            None => true,
            Some(until) => now >= until && !self.trial,
        }
    }

    /// A request goes to the upstream.
    pub fn record_start(&mut self) {
        self.trial = self.open_until.is_some();
    }

    /// A request ended well.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.open_until = None;
        self.trial = false;
    }

    /// A request failed by the upstream's fault.
    pub fn record_failure(&mut self, now: Duration) {
        self.failures += 1;
        self.trial = false;
        if self.failures >= self.settings.failure_threshold {
            let doublings = (self.failures - self.settings.failure_threshold).min(16);
            let pause = self.settings.initial_pause.saturating_mul(1 << doublings);
            self.open_until = Some(now + pause.min(self.settings.max_pause));
        }
    }

    /// A request ended without telling anything about the upstream.
    pub fn record_inconclusive(&mut self) {
        self.trial = false;
    }
}
