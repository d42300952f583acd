//! A timeout that a configuration sets, while connections wait that began under an older one.

use std::collections::VecDeque;
use std::time::Duration;

/// A timeout that was in force until a change.
#[derive(Clone, Copy, Debug)]
struct PastTimeout {
    value: Duration,
    ended_at: Duration,
}

/// The present value of a timeout, and the longer ones before it that still count for waits that
/// began under them.
///
/// A peer may rely on any value that was in force since a wait began. So a change that makes the
/// timeout longer holds for waits that have begun, and one that makes it shorter does not.
///
/// ```
/// use std::time::Duration;
/// use carobglade::TimeoutHistory;
/// let second = Duration::from_secs;
/// let mut history = TimeoutHistory::new(second(5));
/// history.record(second(2), second(100));
/// assert_eq!(history.longest_since(second(99)), second(5));
/// assert_eq!(history.longest_since(second(101)), second(2));
/// ```
#[derive(Clone, Debug)]
pub struct TimeoutHistory {
    current: Duration,
    /// Timeouts that were longer than each later one, the oldest and longest first.
    past: VecDeque<PastTimeout>,
}

impl TimeoutHistory {
    /// Creates the history of a timeout that has been in force since the start.
    pub fn new(current: Duration) -> Self {
        TimeoutHistory { current, past: VecDeque::new() }
    }

    /// Records that the timeout has the value `current` from `now` on.
    pub fn record(&mut self, current: Duration, now: Duration) {
        if current < self.current {
            self.past.push_back(PastTimeout { value: self.current, ended_at: now });
        }
        self.current = current;
        while self.past.back().is_some_and(|past| past.value <= current) {
            self.past.pop_back();
        }
        while self.past.front().is_some_and(|past| past.ended_at + past.value < now) {
            self.past.pop_front();
        }
    }

    /// Returns the longest timeout that was in force at any time since `start`.
    pub fn longest_since(&self, start: Duration) -> Duration {
        let past = self.past.iter().find(|past| past.ended_at > start);
        past.map_or(self.current, |past| past.value)
    }
}
