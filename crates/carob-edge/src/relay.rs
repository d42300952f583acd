//! Forwards a stream to its caller, and continues it at another upstream where the route allows it.

use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use carob_net::{ChunkSender, chunk_channel};
use carobglade::{AttemptHistory, AttemptOutcome, EvidenceStrength, RetryDecision};
use http::Response;

use crate::attempt::{AttemptEnd, AttemptResponse};
use crate::attempts::{Attempts, OpenAttempt};
use crate::edge::Edge;
use crate::event_ids;
use crate::event_stream::{EventStream, StartedStream, record_refusal};
use crate::in_flight::InFlightGuard;
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
    /// The upstream failed.
    Broken(AttemptOutcome),
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
        let attempts = Attempts::new(&edge, &request, history);
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
        let mut survival = self.start_survival();
        self.record_source(&source);
        if !events.is_empty() {
            origins::record_start(self.edge, self.request, &source.version);
        }
        if !self.send(events).await {
            return Ok(());
        }
        loop {
            let mut second = None;
            let events = match self.next(&mut source, &mut second).await {
                Progress::Events(events) => {
                    survival.record_events(self.edge);
                    self.open.record_events(&source.name, source.last_id());
                    self.record_ids(&mut source);
                    events
                }
                Progress::End => {
                    survival.record_end(self.edge, source.is_delimited());
                    self.record_ids(&mut source);
                    return Ok(());
                }
                Progress::Replaced(stream) => self.replace(&mut source, &mut survival, *stream),
                Progress::Broken(outcome) => {
                    if outcome == AttemptOutcome::TransportError {
                        survival.record_broken(self.edge, &source.run);
                    }
                    let stream = self.resume(&source, outcome, second).await?;
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
        *survival = self.start_survival();
        self.record_source(source);
        stream.events
    }

    fn start_survival(&self) -> SurvivalTimer {
        SurvivalTimer::start(self.edge, self.request.broken_attempt(EvidenceStrength::Weak))
    }

    fn record_source(&self, source: &EventStream) {
        self.attempts.record_source(&source.name);
        self.open.record_events(&source.name, source.last_id());
    }

    /// Learns how far apart the ids of events are, for whoever takes up a stream of the same source.
    fn record_ids(&self, source: &mut EventStream) {
        if !self.request.route.kind.is_repeatable() {
            return;
        }
        if let Some(distances) = source.take_distances() {
            let id_source = event_ids::source(self.request, &source.version);
            event_ids::record(self.edge, id_source, distances);
        }
    }

    /// Waits for what comes next from `source`. While it is silent, a second attempt may start to
    /// continue the stream at another upstream; the first of the two that sends events goes on.
    /// `second` holds that attempt if `source` fails while it is under way.
    async fn next<'a>(
        &'a self,
        source: &mut EventStream,
        second: &mut Option<OpenAttempt<'a>>,
    ) -> Progress {
        let (name, point) = (source.name.clone(), source.point());
        self.attempts.record_event(&name);
        let mut next = pin!(source.next());
        loop {
            tokio::select! {
                biased;
                events = &mut next => {
                    let progress = match events {
                        Ok(Some(events)) => Progress::Events(events),
                        Ok(None) => Progress::End,
                        Err(outcome) => return Progress::Broken(outcome),
                    };
                    *second = None;
                    return progress;
                }
                end = wait_for(second), if second.is_some() => {
                    *second = None;
                    match end {
                        AttemptEnd::Response(AttemptResponse::Stream(stream)) => {
                            return Progress::Replaced(stream);
                        }
                        _ => self.attempts.record_failed_hedge(),
                    }
                }
                () = self.attempts.hedge_due(), if second.is_none() && point.is_some() => {
                    *second = self.attempts.start_hedge(point);
                }
            }
        }
    }

    /// Continues a stream at another upstream after `source` failed with `outcome`; `second` is an
    /// attempt to do so that is under way.
    async fn resume(
        &self,
        source: &EventStream,
        outcome: AttemptOutcome,
        second: Option<OpenAttempt<'_>>,
    ) -> Result<StartedStream, StreamFailure> {
        let (request, point) = (self.request, source.point());
        record_refusal(self.edge, request, &source.name, source.last_id(), outcome);
        self.attempts.record_broken(&source.name, outcome);
        let continued = match second {
            Some(second) => self.attempts.first_response_of(second, point).await,
            None => {
                let has_ids = point.is_some();
                if !has_ids || !self.attempts.prepare_resend(&source.name, outcome).await {
                    self.check_resumable(source, outcome)?;
                }
                log::info!(target: "request", id = request.caller_headers.request_id.as_str(), upstream:% = source.name, last = source.last_id().unwrap_or(0); "Resuming the stream at another upstream.");
                self.attempts.first_response(point).await
            }
        };
        match continued {
            Ok(AttemptResponse::Stream(stream)) => Ok(*stream),
            Ok(AttemptResponse::Full(response)) => {
                let why = format!("another upstream responded with status {}", response.status);
                Err(StreamFailure::new(outcome, &why))
            }
            Err(err) => Err(StreamFailure::new(outcome, err.message())),
        }
    }

    /// Takes a retry from the budget for a stream whose `source` failed with `outcome`.
    ///
    /// # Errors
    ///
    /// Returns why the stream cannot be continued.
    fn check_resumable(
        &self,
        source: &EventStream,
        outcome: AttemptOutcome,
    ) -> Result<(), StreamFailure> {
        let route = &self.request.route;
        let next = self.attempts.history().decide(route.kind, route.max_attempts, outcome);
        let why = if next != RetryDecision::Retry {
            "no attempt is left"
        } else if source.last_id().is_none() {
            "the events have no ids"
        } else if !self.edge.withdraw_retry(&self.request.service) {
            "the retry budget is used up"
        } else {
            return Ok(());
        };
        Err(StreamFailure::new(outcome, why))
    }
}

/// Waits for the end of an attempt; forever if there is none.
async fn wait_for(attempt: &mut Option<OpenAttempt<'_>>) -> AttemptEnd {
    match attempt {
        Some(attempt) => attempt.await,
        None => std::future::pending().await,
    }
}
