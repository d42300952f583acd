//! The group of the platform's log with one partition, as its page describes it.

use std::collections::BTreeMap;
use std::time::Duration;

use carobglade::GroupAssignment;

/// Name of a member.
pub type Member = usize;

#[derive(Clone, Copy)]
struct Membership {
    joined_at: Duration,
    ttl: Duration,
}

/// The members, the owner of the partition, and who is to own it next.
#[derive(Default)]
pub struct Group {
    members: BTreeMap<Member, Membership>,
    generation: u64,
    owner: Option<Member>,
    target: Option<Member>,
    /// The generation in which the target was chosen.
    moved_in: u64,
}

impl Group {
    /// Carries out a join that arrives at `now`. The partition moves to its next owner once the
    /// owner joins with the generation in which it was told.
    pub fn join(
        &mut self,
        member: Member,
        generation: u64,
        ttl: Duration,
        now: Duration,
    ) -> GroupAssignment {
        self.expire(now);
        let membership = Membership { joined_at: now, ttl };
        if self.members.insert(member, membership).is_none() {
            self.generation += 1;
        }
        if self.owner == Some(member) && generation >= self.moved_in {
            self.owner = self.target;
        }
        if self.owner.is_none() {
            self.assign_anew();
        }
        let is_owner = self.owner == Some(member) && self.target == Some(member);
        let duties = if is_owner { vec![0] } else { Vec::new() };
        GroupAssignment { generation: self.generation, duties, ttl, ..GroupAssignment::default() }
    }

    /// Removes a member that leaves.
    pub fn leave(&mut self, member: Member) {
        self.members.remove(&member);
        self.generation += 1;
        if self.owner == Some(member) {
            self.assign_anew();
        }
    }

    /// Moves the partition to another member, who gets it once the owner was told.
    pub fn move_to(&mut self, member: Member) {
        self.generation += 1;
        self.target = Some(member);
        self.moved_in = self.generation;
    }

    /// Moves the partition to another member at once, without a request.
    pub fn reassign_to(&mut self, member: Member) {
        self.move_to(member);
        self.owner = Some(member);
    }

    /// Returns the owner of the partition.
    pub fn owner(&mut self, now: Duration) -> Option<Member> {
        self.expire(now);
        self.owner
    }

    /// Removes the members that have sent nothing for the time of their last join.
    fn expire(&mut self, now: Duration) {
        let count = self.members.len();
        self.members.retain(|_, membership| now < membership.joined_at + membership.ttl);
        self.generation += u64::from(self.members.len() != count);
        if self.owner.is_some_and(|owner| !self.members.contains_key(&owner)) {
            self.assign_anew();
        }
        if self.target.is_some_and(|target| !self.members.contains_key(&target)) {
            self.target = self.owner;
        }
    }

    fn assign_anew(&mut self) {
        self.owner = self.members.keys().next().copied();
        self.target = self.owner;
    }
}
