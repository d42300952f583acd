//! Clocks for a process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock for durations, and the wall clock for identifiers and timestamps.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time since a fixed point, which depends on the clock.
    fn now(&self) -> Duration;

    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    fn unix_millis(&self) -> u64;
}

/// A monotonic clock that starts at zero when it is created.
#[derive(Clone, Copy, Debug)]
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

/// A clock that counts from the boot of the vm and keeps running while the vm is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Duration {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
    }

    fn unix_millis(&self) -> u64 {
        SystemClock::default().unix_millis()
    }
}
