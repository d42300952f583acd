//! Which models are loaded where.
//!
//! The planner proposes orders; the [`Ledger`] admits them in the order of the log. So two
//! planners at once can waste an order, but never overcommit memory.

mod planner;
mod victims;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::process::Intent;
use crate::process::ledger::MemoryLedger;
use crate::process::placement::planner::Planner;
use crate::version::Config;
use crate::{ModelName, UpstreamName};

/// Demand for a model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests that run, as a moving mean.
    pub running: f32,
    /// Requests that wait because the model is not loaded.
    pub waiting: u32,
    /// Milliseconds that the oldest of them has waited.
    pub oldest: u32,
}

impl Demand {
    /// Adds the demand of another process.
    pub fn add(&mut self, other: &Demand) {
        self.running += other.running;
        self.waiting += other.waiting;
        self.oldest = self.oldest.max(other.oldest);
    }

    fn total(&self) -> f32 {
        self.running + self.waiting as f32
    }
}

/// How victims of an eviction are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// By demand, with hysteresis.
    #[default]
    Demand,
    /// The least recently used, whatever its demand.
    LeastRecent,
    /// Models are loaded while memory is free and never evicted.
    Static,
}

/// Settings of the planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementSettings {
    /// How victims are chosen.
    pub policy: PlacementPolicy,
    /// Weights that the store serves at once.
    pub max_loads: usize,
    /// Adapters that the store serves at once.
    pub max_adapter_loads: usize,
    /// Requests that one loaded model runs well.
    pub batch_size: f32,
    /// Milliseconds that a loaded model stays at least.
    pub residency_ms: u64,
    /// A victim with demand yields only to this many times its demand.
    pub advantage: f32,
    /// Milliseconds after which a waiting request takes a victim whatever its demand.
    pub patience_ms: u32,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        PlacementSettings {
            policy: PlacementPolicy::Demand,
            max_loads: 2,
            max_adapter_loads: 16,
            batch_size: 12.0,
            residency_ms: 5_000,
            advantage: 2.0,
            patience_ms: 2_000,
        }
    }
}

/// What the planner looks at.
#[derive(Clone, Copy)]
pub struct PlanInput<'a> {
    /// The configuration in force.
    pub config: &'a Config,
    /// The ledger.
    pub ledger: &'a MemoryLedger,
    /// Demand of the whole fleet.
    pub demand: &'a BTreeMap<ModelName, Demand>,
    /// When each model was last asked for, in milliseconds on the log's clock.
    pub last_used: &'a BTreeMap<ModelName, u64>,
    /// Upstreams that answer.
    pub reachable: &'a dyn Fn(&UpstreamName) -> bool,
    /// Now, in milliseconds on the log's clock.
    pub now_ms: u64,
}

/// Proposes the next orders.
pub fn plan(input: &PlanInput<'_>, settings: &PlacementSettings) -> Vec<Intent> {
    let mut planner = Planner::new(input, settings);
    planner.count_loads();
    planner.purge_unfenced();
    planner.place_wanted();
    planner.orders
}
