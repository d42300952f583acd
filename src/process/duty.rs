//! Duties that one process holds at a time, dealt by the platform's groups.

use std::collections::BTreeMap;
use std::time::Duration;

/// Settings of [`Duties`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutySettings {
    /// How long the platform keeps a silent member's duties.
    pub ttl: Duration,
    /// Taken off that time, for the way of an order to an upstream.
    pub margin: Duration,
    /// Wait after a duty was gained, for orders of its former holder that are on their way.
    pub settle: Duration,
    /// Wait until a process gives orders again on a duty that it lost, so that two processes do
    /// not order in turns.
    pub lease: Duration,
}

impl Default for DutySettings {
    fn default() -> Self {
        DutySettings {
            ttl: Duration::from_millis(3000),
            margin: Duration::from_millis(400),
            settle: Duration::from_millis(400),
            lease: Duration::from_millis(3000),
        }
    }
}

/// What a join of the group answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Joined {
    /// Rises with each change of the group.
    pub generation: u64,
    /// The duties that belong to this process.
    pub parts: Vec<u32>,
}

/// A duty that was gained or lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyChange {
    /// It belongs to this process now.
    Gained(u32),
    /// It no longer does.
    Lost(u32),
}

/// The duties of one process.
///
/// Times are those of a clock that runs on while the vm is suspended.
#[derive(Clone, Debug, Default)]
pub struct Duties {
    settings: DutySettings,
    generation: u64,
    until: Duration,
    held: BTreeMap<u32, Duration>,
    lost: BTreeMap<u32, Duration>,
}

impl Duties {
    /// No duties.
    pub fn new(settings: DutySettings) -> Self {
        Duties { settings, ..Duties::default() }
    }

    /// The generation to join with.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Takes in the answer to a join that was sent at `sent`.
    pub fn joined(&mut self, joined: &Joined, sent: Duration, now: Duration) -> Vec<DutyChange> {
        if joined.generation < self.generation {
            return Vec::new();
        }
        let mut changes = self.lapse(now);
        self.generation = joined.generation;
        self.until = sent + self.settings.ttl.saturating_sub(self.settings.margin);
        let lost = self.held.keys().filter(|part| !joined.parts.contains(part)).copied();
        let lost: Vec<u32> = lost.collect();
        for part in lost {
            self.lose(part, now);
            changes.push(DutyChange::Lost(part));
        }
        for part in &joined.parts {
            if !self.held.contains_key(part) {
                let again = self.lost.get(part).map_or(now, |at| *at + self.settings.lease);
                self.held.insert(*part, again.max(now + self.settings.settle));
                changes.push(DutyChange::Gained(*part));
            }
        }
        changes
    }

    /// Gives up the duties whose time ran out without a renewal.
    pub fn lapse(&mut self, now: Duration) -> Vec<DutyChange> {
        if now < self.until {
            return Vec::new();
        }
        let parts: Vec<u32> = self.held.keys().copied().collect();
        parts.iter().for_each(|part| self.lose(*part, self.until));
        parts.into_iter().map(DutyChange::Lost).collect()
    }

    /// An upstream refused an order because another process has a higher fencing number.
    pub fn fenced(&mut self, part: u32, now: Duration) {
        self.lose(part, now);
    }

    fn lose(&mut self, part: u32, at: Duration) {
        self.held.remove(&part);
        self.lost.insert(part, at);
    }

    /// The fencing number for orders of a duty, if this process may give any at `now`.
    pub fn token(&self, part: u32, now: Duration) -> Option<u64> {
        let from = self.held.get(&part)?;
        (now >= *from && now < self.until).then_some(self.generation)
    }

    /// Duties that belong to this process.
    pub fn count(&self, now: Duration) -> u64 {
        if now < self.until { self.held.len() as u64 } else { 0 }
    }

    /// Whether the duty belongs to this process, though it may have to wait yet.
    pub fn holds(&self, part: u32, now: Duration) -> bool {
        now < self.until && self.held.contains_key(&part)
    }
}
