//! The upstreams that the platform lists, and which of them may get new work.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::{DataCentre, ModelName, UpstreamName};

/// A model that an upstream holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedModel {
    /// The model.
    pub name: ModelName,
    /// Names of its adapters that are loaded.
    pub adapters: Vec<String>,
}

/// An upstream as it describes itself.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Its name.
    pub name: UpstreamName,
    /// The service that it belongs to.
    pub service: String,
    /// Where it is called.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it announced that it leaves.
    pub draining: bool,
    /// The models that it holds.
    pub models: Vec<LoadedModel>,
    /// Models whose weights it keeps outside the accelerator, and so loads fast.
    pub cached_models: Vec<ModelName>,
    /// Counts what it wrote to the list since its start.
    pub heartbeat: u64,
    /// Unix milliseconds of its start.
    pub started_ms: u64,
}

impl UpstreamEntry {
    /// Whether it holds a model and, if asked for, an adapter of it.
    pub fn holds(&self, model: &ModelName, adapter: Option<&str>) -> bool {
        let held = self.models.iter().find(|held| held.name == *model);
        held.is_some_and(|held| adapter.is_none_or(|name| held.adapters.iter().any(|a| a == name)))
    }
}

/// What a reading of the list changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// An upstream that was not known.
    Added,
    /// A known name whose upstream started again and remembers nothing.
    Restarted,
    /// It announced that it leaves.
    Draining,
    /// Another detail.
    Updated,
    /// Nothing, or an entry older than what is known.
    None,
}

/// Settings of a [`UpstreamRegistry`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegistrySettings {
    /// How long after an outage of the list entries that lapsed in it may still come back.
    pub return_window: Duration,
    /// Silence of the list that counts as an outage.
    pub outage_gap: Duration,
}

impl Default for RegistrySettings {
    fn default() -> Self {
        RegistrySettings {
            return_window: Duration::from_millis(2300),
            outage_gap: Duration::from_millis(1500),
        }
    }
}

/// The upstreams that are known.
///
/// An entry that disappears while the list is away, or right after it came back, is kept for a
/// short time, because upstreams that could not renew it write it again.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRegistry {
    settings: RegistrySettings,
    entries: BTreeMap<UpstreamName, UpstreamEntry>,
    expiring: BTreeMap<UpstreamName, Duration>,
    read_at: Option<Duration>,
    returned_at: Option<Duration>,
}

impl UpstreamRegistry {
    /// An empty roster.
    pub fn new(settings: RegistrySettings) -> Self {
        UpstreamRegistry { settings, ..UpstreamRegistry::default() }
    }

    /// Notes that the list was read at `now`.
    pub fn record_read(&mut self, now: Duration) {
        let gap = self.read_at.map(|read| now.saturating_sub(read));
        if gap.is_some_and(|gap| gap >= self.settings.outage_gap) {
            self.returned_at = Some(now);
        }
        self.read_at = Some(now);
    }

    /// Whether the list was ever read.
    pub fn was_read(&self) -> bool {
        self.read_at.is_some()
    }

    /// Takes in an entry.
    pub fn upsert(&mut self, entry: UpstreamEntry) -> EntryChange {
        let back = self.expiring.remove(&entry.name).is_some();
        let same = if back { EntryChange::Updated } else { EntryChange::None };
        let Some(old) = self.entries.get(&entry.name) else {
            self.entries.insert(entry.name.clone(), entry);
            return EntryChange::Added;
        };
        if (entry.started_ms, entry.heartbeat) < (old.started_ms, old.heartbeat) {
            return same;
        }
        let change = if entry.started_ms > old.started_ms {
            EntryChange::Restarted
        } else if entry.draining && !old.draining {
            EntryChange::Draining
        } else if (UpstreamEntry { heartbeat: old.heartbeat, ..entry.clone() }) == *old {
            same
        } else {
            EntryChange::Updated
        };
        self.entries.insert(entry.name.clone(), entry);
        change
    }

    /// An entry disappeared. Returns whether the upstream is gone at once.
    pub fn remove(&mut self, name: &UpstreamName, now: Duration) -> bool {
        let back = self.returned_at.map(|at| at + self.settings.return_window);
        match back.filter(|until| now < *until && self.entries.contains_key(name)) {
            Some(until) => {
                self.expiring.insert(name.clone(), until);
                false
            }
            None => self.entries.remove(name).is_some(),
        }
    }

    /// Keeps only the names of a whole reading of the list; returns those that are gone.
    pub fn retain_listed(&mut self, listed: &[UpstreamName], now: Duration) -> Vec<UpstreamName> {
        let missing = self.entries.keys().filter(|name| !listed.contains(name)).cloned();
        let missing: Vec<UpstreamName> = missing.collect();
        missing.into_iter().filter(|name| self.remove(name, now)).collect()
    }

    /// Drops the entries that did not come back; returns their names.
    pub fn expire(&mut self, now: Duration) -> Vec<UpstreamName> {
        let late = self.expiring.iter().filter(|(_, until)| now >= **until);
        let late: Vec<UpstreamName> = late.map(|(name, _)| name.clone()).collect();
        for name in &late {
            self.expiring.remove(name);
            self.entries.remove(name);
        }
        late
    }

    /// An upstream by name.
    pub fn get(&self, name: &UpstreamName) -> Option<&UpstreamEntry> {
        self.entries.get(name)
    }

    /// All upstreams.
    pub fn entries(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.entries.values()
    }

    /// The upstreams of a service that may get new work.
    pub fn accepting(&self, service: &str) -> impl Iterator<Item = &UpstreamEntry> {
        self.entries.values().filter(move |entry| entry.service == service && !entry.draining)
    }
}
