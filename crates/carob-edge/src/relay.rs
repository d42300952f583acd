//! Forwards a stream to its caller, and continues it at another upstream where the route allows it.

use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use carob_net::{ChunkSender, chunk_channel};
use carobglade::{AttemptHistory, AttemptOutcome, RetryDecision};
use http::Response;

use crate::attempt::{AttemptResponse, EventStream, StartedStream};
use crate::attempts::{AttemptEnd, Attempts, OpenAttempt};
use crate::edge::{Edge, InFlightGuard};
use crate::open_request::OpenRequest;
use crate::origins;
use crate::quarantine::SurvivalTimer;
use crate::request::CallerRequest;
use crate::response::{ResponseBody, forwarded_response};

/// How a stream failed, and why it was not continued.
struct StreamFailure {
    outcome: AttemptOutcome,
    why: String,
}

impl StreamFailure {
    fn new(outcome: AttemptOutcome, why: &str) -> Self {
        StreamFailure { outcome, why: why.to_owned() }
    }
}

/// What comes next from the upstream of a stream.
enum Progress {
    /// Complete events.
    Events(Bytes),
    /// The end of the complete stream.
    End,
    /// The upstream was silent, and another one has continued the stream.
    Replaced(Box<StartedStream>),
}

/// Forwards a stream in a separate task, which also ends when the caller disconnects or at the
/// deadline.
pub fn relay_stream(
    edge: &Rc<Edge>,
    request: CallerRequest,
    open: OpenRequest,
    stream: StartedStream,
    history: AttemptHistory,
    active: InFlightGuard,
) -> Response<ResponseBody> {
    let (tx, chunks) = chunk_channel();
    let StartedStream { status, headers, events, remaining } = stream;
    let response = forwarded_response(status, headers, ResponseBody::Stream(chunks));
    let edge = Rc::clone(edge);
    tokio::task::spawn_local(async move {
        let _active = active;
        let limit = request.remaining_time(edge.now());
        let attempts = Attempts::new(&edge, &request, history, Vec::new());
        let relay = Relay { edge: &edge, request: &request, open: &open, tx: &tx, attempts };
        let ended = tokio::select! {
            ended = tokio::time::timeout(limit, relay.run(events, remaining)) => {
                ended.unwrap_or(Err(StreamFailure::new(AttemptOutcome::TimedOut, "the deadline passed")))
            }
            () = tx.closed() => return open.end_left(),
        };
        match ended {
            Ok(()) => {
                if let Some(events) = open.last_id() {
                    let mut pace = edge.token_pace.borrow_mut();
                    pace.record_stream(&request.service, request.expected_output(), events);
                }
                open.end_whole();
                tx.finish().await;
            }
            Err(failure) => open.end_broken(failure.outcome, &failure.why),
        }
    });
    response
}

/// A stream that is forwarded.
struct Relay<'a> {
    edge: &'a Rc<Edge>,
    request: &'a CallerRequest,
    open: &'a OpenRequest,
    tx: &'a ChunkSender,
    attempts: Attempts<'a>,
}

impl Relay<'_> {
    /// Forwards `events` and what follows from `source`, until the stream ends or the caller
    /// disconnects.
    async fn run(&self, events: Bytes, mut source: EventStream) -> Result<(), StreamFailure> {
        let mut survival = SurvivalTimer::start(self.edge);
        self.record_source(&source);
        if !events.is_empty() {
            origins::record_start(self.edge, self.request, &source.version);
        }
        if !self.send(events).await {
            return Ok(());
        }
        loop {
            let events = match self.next(&mut source).await {
                Ok(Progress::Events(events)) => {
                    survival.record_events(self.edge, &self.request.prompt);
                    self.open.record_events(&source.name, source.last_id());
                    events
                }
                Ok(Progress::End) => {
                    survival.record_end(self.edge, &self.request.prompt, source.is_delimited());
                    return Ok(());
                }
                Ok(Progress::Replaced(stream)) => self.replace(&mut source, &mut survival, *stream),
                Err(outcome) => {
                    let stream = self.resume(&source, outcome).await?;
                    self.replace(&mut source, &mut survival, stream)
                }
            };
            if !self.send(events).await {
                return Ok(());
            }
        }
    }

    /// Sends events to the caller; returns false when the caller has disconnected.
    async fn send(&self, events: Bytes) -> bool {
        events.is_empty() || self.tx.send(events).await
    }

    /// Closes `source` and goes on with `stream`; returns its first events.
    fn replace(
        &self,
        source: &mut EventStream,
        survival: &mut SurvivalTimer,
        stream: StartedStream,
    ) -> Bytes {
        *source = stream.remaining;
        *survival = SurvivalTimer::start(self.edge);
        self.record_source(source);
        stream.events
    }

    fn record_source(&self, source: &EventStream) {
        self.attempts.record_source(&source.name);
        self.open.record_events(&source.name, source.last_id());
    }

    /// Waits for the next events of `source`. While it is silent, another upstream may be asked to
    /// continue the stream; the first of the two that sends events goes on.
    ///
    /// # Errors
    ///
    /// Returns how the stream failed when no upstream continues it.
    async fn next(&self, source: &mut EventStream) -> Result<Progress, AttemptOutcome> {
        let (name, last_id) = (source.name.clone(), source.last_id());
        let may_hedge = last_id.is_some() && self.request.route.allows_retries();
        let mut second: Option<OpenAttempt<'_>> = None;
        self.attempts.record_event();
        let mut next = pin!(source.next());
        loop {
            tokio::select! {
                biased;
                events = &mut next => match (events, second) {
                    (Ok(Some(events)), second) => {
                        if second.is_some() {
                            self.attempts.abandon_hedge(&name);
                        }
                        return Ok(Progress::Events(events));
                    }
                    (Ok(None), _) => return Ok(Progress::End),
                    (Err(outcome), None) => return Err(outcome),
                    (Err(outcome), Some(second)) => {
                        self.attempts.update_history(|history| history.record_outcome(outcome));
                        return self.accept_second(second.await).ok_or(outcome);
                    }
                },
                end = wait_for(&mut second), if second.is_some() => {
                    second = None;
                    if let Some(progress) = self.accept_second(end) {
                        return Ok(progress);
                    }
                }
                () = self.attempts.hedge_due(), if second.is_none() && may_hedge => {
                    if self.attempts.may_start_hedge() {
                        second = Some(Box::pin(self.attempts.hedge(last_id)));
                    }
                }
            }
        }
    }

    /// Returns the stream of a second attempt, if it has one.
    fn accept_second(&self, end: AttemptEnd) -> Option<Progress> {
        match end {
            AttemptEnd::Response(AttemptResponse::Stream(stream)) => {
                self.attempts.update_history(AttemptHistory::record_response);
                Some(Progress::Replaced(stream))
            }
            AttemptEnd::Response(AttemptResponse::Full(_)) => {
                let outcome = AttemptOutcome::ServerError;
                self.attempts.update_history(|history| history.record_outcome(outcome));
                self.attempts.update_timer(|timer| timer.record_failure(self.edge.now()));
                None
            }
            AttemptEnd::Failed(_) | AttemptEnd::NotSent(_) => {
                self.attempts.update_timer(|timer| timer.record_failure(self.edge.now()));
                None
            }
        }
    }

    /// Continues a stream at another upstream after `source` failed with `outcome`.
    async fn resume(
        &self,
        source: &EventStream,
        outcome: AttemptOutcome,
    ) -> Result<StartedStream, StreamFailure> {
        let (edge, request, last_id) = (self.edge, self.request, source.last_id());
        edge.loads.borrow_mut().record_result(&source.name, true);
        self.attempts.update_history(|history| history.record_outcome(outcome));
        let history = self.attempts.history();
        let next = history.decide(request.route.kind, request.route.max_attempts, outcome);
        if next != RetryDecision::Retry {
            return Err(StreamFailure::new(outcome, "no attempt is left"));
        }
        if last_id.is_none() {
            return Err(StreamFailure::new(outcome, "the events have no ids"));
        }
        if !edge.withdraw_retry(&request.service) {
            return Err(StreamFailure::new(outcome, "the retry budget is used up"));
        }
        log::info!(target: "request", id = request.caller_headers.request_id.as_str(), upstream:% = source.name, last = last_id.unwrap_or(0); "Resuming the stream at another upstream.");
        match self.attempts.first_response(last_id).await {
            Ok(AttemptResponse::Stream(stream)) => Ok(*stream),
            Ok(AttemptResponse::Full(response)) => {
                let why = format!("another upstream responded with status {}", response.status);
                Err(StreamFailure::new(outcome, &why))
            }
            Err(err) => Err(StreamFailure::new(outcome, err.message())),
        }
    }
}

/// Waits for the end of an attempt, if there is one.
async fn wait_for(attempt: &mut Option<OpenAttempt<'_>>) -> AttemptEnd {
    match attempt {
        Some(attempt) => attempt.await,
        None => std::future::pending().await,
    }
}
