//! Progress of the streams of one upstream, averaged over a short time.

use std::time::Duration;

use super::DecayingRate;

/// Longest time between two outputs that counts. Beyond it the upstream is silent.
const MAX_GAP: Duration = Duration::from_millis(250);

/// Progress of the streams that this process receives from one upstream.
///
/// While the upstream is silent, its rate falls, so that others are preferred. Once it goes on, the
/// silence is left out but for `MAX_GAP`: it says little of how fast the upstream generates.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamProgress {
    /// Streams that have started and not ended.
    count: u32,
    /// Output tokens received, in tokens a second.
    tokens: DecayingRate,
    /// Seconds that streams ran, a second: the average number of streams.
    running: DecayingRate,
    updated_at: Duration,
    /// Time of the last output.
    received_at: Duration,
}

impl StreamProgress {
    /// Adds the time that the streams ran since the last update.
    fn update(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.running.add(f64::from(self.count) * passed, now);
        self.updated_at = now;
    }

    /// Returns for how long the upstream has been silent.
    fn silence(&self, now: Duration) -> Duration {
        let gap = now.saturating_sub(self.received_at);
        if self.count > 0 { gap.saturating_sub(MAX_GAP) } else { Duration::ZERO }
    }

    /// Brings the averages to `now`, when the upstream sent something.
    fn update_on_output(&mut self, now: Duration) {
        let silence = self.silence(now);
        if !silence.is_zero() {
            self.update(now.saturating_sub(silence));
            self.tokens.skip(silence);
            self.running.skip(silence);
            self.updated_at = now;
        }
        self.received_at = now;
        self.update(now);
    }

    /// Records the start of a stream, with its first output.
    pub fn record_start(&mut self, now: Duration) {
        self.update_on_output(now);
        self.count += 1;
    }

    /// Records output tokens of a stream.
    pub fn record_tokens(&mut self, tokens: f64, now: Duration) {
        self.update_on_output(now);
        self.tokens.add(tokens, now);
    }

    /// Records the end of a stream.
    pub fn record_end(&mut self, now: Duration) {
        if self.silence(now).is_zero() {
            self.update(now);
        }
        self.count = self.count.saturating_sub(1);
    }

    /// Returns the output tokens received, in tokens a second, and the average number of streams.
    pub fn rates(&self, now: Duration) -> (f64, f64) {
        let mut latest = *self;
        latest.update(now);
        (latest.tokens.rate_at(now), latest.running.rate_at(now))
    }
}
