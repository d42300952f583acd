//! Tests of the replica planner with demand that moves between models.

mod same_orders;
mod searching_planner;

use std::collections::BTreeMap;
use std::time::Duration;

use carobglade::{
    Engine, EngineModel, EngineState, ModelName, ModelOrder, ReplicaPlanner,
    ReplicaPlannerSettings, Tokens,
};

const ENGINES: usize = 9;
const MODELS: usize = 18;
const LOAD_TIME: Duration = Duration::from_millis(2400);
const STEP: Duration = Duration::from_millis(250);

fn model(i: usize) -> ModelName {
    format!("m{i}").parse().unwrap()
}

fn engine() -> Engine {
    let models = (0..MODELS).map(|i| {
        let name = model(i);
        let load_time = LOAD_TIME;
        (name.clone(), EngineModel { name, weights_mb: 72_700.0, adapter_mb: 66.0, load_time })
    });
    Engine {
        slots: 64,
        kv_capacity: Tokens(140_000),
        weights_mb: 230_000.0,
        adapter_slots: 8,
        loads_per_second: 1.1,
        models: models.collect(),
    }
}

/// Engines on virtual time that carry out the planner's orders.
struct Simulation {
    engine: Engine,
    planner: ReplicaPlanner,
    states: Vec<EngineState>,
    in_progress: Vec<(Duration, ModelOrder)>,
    load_starts: Vec<Duration>,
    /// Time that an eviction waits for running requests.
    eviction_time: Duration,
    now: Duration,
}

impl Simulation {
    /// Creates a simulation with every model on one engine, and the first model also on all engines
    /// with room for it.
    fn new() -> Self {
        let mut states: Vec<EngineState> = (0..ENGINES)
            .map(|i| EngineState {
                name: format!("engine-{i}").parse().unwrap(),
                models: BTreeMap::new(),
                cached_models: Vec::new(),
                busy: false,
            })
            .collect();
        for i in 0..MODELS {
            states[i % ENGINES].models.insert(model(i), 0);
        }
        for state in states.iter_mut() {
            if state.models.len() < 3 {
                state.models.insert(model(0), 0);
            }
        }
        Simulation {
            engine: engine(),
            planner: ReplicaPlanner::new(ReplicaPlannerSettings::default()),
            states,
            in_progress: Vec::new(),
            load_starts: Vec::new(),
            eviction_time: Duration::from_millis(500),
            now: Duration::ZERO,
        }
    }

    /// Creates a simulation with `times` as many engines, copies of models and loads per second.
    fn scaled(times: usize) -> Self {
        let mut simulation = Simulation::new();
        simulation.engine.loads_per_second *= times as f64;
        let states = simulation.states.clone();
        for part in 1..times {
            for (i, state) in states.iter().enumerate() {
                let mut copy = state.clone();
                copy.name = format!("engine-{}", part * ENGINES + i).parse().unwrap();
                simulation.states.push(copy);
            }
        }
        simulation
    }

    fn run(&mut self, time: Duration, demand: &[(usize, f64)]) {
        let demand: BTreeMap<ModelName, f64> =
            demand.iter().map(|(i, rate)| (model(*i), *rate)).collect();
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.complete_due_orders();
            let orders = self.planner.plan(&self.engine, &self.states, &demand, self.now);
            for order in orders {
                let state = self.states.iter_mut().find(|s| s.name == order.upstream).unwrap();
                assert!(!state.busy, "two orders to {}", order.upstream);
                state.busy = true;
                let order_time = if order.load { LOAD_TIME } else { self.eviction_time };
                if order.load && !state.cached_models.contains(&order.model) {
                    self.load_starts.push(self.now);
                }
                self.in_progress.push((self.now + order_time, order));
            }
        }
    }

    fn complete_due_orders(&mut self) {
        let now = self.now;
        let (done, rest) = self.in_progress.drain(..).partition(|(at, _)| *at <= now);
        self.in_progress = rest;
        let done: Vec<(Duration, ModelOrder)> = done;
        for (_, order) in done {
            let state = self.states.iter_mut().find(|s| s.name == order.upstream).unwrap();
            state.busy = false;
            if order.load {
                state.models.insert(order.model.clone(), 0);
                state.cached_models.push(order.model);
                assert!(state.models.len() <= 3, "{} is overcommitted", order.upstream);
            } else {
                state.models.remove(&order.model);
            }
        }
    }

    fn copies(&self, i: usize) -> usize {
        self.states.iter().filter(|state| state.models.contains_key(&model(i))).count()
    }

    fn max_loads_in(&self, window: Duration) -> usize {
        let within = |start: Duration| {
            self.load_starts.iter().filter(|at| **at >= start && **at < start + window).count()
        };
        self.load_starts.iter().map(|at| within(*at)).max().unwrap_or(0)
    }
}

const fn seconds(value: u64) -> Duration {
    Duration::from_secs(value)
}

#[test]
fn steady_demand_causes_few_loads() {
    let mut simulation = Simulation::new();
    simulation.run(seconds(20), &[(0, 20_000.0), (1, 900.0)]);
    assert!(simulation.load_starts.len() <= 2, "{} loads", simulation.load_starts.len());
}

/// The demand for the busiest model ends and moves to a model with a single copy.
#[test]
fn copies_follow_demand_that_moves() {
    let mut simulation = Simulation::new();
    simulation.run(seconds(5), &[(0, 60_000.0)]);
    simulation.run(seconds(12), &[(7, 60_000.0)]);
    assert!(simulation.copies(7) >= 4, "{} copies", simulation.copies(7));
    assert!((0..MODELS).all(|i| simulation.copies(i) >= 1), "a model lost its last copy");
}

#[test]
fn two_busy_models_do_not_evict_each_other() {
    let mut simulation = Simulation::new();
    simulation.run(seconds(10), &[(0, 30_000.0), (1, 30_000.0)]);
    let loads = simulation.load_starts.len();
    simulation.run(seconds(20), &[(0, 30_000.0), (1, 31_000.0)]);
    assert!(
        simulation.load_starts.len() <= loads + 1,
        "{} loads while nothing changed",
        simulation.load_starts.len() - loads
    );
    assert!(simulation.copies(0).abs_diff(simulation.copies(1)) <= 2);
}

#[test]
fn the_models_of_a_lost_engine_are_loaded_again() {
    let mut simulation = Simulation::new();
    simulation.run(seconds(3), &[(0, 20_000.0)]);
    simulation.states[4].models.clear();
    simulation.run(seconds(10), &[(0, 20_000.0)]);
    assert!((0..MODELS).all(|i| simulation.copies(i) >= 1));
}

/// Evictions that were ordered over several seconds end within one second, so that all loads that
/// waited for room could start at once.
#[test]
fn loads_after_slow_evictions_stay_below_the_rate_limit() {
    let mut simulation = Simulation::scaled(12);
    simulation.run(seconds(5), &[(0, 60_000.0)]);
    simulation.eviction_time = seconds(6);
    simulation.run(seconds(3), &[(1, 900_000.0), (2, 900_000.0)]);
    simulation.eviction_time = seconds(3);
    simulation.run(seconds(4), &[(1, 900_000.0), (2, 900_000.0), (3, 900_000.0)]);
    simulation.eviction_time = Duration::from_millis(500);
    simulation.run(seconds(10), &[(1, 900_000.0), (2, 900_000.0), (3, 900_000.0)]);
    // In any five seconds: 13.2 loads a second, a tenth more, and three further loads.
    let max_loads = simulation.max_loads_in(seconds(5));
    assert!(max_loads <= 75, "{max_loads} loads in 5 s");
    assert!(simulation.load_starts.len() > 120, "{} loads", simulation.load_starts.len());
}

#[test]
fn loads_from_the_weight_store_stay_below_its_rate_limit() {
    let mut simulation = Simulation::new();
    for round in 0..6 {
        simulation.run(seconds(4), &[(round * 2, 60_000.0), (round * 2 + 1, 40_000.0)]);
    }
    // In any five seconds: 1.1 loads a second, a tenth more, and three further loads.
    assert!(
        simulation.max_loads_in(seconds(5)) <= 9,
        "{} loads in 5 s",
        simulation.max_loads_in(seconds(5))
    );
}

/// Engines that crash are back after some seconds with room for their models.
///
/// Guards against copies of the busiest model that are evicted for models that nobody asks for,
/// while capacity is short because engines crashed.
#[test]
fn a_crash_costs_no_copies_of_the_busiest_model_on_other_engines() {
    let mut simulation = Simulation::new();
    simulation.run(seconds(6), &[(0, 72_000.0), (5, 40.0)]);
    let crashed: Vec<EngineState> = simulation.states.drain(..3).collect();
    let copies_left = simulation.copies(0);
    assert!(copies_left >= 4, "{copies_left} copies");
    for _ in 0..6 {
        simulation.run(Duration::from_millis(500), &[(0, 72_000.0), (5, 40.0)]);
        assert!(simulation.copies(0) >= copies_left, "{} copies", simulation.copies(0));
    }
    simulation.states.extend(crashed.into_iter().map(|state| EngineState {
        cached_models: state.models.keys().cloned().collect(),
        models: BTreeMap::new(),
        busy: false,
        ..state
    }));
    simulation.run(seconds(8), &[(0, 72_000.0), (5, 40.0)]);
    assert!((0..MODELS).all(|i| simulation.copies(i) >= 1), "a model has no copy");
}

/// Guards against models that stay unreachable because an engine that crashed does not come back.
#[test]
fn the_models_of_engines_that_stay_away_are_loaded_elsewhere() {
    let mut simulation = Simulation::new();
    simulation.run(seconds(6), &[(0, 72_000.0)]);
    simulation.states.drain(..2);
    simulation.run(seconds(14), &[(0, 72_000.0)]);
    assert!((0..MODELS).all(|i| simulation.copies(i) >= 1), "a model has no copy");
}

/// Guards against a busy model that has to wait after a crash although others need their copies
/// less.
#[test]
fn a_busy_model_without_a_copy_does_not_wait() {
    let mut simulation = Simulation::new();
    let crashed = simulation.states.iter().position(|s| s.models.contains_key(&model(5))).unwrap();
    simulation.states.remove(crashed);
    for state in simulation.states.iter_mut().filter(|state| state.models.len() < 3) {
        state.models.insert(model(0), 0);
    }
    assert_eq!(simulation.copies(5), 0);
    simulation.run(Duration::from_millis(3500), &[(0, 20_000.0), (5, 60_000.0)]);
    assert!(simulation.copies(5) >= 1, "no copy after an eviction and a load");
}

// Guards against: an engine that holds a model which a configuration dropped gets no other model, since
// the size of that model is not known any more, and requests for the model that replaces it are refused
// for good.
#[test]
fn a_model_that_replaces_one_of_the_configuration_is_loaded() {
    let mut simulation = Simulation::new();
    simulation.states.truncate(1);
    simulation.states[0].models.insert(model(1), 0);
    let held: Vec<ModelName> = simulation.states[0].models.keys().cloned().collect();
    assert_eq!(held.len(), 3, "the engine is full");
    let new = model(MODELS);
    let weights = simulation.engine.models[&held[0]].clone();
    simulation.engine.models.retain(|name, _| held[1..].contains(name));
    simulation.engine.models.insert(new.clone(), EngineModel { name: new.clone(), ..weights });
    simulation.run(Duration::from_secs(20), &[(MODELS, 1000.0)]);
    let models = &simulation.states[0].models;
    assert!(models.contains_key(&new), "{models:?}");
    assert!(held[1..].iter().all(|name| models.contains_key(name)), "{models:?}");
}
