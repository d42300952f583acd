//! Admission of requests while the process stops, by when they end.

use std::time::Duration;

/// Settings of [`StopAdmission`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StopAdmissionSettings {
    /// Multiple of the expected time of a plain request that has to be left once refused callers
    /// reach another vm.
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
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestWork {
    /// A request whose response is forwarded once it is whole.
    Plain {
        /// Expected time to the response.
        time: Duration,
    },
    /// A request whose response is forwarded while it is generated.
    Stream {
        /// Expected time to the first byte.
        first_byte: Duration,
        /// Output tokens that are expected.
        tokens: u64,
        /// Output tokens that each stream of the upstream gets, in tokens a second, if known.
        token_rate: Option<f64>,
    },
}

/// Admission of requests by a process that has to end.
///
/// A refused caller loses little once the load balancer sends it to another vm. Until then it loses
/// the wait, or comes back here and is refused again. So a request is refused earlier only if it is
/// expected to be broken off.
///
/// Later, a stream is taken only if its caller gives up before the process ends. Neither its length
/// nor its pace has another bound, and a stream that has begun can only be broken off. A plain request
/// always gets a response, if only the error that it may have run; its expected time is enough.
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
        if deadline <= self.end {
            return true;
        }
        let time = self.expected_time(work);
        if now < self.rerouted_at {
            return now.saturating_add(time) <= self.end;
        }
        match work {
            RequestWork::Plain { .. } => {
                let seconds = time.as_secs_f64() * self.settings.time_factor;
                now.saturating_add(bounded_time(seconds)) <= self.end
            }
            RequestWork::Stream { .. } => false,
        }
    }

    fn expected_time(&self, work: &RequestWork) -> Duration {
        match *work {
            RequestWork::Plain { time } => time,
            RequestWork::Stream { first_byte, tokens, token_rate } => {
                let rate = token_rate.unwrap_or(self.settings.token_rate).max(1.0);
                bounded_time(first_byte.as_secs_f64() + tokens as f64 / rate)
            }
        }
    }
}

fn bounded_time(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
