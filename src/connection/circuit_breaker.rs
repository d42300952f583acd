//! Circuit breaker that stops sending requests to a failing upstream and prefers others to a silent
//! one.

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
///
/// Silence does not open the breaker, because a silent upstream may go on and may be the only one.
/// For a pause of the same lengths it is avoided: others are preferred.
#[derive(Clone, Debug, Default)]
pub struct CircuitBreaker {
    settings: CircuitBreakerSettings,
    failures: u32,
    open_until: Option<Duration>,
    silences: u32,
    avoided_until: Option<Duration>,
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

    /// Reports whether other upstreams are preferred at `now` because this one was silent.
    pub fn is_avoided(&self, now: Duration) -> bool {
        self.avoided_until.is_some_and(|until| now < until || self.trial)
    }

    /// Records that a request is sent to the upstream.
    pub fn record_start(&mut self) {
        self.trial = self.open_until.is_some() || self.avoided_until.is_some();
    }

    /// Records that a request succeeded.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.open_until = None;
        self.record_progress();
    }

    /// Records that the upstream sent something.
    pub fn record_progress(&mut self) {
        self.silences = 0;
        self.avoided_until = None;
        self.trial = false;
    }

    /// Records that a request waits longer than expected at `now`. Requests that wait at the same
    /// time count once.
    pub fn record_silence(&mut self, now: Duration) {
        self.trial = false;
        if self.is_avoided(now) {
            return;
        }
        self.silences += 1;
        self.avoided_until = Some(now + self.pause(self.silences));
    }

    /// Records that a request failed because of the upstream.
    pub fn record_failure(&mut self, now: Duration) {
        self.failures += 1;
        self.trial = false;
        if self.failures >= self.settings.failure_threshold {
            let times = self.failures - self.settings.failure_threshold + 1;
            self.open_until = Some(now + self.pause(times));
        }
    }

    /// Returns the pause after `times` failed trial requests or silences, counted from 1.
    fn pause(&self, times: u32) -> Duration {
        let doublings = times.saturating_sub(1).min(16);
        let pause = self.settings.initial_pause.saturating_mul(1 << doublings);
        pause.min(self.settings.max_pause)
    }

    /// Records that a request ended in a way that does not show whether the upstream works.
    pub fn record_inconclusive(&mut self) {
        self.trial = false;
    }
}
