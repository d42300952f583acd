//! Leases on duties, the partitions that the platform's group assigns to one process at a time.

use std::collections::BTreeMap;
use std::time::Duration;

use super::duty_claims::{DutyClaim, DutyClaims};
use super::lease_term::LeaseTerm;
use crate::units::{LogEra, VmName};

/// Settings of [`DutyLeases`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyLeasesSettings {
    /// Shortest silence after which the platform reassigns a member's duties.
    pub min_ttl: Duration,
    /// Longest such silence, requested when responses of the platform are slow.
    pub max_ttl: Duration,
    /// Time to wait for the response to a join when responses come without delay.
    pub response_time: Duration,
    /// Subtracted from the lease, so that an order reaches its upstream before the lease ends.
    pub order_margin: Duration,
    /// Wait after a duty was gained, for orders of its former holder that are in flight.
    pub settle_time: Duration,
    /// Wait before a process gives orders again for a duty that it lost, so that two processes do
    /// not give orders in turns.
    pub reacquire_delay: Duration,
}

impl Default for DutyLeasesSettings {
    fn default() -> Self {
        DutyLeasesSettings {
            min_ttl: Duration::from_millis(1800),
            max_ttl: Duration::from_millis(5000),
            response_time: Duration::from_millis(300),
            order_margin: Duration::from_millis(400),
            settle_time: Duration::from_millis(400),
            reacquire_delay: Duration::from_millis(3000),
        }
    }
}

/// The response to a join of the group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupAssignment {
    /// The era of the log that holds the group.
    pub era: LogEra,
    /// Number of the group's membership; rises with each change within an era.
    pub generation: u64,
    /// The duties assigned to this process.
    pub duties: Vec<u32>,
    /// The silence after which the platform reassigns the duties, as the join asked.
    pub ttl: Duration,
}

/// A duty that was gained or lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyChange {
    /// The duty was assigned to this process.
    Gained(u32),
    /// The duty was reassigned or its lease expired.
    Lost(u32),
}

/// The duties that one process holds.
///
/// Times are those of a clock that runs on while the vm is suspended.
#[derive(Clone, Debug, Default)]
pub struct DutyLeases {
    settings: DutyLeasesSettings,
    term: LeaseTerm,
    /// Time until which leases of the era before this one may last at other vms.
    old_leases_end: Duration,
    expires_at: Duration,
    /// Time that the last response to a join took.
    join_delay: Duration,
    held: BTreeMap<u32, Duration>,
    lost: BTreeMap<u32, Loss>,
    /// Duties of other vms.
    claims: DutyClaims,
}

/// How a duty was lost.
#[derive(Clone, Copy, Debug)]
struct Loss {
    lost_at: Duration,
    /// The term in which the lease expired; none if another process may have held the duty.
    expired_in: Option<LeaseTerm>,
}

impl DutyLeases {
    /// Creates the state of a process that holds no duty.
    pub fn new(settings: DutyLeasesSettings) -> Self {
        DutyLeases { settings, ..DutyLeases::default() }
    }

    /// Returns the generation to join with in an era of the log; 0 in an era in which this process
    /// was told none, since a generation of another era would count as one that is still to come.
    pub fn join_generation(&self, era: LogEra) -> u64 {
        if self.term.era() == era { self.term.generation() } else { 0 }
    }

    /// Returns the era of the log in which the duties were assigned.
    pub fn era(&self) -> LogEra {
        self.term.era()
    }

    /// Returns the group's generation in which the duties were assigned.
    pub fn generation(&self) -> u64 {
        self.term.generation()
    }

    /// Reports whether this process has joined the group.
    pub fn has_joined(&self) -> bool {
        self.term != LeaseTerm::default()
    }

    /// Returns the silence that the next join asks for: longer when responses are slow, so that a
    /// response comes before the leases expire.
    pub fn ttl(&self) -> Duration {
        (self.settings.min_ttl + self.join_delay * 3).min(self.settings.max_ttl)
    }

    /// Records that a join for `ttl` is sent. The platform may carry it out although its response is
    /// lost, and then counts the time that this join asked for, also if an earlier one asked for
    /// more.
    pub fn record_join(&mut self, ttl: Duration, sent_at: Duration) {
        let lease_end = sent_at + ttl.saturating_sub(self.settings.order_margin);
        self.expires_at = self.expires_at.min(lease_end);
    }

    /// Applies the response to a join that was sent at `sent_at`; a response of an older term
    /// is ignored. Returns the duties gained and lost. The lease counts from the sending of the
    /// join. In a new era of the log another vm may still hold a lease that the log forgot, so duties
    /// gained then wait for the end of the longest one.
    pub fn apply_assignment(
        &mut self,
        assignment: &GroupAssignment,
        sent_at: Duration,
        now: Duration,
    ) -> Vec<DutyChange> {
        let term = LeaseTerm::new(assignment.era, assignment.generation);
        if term < self.term {
            return Vec::new();
        }
        let mut changes = self.expire(now);
        if self.has_joined() && term.era() > self.term.era() {
            self.old_leases_end = now + self.settings.max_ttl;
        }
        self.term = term;
        self.join_delay = now.saturating_sub(sent_at);
        self.expires_at = sent_at + assignment.ttl.saturating_sub(self.settings.order_margin);
        let lost = self.held.keys().filter(|duty| !assignment.duties.contains(duty)).copied();
        let lost: Vec<u32> = lost.collect();
        for duty in lost {
            self.release(duty, Loss { lost_at: now, expired_in: None });
            changes.push(DutyChange::Lost(duty));
        }
        for duty in &assignment.duties {
            if !self.held.contains_key(duty) {
                let usable_at = self.usable_at(*duty, term, now);
                self.held.insert(*duty, usable_at);
                changes.push(DutyChange::Gained(*duty));
            }
        }
        changes
    }

    /// Drops all duties if their lease ended without a renewal. Returns the duties lost.
    pub fn expire(&mut self, now: Duration) -> Vec<DutyChange> {
        if now < self.expires_at {
            return Vec::new();
        }
        let duties: Vec<u32> = self.held.keys().copied().collect();
        let loss = Loss { lost_at: self.expires_at, expired_in: Some(self.term) };
        duties.iter().for_each(|duty| self.release(*duty, loss));
        duties.into_iter().map(DutyChange::Lost).collect()
    }

    /// Gives up all duties before this process leaves the group; returns the duties lost.
    pub fn release_all(&mut self, now: Duration) -> Vec<DutyChange> {
        let duties: Vec<u32> = self.held.keys().copied().collect();
        let loss = Loss { lost_at: now, expired_in: None };
        duties.iter().for_each(|duty| self.release(*duty, loss));
        duties.into_iter().map(DutyChange::Lost).collect()
    }

    /// Records that an upstream refused an order for a duty because another process has a higher
    /// fencing token; the duty is dropped.
    pub fn record_fenced(&mut self, duty: u32, now: Duration) {
        self.release(duty, Loss { lost_at: now, expired_in: None });
    }

    /// Returns what this process tells the others of its duties. It may renew the lease before it
    /// tells them again, at most `interval` later.
    pub fn claim(&self, interval: Duration, now: Duration) -> DutyClaim {
        if now >= self.expires_at || self.held.is_empty() {
            return DutyClaim { generation: self.term.number(), ..DutyClaim::default() };
        }
        let lease = self.ttl().saturating_sub(self.settings.order_margin);
        let renewed_until = now + interval + lease;
        let remaining = renewed_until.max(self.expires_at).saturating_sub(now);
        let duties = self.held.keys().copied().collect();
        DutyClaim { generation: self.term.number(), duties, remaining }
    }

    /// Applies what another vm tells of its duties. Duties that a newer term assigned to that
    /// vm are dropped; returns them. For duties that an older one assigned to it, this process gives
    /// no orders until that vm gives them up or its lease ends.
    pub fn apply_claim(
        &mut self,
        vm: &VmName,
        claim: &DutyClaim,
        now: Duration,
    ) -> Vec<DutyChange> {
        self.claims.record(vm, claim, now);
        if claim.generation <= self.term.number() {
            return Vec::new();
        }
        let duties = claim.duties.iter().filter(|duty| self.held.contains_key(duty));
        let duties: Vec<u32> = duties.copied().collect();
        let loss = Loss { lost_at: now, expired_in: None };
        duties.iter().for_each(|duty| self.release(*duty, loss));
        duties.into_iter().map(DutyChange::Lost).collect()
    }

    /// Reports whether this process holds a duty for which it may not give orders yet.
    pub fn is_settling(&self, now: Duration) -> bool {
        now < self.expires_at && self.held.keys().any(|duty| !self.is_settled(*duty, now))
    }

    /// Reports whether the wait after a duty was gained is over, and its former holder has stopped.
    fn is_settled(&self, duty: u32, now: Duration) -> bool {
        let usable_at = self.held.get(&duty);
        let claim_end = self.claims.end(duty, self.term.number());
        usable_at.is_some_and(|at| now >= *at) && claim_end.is_none_or(|end| now >= end)
    }

    fn release(&mut self, duty: u32, loss: Loss) {
        self.held.remove(&duty);
        self.lost.insert(duty, loss);
    }

    /// Returns when a duty assigned in `term` may be used. No other process held the duty if its lease
    /// expired in the same term, so there is nothing to wait for.
    fn usable_at(&self, duty: u32, term: LeaseTerm, now: Duration) -> Duration {
        let settled_at = (now + self.settings.settle_time).max(self.old_leases_end);
        match self.lost.get(&duty) {
            None => settled_at,
            Some(loss) if loss.expired_in == Some(term) => now,
            Some(loss) => settled_at.max(loss.lost_at + self.settings.reacquire_delay),
        }
    }

    /// Records that a join got no response within [`DutyLeases::join_timeout`].
    pub fn record_timeout(&mut self) {
        self.join_delay = self.join_delay.max(self.join_timeout());
    }

    /// Returns how long the next join waits for its response.
    pub fn join_timeout(&self) -> Duration {
        (self.settings.response_time + self.join_delay * 3).min(self.settings.max_ttl / 3)
    }

    /// Returns the fencing token for orders of a duty; none if this process may give no order at
    /// `now`.
    pub fn fencing_token(&self, duty: u32, now: Duration) -> Option<u64> {
        let is_usable = now < self.expires_at && self.is_settled(duty, now);
        is_usable.then_some(self.term.number())
    }

    /// Returns the number of duties that this process holds.
    pub fn held_count(&self, now: Duration) -> u64 {
        if now < self.expires_at { self.held.len() as u64 } else { 0 }
    }

    /// Reports whether this process holds a duty, even if it may not give orders yet.
    pub fn holds(&self, duty: u32, now: Duration) -> bool {
        now < self.expires_at && self.held.contains_key(&duty)
    }
}
