//! Rate as an exponential moving average.

use std::time::Duration;

/// Time constant of the exponential average, in seconds.
const AVERAGING_SECONDS: f64 = 1.5;

/// Rate as an exponential moving average, in units a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingRate {
    rate: f64,
    updated_at: Duration,
}

impl DecayingRate {
    /// Returns the rate at `now`.
    pub fn rate_at(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.rate * (-passed / AVERAGING_SECONDS).exp()
    }

    /// Leaves out a time: the rate at the end of `time` is the one at its start.
    pub fn skip(&mut self, time: Duration) {
        self.updated_at += time;
    }

    /// Adds `amount` units.
    pub fn add(&mut self, amount: f64, now: Duration) {
        self.rate = self.rate_at(now) + amount / AVERAGING_SECONDS;
        self.updated_at = now;
    }
}
