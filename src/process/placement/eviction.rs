//! Chooses the models to evict to make room for another.

use crate::ModelName;
use crate::process::OrderKind;
use crate::process::ledger::{MemoryAccount, ModelPhase};
use crate::process::placement::planner::Planner;
use crate::process::placement::{Demand, PlacementPolicy};

/// Extra cost of evicting on an upstream without fencing, where memory is freed only after the
/// lifetime of an order.
const UNFENCED_COST: f32 = 1e6;

const MAX_COUNTED_REPLICAS: usize = 64; // bounds the count for the value of one replica

/// Models that are evicted together.
pub(super) struct EvictionGroup {
    pub(super) names: Vec<ModelName>,
    size: u64,
    value: f32,
}

impl EvictionGroup {
    /// Returns the value per byte that the group occupies.
    fn density(&self) -> f32 {
        self.value / self.size.max(1) as f32
    }
}

/// Reports whether the memory charged for a model in this phase will be freed by evictions that are
/// in progress or that the planner orders anyway.
fn will_be_freed(account: &MemoryAccount, phase: ModelPhase) -> bool {
    match phase {
        ModelPhase::Purging | ModelPhase::Evicting => true,
        ModelPhase::MayReload => !account.fencing,
        ModelPhase::Loading | ModelPhase::Loaded => false,
    }
}

impl Planner<'_> {
    /// Orders evictions for `model` on the upstream where they cost the least.
    pub(super) fn make_room(&mut self, model: &ModelName, base: &ModelName, demand: &Demand) {
        let size = self.size(model);
        let options = self.hosts(model, base).filter_map(|(name, account)| {
            self.victims(account, base, size, demand).map(|(cost, list)| (cost, name, list))
        });
        let best = options.min_by(|(a, n, _), (b, m, _)| a.total_cmp(b).then(n.cmp(m)));
        let Some((_, upstream, victims)) = best else {
            return;
        };
        let upstream = upstream.clone();
        for victim in victims {
            self.order(&upstream, &victim, OrderKind::Evict);
        }
    }

    /// Returns the models to evict from `account` for `size` bytes, least value per byte
    /// first, and their cost. A base is evicted together with its adapters. Returns none if too
    /// little can be evicted.
    pub(super) fn victims(
        &self,
        account: &MemoryAccount,
        base: &ModelName,
        size: u64,
        demand: &Demand,
    ) -> Option<(f32, Vec<ModelName>)> {
        let pending = account.charges.values().filter(|c| will_be_freed(account, c.phase));
        let mut room = account.free_memory().0 + pending.map(|charge| charge.size.0).sum::<u64>();
        let mut groups: Vec<EvictionGroup> = account
            .charges
            .iter()
            .filter(|(name, charge)| charge.phase == ModelPhase::Loaded && *name != base)
            .filter(|(name, charge)| self.may_evict(name, charge.time_ms, demand))
            .map(|(name, _)| self.group(account, name))
            .collect();
        groups.sort_by(|a, b| a.density().total_cmp(&b.density()).then(a.names.cmp(&b.names)));
        let unfenced_cost = if account.fencing { 0.0 } else { UNFENCED_COST };
        let mut taken: Vec<EvictionGroup> = Vec::new();
        for group in groups {
            if room >= size {
                break;
            }
            if !taken.iter().any(|other| other.names.contains(&group.names[0])) {
                room += group.size;
                taken.push(group);
            }
        }
        if room < size {
            return None;
        }
        taken.retain(|group| {
            let needed = room - group.size < size;
            room -= if needed { 0 } else { group.size };
            needed
        });
        let cost = unfenced_cost + taken.iter().map(|group| group.value).sum::<f32>();
        Some((cost, taken.into_iter().flat_map(|group| group.names).collect()))
    }

    /// Returns a model and its loaded adapters as one group.
    pub(super) fn group(&self, account: &MemoryAccount, model: &ModelName) -> EvictionGroup {
        let on_model = account.charges.iter().filter(|(name, charge)| {
            let base = self.input.config.models.get(*name).and_then(|m| m.base.as_ref());
            charge.phase == ModelPhase::Loaded && base == Some(model)
        });
        let mut names = vec![model.clone()];
        names.extend(on_model.map(|(name, _)| name.clone()));
        let size = names.iter().filter_map(|name| account.charges.get(name)).map(|c| c.size.0);
        EvictionGroup { size: size.sum(), value: self.eviction_value(model), names }
    }

    pub(super) fn eviction_value(&self, model: &ModelName) -> f32 {
        if self.settings.policy == PlacementPolicy::LeastRecent {
            return self.input.last_used.get(model).copied().unwrap_or(0) as f32;
        }
        let replicas = self.replicas(model, MAX_COUNTED_REPLICAS).max(1) as f32;
        self.total_demand(model) / replicas
    }

    /// Reports whether a model whose load was ordered at `loaded` may be evicted for one with the
    /// demand `newcomer`: if its demand per replica is close to zero, or if the newcomer has much
    /// more demand or has waited long. A recently loaded replica stays, so that two models do not
    /// evict each other in turns. With [`PlacementPolicy::LeastRecent`] every model may be evicted.
    pub(super) fn may_evict(&self, model: &ModelName, loaded: u64, newcomer: &Demand) -> bool {
        if self.settings.policy == PlacementPolicy::LeastRecent {
            return true;
        }
        if self.input.now_ms.saturating_sub(loaded) < self.settings.min_residency_ms {
            return false;
        }
        let value = self.eviction_value(model);
        value < 0.05
            || newcomer.total() > value * self.settings.min_advantage
            || newcomer.oldest_ms > self.settings.max_wait_ms
    }
}
