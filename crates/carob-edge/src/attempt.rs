//! One attempt of a request at one upstream.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use carob_platform::{ResponseKind, UpstreamHeaders, strip_response_headers};
use carobglade::{
    AttemptOutcome, Error, EventSplitter, EvidenceStrength, ExpectedWork, RequestRate,
    SoftwareVersion, StreamPoint, UpstreamName,
};
use http::HeaderMap;

use crate::broken_attempt::UpstreamRun;
use crate::choose::Choice;
use crate::connect::ConnectionSource;
use crate::edge::Edge;
use crate::event_ids;
use crate::event_stream::{self, EventStream, StartedStream};
use crate::load_guard::LoadGuard;
use crate::outgoing_request::OutgoingRequest;
use crate::paths;
use crate::pool::IncomingResponse;
use crate::quarantine;
use crate::quiet;
use crate::request::CallerRequest;
use crate::rooms;
use crate::turns;
use crate::work;

/// Maximum size of a response that is not streamed.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// A response whose body was read to the end.
pub struct FullResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers for the caller.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
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
    /// Whether the attempt broke on a kept connection before a response to it began. The fault may be
    /// that connection's alone, and the upstream may serve the request over a new one.
    pub stale_connection: bool,
}

/// How an attempt ended.
pub enum AttemptEnd {
    /// The upstream responded, or its stream has started.
    Response(AttemptResponse),
    /// The attempt at this upstream failed.
    Failed(UpstreamName, AttemptFailure),
    /// The request was not sent.
    NotSent(Error),
}

impl From<AttemptOutcome> for AttemptFailure {
    fn from(outcome: AttemptOutcome) -> Self {
        AttemptFailure { outcome, response: None, stale_connection: false }
    }
}

/// Sends a request to the chosen upstream and receives the response, or the start of a stream.
/// A stream that the caller already has a part of is continued at `point`.
///
/// # Errors
///
/// Returns how the attempt failed.
pub async fn send_attempt(
    edge: &Rc<Edge>,
    request: &CallerRequest,
    choice: &Choice,
    point: Option<StreamPoint>,
) -> Result<AttemptResponse, AttemptFailure> {
    let mut record = AttemptRecord::new(edge, request, choice);
    let mut load_guard = LoadGuard::new(edge, request, &choice.entry.name, choice.room.clone());
    let limit = request.remaining_time(edge.now());
    let opened = tokio::time::timeout(
        limit,
        send_and_receive(edge, request, choice, point, &mut load_guard, &mut record),
    )
    .await;
    let mut result = opened.unwrap_or(Err(AttemptOutcome::TimedOut.into()));
    if let Err(failure) = &mut result {
        failure.stale_connection = record.is_stale(failure.outcome);
        let last_id = point.map(|point| point.last_id).or(request.caller_headers.last_event);
        let name = &choice.entry.name;
        event_stream::record_refusal(edge, request, name, last_id, failure.outcome);
    }
    record.finish(request, choice, &result);
    match result? {
        ReceivedResponse::Full(response) => Ok(AttemptResponse::Full(response)),
        ReceivedResponse::Stream(response, splitter, events) => {
            let (status, headers) = (response.status, strip_response_headers(&response.headers));
            let remaining = EventStream::new(&choice.entry, response, splitter, load_guard);
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
    /// The HTTP status; 0 while no response to the request has begun.
    status: u16,
    /// The requests a second that the upstream takes, if it names a limit.
    limit: Option<RequestRate>,
}

enum ReceivedResponse {
    Full(FullResponse),
    Stream(Box<IncomingResponse>, EventSplitter, Bytes),
}

/// The log line of an attempt. An attempt that is dropped before its end was given up, for another
/// one that responded first or because the caller disconnected.
struct AttemptRecord {
    edge: Rc<Edge>,
    id: String,
    upstream: UpstreamName,
    version: SoftwareVersion,
    estimate: Duration,
    work: ExpectedWork,
    running: u32,
    load_tokens: u64,
    started: Duration,
    connection: ConnectionSource,
    head: ResponseHead,
    ended: bool,
}

impl AttemptRecord {
    fn new(edge: &Rc<Edge>, request: &CallerRequest, choice: &Choice) -> Self {
        AttemptRecord {
            edge: Rc::clone(edge),
            id: request.caller_headers.request_id.clone(),
            upstream: choice.entry.name.clone(),
            version: choice.entry.version.clone(),
            estimate: choice.estimate,
            work: choice.work.unwrap_or_default(),
            running: choice.running,
            load_tokens: choice.load_tokens,
            started: edge.now(),
            connection: ConnectionSource::None,
            head: ResponseHead::default(),
            ended: false,
        }
    }

    fn took(&self) -> Duration {
        self.edge.now().saturating_sub(self.started)
    }

    /// Reports whether the attempt uses a connection that was kept.
    fn is_reused(&self) -> bool {
        self.connection == ConnectionSource::Kept
    }

    /// Reports whether the attempt ended with `outcome` because its kept connection was closed, or
    /// brought the response to an earlier request.
    fn is_stale(&self, outcome: AttemptOutcome) -> bool {
        outcome == AttemptOutcome::TransportError && self.is_reused() && self.head.status == 0
    }

    fn log(&self, end: &str) {
        let limit = self.head.limit.map(|limit| limit.to_string()).unwrap_or_default();
        log::info!(target: "request", id = self.id.as_str(), upstream:% = self.upstream, version:% = self.version, end = end, connection:% = self.connection, status = self.head.status, limit = limit.as_str(), took = self.took().as_millis() as u64, expected = self.estimate.as_millis() as u64, cost = (self.work.cost * 100.0) as u64, slowness = (self.work.slowness * 100.0) as u64, running = self.running, load = self.load_tokens; "An upstream was tried.");
    }

    /// Records the result in the loads and in the log; a transport error marks the request as a
    /// suspect in a crash of the upstream.
    fn finish(
        mut self,
        request: &CallerRequest,
        choice: &Choice,
        result: &Result<ReceivedResponse, AttemptFailure>,
    ) {
        self.ended = true;
        if self.head.status > 0 {
            self.edge.paths.table.borrow_mut().record_response(&self.upstream, self.edge.now());
        }
        let mut loads = self.edge.loads.borrow_mut();
        let end = match result {
            Ok(ReceivedResponse::Stream(..)) => {
                loads.record_latency(&request.service, &self.upstream, self.took(), self.estimate);
                let (edge, upstream) = (&self.edge, &self.upstream);
                work::record_first_event(edge, request, upstream, self.took(), &self.work);
                "open"
            }
            Ok(ReceivedResponse::Full(_)) => {
                quarantine::record_served(&self.edge, request.fingerprint);
                "answered"
            }
            Err(failure) => failure.outcome.as_str(),
        };
        let failed =
            matches!(result, Err(failure) if failure.outcome != AttemptOutcome::Misdirected);
        loads.record_result(&self.upstream, failed);
        drop(loads);
        self.log(end);
        let broken =
            matches!(result, Err(failure) if failure.outcome == AttemptOutcome::TransportError);
        if broken {
            record_broken(&self.edge, request, choice, self.head.status);
        }
    }
}

impl Drop for AttemptRecord {
    fn drop(&mut self) {
        if !self.ended {
            self.log("given_up");
        }
    }
}

/// Records that the connection to an upstream broke while it may have run the request. Requests that
/// wait for their turn at the upstream break like the one that it had just begun, before the head.
fn record_broken(edge: &Rc<Edge>, request: &CallerRequest, choice: &Choice, status: u16) {
    let has_begun = (200..300).contains(&status);
    let strength = if has_begun { EvidenceStrength::Strong } else { EvidenceStrength::Weak };
    let broken = request.broken_attempt(strength);
    quarantine::record_broken(edge, broken, &UpstreamRun::from(&choice.entry));
}

async fn send_and_receive(
    edge: &Rc<Edge>,
    request: &CallerRequest,
    choice: &Choice,
    point: Option<StreamPoint>,
    load_guard: &mut LoadGuard,
    record: &mut AttemptRecord,
) -> Result<ReceivedResponse, AttemptFailure> {
    let upstream_headers = UpstreamHeaders {
        upstream: choice.entry.name.to_string(),
        tenant: request.tenant.as_ref().map(|tenant| tenant.name.to_string()),
        remaining_time: request.remaining_time(edge.now()),
        priority: request.caller_headers.model.as_ref().map(|_| request.queue_priority()),
        last_event: point.map(|point| point.last_id),
    };
    let outgoing = OutgoingRequest {
        method: request.method.clone(),
        target: request.target.clone(),
        headers: upstream_headers.build(&request.headers),
        body: request.body.clone(),
    };
    let (entry, deadline) = (&choice.entry, request.deadline);
    let connection = &mut record.connection;
    let mut response =
        paths::send(edge, entry, !choice.fresh, outgoing, deadline, connection).await?;
    let status = response.status;
    let limit = turns::read_limit(edge, &choice.entry, &response.headers);
    let (id, reused) = (&request.caller_headers.request_id, record.is_reused());
    let kind = ResponseKind::classify(status, &response.headers, id, reused);
    quiet::read(edge, &choice.entry, status, &response.headers);
    rooms::record_head(edge, &choice.entry, choice.room.as_deref(), status, kind);
    if kind == ResponseKind::WrongRequest {
        log::info!(target: "pool", id = id.as_str(), upstream:% = choice.entry.name, status = status, reused = reused; "A response does not belong to its request.");
        return Err(AttemptOutcome::TransportError.into());
    }
    record.head = ResponseHead { status, limit };
    if request.route.kind.is_stream() && (200..300).contains(&status) {
        let source = event_ids::source(request, &choice.entry.version);
        let step = edge.id_sources.borrow().step(source);
        let mut splitter = event_stream::splitter(request, point, step, response.is_delimited());
        let name = &choice.entry.name;
        let started = event_stream::receive_first_events(&mut response, &mut splitter, name);
        let events = started.await?;
        if point.is_some() && splitter.awaits_event() {
            // Nothing shows that this is the end of the stream.
            return Err(AttemptOutcome::NotContinued.into());
        }
        load_guard.record_first_event();
        return Ok(ReceivedResponse::Stream(Box::new(response), splitter, events));
    }
    let body = response.read_to_end(MAX_RESPONSE_BYTES, &edge.response_budget).await?;
    let full = FullResponse { status, headers: strip_response_headers(&response.headers), body };
    let failed = |outcome: AttemptOutcome| Err(outcome.into());
    match kind {
        ResponseKind::NotExecuted => failed(AttemptOutcome::NotRun),
        ResponseKind::Misdirected => failed(AttemptOutcome::Misdirected),
        _ if status >= 500 => Err(AttemptFailure {
            outcome: AttemptOutcome::ServerError,
            response: Some(Box::new(full)),
            stale_connection: false,
        }),
        _ if point.is_some() => failed(AttemptOutcome::NotContinued),
        _ => Ok(ReceivedResponse::Full(full)),
    }
}
