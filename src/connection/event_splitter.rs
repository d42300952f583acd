//! Splits a stream of server-sent events, so that only whole events are passed on.

use std::fmt::{self, Display};

use bytes::{Bytes, BytesMut};

use super::event_sequence::{EventCheck, EventSequence, NotNext, StreamPoint};
use super::id_distances::IdDistances;

/// Maximum size of an event that has not ended.
pub const MAX_EVENT_BYTES: usize = 64 << 10;

/// Error for an event that has not ended after [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

impl Display for EventTooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an event has not ended after {MAX_EVENT_BYTES} bytes")
    }
}

impl std::error::Error for EventTooLong {}

/// Splits a byte stream into whole events and tracks their ids.
///
/// ```
/// use carobglade::EventSplitter;
/// let mut splitter = EventSplitter::default();
/// let events = splitter.push(b"id: 4\ndata: x\n\nid: 5\nda").unwrap();
/// assert_eq!(events.unwrap(), "id: 4\ndata: x\n\n");
/// assert_eq!(splitter.last_id(), Some(4));
/// assert!(splitter.has_partial());
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    scanned_bytes: usize,
    sequence: EventSequence,
    refused: bool,
}

impl EventSplitter {
    /// Creates a splitter for a response that begins a stream.
    pub fn new(check: EventCheck) -> Self {
        EventSplitter { sequence: EventSequence::new(check), ..EventSplitter::default() }
    }

    /// Creates a splitter for a response that continues a stream at `point`.
    pub fn continuing(point: StreamPoint) -> Self {
        EventSplitter { sequence: EventSequence::continuing(point), ..EventSplitter::default() }
    }

    /// Appends bytes and returns the events that they complete; `None` when they complete none.
    /// Events that the caller may not be given are kept back, with all that follows them;
    /// [`EventSplitter::check`] tells of them. Events that cannot be judged yet are kept back too.
    ///
    /// # Errors
    ///
    /// Returns `EventTooLong` when an event has not ended after [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventTooLong> {
        if self.refused {
            return Ok(None);
        }
        self.buf.extend_from_slice(bytes);
        let whole = self.last_event_end().and_then(|end| self.take_allowed(end));
        if !self.refused && self.buf.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(whole)
    }

    /// Takes the events up to `end` that the caller may be given.
    fn take_allowed(&mut self, end: usize) -> Option<Bytes> {
        let recorded = self.sequence.record(&self.buf[..end]);
        self.refused = recorded.is_err() && !self.sequence.is_undecided();
        self.scanned_bytes = 0;
        let allowed = recorded.err().unwrap_or(end);
        (allowed > 0).then(|| self.buf.split_to(allowed).freeze())
    }

    /// Checks that nothing was kept back.
    ///
    /// # Errors
    ///
    /// Returns `NotNext` when the response went on with something that is not the next event.
    pub fn check(&self) -> Result<(), NotNext> {
        if self.refused { Err(NotNext) } else { Ok(()) }
    }

    /// Returns the position after the last blank line, or `None` without one.
    fn last_event_end(&mut self) -> Option<usize> {
        let from = self.scanned_bytes.saturating_sub(3);
        let lf = find_last(&self.buf[from..], b"\n\n").map(|at| from + at + 2);
        let crlf = find_last(&self.buf[from..], b"\r\n\r\n").map(|at| from + at + 4);
        self.scanned_bytes = self.buf.len();
        lf.max(crlf)
    }

    /// Returns the id of the last whole event with a numeric id; before the first one, that of the
    /// event after which the stream is continued.
    pub fn last_id(&self) -> Option<u64> {
        self.point().map(|point| point.last_id)
    }

    /// Returns the point after the last whole event with a numeric id, if any.
    pub fn point(&self) -> Option<StreamPoint> {
        self.sequence.point()
    }

    /// Returns the distances between the ids of events since the last call.
    pub fn take_distances(&mut self) -> IdDistances {
        self.sequence.take_distances()
    }

    /// Returns the number of whole events with a numeric id.
    pub fn event_count(&self) -> u64 {
        self.sequence.event_count()
    }

    /// Reports whether the caller may not be given anything yet, because no event has come that
    /// continues its stream.
    pub fn awaits_event(&self) -> bool {
        self.sequence.awaits_event()
    }

    /// Reports whether the buffer holds the start of an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.buf.is_empty()
    }
}

fn find_last(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).rposition(|window| window == needle)
}
