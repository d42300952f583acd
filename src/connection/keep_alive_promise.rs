//! How long callers may use an idle connection again, as each response tells them.

use std::time::Duration;

/// Longest time that is promised, in seconds. It passes within the readiness delay of a stop.
const MAX_SECONDS: u64 = 2;
/// Time in which a request that was sent at the last moment arrives.
const PATH_MARGIN: Duration = Duration::from_millis(500);

/// A promise to callers that an idle connection stays open for some whole seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeepAlivePromise {
    seconds: u64,
}

impl Default for KeepAlivePromise {
    /// Returns the longest promise.
    fn default() -> Self {
        KeepAlivePromise { seconds: MAX_SECONDS }
    }
}

impl KeepAlivePromise {
    /// Returns the longest promise that a process keeps which ends `stop_time` after it is told to
    /// stop.
    pub fn fitting(stop_time: Duration) -> Self {
        let seconds = stop_time.saturating_sub(PATH_MARGIN).as_secs();
        KeepAlivePromise { seconds: seconds.min(MAX_SECONDS) }
    }

    /// Returns the seconds to tell; `None` if connections cannot be used again.
    pub fn seconds(self) -> Option<u64> {
        (self.seconds > 0).then_some(self.seconds)
    }

    /// Returns the time for which an idle connection has to stay open.
    pub fn idle_time(self) -> Duration {
        match self.seconds() {
            Some(seconds) => Duration::from_secs(seconds) + PATH_MARGIN,
            None => Duration::ZERO,
        }
    }
}
