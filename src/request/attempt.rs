//! What follows when an upstream did not answer a request well.

use crate::{ErrorKind, RouteKind};

/// How a try at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No connection was made; no byte left.
    Unsent,
    /// The upstream says that it did not run the request.
    NotRun,
    /// The upstream is another one, or lacks the model; it did not run the request.
    Misdirected,
    /// The upstream answered with a failure of its own after running the request.
    ServerError,
    /// The connection broke, or what came was no answer; the request may have run.
    TransportError,
    /// Nothing arrived for too long; the request may have run.
    TimedOut,
}

impl AttemptOutcome {
    /// Whether the request certainly did not run there.
    pub fn did_not_run(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Unsent | AttemptOutcome::NotRun | AttemptOutcome::Misdirected
        )
    }

    /// The name that logs use.
    pub fn as_str(self) -> &'static str {
        match self {
            AttemptOutcome::Unsent => "unsent",
            AttemptOutcome::NotRun => "not_run",
            AttemptOutcome::Misdirected => "elsewhere",
            AttemptOutcome::ServerError => "failed",
            AttemptOutcome::TransportError => "broken",
            AttemptOutcome::TimedOut => "silent",
        }
    }
}

/// The tries of one request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Upstreams that the request was sent to.
    pub sent: u32,
    /// Whether it may have run on one of them.
    pub possibly_run: bool,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request to another upstream, if the retry budget allows it.
    Retry,
    /// Pass the upstream's own answer on.
    ForwardResponse,
    /// Answer with an error.
    Fail(ErrorKind),
}

impl AttemptHistory {
    /// Counts a try that ended with `end`.
    pub fn record(&mut self, end: AttemptOutcome) {
        self.sent += u32::from(end != AttemptOutcome::Unsent);
        self.possibly_run |= !end.did_not_run();
    }

    /// What follows a try that ended with `end` and was counted.
    pub fn decide(&self, kind: RouteKind, attempts: u32, end: AttemptOutcome) -> RetryDecision {
        let repeat = end.did_not_run() || kind.is_repeatable();
        if repeat && self.sent < attempts && (kind.is_repeatable() || !self.possibly_run) {
            return RetryDecision::Retry;
        }
        self.decide_without_retry(end)
    }

    /// The answer when the request is not sent again after `end`.
    pub fn decide_without_retry(&self, end: AttemptOutcome) -> RetryDecision {
        match end {
            AttemptOutcome::ServerError => RetryDecision::ForwardResponse,
            _ if self.possibly_run && end == AttemptOutcome::TimedOut => {
                RetryDecision::Fail(ErrorKind::Timeout)
            }
            _ if self.possibly_run => RetryDecision::Fail(ErrorKind::UpstreamFailed),
            _ => RetryDecision::Fail(ErrorKind::UpstreamUnavailable),
        }
    }
}
