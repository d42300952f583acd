//! Plans which engine holds which models: every model at least once, and more replicas of a model
//! as the demand for it requires.

mod ages;
mod candidates;
mod resolved;
mod round;

use std::collections::BTreeMap;
use std::time::Duration;

use self::ages::ReplicaAges;
use self::round::{PlanningRound, Step};
use super::TokenBucket;
use crate::{Engine, ModelName, UpstreamName};

/// Settings of [`ReplicaPlanner`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaPlannerSettings {
    /// Factor by which the demand per replica of a model must exceed that of the model evicted for
    /// it, both counted after the change.
    pub min_advantage: f64,
    /// Time for which a replica is not evicted after it was loaded.
    pub min_residency: Duration,
    /// Demand per replica up to which a loaded model gets no further replica, in tokens a second.
    pub min_demand: f64,
    /// Share of the weight store's load rate that the planner uses.
    pub store_share: f64,
    /// Time for which a model without a replica waits for an engine that crashed to be back, before
    /// a replica of a model with more demand is evicted for it.
    pub return_time: Duration,
}

impl Default for ReplicaPlannerSettings {
    fn default() -> Self {
        ReplicaPlannerSettings {
            min_advantage: 1.8,
            min_residency: Duration::from_secs(4),
            min_demand: 800.0,
            store_share: 0.9,
            return_time: Duration::from_secs(4),
        }
    }
}

/// An engine as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineState {
    /// Name of the engine.
    pub name: UpstreamName,
    /// The loaded models, with the number of adapters of each.
    pub models: BTreeMap<ModelName, usize>,
    /// Models whose weights the engine keeps, so that their loads do not use the weight store.
    pub cached_models: Vec<ModelName>,
    /// Whether the engine takes no order now.
    pub busy: bool,
}

/// A change to the models of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelOrder {
    /// The engine.
    pub upstream: UpstreamName,
    /// The model.
    pub model: ModelName,
    /// Whether the order loads the model; otherwise it evicts the model.
    pub load: bool,
}

/// Plans the models of one service's engines.
#[derive(Clone, Debug, Default)]
pub struct ReplicaPlanner {
    settings: ReplicaPlannerSettings,
    ages: ReplicaAges,
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

impl ReplicaPlanner {
    /// Creates a planner without history.
    pub fn new(settings: ReplicaPlannerSettings) -> Self {
        let (decision_budget, load_budget) = (TokenBucket::new(BURST), TokenBucket::new(BURST));
        ReplicaPlanner { settings, decision_budget, load_budget, ..ReplicaPlanner::default() }
    }

    /// Returns at most one order for each engine that is not busy.
    ///
    /// The time grows with the number of replicas on all engines, and with the number of models that
    /// need another replica times the logarithm of that.
    pub fn plan(
        &mut self,
        engine: &Engine,
        engines: &[EngineState],
        demand: &BTreeMap<ModelName, f64>,
        now: Duration,
    ) -> Vec<ModelOrder> {
        self.refill(engine, now);
        self.ages.record(engines, now);
        let mut round = PlanningRound::new(self.settings, engine, engines, demand, &self.ages, now);
        self.record_missing(&round, now);
        let mut orders = self.load_reserved(&mut round, now);
        round.sort_candidates();
        while let Some(model) = round.next_needed() {
            let name = round.name(model).clone();
            let step = round.step(model, self.is_overdue(&name, now));
            let Some(step) = step.filter(|step| self.may_take(step)) else {
                round.skip(model);
                continue;
            };
            round.take(model, &step);
            let upstream = engines[step.engine].name.clone();
            let Some(victim) = step.victim else {
                orders.push(ModelOrder { upstream, model: name, load: true });
                continue;
            };
            self.reserved.insert(upstream.clone(), (name, now + RESERVATION_TTL));
            let victim = round.name(victim).clone();
            orders.push(ModelOrder { upstream, model: victim, load: false });
        }
        orders
    }

    /// Returns orders to load the models for which room was made, and keeps the room of the others.
    fn load_reserved(&mut self, round: &mut PlanningRound, now: Duration) -> Vec<ModelOrder> {
        self.reserved.retain(|_, (_, until)| now < *until);
        let mut orders = Vec::new();
        for (upstream, (model, _)) in self.reserved.clone() {
            let Some(place) = round.place(&upstream, &model) else {
                continue;
            };
            let starts = round.can_load(&place) && self.may_start_load(place.from_store);
            round.reserve(&place);
            if starts {
                self.reserved.remove(&upstream);
                orders.push(ModelOrder { upstream, model, load: true });
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

    /// Records since when each model has had no replica.
    fn record_missing(&mut self, round: &PlanningRound, now: Duration) {
        self.missing_since.retain(|model, _| round.is_missing(model));
        for model in round.missing() {
            if !self.missing_since.contains_key(model) {
                self.missing_since.insert(model.clone(), now);
            }
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

    /// Reports whether a step may be taken now, and takes it from the budgets for loads from the
    /// weight store.
    fn may_take(&mut self, step: &Step) -> bool {
        if !step.from_store {
            return true;
        }
        if step.victim.is_some() {
            return self.decision_budget.take();
        }
        self.decision_budget.has_token() && self.load_budget.take() && self.decision_budget.take()
    }
}
