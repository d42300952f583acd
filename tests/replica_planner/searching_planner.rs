//! Planner that searches all engines and models for each step: slow, and plain to read.

use std::collections::BTreeMap;
use std::time::Duration;

use carobglade::{
    Engine, EngineState, ModelName, ModelOrder, ReplicaPlannerSettings, UpstreamName,
};

/// Plans the models of one service's engines by searching all engines and models for each step.
#[derive(Clone, Debug, Default)]
pub struct SearchingPlanner {
    settings: ReplicaPlannerSettings,
    first_seen: BTreeMap<(UpstreamName, ModelName), Duration>,
    /// Since when each model without a replica has had none.
    missing_since: BTreeMap<ModelName, Duration>,
    /// The model that an engine makes room for, and until when the room is kept.
    reserved: BTreeMap<UpstreamName, (ModelName, Duration)>,
    /// Limits the decisions to load; a load that needs room first counts when the eviction is
    /// ordered.
    decision_budget: TokenBucket,
    /// Limits the starts of loads. After slow evictions, all loads that waited for room would
    /// otherwise start at once.
    load_budget: TokenBucket,
}

const RESERVATION_TTL: Duration = Duration::from_secs(10); // how long room is kept for a model
const BURST: f64 = 2.0; // loads from the weight store at once

impl SearchingPlanner {
    /// Creates a planner without history.
    pub fn new(settings: ReplicaPlannerSettings) -> Self {
        let (decision_budget, load_budget) = (TokenBucket::new(BURST), TokenBucket::new(BURST));
        SearchingPlanner { settings, decision_budget, load_budget, ..SearchingPlanner::default() }
    }

    /// Returns at most one order for each engine that is not busy.
    pub fn plan(
        &mut self,
        engine: &Engine,
        engines: &[EngineState],
        demand: &BTreeMap<ModelName, f64>,
        now: Duration,
    ) -> Vec<ModelOrder> {
        self.refill(engine, now);
        self.record_first_seen(engines, now);
        self.record_missing(engine, engines, now);
        let mut round = PlanningRound::new(self.settings, engine, engines, demand);
        let mut orders = Vec::new();
        self.reserved.retain(|_, (_, until)| now < *until);
        for (upstream, (model, _)) in self.reserved.clone() {
            let from_store = needs_store(&upstream, &model, engines);
            if round.can_load(&upstream, &model) && self.may_start_load(from_store) {
                self.reserved.remove(&upstream);
                let order = ModelOrder { upstream, model, load: true };
                round.add_order(&order);
                orders.push(order);
            } else {
                round.reserve(&upstream, &model);
            }
        }
        while let Some(model) = round.most_needed() {
            let Some(step) =
                round.step(&model, &self.first_seen, self.is_overdue(&model, now), now)
            else {
                round.skip(&model);
                continue;
            };
            if !self.may_take(&step, &model, engines) {
                round.skip(&model);
                continue;
            }
            match step {
                Step::Load(upstream) => {
                    let order = ModelOrder { upstream, model, load: true };
                    round.add_order(&order);
                    orders.push(order);
                }
                Step::MakeRoom(upstream, victim) => {
                    let order =
                        ModelOrder { upstream: upstream.clone(), model: victim, load: false };
                    round.add_order(&order);
                    round.reserve(&upstream, &model);
                    self.reserved.insert(upstream, (model, now + RESERVATION_TTL));
                    orders.push(order);
                }
            }
        }
        orders
    }

    fn refill(&mut self, engine: &Engine, now: Duration) {
        let rate = engine.loads_per_second * self.settings.store_share;
        let capacity = BURST.max(rate);
        self.decision_budget.refill(rate, capacity, now);
        self.load_budget.refill(rate, capacity, now);
    }

    /// Records when each replica was first seen, and forgets evicted replicas.
    fn record_first_seen(&mut self, engines: &[EngineState], now: Duration) {
        let held = |name: &UpstreamName, model: &ModelName| {
            engines.iter().any(|e| e.name == *name && e.models.contains_key(model))
        };
        self.first_seen.retain(|(name, model), _| held(name, model));
        for engine in engines {
            for model in engine.models.keys() {
                let key = (engine.name.clone(), model.clone());
                self.first_seen.entry(key).or_insert(now);
            }
        }
    }

    /// Records since when each model has had no replica.
    fn record_missing(&mut self, engine: &Engine, engines: &[EngineState], now: Duration) {
        let is_missing = |model: &ModelName| engines.iter().all(|e| !e.models.contains_key(model));
        self.missing_since.retain(|model, _| is_missing(model));
        for model in engine.models.keys().filter(|model| is_missing(model)) {
            self.missing_since.entry(model.clone()).or_insert(now);
        }
    }

    /// Reports whether a model has been without a replica for so long that any replica of another
    /// model may be evicted for it.
    fn is_overdue(&self, model: &ModelName, now: Duration) -> bool {
        let since = self.missing_since.get(model);
        since.is_some_and(|since| now.saturating_sub(*since) >= self.settings.return_time)
    }

    /// Reports whether a load may start now, and takes it from the budget. A load from cached
    /// weights always may.
    fn may_start_load(&mut self, from_store: bool) -> bool {
        !from_store || self.load_budget.take()
    }

    /// Reports whether a step may be taken now, within the budgets for loads from the weight store.
    fn may_take(&mut self, step: &Step, model: &ModelName, engines: &[EngineState]) -> bool {
        let (Step::Load(upstream) | Step::MakeRoom(upstream, _)) = step;
        if !needs_store(upstream, model, engines) {
            return true;
        }
        match step {
            Step::Load(_) => {
                self.decision_budget.has_token()
                    && self.load_budget.take()
                    && self.decision_budget.take()
            }
            Step::MakeRoom(..) => self.decision_budget.take(),
        }
    }
}

/// Reports whether an engine has no cached weights of a model, so that a load uses the store.
fn needs_store(upstream: &UpstreamName, model: &ModelName, engines: &[EngineState]) -> bool {
    let engine = engines.iter().find(|engine| engine.name == *upstream);
    engine.is_none_or(|engine| !engine.cached_models.contains(model))
}

enum Step {
    Load(UpstreamName),
    MakeRoom(UpstreamName, ModelName),
}

/// One round of planning.
struct PlanningRound<'a> {
    settings: ReplicaPlannerSettings,
    engine: &'a Engine,
    engines: &'a [EngineState],
    demand: &'a BTreeMap<ModelName, f64>,
    /// Replicas of each model, including planned ones.
    replica_counts: BTreeMap<ModelName, usize>,
    /// Engines that take no further order in this round, with the model that the order concerns.
    occupied: BTreeMap<UpstreamName, Option<ModelName>>,
    skipped: Vec<ModelName>,
}

impl<'a> PlanningRound<'a> {
    fn new(
        settings: ReplicaPlannerSettings,
        engine: &'a Engine,
        engines: &'a [EngineState],
        demand: &'a BTreeMap<ModelName, f64>,
    ) -> Self {
        let mut replica_counts: BTreeMap<ModelName, usize> =
            engine.models.keys().map(|model| (model.clone(), 0)).collect();
        for model in engines.iter().flat_map(|e| e.models.keys()) {
            *replica_counts.entry(model.clone()).or_default() += 1;
        }
        let busy = engines.iter().filter(|engine| engine.busy);
        let occupied = busy.map(|engine| (engine.name.clone(), None)).collect();
        PlanningRound {
            settings,
            engine,
            engines,
            demand,
            replica_counts,
            occupied,
            skipped: Vec::new(),
        }
    }

    fn demand(&self, model: &ModelName) -> f64 {
        self.demand.get(model).copied().unwrap_or(0.0)
    }

    /// Returns the demand per replica if there were `replicas` of the model; infinity for none.
    fn pressure(&self, model: &ModelName, replicas: usize) -> f64 {
        if replicas == 0 {
            return f64::INFINITY;
        }
        self.demand(model) / replicas as f64
    }

    /// Returns the model that needs another replica most: models without a replica come first, by
    /// demand, then the others, by demand per replica.
    fn most_needed(&self) -> Option<ModelName> {
        let open = self.replica_counts.iter().filter(|(model, _)| !self.skipped.contains(model));
        let needed = open.filter(|(model, count)| {
            **count == 0 || self.demand(model) > self.settings.min_demand * **count as f64
        });
        let most = needed.max_by(|(a, n), (b, m)| {
            let missing = (**n == 0).cmp(&(**m == 0));
            let demand = self.demand(a).total_cmp(&self.demand(b));
            let pressure = self.pressure(a, **n).total_cmp(&self.pressure(b, **m));
            missing.then(if **n == 0 { demand } else { pressure }).then(b.cmp(a))
        });
        most.map(|(model, _)| model.clone())
    }

    fn skip(&mut self, model: &ModelName) {
        self.skipped.push(model.clone());
    }

    fn weights_of(&self, model: &ModelName) -> f64 {
        self.engine.models.get(model).map_or(f64::INFINITY, |m| m.weights_mb)
    }

    /// Returns the free memory of an engine without `victim`, in MB. A model that the configuration does
    /// not name leaves none, and counts as evicted too if the victim is another such model.
    fn free_memory(&self, engine: &EngineState, victim: Option<&ModelName>) -> f64 {
        let evicts_unknown = victim.is_some_and(|model| !self.engine.models.contains_key(model));
        let unknown_mb = if evicts_unknown { 0.0 } else { f64::INFINITY };
        let others = engine.models.iter().filter(|(model, _)| Some(*model) != victim);
        let used = others.map(|(model, adapters)| {
            let known = self.engine.models.get(model);
            known.map_or(unknown_mb, |m| m.weights_mb + m.adapter_mb * *adapters as f64)
        });
        self.engine.weights_mb - used.sum::<f64>() - self.adapter_reserve()
    }

    /// Returns the memory kept free so that up to two requested adapters always fit, in MB.
    fn adapter_reserve(&self) -> f64 {
        let largest = self.engine.models.values().map(|m| m.adapter_mb).fold(0.0, f64::max);
        largest * self.engine.adapter_slots.min(2) as f64
    }

    fn fits(&self, engine: &EngineState, model: &ModelName) -> bool {
        !engine.models.contains_key(model)
            && self.free_memory(engine, None) >= self.weights_of(model)
    }

    fn accepts_order(&self, engine: &EngineState) -> bool {
        !self.occupied.contains_key(&engine.name)
    }

    /// Reports whether an engine takes an order now and has room for a model.
    fn can_load(&self, upstream: &UpstreamName, model: &ModelName) -> bool {
        let engine = self.engines.iter().find(|engine| engine.name == *upstream);
        engine.is_some_and(|engine| self.accepts_order(engine) && self.fits(engine, model))
    }

    /// Counts a replica that an engine is still to load; it takes no other order until then.
    fn reserve(&mut self, upstream: &UpstreamName, model: &ModelName) {
        if self.engines.iter().any(|engine| engine.name == *upstream) {
            self.occupied.insert(upstream.clone(), Some(model.clone()));
            *self.replica_counts.entry(model.clone()).or_default() += 1;
        }
    }

    fn add_order(&mut self, order: &ModelOrder) {
        self.occupied.insert(order.upstream.clone(), Some(order.model.clone()));
        let count = self.replica_counts.entry(order.model.clone()).or_default();
        *count = if order.load { *count + 1 } else { count.saturating_sub(1) };
    }

    /// Returns the step towards another replica of a model: a load where the model fits, or the
    /// eviction of least cost. Returns none if no eviction is worth it; for an `overdue` model any is.
    fn step(
        &self,
        model: &ModelName,
        first_seen: &BTreeMap<(UpstreamName, ModelName), Duration>,
        overdue: bool,
        now: Duration,
    ) -> Option<Step> {
        let open =
            self.engines.iter().filter(|e| self.accepts_order(e) && !e.models.contains_key(model));
        let open: Vec<&EngineState> = open.collect();
        let cached_first =
            |e: &&&EngineState| (!e.cached_models.contains(model), self.engine_demand(e) as u64);
        if let Some(engine) = open.iter().filter(|e| self.fits(e, model)).min_by_key(cached_first) {
            return Some(Step::Load(engine.name.clone()));
        }
        let pressure_after =
            self.pressure(model, self.replica_counts.get(model).copied().unwrap_or(0) + 1);
        let mut best: Option<(f64, bool, &EngineState, &ModelName)> = None;
        for engine in &open {
            for victim in engine.models.keys() {
                let Some(victim_pressure) = self.pressure_without(victim) else {
                    continue;
                };
                let recent = first_seen
                    .get(&(engine.name.clone(), victim.clone()))
                    .is_some_and(|at| now.saturating_sub(*at) < self.settings.min_residency);
                let room = self.free_memory(engine, Some(victim)) >= self.weights_of(model);
                let worthwhile =
                    overdue || pressure_after > victim_pressure * self.settings.min_advantage;
                if !room || (recent && !overdue) || !worthwhile {
                    continue;
                }
                let cost = victim_pressure + self.engine_demand(engine) * 0.3;
                let from_store = !engine.cached_models.contains(model);
                let better = best.is_none_or(|(c, f, _, _)| (cost, from_store) < (c, f));
                if better {
                    best = Some((cost, from_store, engine, victim));
                }
            }
        }
        best.map(|(_, _, engine, victim)| Step::MakeRoom(engine.name.clone(), victim.clone()))
    }

    /// Returns the pressure on a model's remaining replicas if one is evicted; none for the last
    /// replica.
    fn pressure_without(&self, victim: &ModelName) -> Option<f64> {
        let replicas = self.replica_counts.get(victim).copied().unwrap_or(0);
        match replicas {
            _ if !self.engine.models.contains_key(victim) => Some(0.0),
            0 | 1 => None,
            _ => Some(self.pressure(victim, replicas - 1)),
        }
    }

    /// Returns the demand that the models of an engine bring it, in tokens a second.
    fn engine_demand(&self, engine: &EngineState) -> f64 {
        let models = engine.models.keys();
        models.map(|model| self.pressure(model, self.replica_counts[model].max(1))).sum()
    }
}

/// Token bucket from which actions take one token each.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct TokenBucket {
    level: f64,
    refilled_at: Option<Duration>,
}

impl TokenBucket {
    /// Creates a bucket that holds `level` tokens.
    fn new(level: f64) -> Self {
        TokenBucket { level, refilled_at: None }
    }

    /// Adds the refill since the last call, at `rate` tokens per second, up to `capacity` tokens.
    fn refill(&mut self, rate: f64, capacity: f64, now: Duration) {
        let last = self.refilled_at.unwrap_or(now);
        self.refilled_at = Some(last.max(now));
        self.add(rate * now.saturating_sub(last).as_secs_f64(), capacity);
    }

    /// Adds `amount` tokens, up to `capacity`.
    fn add(&mut self, amount: f64, capacity: f64) {
        self.level = (self.level + amount).min(capacity);
    }

    /// Reports whether the bucket holds a token.
    fn has_token(&self) -> bool {
        self.level >= 1.0
    }

    /// Takes a token and reports whether the bucket held one.
    fn take(&mut self) -> bool {
        let available = self.has_token();
        if available {
            self.level -= 1.0;
        }
        available
    }
}
