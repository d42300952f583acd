//! The last log line of every admitted request.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use carobglade::{AttemptOutcome, UpstreamName};

use crate::edge::Edge;
use crate::request::CallerRequest;

/// How far a stream was forwarded.
#[derive(Clone, Debug)]
struct StreamPosition {
    /// The upstream that sends the stream.
    upstream: UpstreamName,
    /// Id of the last event that was received.
    last_id: Option<u64>,
    /// Time of the last event, or of the start of the stream.
    received_at: Duration,
}

/// An admitted request. When it is dropped before its end was logged, because the caller
/// disconnected or the process stops, that is logged as its end.
pub struct OpenRequest {
    edge: Rc<Edge>,
    id: String,
    arrival: Duration,
    deadline: Duration,
    position: RefCell<Option<StreamPosition>>,
    ended: Cell<bool>,
}

impl OpenRequest {
    /// Opens a request.
    pub fn new(edge: &Rc<Edge>, request: &CallerRequest) -> Self {
        OpenRequest {
            edge: Rc::clone(edge),
            id: request.caller_headers.request_id.clone(),
            arrival: request.arrival,
            deadline: request.deadline,
            position: RefCell::new(None),
            ended: Cell::new(false),
        }
    }

    /// Records that `upstream` sent events, up to the id `last_id`.
    pub fn record_events(&self, upstream: &UpstreamName, last_id: Option<u64>) {
        let received_at = self.edge.now();
        let upstream = upstream.clone();
        *self.position.borrow_mut() = Some(StreamPosition { upstream, last_id, received_at });
    }

    /// Returns the id of the last event that was received.
    pub fn last_id(&self) -> Option<u64> {
        self.position.borrow().as_ref()?.last_id
    }

    /// Marks the request as ended; its last line is written elsewhere.
    pub fn close(&self) {
        self.ended.set(true);
    }

    /// Logs the end of a complete stream.
    pub fn end_whole(&self) {
        let (upstream, last) = self.stream_fields();
        log::info!(target: "request", id = self.id.as_str(), upstream = upstream.as_str(), last = last, took = self.took(); "A stream ended whole.");
        self.close();
    }

    /// Logs the end of a stream that was broken off; `why` says why nothing else was done.
    pub fn end_broken(&self, outcome: AttemptOutcome, why: &str) {
        self.log_broken(outcome.as_str(), why);
        self.close();
    }

    /// Logs that the caller disconnected.
    pub fn end_left(&self) {
        let (upstream, last) = self.stream_fields();
        log::info!(target: "request", id = self.id.as_str(), upstream = upstream.as_str(), last = last, took = self.took(); "The caller left its stream.");
        self.close();
    }

    fn log_broken(&self, end: &str, why: &str) {
        let (upstream, last) = self.stream_fields();
        log::info!(target: "request", id = self.id.as_str(), upstream = upstream.as_str(), last = last, took = self.took(), end = end, why = why, silent = self.silence(), left = self.time_left(); "A stream was broken off.");
    }

    /// Logs the end of a request that was dropped.
    fn log_dropped(&self, end: &str) {
        if self.position.borrow().is_some() {
            return self.log_broken(end, "");
        }
        log::info!(target: "request", id = self.id.as_str(), took = self.took(), end = end, left = self.time_left(); "A request ended without a response.");
    }

    /// Returns the upstream of the stream and the id of its last event; an empty name and 0 before
    /// the stream began.
    fn stream_fields(&self) -> (String, u64) {
        match &*self.position.borrow() {
            Some(position) => (position.upstream.to_string(), position.last_id.unwrap_or(0)),
            None => (String::new(), 0),
        }
    }

    /// Returns the time since the last event, in milliseconds.
    fn silence(&self) -> u64 {
        let received_at = self.position.borrow().as_ref().map(|position| position.received_at);
        received_at.map_or(0, |at| self.edge.now().saturating_sub(at).as_millis() as u64)
    }

    /// Returns the time since the arrival, in milliseconds.
    fn took(&self) -> u64 {
        self.edge.now().saturating_sub(self.arrival).as_millis() as u64
    }

    /// Returns the time until the deadline, in milliseconds.
    fn time_left(&self) -> u64 {
        self.deadline.saturating_sub(self.edge.now()).as_millis() as u64
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if self.ended.get() {
            return;
        }
        if std::thread::panicking() {
            self.log_dropped("panicked");
        } else if self.edge.stopped.get() {
            self.log_dropped("stopped");
        } else {
            self.log_dropped("left");
        }
    }
}
