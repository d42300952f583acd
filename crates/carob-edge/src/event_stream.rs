//! The events of a response, as far as the caller may be given them.

use bytes::{Bytes, BytesMut};
use carobglade::{
    AttemptOutcome, EventCheck, EventSplitter, IdDistances, IdStep, MAX_EVENT_BYTES,
    SoftwareVersion, StreamPoint, UpstreamEntry, UpstreamName,
};
use http::HeaderMap;

use crate::broken_attempt::UpstreamRun;
use crate::edge::Edge;
use crate::load_guard::LoadGuard;
use crate::pool::IncomingResponse;
use crate::request::CallerRequest;

/// Events of a stream after which the distances between their ids are reported first: as many as tell
/// that ids are even.
const FIRST_REPORT: u64 = 5;
/// Events from one such report to the next.
const EVENTS_PER_REPORT: u64 = 32;

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
    /// The run of that upstream.
    pub run: UpstreamRun,
    /// The version of the upstream's software.
    pub version: SoftwareVersion,
    /// The response; `None` once it failed, which closes its connection.
    response: Option<Box<IncomingResponse>>,
    splitter: EventSplitter,
    ended: bool,
    load: LoadGuard,
    /// Number of events from which the distances between their ids are reported next.
    next_report: u64,
}

impl EventStream {
    /// Goes on with a response of `entry` whose first events were read with `splitter`.
    pub fn new(
        entry: &UpstreamEntry,
        response: Box<IncomingResponse>,
        splitter: EventSplitter,
        load: LoadGuard,
    ) -> Self {
        let (name, version) = (entry.name.clone(), entry.version.clone());
        let run = UpstreamRun::from(entry);
        EventStream {
            name,
            run,
            version,
            response: Some(response),
            splitter,
            ended: false,
            load,
            next_report: FIRST_REPORT,
        }
    }

    /// Returns the next complete events, or `None` at the end of a complete stream.
    ///
    /// # Errors
    ///
    /// Returns `TransportError` when the stream ends in the middle of an event or its connection
    /// fails, and `NotContinued` when something other than the next event came.
    pub async fn next(&mut self) -> Result<Option<Bytes>, AttemptOutcome> {
        let events = self.read_events().await;
        if events.is_err() {
            self.response = None;
        }
        events
    }

    async fn read_events(&mut self) -> Result<Option<Bytes>, AttemptOutcome> {
        loop {
            if self.ended {
                return Ok(None);
            }
            self.splitter.check().map_err(|_| AttemptOutcome::NotContinued)?;
            let response = self.response.as_mut().ok_or(AttemptOutcome::TransportError)?;
            let chunk = response.next_chunk().await?;
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
        self.response.as_ref().is_some_and(|response| response.is_delimited())
    }

    /// Returns the id of the last event that was returned, if any.
    pub fn last_id(&self) -> Option<u64> {
        self.splitter.last_id()
    }

    /// Returns the distances between the ids of events that no call has returned before, at the end of
    /// the stream or once there are enough of them.
    pub fn take_distances(&mut self) -> Option<IdDistances> {
        if !self.ended && self.splitter.event_count() < self.next_report {
            return None;
        }
        self.next_report = self.splitter.event_count() + EVENTS_PER_REPORT;
        Some(self.splitter.take_distances())
    }

    /// Returns the point after the last event that was returned, if any has an id.
    pub fn point(&self) -> Option<StreamPoint> {
        self.splitter.point()
    }
}

/// Returns the splitter for a response to `request`, which continues a stream at `point` or where the
/// caller takes it up. `step` is what other streams of the same source tell of the ids of events;
/// `delimited` tells whether the response tells its end by itself.
pub fn splitter(
    request: &CallerRequest,
    point: Option<StreamPoint>,
    step: IdStep,
    delimited: bool,
) -> EventSplitter {
    let taken_up = request.caller_headers.last_event.filter(|id| *id > 0);
    let taken_up = taken_up.filter(|_| request.route.kind.is_repeatable());
    match point.or(taken_up.map(StreamPoint::after)) {
        Some(point) => EventSplitter::continuing(point.with_source(step)),
        None if delimited => EventSplitter::new(EventCheck::None),
        None => EventSplitter::new(EventCheck::Increasing),
    }
}

/// Reads the first events of a response; none if it is whole without any.
///
/// # Errors
///
/// Returns `TransportError` when the response ends too early, and `NotContinued` when it begins with
/// something other than the next event of its stream.
pub async fn receive_first_events(
    response: &mut IncomingResponse,
    splitter: &mut EventSplitter,
    name: &UpstreamName,
) -> Result<Bytes, AttemptOutcome> {
    let mut comments = BytesMut::new();
    loop {
        let Some(chunk) = response.next_chunk().await? else {
            // Without a delimiter, no event may as well mean that the upstream crashed.
            return if !response.is_delimited() {
                Err(AttemptOutcome::TransportError)
            } else if !splitter.has_partial() {
                Ok(comments.freeze())
            } else if splitter.awaits_event() {
                Err(AttemptOutcome::NotContinued)
            } else {
                Err(AttemptOutcome::TransportError)
            };
        };
        let events = push_chunk(splitter, name, &chunk)?;
        if splitter.awaits_event() {
            splitter.check().map_err(|_| AttemptOutcome::NotContinued)?;
            comments.extend_from_slice(&events.unwrap_or_default());
            if comments.len() > MAX_EVENT_BYTES {
                return Err(AttemptOutcome::NotContinued);
            }
        } else if let Some(events) = events {
            return Ok(prepend(comments, events));
        }
    }
}

fn prepend(mut comments: BytesMut, events: Bytes) -> Bytes {
    if comments.is_empty() {
        return events;
    }
    comments.extend_from_slice(&events);
    comments.freeze()
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

/// Counts and logs an `outcome` that says that `upstream` did not go on after the event `last_id`.
pub fn record_refusal(
    edge: &Edge,
    request: &CallerRequest,
    upstream: &UpstreamName,
    last_id: Option<u64>,
    outcome: AttemptOutcome,
) {
    if outcome != AttemptOutcome::NotContinued {
        return;
    }
    edge.metrics.record_not_continued();
    log::warn!(target: "request", id = request.caller_headers.request_id.as_str(), upstream:% = upstream, last = last_id.unwrap_or(0); "An upstream did not go on with the next event of a stream.");
}
