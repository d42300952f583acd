//! Property tests: the planner gives the orders of a planner that searches everything.

use std::collections::BTreeMap;
use std::time::Duration;

use carobglade::{
    Engine, EngineModel, EngineState, ModelName, ModelOrder, ReplicaPlanner,
    ReplicaPlannerSettings, Tokens,
};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::searching_planner::SearchingPlanner;

const STEP: Duration = Duration::from_millis(250);
const ROUNDS: usize = 40;

/// Sizes of models in MB; one to three of them fit on an engine.
const SIZES: [f64; 4] = [42_700.0, 65_100.0, 72_700.0, 110_000.0];

/// Engines that carry out orders after a random time, crash and come back, beside demand that moves.
struct RandomFleet {
    rng: StdRng,
    engine: Engine,
    states: Vec<EngineState>,
    in_progress: Vec<(usize, ModelOrder)>,
    demand: BTreeMap<ModelName, f64>,
    crashed: Vec<EngineState>,
}

impl RandomFleet {
    fn new(seed: u64, engines: usize, models: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let names: Vec<ModelName> = (0..models).map(|i| format!("m{i}").parse().unwrap()).collect();
        let model = |name: &ModelName, rng: &mut StdRng| EngineModel {
            name: name.clone(),
            weights_mb: SIZES[rng.random_range(0..SIZES.len())],
            adapter_mb: 66.0,
            load_time: Duration::from_millis(2400),
        };
        let sizes = names.iter().map(|name| (name.clone(), model(name, &mut rng))).collect();
        let engine = Engine {
            slots: 64,
            kv_capacity: Tokens(140_000),
            weights_mb: 230_000.0,
            adapter_slots: 8,
            loads_per_second: rng.random_range(0.5..20.0),
            models: sizes,
        };
        let states = (0..engines).map(|i| EngineState {
            name: format!("engine-{i}").parse().unwrap(),
            models: BTreeMap::new(),
            cached_models: Vec::new(),
            busy: false,
        });
        let states = states.collect();
        let (in_progress, crashed) = (Vec::new(), Vec::new());
        let demand = BTreeMap::new();
        let mut fleet = RandomFleet { rng, engine, states, in_progress, demand, crashed };
        fleet.fill();
        fleet.move_demand();
        fleet
    }

    /// Fills the engines with models that fit, and caches the weights of others.
    fn fill(&mut self) {
        let models: Vec<EngineModel> = self.engine.models.values().cloned().collect();
        for state in &mut self.states {
            let mut free = self.engine.weights_mb;
            for _ in 0..self.rng.random_range(0..5) {
                let model = &models[self.rng.random_range(0..models.len())];
                let adapters = self.rng.random_range(0..3);
                let used = model.weights_mb + model.adapter_mb * adapters as f64;
                if used <= free && state.models.insert(model.name.clone(), adapters).is_none() {
                    free -= used;
                }
                if self.rng.random_bool(0.5) {
                    let cached = &models[self.rng.random_range(0..models.len())];
                    state.cached_models.push(cached.name.clone());
                }
            }
        }
    }

    fn move_demand(&mut self) {
        for name in self.engine.models.keys() {
            let rate = match self.rng.random_range(0..4) {
                0 => 0.0,
                1 => 900.0,
                2 => self.rng.random_range(0.0..5_000.0),
                _ => self.rng.random_range(0.0..90_000.0),
            };
            self.demand.insert(name.clone(), rate);
        }
    }

    fn change(&mut self) {
        if self.rng.random_bool(0.2) {
            self.move_demand();
        }
        if self.rng.random_bool(0.1) && self.states.len() > 1 {
            let crashed = self.states.remove(self.rng.random_range(0..self.states.len()));
            self.in_progress.retain(|(_, order)| order.upstream != crashed.name);
            self.crashed.push(EngineState { models: BTreeMap::new(), busy: false, ..crashed });
        }
        if self.rng.random_bool(0.1) {
            self.states.extend(self.crashed.pop());
        }
        // An engine may hold a model that the configuration drops.
        if self.rng.random_bool(0.05) && self.engine.models.len() > 2 {
            self.engine.models.pop_first();
        }
        if self.rng.random_bool(0.2) {
            let place = self.rng.random_range(0..self.states.len());
            self.states[place].busy ^= true;
        }
    }

    fn carry_out(&mut self, round: usize) {
        let due = self.in_progress.extract_if(.., |(at, _)| *at <= round);
        for (_, order) in due.collect::<Vec<_>>() {
            let Some(state) = self.states.iter_mut().find(|s| s.name == order.upstream) else {
                continue;
            };
            state.busy = false;
            if order.load {
                state.models.insert(order.model.clone(), 0);
                state.cached_models.push(order.model);
            } else {
                state.models.remove(&order.model);
            }
        }
    }

    fn accept(&mut self, order: ModelOrder, round: usize) {
        if let Some(state) = self.states.iter_mut().find(|s| s.name == order.upstream) {
            state.busy = true;
        }
        let takes = self.rng.random_range(1..12);
        self.in_progress.push((round + takes, order));
    }
}

fn check_orders(seed: u64, engines: usize, models: usize) -> usize {
    let settings = ReplicaPlannerSettings::default();
    let mut planner = ReplicaPlanner::new(settings);
    let mut searching = SearchingPlanner::new(settings);
    let mut fleet = RandomFleet::new(seed, engines, models);
    let mut orders_seen = 0;
    for round in 0..ROUNDS {
        let now = STEP * round as u32;
        fleet.change();
        fleet.carry_out(round);
        let orders = planner.plan(&fleet.engine, &fleet.states, &fleet.demand, now);
        let expected = searching.plan(&fleet.engine, &fleet.states, &fleet.demand, now);
        assert_eq!(orders, expected, "round {round} of seed {seed}");
        orders_seen += orders.len();
        for order in orders {
            fleet.accept(order, round);
        }
    }
    orders_seen
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn orders_are_those_of_a_planner_that_searches_all_engines(
        seed in any::<u64>(),
        engines in 1usize..24,
        models in 1usize..40,
    ) {
        check_orders(seed, engines, models);
    }
}

/// The comparison sees loads and evictions, not only rounds without an order.
#[test]
fn the_compared_planners_give_orders() {
    let orders: usize = (0..20).map(|seed| check_orders(seed, 12, 30)).sum();
    assert!(orders > 400, "{orders} orders");
}
