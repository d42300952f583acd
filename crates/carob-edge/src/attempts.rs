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
    RetryDecision, StreamPoint, UpstreamName,
};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::Notify;

use crate::attempt::{AttemptEnd, AttemptFailure, AttemptResponse, send_attempt};
use crate::charge;
use crate::choose::{Choice, choose_upstream, has_bound_version, has_candidate};
use crate::edge::Edge;
use crate::open_upstream::OpenUpstream;
use crate::paths;
use crate::quarantine;
use crate::request::CallerRequest;
use crate::resend;
use crate::retry_token::RetryToken;
use crate::rooms;
use crate::stop_admission;
use crate::tried::TriedUpstreams;

/// Retry time after a failed attempt, which says nothing about the load.
pub const FAILED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// An attempt under way.
pub type OpenAttempt<'a> = Pin<Box<dyn Future<Output = AttemptEnd> + 'a>>;

/// The attempts of one request.
pub struct Attempts<'a> {
    edge: &'a Rc<Edge>,
    request: &'a CallerRequest,
    tried: TriedUpstreams,
    open: RefCell<Vec<OpenUpstream>>,
    history: Cell<AttemptHistory>,
    /// Whether a brittle upstream had no room for the request.
    rejected_for_room: Cell<bool>,
    /// Wakes the wait for a second attempt when an attempt starts or ends.
    changed: Notify,
}

impl<'a> Attempts<'a> {
    /// Starts with the attempts in `history`.
    pub fn new(edge: &'a Rc<Edge>, request: &'a CallerRequest, history: AttemptHistory) -> Self {
        Attempts {
            edge,
            request,
            tried: TriedUpstreams::default(),
            open: RefCell::default(),
            history: Cell::new(history),
            rejected_for_room: Cell::default(),
            changed: Notify::new(),
        }
    }

    /// Returns the summary of the attempts.
    pub fn history(&self) -> AttemptHistory {
        self.history.get()
    }

    /// Lets the next attempt go to `name`, whose connection broke, if that is the only way; reports it.
    pub async fn prepare_resend(&self, name: &UpstreamName, outcome: AttemptOutcome) -> bool {
        let (edge, request, tried) = (self.edge, self.request, self.tried.names());
        if !resend::is_allowed(edge, request, self.history(), &tried, name, outcome).await {
            return false;
        }
        self.tried.replace(resend::other_upstreams(edge, request, name));
        self.update_history(AttemptHistory::record_resend);
        edge.metrics.record_retry();
        log::info!(target: "request", id = request.caller_headers.request_id.as_str(), upstream:% = name; "Sending the request to its upstream again over another path.");
        true
    }

    fn update_history(&self, update: impl FnOnce(&mut AttemptHistory)) {
        let mut history = self.history.get();
        update(&mut history);
        self.history.set(history);
    }

    /// Tries upstreams until one responds, a failure may not be retried or no upstream is
    /// available. `point` is where a stream goes on that the caller has a part of.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller.
    pub async fn first_response(&self, point: Option<StreamPoint>) -> Result<AttemptResponse> {
        self.first_response_of(Box::pin(self.attempt(point, None)), point).await
    }

    /// Goes on with an attempt under way as [`first_response`](Self::first_response) does.
    ///
    /// # Errors
    ///
    /// As [`first_response`](Self::first_response).
    pub async fn first_response_of(
        &self,
        attempt: OpenAttempt<'_>,
        point: Option<StreamPoint>,
    ) -> Result<AttemptResponse> {
        let mut open = FuturesUnordered::new();
        open.push(attempt);
        loop {
            tokio::select! {
                biased;
                Some(end) = open.next() => match end {
                    AttemptEnd::Response(response) => {
                        self.update_history(AttemptHistory::record_response);
                        return Ok(response);
                    }
                    AttemptEnd::Failed(..) | AttemptEnd::NotSent(_) if !open.is_empty() => {
                        self.record_failed_hedge();
                    }
                    AttemptEnd::NotSent(err) => return Err(self.hide_not_run(err)),
                    AttemptEnd::Failed(name, failure) => {
                        let resend = self.prepare_resend(&name, failure.outcome).await;
                        if !resend && let Some(end) = self.end_or_retry(failure) {
                            return end;
                        }
                        open.push(Box::pin(self.attempt(point, None)));
                    }
                },
                () = self.hedge_due(), if open.len() == 1 => {
                    if let Some(hedge) = self.start_hedge(point) {
                        open.push(hedge);
                    }
                }
            }
        }
    }

    /// Chooses an upstream and sends the request there. `token` is the retry that a second attempt
    /// spends.
    async fn attempt(
        &self,
        point: Option<StreamPoint>,
        mut token: Option<RetryToken<'_>>,
    ) -> AttemptEnd {
        let (edge, request) = (self.edge, self.request);
        let tried = self.tried.excluded(|tried| has_bound_version(edge, request, tried));
        let last_id = point.map(|point| point.last_id);
        let choice = match choose_upstream(edge, request, &tried, last_id).await {
            Ok(choice) => Choice { fresh: self.history().sent() > 0, ..choice },
            Err(err) => return AttemptEnd::NotSent(err),
        };
        let mut checked = quarantine::check(edge, &request.prompt);
        if checked.is_ok() && !self.history().may_have_run() {
            checked = stop_admission::check(edge, request, choice.estimate, choice.token_rate);
        }
        if let Err(err) = checked {
            return AttemptEnd::NotSent(err);
        }
        let name = choice.entry.name.clone();
        if self.history().may_have_run() {
            charge::charge_retry(edge, request);
        }
        self.record_start(&name, choice.estimate);
        if let Some(token) = &mut token {
            token.spent = true;
        }
        let result = send_attempt(edge, request, &choice, point).await;
        self.remove_open(&name);
        match result {
            Ok(response) => AttemptEnd::Response(response),
            Err(failure) => {
                self.update_history(|history| history.record_outcome(failure.outcome));
                self.record_rejection(&name, failure.outcome);
                self.tried.record_outcome(&name, failure.outcome);
                if failure.stale_connection {
                    self.tried.allow_unless(&name, |tried| has_candidate(edge, request, tried));
                }
                if let Some(token) = &mut token {
                    token.spent = failure.outcome != AttemptOutcome::Unsent;
                    if !token.spent {
                        // The first attempt goes on, and this upstream may be reached later.
                        self.tried.allow(&name);
                    }
                }
                AttemptEnd::Failed(name, failure)
            }
        }
    }

    /// Keeps a request that a brittle upstream rejected from the other brittle ones, which the same
    /// crowd would make fall one after the other.
    fn record_rejection(&self, name: &UpstreamName, outcome: AttemptOutcome) {
        if outcome != AttemptOutcome::NotRun {
            return;
        }
        let brittle = rooms::brittle_upstreams(self.edge, &self.request.service);
        if brittle.contains(name) {
            self.rejected_for_room.set(true);
            self.tried.extend(brittle);
        }
    }

    fn record_start(&self, name: &UpstreamName, estimate: Duration) {
        let route = &self.request.route;
        let goal = if route.kind.is_stream() { route.latency_goal } else { Duration::ZERO };
        let mut timer = HedgeTimer::new(HedgeSettings::default());
        timer.record_start(estimate, goal, self.edge.now());
        self.tried.extend([name.clone()]);
        self.open.borrow_mut().push(OpenUpstream::new(name, timer, self.edge.now()));
        self.update_history(AttemptHistory::record_start);
        self.changed.notify_one();
    }

    fn remove_open(&self, name: &UpstreamName) {
        self.open.borrow_mut().retain(|open| open.name != *name);
        self.changed.notify_one();
    }

    /// Records that a stream goes on at `name` alone.
    pub fn record_source(&self, name: &UpstreamName) {
        let timer = HedgeTimer::new(HedgeSettings::default());
        self.tried.set_source(name);
        *self.open.borrow_mut() = vec![OpenUpstream::new(name, timer, self.edge.now())];
        self.record_event(name);
    }

    /// Records that the stream from `name` goes on. A second attempt beside it was given up.
    pub fn record_event(&self, name: &UpstreamName) {
        self.update_history(AttemptHistory::record_response);
        let mut open = self.open.borrow_mut();
        open.retain(|open| open.name == *name);
        for source in open.iter_mut() {
            source.timer.record_event(self.edge.now());
            source.silent = false;
        }
        self.changed.notify_one();
    }

    /// Records that the stream from `name` failed with `outcome`.
    pub fn record_broken(&self, name: &UpstreamName, outcome: AttemptOutcome) {
        self.edge.loads.borrow_mut().record_result(name, true);
        self.update_history(|history| history.record_outcome(outcome));
        self.tried.record_outcome(name, outcome);
        self.remove_open(name);
    }

    /// Records that a second attempt failed beside one that is still open.
    pub fn record_failed_hedge(&self) {
        for open in self.open.borrow_mut().iter_mut() {
            open.timer.record_failure(self.edge.now());
        }
        self.changed.notify_one();
    }

    /// Waits until the only open attempt has been silent for so long that another one may start
    /// beside it; forever if none may.
    pub async fn hedge_due(&self) {
        loop {
            let path_lost = self.edge.paths.lost.notified();
            let now = self.edge.now();
            match self.next_due() {
                Some(due) if due > now => {
                    tokio::select! {
                        () = tokio::time::sleep(due - now) => {}
                        () = self.changed.notified() => {}
                        () = path_lost => {}
                    }
                }
                Some(_) if self.allows_hedge() => return,
                Some(_) => {
                    self.record_silence("no attempt is left");
                    self.changed.notified().await;
                }
                None => self.changed.notified().await,
            }
        }
    }

    /// Returns when the only open attempt counts as silent.
    fn next_due(&self) -> Option<Duration> {
        match self.open.borrow().as_slice() {
            [open] => open.due_at(&self.edge.paths.table.borrow()),
            _ => None,
        }
    }

    fn allows_hedge(&self) -> bool {
        let route = &self.request.route;
        self.history().allows_hedge(route.kind, route.max_attempts)
    }

    /// Starts a second attempt if an upstream and the retry budget allow it now; otherwise the
    /// question is due again later.
    pub fn start_hedge(&self, point: Option<StreamPoint>) -> Option<OpenAttempt<'_>> {
        let token = match self.take_hedge_token() {
            Ok(token) => token,
            Err(why) => {
                self.record_silence(why);
                self.record_failed_hedge();
                return None;
            }
        };
        self.record_silence("");
        self.edge.metrics.record_hedge();
        Some(Box::pin(self.attempt(point, Some(token))))
    }

    /// Takes a retry from the budget for a second attempt.
    ///
    /// # Errors
    ///
    /// Returns why no second attempt can start.
    fn take_hedge_token(&self) -> std::result::Result<RetryToken<'_>, &'static str> {
        let (edge, service) = (self.edge, self.request.service.as_str());
        if !has_candidate(edge, self.request, &self.tried.names()) {
            return Err("no other upstream can take the request");
        }
        RetryToken::take(edge, service).ok_or("the retry budget is used up")
    }

    /// Records a silence of the open attempt, once; `why` says why no other attempt starts.
    fn record_silence(&self, why: &str) {
        let mut open = self.open.borrow_mut();
        for open in open.iter_mut().filter(|open| !open.silent) {
            open.silent = true;
            self.edge.loads.borrow_mut().record_result(&open.name, true);
            paths::check(self.edge, &open.name);
            log::info!(target: "request", id = self.request.caller_headers.request_id.as_str(), upstream:% = open.name, why = why; "An upstream is silent.");
        }
    }

    /// Decides what follows the failure of the only open attempt: the end of the request, or
    /// `None` for another attempt.
    fn end_or_retry(&self, failure: AttemptFailure) -> Option<Result<AttemptResponse>> {
        let AttemptFailure { outcome, response, .. } = failure;
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
            (RetryDecision::Fail(kind), _) if self.rejected_for_room.get() => {
                let err = attempt_error(kind, outcome);
                Some(Err(err.with_retry_after(rooms::rejected_retry_after())))
            }
            (RetryDecision::Fail(kind), _) => Some(Err(attempt_error(kind, outcome))),
        }
    }

    /// Reports whether a retry is allowed. An attempt that sent nothing does not use the retry
    /// budget, because it caused no load; one that ended at the deadline leaves no time for another.
    fn may_retry(&self, outcome: AttemptOutcome) -> bool {
        match outcome {
            AttemptOutcome::Unsent => true,
            AttemptOutcome::TimedOut => false,
            _ if self.has_no_room() => false,
            _ => self.edge.withdraw_retry(&self.request.service),
        }
    }

    /// Reports whether brittle upstreams had no room and no other upstream can take the request.
    fn has_no_room(&self) -> bool {
        self.rejected_for_room.get() && !has_candidate(self.edge, self.request, &self.tried.names())
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
