//! Replay of a log stream into a state that is the same for every reader.

use std::collections::VecDeque;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::process::{LogEntry, Record, Snapshot};
use crate::{Error, ErrorKind, Offset, Result};

const MAX_RECENT_IDS: usize = 1024; // entry ids kept to detect duplicate appends

/// Deterministic state machine: its state depends only on the entries applied.
pub trait StateMachine: Default + Serialize + DeserializeOwned {
    /// Applies an entry to the state.
    fn apply(&mut self, entry: &LogEntry);
}

/// Consecutive entries read from a stream.
#[derive(Clone, Debug)]
pub struct ReplayPage {
    /// Oldest offset that the log still keeps.
    pub first: Offset,
    /// Offset of the next append.
    pub next: Offset,
    /// Entries of the page, in offset order.
    pub entries: Vec<LogEntry>,
}

/// Progress of a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplayStatus {
    /// The state is complete up to [`Replay::next_offset`].
    Current,
    /// Entries are missing, and no snapshot that covers them has been found yet.
    Searching,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct RecentIds {
    ids: VecDeque<u64>,
}

impl RecentIds {
    fn insert(&mut self, id: &str) -> bool {
        let hash = xxh3_64(id.as_bytes());
        if self.ids.contains(&hash) {
            return false;
        }
        if self.ids.len() == MAX_RECENT_IDS {
            self.ids.pop_front();
        }
        self.ids.push_back(hash);
        true
    }
}

#[derive(Default, Serialize, Deserialize)]
#[serde(bound = "S: Serialize + DeserializeOwned")]
struct SnapshotContent<S> {
    state: S,
    recent: RecentIds,
}

/// Applies the entries of a stream to a state machine in offset order, ignoring duplicates.
///
/// If entries were trimmed from the log before they were read, replay waits for a snapshot that
/// covers the gap. A current replay ignores snapshots in the stream, so that an old snapshot cannot
/// revert the state.
pub struct Replay<S> {
    content: SnapshotContent<S>,
    next: Offset,
    status: ReplayStatus,
    waiting: Vec<LogEntry>,
    entries_since_snapshot: u64,
}

impl<S: StateMachine> Default for Replay<S> {
    fn default() -> Self {
        Replay {
            content: SnapshotContent { state: S::default(), recent: RecentIds::default() },
            next: Offset::FIRST,
            status: ReplayStatus::Current,
            waiting: Vec::new(),
            entries_since_snapshot: 0,
        }
    }
}

impl<S: StateMachine> Replay<S> {
    /// Returns the replayed state.
    pub fn state(&self) -> &S {
        &self.content.state
    }

    /// Returns the next offset to read.
    pub fn next_offset(&self) -> Offset {
        match self.waiting.last() {
            Some(entry) => entry.offset.next(),
            None => self.next,
        }
    }

    /// Returns the progress of the replay.
    pub fn status(&self) -> ReplayStatus {
        self.status
    }

    /// Returns the number of entries applied since the last snapshot in the stream.
    pub fn entries_since_snapshot(&self) -> u64 {
        self.entries_since_snapshot
    }

    /// Applies a page and returns the entries that were applied to the state; duplicates and
    /// entries that wait for a snapshot are left out.
    pub fn apply_page(&mut self, page: &ReplayPage) -> Vec<LogEntry> {
        if page.first > self.next_offset() {
            self.search_from(page.first);
        }
        let mut applied = Vec::new();
        for entry in &page.entries {
            match self.status {
                ReplayStatus::Current => self.apply(entry, &mut applied),
                ReplayStatus::Searching => self.search(entry, &mut applied),
            }
        }
        applied
    }

    fn search_from(&mut self, first: Offset) {
        self.status = ReplayStatus::Searching;
        self.waiting.clear();
        self.next = first;
    }

    fn apply(&mut self, entry: &LogEntry, applied: &mut Vec<LogEntry>) {
        if entry.offset < self.next {
            return;
        }
        self.next = entry.offset.next();
        self.entries_since_snapshot += 1;
        if entry.records.iter().any(|record| matches!(record, Record::Snapshot(_))) {
            self.entries_since_snapshot = 0;
        }
        if self.content.recent.insert(&entry.id) {
            self.content.state.apply(entry);
            applied.push(entry.clone());
        }
    }

    fn search(&mut self, entry: &LogEntry, applied: &mut Vec<LogEntry>) {
        self.waiting.push(entry.clone());
        let snapshots = entry.records.iter().filter_map(|record| match record {
            Record::Snapshot(snapshot) => Some(snapshot),
            _ => None,
        });
        let covering =
            snapshots.into_iter().find(|snapshot| snapshot.last_offset.next() >= self.next);
        let Some(snapshot) = covering else { return };
        let waiting = std::mem::take(&mut self.waiting);
        if self.install_snapshot(snapshot).is_err() {
            self.waiting = waiting;
            return;
        }
        for entry in &waiting {
            self.apply(entry, applied);
        }
    }

    /// Replaces the state by that of a snapshot from a peer or from the log.
    ///
    /// # Errors
    ///
    /// `InvalidRequest` if the snapshot does not parse, or if it is older than a current state.
    pub fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        if self.status == ReplayStatus::Current && snapshot.last_offset < self.next {
            let message =
                format!("snapshot up to {} is older than the state", snapshot.last_offset);
            return Err(Error::new(ErrorKind::InvalidRequest, message));
        }
        let content: SnapshotContent<S> = serde_json::from_value(snapshot.state.clone())
            .map_err(|err| Error::new(ErrorKind::InvalidRequest, format!("snapshot: {err}")))?;
        self.content = content;
        self.next = snapshot.last_offset.next();
        self.status = ReplayStatus::Current;
        self.waiting.clear();
        Ok(())
    }

    /// Returns a snapshot of the state; `None` if the replay is not current or has read nothing.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let last_offset = self.next.0.checked_sub(1).map(Offset)?;
        if self.status != ReplayStatus::Current {
            return None;
        }
        let state = serde_json::to_value(&self.content).ok()?;
        Some(Snapshot { last_offset, state })
    }
}
