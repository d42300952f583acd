//! Exponential backoff with jitter for failing calls.

use std::time::Duration;

/// Delay after the first failure, which gives an overloaded server time to finish the calls in
/// progress.
const INITIAL_DELAY: Duration = Duration::from_millis(150);

/// Exponential backoff with jitter, so that callers that fail together do not retry together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Records a failure and returns the delay before the next call. The delay doubles with each
    /// failure up to `longest`, and `random`, from 0 to 1, scales the delay by a factor from 0.5 to
    /// 1.
    pub fn record_failure(&mut self, longest: Duration, random: f64) -> Duration {
        let due = INITIAL_DELAY * 2u32.saturating_pow(self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        due.min(longest).mul_f64(0.5 + random.clamp(0.0, 1.0) / 2.0)
    }

    /// Records a success, which resets the backoff, and reports whether the previous call failed.
    pub fn record_success(&mut self) -> bool {
        std::mem::take(&mut self.failures) > 0
    }

    /// Returns the number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
