//! Rate and burst: the bound holds over every interval of the whole fleet's history.

#[macro_use]
mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use carobglade::{
    Grant, LoanRequest, LoanResponse, Offset, QuotaBucket, Reservation, SLOTS_PER_GROUP,
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

fn grant(rate: u64, burst: u64) -> Grant {
    Grant { rate: TokenRate(rate), burst: Tokens(burst), created: Offset(1) }
}

fn share(slots: u16) -> SlotShare {
    SlotShare { grant: grant(RATE, BURST), slots }
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_bucket_refills_to_its_burst() {
    let mut bucket = QuotaBucket::new(share(SLOTS_PER_GROUP), Tokens(0), at(0));
    assert_eq!(bucket.level(at(1500)), Tokens(1500));
    assert_eq!(bucket.level(at(60_000)), Tokens(BURST));
    assert!(bucket.take(Tokens(BURST + 1), at(60_000)).is_none());
}

#[test]
fn a_loan_keeps_its_room_until_it_is_spent() {
    let mut bucket = QuotaBucket::new(share(SLOTS_PER_GROUP), Tokens(BURST), at(0));
    assert_eq!(bucket.lend(Tokens(3000), at(0)), Tokens(3000));
    assert_eq!(bucket.level(at(10_000)), Tokens(1000));
    bucket.settle_lent(Tokens(3000), at(10_000));
    assert_eq!(bucket.level(at(10_500)), Tokens(1500));
}

/// Takes `taken` at 0 and refunds them at `later`; `left` tokens were in the bucket after it.
fn refunds(left: u64, taken: u64, later: u64, expected: u64) {
    let mut bucket = QuotaBucket::new(share(SLOTS_PER_GROUP), Tokens(left + taken), at(0));
    let mark = bucket.take(Tokens(taken), at(0)).unwrap();
    bucket.refund(Tokens(taken), mark, at(later));
    assert_eq!(bucket.level(at(later)), Tokens(expected));
}

cases! { refunds:
    a_refund_restores_what_was_taken => (0, 2000, 0, 2000);
    a_refund_comes_on_top_of_the_refill => (0, 2000, 1000, 3000);
    a_refund_stops_at_the_burst => (3000, 1000, 500, 4000);
    a_refund_after_a_full_bucket_restores_nothing => (3000, 1000, 60_000, 4000);
}

#[test]
fn a_refund_does_not_restore_what_the_full_bucket_turned_away() {
    let mut bucket = QuotaBucket::new(share(SLOTS_PER_GROUP), Tokens(BURST), at(0));
    let mark = bucket.take(Tokens(1000), at(0)).unwrap();
    assert!(bucket.take(Tokens(BURST), at(5000)).is_some(), "it was full again");
    bucket.refund(Tokens(1000), mark, at(5000));
    assert_eq!(bucket.level(at(5000)), Tokens(0));
}

/// Checks the tokens that come with a slot taken at offset 10, of a tenant created at `created`.
fn brings(created: u64, unused: bool, recreated: bool, expected: u64) {
    let levels = BTreeMap::from([(tenant(), 7)]);
    let holder = SlotHolder { vm: vm("a", 1), taken: Offset(10), levels, unused };
    let grant = Grant { created: Offset(created), ..grant(RATE, BURST) };
    assert_eq!(holder.initial_tokens(&tenant(), &grant, recreated), Tokens(expected));
}

cases! { brings:
    a_slot_that_was_held_before_brings_what_was_left => (5, false, false, 7);
    a_slot_that_nobody_held_is_full => (5, true, false, BURST / 8);
    a_new_tenant_is_full_in_a_held_slot => (15, false, false, BURST / 8);
    a_recreated_tenant_is_empty_in_a_held_slot => (15, false, true, 0);
    a_recreated_tenant_keeps_what_was_left_later => (5, false, true, 7);
}

/// One step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    Request { vm: usize, tokens: u64, used: u64 },
    Drain { vm: usize, part: u64 },
    Settle { at: usize },
    Tick { vm: usize },
    Deliver { at: usize, lost: bool, double: bool },
    Pause { vm: usize, steps: u64 },
    Kill { vm: usize },
    Wait { steps: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..VMS, 1..1500u64, 0..100u64)
            .prop_map(|(vm, tokens, part)| Step::Request { vm, tokens, used: tokens * part / 100 }),
        3 => (0..VMS, 0..100u64).prop_map(|(vm, part)| Step::Drain { vm, part }),
        6 => (0..64usize).prop_map(|at| Step::Settle { at }),
        8 => (0..VMS).prop_map(|vm| Step::Tick { vm }),
        12 => (0..64usize, 0..10u8, 0..10u8)
            .prop_map(|(at, l, d)| Step::Deliver { at, lost: l == 0, double: d == 0 }),
        1 => (0..VMS, 1..120u64).prop_map(|(vm, steps)| Step::Pause { vm, steps }),
        1 => (0..VMS).prop_map(|vm| Step::Kill { vm }),
        6 => (1..30u64).prop_map(|steps| Step::Wait { steps }),
    ]
}

#[derive(Clone)]
enum Message {
    Ask {
        from: VmRef,
        to: VmRef,
        asks: Vec<LoanRequest>,
        asked: Duration,
    },
    Lent {
        from: VmRef,
        to: VmRef,
        loans: Vec<LoanResponse>,
        asks: Vec<LoanRequest>,
        asked: Duration,
    },
}

struct Node {
    me: VmRef,
    pool: TokenPool,
    paused: Duration,
}

struct Request {
    vm: VmRef,
    held: Option<Reservation>,
    admitted: Duration,
    used: u64,
    charge: u64,
}

struct World {
    now: Duration,
    nodes: Vec<Node>,
    way: Vec<Message>,
    requests: Vec<Request>,
}

impl World {
    fn new() -> Self {
        let mut nodes = Vec::new();
        for i in 0..VMS {
            let mut pool = TokenPool::default();
            let slots = SLOTS_PER_GROUP / VMS as u16;
            pool.lender.set_share(&tenant(), share(slots), Tokens(BURST), Duration::ZERO);
            nodes.push(Node { me: vm(&format!("vm-{i}"), 1), pool, paused: Duration::ZERO });
        }
        World { now: Duration::ZERO, nodes, way: Vec::new(), requests: Vec::new() }
    }

    fn index(&self, name: &VmRef) -> Option<usize> {
        let runs = |node: &Node| node.me == *name && node.paused <= self.now;
        self.nodes.iter().position(runs)
    }

    fn request(&mut self, i: usize, tokens: u64, used: u64) {
        let (now, node) = (self.now, &mut self.nodes[i]);
        if node.paused > now {
            return;
        }
        if let Ok(held) = node.pool.reserve(&tenant(), Tokens(tokens), now) {
            let (vm, held) = (node.me.clone(), Some(held));
            self.requests.push(Request { vm, held, admitted: now, used, charge: tokens });
        }
    }

    fn settle(&mut self, at: usize) {
        let open: Vec<usize> =
            (0..self.requests.len()).filter(|i| self.requests[*i].held.is_some()).collect();
        if open.is_empty() {
            return;
        }
        let request = open[at % open.len()];
        let Some(node) = self.index(&self.requests[request].vm) else {
            return;
        };
        let (now, request) = (self.now, &mut self.requests[request]);
        if let Some(held) = request.held.take() {
            self.nodes[node].pool.settle(held, Tokens(request.used), now);
            request.charge = request.used;
        }
    }

    fn tick(&mut self, i: usize) {
        let others: Vec<(VmRef, u16)> = self.nodes.iter().map(|n| (n.me.clone(), 2)).collect();
        let (now, node) = (self.now, &mut self.nodes[i]);
        if node.paused > now {
            return;
        }
        let me = node.me.clone();
        let homes = |_: &TenantName| others.iter().filter(|(o, _)| *o != me).cloned().collect();
        let asks = node.pool.tick(homes, |_| Some(Offset(1)), STEP, now);
        for (to, ask) in asks {
            self.way.push(Message::Ask { from: me.clone(), to, asks: vec![ask], asked: now });
        }
    }

    fn deliver(&mut self, at: usize, lost: bool, double: bool) {
        if self.way.is_empty() {
            return;
        }
        let at = at % self.way.len();
        let message = self.way[at].clone();
        if !double {
            self.way.remove(at);
        }
        let to = match &message {
            Message::Ask { to, .. } | Message::Lent { to, .. } => to.clone(),
        };
        let Some(i) = self.index(&to).filter(|_| !lost) else {
            return;
        };
        let (now, pool) = (self.now, &mut self.nodes[i].pool);
        match message {
            Message::Ask { from, to, asks, asked } => {
                let loans = asks.iter().map(|ask| pool.lend(&from, ask, now)).collect();
                self.way.push(Message::Lent { from: to, to: from, loans, asks, asked });
            }
            Message::Lent { from, loans, asks, asked, .. } => {
                for (loan, ask) in loans.iter().zip(&asks) {
                    pool.confirm_reports(&from, &ask.reports);
                    pool.add_loan(&from, loan, asked, now);
                }
            }
        }
    }

    /// A vm starts again: its slots come back without tokens, its loans and requests are lost.
    fn kill(&mut self, i: usize) {
        let now = self.now;
        let incarnation = self.nodes[i].me.incarnation.0 + 1;
        let mut pool = TokenPool::default();
        let slots = SLOTS_PER_GROUP / VMS as u16;
        pool.lender.set_share(&tenant(), share(slots), Tokens(0), now);
        self.nodes[i] = Node { me: vm(&format!("vm-{i}"), incarnation), pool, paused: now };
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Request { vm, tokens, used } => self.request(vm, tokens, used),
            Step::Drain { vm, part } => {
                let tokens = self.nodes[vm].pool.available(&tenant(), self.now).0;
                self.request(vm, tokens, tokens * part / 100);
            }
            Step::Settle { at } => self.settle(at),
            Step::Tick { vm } => self.tick(vm),
            Step::Deliver { at, lost, double } => self.deliver(at, lost, double),
            Step::Pause { vm, steps } => self.nodes[vm].paused = self.now + STEP * steps as u32,
            Step::Kill { vm } => self.kill(vm),
            Step::Wait { steps } => self.now += STEP * steps as u32,
        }
    }

    /// Tokens that all vms together could spend at this moment, those that are paused included.
    fn unspent(&mut self) -> u64 {
        let now = self.now;
        self.nodes.iter_mut().map(|node| node.pool.available(&tenant(), now).0).sum()
    }

    /// The bound over every interval between two admissions.
    fn check(&self) -> Result<(), TestCaseError> {
        let mut charges: BTreeMap<Duration, u64> = BTreeMap::new();
        for request in &self.requests {
            *charges.entry(request.admitted).or_insert(0) += request.charge;
        }
        for start in charges.keys() {
            let mut total = 0;
            for (end, tokens) in charges.range(start..) {
                total += tokens;
                let passed = (*end - *start).as_millis() as u64;
                let allowed = BURST + RATE * passed / 1000;
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
        let mut world = World::new();
        for step in &steps {
            world.step(step);
            let unspent = world.unspent();
            prop_assert!(unspent <= BURST, "{unspent} unspent at {:?}", world.now);
        }
        world.check()?;
    }
}

/// A tenant at its rate whose whole load goes to one vm, then to the next, is not refused.
#[test]
fn a_skewed_balancer_causes_no_wrongful_refusal() {
    let mut world = World::new();
    let (mut admitted, mut refused) = (0, 0);
    for step in 0..4000u32 {
        world.now += STEP;
        let hot = (step / 400) as usize % VMS;
        // 40 tokens in 50 ms are 800 a second, within the rate of 1000.
        let before = world.requests.len();
        world.request(hot, 40, 40);
        match world.requests.len() > before {
            true => admitted += 1,
            false => refused += 1,
        }
        for i in 0..VMS {
            world.tick(i);
        }
        while !world.way.is_empty() {
            world.deliver(0, false, false);
        }
        let last = world.requests.len();
        (0..last.min(4)).for_each(|i| world.settle(i));
    }
    assert!(refused * 1000 <= admitted, "{refused} of {} refused", admitted + refused);
    world.check().unwrap();
}

#[test]
fn two_refunds_share_the_room_that_was_left() {
    let mut bucket = QuotaBucket::new(share(SLOTS_PER_GROUP), Tokens(BURST), at(0));
    let first = bucket.take(Tokens(1000), at(0)).unwrap();
    let second = bucket.take(Tokens(1000), at(0)).unwrap();
    assert!(bucket.take(Tokens(3500), at(1500)).is_some(), "500 below its burst");
    bucket.refund(Tokens(1000), first, at(1500));
    assert_eq!(bucket.level(at(1500)), Tokens(500));
    bucket.refund(Tokens(1000), second, at(1500));
    assert_eq!(bucket.level(at(1500)), Tokens(500));
}

#[test]
fn a_loan_that_arrives_twice_is_spent_once() {
    let mut pool = TokenPool::default();
    let lent = LoanResponse { tenant: tenant(), created: Offset(1), loan: 1, tokens: 100, wait: 0 };
    pool.add_loan(&vm("home", 1), &lent, at(0), at(0));
    assert!(pool.reserve(&tenant(), Tokens(100), at(10)).is_ok());
    pool.add_loan(&vm("home", 1), &lent, at(0), at(20));
    assert_eq!(pool.reserve(&tenant(), Tokens(1), at(30)).unwrap_err(), Tokens(1));
}

#[test]
fn a_loan_that_arrives_again_after_it_was_closed_is_not_spent_again() {
    let mut pool = TokenPool::default();
    let lent = LoanResponse { tenant: tenant(), created: Offset(1), loan: 1, tokens: 100, wait: 0 };
    pool.add_loan(&vm("home", 1), &lent, at(0), at(0));
    let held = pool.reserve(&tenant(), Tokens(100), at(10)).unwrap();
    pool.settle(held, Tokens(100), at(20));
    let homes = |_: &TenantName| vec![(vm("home", 1), 8)];
    for i in 0..4 {
        let now = at(100 * (i + 1));
        for (home, ask) in pool.tick(homes, |_| Some(Offset(1)), at(100), now) {
            pool.confirm_reports(&home, &ask.reports);
        }
    }
    pool.add_loan(&vm("home", 1), &lent, at(0), at(600));
    assert_eq!(pool.reserve(&tenant(), Tokens(1), at(610)).unwrap_err(), Tokens(1));
}
