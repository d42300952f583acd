//! How far a vm has read the log, so that other vms can rely on it instead of reading themselves.

use std::collections::VecDeque;
use std::time::Duration;

use crate::units::LogEra;

/// How long a vm may rely on another vm's reading. Shorter than the age of the configuration from
/// which a vm is not ready.
const READING_TTL: Duration = Duration::from_millis(1600);

/// An offset of a topic. One of another era says nothing: the log gives out offsets again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogPosition {
    /// The era of the log in which the offset was read.
    pub era: LogEra,
    /// The offset.
    pub offset: u64,
}

/// State of a vm's reading of a topic of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogReading {
    /// The era of the log that was read.
    pub era: LogEra,
    /// Offset after the last record that was read.
    pub read_to: u64,
    /// Offset after the last record that changed anything.
    pub changed_to: u64,
    /// Time up to which no further record had been written.
    pub confirmed_at: Duration,
}

impl LogReading {
    /// Creates the reading of another vm that was confirmed `age` before that vm responded to a
    /// message sent at `requested_at`. The response came after `requested_at`, so the reading
    /// counts as older than it is.
    pub fn from_peer(read_to: u64, changed_to: u64, requested_at: Duration, age: Duration) -> Self {
        let confirmed_at = requested_at.saturating_sub(age);
        LogReading { era: LogEra::default(), read_to, changed_to, confirmed_at }
    }

    /// Returns this reading for a vm that had its own before, with the later `changed_to` of both,
    /// so that a third vm that relies on the result does not miss a change.
    pub fn keeping_change(self, own: Option<LogReading>) -> Self {
        let own = own.filter(|own| own.era == self.era);
        let changed_to = own.map_or(self.changed_to, |own| own.changed_to.max(self.changed_to));
        LogReading { changed_to, ..self }
    }

    /// Reports whether other vms may rely on the reading at `now`.
    pub fn is_fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.confirmed_at) < READING_TTL
    }

    /// Returns the offset from which to resume without reading, for a vm that read up to `next` and
    /// received all changes from `since` on. Returns none if the vm has to read the log itself.
    pub fn resume_offset(&self, next: u64, since: u64, now: Duration) -> Option<u64> {
        let known = since.min(self.changed_to) <= next;
        (self.is_fresh(now) && known).then(|| self.read_to.max(next))
    }
}

/// How long a change is sent to other vms: long enough for several messages.
const CHANGE_TTL: Duration = Duration::from_millis(1500);

/// The latest records that changed anything, to be sent to other vms.
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
    /// Drops all records; the changes are complete from `offset` on.
    pub fn reset(&mut self, offset: u64) {
        self.entries.clear();
        self.complete_from = offset;
    }

    /// Adds the record at `offset`, which changed something, and drops expired ones.
    pub fn push(&mut self, offset: u64, record: T, now: Duration) {
        self.entries.push_back((now, offset, record));
        while self.entries.front().is_some_and(|(at, _, _)| now.saturating_sub(*at) >= CHANGE_TTL) {
            if let Some((_, offset, _)) = self.entries.pop_front() {
                self.complete_from = offset + 1;
            }
        }
    }

    /// Returns the latest changes, up to `max_bytes` in total, and the offset from which they are
    /// complete.
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
