//! Vms that join the group in virtual time, one join at a time each, and order whenever they may.

use std::time::Duration;

use carobglade::{
    DutyChange, DutyClaim, DutyLeases, DutyLeasesSettings, GroupAssignment, LogEra, VmName,
};

use crate::group::{Group, Member};

/// Interval of joins, as `carob-edge` has it.
const JOIN_INTERVAL: Duration = Duration::from_millis(450);
/// Interval after a failed join while a vm holds the duty, as `carob-edge` has it.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Interval at which a vm tells the others its duties, as `carob-edge` has it.
const CLAIM_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which a vm asks the others for theirs while a duty settles, as `carob-edge` has it.
const QUESTION_INTERVAL: Duration = Duration::from_millis(100);
/// Time from one vm to another.
const MESSAGE_DELAY: Duration = Duration::from_millis(2);
/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(5);

/// How the next calls of a vm to the log fare.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    /// Time until a join arrives; none if it is lost.
    pub request: Option<Duration>,
    /// Time from the arrival of a join to the arrival of its answer; none if it is lost.
    pub answer: Option<Duration>,
}

impl Link {
    /// A link without delay of note.
    pub const FAST: Link =
        Link { request: Some(Duration::from_millis(2)), answer: Some(Duration::from_millis(3)) };
    /// A link on which nothing arrives.
    pub const CUT: Link = Link { request: None, answer: None };
}

/// A join on its way to the log.
struct Join {
    sender: Member,
    sent_at: Duration,
    generation: u64,
    ttl: Duration,
    arrives_at: Duration,
    answer_delay: Option<Duration>,
}

/// An answer on its way to a vm.
struct Answer {
    receiver: Member,
    sent_at: Duration,
    arrives_at: Duration,
    assignment: GroupAssignment,
}

/// What a vm tells another one of its duties.
struct Message {
    sender: Member,
    receiver: Member,
    claim: DutyClaim,
    /// Whether the receiver responds with its own claim.
    is_question: bool,
    arrives_at: Duration,
}

/// A vm of the fleet.
pub struct Vm {
    /// The leases of the vm.
    pub leases: DutyLeases,
    /// The link of the vm to the log.
    pub link: Link,
    /// Whether the vm is suspended or has ended.
    pub suspended: bool,
    /// Whether messages from and to other vms are lost.
    pub isolated: bool,
    join_at: Duration,
    claim_at: Duration,
    question_at: Duration,
    /// When the join in progress was sent.
    waiting_since: Option<Duration>,
}

/// An order that a vm gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order {
    /// When it was given.
    pub at: Duration,
    /// The vm.
    pub holder: Member,
    /// The fencing token.
    pub token: u64,
}

/// The vms, the log's group and the orders given so far.
pub struct Fleet {
    /// The virtual time.
    pub now: Duration,
    /// The group.
    pub group: Group,
    /// The vms.
    pub vms: Vec<Vm>,
    /// All orders, in the order in which they were given.
    pub orders: Vec<Order>,
    joins: Vec<Join>,
    answers: Vec<Answer>,
    messages: Vec<Message>,
}

impl Fleet {
    /// Creates a fleet whose vms join at intervals of `offset` after each other.
    pub fn new(count: usize, offset: Duration) -> Self {
        let vm = |i| Vm {
            leases: DutyLeases::new(DutyLeasesSettings::default()),
            link: Link::FAST,
            suspended: false,
            isolated: false,
            join_at: offset * i,
            claim_at: offset * i,
            question_at: Duration::ZERO,
            waiting_since: None,
        };
        let vms = (0..count as u32).map(vm).collect();
        let (now, group) = (Duration::ZERO, Group::default());
        Fleet {
            now,
            group,
            vms,
            orders: Vec::new(),
            joins: Vec::new(),
            answers: Vec::new(),
            messages: Vec::new(),
        }
    }

    /// Runs for a time.
    pub fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.step();
        }
    }

    /// Runs until a condition holds, at most until `limit`.
    pub fn run_until(&mut self, limit: Duration, is_done: impl Fn(&Fleet) -> bool) {
        while self.now < limit && !is_done(self) {
            self.step();
        }
    }

    /// Stops a vm as planned: it gives up its duties and leaves the group.
    pub fn stop(&mut self, vm: Member) {
        self.vms[vm].leases.release_all(self.now);
        self.tell_all(vm, false);
        self.vms[vm].suspended = true;
        self.group.leave(vm);
    }

    /// Reports whether a vm waits for the answer to a join.
    pub fn is_joining(&self, vm: Member) -> bool {
        self.vms[vm].waiting_since.is_some()
    }

    /// Returns the time of the last order of a vm.
    pub fn last_order(&self, vm: Member) -> Option<Duration> {
        self.orders.iter().rfind(|order| order.holder == vm).map(|order| order.at)
    }

    /// Returns the time of the first order of a vm.
    pub fn first_order(&self, vm: Member) -> Option<Duration> {
        self.orders.iter().find(|order| order.holder == vm).map(|order| order.at)
    }

    /// Returns the first order that came after one with a higher fencing token.
    pub fn find_late_order(&self) -> Option<(Order, Order)> {
        let mut pairs = self.orders.windows(2).map(|pair| (pair[0], pair[1]));
        pairs.find(|(before, after)| after.token < before.token)
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver_joins();
        self.deliver_answers();
        for vm in 0..self.vms.len() {
            if !self.vms[vm].suspended {
                self.advance(vm);
            }
        }
        self.deliver_messages();
    }

    fn deliver_joins(&mut self) {
        let now = self.now;
        for join in self.joins.extract_if(.., |join| join.arrives_at <= now) {
            let assignment = self.group.join(join.sender, join.generation, join.ttl, now);
            if let Some(delay) = join.answer_delay {
                let (receiver, sent_at) = (join.sender, join.sent_at);
                let arrives_at = now + delay;
                self.answers.push(Answer { receiver, sent_at, arrives_at, assignment });
            }
        }
    }

    /// Hands answers to the vms that still wait for them; a suspended vm gets them later.
    fn deliver_answers(&mut self) {
        let now = self.now;
        let vms = &mut self.vms;
        let is_due =
            |answer: &mut Answer| answer.arrives_at <= now && !vms[answer.receiver].suspended;
        let due: Vec<Answer> = self.answers.extract_if(.., is_due).collect();
        for answer in due {
            let vm = &mut self.vms[answer.receiver];
            if vm.waiting_since == Some(answer.sent_at) {
                let changes = vm.leases.apply_assignment(&answer.assignment, answer.sent_at, now);
                vm.waiting_since = None;
                vm.join_at = now + JOIN_INTERVAL;
                self.handle_changes(answer.receiver, &changes);
            }
        }
    }

    fn handle_changes(&mut self, member: Member, changes: &[DutyChange]) {
        if changes.iter().any(|change| matches!(change, DutyChange::Lost(_))) {
            self.tell_all(member, false);
        }
    }

    /// Sends the claim of a vm to all others.
    fn tell_all(&mut self, sender: Member, is_question: bool) {
        for receiver in (0..self.vms.len()).filter(|receiver| *receiver != sender) {
            self.tell(sender, receiver, is_question);
        }
    }

    fn tell(&mut self, sender: Member, receiver: Member, is_question: bool) {
        if self.vms[sender].isolated || self.vms[receiver].isolated {
            return;
        }
        let claim = self.vms[sender].leases.claim(CLAIM_INTERVAL, self.now);
        let arrives_at = self.now + MESSAGE_DELAY;
        self.messages.push(Message { sender, receiver, claim, is_question, arrives_at });
    }

    /// Hands messages to vms; a suspended vm gets them later.
    fn deliver_messages(&mut self) {
        let now = self.now;
        let vms = &self.vms;
        let is_due =
            |message: &mut Message| message.arrives_at <= now && !vms[message.receiver].suspended;
        let due: Vec<Message> = self.messages.extract_if(.., is_due).collect();
        for Message { sender, receiver, claim, is_question, .. } in due {
            let name: VmName = format!("vm-{sender}").parse().unwrap();
            let changes = self.vms[receiver].leases.apply_claim(&name, &claim, now);
            self.handle_changes(receiver, &changes);
            if is_question {
                self.tell(receiver, sender, false);
            }
        }
    }

    fn advance(&mut self, member: Member) {
        let now = self.now;
        let vm = &mut self.vms[member];
        if let Some(token) = vm.leases.fencing_token(0, now) {
            self.orders.push(Order { at: now, holder: member, token });
        }
        match vm.waiting_since {
            Some(sent_at) if now >= sent_at + vm.leases.join_timeout() => vm.give_up(now),
            None if now >= vm.join_at => self.send_join(member),
            _ => {}
        }
        self.send_claims(member);
    }

    fn send_claims(&mut self, member: Member) {
        let now = self.now;
        let vm = &mut self.vms[member];
        let asks = vm.leases.is_settling(now) && now >= vm.question_at;
        let tells = now >= vm.claim_at;
        if asks {
            vm.question_at = now + QUESTION_INTERVAL;
        }
        if tells {
            vm.claim_at = now + CLAIM_INTERVAL;
        }
        if asks || tells {
            self.tell_all(member, asks);
        }
    }

    fn send_join(&mut self, member: Member) {
        let now = self.now;
        let vm = &mut self.vms[member];
        let (generation, ttl) = (vm.leases.join_generation(LogEra::default()), vm.leases.ttl());
        vm.leases.record_join(ttl, now);
        vm.waiting_since = Some(now);
        if let Some(delay) = vm.link.request {
            self.joins.push(Join {
                sender: member,
                sent_at: now,
                generation,
                ttl,
                arrives_at: now + delay,
                answer_delay: vm.link.answer,
            });
        }
    }
}

impl Vm {
    fn give_up(&mut self, now: Duration) {
        self.waiting_since = None;
        self.leases.record_timeout();
        self.leases.expire(now);
        let holds = self.leases.held_count(now) > 0;
        self.join_at = now + if holds { RETRY_INTERVAL } else { JOIN_INTERVAL };
    }
}
