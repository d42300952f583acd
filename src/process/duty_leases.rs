//! Duties that one process holds at a time, dealt by the platform's groups.

use std::collections::BTreeMap;
use std::time::Duration;

/// Settings of [`DutyLeases`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutySettings {
    /// How long the platform keeps a silent member's duties at the least.
    pub min_ttl: Duration,
    /// How long at the most, when its answers are slow.
    pub max_ttl: Duration,
    /// Time for the answer to a join of a log that answers at once.
    pub answer_time: Duration,
    /// Taken off the silence that was asked for, for the way of an order to an upstream.
    pub order_margin: Duration,
    /// Wait after a duty was gained, for orders of its former holder that are on their way.
    pub settle_time: Duration,
    /// Wait until a process gives orders again on a duty that it lost, so that two processes do
    /// not order in turns.
    pub reacquire_delay: Duration,
}

impl Default for DutySettings {
    fn default() -> Self {
        DutySettings {
            min_ttl: Duration::from_millis(1800),
            max_ttl: Duration::from_millis(5000),
            answer_time: Duration::from_millis(300),
            order_margin: Duration::from_millis(400),
            settle_time: Duration::from_millis(400),
            reacquire_delay: Duration::from_millis(3000),
        }
    }
}

/// What a join of the group answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupAssignment {
    /// Rises with each change of the group.
    pub generation: u64,
    /// The duties that belong to this process.
    pub partitions: Vec<u32>,
    /// The silence after which the platform gives them to others, as the join asked.
    pub ttl: Duration,
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
pub struct DutyLeases {
    settings: DutySettings,
    generation: u64,
    expires_at: Duration,
    /// How long the last answer to a join took.
    join_delay: Duration,
    held: BTreeMap<u32, Duration>,
    lost: BTreeMap<u32, Loss>,
}

/// How a duty was lost.
#[derive(Clone, Copy, Debug)]
struct Loss {
    lost_at: Duration,
    /// The generation in which it ran out unrenewed; none where another process may have had it.
    expired_in: Option<u64>,
}

impl DutyLeases {
    /// No duties.
    pub fn new(settings: DutySettings) -> Self {
        DutyLeases { settings, ..DutyLeases::default() }
    }

    /// The generation to join with.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The silence that the next join asks for: longer when answers are slow, so that one comes
    /// before the duties lapse.
    pub fn ttl(&self) -> Duration {
        (self.settings.min_ttl + self.join_delay * 3).min(self.settings.max_ttl)
    }

    /// Takes in the answer to a join that was sent at `sent_at`.
    pub fn apply_assignment(
        &mut self,
        assignment: &GroupAssignment,
        sent_at: Duration,
        now: Duration,
    ) -> Vec<DutyChange> {
        if assignment.generation < self.generation {
            return Vec::new();
        }
        let mut changes = self.expire(now);
        self.generation = assignment.generation;
        self.join_delay = now.saturating_sub(sent_at);
        self.expires_at = sent_at + assignment.ttl.saturating_sub(self.settings.order_margin);
        let lost = self
            .held
            .keys()
            .filter(|partition| !assignment.partitions.contains(partition))
            .copied();
        let lost: Vec<u32> = lost.collect();
        for partition in lost {
            self.release(partition, Loss { lost_at: now, expired_in: None });
            changes.push(DutyChange::Lost(partition));
        }
        for partition in &assignment.partitions {
            if !self.held.contains_key(partition) {
                let usable_at = self.usable_at(*partition, assignment.generation, now);
                self.held.insert(*partition, usable_at);
                changes.push(DutyChange::Gained(*partition));
            }
        }
        changes
    }

    /// Gives up the duties whose time ran out without a renewal.
    pub fn expire(&mut self, now: Duration) -> Vec<DutyChange> {
        if now < self.expires_at {
            return Vec::new();
        }
        let partitions: Vec<u32> = self.held.keys().copied().collect();
        let loss = Loss { lost_at: self.expires_at, expired_in: Some(self.generation) };
        partitions.iter().for_each(|partition| self.release(*partition, loss));
        partitions.into_iter().map(DutyChange::Lost).collect()
    }

    /// An upstream refused an order because another process has a higher fencing number.
    pub fn mark_fenced(&mut self, partition: u32, now: Duration) {
        self.release(partition, Loss { lost_at: now, expired_in: None });
    }

    fn release(&mut self, partition: u32, loss: Loss) {
        self.held.remove(&partition);
        self.lost.insert(partition, loss);
    }

    /// When a duty may be used that came with a generation. Nobody else had it if it only lapsed
    /// and the group did not change since.
    fn usable_at(&self, partition: u32, generation: u64, now: Duration) -> Duration {
        let settled_at = now + self.settings.settle_time;
        match self.lost.get(&partition) {
            None => settled_at,
            Some(loss) if loss.expired_in == Some(generation) => now,
            Some(loss) => settled_at.max(loss.lost_at + self.settings.reacquire_delay),
        }
    }

    /// No answer to a join came in the time of [`DutyLeases::patience`].
    pub fn record_timeout(&mut self) {
        self.join_delay = self.join_delay.max(self.join_timeout());
    }

    /// How long the next join waits for its answer.
    pub fn join_timeout(&self) -> Duration {
        (self.settings.answer_time + self.join_delay * 3).min(self.settings.max_ttl / 3)
    }

    /// The fencing number for orders of a duty, if this process may give any at `now`.
    pub fn fencing_token(&self, partition: u32, now: Duration) -> Option<u64> {
        let usable_at = self.held.get(&partition)?;
        (now >= *usable_at && now < self.expires_at).then_some(self.generation)
    }

    /// Duties that belong to this process.
    pub fn held_count(&self, now: Duration) -> u64 {
        if now < self.expires_at { self.held.len() as u64 } else { 0 }
    }

    /// Whether the duty belongs to this process, though it may have to wait yet.
    pub fn holds(&self, partition: u32, now: Duration) -> bool {
        now < self.expires_at && self.held.contains_key(&partition)
    }
}
