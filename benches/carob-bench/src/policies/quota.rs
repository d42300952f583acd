//! Rate limiting: escrow, in which vms lend each other tokens, compared with static shares and with
//! a single owner that decides on each request.

use std::time::Duration;

use carobglade::{
    Incarnation, Offset, QuotaBucket, RateLimit, SLOTS_PER_GROUP, SlotShare, TenantName, TokenPool,
    TokenRate, Tokens, VmRef,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::SEED;
use crate::report::Report;

const VMS: usize = 8;
const RATE: u64 = 10_000;
const BURST: u64 = 20_000;
const STEP: Duration = Duration::from_millis(10);
const TICK_STEPS: u32 = 10; // between two ticks of the pools
const STEPS: u32 = 12_000; // two minutes
const HOT_VM_STEPS: u32 = 1_000; // until the load balancer sends to another vm

/// Way in which the tokens of a tenant are divided among the vms.
#[derive(Clone, Copy, PartialEq)]
enum Scheme {
    /// Each vm has a fixed equal share.
    Static,
    /// The first vm holds all tokens and decides on each request.
    Owner,
    /// Each vm has an equal share and borrows from the others.
    Escrow,
}

#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    /// Offered load as a multiple of the rate.
    load: f64,
    /// Whether one vm at a time receives all requests.
    skewed: bool,
    /// Whether a vm is killed after half of the steps.
    kill_vm: bool,
}

const SCENARIOS: [Scenario; 4] = [
    Scenario { name: "even", load: 0.8, skewed: false, kill_vm: false },
    Scenario { name: "skew", load: 0.8, skewed: true, kill_vm: false },
    Scenario { name: "five_times", load: 5.0, skewed: true, kill_vm: false },
    Scenario { name: "killed", load: 0.8, skewed: false, kill_vm: true },
];

fn tenant() -> TenantName {
    "apron".parse().unwrap_or_default()
}

fn share(slots: u16) -> SlotShare {
    let rate_limit = RateLimit { rate: TokenRate(RATE), burst: Tokens(BURST), created: Offset(1) };
    SlotShare { rate_limit, slots }
}

fn vm(i: usize) -> VmRef {
    VmRef { vm: format!("vm-{i}").parse().unwrap_or_default(), incarnation: Incarnation(1) }
}

struct SimulatedFleet {
    scheme: Scheme,
    pools: Vec<TokenPool>,
    killed_vm: Option<usize>,
    messages: u64,
    round_trips: u64,
}

impl SimulatedFleet {
    fn new(scheme: Scheme) -> Self {
        let pools = (0..VMS).map(|i| {
            let mut pool = TokenPool::default();
            let slots = match scheme {
                Scheme::Owner if i == 0 => SLOTS_PER_GROUP,
                Scheme::Owner => 0,
                _ => SLOTS_PER_GROUP / VMS as u16,
            };
            pool.lender.set_share(&tenant(), share(slots), Tokens(BURST), Duration::ZERO);
            pool
        });
        SimulatedFleet {
            scheme,
            pools: pools.collect(),
            killed_vm: None,
            messages: 0,
            round_trips: 0,
        }
    }

    fn lenders(&self, index: usize) -> Vec<(VmRef, u16)> {
        let others = (0..VMS).filter(|i| *i != index && Some(*i) != self.killed_vm);
        others.map(|i| (vm(i), SLOTS_PER_GROUP / VMS as u16)).collect()
    }

    fn send_loan_requests(
        &mut self,
        index: usize,
        requests: Vec<(VmRef, carobglade::LoanRequest)>,
        now: Duration,
    ) {
        for (to, request) in requests {
            let Some(lender) = (0..VMS).find(|i| vm(*i) == to && Some(*i) != self.killed_vm) else {
                continue;
            };
            self.messages += 2;
            let loan = self.pools[lender].lend(&vm(index), &request, now);
            self.pools[index].record_confirmation(&to, &request.reports);
            self.pools[index].add_loan(&to, &loan, now, now);
        }
    }

    fn tick(&mut self, now: Duration) {
        if self.scheme != Scheme::Escrow {
            return;
        }
        let killed_vm = self.killed_vm;
        for index in (0..VMS).filter(|i| Some(*i) != killed_vm) {
            let lenders = self.lenders(index);
            let tick = STEP * TICK_STEPS;
            let requests =
                self.pools[index].tick(|_| lenders.clone(), |_| Some(Offset(1)), tick, now);
            self.send_loan_requests(index, requests, now);
        }
    }

    fn admit(&mut self, index: usize, tokens: u64, now: Duration) -> bool {
        if self.scheme == Scheme::Owner && index != 0 {
            self.messages += 2;
            self.round_trips += 1;
            let owner_alive = self.killed_vm != Some(0);
            return owner_alive && self.pools[0].reserve(&tenant(), Tokens(tokens), now).is_ok();
        }
        for all in [false, true] {
            let Err(missing) = self.pools[index].reserve(&tenant(), Tokens(tokens), now) else {
                return true;
            };
            if self.scheme != Scheme::Escrow {
                return false;
            }
            if self.pools[index].shortage_wait(&tenant(), Tokens(tokens), now).is_some() {
                return false;
            }
            self.round_trips += 1;
            let name = (tenant(), Offset(1));
            let lenders = self.lenders(index);
            let requests = self.pools[index].request_missing(&name, missing, &lenders, all);
            self.send_loan_requests(index, requests, now);
        }
        let reserved = self.pools[index].reserve(&tenant(), Tokens(tokens), now).is_ok();
        if !reserved {
            self.pools[index].return_unspent(&tenant(), now);
            let wait = Duration::from_millis(100);
            self.pools[index].record_shortage(&tenant(), Tokens(tokens), wait, now);
        }
        reserved
    }
}

#[derive(Default)]
struct Outcome {
    requests: u64,
    wrongful_refusals: u64,
    admitted_tokens: u64,
    round_trips: u64,
    messages: u64,
}

fn simulate(scheme: Scheme, scenario: Scenario) -> Outcome {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut fleet = SimulatedFleet::new(scheme);
    let mut reference = QuotaBucket::new(share(SLOTS_PER_GROUP), Tokens(BURST), Duration::ZERO);
    let mut outcome = Outcome::default();
    let mut offered = 0.0;
    for step in 0..STEPS {
        let now = STEP * step;
        if scenario.kill_vm && step == STEPS / 2 {
            fleet.killed_vm = Some(0);
        }
        if step % TICK_STEPS == 0 {
            fleet.tick(now);
        }
        offered += RATE as f64 * scenario.load * STEP.as_secs_f64();
        while offered > 0.0 {
            let tokens = random.random_range(50..450);
            offered -= tokens as f64;
            let mut index = (step / HOT_VM_STEPS) as usize % VMS;
            if !scenario.skewed {
                index = random.random_range(0..VMS);
            }
            if fleet.killed_vm == Some(index) {
                index = (index + 1) % VMS;
            }
            outcome.requests += 1;
            let admitted = fleet.admit(index, tokens, now);
            // The reference bucket takes the tokens that the scheme admitted, as far as it holds
            // them. A refusal is wrongful if the reference bucket would have admitted the request.
            let allowed = reference.level(now).0 >= tokens;
            if admitted {
                outcome.admitted_tokens += tokens;
                let taken = Tokens(tokens.min(reference.level(now).0));
                reference.take(taken, now);
            }
            outcome.wrongful_refusals += u64::from(!admitted && allowed);
        }
    }
    outcome.round_trips = fleet.round_trips;
    outcome.messages = fleet.messages;
    outcome
}

/// Simulates each scheme in each scenario and adds wrongful refusals or admitted tokens.
pub fn run(report: &mut Report) {
    let schemes =
        [("static", Scheme::Static), ("owner", Scheme::Owner), ("escrow", Scheme::Escrow)];
    for scenario in SCENARIOS {
        for (name, scheme) in schemes {
            let outcome = simulate(scheme, scenario);
            let per_request = |n: u64| n as f64 / outcome.requests as f64;
            let allowed = BURST as f64 + RATE as f64 * (STEP * STEPS).as_secs_f64();
            let key = format!("quota.{}.{name}", scenario.name);
            let note = format!(
                "{} requests; {:.3} round trips and {:.2} messages each; admitted {:.3} of allowed",
                outcome.requests,
                per_request(outcome.round_trips),
                per_request(outcome.messages),
                outcome.admitted_tokens as f64 / allowed
            );
            if scenario.load > 1.0 {
                let admitted = outcome.admitted_tokens as f64 / allowed;
                report.add(&format!("{key}.admitted"), admitted, "of allowed", &note);
            } else {
                let wrongful = per_request(outcome.wrongful_refusals) * 1000.0;
                report.add(&format!("{key}.wrongful"), wrongful, "per 1000", &note);
            }
        }
    }
}
