//! What a vm read of the log, as others may rest on it.

use std::collections::VecDeque;
use std::time::Duration;

/// How long a neighbour's reading of a log is taken instead of an own one.
const READING_TTL: Duration = Duration::from_millis(1600); // shorter than the bound of readiness

/// What a vm read of a topic of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogReading {
    /// Offset up to which records were read.
    pub read_to: u64,
    /// Offset after the last record that changed anything.
    pub changed_to: u64,
    /// Moment up to which nothing else had been written.
    pub confirmed_at: Duration,
}

impl LogReading {
    /// What another vm read, `age` before it answered a message that was sent at `asked_at`. The
    /// answer came later than that, so the reading is taken for older than it is.
    pub fn from_peer(read_to: u64, changed_to: u64, asked_at: Duration, age: Duration) -> Self {
        LogReading { read_to, changed_to, confirmed_at: asked_at.saturating_sub(age) }
    }

    /// This reading by a vm that had another of its own: what changed before stays known, so that
    /// whoever rests on this vm does not miss it.
    pub fn keeping_change(self, own: Option<LogReading>) -> Self {
        let changed_to = own.map_or(self.changed_to, |own| own.changed_to.max(self.changed_to));
        LogReading { changed_to, ..self }
    }

    /// Whether others may rest on it.
    pub fn is_fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.confirmed_at) < READING_TTL
    }

    /// The offset to go on from without reading, for a vm that read up to `next` and was told
    /// what changed from `since` on; none when it has to read by itself.
    pub fn resume_offset(&self, next: u64, since: u64, now: Duration) -> Option<u64> {
        let known = since.min(self.changed_to) <= next;
        (self.is_fresh(now) && known).then(|| self.read_to.max(next))
    }
}

/// How long a change is passed on.
const CHANGE_TTL: Duration = Duration::from_millis(1500); // several messages

/// The latest records that changed anything, to be passed on.
#[derive(Clone, Debug)]
pub struct RecentChanges<T> {
    entries: VecDeque<(Duration, u64, T)>,
    complete_from: u64,
}

impl<T> Default for RecentChanges<T> {
    fn default() -> Self {
        RecentChanges { entries: VecDeque::new(), complete_from: 0 }
    }
}

impl<T> RecentChanges<T> {
    /// Everything below `offset` is known by other means.
    pub fn reset(&mut self, offset: u64) {
        self.entries.clear();
        self.complete_from = offset;
    }

    /// The record at `offset` changed something.
    pub fn push(&mut self, offset: u64, record: T, now: Duration) {
        self.entries.push_back((now, offset, record));
        while self.entries.front().is_some_and(|(at, _, _)| now.saturating_sub(*at) >= CHANGE_TTL) {
            if let Some((_, offset, _)) = self.entries.pop_front() {
                self.complete_from = offset + 1;
            }
        }
    }

    /// The latest changes, of `max_bytes` together, and the offset from which on they are all.
    pub fn latest(&self, size: impl Fn(&T) -> usize, max_bytes: usize) -> (u64, Vec<(u64, &T)>) {
        let mut left = max_bytes;
        let mut latest = Vec::new();
        for (_, offset, record) in self.entries.iter().rev() {
            let Some(rest) = left.checked_sub(size(record)) else {
                latest.reverse();
                return (offset + 1, latest);
            };
            left = rest;
            latest.push((*offset, record));
        }
        latest.reverse();
        (self.complete_from, latest)
    }
}
