//! Tests of rate and burst: the tokens admitted by the whole fleet stay within the bound over every
//! interval.

#[macro_use]
mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use carobglade::{
    LoanRequest, LoanResponse, Offset, QuotaBucket, RateLimit, Reservation, SLOTS_PER_GROUP,
    SlotHolder, SlotShare, TenantName, TokenPool, TokenRate, Tokens, VmRef,
};
use proptest::prelude::*;
use support::vm;

const RATE: u64 = 1000; // tokens a second
const BURST: u64 = 4000;
const VMS: usize = 4;
const STEP: Duration = Duration::from_millis(50);

fn tenant() -> TenantName {
    "apron".parse().unwrap()
}

fn grant(rate: u64, burst: u64) -> RateLimit {
    RateLimit { rate: TokenRate(rate), burst: Tokens(burst), created: Offset(1) }
}

fn share(slots: u16) -> SlotShare {
    SlotShare { rate_limit: grant(RATE, BURST), slots }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_bucket_refills_to_its_burst() {
    let mut bucket = QuotaBucket::new(share(SLOTS_PER_GROUP), Tokens(0), ms(0));
    assert_eq!(bucket.level(ms(1500)), Tokens(1500));
    assert_eq!(bucket.level(ms(60_000)), Tokens(BURST));
    assert!(bucket.take(Tokens(BURST + 1), ms(60_000)).is_none());
}

#[test]
fn lent_tokens_count_towards_the_burst_until_they_are_settled() {
    let mut bucket = QuotaBucket::new(share(SLOTS_PER_GROUP), Tokens(BURST), ms(0));
    assert_eq!(bucket.lend(Tokens(3000), ms(0)), Tokens(3000));
    assert_eq!(bucket.level(ms(10_000)), Tokens(1000));
    bucket.settle_lent(Tokens(3000), ms(10_000));
    assert_eq!(bucket.level(ms(10_500)), Tokens(1500));
}

/// Takes `taken` tokens at time 0, which leaves `left` in the bucket, and checks the level after
/// their refund at `refund_ms` milliseconds.
fn check_refund(left: u64, taken: u64, refund_ms: u64, expected: u64) {
    let mut bucket = QuotaBucket::new(share(SLOTS_PER_GROUP), Tokens(left + taken), ms(0));
    let refund_point = bucket.take(Tokens(taken), ms(0)).unwrap();
    bucket.refund(Tokens(taken), refund_point, ms(refund_ms));
    assert_eq!(bucket.level(ms(refund_ms)), Tokens(expected));
}

cases! { check_refund:
    a_refund_restores_what_was_taken => (0, 2000, 0, 2000);
    a_refund_comes_on_top_of_the_refill => (0, 2000, 1000, 3000);
    a_refund_stops_at_the_burst => (3000, 1000, 500, 4000);
    a_refund_after_a_full_bucket_restores_nothing => (3000, 1000, 60_000, 4000);
}

#[test]
fn a_refund_does_not_restore_refill_that_a_full_bucket_discarded() {
    let mut bucket = QuotaBucket::new(share(SLOTS_PER_GROUP), Tokens(BURST), ms(0));
    let refund_point = bucket.take(Tokens(1000), ms(0)).unwrap();
    assert!(bucket.take(Tokens(BURST), ms(5000)).is_some(), "the bucket was not full again");
    bucket.refund(Tokens(1000), refund_point, ms(5000));
    assert_eq!(bucket.level(ms(5000)), Tokens(0));
}

/// Checks the initial tokens of a tenant created at offset `created` in a slot taken at offset 10.
fn check_initial_tokens(created: u64, unused: bool, recreated: bool, expected: u64) {
    let levels = BTreeMap::from([(tenant(), 7)]);
    let holder = SlotHolder { vm: vm("a", 1), acquired_at: Offset(10), levels, unused };
    let grant = RateLimit { created: Offset(created), ..grant(RATE, BURST) };
    assert_eq!(holder.initial_tokens(&tenant(), &grant, recreated), Tokens(expected));
}

cases! { check_initial_tokens:
    a_slot_that_was_held_before_starts_with_the_tokens_left => (5, false, false, 7);
    an_unused_slot_is_full => (5, true, false, BURST / 8);
    a_new_tenant_is_full_in_a_held_slot => (15, false, false, BURST / 8);
    a_recreated_tenant_is_empty_in_a_held_slot => (15, false, true, 0);
    a_tenant_recreated_before_the_slot_was_taken_keeps_the_tokens_left => (5, false, true, 7);
}

/// One step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    Request { vm: usize, tokens: u64, used: u64 },
    Drain { vm: usize, percent: u64 },
    Settle { index: usize },
    Tick { vm: usize },
    Deliver { index: usize, lost: bool, duplicate: bool },
    Pause { vm: usize, steps: u64 },
    Kill { vm: usize },
    Wait { steps: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..VMS, 1..1500u64, 0..100u64)
            .prop_map(|(vm, tokens, percent)| Step::Request { vm, tokens, used: tokens * percent / 100 }),
        3 => (0..VMS, 0..100u64).prop_map(|(vm, percent)| Step::Drain { vm, percent }),
        6 => (0..64usize).prop_map(|index| Step::Settle { index }),
        8 => (0..VMS).prop_map(|vm| Step::Tick { vm }),
        12 => (0..64usize, 0..10u8, 0..10u8)
            .prop_map(|(index, l, d)| Step::Deliver { index, lost: l == 0, duplicate: d == 0 }),
        1 => (0..VMS, 1..120u64).prop_map(|(vm, steps)| Step::Pause { vm, steps }),
        1 => (0..VMS).prop_map(|vm| Step::Kill { vm }),
        6 => (1..30u64).prop_map(|steps| Step::Wait { steps }),
    ]
}

#[derive(Clone)]
enum Message {
    Request {
        from: VmRef,
        to: VmRef,
        requests: Vec<LoanRequest>,
        sent_at: Duration,
    },
    Response {
        from: VmRef,
        to: VmRef,
        loans: Vec<LoanResponse>,
        requests: Vec<LoanRequest>,
        sent_at: Duration,
    },
}

struct Node {
    vm_ref: VmRef,
    pool: TokenPool,
    paused_until: Duration,
}

struct Request {
    vm: VmRef,
    reservation: Option<Reservation>,
    admitted: Duration,
    used: u64,
    charge: u64,
}

struct SimulatedFleet {
    now: Duration,
    nodes: Vec<Node>,
    in_flight: Vec<Message>,
    requests: Vec<Request>,
}

impl SimulatedFleet {
    fn new() -> Self {
        let mut nodes = Vec::new();
        for i in 0..VMS {
            let mut pool = TokenPool::default();
            let slots = SLOTS_PER_GROUP / VMS as u16;
            pool.lender.set_share(&tenant(), share(slots), Tokens(BURST), Duration::ZERO);
            nodes.push(Node {
                vm_ref: vm(&format!("vm-{i}"), 1),
                pool,
                paused_until: Duration::ZERO,
            });
        }
        SimulatedFleet { now: Duration::ZERO, nodes, in_flight: Vec::new(), requests: Vec::new() }
    }

    fn running_node(&self, name: &VmRef) -> Option<usize> {
        let is_running = |node: &Node| node.vm_ref == *name && node.paused_until <= self.now;
        self.nodes.iter().position(is_running)
    }

    fn request(&mut self, i: usize, tokens: u64, used: u64) {
        let (now, node) = (self.now, &mut self.nodes[i]);
        if node.paused_until > now {
            return;
        }
        if let Ok(reservation) = node.pool.reserve(&tenant(), Tokens(tokens), now) {
            let (vm, reservation) = (node.vm_ref.clone(), Some(reservation));
            self.requests.push(Request { vm, reservation, admitted: now, used, charge: tokens });
        }
    }

    fn settle(&mut self, index: usize) {
        let unsettled: Vec<usize> =
            (0..self.requests.len()).filter(|i| self.requests[*i].reservation.is_some()).collect();
        if unsettled.is_empty() {
            return;
        }
        let request = unsettled[index % unsettled.len()];
        let Some(node) = self.running_node(&self.requests[request].vm) else {
            return;
        };
        let (now, request) = (self.now, &mut self.requests[request]);
        if let Some(reservation) = request.reservation.take() {
            self.nodes[node].pool.settle(reservation, Tokens(request.used), now);
            request.charge = request.used;
        }
    }

    fn tick(&mut self, i: usize) {
        let others: Vec<(VmRef, u16)> = self.nodes.iter().map(|n| (n.vm_ref.clone(), 2)).collect();
        let (now, node) = (self.now, &mut self.nodes[i]);
        if node.paused_until > now {
            return;
        }
        let vm_ref = node.vm_ref.clone();
        let lenders =
            |_: &TenantName| others.iter().filter(|(o, _)| *o != vm_ref).cloned().collect();
        let loan_requests = node.pool.tick(lenders, |_| Some(Offset(1)), STEP, now);
        for (to, request) in loan_requests {
            self.in_flight.push(Message::Request {
                from: vm_ref.clone(),
                to,
                requests: vec![request],
                sent_at: now,
            });
        }
    }

    fn deliver(&mut self, index: usize, lost: bool, duplicate: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = index % self.in_flight.len();
        let message = self.in_flight[index].clone();
        if !duplicate {
            self.in_flight.remove(index);
        }
        let to = match &message {
            Message::Request { to, .. } | Message::Response { to, .. } => to.clone(),
        };
        let Some(i) = self.running_node(&to).filter(|_| !lost) else {
            return;
        };
        let (now, pool) = (self.now, &mut self.nodes[i].pool);
        match message {
            Message::Request { from, to, requests, sent_at } => {
                let loans = requests.iter().map(|request| pool.lend(&from, request, now)).collect();
                self.in_flight.push(Message::Response {
                    from: to,
                    to: from,
                    loans,
                    requests,
                    sent_at,
                });
            }
            Message::Response { from, loans, requests, sent_at, .. } => {
                for (loan, request) in loans.iter().zip(&requests) {
                    pool.record_confirmation(&from, &request.reports);
                    pool.add_loan(&from, loan, sent_at, now);
                }
            }
        }
    }

    /// Restarts a vm: its slots return without tokens, and its loans and requests are lost.
    fn kill(&mut self, i: usize) {
        let now = self.now;
        let incarnation = self.nodes[i].vm_ref.incarnation.0 + 1;
        let mut pool = TokenPool::default();
        let slots = SLOTS_PER_GROUP / VMS as u16;
        pool.lender.set_share(&tenant(), share(slots), Tokens(0), now);
        self.nodes[i] =
            Node { vm_ref: vm(&format!("vm-{i}"), incarnation), pool, paused_until: now };
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Request { vm, tokens, used } => self.request(vm, tokens, used),
            Step::Drain { vm, percent } => {
                let tokens = self.nodes[vm].pool.available(&tenant(), self.now).0;
                self.request(vm, tokens, tokens * percent / 100);
            }
            Step::Settle { index } => self.settle(index),
            Step::Tick { vm } => self.tick(vm),
            Step::Deliver { index, lost, duplicate } => self.deliver(index, lost, duplicate),
            Step::Pause { vm, steps } => {
                self.nodes[vm].paused_until = self.now + STEP * steps as u32
            }
            Step::Kill { vm } => self.kill(vm),
            Step::Wait { steps } => self.now += STEP * steps as u32,
        }
    }

    /// Returns the tokens that all vms together, including paused ones, could spend now.
    fn unspent_tokens(&mut self) -> u64 {
        let now = self.now;
        self.nodes.iter_mut().map(|node| node.pool.available(&tenant(), now).0).sum()
    }

    /// Checks the bound over every interval between two admissions.
    fn check_bound(&self) -> Result<(), TestCaseError> {
        let mut charges: BTreeMap<Duration, u64> = BTreeMap::new();
        for request in &self.requests {
            *charges.entry(request.admitted).or_insert(0) += request.charge;
        }
        for start in charges.keys() {
            let mut total = 0;
            for (end, tokens) in charges.range(start..) {
                total += tokens;
                let elapsed_ms = (*end - *start).as_millis() as u64;
                let allowed = BURST + RATE * elapsed_ms / 1000;
                prop_assert!(total <= allowed, "{total} of {allowed} from {start:?} to {end:?}");
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_bound_holds_under_any_schedule(steps in proptest::collection::vec(step(), 1..400)) {
        let mut fleet = SimulatedFleet::new();
        for step in &steps {
            fleet.step(step);
            let unspent_tokens = fleet.unspent_tokens();
            prop_assert!(unspent_tokens <= BURST, "{unspent_tokens} unspent tokens at {:?}", fleet.now);
        }
        fleet.check_bound()?;
    }
}

/// A tenant within its rate is not refused when its whole load goes to one vm, then to the next.
#[test]
fn a_skewed_load_balancer_causes_no_wrongful_refusal() {
    let mut fleet = SimulatedFleet::new();
    let (mut admitted, mut refused) = (0, 0);
    for step in 0..4000u32 {
        fleet.now += STEP;
        let busy_vm = (step / 400) as usize % VMS;
        // 40 tokens in 50 ms are 800 a second, within the rate of 1000.
        let before = fleet.requests.len();
        fleet.request(busy_vm, 40, 40);
        match fleet.requests.len() > before {
            true => admitted += 1,
            false => refused += 1,
        }
        for i in 0..VMS {
            fleet.tick(i);
        }
        while !fleet.in_flight.is_empty() {
            fleet.deliver(0, false, false);
        }
        let last = fleet.requests.len();
        (0..last.min(4)).for_each(|i| fleet.settle(i));
    }
    assert!(refused * 1000 <= admitted, "{refused} of {} refused", admitted + refused);
    fleet.check_bound().unwrap();
}

#[test]
fn two_refunds_share_the_remaining_capacity() {
    let mut bucket = QuotaBucket::new(share(SLOTS_PER_GROUP), Tokens(BURST), ms(0));
    let first = bucket.take(Tokens(1000), ms(0)).unwrap();
    let second = bucket.take(Tokens(1000), ms(0)).unwrap();
    assert!(
        bucket.take(Tokens(3500), ms(1500)).is_some(),
        "the bucket was not 500 below its burst"
    );
    bucket.refund(Tokens(1000), first, ms(1500));
    assert_eq!(bucket.level(ms(1500)), Tokens(500));
    bucket.refund(Tokens(1000), second, ms(1500));
    assert_eq!(bucket.level(ms(1500)), Tokens(500));
}

#[test]
fn a_loan_that_arrives_twice_is_spent_once() {
    let mut pool = TokenPool::default();
    let loan_response =
        LoanResponse { tenant: tenant(), created: Offset(1), loan: 1, tokens: 100, wait_ms: 0 };
    pool.add_loan(&vm("home", 1), &loan_response, ms(0), ms(0));
    assert!(pool.reserve(&tenant(), Tokens(100), ms(10)).is_ok());
    pool.add_loan(&vm("home", 1), &loan_response, ms(0), ms(20));
    assert_eq!(pool.reserve(&tenant(), Tokens(1), ms(30)).unwrap_err(), Tokens(1));
}

#[test]
fn a_loan_that_arrives_again_after_it_was_closed_is_not_spent_again() {
    let mut pool = TokenPool::default();
    let loan_response =
        LoanResponse { tenant: tenant(), created: Offset(1), loan: 1, tokens: 100, wait_ms: 0 };
    pool.add_loan(&vm("home", 1), &loan_response, ms(0), ms(0));
    let reservation = pool.reserve(&tenant(), Tokens(100), ms(10)).unwrap();
    pool.settle(reservation, Tokens(100), ms(20));
    let lenders = |_: &TenantName| vec![(vm("home", 1), 8)];
    for i in 0..4 {
        let now = ms(100 * (i + 1));
        for (home, request) in pool.tick(lenders, |_| Some(Offset(1)), ms(100), now) {
            pool.record_confirmation(&home, &request.reports);
        }
    }
    pool.add_loan(&vm("home", 1), &loan_response, ms(0), ms(600));
    assert_eq!(pool.reserve(&tenant(), Tokens(1), ms(610)).unwrap_err(), Tokens(1));
}
