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
    /// The upstream sent something other than the next event of the caller's stream; the request may
    /// have run.
    NotContinued,
    /// The upstream had not responded when the request's time was over; the request may have run.
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
            AttemptOutcome::NotContinued => "not_continued",
            AttemptOutcome::TimedOut => "silent",
        }
    }
}

/// Summary of the attempts made so far for one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Number of upstreams that the request was sent to and whose attempt ended.
    sent: u32,
    /// Number of attempts that have not ended.
    open: u32,
    /// Whether the request may have run in an attempt that ended.
    may_have_run: bool,
    /// Whether the request was sent again to an upstream that it had been sent to.
    resent: bool,
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
    /// Records the start of an attempt. Until it ends, the request may run at its upstream.
    pub fn record_start(&mut self) {
        self.open += 1;
    }

    /// Records that the response of an attempt has begun, and that the other open attempts were
    /// abandoned for it.
    pub fn record_response(&mut self) {
        let abandoned = self.open.saturating_sub(1);
        self.sent += abandoned;
        self.may_have_run |= abandoned > 0;
        self.open = self.open.min(1);
    }

    /// Returns the number of upstreams that the request was sent to.
    pub fn sent(&self) -> u32 {
        self.sent + self.open
    }

    /// Reports whether the request may have run, or may still run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run || self.open > 0
    }

    /// Reports whether another attempt may start beside the only one that is open.
    pub fn allows_hedge(&self, kind: RouteKind, attempts: u32) -> bool {
        kind.is_repeatable() && self.open == 1 && self.sent() < attempts
    }

    /// Reports whether the request may be sent once more to the upstream whose connection broke, over
    /// another path. That adds no upstream to those that it was sent to.
    pub fn allows_resend(&self, kind: RouteKind, outcome: AttemptOutcome) -> bool {
        let broken = outcome == AttemptOutcome::TransportError;
        kind.is_repeatable() && broken && self.open == 0 && !self.resent
    }

    /// Records that the request is sent once more to an upstream that it was sent to.
    pub fn record_resend(&mut self) {
        self.resent = true;
    }

    /// Records an attempt that ended with `outcome`.
    pub fn record_outcome(&mut self, outcome: AttemptOutcome) {
        self.open = self.open.saturating_sub(1);
        self.sent += u32::from(outcome != AttemptOutcome::Unsent);
        self.may_have_run |= !outcome.did_not_run();
    }

    /// Decides what follows an attempt that ended with `outcome` and is already recorded.
    ///
    /// A request that may have run is sent again only on a route whose requests are repeatable.
    pub fn decide(&self, kind: RouteKind, attempts: u32, outcome: AttemptOutcome) -> RetryDecision {
        let repeat = outcome.did_not_run() || kind.is_repeatable();
        if repeat && self.sent() < attempts && (kind.is_repeatable() || !self.may_have_run()) {
            return RetryDecision::Retry;
        }
        self.decide_without_retry(outcome)
    }

    /// Returns the decision for a request that is not sent again after `outcome`.
    pub fn decide_without_retry(&self, outcome: AttemptOutcome) -> RetryDecision {
        match outcome {
            AttemptOutcome::ServerError => RetryDecision::ForwardResponse,
            _ if self.may_have_run() && outcome == AttemptOutcome::TimedOut => {
                RetryDecision::Fail(ErrorKind::Timeout)
            }
            _ if self.may_have_run() => RetryDecision::Fail(ErrorKind::UpstreamFailed),
            _ => RetryDecision::Fail(ErrorKind::UpstreamUnavailable),
        }
    }
}
