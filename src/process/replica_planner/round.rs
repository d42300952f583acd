//! One round of planning.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::time::Duration;

use super::ages::ReplicaAges;
use super::candidates::{Candidates, Cost, SizeClasses};
use super::resolved::{Models, Replica, RoundEngine};
use super::{EngineState, ReplicaPlannerSettings};
use crate::{Engine, ModelName, UpstreamName};

/// Weight of the demand that an engine's models bring it, in the cost of an eviction there.
const ENGINE_DEMAND_WEIGHT: f64 = 0.3;

/// A step towards another replica of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Step {
    cost: Cost,
    /// Whether the load uses the weight store.
    pub from_store: bool,
    /// Index of the engine.
    pub engine: usize,
    /// Position of the replica that is evicted.
    position: usize,
    /// Index of the model that is evicted; `None` if the new model is loaded at once.
    pub victim: Option<usize>,
}

/// An engine that makes room for a model.
pub(super) struct Place {
    engine: usize,
    model: Option<usize>,
    /// Whether the load uses the weight store.
    pub from_store: bool,
}

/// How much a model needs another replica: models without one come first, by demand, then the
/// others, by demand per replica.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Need<'a> {
    missing: bool,
    rate: Cost,
    name: Reverse<&'a ModelName>,
    model: usize,
    /// Number of replicas when the need was computed.
    replicas: usize,
}

/// Evictions of the replicas of a model.
#[derive(Clone, Debug, Default)]
struct Evictions {
    settled: Candidates,
    /// Those of replicas that were loaded recently.
    recent: Candidates,
}

/// One round of planning.
pub(super) struct PlanningRound<'a> {
    settings: ReplicaPlannerSettings,
    states: &'a [EngineState],
    models: Models<'a>,
    engines: Vec<RoundEngine>,
    /// Indices of the engines by name.
    numbers: HashMap<&'a UpstreamName, usize>,
    /// Memory of an engine for models and adapters, in MB.
    memory_mb: f64,
    /// Memory kept free so that up to two requested adapters always fit, in MB.
    reserve_mb: f64,
    sizes: SizeClasses,
    needs: BinaryHeap<Need<'a>>,
    skipped: Vec<bool>,
    /// Open engines by the demand on them, with the room that they have.
    loads: Candidates,
    /// Evictions by victim.
    evictions: Vec<Evictions>,
    /// Models of which a replica may go, by the pressure on the others afterwards.
    victims: BTreeSet<(Cost, usize)>,
}

impl<'a> PlanningRound<'a> {
    /// Resolves the names of a round.
    pub(super) fn new(
        settings: ReplicaPlannerSettings,
        engine: &'a Engine,
        states: &'a [EngineState],
        demand: &BTreeMap<ModelName, f64>,
        ages: &ReplicaAges,
        now: Duration,
    ) -> Self {
        let mut models = Models::new(engine, demand);
        let mut engines = Vec::with_capacity(states.len());
        let is_recent = |at: Duration| now.saturating_sub(at) < settings.min_residency;
        for (number, state) in states.iter().enumerate() {
            let recent = ages.of_engine(&state.name).map(is_recent);
            engines.push(models.add_engine(number, state, demand, recent));
        }
        PlanningRound {
            settings,
            states,
            engines,
            numbers: states.iter().enumerate().map(|(i, state)| (&state.name, i)).collect(),
            memory_mb: engine.weights_mb,
            reserve_mb: adapter_reserve(engine),
            sizes: SizeClasses::new(engine.models.values().map(|model| model.weights_mb)),
            needs: BinaryHeap::new(),
            skipped: vec![false; models.len()],
            loads: Candidates::default(),
            evictions: vec![Evictions::default(); models.len()],
            victims: BTreeSet::new(),
            models,
        }
    }

    /// Returns the name of a model.
    pub(super) fn name(&self, model: usize) -> &'a ModelName {
        self.models[model].name
    }

    /// Reports whether no engine holds a model.
    pub(super) fn is_missing(&self, model: &ModelName) -> bool {
        self.models.index(model).is_none_or(|model| self.models[model].holders.is_empty())
    }

    /// Returns the models of the configuration that no engine holds.
    pub(super) fn missing(&self) -> impl Iterator<Item = &ModelName> {
        let missing = self.models.iter().filter(|model| model.holders.is_empty());
        missing.map(|model| model.name)
    }

    /// Returns the place of a model on an engine; `None` if the engine is not there.
    pub(super) fn place(&self, upstream: &UpstreamName, model: &ModelName) -> Option<Place> {
        let engine = *self.numbers.get(upstream)?;
        let from_store = !self.states[engine].cached_models.contains(model);
        Some(Place { engine, model: self.models.index(model), from_store })
    }

    /// Reports whether the engine of a place takes an order now and has room for the model.
    pub(super) fn can_load(&self, place: &Place) -> bool {
        let engine = &self.engines[place.engine];
        let fits =
            |model| !engine.holds(model) && self.room_class(engine, None) >= self.class(model);
        engine.open && place.model.is_some_and(fits)
    }

    /// Counts a replica that an engine loads or is still to load; it takes no other order until then.
    /// Called before [`sort_candidates`](Self::sort_candidates).
    pub(super) fn reserve(&mut self, place: &Place) {
        self.engines[place.engine].open = false;
        if let Some(model) = place.model {
            self.models[model].replicas += 1;
        }
    }

    /// Sorts models by their need, and engines by what an order to them costs.
    pub(super) fn sort_candidates(&mut self) {
        for model in 0..self.models.len() {
            self.add_need(model);
        }
        if self.needs.is_empty() {
            return;
        }
        for model in 0..self.models.len() {
            self.victims.extend(self.models[model].pressure_without().map(|cost| (cost, model)));
        }
        for engine in 0..self.engines.len() {
            self.update_candidates(engine, Candidates::insert);
        }
    }

    /// Returns the model that needs another replica most and was not skipped.
    pub(super) fn next_needed(&mut self) -> Option<usize> {
        while let Some(need) = self.needs.pop() {
            let current = self.models[need.model].replicas == need.replicas;
            if current && !self.skipped[need.model] {
                return Some(need.model);
            }
        }
        None
    }

    /// Plans no further replica of a model in this round.
    pub(super) fn skip(&mut self, model: usize) {
        self.skipped[model] = true;
    }

    /// Returns the step towards another replica of a model: a load where the model fits, or the
    /// eviction of least cost. Returns none if no eviction is worth it; for an `overdue` model any is.
    pub(super) fn step(&self, model: usize, overdue: bool) -> Option<Step> {
        self.models[model].weights_mb?;
        self.load(model).or_else(|| self.eviction(model, overdue))
    }

    /// Takes a step towards another replica of a model.
    pub(super) fn take(&mut self, model: usize, step: &Step) {
        self.update_candidates(step.engine, Candidates::remove);
        self.engines[step.engine].open = false;
        if let Some(victim) = step.victim {
            let replicas = self.models[victim].replicas.saturating_sub(1);
            self.set_replicas(victim, replicas);
        }
        self.set_replicas(model, self.models[model].replicas + 1);
    }

    /// Adds the need of a model, if it needs another replica.
    fn add_need(&mut self, model: usize) {
        let entry = &self.models[model];
        let replicas = entry.replicas;
        let missing = replicas == 0;
        if !missing && entry.demand <= self.settings.min_demand * replicas as f64 {
            return;
        }
        let rate = if missing { entry.demand } else { entry.pressure(replicas) };
        let name = Reverse(entry.name);
        self.needs.push(Need { missing, rate: Cost(rate), name, model, replicas });
    }

    /// Sets the number of replicas, and sorts anew what depends on it.
    fn set_replicas(&mut self, model: usize, replicas: usize) {
        let holders = std::mem::take(&mut self.models[model].holders);
        for engine in &holders {
            self.update_candidates(*engine, Candidates::remove);
        }
        let before = self.models[model].pressure_without();
        self.models[model].replicas = replicas;
        if let Some(cost) = before {
            self.victims.remove(&(cost, model));
        }
        self.victims.extend(self.models[model].pressure_without().map(|cost| (cost, model)));
        for engine in &holders {
            self.update_candidates(*engine, Candidates::insert);
        }
        self.models[model].holders = holders;
        self.add_need(model);
    }

    /// Adds an engine to the candidates or removes it, with its present costs. An engine that takes
    /// no order is none.
    fn update_candidates(
        &mut self,
        number: usize,
        update: impl Fn(&mut Candidates, usize, Cost, usize),
    ) {
        let engine = &self.engines[number];
        if !engine.open {
            return;
        }
        let demand = self.engine_demand(engine);
        let room = self.room_class(engine, None);
        if room > 0 {
            update(&mut self.loads, room, load_cost(demand), number);
        }
        for replica in &engine.replicas {
            let room = self.room_class(engine, Some(replica));
            let Some(pressure) = self.models[replica.model].pressure_without() else {
                continue;
            };
            let evictions = &mut self.evictions[replica.model];
            let of_age =
                if replica.recent { &mut evictions.recent } else { &mut evictions.settled };
            if room > 0 {
                update(of_age, room, eviction_cost(pressure, demand), number);
            }
        }
    }

    /// Returns a load where the model fits: where its weights are cached before others, and of those
    /// the engine with the least demand.
    fn load(&self, model: usize) -> Option<Step> {
        let class = self.class(model);
        let step = |(cost, engine), from_store| Step {
            cost,
            from_store,
            engine,
            position: 0,
            victim: None,
        };
        let cached = self.models[model].cached_by.iter().filter(|number| {
            let engine = &self.engines[**number];
            engine.open && !engine.holds(model) && self.room_class(engine, None) >= class
        });
        let cost =
            |number: &usize| (load_cost(self.engine_demand(&self.engines[*number])), *number);
        if let Some(cheapest) = cached.map(cost).min() {
            return Some(step(cheapest, false));
        }
        let cheapest = self.loads.cheapest(class, |number| !self.engines[number].holds(model));
        cheapest.map(|cheapest| step(cheapest, true))
    }

    /// Returns the eviction of least cost that makes room for a model and is worth it. At the same
    /// cost, a load from cached weights comes first.
    fn eviction(&self, model: usize, overdue: bool) -> Option<Step> {
        let entry = &self.models[model];
        let pressure_after = entry.pressure(entry.replicas + 1);
        let worthwhile = |victim_pressure: Cost| {
            overdue || pressure_after > victim_pressure.0 * self.settings.min_advantage
        };
        let cached = entry.cached_by.iter();
        let cached =
            cached.filter_map(|number| self.cached_eviction(model, *number, overdue, worthwhile));
        let mut best = cached.min();
        for (pressure, victim) in &self.victims {
            // The cost of an eviction is not below the pressure that it causes.
            if !worthwhile(*pressure) || best.is_some_and(|best| *pressure > best.cost) {
                break;
            }
            let step = self.cheapest_eviction(model, *victim, overdue);
            best = [best, step].into_iter().flatten().min();
        }
        best
    }

    /// Returns the eviction of least cost on an engine that keeps the weights of a model.
    fn cached_eviction(
        &self,
        model: usize,
        number: usize,
        overdue: bool,
        worthwhile: impl Fn(Cost) -> bool,
    ) -> Option<Step> {
        let engine = &self.engines[number];
        if !engine.open || engine.holds(model) {
            return None;
        }
        let class = self.class(model);
        let demand = self.engine_demand(engine);
        let steps = engine.replicas.iter().enumerate().filter_map(|(position, replica)| {
            let pressure = self.models[replica.model].pressure_without()?;
            let room = self.room_class(engine, Some(replica)) >= class;
            let allowed = room && (overdue || !replica.recent) && worthwhile(pressure);
            let (cost, victim) = (eviction_cost(pressure, demand), Some(replica.model));
            let step = Step { cost, from_store: false, engine: number, position, victim };
            allowed.then_some(step)
        });
        steps.min()
    }

    /// Returns the eviction of least cost of a victim's replicas that makes room for a model.
    fn cheapest_eviction(&self, model: usize, victim: usize, overdue: bool) -> Option<Step> {
        let class = self.class(model);
        let accepts = |number: usize| !self.engines[number].holds(model);
        let evictions = &self.evictions[victim];
        let settled = evictions.settled.cheapest(class, accepts);
        let recent = if overdue { evictions.recent.cheapest(class, accepts) } else { None };
        let (cost, engine) = [settled, recent].into_iter().flatten().min()?;
        let replicas = &self.engines[engine].replicas;
        let position = replicas.iter().position(|replica| replica.model == victim)?;
        Some(Step { cost, from_store: true, engine, position, victim: Some(victim) })
    }

    /// Returns the size class of a model of the configuration; of another one, a class that no room
    /// has.
    fn class(&self, model: usize) -> usize {
        let weights_mb = self.models[model].weights_mb;
        weights_mb.map_or(usize::MAX, |weights_mb| self.sizes.class(weights_mb))
    }

    fn room_class(&self, engine: &RoundEngine, victim: Option<&Replica>) -> usize {
        self.sizes.class(engine.free_memory(self.memory_mb, victim) - self.reserve_mb)
    }

    /// Returns the demand that the models of an engine bring it, in tokens a second.
    fn engine_demand(&self, engine: &RoundEngine) -> f64 {
        let models = engine.replicas.iter().map(|replica| &self.models[replica.model]);
        let rates = models.map(|model| model.pressure(model.replicas.max(1)));
        // The sum of no rates would be -0.0, which is ordered before 0.0.
        rates.fold(0.0, |total, rate| total + rate)
    }
}

/// Returns the memory of up to two of the largest adapters, in MB.
fn adapter_reserve(engine: &Engine) -> f64 {
    let largest = engine.models.values().map(|m| m.adapter_mb).fold(0.0, f64::max);
    largest * engine.adapter_slots.min(2) as f64
}

/// Returns what a load costs on an engine with a demand: whole tokens a second, so that small
/// differences do not decide.
fn load_cost(demand: f64) -> Cost {
    Cost(demand.trunc())
}

fn eviction_cost(pressure: Cost, demand: f64) -> Cost {
    Cost(pressure.0 + demand * ENGINE_DEMAND_WEIGHT)
}
