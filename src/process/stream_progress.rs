//! Progress of the streams of one upstream, averaged over a short time.

use std::time::Duration;

use super::DecayingRate;

/// Progress of the streams that this process receives from one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamProgress {
    /// Streams that have started and not ended.
    count: u32,
    /// Output tokens received, in tokens a second.
    tokens: DecayingRate,
    /// Seconds that streams ran, a second: the average number of streams.
    running: DecayingRate,
    updated_at: Duration,
}

impl StreamProgress {
    /// Adds the time that the streams ran since the last update.
    fn update(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.running.add(f64::from(self.count) * passed, now);
        self.updated_at = now;
    }

    /// Records the start of a stream.
    pub fn record_start(&mut self, now: Duration) {
        self.update(now);
        self.count += 1;
    }

    /// Records output tokens of a stream.
    pub fn record_tokens(&mut self, tokens: f64, now: Duration) {
        self.update(now);
        self.tokens.add(tokens, now);
    }

    /// Records the end of a stream.
    pub fn record_end(&mut self, now: Duration) {
        self.update(now);
        self.count = self.count.saturating_sub(1);
    }

    /// Returns the output tokens received, in tokens a second, and the average number of streams.
    pub fn rates(&self, now: Duration) -> (f64, f64) {
        let mut latest = *self;
        latest.update(now);
        (latest.tokens.rate_at(now), latest.running.rate_at(now))
    }
}
