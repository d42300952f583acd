//! When each replica was first seen.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use super::EngineState;
use crate::{ModelName, UpstreamName};

/// When each replica of each engine was first seen.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplicaAges(HashMap<UpstreamName, FirstSeen>);

type FirstSeen = BTreeMap<ModelName, Duration>;

impl ReplicaAges {
    /// Records replicas that were not seen before, and forgets those that are gone.
    pub(super) fn record(&mut self, engines: &[EngineState], now: Duration) {
        for engine in engines {
            if !self.0.contains_key(&engine.name) {
                self.0.insert(engine.name.clone(), FirstSeen::new());
            }
            if let Some(first_seen) = self.0.get_mut(&engine.name) {
                record_engine(first_seen, engine, now);
            }
        }
        if self.0.len() > engines.len() {
            let listed: HashSet<&UpstreamName> = engines.iter().map(|e| &e.name).collect();
            self.0.retain(|name, _| listed.contains(name));
        }
    }

    /// Returns when the replicas of an engine were first seen, in the order of the models' names, as
    /// for the engines last recorded.
    pub(super) fn of_engine(&self, name: &UpstreamName) -> impl Iterator<Item = Duration> {
        self.0.get(name).into_iter().flat_map(|first_seen| first_seen.values().copied())
    }
}

fn record_engine(first_seen: &mut FirstSeen, engine: &EngineState, now: Duration) {
    if first_seen.keys().eq(engine.models.keys()) {
        return;
    }
    first_seen.retain(|model, _| engine.models.contains_key(model));
    for model in engine.models.keys() {
        first_seen.entry(model.clone()).or_insert(now);
    }
}
