//! Splits a stream of server-sent events, so that only whole events are passed on.

use std::fmt::{self, Display};

use bytes::{Bytes, BytesMut};

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
    last_id: Option<u64>,
    event_count: u64,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after the event `last_id`.
    pub fn resuming_after(last_id: Option<u64>) -> Self {
        EventSplitter { last_id, ..EventSplitter::default() }
    }

    /// Appends bytes and returns the events that they complete; `None` when they complete none.
    ///
    /// # Errors
    ///
    /// Returns `EventTooLong` when an event has not ended after [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventTooLong> {
        self.buf.extend_from_slice(bytes);
        let whole = self.last_event_end().map(|end| {
            self.scanned_bytes = 0;
            self.buf.split_to(end).freeze()
        });
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        whole.iter().for_each(|whole| self.record_ids(whole));
        Ok(whole)
    }

    /// Returns the position after the last blank line, or `None` without one.
    fn last_event_end(&mut self) -> Option<usize> {
        let from = self.scanned_bytes.saturating_sub(3);
        let lf = find_last(&self.buf[from..], b"\n\n").map(|at| from + at + 2);
        let crlf = find_last(&self.buf[from..], b"\r\n\r\n").map(|at| from + at + 4);
        self.scanned_bytes = self.buf.len();
        lf.max(crlf)
    }

    fn record_ids(&mut self, whole: &[u8]) {
        for line in whole.split(|byte| *byte == b'\n') {
            let Some(value) = line.strip_prefix(b"id:") else {
                continue;
            };
            let text = std::str::from_utf8(value).unwrap_or_default();
            if let Ok(id) = text.trim().parse() {
                self.last_id = Some(id);
                self.event_count += 1;
            }
        }
    }

    /// Returns the id of the last whole event with a numeric id, or the id given to
    /// [`EventSplitter::resuming_after`] before the first such event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of whole events with a numeric id.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Reports whether the buffer holds the start of an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.buf.is_empty()
    }
}

fn find_last(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).rposition(|window| window == needle)
}
