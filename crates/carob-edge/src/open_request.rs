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
        let took = self.edge.now().saturating_sub(self.arrival).as_millis() as u64;
        let position = self.position.borrow();
        let upstream = position.as_ref().map_or("", |position| position.upstream.as_str());
        let last = position.as_ref().and_then(|position| position.last_id).unwrap_or(0);
        log::info!(target: "request", id = self.id.as_str(), upstream = upstream, last = last, took = took; "A stream ended whole.");
        self.close();
    }

    /// Logs the end of a stream that was broken off; `why` says why nothing else was done.
    pub fn end_broken(&self, outcome: AttemptOutcome, why: &str) {
        self.log_broken(outcome.as_str(), why);
        self.close();
    }

    fn log_broken(&self, end: &str, why: &str) {
        let now = self.edge.now();
        let millis = |from: Duration| now.saturating_sub(from).as_millis() as u64;
        let position = self.position.borrow();
        let upstream = position.as_ref().map_or("", |position| position.upstream.as_str());
        let last = position.as_ref().and_then(|position| position.last_id).unwrap_or(0);
        let silent = position.as_ref().map_or(0, |position| millis(position.received_at));
        let left = self.deadline.saturating_sub(now).as_millis() as u64;
        log::info!(target: "request", id = self.id.as_str(), upstream = upstream, last = last, took = millis(self.arrival), end = end, why = why, silent = silent, left = left; "A stream was broken off.");
    }

    /// Logs that the caller disconnected.
    pub fn end_left(&self) {
        let took = self.edge.now().saturating_sub(self.arrival).as_millis() as u64;
        let position = self.position.borrow();
        let upstream = position.as_ref().map_or("", |position| position.upstream.as_str());
        let last = position.as_ref().and_then(|position| position.last_id).unwrap_or(0);
        log::info!(target: "request", id = self.id.as_str(), upstream = upstream, last = last, took = took; "The caller left its stream.");
        self.close();
    }

    /// Logs the end of a request that was dropped.
    fn log_dropped(&self, end: &str) {
        if self.position.borrow().is_some() {
            return self.log_broken(end, "");
        }
        let took = self.edge.now().saturating_sub(self.arrival).as_millis() as u64;
        let left = self.deadline.saturating_sub(self.edge.now()).as_millis() as u64;
        log::info!(target: "request", id = self.id.as_str(), took = took, end = end, left = left; "A request ended without a response.");
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
