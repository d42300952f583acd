//! Placement: the planner compared with static placement and least-recently-used eviction, under
//! shifting demand.

use std::collections::BTreeMap;

use carobglade::{
    Change, ConfigChange, ControlState, Demand, Incarnation, LogEntry, ModelName, ModelPhase,
    Offset, OrderKind, OrderResolution, PlacementPolicy, PlacementSettings, PlanInput, Record,
    StateMachine, UpstreamRestart, plan_placement,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::SEED;
use crate::config;
use crate::report::Report;

const STEP_MS: u64 = 50;
const PLAN_INTERVAL_STEPS: u64 = 5;
const DURATION_MS: u64 = 600_000;
const DEMAND_SHIFT_MS: u64 = 60_000; // until demand shifts to other models
const MODEL_LOAD_MS: u64 = 1_000;
const ADAPTER_LOAD_MS: u64 = 50; // one step
const SERVICE_TIME_MS: u64 = 1_500;
const WAIT_TARGET_MS: u64 = 1_100; // until the first token
const QUEUE_TIMEOUT_MS: u64 = 5_000;
const MAX_RUNNING: usize = 16; // concurrent requests per engine
const ENGINES: usize = 9;
const MODELS: usize = 20;
const ADAPTERS: usize = 40;

struct QueuedRequest {
    model: usize,
    arrived_at: u64,
}

struct Simulation {
    state: ControlState,
    last_offset: u64,
    /// Loads and evictions in progress, by their time of completion.
    pending_orders: Vec<(u64, OrderResolution)>,
    queue: Vec<QueuedRequest>,
    /// End, model and engine of each running request.
    running: Vec<(u64, usize, usize)>,
    last_used: BTreeMap<ModelName, u64>,
    model_loads: u64,
    /// Requests that met the wait target, and all requests, by model.
    served: Vec<(u64, u64)>,
    total_wait_ms: f64,
    refused: u64,
}

fn model_name(i: usize) -> ModelName {
    let text = if i < MODELS { format!("m{i}") } else { format!("a{}", i - MODELS) };
    text.parse().unwrap_or_default()
}

fn upstream_name(i: usize) -> carobglade::UpstreamName {
    format!("engine-{i}").parse().unwrap_or_default()
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Simulation {
            state: ControlState::default(),
            last_offset: 0,
            pending_orders: Vec::new(),
            queue: Vec::new(),
            running: Vec::new(),
            last_used: BTreeMap::new(),
            model_loads: 0,
            served: vec![(0, 0); MODELS + ADAPTERS],
            total_wait_ms: 0.0,
            refused: 0,
        };
        let models = (0..MODELS).map(|i| config::model(&format!("m{i}"), "30GiB"));
        let adapters =
            (0..ADAPTERS).map(|i| config::adapter(&format!("a{i}"), &format!("m{}", i % MODELS)));
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        let engines =
            (0..ENGINES).map(|i| config::engine(&format!("engine-{i}"), address, "64GiB", true));
        let changes =
            models.chain(adapters).map(Change::Model).chain(engines.map(Change::Upstream));
        let changes = changes.collect();
        simulation.append(0, Record::ConfigChange(ConfigChange { base: Offset(0), changes }));
        for i in 0..ENGINES {
            let incarnation = Incarnation(1);
            simulation.append(
                0,
                Record::UpstreamRestart(UpstreamRestart {
                    upstream: upstream_name(i),
                    incarnation,
                }),
            );
        }
        simulation
    }

    fn append(&mut self, time: u64, record: Record) -> Offset {
        self.last_offset += 1;
        let id = format!("e{}", self.last_offset);
        let entry =
            LogEntry { offset: Offset(self.last_offset), time_ms: time, id, records: vec![record] };
        self.state.apply(&entry);
        entry.offset
    }

    fn demand(&self, now: u64) -> BTreeMap<ModelName, Demand> {
        let mut demand: BTreeMap<ModelName, Demand> = BTreeMap::new();
        for (_, model, _) in &self.running {
            demand.entry(model_name(*model)).or_default().running += 1.0;
        }
        for request in &self.queue {
            let entry = demand.entry(model_name(request.model)).or_default();
            entry.waiting += 1;
            entry.oldest_ms = entry.oldest_ms.max((now - request.arrived_at) as u32);
        }
        demand
    }

    fn apply_plan(&mut self, now: u64, settings: &PlacementSettings) {
        let demand = self.demand(now);
        let input = PlanInput {
            config: self.state.config(),
            ledger: self.state.ledger(),
            demand: &demand,
            last_used: &self.last_used,
            reachable: &|_| true,
            now_ms: now,
        };
        for intent in plan_placement(&input, settings) {
            let (kind, upstream) = (intent.kind, intent.upstream.clone());
            let adapter = intent.model.as_str().starts_with('a');
            let offset = self.append(now, Record::OrderIntent(intent));
            let admitted = self.state.ledger().account(&upstream).is_some_and(|account| {
                account.charges.values().any(|charge| charge.order == offset)
            });
            if !admitted {
                continue;
            }
            let time = match (kind, adapter) {
                (OrderKind::Evict, _) => STEP_MS,
                (OrderKind::Load, true) => ADAPTER_LOAD_MS,
                (OrderKind::Load, false) => MODEL_LOAD_MS,
            };
            self.model_loads += u64::from(kind == OrderKind::Load && !adapter);
            let resolution =
                OrderResolution { upstream, incarnation: Incarnation(1), order: offset };
            self.pending_orders.push((now + time, resolution));
        }
    }

    fn complete_orders(&mut self, now: u64) {
        let (due, remaining) =
            std::mem::take(&mut self.pending_orders).into_iter().partition(|(at, _)| *at <= now);
        self.pending_orders = remaining;
        let due: Vec<(u64, OrderResolution)> = due;
        for (_, resolution) in due {
            self.append(now, Record::OrderResolution(resolution));
        }
    }

    fn find_engine(&self, model: usize) -> Option<usize> {
        let model = model_name(model);
        let base = self.state.config().base_of(&model).clone();
        let loaded = |i: &usize| {
            self.state.ledger().account(&upstream_name(*i)).is_some_and(|account| {
                let phase = |m: &ModelName| account.charges.get(m).map(|charge| charge.phase);
                phase(&model) == Some(ModelPhase::Loaded)
                    && phase(&base) == Some(ModelPhase::Loaded)
            })
        };
        let running = |i: &usize| self.running.iter().filter(|(_, _, u)| u == i).count();
        let available = (0..ENGINES).filter(loaded).filter(|i| running(i) < MAX_RUNNING);
        available.min_by_key(running)
    }

    fn serve_queue(&mut self, now: u64) {
        self.running.retain(|(ends, _, _)| *ends > now);
        for request in std::mem::take(&mut self.queue) {
            let waited = now - request.arrived_at;
            if let Some(engine) = self.find_engine(request.model) {
                self.running.push((now + SERVICE_TIME_MS, request.model, engine));
                self.served[request.model].0 += u64::from(waited <= WAIT_TARGET_MS);
                self.served[request.model].1 += 1;
                self.total_wait_ms += waited as f64;
            } else if waited >= QUEUE_TIMEOUT_MS {
                self.served[request.model].1 += 1;
                self.refused += 1;
            } else {
                self.queue.push(request);
            }
        }
    }
}

/// Picks the model of a request: a few models have most of the demand, and each minute it shifts to
/// others.
fn pick_model(random: &mut StdRng, now: u64) -> usize {
    let all = MODELS + ADAPTERS;
    let rank = (random.random::<f64>().powi(3) * all as f64) as usize;
    (rank * 7 + (now / DEMAND_SHIFT_MS) as usize * 13) % all
}

fn simulate(policy: PlacementPolicy) -> Simulation {
    let mut random = StdRng::seed_from_u64(SEED);
    let settings = PlacementSettings { policy, ..PlacementSettings::default() };
    let mut simulation = Simulation::new();
    for step in 0..DURATION_MS / STEP_MS {
        let now = step * STEP_MS;
        // About 30 requests per second.
        for _ in 0..2 {
            if random.random_bool(0.75) {
                let model = pick_model(&mut random, now);
                simulation.last_used.insert(model_name(model), now);
                simulation.queue.push(QueuedRequest { model, arrived_at: now });
            }
        }
        simulation.complete_orders(now);
        simulation.serve_queue(now);
        if step % PLAN_INTERVAL_STEPS == 0 {
            simulation.apply_plan(now, &settings);
        }
    }
    simulation
}

/// Simulates each placement policy and adds the share of requests that met the wait target.
pub fn run(report: &mut Report) {
    let policies = [
        ("static", PlacementPolicy::Static),
        ("least_recent", PlacementPolicy::LeastRecent),
        ("demand", PlacementPolicy::Demand),
    ];
    for (label, policy) in policies {
        let simulation = simulate(policy);
        let (within_target, all) =
            simulation.served.iter().fold((0, 0), |(g, a), (x, y)| (g + x, a + y));
        let share = |(within_target, all): (u64, u64)| within_target as f64 / all.max(1) as f64;
        let worst = simulation.served.iter().map(|s| share(*s)).fold(1.0, f64::min);
        let note = format!(
            "{all} requests on {ENGINES} accelerators, {} weight loads, {} refused, mean wait {:.0} ms",
            simulation.model_loads,
            simulation.refused,
            simulation.total_wait_ms / all.max(1) as f64
        );
        let attained = share((within_target, all)) * 100.0;
        report.add(&format!("placement.{label}.attained"), attained, "%", &note);
        report.add(
            &format!("placement.{label}.worst"),
            worst * 100.0,
            "%",
            "the worst-served model",
        );
    }
}
