//! Which engine holds which models, on demand that moves.

use std::collections::BTreeMap;
use std::time::Duration;

use carobglade::{
    Engine, EngineModel, EngineState, ModelName, ModelOrder, ReplicaPlanner, ReplicaSettings,
    Tokens,
};

const ENGINES: usize = 9;
const MODELS: usize = 18;
const LOAD: Duration = Duration::from_millis(2400);
const STEP: Duration = Duration::from_millis(250);

fn model(i: usize) -> ModelName {
    format!("m{i}").parse().unwrap()
}

fn engine() -> Engine {
    let models = (0..MODELS).map(|i| {
        let name = model(i);
        let load = LOAD;
        (
            name.clone(),
            EngineModel { name, weights_mb: 72_700.0, adapter_mb: 66.0, load_time: load },
        )
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
struct World {
    engine: Engine,
    planner: ReplicaPlanner,
    states: Vec<EngineState>,
    coming: Vec<(Duration, ModelOrder)>,
    loads: Vec<Duration>,
    /// How long an eviction waits for the requests that run.
    evicts: Duration,
    now: Duration,
}

impl World {
    /// Every model on one engine; the first on all others that have room.
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
        World {
            engine: engine(),
            planner: ReplicaPlanner::new(ReplicaSettings::default()),
            states,
            coming: Vec::new(),
            loads: Vec::new(),
            evicts: Duration::from_millis(500),
            now: Duration::ZERO,
        }
    }

    /// A site of `times` as many engines, models and loads.
    fn grown(times: usize) -> Self {
        let mut world = World::new();
        world.engine.loads_per_second *= times as f64;
        let states = world.states.clone();
        for part in 1..times {
            for (i, old) in states.iter().enumerate() {
                let mut state = old.clone();
                state.name = format!("engine-{}", part * ENGINES + i).parse().unwrap();
                world.states.push(state);
            }
        }
        world
    }

    fn run(&mut self, time: Duration, demand: &[(usize, f64)]) {
        let demand: BTreeMap<ModelName, f64> =
            demand.iter().map(|(i, rate)| (model(*i), *rate)).collect();
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.finish();
            let orders = self.planner.plan(&self.engine, &self.states, &demand, self.now);
            for order in orders {
                let state = self.states.iter_mut().find(|s| s.name == order.upstream).unwrap();
                assert!(!state.busy, "two orders to {}", order.upstream);
                state.busy = true;
                let takes = if order.load { LOAD } else { self.evicts };
                if order.load && !state.cached_models.contains(&order.model) {
                    self.loads.push(self.now);
                }
                self.coming.push((self.now + takes, order));
            }
        }
    }

    fn finish(&mut self) {
        let now = self.now;
        let (done, rest) = self.coming.drain(..).partition(|(at, _)| *at <= now);
        self.coming = rest;
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

    fn most_loads(&self, window: Duration) -> usize {
        let within = |start: Duration| {
            self.loads.iter().filter(|at| **at >= start && **at < start + window).count()
        };
        self.loads.iter().map(|at| within(*at)).max().unwrap_or(0)
    }
}

const fn seconds(value: u64) -> Duration {
    Duration::from_secs(value)
}

#[test]
fn steady_demand_moves_nothing() {
    let mut world = World::new();
    world.run(seconds(20), &[(0, 20_000.0), (1, 900.0)]);
    assert!(world.loads.len() <= 2, "{} loads", world.loads.len());
}

/// The busiest model falls silent and one with a single copy takes its place.
#[test]
fn copies_follow_demand_that_moves() {
    let mut world = World::new();
    world.run(seconds(5), &[(0, 60_000.0)]);
    world.run(seconds(12), &[(7, 60_000.0)]);
    assert!(world.copies(7) >= 4, "{} copies", world.copies(7));
    assert!((0..MODELS).all(|i| world.copies(i) >= 1), "a model lost its last copy");
}

#[test]
fn two_busy_models_do_not_push_each_other_out() {
    let mut world = World::new();
    world.run(seconds(10), &[(0, 30_000.0), (1, 30_000.0)]);
    let loads = world.loads.len();
    world.run(seconds(20), &[(0, 30_000.0), (1, 31_000.0)]);
    assert!(
        world.loads.len() <= loads + 1,
        "{} loads while nothing changed",
        world.loads.len() - loads
    );
    assert!(world.copies(0).abs_diff(world.copies(1)) <= 2);
}

#[test]
fn the_models_of_a_lost_engine_come_back() {
    let mut world = World::new();
    world.run(seconds(3), &[(0, 20_000.0)]);
    world.states[4].models.clear();
    world.run(seconds(10), &[(0, 20_000.0)]);
    assert!((0..MODELS).all(|i| world.copies(i) >= 1));
}

/// The evictions of several seconds end within one, and all loads that they make room for are due
/// at once.
#[test]
fn loads_after_slow_evictions_stay_below_the_ceiling() {
    let mut world = World::grown(12);
    world.run(seconds(5), &[(0, 60_000.0)]);
    world.evicts = seconds(6);
    world.run(seconds(3), &[(1, 900_000.0), (2, 900_000.0)]);
    world.evicts = seconds(3);
    world.run(seconds(4), &[(1, 900_000.0), (2, 900_000.0), (3, 900_000.0)]);
    world.evicts = Duration::from_millis(500);
    world.run(seconds(10), &[(1, 900_000.0), (2, 900_000.0), (3, 900_000.0)]);
    // 13.2 loads a second, a tenth above, and three more in any five seconds.
    let most = world.most_loads(seconds(5));
    assert!(most <= 75, "{most} loads in 5 s");
    assert!(world.loads.len() > 120, "{} loads", world.loads.len());
}

#[test]
fn loads_from_the_store_stay_below_its_ceiling() {
    let mut world = World::new();
    for round in 0..6 {
        world.run(seconds(4), &[(round * 2, 60_000.0), (round * 2 + 1, 40_000.0)]);
    }
    // 1.1 loads a second, a tenth above, and three more in any five seconds.
    assert!(world.most_loads(seconds(5)) <= 9, "{} loads in 5 s", world.most_loads(seconds(5)));
}
