//! How long a connection may be silent.

use std::time::Duration;

/// Settings of [`Progress`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressSettings {
    /// Longest silence before the first byte of an answer, for a short prompt.
    pub first: Duration,
    /// Longest silence between two chunks.
    pub between: Duration,
    /// Added to `first` for each 1,000 prompt tokens.
    pub prompt: Duration,
}

impl Default for ProgressSettings {
    fn default() -> Self {
        ProgressSettings {
            first: Duration::from_secs(10),
            between: Duration::from_secs(3),
            prompt: Duration::from_millis(500),
        }
    }
}

/// Bounds silence by what the request is waiting for, so that a long prompt is not taken for a
/// silent connection.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    settings: ProgressSettings,
    prompt: u64,
    started: bool,
}

impl Progress {
    /// The bounds for a request with a prompt of `prompt` tokens.
    pub fn new(settings: ProgressSettings, prompt: u64) -> Self {
        Progress { settings, prompt, started: false }
    }

    /// Notes that a chunk arrived.
    pub fn advance(&mut self) {
        self.started = true;
    }

    /// The longest silence from now on.
    pub fn silence(&self) -> Duration {
        if self.started {
            return self.settings.between;
        }
        let thousands = u32::try_from(self.prompt / 1000).unwrap_or(u32::MAX);
        self.settings.first.saturating_add(self.settings.prompt.saturating_mul(thousands))
    }
}
