//! The upstreams in the platform's list, and which of them accept new work.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{DataCentre, ModelName, SoftwareVersion, UpstreamName};

/// A model that is loaded on an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedModel {
    /// The model.
    pub name: ModelName,
    /// Names of the loaded adapters of the model.
    pub adapters: Vec<String>,
}

/// An upstream's entry in the platform's list, as the upstream describes itself.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// The service that the upstream belongs to.
    pub service: String,
    /// The address that takes requests.
    pub address: SocketAddr,
    /// The data centre that the upstream runs in.
    pub data_centre: DataCentre,
    /// Version of the upstream's software.
    pub version: SoftwareVersion,
    /// Requests that the upstream runs at once.
    pub slots: u32,
    /// Whether the upstream announced that it is leaving.
    pub draining: bool,
    /// Time for which the upstream is cold, as of its entry: it takes few requests a second.
    pub cold_time: Duration,
    /// The loaded models.
    pub models: Vec<LoadedModel>,
    /// Models whose weights are kept outside the accelerator, and so load fast.
    pub cached_models: Vec<ModelName>,
    /// Number of the entry since the upstream's start; rises with each write.
    pub heartbeat: u64,
    /// Start of the upstream, in Unix milliseconds.
    pub started_ms: u64,
}

impl UpstreamEntry {
    /// Reports whether a model is loaded, and an adapter of it if given.
    pub fn holds(&self, model: &ModelName, adapter: Option<&str>) -> bool {
        let held = self.models.iter().find(|held| held.name == *model);
        held.is_some_and(|held| adapter.is_none_or(|name| held.adapters.iter().any(|a| a == name)))
    }
}

/// An upstream that said in a response that it is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Start of the upstream, in Unix milliseconds; a later one is another process.
    pub started_ms: u64,
}

/// What an entry read from the list changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// The upstream was not known.
    Added,
    /// The upstream of a known name restarted and lost its state.
    Restarted,
    /// The upstream announced that it is leaving.
    Draining,
    /// Another field changed, or an entry that had disappeared came back.
    Updated,
    /// Nothing changed, or the entry is older than the known one.
    None,
}

/// Settings of an [`UpstreamRegistry`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamRegistrySettings {
    /// How long after an outage of the list the entries that disappeared may still come back.
    pub return_window: Duration,
    /// Time between two reads of the list from which the gap counts as an outage.
    pub outage_gap: Duration,
    /// How long it is remembered that an upstream which is no longer known was leaving.
    pub leaving_memory: Duration,
}

impl Default for UpstreamRegistrySettings {
    fn default() -> Self {
        UpstreamRegistrySettings {
            return_window: Duration::from_millis(2300),
            outage_gap: Duration::from_millis(1500),
            leaving_memory: Duration::from_secs(60),
        }
    }
}

/// The known upstreams.
///
/// An entry that disappears during an outage of the list, or right after it, is kept for a short
/// time, because an upstream that could not renew its entry writes it again.
///
/// An upstream that said in a response that it is leaving accepts no new work, whatever its entry
/// says, until it starts again. Neither does one in a data centre that is evacuated.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRegistry {
    settings: UpstreamRegistrySettings,
    entries: BTreeMap<UpstreamName, UpstreamEntry>,
    expiring: BTreeMap<UpstreamName, Duration>,
    leaving: BTreeMap<UpstreamName, Leaving>,
    evacuated: BTreeSet<DataCentre>,
    read_at: Option<Duration>,
    returned_at: Option<Duration>,
}

/// What an upstream said in a response.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    started_ms: u64,
    said_at: Duration,
    /// Whether the list did not say so yet.
    unlisted: bool,
}

impl UpstreamRegistry {
    /// Creates an empty registry.
    pub fn new(settings: UpstreamRegistrySettings) -> Self {
        UpstreamRegistry { settings, ..UpstreamRegistry::default() }
    }

    /// Records that the list was read at `now`.
    pub fn record_read(&mut self, now: Duration) {
        let gap = self.read_at.map(|read| now.saturating_sub(read));
        if gap.is_some_and(|gap| gap >= self.settings.outage_gap) {
            self.returned_at = Some(now);
        }
        self.read_at = Some(now);
    }

    /// Reports whether the list was ever read.
    pub fn was_read(&self) -> bool {
        self.read_at.is_some()
    }

    /// Adds or updates an entry. Returns what the entry changed.
    pub fn upsert(&mut self, entry: UpstreamEntry) -> EntryChange {
        let entry = self.apply_leaving(entry);
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

    /// Applies what the upstream said in responses to its entry in the list. An entry that is older
    /// than that, or that does not say so yet, takes nothing back.
    fn apply_leaving(&mut self, entry: UpstreamEntry) -> UpstreamEntry {
        let Some(leaving) = self.leaving.get_mut(&entry.name) else {
            return entry;
        };
        if entry.started_ms > leaving.started_ms {
            self.leaving.remove(&entry.name);
            return entry;
        }
        let is_same = entry.started_ms == leaving.started_ms;
        leaving.unlisted &= !(is_same && entry.draining);
        UpstreamEntry { draining: entry.draining || is_same, ..entry }
    }

    /// Records that an upstream, started at `started_ms`, said that it is leaving. Reports whether it
    /// accepted work until now.
    pub fn record_leaving(&mut self, notice: &LeavingNotice, now: Duration) -> bool {
        let LeavingNotice { upstream, started_ms } = notice;
        let known = self.leaving.get(upstream);
        if known.is_some_and(|known| known.started_ms >= *started_ms) {
            return false;
        }
        let entry = self.entries.get_mut(upstream);
        let mut entry = entry.filter(|entry| entry.started_ms <= *started_ms);
        let is_same = entry.as_ref().is_some_and(|entry| entry.started_ms == *started_ms);
        let was_listed = is_same && entry.as_ref().is_some_and(|entry| entry.draining);
        let leaving = Leaving { started_ms: *started_ms, said_at: now, unlisted: !was_listed };
        self.leaving.insert(upstream.clone(), leaving);
        if let Some(entry) = entry.as_mut().filter(|_| is_same) {
            entry.draining = true;
        }
        is_same && !was_listed
    }

    /// Returns the upstreams that are leaving and whose entries do not say so, for other vms.
    pub fn leaving_notices(&self) -> Vec<LeavingNotice> {
        let unlisted = self.leaving.iter().filter(|(_, leaving)| leaving.unlisted);
        let notices = unlisted.map(|(upstream, leaving)| LeavingNotice {
            upstream: upstream.clone(),
            started_ms: leaving.started_ms,
        });
        notices.collect()
    }

    /// Records that an entry disappeared. Returns whether it was removed; after an outage it is
    /// kept until [`expire`](Self::expire).
    pub fn record_removal(&mut self, name: &UpstreamName, now: Duration) -> bool {
        let back = self.returned_at.map(|at| at + self.settings.return_window);
        match back.filter(|until| now < *until && self.entries.contains_key(name)) {
            Some(until) => {
                self.expiring.insert(name.clone(), until);
                false
            }
            None => self.entries.remove(name).is_some(),
        }
    }

    /// Removes the entries that a complete read of the list does not name. Returns the names
    /// removed.
    pub fn retain_listed(&mut self, listed: &[UpstreamName], now: Duration) -> Vec<UpstreamName> {
        let listed: BTreeSet<&UpstreamName> = listed.iter().collect();
        let missing = self.entries.keys().filter(|name| !listed.contains(name)).cloned();
        let missing: Vec<UpstreamName> = missing.collect();
        missing.into_iter().filter(|name| self.record_removal(name, now)).collect()
    }

    /// Removes the entries that did not come back in time. Returns their names.
    pub fn expire(&mut self, now: Duration) -> Vec<UpstreamName> {
        let late = self.expiring.iter().filter(|(_, until)| now >= **until);
        let late: Vec<UpstreamName> = late.map(|(name, _)| name.clone()).collect();
        for name in &late {
            self.expiring.remove(name);
            self.entries.remove(name);
        }
        let (entries, memory) = (&self.entries, self.settings.leaving_memory);
        self.leaving.retain(|name, leaving| {
            entries.contains_key(name) || now.saturating_sub(leaving.said_at) < memory
        });
        late
    }

    /// Sets the data centres whose upstreams get no new work; reports whether that changed any.
    pub fn set_evacuated(&mut self, data_centres: &BTreeSet<DataCentre>) -> bool {
        let changed = self.evacuated != *data_centres;
        if changed {
            self.evacuated.clone_from(data_centres);
        }
        changed
    }

    /// Returns the data centres whose upstreams get no new work.
    pub fn evacuated(&self) -> &BTreeSet<DataCentre> {
        &self.evacuated
    }

    /// Returns the entry of a run of an upstream if it accepts new work.
    pub fn accepting_run(&self, name: &UpstreamName, started_ms: u64) -> Option<&UpstreamEntry> {
        let entry = self.entries.get(name).filter(|entry| entry.started_ms == started_ms);
        entry.filter(|entry| self.accepts(entry))
    }

    fn accepts(&self, entry: &UpstreamEntry) -> bool {
        !entry.draining && !self.evacuated.contains(&entry.data_centre)
    }

    /// Returns the entry of an upstream.
    pub fn entry(&self, name: &UpstreamName) -> Option<&UpstreamEntry> {
        self.entries.get(name)
    }

    /// Returns the entries of all upstreams.
    pub fn entries(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.entries.values()
    }

    /// Returns the upstreams of a service that accept new work.
    pub fn accepting(&self, service: &str) -> impl Iterator<Item = &UpstreamEntry> {
        self.entries.values().filter(move |entry| entry.service == service && self.accepts(entry))
    }
}
