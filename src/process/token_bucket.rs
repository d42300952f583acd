//! Token bucket that limits the rate of single actions.

use std::time::Duration;

/// Token bucket from which actions take one token each.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TokenBucket {
    level: f64,
    refilled_at: Option<Duration>,
}

impl TokenBucket {
    /// Creates a bucket that holds `level` tokens.
    pub fn new(level: f64) -> Self {
        TokenBucket { level, refilled_at: None }
    }

    /// Adds the refill since the last call, at `rate` tokens per second, up to `capacity` tokens.
    pub fn refill(&mut self, rate: f64, capacity: f64, now: Duration) {
        let last = self.refilled_at.unwrap_or(now);
        self.refilled_at = Some(last.max(now));
        self.add(rate * now.saturating_sub(last).as_secs_f64(), capacity);
    }

    /// Adds `amount` tokens, up to `capacity`.
    pub fn add(&mut self, amount: f64, capacity: f64) {
        self.level = (self.level + amount).min(capacity);
    }

    /// Reports whether the bucket holds a token.
    pub fn has_token(&self) -> bool {
        self.level >= 1.0
    }

    /// Takes a token and reports whether the bucket held one.
    pub fn take(&mut self) -> bool {
        let available = self.has_token();
        if available {
            self.level -= 1.0;
        }
        available
    }
}
