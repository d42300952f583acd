//! Rate and burst: escrow against a static share and against one owner that is asked each time.

use std::time::Duration;

use carobglade::{
    Grant, Incarnation, Offset, QuotaBucket, SLOTS_PER_GROUP, SlotShare, TenantName, TokenPool,
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
const TICK_STEPS: u32 = 10; // of the pools
const STEPS: u32 = 12_000; // two minutes
const HOT_STEPS: u32 = 1_000; // until the balancer turns to another vm

#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Static,
    Owner,
    Escrow,
}

#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    /// Offered tokens over the rate.
    load: f64,
    /// Whether one vm gets all requests, then another.
    skew: bool,
    /// Whether a vm is killed at half time.
    kill: bool,
}

const CASES: [Case; 4] = [
    Case { name: "even", load: 0.8, skew: false, kill: false },
    Case { name: "skew", load: 0.8, skew: true, kill: false },
    Case { name: "five_times", load: 5.0, skew: true, kill: false },
    Case { name: "killed", load: 0.8, skew: false, kill: true },
];

fn tenant() -> TenantName {
    "apron".parse().unwrap_or_default()
}

fn share(slots: u16) -> SlotShare {
    let grant = Grant { rate: TokenRate(RATE), burst: Tokens(BURST), created: Offset(1) };
    SlotShare { grant, slots }
}

fn vm(i: usize) -> VmRef {
    VmRef { vm: format!("vm-{i}").parse().unwrap_or_default(), incarnation: Incarnation(1) }
}

struct Fleet {
    kind: Kind,
    pools: Vec<TokenPool>,
    dead: Option<usize>,
    messages: u64,
    round_trips: u64,
}

impl Fleet {
    fn new(kind: Kind) -> Self {
        let pools = (0..VMS).map(|i| {
            let mut pool = TokenPool::default();
            let slots = match kind {
                Kind::Owner if i == 0 => SLOTS_PER_GROUP,
                Kind::Owner => 0,
                _ => SLOTS_PER_GROUP / VMS as u16,
            };
            pool.lender.set_share(&tenant(), share(slots), Tokens(BURST), Duration::ZERO);
            pool
        });
        Fleet { kind, pools: pools.collect(), dead: None, messages: 0, round_trips: 0 }
    }

    fn homes(&self, me: usize) -> Vec<(VmRef, u16)> {
        let others = (0..VMS).filter(|i| *i != me && Some(*i) != self.dead);
        others.map(|i| (vm(i), SLOTS_PER_GROUP / VMS as u16)).collect()
    }

    fn exchange(&mut self, me: usize, asks: Vec<(VmRef, carobglade::LoanRequest)>, now: Duration) {
        for (to, ask) in asks {
            let Some(home) = (0..VMS).find(|i| vm(*i) == to && Some(*i) != self.dead) else {
                continue;
            };
            self.messages += 2;
            let lent = self.pools[home].lend(&vm(me), &ask, now);
            self.pools[me].confirm_reports(&to, &ask.reports);
            self.pools[me].add_loan(&to, &lent, now, now);
        }
    }

    fn tick(&mut self, now: Duration) {
        if self.kind != Kind::Escrow {
            return;
        }
        let dead = self.dead;
        for me in (0..VMS).filter(|i| Some(*i) != dead) {
            let homes = self.homes(me);
            let tick = STEP * TICK_STEPS;
            let asks = self.pools[me].tick(|_| homes.clone(), |_| Some(Offset(1)), tick, now);
            self.exchange(me, asks, now);
        }
    }

    fn request(&mut self, me: usize, tokens: u64, now: Duration) -> bool {
        if self.kind == Kind::Owner && me != 0 {
            self.messages += 2;
            self.round_trips += 1;
            let owner_lives = self.dead != Some(0);
            return owner_lives && self.pools[0].reserve(&tenant(), Tokens(tokens), now).is_ok();
        }
        for all in [false, true] {
            let Err(missing) = self.pools[me].reserve(&tenant(), Tokens(tokens), now) else {
                return true;
            };
            if self.kind != Kind::Escrow {
                return false;
            }
            if self.pools[me].shortage_wait(&tenant(), Tokens(tokens), now).is_some() {
                return false;
            }
            self.round_trips += 1;
            let name = (tenant(), Offset(1));
            let homes = self.homes(me);
            let asks = self.pools[me].request_missing(&name, missing, &homes, all);
            self.exchange(me, asks, now);
        }
        let reserved = self.pools[me].reserve(&tenant(), Tokens(tokens), now).is_ok();
        if !reserved {
            self.pools[me].return_unspent(&tenant(), now);
            let wait = Duration::from_millis(100);
            self.pools[me].record_shortage(&tenant(), Tokens(tokens), wait, now);
        }
        reserved
    }
}

#[derive(Default)]
struct Outcome {
    requests: u64,
    wrongful: u64,
    admitted: u64,
    round_trips: u64,
    messages: u64,
}

fn play(kind: Kind, case: Case) -> Outcome {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut fleet = Fleet::new(kind);
    let mut ideal = QuotaBucket::new(share(SLOTS_PER_GROUP), Tokens(BURST), Duration::ZERO);
    let mut outcome = Outcome::default();
    let mut owed = 0.0;
    for step in 0..STEPS {
        let now = STEP * step;
        if case.kill && step == STEPS / 2 {
            fleet.dead = Some(0);
        }
        if step % TICK_STEPS == 0 {
            fleet.tick(now);
        }
        owed += RATE as f64 * case.load * STEP.as_secs_f64();
        while owed > 0.0 {
            let tokens = random.random_range(50..450);
            owed -= tokens as f64;
            let mut me = (step / HOT_STEPS) as usize % VMS;
            if !case.skew {
                me = random.random_range(0..VMS);
            }
            if fleet.dead == Some(me) {
                me = (me + 1) % VMS;
            }
            outcome.requests += 1;
            let admitted = fleet.request(me, tokens, now);
            // The yardstick takes only what was admitted, or what it alone would have admitted.
            let allowed = ideal.level(now).0 >= tokens;
            if admitted {
                outcome.admitted += tokens;
                let taken = Tokens(tokens.min(ideal.level(now).0));
                ideal.take(taken, now);
            }
            outcome.wrongful += u64::from(!admitted && allowed);
        }
    }
    outcome.round_trips = fleet.round_trips;
    outcome.messages = fleet.messages;
    outcome
}

/// Measures.
pub fn run(report: &mut Report) {
    let kinds = [("static", Kind::Static), ("owner", Kind::Owner), ("escrow", Kind::Escrow)];
    for case in CASES {
        for (name, kind) in kinds {
            let outcome = play(kind, case);
            let each = |n: u64| n as f64 / outcome.requests as f64;
            let allowed = BURST as f64 + RATE as f64 * (STEP * STEPS).as_secs_f64();
            let key = format!("quota.{}.{name}", case.name);
            let note = format!(
                "{} requests; {:.3} round trips and {:.2} messages each; admitted {:.3} of allowed",
                outcome.requests,
                each(outcome.round_trips),
                each(outcome.messages),
                outcome.admitted as f64 / allowed
            );
            if case.load > 1.0 {
                let admitted = outcome.admitted as f64 / allowed;
                report.add(&format!("{key}.admitted"), admitted, "of allowed", &note);
            } else {
                let wrongful = each(outcome.wrongful) * 1000.0;
                report.add(&format!("{key}.wrongful"), wrongful, "per 1000", &note);
            }
        }
    }
}
