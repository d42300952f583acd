//! Replays a stream of the log into a state that is the same for every reader.

use std::collections::VecDeque;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::process::{Entry, Record, Snapshot};
use crate::{Error, ErrorKind, Offset, Result};

const RECENT_IDS: usize = 1024; // ids of appends that are remembered for duplicates

/// A deterministic state machine that is built from log entries.
pub trait StateMachine: Default + Serialize + DeserializeOwned {
    /// Applies an entry.
    fn apply(&mut self, entry: &Entry);
}

/// A page of a stream as it was read.
#[derive(Clone, Debug)]
pub struct ReplayPage {
    /// The oldest offset that is still kept.
    pub first: Offset,
    /// The offset that the next append will get.
    pub next: Offset,
    /// The entries.
    pub entries: Vec<Entry>,
}

/// Where a reader stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplayStatus {
    /// The state is complete up to [`Replay::next_offset`].
    Current,
    /// No snapshot has been found that reaches back to the oldest entry.
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
        if self.ids.len() == RECENT_IDS {
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

/// Folds the entries of a stream in offset order.
///
/// A reader that starts behind the oldest kept entry waits for a snapshot that covers the gap. A
/// reader that is current ignores snapshots, so that an old one reverts nothing.
pub struct Replay<S> {
    content: SnapshotContent<S>,
    next: Offset,
    status: ReplayStatus,
    waiting: Vec<Entry>,
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
    /// The state.
    pub fn state(&self) -> &S {
        &self.content.state
    }

    /// The offset to read from.
    pub fn next_offset(&self) -> Offset {
        match self.waiting.last() {
            Some(entry) => entry.offset.next(),
            None => self.next,
        }
    }

    /// Where the reader stands.
    pub fn status(&self) -> ReplayStatus {
        self.status
    }

    /// Entries since the last snapshot in the stream.
    pub fn entries_since_snapshot(&self) -> u64 {
        self.entries_since_snapshot
    }

    /// Applies a page and returns the entries that took part in the state.
    pub fn apply_page(&mut self, page: &ReplayPage) -> Vec<Entry> {
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

    fn apply(&mut self, entry: &Entry, applied: &mut Vec<Entry>) {
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

    fn search(&mut self, entry: &Entry, applied: &mut Vec<Entry>) {
        self.waiting.push(entry.clone());
        let snapshots = entry.records.iter().filter_map(|record| match record {
            Record::Snapshot(snapshot) => Some(snapshot),
            _ => None,
        });
        let covering = snapshots.into_iter().find(|snapshot| snapshot.upto.next() >= self.next);
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

    /// Takes the state of a snapshot that a peer or the log gave.
    ///
    /// # Errors
    ///
    /// `InvalidRequest` when the state does not parse, or when it is older than the reader's own.
    pub fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        if self.status == ReplayStatus::Current && snapshot.upto < self.next {
            let message = format!("snapshot up to {} is older than the state", snapshot.upto);
            return Err(Error::new(ErrorKind::InvalidRequest, message));
        }
        let content: SnapshotContent<S> = serde_json::from_value(snapshot.state.clone())
            .map_err(|err| Error::new(ErrorKind::InvalidRequest, format!("snapshot: {err}")))?;
        self.content = content;
        self.next = snapshot.upto.next();
        self.status = ReplayStatus::Current;
        self.waiting.clear();
        Ok(())
    }

    /// A snapshot of the state; `None` while the reader is not current or has read nothing.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let upto = self.next.0.checked_sub(1).map(Offset)?;
        if self.status != ReplayStatus::Current {
            return None;
        }
        let state = serde_json::to_value(&self.content).ok()?;
        Some(Snapshot { upto, state })
    }
}
