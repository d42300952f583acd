//! Finds the models that need another replica and orders the loads and evictions for them.

use std::collections::BTreeMap;

use crate::process::ledger::{MemoryAccount, ModelPhase, ORDER_TTL_MS};
use crate::process::placement::{Demand, PlacementPolicy, PlacementSettings, PlanInput};
use crate::process::{OrderIntent, OrderKind};
use crate::{ModelName, UpstreamName};

pub(super) struct Planner<'a> {
    pub(super) input: &'a PlanInput<'a>,
    pub(super) settings: &'a PlacementSettings,
    pub(super) orders: Vec<OrderIntent>,
    active_loads: usize,
    active_adapter_loads: usize,
    adapter_demand: BTreeMap<ModelName, f32>,
}

impl<'a> Planner<'a> {
    pub(super) fn new(input: &'a PlanInput<'a>, settings: &'a PlacementSettings) -> Self {
        Planner {
            input,
            settings,
            orders: Vec::new(),
            active_loads: 0,
            active_adapter_loads: 0,
            adapter_demand: adapter_demand_by_base(input),
        }
    }

    pub(super) fn is_adapter(&self, model: &ModelName) -> bool {
        self.input.config.models.get(model).is_some_and(|m| m.base.is_some())
    }

    pub(super) fn count_loads(&mut self) {
        for (_, account) in self.input.ledger.unsettled_accounts() {
            for (model, charge) in &account.charges {
                if charge.phase == ModelPhase::Loading {
                    self.count_load(model);
                }
            }
        }
    }

    /// Orders the evictions of models that a late order may have loaded on upstreams without
    /// fencing, once the load orders have expired.
    pub(super) fn purge_unfenced(&mut self) {
        let time = self.input.now_ms;
        let due: Vec<(UpstreamName, ModelName)> = self
            .input
            .ledger
            .unsettled_accounts()
            .filter(|(name, account)| !account.fencing && (self.input.reachable)(name))
            .flat_map(|(name, account)| {
                let old = account.charges.iter().filter(move |(_, charge)| {
                    let expired = time >= charge.time_ms + ORDER_TTL_MS;
                    expired && matches!(charge.phase, ModelPhase::MayReload | ModelPhase::Loading)
                });
                old.map(|(model, _)| (name.clone(), model.clone()))
            })
            .collect();
        for (upstream, model) in due {
            self.order(&upstream, &model, OrderKind::Evict);
        }
    }

    pub(super) fn count_load(&mut self, model: &ModelName) {
        match self.is_adapter(model) {
            true => self.active_adapter_loads += 1,
            false => self.active_loads += 1,
        }
    }

    pub(super) fn store_is_full(&self, model: &ModelName) -> bool {
        match self.is_adapter(model) {
            true => self.active_adapter_loads >= self.settings.max_adapter_loads,
            false => self.active_loads >= self.settings.max_loads,
        }
    }

    pub(super) fn demand(&self, model: &ModelName) -> Demand {
        self.input.demand.get(model).copied().unwrap_or_default()
    }

    /// Returns the demand for a model and for its adapters.
    pub(super) fn total_demand(&self, model: &ModelName) -> f32 {
        self.demand(model).total() + self.adapter_demand.get(model).copied().unwrap_or(0.0)
    }

    /// Orders loads by need: first the models that requests wait for, the longest wait first, then
    /// those whose demand exceeds what their replicas run efficiently.
    pub(super) fn place_wanted(&mut self) {
        let mut wanted: Vec<(ModelName, Demand)> =
            self.input.demand.iter().map(|(model, demand)| (model.clone(), *demand)).collect();
        wanted.retain(|(model, _)| self.input.config.models.contains_key(model));
        wanted.sort_by(|(a, x), (b, y)| {
            y.oldest_ms.cmp(&x.oldest_ms).then(y.total().total_cmp(&x.total())).then(a.cmp(b))
        });
        for (model, demand) in wanted {
            let wanted = self.wanted_replicas(&demand);
            if self.replicas(&model, wanted) < wanted {
                self.load_on_demand(&model, &demand);
            }
        }
    }

    pub(super) fn wanted_replicas(&self, demand: &Demand) -> usize {
        if demand.total() < 0.05 {
            return 0;
        }
        (demand.total() / self.settings.batch_size).ceil().max(1.0) as usize
    }

    /// Returns the number of loaded, loading and ordered replicas of `model`, with those in the
    /// ledger counted up to `most`.
    pub(super) fn replicas(&self, model: &ModelName, most: usize) -> usize {
        let holding = self.input.ledger.accounts_with(model);
        let loaded = holding.filter(|(name, account)| {
            let phase = account.charges.get(model).map(|charge| charge.phase);
            matches!(phase, Some(ModelPhase::Loading | ModelPhase::Loaded))
                && self.accepts_loads(name)
        });
        let ordered = self.orders.iter();
        loaded.take(most).count()
            + ordered.filter(|o| o.model == *model && o.kind == OrderKind::Load).count()
    }

    pub(super) fn accepts_loads(&self, upstream: &UpstreamName) -> bool {
        let known = self.input.config.upstreams.get(upstream);
        known.is_some_and(|u| !u.draining) && (self.input.reachable)(upstream)
    }

    pub(super) fn load_on_demand(&mut self, model: &ModelName, demand: &Demand) {
        let base = self.input.config.base_of(model).clone();
        if base != *model && self.replicas(&base, 1) == 0 {
            return self.load_on_demand(&base, demand);
        }
        if self.store_is_full(model) {
            return;
        }
        match self.fitting_host(model, &base) {
            Some(upstream) => self.order(&upstream, model, OrderKind::Load),
            None if self.settings.policy == PlacementPolicy::Static => {}
            None => self.make_room(model, &base, demand),
        }
    }

    /// Returns the upstreams that could load another replica of `model`: they accept loads, do not
    /// hold the model, and hold its base if the model is an adapter.
    pub(super) fn hosts<'b>(
        &'b self,
        model: &'b ModelName,
        base: &'b ModelName,
    ) -> impl Iterator<Item = (&'b UpstreamName, &'b MemoryAccount)> {
        self.input.ledger.accounts().filter(move |(name, account)| {
            let phase = account.charges.get(model).map(|charge| charge.phase);
            let base_phase = account.charges.get(base).map(|charge| charge.phase);
            let based = base == model || base_phase == Some(ModelPhase::Loaded);
            let absent = matches!(phase, None | Some(ModelPhase::MayReload));
            absent && based && self.accepts_loads(name) && account.incarnation.0 > 0
        })
    }

    pub(super) fn size(&self, model: &ModelName) -> u64 {
        self.input.config.models.get(model).map_or(u64::MAX, |m| m.size.0)
    }

    pub(super) fn ordered_bytes(&self, upstream: &UpstreamName) -> u64 {
        let loads = self.orders.iter().filter(|o| o.upstream == *upstream);
        loads.filter(|o| o.kind == OrderKind::Load).map(|o| o.size.0).sum()
    }

    pub(super) fn fitting_host(&self, model: &ModelName, base: &ModelName) -> Option<UpstreamName> {
        let size = self.size(model);
        let has_charge = |account: &MemoryAccount| account.charges.contains_key(model);
        let fitting = self.hosts(model, base).filter(|(name, account)| {
            has_charge(account)
                || account.free_memory().0.saturating_sub(self.ordered_bytes(name)) >= size
        });
        let best = fitting.max_by_key(|(_, account)| (has_charge(account), account.free_memory()));
        best.map(|(name, _)| name.clone())
    }

    pub(super) fn order(&mut self, upstream: &UpstreamName, model: &ModelName, kind: OrderKind) {
        let Some(account) = self.input.ledger.account(upstream) else {
            return;
        };
        let Some(size) = self.input.config.models.get(model).map(|m| m.size) else {
            return;
        };
        if kind == OrderKind::Load {
            self.count_load(model);
        }
        let (upstream, model) = (upstream.clone(), model.clone());
        self.orders.push(OrderIntent {
            upstream,
            incarnation: account.incarnation,
            kind,
            model,
            size,
        });
    }
}

/// Sums the demand for the adapters of each base model.
fn adapter_demand_by_base(input: &PlanInput<'_>) -> BTreeMap<ModelName, f32> {
    let mut sums = BTreeMap::new();
    for (model, demand) in input.demand {
        if let Some(base) = input.config.models.get(model).and_then(|m| m.base.clone()) {
            *sums.entry(base).or_insert(0.0) += demand.total();
        }
    }
    sums
}
