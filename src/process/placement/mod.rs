//! Plans which models are loaded on which upstream.
//!
//! The planner proposes orders; the [`MemoryLedger`] admits them in the order of the log. So two
//! planners at once can waste an order, but never overcommit memory.

mod eviction;
mod planner;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::process::OrderIntent;
use crate::process::ledger::MemoryLedger;
use crate::process::placement::planner::Planner;
use crate::version::Config;
use crate::{ModelName, UpstreamName};

/// Demand for a model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Running requests, as a moving average.
    pub running: f32,
    /// Requests that wait for the model to be loaded.
    pub waiting: u32,
    /// Time that the oldest of these has waited, in milliseconds.
    #[serde(rename = "oldest")]
    pub oldest_ms: u32,
}

impl Demand {
    /// Adds the demand of another process.
    pub fn add(&mut self, other: &Demand) {
        self.running += other.running;
        self.waiting += other.waiting;
        self.oldest_ms = self.oldest_ms.max(other.oldest_ms);
    }

    fn total(&self) -> f32 {
        self.running + self.waiting as f32
    }
}

/// Policy for choosing the models to evict.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// The models with the least demand, with hysteresis.
    #[default]
    Demand,
    /// The least recently used model, regardless of its demand.
    LeastRecent,
    /// Models are loaded while memory is free and never evicted.
    Static,
}

/// Settings of the planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Policy for choosing the models to evict.
    pub policy: PlacementPolicy,
    /// Largest number of models that load from the weight store at once.
    pub max_loads: usize,
    /// Largest number of adapters that load from the weight store at once.
    pub max_adapter_loads: usize,
    /// Requests that one replica of a model runs efficiently in a batch.
    pub batch_size: f32,
    /// Shortest time that a loaded model stays, in milliseconds.
    pub min_residency_ms: u64,
    /// Factor by which the demand for a model must exceed the demand per replica of the model
    /// evicted for it.
    pub min_advantage: f32,
    /// Wait of a request after which a model is evicted regardless of its demand, in milliseconds.
    pub max_wait_ms: u32,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        PlacementSettings {
            policy: PlacementPolicy::Demand,
            max_loads: 2,
            max_adapter_loads: 16,
            batch_size: 12.0,
            min_residency_ms: 5_000,
            min_advantage: 2.0,
            max_wait_ms: 2_000,
        }
    }
}

/// Input of the planner.
#[derive(Clone, Copy)]
pub struct PlanInput<'a> {
    /// The configuration in force.
    pub config: &'a Config,
    /// The ledger.
    pub ledger: &'a MemoryLedger,
    /// Demand for each model, summed over all processes.
    pub demand: &'a BTreeMap<ModelName, Demand>,
    /// Time of the last request for each model, in milliseconds on the log's clock.
    pub last_used: &'a BTreeMap<ModelName, u64>,
    /// Reports whether an upstream responds.
    pub reachable: &'a dyn Fn(&UpstreamName) -> bool,
    /// The current time, in milliseconds on the log's clock.
    pub now_ms: u64,
}

/// Returns the orders to propose next.
pub fn plan_placement(input: &PlanInput<'_>, settings: &PlacementSettings) -> Vec<OrderIntent> {
    let mut planner = Planner::new(input, settings);
    planner.count_loads();
    planner.purge_unfenced();
    planner.place_wanted();
    planner.orders
}
