//! Models and adapters that requests wait for, and what is known of engines beyond the list.
//!
//! Engines write to the list about once a second and do not announce a change of adapters, so the
//! process that gives orders tells the others what it changed.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::load_tracker::name_hash;
use crate::{ModelName, UpstreamEntry, UpstreamName};

/// How long news count beside the list.
const UPDATE_TTL: Duration = Duration::from_secs(4);

/// How long a request for an adapter is remembered.
const REQUEST_TTL: Duration = Duration::from_millis(1500);

/// How long the use of an adapter is remembered.
const USE_TTL: Duration = Duration::from_secs(60);

/// An adapter of a service's model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AdapterId {
    /// The service.
    pub service: String,
    /// The model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: String,
}

/// A change to what an engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementUpdate {
    /// The engine.
    pub upstream: UpstreamName,
    /// The model.
    pub model: ModelName,
    /// The adapter; none where the model itself is meant.
    pub adapter: Option<String>,
    /// Whether it may be used.
    pub available: bool,
    /// The engine's count of orders after the change.
    pub sequence: u64,
}

impl PlacementUpdate {
    fn is_about(&self, upstream: &UpstreamName, model: &ModelName, adapter: Option<&str>) -> bool {
        self.upstream == *upstream && self.model == *model && self.adapter.as_deref() == adapter
    }
}

#[derive(Clone, Debug)]
struct KnownUpdate {
    update: PlacementUpdate,
    received_at: Duration,
    source: GossipSource,
}

/// Who told something first, the least important last: it decides to whom it is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GossipSource {
    /// Another process that tells all by itself.
    Peer,
    /// The hub of another data centre.
    Hub,
    /// A process that reports to this one.
    Member,
    /// This process.
    Local,
}

/// Which other processes a message goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GossipScope {
    /// All, or the hub: what this process found itself.
    Local,
    /// Other hubs: also what members sent.
    Hubs,
    /// Members: also what other hubs sent.
    Members,
}

impl GossipSource {
    fn is_in_scope(self, scope: GossipScope) -> bool {
        match scope {
            GossipScope::Local => self == GossipSource::Local,
            GossipScope::Hubs => self >= GossipSource::Member,
            GossipScope::Members => self >= GossipSource::Hub,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct AdapterRequest {
    received_at: Duration,
    source: GossipSource,
}

#[derive(Clone, Copy, Debug)]
struct AdapterUse {
    received_at: Duration,
    source: GossipSource,
}

/// What requests wait for, and news of engines.
#[derive(Clone, Debug, Default)]
pub struct PlacementGossip {
    requested: BTreeMap<AdapterId, AdapterRequest>,
    uses: BTreeMap<u32, AdapterUse>,
    updates: Vec<KnownUpdate>,
}

fn adapter_hash(upstream: &UpstreamName, model: &ModelName, adapter: &str) -> u32 {
    name_hash(&format!("{upstream}\0{model}\0{adapter}"))
}

impl PlacementGossip {
    /// A request waits for an adapter that no engine holds; returns whether that is new.
    pub fn request_adapter(
        &mut self,
        name: AdapterId,
        source: GossipSource,
        now: Duration,
    ) -> bool {
        let known = self.requested.get(&name).copied();
        let known = known.filter(|request| now.saturating_sub(request.received_at) < REQUEST_TTL);
        // What comes back from others does not replace what is told to them.
        if known.is_none_or(|request| request.source <= source) {
            self.requested.insert(name, AdapterRequest { received_at: now, source });
        }
        known.is_none()
    }

    /// The adapters that are asked for.
    pub fn requested_adapters(&mut self, now: Duration) -> Vec<AdapterId> {
        self.requested.retain(|_, request| now.saturating_sub(request.received_at) < REQUEST_TTL);
        self.requested.keys().cloned().collect()
    }

    /// The adapters that requests wait for, for a message of `scope`.
    pub fn requests_in_scope(&mut self, scope: GossipScope, now: Duration) -> Vec<AdapterId> {
        self.requested.retain(|_, request| now.saturating_sub(request.received_at) < REQUEST_TTL);
        let in_scope =
            self.requested.iter().filter(|(_, request)| request.source.is_in_scope(scope));
        in_scope.map(|(name, _)| name.clone()).collect()
    }

    /// An adapter is there, or no longer asked for.
    pub fn clear_request(&mut self, name: &AdapterId) {
        self.requested.remove(name);
    }

    /// Takes in an update; what was known of the same is replaced. Returns whether it was not known.
    pub fn apply_update(
        &mut self,
        update: PlacementUpdate,
        source: GossipSource,
        now: Duration,
    ) -> bool {
        self.updates.retain(|known| now.saturating_sub(known.received_at) < UPDATE_TTL);
        if self.updates.iter().any(|known| known.update == update) {
            return false;
        }
        let adapter = update.adapter.clone();
        self.updates.retain(|known| {
            let same = known.update.is_about(&update.upstream, &update.model, adapter.as_deref());
            !(same && known.update.sequence <= update.sequence)
        });
        let newer = self.updates.iter().any(|known| {
            known.update.is_about(&update.upstream, &update.model, adapter.as_deref())
        });
        if !newer {
            self.updates.push(KnownUpdate { update, received_at: now, source });
        }
        !newer
    }

    fn updates_in_scope(
        &self,
        scope: GossipScope,
        now: Duration,
        within: Duration,
    ) -> impl Iterator<Item = &KnownUpdate> {
        let in_scope = self.updates.iter().filter(move |known| known.source.is_in_scope(scope));
        in_scope.filter(move |known| now.saturating_sub(known.received_at) < within)
    }

    /// News that other vms may not have yet.
    pub fn recent_updates(
        &self,
        scope: GossipScope,
        now: Duration,
        within: Duration,
    ) -> Vec<PlacementUpdate> {
        self.updates_in_scope(scope, now, within).map(|known| known.update.clone()).collect()
    }

    /// Whether there are news that other vms may not have yet.
    pub fn has_updates(&self, scope: GossipScope, now: Duration, within: Duration) -> bool {
        self.updates_in_scope(scope, now, within).next().is_some()
    }

    /// Forgets what was known of an engine.
    pub fn forget(&mut self, upstream: &UpstreamName) {
        self.updates.retain(|known| known.update.upstream != *upstream);
    }

    fn update(
        &self,
        upstream: &UpstreamName,
        model: &ModelName,
        adapter: Option<&str>,
        now: Duration,
    ) -> Option<&PlacementUpdate> {
        let known =
            self.updates.iter().find(|known| known.update.is_about(upstream, model, adapter))?;
        (now.saturating_sub(known.received_at) < UPDATE_TTL).then_some(&known.update)
    }

    /// Whether requests for a model, and an adapter of it, may go to an engine, by the list and
    /// by updates.
    pub fn can_serve(
        &self,
        entry: &UpstreamEntry,
        model: &ModelName,
        adapter: Option<&str>,
        now: Duration,
    ) -> bool {
        if !entry.holds(model, None) {
            return false;
        }
        if self.update(&entry.name, model, None, now).is_some_and(|update| !update.available) {
            return false;
        }
        let Some(adapter) = adapter else {
            return true;
        };
        match self.update(&entry.name, model, Some(adapter), now) {
            Some(update) => update.available,
            None => entry.holds(model, Some(adapter)),
        }
    }

    /// A request used an adapter.
    pub fn record_use(
        &mut self,
        upstream: &UpstreamName,
        model: &ModelName,
        adapter: &str,
        now: Duration,
    ) {
        let local = AdapterUse { received_at: now, source: GossipSource::Local };
        self.uses.insert(adapter_hash(upstream, model, adapter), local);
    }

    /// Another vm used adapters.
    pub fn record_remote_uses(&mut self, keys: Vec<u32>, source: GossipSource, now: Duration) {
        let remote = AdapterUse { received_at: now, source };
        self.uses.extend(keys.into_iter().map(|key| (key, remote)));
    }

    /// Adapters that were used lately, to tell other vms.
    pub fn recent_uses(&mut self, scope: GossipScope, now: Duration, within: Duration) -> Vec<u32> {
        self.uses.retain(|_, used| now.saturating_sub(used.received_at) < USE_TTL);
        let in_scope = self.uses.iter().filter(|(_, used)| used.source.is_in_scope(scope));
        let fresh = in_scope.filter(|(_, used)| now.saturating_sub(used.received_at) < within);
        fresh.map(|(key, _)| *key).collect()
    }

    /// When an adapter was last used, as far as this process knows.
    pub fn last_used(&self, upstream: &UpstreamName, model: &ModelName, adapter: &str) -> Duration {
        self.uses
            .get(&adapter_hash(upstream, model, adapter))
            .map_or(Duration::ZERO, |used| used.received_at)
    }
}
