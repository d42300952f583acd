//! Models and engines of one round of planning, with names resolved to indices.

use std::collections::{BTreeMap, HashMap};

use super::EngineState;
use super::candidates::Cost;
use crate::{Engine, ModelName};

/// A model of the configuration, or one that an engine still holds.
#[derive(Clone, Debug)]
pub(super) struct RoundModel<'a> {
    /// Name.
    pub name: &'a ModelName,
    /// Size of the weights in MB; `None` if the configuration does not name the model.
    pub weights_mb: Option<f64>,
    /// Memory of one adapter in MB.
    pub adapter_mb: f64,
    /// Demand in tokens a second.
    pub demand: f64,
    /// Number of replicas, including planned ones.
    pub replicas: usize,
    /// Engines that hold the model.
    pub holders: Vec<usize>,
    /// Engines that keep its weights, so that a load does not use the weight store.
    pub cached_by: Vec<usize>,
}

impl RoundModel<'_> {
    /// Returns the demand per replica if there were `replicas`; infinity for none.
    pub(super) fn pressure(&self, replicas: usize) -> f64 {
        if replicas == 0 {
            return f64::INFINITY;
        }
        self.demand / replicas as f64
    }

    /// Returns the pressure on the remaining replicas if one is evicted; none for the last one.
    pub(super) fn pressure_without(&self) -> Option<Cost> {
        match self.replicas {
            _ if self.weights_mb.is_none() => Some(Cost(0.0)),
            0 | 1 => None,
            replicas => Some(Cost(self.pressure(replicas - 1))),
        }
    }
}

/// A model on an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Replica {
    /// Index of the model.
    pub model: usize,
    /// Memory of weights and adapters in MB; `None` if the configuration does not name the model.
    pub used_mb: Option<f64>,
    /// Whether the replica was loaded so recently that it stays.
    pub recent: bool,
}

/// An engine with the models that it holds.
#[derive(Clone, Debug)]
pub(super) struct RoundEngine {
    /// Replicas in the order of their names.
    pub replicas: Vec<Replica>,
    /// Whether the engine takes an order in this round.
    pub open: bool,
}

impl RoundEngine {
    /// Reports whether the engine holds a model.
    pub(super) fn holds(&self, model: usize) -> bool {
        self.replicas.iter().any(|replica| replica.model == model)
    }

    /// Returns the memory of `total` MB that is free without `victim`. A model that the configuration
    /// does not name leaves none, and counts as evicted too if the victim is another such model.
    pub(super) fn free_memory(&self, total: f64, victim: Option<&Replica>) -> f64 {
        let evicts_unknown = victim.is_some_and(|victim| victim.used_mb.is_none());
        let unknown_mb = if evicts_unknown { 0.0 } else { f64::INFINITY };
        let victim = victim.map(|victim| victim.model);
        let others = self.replicas.iter().filter(|replica| Some(replica.model) != victim);
        let used: f64 = others.map(|replica| replica.used_mb.unwrap_or(unknown_mb)).sum();
        total - used
    }
}

/// The models of a round, by index and by name.
pub(super) struct Models<'a> {
    models: Vec<RoundModel<'a>>,
    indices: HashMap<&'a ModelName, usize>,
}

impl<'a> Models<'a> {
    /// Collects the models that the configuration names.
    pub(super) fn new(engine: &'a Engine, demand: &BTreeMap<ModelName, f64>) -> Self {
        let mut models = Models { models: Vec::new(), indices: HashMap::new() };
        for (name, model) in &engine.models {
            let index = models.index_or_add(name, demand);
            models.models[index].weights_mb = Some(model.weights_mb);
            models.models[index].adapter_mb = model.adapter_mb;
        }
        models
    }

    /// Returns the models that the configuration names and those that an engine holds.
    pub(super) fn iter(&self) -> impl Iterator<Item = &RoundModel<'a>> {
        self.models.iter()
    }

    /// Returns the number of models.
    pub(super) fn len(&self) -> usize {
        self.models.len()
    }

    /// Returns the index of a model, if the configuration names it or an engine holds it.
    pub(super) fn index(&self, name: &ModelName) -> Option<usize> {
        self.indices.get(name).copied()
    }

    fn index_or_add(&mut self, name: &'a ModelName, demand: &BTreeMap<ModelName, f64>) -> usize {
        if let Some(index) = self.index(name) {
            return index;
        }
        self.models.push(RoundModel {
            name,
            weights_mb: None,
            adapter_mb: 0.0,
            demand: demand.get(name).copied().unwrap_or(0.0),
            replicas: 0,
            holders: Vec::new(),
            cached_by: Vec::new(),
        });
        self.indices.insert(name, self.models.len() - 1);
        self.models.len() - 1
    }

    /// Adds the replicas and the cached weights of an engine. `recent` tells which of the replicas, in
    /// the order of their names, were loaded recently.
    pub(super) fn add_engine(
        &mut self,
        number: usize,
        state: &'a EngineState,
        demand: &BTreeMap<ModelName, f64>,
        recent: impl Iterator<Item = bool>,
    ) -> RoundEngine {
        let mut replicas = Vec::with_capacity(state.models.len());
        let recent = recent.chain(std::iter::repeat(false));
        for ((name, adapters), recent) in state.models.iter().zip(recent) {
            let model = self.index_or_add(name, demand);
            let held = &mut self.models[model];
            held.replicas += 1;
            held.holders.push(number);
            let adapters_mb = held.adapter_mb * *adapters as f64;
            let used_mb = held.weights_mb.map(|weights_mb| weights_mb + adapters_mb);
            replicas.push(Replica { model, used_mb, recent });
        }
        for name in &state.cached_models {
            if let Some(model) = self.index(name) {
                self.models[model].cached_by.push(number);
            }
        }
        RoundEngine { replicas, open: !state.busy }
    }
}

impl<'a> std::ops::Index<usize> for Models<'a> {
    type Output = RoundModel<'a>;

    fn index(&self, index: usize) -> &RoundModel<'a> {
        &self.models[index]
    }
}

impl std::ops::IndexMut<usize> for Models<'_> {
    fn index_mut(&mut self, index: usize) -> &mut Self::Output {
        &mut self.models[index]
    }
}
