//! When a second attempt starts beside one whose upstream is silent.

use std::time::Duration;

/// Settings of a [`HedgeTimer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeSettings {
    /// Multiple of the estimated time to the first byte after which an upstream counts as silent.
    pub estimate_factor: u32,
    /// Time added to `estimate_factor` times the estimate.
    pub margin: Duration,
    /// Time between two events of a stream after which its upstream counts as silent.
    pub event_gap: Duration,
    /// The same for a stream whose path is lost, from the loss of the path at the earliest.
    pub lost_gap: Duration,
    /// Time until a second attempt is tried again that could not start or that failed.
    pub retry_interval: Duration,
}

impl Default for HedgeSettings {
    fn default() -> Self {
        HedgeSettings {
            estimate_factor: 3,
            margin: Duration::from_millis(600),
            event_gap: Duration::from_millis(1500),
            lost_gap: Duration::from_millis(500),
            retry_interval: Duration::from_millis(250),
        }
    }
}

/// Tells when a second attempt of a request may start.
///
/// An upstream that is silent may go on at any time, so a silence never ends an attempt: it only
/// starts another one beside it, and the first response wins.
///
/// ```
/// use std::time::Duration;
/// use carobglade::{HedgeSettings, HedgeTimer};
/// let mut timer = HedgeTimer::new(HedgeSettings::default());
/// assert_eq!(timer.due_at(), None);
/// timer.record_event(Duration::from_secs(4));
/// assert_eq!(timer.due_at(), Some(Duration::from_millis(5500)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct HedgeTimer {
    settings: HedgeSettings,
    due_at: Option<Duration>,
    /// Time of the last event.
    event_at: Option<Duration>,
    /// Time before which no second attempt starts after one that failed.
    retry_at: Option<Duration>,
}

impl HedgeTimer {
    /// Creates a timer for a request that was not sent yet.
    pub fn new(settings: HedgeSettings) -> Self {
        HedgeTimer { settings, due_at: None, event_at: None, retry_at: None }
    }

    /// Records that an attempt was sent whose first byte is expected after `estimate`; `goal` is
    /// the time before which a stream does not count as late.
    pub fn record_start(&mut self, estimate: Duration, goal: Duration, now: Duration) {
        let expected = estimate.saturating_mul(self.settings.estimate_factor);
        let silent_after = expected.saturating_add(self.settings.margin).max(goal);
        self.due_at = Some(now.saturating_add(silent_after));
    }

    /// Records an event of a stream.
    pub fn record_event(&mut self, now: Duration) {
        self.due_at = Some(now + self.settings.event_gap);
        self.event_at = Some(now);
        self.retry_at = None;
    }

    /// Records that a second attempt could not start, or failed beside one that is still open.
    pub fn record_failure(&mut self, now: Duration) {
        self.retry_at = Some(now + self.settings.retry_interval);
    }

    /// Returns the time from which a second attempt may start; `None` before the first was sent.
    pub fn due_at(&self) -> Option<Duration> {
        self.due_at.max(self.retry_at)
    }

    /// Returns [`due_at`](Self::due_at) for an attempt over a path that was lost at `lost_at`. A stream that
    /// sent events before is silent sooner then.
    pub fn due_after_loss(&self, lost_at: Duration) -> Option<Duration> {
        let silent_since = self.event_at.map(|at| at.max(lost_at));
        let lost = silent_since.map(|since| since + self.settings.lost_gap);
        let due = lost.into_iter().chain(self.due_at).min();
        due.max(self.retry_at)
    }
}
