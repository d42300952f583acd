//! One attempt of a request at one upstream.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use carob_platform::{ResponseKind, UpstreamHeaders, strip_response_headers};
use carobglade::{AttemptOutcome, EventSplitter, RequestRate, UpstreamName};
use http::HeaderMap;

use crate::choose::Choice;
use crate::edge::Edge;
use crate::pool::{IncomingResponse, OutgoingRequest};
use crate::quarantine;
use crate::request::CallerRequest;
use crate::turns;

/// Maximum size of a response that is not streamed.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Multiple of the estimated time to the first byte after which an upstream counts as silent.
const SILENCE_FACTOR: u32 = 3;
/// Time added to `SILENCE_FACTOR` times the estimate.
const SILENCE_MARGIN: Duration = Duration::from_millis(600);
/// Maximum time between two chunks of a stream that can be resumed.
const MAX_EVENT_GAP: Duration = Duration::from_millis(1500);

/// Counts a request in the load of its upstream until the guard is dropped.
pub struct LoadGuard {
    edge: Rc<Edge>,
    name: UpstreamName,
    service: String,
    prompt: u64,
    tokens: u64,
    /// Output tokens in one event, while the progress of the stream is recorded.
    event_tokens: Option<f64>,
}

impl LoadGuard {
    fn new(edge: &Rc<Edge>, request: &CallerRequest, name: &UpstreamName) -> Self {
        let prompt = request.prompt_tokens();
        let tokens = prompt + request.expected_output();
        edge.loads.borrow_mut().record_start(name, prompt, tokens);
        if let (Some(model), Some(adapter)) =
            (&request.caller_headers.model, &request.caller_headers.adapter)
        {
            edge.placement.borrow_mut().record_use(name, model, adapter, edge.now());
        }
        LoadGuard {
            edge: Rc::clone(edge),
            name: name.clone(),
            service: request.service.clone(),
            prompt,
            tokens,
            event_tokens: None,
        }
    }

    /// Removes the prompt from the backlog of the upstream once the first event arrived, and starts
    /// to record the progress of the stream.
    fn record_first_event(&mut self) {
        let prompt = std::mem::take(&mut self.prompt);
        let mut loads = self.edge.loads.borrow_mut();
        loads.record_first_event(&self.name, prompt);
        // Without the size of events, the stream would seem to make no progress.
        self.event_tokens = self.edge.token_pace.borrow().tokens_per_event(&self.service);
        if self.event_tokens.is_some() {
            loads.record_stream_start(&self.name, self.edge.now());
        }
    }

    /// Records further events of the stream.
    fn record_events(&self, events: u64) {
        if let Some(tokens) = self.event_tokens {
            let mut loads = self.edge.loads.borrow_mut();
            loads.record_tokens(&self.name, tokens * events as f64, self.edge.now());
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let mut loads = self.edge.loads.borrow_mut();
        loads.record_end(&self.name, self.prompt, self.tokens);
        if self.event_tokens.is_some() {
            loads.record_stream_end(&self.name, self.edge.now());
        }
    }
}

/// A response whose body was read to the end.
pub struct FullResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers for the caller.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// A stream whose first events arrived.
pub struct StartedStream {
    /// The HTTP status.
    pub status: u16,
    /// The headers for the caller.
    pub headers: HeaderMap,
    /// The first complete events; empty when the stream ended without any.
    pub events: Bytes,
    /// The events that follow.
    pub remaining: EventStream,
}

/// Reads the remaining events of a stream.
pub struct EventStream {
    /// The upstream that sends the stream.
    pub name: UpstreamName,
    response: Box<IncomingResponse>,
    splitter: EventSplitter,
    ended: bool,
    event_timeout: Option<Duration>,
    load: LoadGuard,
}

impl EventStream {
    /// Returns the next complete events, or `None` at the end of a complete stream.
    ///
    /// # Errors
    ///
    /// Returns `TransportError` when the stream ends in the middle of an event or its connection
    /// fails, and `TimedOut` when no data arrives within the event timeout.
    pub async fn next(&mut self) -> Result<Option<Bytes>, AttemptOutcome> {
        loop {
            if self.ended {
                return Ok(None);
            }
            let chunk = match self.event_timeout {
                Some(limit) => {
                    let chunk = tokio::time::timeout(limit, self.response.next_chunk()).await;
                    chunk.map_err(|_| AttemptOutcome::TimedOut)??
                }
                None => self.response.next_chunk().await?,
            };
            let Some(chunk) = chunk else {
                self.ended = true;
                if self.splitter.has_partial() {
                    return Err(AttemptOutcome::TransportError);
                }
                return Ok(None);
            };
            let known = self.splitter.event_count();
            if let Some(events) = push_chunk(&mut self.splitter, &self.name, &chunk)? {
                self.load.record_events(self.splitter.event_count() - known);
                return Ok(Some(events));
            }
        }
    }

    /// Reports whether the response tells its end by itself, not by the end of its connection.
    pub fn is_delimited(&self) -> bool {
        self.response.is_delimited()
    }

    /// Returns the id of the last event that was returned, if any.
    pub fn last_id(&self) -> Option<u64> {
        self.splitter.last_id()
    }
}

/// A response to an attempt.
pub enum AttemptResponse {
    /// A response that was read to the end.
    Full(FullResponse),
    /// A stream that has started.
    Stream(Box<StartedStream>),
}

/// Describes how an attempt failed.
pub struct AttemptFailure {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// The upstream's error response, if it sent one.
    pub response: Option<Box<FullResponse>>,
}

impl From<AttemptOutcome> for AttemptFailure {
    fn from(outcome: AttemptOutcome) -> Self {
        AttemptFailure { outcome, response: None }
    }
}

/// Sends a request to the chosen upstream and receives the response, or the start of a stream.
/// When a stream is resumed, `last_id` is the id of the last event that the caller already has.
///
/// # Errors
///
/// Returns how the attempt failed.
pub async fn send_attempt(
    edge: &Rc<Edge>,
    request: &CallerRequest,
    choice: &Choice,
    last_id: Option<u64>,
) -> Result<AttemptResponse, AttemptFailure> {
    let started = edge.now();
    let mut load_guard = LoadGuard::new(edge, request, &choice.entry.name);
    let limit = response_timeout(request, choice).min(request.remaining_time(started));
    let mut head = ResponseHead::default();
    let opened = tokio::time::timeout(
        limit,
        send_and_receive(edge, request, choice, last_id, &mut load_guard, &mut head),
    )
    .await;
    let result = opened.unwrap_or(Err(AttemptOutcome::TimedOut.into()));
    record_attempt(edge, request, choice, started, head, &result);
    match result? {
        ReceivedResponse::Full(response) => Ok(AttemptResponse::Full(response)),
        ReceivedResponse::Stream(response, splitter, events) => {
            let event_timeout = request.route.kind.is_repeatable().then_some(MAX_EVENT_GAP);
            let (status, headers) = (response.status, strip_response_headers(&response.headers));
            let name = choice.entry.name.clone();
            let remaining = EventStream {
                name,
                response,
                splitter,
                ended: false,
                event_timeout,
                load: load_guard,
            };
            Ok(AttemptResponse::Stream(Box::new(StartedStream {
                status,
                headers,
                events,
                remaining,
            })))
        }
    }
}

/// What the head of a response tells about the upstream.
#[derive(Clone, Copy, Debug, Default)]
struct ResponseHead {
    /// The HTTP status; 0 while no response has begun.
    status: u16,
    /// The requests a second that the upstream takes, if it names a limit.
    limit: Option<RequestRate>,
}

enum ReceivedResponse {
    Full(FullResponse),
    Stream(Box<IncomingResponse>, EventSplitter, Bytes),
}

/// Returns how long to wait for a response before the request is retried at another upstream;
/// `Duration::MAX` where the route does not allow a retry.
fn response_timeout(request: &CallerRequest, choice: &Choice) -> Duration {
    if !request.route.kind.is_repeatable() || request.route.max_attempts < 2 {
        return Duration::MAX;
    }
    let expected = choice.estimate * SILENCE_FACTOR + SILENCE_MARGIN;
    if request.route.kind.is_stream() { expected.max(request.route.latency_goal) } else { expected }
}

/// Records the result of an attempt in the loads and in the log; a transport error marks the
/// request as a suspect in a crash of the upstream.
fn record_attempt(
    edge: &Rc<Edge>,
    request: &CallerRequest,
    choice: &Choice,
    started: Duration,
    head: ResponseHead,
    result: &Result<ReceivedResponse, AttemptFailure>,
) {
    let name = &choice.entry.name;
    let took = edge.now().saturating_sub(started);
    let mut loads = edge.loads.borrow_mut();
    let end = match result {
        Ok(ReceivedResponse::Stream(..)) => {
            loads.record_latency(name, took, choice.estimate);
            "open"
        }
        Ok(ReceivedResponse::Full(_)) => "answered",
        Err(failure) => failure.outcome.as_str(),
    };
    let failed = matches!(result, Err(failure) if failure.outcome != AttemptOutcome::Misdirected);
    loads.record_result(name, failed);
    log::info!(target: "request", id = request.caller_headers.request_id.as_str(), upstream:% = name, version:% = choice.entry.version, end = end, status = head.status, limit:% = head.limit.map(|limit| limit.to_string()).unwrap_or_default(), took = took.as_millis() as u64, expected = choice.estimate.as_millis() as u64, running = choice.running, load = choice.load_tokens; "An upstream was tried.");
    let transport_failed =
        matches!(result, Err(AttemptFailure { outcome: AttemptOutcome::TransportError, .. }));
    if transport_failed && (200..300).contains(&head.status) {
        quarantine::record_broken_start(edge, &request.prompt, &choice.entry);
    }
    if transport_failed {
        let crash = format!("{name}#{}", choice.entry.started_ms);
        edge.suspects.borrow_mut().record_crash(
            request.fingerprint,
            &crash,
            edge.clock.unix_millis(),
        );
    }
}

async fn send_and_receive(
    edge: &Rc<Edge>,
    request: &CallerRequest,
    choice: &Choice,
    last_id: Option<u64>,
    load_guard: &mut LoadGuard,
    head: &mut ResponseHead,
) -> Result<ReceivedResponse, AttemptFailure> {
    let upstream_headers = UpstreamHeaders {
        upstream: choice.entry.name.to_string(),
        tenant: request.tenant.as_ref().map(|tenant| tenant.name.to_string()),
        remaining_time: request.remaining_time(edge.now()),
        priority: request.caller_headers.model.as_ref().map(|_| request.queue_priority()),
        last_event: last_id,
    };
    let outgoing = OutgoingRequest {
        method: request.method.clone(),
        target: request.target.clone(),
        headers: upstream_headers.build(&request.headers),
        body: request.body.clone(),
    };
    let mut response = edge.pool.send(&choice.entry.name, choice.entry.address, outgoing).await?;
    let status = response.status;
    *head =
        ResponseHead { status, limit: turns::read_limit(edge, &choice.entry, &response.headers) };
    let kind =
        ResponseKind::classify(status, &response.headers, &request.caller_headers.request_id);
    if kind == ResponseKind::WrongRequest {
        return Err(AttemptOutcome::TransportError.into());
    }
    if request.route.kind.is_stream() && (200..300).contains(&status) {
        let mut splitter = EventSplitter::resuming_after(last_id);
        let events = receive_first_events(&mut response, &mut splitter, &choice.entry.name).await?;
        load_guard.record_first_event();
        return Ok(ReceivedResponse::Stream(Box::new(response), splitter, events));
    }
    let body = response.read_to_end(MAX_RESPONSE_BYTES, &edge.response_budget).await?;
    let full = FullResponse { status, headers: strip_response_headers(&response.headers), body };
    let failed = |outcome| Err(AttemptFailure { outcome, response: None });
    match kind {
        ResponseKind::NotExecuted => failed(AttemptOutcome::NotRun),
        ResponseKind::Misdirected => failed(AttemptOutcome::Misdirected),
        _ if status >= 500 => Err(AttemptFailure {
            outcome: AttemptOutcome::ServerError,
            response: Some(Box::new(full)),
        }),
        _ => Ok(ReceivedResponse::Full(full)),
    }
}

/// Appends a chunk to a stream; returns the events that it completes.
fn push_chunk(
    splitter: &mut EventSplitter,
    name: &UpstreamName,
    chunk: &[u8],
) -> Result<Option<Bytes>, AttemptOutcome> {
    splitter.push(chunk).map_err(|err| {
        log::warn!(target: "pool", upstream:% = name, error:% = err; "An event is too long and is not read to its end.");
        AttemptOutcome::TransportError
    })
}

async fn receive_first_events(
    response: &mut IncomingResponse,
    splitter: &mut EventSplitter,
    name: &UpstreamName,
) -> Result<Bytes, AttemptOutcome> {
    loop {
        let Some(chunk) = response.next_chunk().await? else {
            // Without a delimiter, no event may as well mean that the upstream crashed.
            return if splitter.has_partial() || !response.is_delimited() {
                Err(AttemptOutcome::TransportError)
            } else {
                Ok(Bytes::new())
            };
        };
        if let Some(events) = push_chunk(splitter, name, &chunk)? {
            return Ok(events);
        }
    }
}
