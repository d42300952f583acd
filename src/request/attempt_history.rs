//! Retry decisions for requests whose attempt at an upstream failed.

use crate::{ErrorKind, RouteKind};

/// How a failed attempt at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No connection was made and no byte of the request was sent.
    Unsent,
    /// The upstream reported that it did not run the request.
    NotRun,
    /// Another upstream responded, or the upstream lacks the model; the request did not run.
    Misdirected,
    /// The upstream ran the request and responded with an error of its own.
    ServerError,
    /// The connection broke or the response was malformed; the request may have run.
    TransportError,
    /// The upstream sent nothing within its time limit; the request may have run.
    TimedOut,
}

impl AttemptOutcome {
    /// Reports whether the request certainly did not run at the upstream.
    pub fn did_not_run(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Unsent | AttemptOutcome::NotRun | AttemptOutcome::Misdirected
        )
    }

    /// Returns the name used in logs.
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

/// Summary of the attempts made so far for one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Number of upstreams that the request was sent to.
    pub sent: u32,
    /// Whether the request may have run on one of these upstreams.
    pub may_have_run: bool,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request to another upstream, if the retry budget allows it.
    Retry,
    /// Forward the upstream's own response to the caller.
    ForwardResponse,
    /// Respond to the caller with an error of this kind.
    Fail(ErrorKind),
}

impl AttemptHistory {
    /// Records an attempt that ended with `outcome`.
    pub fn record_outcome(&mut self, outcome: AttemptOutcome) {
        self.sent += u32::from(outcome != AttemptOutcome::Unsent);
        self.may_have_run |= !outcome.did_not_run();
    }

    /// Decides what follows an attempt that ended with `outcome` and is already recorded.
    ///
    /// A request that may have run is sent again only on a route whose requests are repeatable.
    pub fn decide(&self, kind: RouteKind, attempts: u32, outcome: AttemptOutcome) -> RetryDecision {
        let repeat = outcome.did_not_run() || kind.is_repeatable();
        if repeat && self.sent < attempts && (kind.is_repeatable() || !self.may_have_run) {
            return RetryDecision::Retry;
        }
        self.decide_without_retry(outcome)
    }

    /// Returns the decision for a request that is not sent again after `outcome`.
    pub fn decide_without_retry(&self, outcome: AttemptOutcome) -> RetryDecision {
        match outcome {
            AttemptOutcome::ServerError => RetryDecision::ForwardResponse,
            _ if self.may_have_run && outcome == AttemptOutcome::TimedOut => {
                RetryDecision::Fail(ErrorKind::Timeout)
            }
            _ if self.may_have_run => RetryDecision::Fail(ErrorKind::UpstreamFailed),
            _ => RetryDecision::Fail(ErrorKind::UpstreamUnavailable),
        }
    }
}
