//! The clock of a process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock, and the time of day for identifiers.
pub trait Clock: Send + Sync {
    /// Time since the process started.
    fn now(&self) -> Duration;

    /// Milliseconds since the Unix epoch.
    fn unix_millis(&self) -> u64;
}

/// The clock of the operating system.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        SystemClock { start: Instant::now() }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn unix_millis(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}
