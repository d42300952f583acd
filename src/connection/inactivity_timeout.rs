//! Inactivity timeout of a connection to an upstream.

use std::time::Duration;

/// Settings of [`InactivityTimeout`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InactivityTimeoutSettings {
    /// Timeout before the first byte of a response, for a short prompt.
    pub first_byte: Duration,
    /// Timeout between two chunks.
    pub between_chunks: Duration,
    /// Time added to `first_byte` for each 1,000 prompt tokens.
    pub prompt_allowance: Duration,
}

impl Default for InactivityTimeoutSettings {
    fn default() -> Self {
        InactivityTimeoutSettings {
            first_byte: Duration::from_secs(10),
            between_chunks: Duration::from_secs(3),
            prompt_allowance: Duration::from_millis(500),
        }
    }
}

/// Inactivity timeout that depends on the phase of the response and on the prompt length, so that
/// a long prompt is not mistaken for a dead connection.
#[derive(Clone, Copy, Debug)]
pub struct InactivityTimeout {
    settings: InactivityTimeoutSettings,
    prompt_tokens: u64,
    started: bool,
}

impl InactivityTimeout {
    /// Creates the timeout for a request with a prompt of `prompt_tokens`.
    pub fn new(settings: InactivityTimeoutSettings, prompt_tokens: u64) -> Self {
        InactivityTimeout { settings, prompt_tokens, started: false }
    }

    /// Records that a chunk arrived.
    pub fn record_chunk(&mut self) {
        self.started = true;
    }

    /// Returns the longest time to wait for the next chunk.
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
