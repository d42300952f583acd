//! Placement information that processes exchange: requested adapters, recent uses of adapters, and
//! changes to engines that the platform's list of upstreams does not show yet.
//!
//! Engines write to the list about once a second and do not announce a change of adapters, so the
//! process that gives orders tells the others what it changed.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::load_tracker::name_hash;
use crate::{ModelName, UpstreamEntry, UpstreamName};

/// How long a placement update overrides the list.
const UPDATE_TTL: Duration = Duration::from_secs(4);

/// How long a request for an adapter stays open unless it is repeated.
const REQUEST_TTL: Duration = Duration::from_millis(1500);

/// How long the use of an adapter is remembered.
const USE_TTL: Duration = Duration::from_secs(60);

/// Identifies an adapter of a model of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AdapterId {
    /// The service.
    pub service: String,
    /// The model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: String,
}

/// A change to the models or adapters that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementUpdate {
    /// The engine.
    pub upstream: UpstreamName,
    /// The model.
    pub model: ModelName,
    /// The adapter; none if the change concerns the model itself.
    pub adapter: Option<String>,
    /// Whether requests may use the model or adapter on this engine.
    pub available: bool,
    /// The engine's count of accepted orders after the change; higher counts supersede lower ones.
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

/// Where an item came from. A later variant is passed on to more processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GossipSource {
    /// A process whose items need no forwarding, since it or a hub already sends them to all.
    Peer,
    /// The hub of another data centre.
    Hub,
    /// A process that reports to this one as its hub.
    Member,
    /// This process.
    Local,
}

/// The items that a message carries, by their source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GossipScope {
    /// Items of this process only, for all others or for the hub.
    Local,
    /// Items of this process and its members, for other hubs.
    Hubs,
    /// Items of this process, its members and other hubs, for members.
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

/// Requested adapters, recent uses of adapters, and placement updates.
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
    /// Records that a request waits for an adapter that no engine holds. Returns whether no open
    /// request for the adapter was known.
    pub fn record_adapter_request(
        &mut self,
        name: AdapterId,
        source: GossipSource,
        now: Duration,
    ) -> bool {
        let known = self.requested.get(&name).copied();
        let known = known.filter(|request| now.saturating_sub(request.received_at) < REQUEST_TTL);
        // A request that comes back from other processes does not replace the one sent to them.
        if known.is_none_or(|request| request.source <= source) {
            self.requested.insert(name, AdapterRequest { received_at: now, source });
        }
        known.is_none()
    }

    /// Returns the adapters with an open request.
    pub fn requested_adapters(&mut self, now: Duration) -> Vec<AdapterId> {
        self.requested.retain(|_, request| now.saturating_sub(request.received_at) < REQUEST_TTL);
        self.requested.keys().cloned().collect()
    }

    /// Returns the requested adapters that a message of `scope` carries.
    pub fn requests_in_scope(&mut self, scope: GossipScope, now: Duration) -> Vec<AdapterId> {
        self.requested.retain(|_, request| now.saturating_sub(request.received_at) < REQUEST_TTL);
        let in_scope =
            self.requested.iter().filter(|(_, request)| request.source.is_in_scope(scope));
        in_scope.map(|(name, _)| name.clone()).collect()
    }

    /// Closes the request for an adapter that was loaded or ordered.
    pub fn clear_request(&mut self, name: &AdapterId) {
        self.requested.remove(name);
    }

    /// Stores an update in place of an older one for the same model or adapter. Returns whether the
    /// update was new.
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

    /// Returns the updates for a message of `scope` that were received less than `within` ago.
    pub fn recent_updates(
        &self,
        scope: GossipScope,
        now: Duration,
        within: Duration,
    ) -> Vec<PlacementUpdate> {
        self.updates_in_scope(scope, now, within).map(|known| known.update.clone()).collect()
    }

    /// Reports whether [`recent_updates`](Self::recent_updates) would return any.
    pub fn has_updates(&self, scope: GossipScope, now: Duration, within: Duration) -> bool {
        self.updates_in_scope(scope, now, within).next().is_some()
    }

    /// Removes the updates about an engine.
    pub fn remove_updates(&mut self, upstream: &UpstreamName) {
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

    /// Reports whether an engine can serve a model, and an adapter if given, by its entry in the
    /// list and the updates since.
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

    /// Records that a request of this process used an adapter.
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

    /// Applies the uses of adapters, by hash, that another process reports.
    pub fn apply_uses(&mut self, keys: Vec<u32>, source: GossipSource, now: Duration) {
        let remote = AdapterUse { received_at: now, source };
        self.uses.extend(keys.into_iter().map(|key| (key, remote)));
    }

    /// Returns the hashes of the adapters used less than `within` ago, for a message of `scope`.
    pub fn recent_uses(&mut self, scope: GossipScope, now: Duration, within: Duration) -> Vec<u32> {
        self.uses.retain(|_, used| now.saturating_sub(used.received_at) < USE_TTL);
        let in_scope = self.uses.iter().filter(|(_, used)| used.source.is_in_scope(scope));
        let fresh = in_scope.filter(|(_, used)| now.saturating_sub(used.received_at) < within);
        fresh.map(|(key, _)| *key).collect()
    }

    /// Returns when an adapter was last used, as far as this process knows; zero if never.
    pub fn last_used(&self, upstream: &UpstreamName, model: &ModelName, adapter: &str) -> Duration {
        self.uses
            .get(&adapter_hash(upstream, model, adapter))
            .map_or(Duration::ZERO, |used| used.received_at)
    }
}
