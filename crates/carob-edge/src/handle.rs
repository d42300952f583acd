//! Handles a caller's request: admission, attempts at upstreams, retries and the response.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use carob_net::{ChunkSender, chunk_channel};
use carobglade::{
    AttemptHistory, AttemptOutcome, Error, ErrorKind, Result, RetryDecision, UpstreamName,
};
use http::{Request, Response};
use hyper::body::Incoming;

use crate::attempt::{
    AttemptFailure, AttemptResponse, EventStream, FullResponse, StartedStream, send_attempt,
};
use crate::choose::choose_upstream;
use crate::edge::{Edge, InFlightGuard};
use crate::quarantine::{self, SurvivalTimer};
use crate::request::{CallerRequest, charge, charge_retry, read_request, refund};

use crate::response::{ResponseBody, error_response, forwarded_response};

/// Retry time for a request that another vm can serve.
const OTHER_VM_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Retry time after a failed attempt or a timeout, which say nothing about the load.
const FAILED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Serves a request and returns the response, or an error response when it is refused.
pub async fn handle(edge: Rc<Edge>, request: Request<Incoming>) -> Response<ResponseBody> {
    let active = edge.active_requests.increment();
    let arrival = edge.now();
    let id = request.headers().get("request-id").cloned();
    let (size, result) = match read_request(&edge, request, arrival).await {
        Ok(request) => (Some(request.size()), serve(&edge, request, active).await),
        Err(err) => (None, Err(err)),
    };
    match result {
        Ok(response) => response,
        Err(err) => {
            let took = edge.now().saturating_sub(arrival);
            let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
            edge.metrics.record_refusal(err.kind());
            let size = size.unwrap_or_default();
            log::info!(target: "request", id = id, kind = err.kind().response().code, why = err.message(), route = size.route.as_str(), prompt = size.prompt, output = size.output, took = took.as_millis() as u64, retry = err.retry_after().map_or(0, |r| r.as_millis() as u64); "A request was refused.");
            let close = edge.stopping.get() || err.kind() == ErrorKind::NotReady;
            error_response(&err, close)
        }
    }
}

/// Returns the level of the tenant's token bucket in this process; 0 without a tenant.
fn remaining_tokens(edge: &Edge, request: &CallerRequest) -> i64 {
    let tenant = request.tenant.as_ref();
    tenant.and_then(|tenant| edge.rate_limiter.borrow().level(&tenant.name)).unwrap_or_default()
}

/// Refuses a request whose deadline is after the drain deadline of this process.
fn check_drain_deadline(edge: &Edge, request: &CallerRequest) -> Result<()> {
    match edge.drain_deadline.get() {
        Some(drain_deadline) if request.deadline > drain_deadline => {
            let err = Error::new(ErrorKind::Draining, "the process is stopping");
            Err(err.with_retry_after(OTHER_VM_RETRY_AFTER))
        }
        _ => Ok(()),
    }
}

async fn serve(
    edge: &Rc<Edge>,
    request: CallerRequest,
    active: InFlightGuard,
) -> Result<Response<ResponseBody>> {
    check_drain_deadline(edge, &request)?;
    edge.deposit_retry(&request.service);
    charge(edge, &request).await?;
    // Requests refused by the tenant's rate are not demand: another replica would not serve them.
    if let Some(model) = &request.caller_headers.model {
        let work = request.prompt_tokens() + request.expected_output();
        edge.demand.borrow_mut().record_request(&request.service, model, work, edge.now());
        let mut pace = edge.token_pace.borrow_mut();
        pace.record_request(&request.service, request.token_rate());
    }
    log::info!(target: "request", id = request.caller_headers.request_id.as_str(), route = request.route.name.as_str(), service = request.service.as_str(), tenant = request.tenant.as_ref().map_or("", |t| t.name.as_str()), model = request.caller_headers.model.as_ref().map_or("", |m| m.as_str()), parts = request.prompt.to_string().as_str(), version = request.config.version, resumes = request.resumes_label(), last = request.caller_headers.last_event.unwrap_or(0), tokens = request.charged_tokens().0, prompt = request.prompt_tokens(), output = request.expected_output(), level = remaining_tokens(edge, &request), left = request.remaining_time(edge.now()).as_millis() as u64; "A request was admitted.");
    let progress = Cell::new(AttemptHistory::default());
    let limit = request.remaining_time(edge.now());
    let outcome = tokio::select! {
        result = try_upstreams(edge, &request, &progress, Vec::new(), None) => result,
        () = tokio::time::sleep(limit) => Err(timeout_error(progress.get())),
        () = aborted_by_shutdown(edge, &progress) => Err(shutdown_error(progress.get())),
        err = quarantine::wait_until_blocked(edge, &request.prompt) => Err(hide_not_run(err, &progress)),
    };
    match outcome {
        Ok(AttemptResponse::Full(response)) => {
            record_response(edge, &request, response.status);
            Ok(full_response(response))
        }
        Ok(AttemptResponse::Stream(stream)) => {
            record_response(edge, &request, stream.status);
            Ok(relay_stream(edge, request, *stream, progress.get(), active))
        }
        Err(err) => {
            if !progress.get().may_have_run {
                refund(edge, &request);
            }
            Err(err)
        }
    }
}

/// Completes when the shutdown aborts a request: when draining starts, if the request was not sent
/// to any upstream yet; before the process exits, if there is no response by then. A request
/// accepted while draining is exempt from the first case because its deadline fits.
async fn aborted_by_shutdown(edge: &Edge, progress: &Cell<AttemptHistory>) {
    let accepted_while_draining = edge.drain_deadline.get().is_some();
    loop {
        let changed = edge.shutdown_changed.notified();
        let waiting = !accepted_while_draining
            && progress.get().sent == 0
            && edge.drain_deadline.get().is_some();
        if edge.aborting.get() || waiting {
            return;
        }
        changed.await;
    }
}

fn shutdown_error(history: AttemptHistory) -> Error {
    let kind = if history.may_have_run { ErrorKind::UpstreamFailed } else { ErrorKind::Draining };
    Error::new(kind, "the process is stopping").with_retry_after(OTHER_VM_RETRY_AFTER)
}

fn record_response(edge: &Edge, request: &CallerRequest, status: u16) {
    let tenant = request.tenant.as_ref().map_or("", |tenant| tenant.name.as_str());
    let took = edge.now().saturating_sub(request.arrival);
    edge.metrics.record_response(tenant, &request.service, status, took);
}

fn timeout_error(history: AttemptHistory) -> Error {
    let kind = if history.sent > 0 { ErrorKind::Timeout } else { ErrorKind::UpstreamUnavailable };
    Error::new(kind, "no answer came in time").with_retry_after(FAILED_RETRY_AFTER)
}

fn full_response(response: FullResponse) -> Response<ResponseBody> {
    forwarded_response(response.status, response.headers, ResponseBody::Full(Some(response.body)))
}

/// Tries upstreams until one responds, a failure may not be retried or no upstream is available.
/// `tried` holds the upstreams to skip; `last_id` is the id of the last event that
/// the caller already has.
async fn try_upstreams(
    edge: &Rc<Edge>,
    request: &CallerRequest,
    progress: &Cell<AttemptHistory>,
    mut tried: Vec<UpstreamName>,
    last_id: Option<u64>,
) -> Result<AttemptResponse> {
    loop {
        let choice = choose_upstream(edge, request, &tried)
            .await
            .map_err(|err| hide_not_run(err, progress))?;
        quarantine::check(edge, &request.prompt).map_err(|err| hide_not_run(err, progress))?;
        tried.push(choice.entry.name.clone());
        if progress.get().may_have_run {
            charge_retry(edge, request);
        }
        // Until the attempt ends, the request may run at the upstream.
        let before = progress.get();
        progress.set(AttemptHistory { sent: before.sent + 1, may_have_run: true });
        let AttemptFailure { outcome, response } =
            match send_attempt(edge, request, &choice, last_id).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
        let mut after = before;
        after.record_outcome(outcome);
        progress.set(after);
        let mut next = after.decide(request.route.kind, request.route.max_attempts, outcome);
        if next == RetryDecision::Retry && !retry_allowed(edge, request, outcome) {
            next = after.decide_without_retry(outcome);
        }
        match (next, response) {
            (RetryDecision::Retry, _) => edge.metrics.record_retry(),
            (RetryDecision::ForwardResponse, Some(response)) => {
                return Ok(AttemptResponse::Full(*response));
            }
            (RetryDecision::ForwardResponse, None) => {
                return Err(attempt_error(ErrorKind::UpstreamFailed, outcome));
            }
            (RetryDecision::Fail(kind), _) => return Err(attempt_error(kind, outcome)),
        }
    }
}

/// Reports whether a retry is allowed. An attempt that sent nothing does not use the retry budget,
/// because it caused no load.
fn retry_allowed(edge: &Edge, request: &CallerRequest, outcome: AttemptOutcome) -> bool {
    outcome == AttemptOutcome::Unsent || edge.withdraw_retry(&request.service)
}

fn attempt_error(kind: ErrorKind, outcome: AttemptOutcome) -> Error {
    let message = format!("the upstream's try ended as {}", outcome.as_str());
    let err = Error::new(kind, message);
    if kind.response().status == 503 { err.with_retry_after(FAILED_RETRY_AFTER) } else { err }
}

/// Turns an error into `UpstreamFailed` when an earlier attempt may have run, because other kinds
/// would tell the caller that the request did not run.
fn hide_not_run(err: Error, progress: &Cell<AttemptHistory>) -> Error {
    if progress.get().may_have_run {
        return Error::new(ErrorKind::UpstreamFailed, err.message());
    }
    err
}

/// How far a stream was forwarded.
struct StreamPosition {
    /// The upstream that sends the stream.
    upstream: UpstreamName,
    /// Id of the last event that was received.
    last_id: Option<u64>,
}

impl StreamPosition {
    fn of(source: &EventStream) -> Self {
        StreamPosition { upstream: source.name.clone(), last_id: source.last_id() }
    }
}

fn millis_since_arrival(edge: &Edge, request: &CallerRequest) -> u64 {
    edge.now().saturating_sub(request.arrival).as_millis() as u64
}

/// Forwards a stream in a separate task, which also ends when the caller disconnects or at the
/// deadline.
fn relay_stream(
    edge: &Rc<Edge>,
    request: CallerRequest,
    stream: StartedStream,
    progress: AttemptHistory,
    active: InFlightGuard,
) -> Response<ResponseBody> {
    let (tx, chunks) = chunk_channel();
    let response = forwarded_response(stream.status, stream.headers, ResponseBody::Stream(chunks));
    let edge = Rc::clone(edge);
    tokio::task::spawn_local(async move {
        let _active = active;
        let limit = request.remaining_time(edge.now());
        let position = RefCell::new(StreamPosition::of(&stream.remaining));
        let forwarding = forward_events(
            &edge,
            &request,
            &tx,
            stream.events,
            stream.remaining,
            progress,
            &position,
        );
        let ended = tokio::select! {
            ended = tokio::time::timeout(limit, forwarding) => ended.unwrap_or(Err(AttemptOutcome::TimedOut)),
            () = tx.closed() => {
                let took = millis_since_arrival(&edge, &request);
                let position = position.borrow();
                log::info!(target: "request", id = request.caller_headers.request_id.as_str(), upstream:% = position.upstream, last = position.last_id.unwrap_or(0), took = took; "The caller left its stream.");
                return;
            }
        };
        let position = position.into_inner();
        let took = millis_since_arrival(&edge, &request);
        match ended {
            Ok(()) => {
                if let Some(events) = position.last_id {
                    let mut pace = edge.token_pace.borrow_mut();
                    pace.record_stream(&request.service, request.expected_output(), events);
                }
                log::info!(target: "request", id = request.caller_headers.request_id.as_str(), upstream:% = position.upstream, last = position.last_id.unwrap_or(0), took = took; "A stream ended whole.");
                tx.finish().await;
            }
            Err(outcome) => {
                log::info!(target: "request", id = request.caller_headers.request_id.as_str(), upstream:% = position.upstream, last = position.last_id.unwrap_or(0), took = took, end = outcome.as_str(); "A stream was broken off.");
            }
        }
    });
    response
}

/// Forwards events to the caller; resumes the stream at another upstream where the route allows it.
async fn forward_events(
    edge: &Rc<Edge>,
    request: &CallerRequest,
    tx: &ChunkSender,
    events: Bytes,
    mut source: EventStream,
    progress: AttemptHistory,
    position: &RefCell<StreamPosition>,
) -> std::result::Result<(), AttemptOutcome> {
    if !events.is_empty() && !tx.send(events).await {
        return Ok(());
    }
    let mut attempts = AttemptHistory { sent: progress.sent.max(1), may_have_run: true };
    let mut survival = SurvivalTimer::start(edge);
    loop {
        match source.next().await {
            Ok(Some(events)) => {
                survival.record_events(edge, &request.prompt);
                position.borrow_mut().last_id = source.last_id();
                if !tx.send(events).await {
                    return Ok(());
                }
            }
            Ok(None) => {
                survival.record_end(edge, &request.prompt, source.is_delimited());
                return Ok(());
            }
            Err(outcome) => {
                let next = attempts.decide(request.route.kind, request.route.max_attempts, outcome);
                let last_id = source.last_id();
                edge.loads.borrow_mut().record_result(&source.name, true);
                if next != RetryDecision::Retry
                    || last_id.is_none()
                    || !edge.withdraw_retry(&request.service)
                {
                    return Err(outcome);
                }
                let failed_upstream = source.name.clone();
                drop(source);
                source = resume_stream(edge, request, tx, failed_upstream, last_id, &mut attempts)
                    .await?;
                survival = SurvivalTimer::start(edge);
                *position.borrow_mut() = StreamPosition::of(&source);
            }
        }
    }
}

/// Resumes a stream after the event `last_id` at an upstream other than `failed_upstream`.
async fn resume_stream(
    edge: &Rc<Edge>,
    request: &CallerRequest,
    tx: &ChunkSender,
    failed_upstream: UpstreamName,
    last_id: Option<u64>,
    attempts: &mut AttemptHistory,
) -> std::result::Result<EventStream, AttemptOutcome> {
    log::info!(target: "request", id = request.caller_headers.request_id.as_str(), upstream:% = failed_upstream, last = last_id.unwrap_or(0); "Resuming the stream at another upstream.");
    let progress = Cell::new(*attempts);
    let outcome = try_upstreams(edge, request, &progress, vec![failed_upstream], last_id).await;
    *attempts = progress.get();
    match outcome {
        Ok(AttemptResponse::Stream(stream)) => {
            if !stream.events.is_empty() && !tx.send(stream.events).await {
                return Err(AttemptOutcome::TransportError);
            }
            Ok(stream.remaining)
        }
        Ok(AttemptResponse::Full(_)) | Err(_) => Err(AttemptOutcome::TransportError),
    }
}
