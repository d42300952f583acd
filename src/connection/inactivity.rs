//! How long a connection may be silent.

use std::time::Duration;

/// Settings of [`InactivityTimeout`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InactivitySettings {
    /// Longest silence before the first byte of an answer, for a short prompt.
    pub first_byte: Duration,
    /// Longest silence between two chunks.
    pub between_chunks: Duration,
    /// Added to `first` for each 1,000 prompt tokens.
    pub prompt_allowance: Duration,
}

impl Default for InactivitySettings {
    fn default() -> Self {
        InactivitySettings {
            first_byte: Duration::from_secs(10),
            between_chunks: Duration::from_secs(3),
            prompt_allowance: Duration::from_millis(500),
        }
    }
}

/// Bounds silence by what the request is waiting for, so that a long prompt is not taken for a
/// silent connection.
#[derive(Clone, Copy, Debug)]
pub struct InactivityTimeout {
    settings: InactivitySettings,
    prompt_tokens: u64,
    started: bool,
}

impl InactivityTimeout {
    /// The bounds for a request with a prompt of `prompt` tokens.
    pub fn new(settings: InactivitySettings, prompt_tokens: u64) -> Self {
        InactivityTimeout { settings, prompt_tokens, started: false }
    }

    /// Notes that a chunk arrived.
    pub fn record_chunk(&mut self) {
        self.started = true;
    }

    /// The longest silence from now on.
    pub fn limit(&self) -> Duration {
        if self.started {
            return self.settings.between_chunks;
        }
        let thousands = u32::try_from(self.prompt_tokens / 1000).unwrap_or(u32::MAX);
        self.settings
            .first_byte
            .saturating_add(self.settings.prompt_allowance.saturating_mul(thousands))
    }
}
