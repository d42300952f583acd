//! Admission of requests while the process stops, by when they are expected to end.

use std::time::Duration;

/// Settings of [`StopAdmission`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StopAdmissionSettings {
    /// Multiple of the likely time of a request that has to be left once refused callers reach
    /// another vm.
    pub time_factor: f64,
    /// Output tokens of one stream where none tells, in tokens a second.
    pub token_rate: f64,
}

impl Default for StopAdmissionSettings {
    fn default() -> Self {
        StopAdmissionSettings { time_factor: 1.25, token_rate: 70.0 }
    }
}

/// The work of a request that is about to be sent to an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestWork {
    /// Expected time to the first byte.
    pub first_byte: Duration,
    /// Output tokens that are expected.
    pub expected_tokens: u64,
    /// Output tokens that most such requests do not exceed.
    pub likely_tokens: u64,
    /// Output tokens that each stream of the upstream gets, in tokens a second, if known.
    pub token_rate: Option<f64>,
}

/// Admission of requests by a process that has to end.
///
/// A refused caller loses little once the load balancer sends it to another vm. Until then it loses
/// the wait, or comes back here and is refused again. So a request is refused earlier only if it is
/// expected to be broken off, and later unless it is likely to end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StopAdmission {
    end: Duration,
    rerouted_at: Duration,
    settings: StopAdmissionSettings,
}

impl StopAdmission {
    /// Creates the admission of a process in which all requests have to end before `end`, and whose
    /// refused callers reach another vm from `rerouted_at` on.
    pub fn new(end: Duration, rerouted_at: Duration, settings: StopAdmissionSettings) -> Self {
        StopAdmission { end, rerouted_at, settings }
    }

    /// Reports whether a request may wait here until it can be sent. Nothing tells how long it will
    /// wait, so it looks for another vm as soon as it reaches one, unless its caller gives up before
    /// the process ends.
    pub fn admits_wait(&self, deadline: Duration, now: Duration) -> bool {
        deadline <= self.end || now < self.rerouted_at
    }

    /// Reports whether a request may be sent at `now`: it ends before the process does, or its caller
    /// gives up before.
    pub fn admits(&self, work: &RequestWork, deadline: Duration, now: Duration) -> bool {
        deadline <= self.end || now + self.needed_time(work, now) <= self.end
    }

    /// Returns the time that has to be left for a request.
    fn needed_time(&self, work: &RequestWork, now: Duration) -> Duration {
        let (tokens, factor) = match now < self.rerouted_at {
            true => (work.expected_tokens, 1.0),
            false => (work.likely_tokens, self.settings.time_factor),
        };
        let rate = work.token_rate.unwrap_or(self.settings.token_rate).max(1.0);
        let seconds = work.first_byte.as_secs_f64() + tokens as f64 / rate;
        Duration::try_from_secs_f64(seconds * factor).unwrap_or(Duration::MAX / 2)
    }
}
