//! Placement: the planner against static placement and least recently used, with demand that
//! moves.

use std::collections::BTreeMap;

use carobglade::{
    Change, ConfigChange, ControlState, Demand, Entry, Incarnation, IntentKind, ModelName,
    ModelPhase, Offset, PlacementPolicy, PlacementSettings, PlanInput, Record, Resolve, Restarted,
    StateMachine, plan,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::SEED;
use crate::config;
use crate::report::Report;

const STEP: u64 = 50; // milliseconds
const PLAN_STEPS: u64 = 5;
const LENGTH: u64 = 600_000; // milliseconds
const SHIFT: u64 = 60_000; // milliseconds until demand moves
const LOAD_TIME: u64 = 1_000; // milliseconds
const ADAPTER_TIME: u64 = 50; // milliseconds, a step
const SERVICE: u64 = 1_500; // milliseconds of a request
const TARGET: u64 = 1_100; // milliseconds to the first token
const GIVE_UP: u64 = 5_000; // milliseconds in the queue
const BATCH: usize = 16;
const SERVERS: usize = 9;
const MODELS: usize = 20;
const ADAPTERS: usize = 40;

struct Waiting {
    model: usize,
    came: u64,
}

struct World {
    state: ControlState,
    next: u64,
    orders: Vec<(u64, Resolve)>,
    waiting: Vec<Waiting>,
    running: Vec<(u64, usize, usize)>,
    used: BTreeMap<ModelName, u64>,
    moves: u64,
    served: Vec<(u64, u64)>,
    cold: f64,
    refused: u64,
}

fn name(i: usize) -> ModelName {
    let text = if i < MODELS { format!("m{i}") } else { format!("a{}", i - MODELS) };
    text.parse().unwrap_or_default()
}

fn upstream(i: usize) -> carobglade::UpstreamName {
    format!("engine-{i}").parse().unwrap_or_default()
}

impl World {
    fn new() -> Self {
        let mut world = World {
            state: ControlState::default(),
            next: 0,
            orders: Vec::new(),
            waiting: Vec::new(),
            running: Vec::new(),
            used: BTreeMap::new(),
            moves: 0,
            served: vec![(0, 0); MODELS + ADAPTERS],
            cold: 0.0,
            refused: 0,
        };
        let models = (0..MODELS).map(|i| config::model(&format!("m{i}"), "30GiB"));
        let adapters =
            (0..ADAPTERS).map(|i| config::adapter(&format!("a{i}"), &format!("m{}", i % MODELS)));
        let any = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        let engines =
            (0..SERVERS).map(|i| config::engine(&format!("engine-{i}"), any, "64GiB", true));
        let changes =
            models.chain(adapters).map(Change::Model).chain(engines.map(Change::Upstream));
        let changes = changes.collect();
        world.append(0, Record::Config(ConfigChange { base: Offset(0), changes }));
        for i in 0..SERVERS {
            let incarnation = Incarnation(1);
            world.append(0, Record::Restarted(Restarted { upstream: upstream(i), incarnation }));
        }
        world
    }

    fn append(&mut self, time: u64, record: Record) -> Offset {
        self.next += 1;
        let id = format!("e{}", self.next);
        let entry = Entry { offset: Offset(self.next), time, id, records: vec![record] };
        self.state.apply(&entry);
        entry.offset
    }

    fn demand(&self, now: u64) -> BTreeMap<ModelName, Demand> {
        let mut demand: BTreeMap<ModelName, Demand> = BTreeMap::new();
        for (_, model, _) in &self.running {
            demand.entry(name(*model)).or_default().running += 1.0;
        }
        for waiting in &self.waiting {
            let entry = demand.entry(name(waiting.model)).or_default();
            entry.waiting += 1;
            entry.oldest = entry.oldest.max((now - waiting.came) as u32);
        }
        demand
    }

    fn order(&mut self, now: u64, settings: &PlacementSettings) {
        let demand = self.demand(now);
        let input = PlanInput {
            config: self.state.config(),
            ledger: self.state.ledger(),
            demand: &demand,
            last_used: &self.used,
            reachable: &|_| true,
            now_ms: now,
        };
        for intent in plan(&input, settings) {
            let (kind, place) = (intent.kind, intent.upstream.clone());
            let adapter = intent.model.as_str().starts_with('a');
            let offset = self.append(now, Record::Intent(intent));
            let admitted = self.state.ledger().account(&place).is_some_and(|account| {
                account.charges.values().any(|charge| charge.order == offset)
            });
            if !admitted {
                continue;
            }
            let time = match (kind, adapter) {
                (IntentKind::Evict, _) => STEP,
                (IntentKind::Load, true) => ADAPTER_TIME,
                (IntentKind::Load, false) => LOAD_TIME,
            };
            self.moves += u64::from(kind == IntentKind::Load && !adapter);
            let resolve = Resolve { upstream: place, incarnation: Incarnation(1), order: offset };
            self.orders.push((now + time, resolve));
        }
    }

    fn resolve(&mut self, now: u64) {
        let (due, left) =
            std::mem::take(&mut self.orders).into_iter().partition(|(at, _)| *at <= now);
        self.orders = left;
        let due: Vec<(u64, Resolve)> = due;
        for (_, resolve) in due {
            self.append(now, Record::Resolve(resolve));
        }
    }

    fn host(&self, model: usize) -> Option<usize> {
        let model = name(model);
        let base = self.state.config().base_of(&model).clone();
        let loaded = |i: &usize| {
            self.state.ledger().account(&upstream(*i)).is_some_and(|account| {
                let phase = |m: &ModelName| account.charges.get(m).map(|charge| charge.phase);
                phase(&model) == Some(ModelPhase::Loaded)
                    && phase(&base) == Some(ModelPhase::Loaded)
            })
        };
        let load = |i: &usize| self.running.iter().filter(|(_, _, u)| u == i).count();
        let roomy = (0..SERVERS).filter(loaded).filter(|i| load(i) < BATCH);
        roomy.min_by_key(load)
    }

    fn serve(&mut self, now: u64) {
        self.running.retain(|(ends, _, _)| *ends > now);
        for waiting in std::mem::take(&mut self.waiting) {
            let waited = now - waiting.came;
            if let Some(host) = self.host(waiting.model) {
                self.running.push((now + SERVICE, waiting.model, host));
                self.served[waiting.model].0 += u64::from(waited <= TARGET);
                self.served[waiting.model].1 += 1;
                self.cold += waited as f64;
            } else if waited >= GIVE_UP {
                self.served[waiting.model].1 += 1;
                self.refused += 1;
            } else {
                self.waiting.push(waiting);
            }
        }
    }
}

/// Few models have most of the demand, and which these are moves each minute.
fn pick(random: &mut StdRng, now: u64) -> usize {
    let all = MODELS + ADAPTERS;
    let rank = (random.random::<f64>().powi(3) * all as f64) as usize;
    (rank * 7 + (now / SHIFT) as usize * 13) % all
}

fn play(policy: PlacementPolicy) -> World {
    let mut random = StdRng::seed_from_u64(SEED);
    let settings = PlacementSettings { policy, ..PlacementSettings::default() };
    let mut world = World::new();
    for step in 0..LENGTH / STEP {
        let now = step * STEP;
        // About 30 requests a second.
        for _ in 0..2 {
            if random.random_bool(0.75) {
                let model = pick(&mut random, now);
                world.used.insert(name(model), now);
                world.waiting.push(Waiting { model, came: now });
            }
        }
        world.resolve(now);
        world.serve(now);
        if step % PLAN_STEPS == 0 {
            world.order(now, &settings);
        }
    }
    world
}

/// Measures.
pub fn run(report: &mut Report) {
    let policies = [
        ("static", PlacementPolicy::Static),
        ("least_recent", PlacementPolicy::LeastRecent),
        ("demand", PlacementPolicy::Demand),
    ];
    for (label, policy) in policies {
        let world = play(policy);
        let (good, all) = world.served.iter().fold((0, 0), |(g, a), (x, y)| (g + x, a + y));
        let share = |(good, all): (u64, u64)| good as f64 / all.max(1) as f64;
        let worst = world.served.iter().map(|s| share(*s)).fold(1.0, f64::min);
        let note = format!(
            "{all} requests on {SERVERS} accelerators, {} weight loads, {} refused, mean wait {:.0} ms",
            world.moves,
            world.refused,
            world.cold / all.max(1) as f64
        );
        let attained = share((good, all)) * 100.0;
        report.add(&format!("placement.{label}.attained"), attained, "%", &note);
        report.add(
            &format!("placement.{label}.worst"),
            worst * 100.0,
            "%",
            "the worst-served model",
        );
    }
}
