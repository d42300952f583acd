//! What follows when an upstream did not answer a request well.

use crate::{ErrorKind, RouteKind};

/// How a try at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryEnd {
    /// No connection was made; no byte left.
    Unsent,
    /// The upstream says that it did not run the request.
    NotRun,
    /// The upstream is another one, or lacks the model; it did not run the request.
    Elsewhere,
    /// The upstream answered with a failure of its own after running the request.
    Failed,
    /// The connection broke, or what came was no answer; the request may have run.
    Broken,
    /// Nothing arrived for too long; the request may have run.
    Silent,
}

impl TryEnd {
    /// Whether the request certainly did not run there.
    pub fn unrun(self) -> bool {
        matches!(self, TryEnd::Unsent | TryEnd::NotRun | TryEnd::Elsewhere)
    }

    /// The name that logs use.
    pub fn as_str(self) -> &'static str {
        match self {
            TryEnd::Unsent => "unsent",
            TryEnd::NotRun => "not_run",
            TryEnd::Elsewhere => "elsewhere",
            TryEnd::Failed => "failed",
            TryEnd::Broken => "broken",
            TryEnd::Silent => "silent",
        }
    }
}

/// The tries of one request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tries {
    /// Upstreams that the request was sent to.
    pub sent: u32,
    /// Whether it may have run on one of them.
    pub maybe: bool,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send the request to another upstream, if the retry budget allows it.
    Again,
    /// Pass the upstream's own answer on.
    Pass,
    /// Answer with an error.
    Refuse(ErrorKind),
}

impl Tries {
    /// Counts a try that ended with `end`.
    pub fn note(&mut self, end: TryEnd) {
        self.sent += u32::from(end != TryEnd::Unsent);
        self.maybe |= !end.unrun();
    }

    /// What follows a try that ended with `end` and was counted.
    pub fn next(&self, kind: RouteKind, attempts: u32, end: TryEnd) -> Next {
        let repeat = end.unrun() || kind.repeatable();
        if repeat && self.sent < attempts && (kind.repeatable() || !self.maybe) {
            return Next::Again;
        }
        self.give_up(end)
    }

    /// The answer when the request is not sent again after `end`.
    pub fn give_up(&self, end: TryEnd) -> Next {
        match end {
            TryEnd::Failed => Next::Pass,
            _ if self.maybe && end == TryEnd::Silent => Next::Refuse(ErrorKind::Timeout),
            _ if self.maybe => Next::Refuse(ErrorKind::UpstreamFailed),
            _ => Next::Refuse(ErrorKind::UpstreamUnavailable),
        }
    }
}
