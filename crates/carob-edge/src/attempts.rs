//! The attempts of one request at upstreams, until one of them responds.
//!
//! A silent upstream may go on at any time. So a silence ends no attempt: another one starts beside
//! it where the route, the retry budget and the upstreams allow it, and the first response wins.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use carobglade::{
    AttemptHistory, AttemptOutcome, Error, ErrorKind, HedgeSettings, HedgeTimer, Result,
    RetryDecision, UpstreamName,
};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::Notify;

use crate::attempt::{AttemptFailure, AttemptResponse, send_attempt};
use crate::choose::{choose_upstream, has_candidate};
use crate::edge::Edge;
use crate::quarantine;
use crate::request::{CallerRequest, charge_retry};

/// Retry time after a failed attempt, which says nothing about the load.
pub const FAILED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// How an attempt ended.
pub enum AttemptEnd {
    /// The upstream responded, or its stream has started.
    Response(AttemptResponse),
    /// The attempt failed.
    Failed(AttemptFailure),
    /// The request was not sent.
    NotSent(Error),
}

/// An attempt under way.
pub type OpenAttempt<'a> = Pin<Box<dyn Future<Output = AttemptEnd> + 'a>>;

/// The attempts of one request.
pub struct Attempts<'a> {
    edge: &'a Rc<Edge>,
    request: &'a CallerRequest,
    /// Upstreams that are not tried again.
    tried: RefCell<Vec<UpstreamName>>,
    /// Upstreams whose attempts are open.
    open: RefCell<Vec<UpstreamName>>,
    history: Cell<AttemptHistory>,
    timer: Cell<HedgeTimer>,
    /// Whether the open attempt was already found to be silent.
    silent: Cell<bool>,
    /// Wakes the wait for a second attempt once the first was sent.
    sent: Notify,
}

impl<'a> Attempts<'a> {
    /// Starts with the attempts in `history`; the upstreams in `tried` are skipped.
    pub fn new(
        edge: &'a Rc<Edge>,
        request: &'a CallerRequest,
        history: AttemptHistory,
        tried: Vec<UpstreamName>,
    ) -> Self {
        Attempts {
            edge,
            request,
            tried: RefCell::new(tried),
            open: RefCell::default(),
            history: Cell::new(history),
            timer: Cell::new(HedgeTimer::new(HedgeSettings::default())),
            silent: Cell::new(false),
            sent: Notify::new(),
        }
    }

    /// Returns the summary of the attempts.
    pub fn history(&self) -> AttemptHistory {
        self.history.get()
    }

    /// Changes the summary of the attempts.
    pub fn update_history(&self, update: impl FnOnce(&mut AttemptHistory)) {
        let mut history = self.history.get();
        update(&mut history);
        self.history.set(history);
    }

    /// Changes the time of the next second attempt.
    pub fn update_timer(&self, update: impl FnOnce(&mut HedgeTimer)) {
        let mut timer = self.timer.get();
        update(&mut timer);
        self.timer.set(timer);
    }

    /// Tries upstreams until one responds, a failure may not be retried or no upstream is
    /// available. `last_id` is the id of the last event that the caller already has.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller.
    pub async fn first_response(&self, last_id: Option<u64>) -> Result<AttemptResponse> {
        let mut open: FuturesUnordered<OpenAttempt<'_>> = FuturesUnordered::new();
        open.push(Box::pin(self.attempt(last_id)));
        loop {
            let may_hedge = open.len() == 1 && self.request.route.allows_retries();
            tokio::select! {
                biased;
                Some(end) = open.next() => match end {
                    AttemptEnd::Response(response) => {
                        self.update_history(AttemptHistory::record_response);
                        return Ok(response);
                    }
                    AttemptEnd::Failed(_) | AttemptEnd::NotSent(_) if !open.is_empty() => {
                        self.update_timer(|timer| timer.record_failure(self.edge.now()));
                    }
                    AttemptEnd::NotSent(err) => return Err(self.hide_not_run(err)),
                    AttemptEnd::Failed(failure) => match self.end_or_retry(failure) {
                        Some(end) => return end,
                        None => open.push(Box::pin(self.attempt(last_id))),
                    },
                },
                () = self.hedge_due(), if may_hedge => {
                    if self.may_start_hedge() {
                        open.push(Box::pin(self.hedge(last_id)));
                    }
                }
            }
        }
    }

    /// Chooses an upstream and sends the request there.
    async fn attempt(&self, last_id: Option<u64>) -> AttemptEnd {
        let (edge, request) = (self.edge, self.request);
        let tried = self.tried.borrow().clone();
        let choice = match choose_upstream(edge, request, &tried).await {
            Ok(choice) => choice,
            Err(err) => return AttemptEnd::NotSent(err),
        };
        if let Err(err) = quarantine::check(edge, &request.prompt) {
            return AttemptEnd::NotSent(err);
        }
        let name = choice.entry.name.clone();
        self.tried.borrow_mut().push(name.clone());
        if self.history().may_have_run() {
            charge_retry(edge, request);
        }
        self.record_start(&name, choice.estimate);
        let result = send_attempt(edge, request, &choice, last_id).await;
        self.open.borrow_mut().retain(|open| *open != name);
        match result {
            Ok(response) => AttemptEnd::Response(response),
            Err(failure) => {
                self.update_history(|history| history.record_outcome(failure.outcome));
                AttemptEnd::Failed(failure)
            }
        }
    }

    fn record_start(&self, name: &UpstreamName, estimate: Duration) {
        let route = &self.request.route;
        let goal = if route.kind.is_stream() { route.latency_goal } else { Duration::ZERO };
        self.open.borrow_mut().push(name.clone());
        self.update_history(AttemptHistory::record_start);
        self.update_timer(|timer| timer.record_start(estimate, goal, self.edge.now()));
        self.silent.set(false);
        self.sent.notify_one();
    }

    /// Records that a stream goes on at `name`.
    pub fn record_source(&self, name: &UpstreamName) {
        *self.tried.borrow_mut() = vec![name.clone()];
        *self.open.borrow_mut() = vec![name.clone()];
        self.record_event();
    }

    /// Records events of the stream.
    pub fn record_event(&self) {
        self.update_timer(|timer| timer.record_event(self.edge.now()));
        self.silent.set(false);
    }

    /// Makes the second attempt that [`may_start_hedge`](Self::may_start_hedge) allowed.
    pub async fn hedge(&self, last_id: Option<u64>) -> AttemptEnd {
        let end = self.attempt(last_id).await;
        if matches!(end, AttemptEnd::NotSent(_)) {
            self.edge.refund_retry(&self.request.service);
        }
        end
    }

    /// Records that a stream goes on at `name` and that a second attempt was given up.
    pub fn abandon_hedge(&self, name: &UpstreamName) {
        self.update_history(AttemptHistory::record_response);
        *self.open.borrow_mut() = vec![name.clone()];
    }

    /// Waits until the only open attempt has been silent for so long that another one may start
    /// beside it; forever if none may.
    pub async fn hedge_due(&self) {
        while self.timer.get().due_at().is_none() {
            self.sent.notified().await;
        }
        let due = self.timer.get().due_at().unwrap_or_default();
        tokio::time::sleep(due.saturating_sub(self.edge.now())).await;
        let route = &self.request.route;
        if !self.history().allows_hedge(route.kind, route.max_attempts) {
            self.record_silence("no attempt is left");
            std::future::pending::<()>().await;
        }
    }

    /// Takes a retry from the budget and reports whether a second attempt may start now; otherwise
    /// the question is due again later.
    pub fn may_start_hedge(&self) -> bool {
        let (edge, request) = (self.edge, self.request);
        let why = if !has_candidate(edge, request, &self.tried.borrow()) {
            "no other upstream can take the request"
        } else if !edge.withdraw_retry(&request.service) {
            "the retry budget is used up"
        } else {
            ""
        };
        self.record_silence(why);
        if why.is_empty() {
            edge.metrics.record_hedge();
            return true;
        }
        self.update_timer(|timer| timer.record_failure(edge.now()));
        false
    }

    /// Records once for each silence that the upstream of the open attempt is silent; `why` says
    /// why no other attempt starts.
    fn record_silence(&self, why: &str) {
        if self.silent.replace(true) {
            return;
        }
        for name in self.open.borrow().iter() {
            self.edge.loads.borrow_mut().record_result(name, true);
            log::info!(target: "request", id = self.request.caller_headers.request_id.as_str(), upstream:% = name, why = why; "An upstream is silent.");
        }
    }

    /// Decides what follows the failure of the only open attempt: the end of the request, or
    /// `None` for another attempt.
    fn end_or_retry(&self, failure: AttemptFailure) -> Option<Result<AttemptResponse>> {
        let AttemptFailure { outcome, response } = failure;
        let (route, history) = (&self.request.route, self.history());
        let mut next = history.decide(route.kind, route.max_attempts, outcome);
        if next == RetryDecision::Retry && !self.may_retry(outcome) {
            next = history.decide_without_retry(outcome);
        }
        match (next, response) {
            (RetryDecision::Retry, _) => {
                self.edge.metrics.record_retry();
                None
            }
            (RetryDecision::ForwardResponse, Some(response)) => {
                Some(Ok(AttemptResponse::Full(*response)))
            }
            (RetryDecision::ForwardResponse, None) => {
                Some(Err(attempt_error(ErrorKind::UpstreamFailed, outcome)))
            }
            (RetryDecision::Fail(kind), _) => Some(Err(attempt_error(kind, outcome))),
        }
    }

    /// Reports whether a retry is allowed. An attempt that sent nothing does not use the retry
    /// budget, because it caused no load.
    fn may_retry(&self, outcome: AttemptOutcome) -> bool {
        outcome == AttemptOutcome::Unsent || self.edge.withdraw_retry(&self.request.service)
    }

    /// Turns an error into `UpstreamFailed` when an attempt may have run, because other kinds would
    /// tell the caller that the request did not run.
    pub fn hide_not_run(&self, err: Error) -> Error {
        if self.history().may_have_run() {
            return Error::new(ErrorKind::UpstreamFailed, err.message());
        }
        err
    }
}

fn attempt_error(kind: ErrorKind, outcome: AttemptOutcome) -> Error {
    let message = format!("the upstream's try ended as {}", outcome.as_str());
    let err = Error::new(kind, message);
    if kind.response().status == 503 { err.with_retry_after(FAILED_RETRY_AFTER) } else { err }
}
