//! Which models are loaded where.
//!
//! The planner proposes orders; the [`Ledger`] admits them in the order of the log. So two
//! planners at once can waste an order, but never overcommit memory.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::process::ledger::{Account, Ledger, ORDER_LIFETIME_MS, Phase};
use crate::process::{Intent, IntentKind};
use crate::version::Config;
use crate::{ModelName, UpstreamName};

/// Cost of an eviction that frees its memory only after the lifetime of an order.
const UNFENCED_COST: f32 = 1e6;

const COPIES_COUNTED: usize = 64; // for the worth of one copy

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
    pub loads: usize,
    /// Adapters that the store serves at once.
    pub adapters: usize,
    /// Requests that one loaded model runs well.
    pub batch: f32,
    /// Milliseconds that a loaded model stays at least.
    pub residency: u64,
    /// A victim with demand yields only to this many times its demand.
    pub advantage: f32,
    /// Milliseconds after which a waiting request takes a victim whatever its demand.
    pub patience: u32,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        PlacementSettings {
            policy: PlacementPolicy::Demand,
            loads: 2,
            adapters: 16,
            batch: 12.0,
            residency: 5_000,
            advantage: 2.0,
            patience: 2_000,
        }
    }
}

/// What the planner looks at.
#[derive(Clone, Copy)]
pub struct PlanInput<'a> {
    /// The configuration in force.
    pub config: &'a Config,
    /// The ledger.
    pub ledger: &'a Ledger,
    /// Demand of the whole fleet.
    pub demand: &'a BTreeMap<ModelName, Demand>,
    /// When each model was last asked for, in milliseconds on the log's clock.
    pub used: &'a BTreeMap<ModelName, u64>,
    /// Upstreams that answer.
    pub reachable: &'a dyn Fn(&UpstreamName) -> bool,
    /// Now, in milliseconds on the log's clock.
    pub time: u64,
}

/// Proposes the next orders.
pub fn plan(input: &PlanInput<'_>, settings: &PlacementSettings) -> Vec<Intent> {
    let mut planner = Planner {
        input,
        settings,
        orders: Vec::new(),
        loads: 0,
        adapters: 0,
        making_room: 0,
        on_base: demand_on_base(input),
    };
    planner.count_loads();
    planner.purge();
    planner.place_wanted();
    planner.orders
}

/// Demand of all adapters of each model.
fn demand_on_base(input: &PlanInput<'_>) -> BTreeMap<ModelName, f32> {
    let mut sums = BTreeMap::new();
    for (model, demand) in input.demand {
        if let Some(base) = input.config.models.get(model).and_then(|m| m.base.clone()) {
            *sums.entry(base).or_insert(0.0) += demand.total();
        }
    }
    sums
}

/// Models that are evicted together.
struct Group {
    names: Vec<ModelName>,
    size: u64,
    worth: f32,
}

impl Group {
    /// Worth of a byte.
    fn density(&self) -> f32 {
        self.worth / self.size.max(1) as f32
    }
}

/// Whether a charge in this phase will be gone some time.
fn frees(account: &Account, phase: Phase) -> bool {
    match phase {
        Phase::Purging | Phase::Evicting => true,
        Phase::Ghost => !account.fencing,
        Phase::Loading | Phase::Loaded => false,
    }
}

struct Planner<'a> {
    input: &'a PlanInput<'a>,
    settings: &'a PlacementSettings,
    orders: Vec<Intent>,
    loads: usize,
    adapters: usize,
    making_room: usize,
    on_base: BTreeMap<ModelName, f32>,
}

impl Planner<'_> {
    fn is_adapter(&self, model: &ModelName) -> bool {
        self.input.config.models.get(model).is_some_and(|m| m.base.is_some())
    }

    fn count_loads(&mut self) {
        for (_, account) in self.input.ledger.unsettled() {
            for (model, charge) in &account.charges {
                if charge.phase == Phase::Loading {
                    self.note_load(model);
                }
            }
        }
    }

    /// Orders the evictions that free what may have come back to upstreams without fencing.
    fn purge(&mut self) {
        let time = self.input.time;
        let due: Vec<(UpstreamName, ModelName)> = self
            .input
            .ledger
            .unsettled()
            .filter(|(name, account)| !account.fencing && (self.input.reachable)(name))
            .flat_map(|(name, account)| {
                let old = account.charges.iter().filter(move |(_, charge)| {
                    let landed = time >= charge.time + ORDER_LIFETIME_MS;
                    landed && matches!(charge.phase, Phase::Ghost | Phase::Loading)
                });
                old.map(|(model, _)| (name.clone(), model.clone()))
            })
            .collect();
        for (upstream, model) in due {
            self.order(&upstream, &model, IntentKind::Evict);
        }
    }

    fn note_load(&mut self, model: &ModelName) {
        match self.is_adapter(model) {
            true => self.adapters += 1,
            false => self.loads += 1,
        }
    }

    fn store_busy(&self, model: &ModelName) -> bool {
        match self.is_adapter(model) {
            true => self.adapters >= self.settings.adapters,
            false => self.loads >= self.settings.loads,
        }
    }

    fn demand(&self, model: &ModelName) -> Demand {
        self.input.demand.get(model).copied().unwrap_or_default()
    }

    /// Demand for a model and, for a base, for the adapters on it.
    fn whole_demand(&self, model: &ModelName) -> f32 {
        self.demand(model).total() + self.on_base.get(model).copied().unwrap_or(0.0)
    }

    /// Models by need: those that requests wait for first, the longest wait before others; then
    /// loaded ones whose demand is more than their copies run well.
    fn place_wanted(&mut self) {
        let mut wanted: Vec<(ModelName, Demand)> =
            self.input.demand.iter().map(|(model, demand)| (model.clone(), *demand)).collect();
        wanted.retain(|(model, _)| self.input.config.models.contains_key(model));
        wanted.sort_by(|(a, x), (b, y)| {
            y.oldest.cmp(&x.oldest).then(y.total().total_cmp(&x.total())).then(a.cmp(b))
        });
        for (model, demand) in wanted {
            let wanted = self.wanted_copies(&demand);
            if self.copies(&model, wanted) < wanted {
                self.bring(&model, &demand);
            }
        }
    }

    fn wanted_copies(&self, demand: &Demand) -> usize {
        if demand.total() < 0.05 {
            return 0;
        }
        (demand.total() / self.settings.batch).ceil().max(1.0) as usize
    }

    /// Copies of `model`, counted up to `most`.
    fn copies(&self, model: &ModelName, most: usize) -> usize {
        let holding = self.input.ledger.holding(model);
        let loaded = holding.filter(|(name, account)| {
            let phase = account.charges.get(model).map(|charge| charge.phase);
            matches!(phase, Some(Phase::Loading | Phase::Loaded)) && self.takes_new(name)
        });
        let ordered = self.orders.iter();
        loaded.take(most).count()
            + ordered.filter(|o| o.model == *model && o.kind == IntentKind::Load).count()
    }

    fn takes_new(&self, upstream: &UpstreamName) -> bool {
        let known = self.input.config.upstreams.get(upstream);
        known.is_some_and(|u| !u.leaving) && (self.input.reachable)(upstream)
    }

    fn bring(&mut self, model: &ModelName, demand: &Demand) {
        let base = self.input.config.base_of(model).clone();
        if base != *model && self.copies(&base, 1) == 0 {
            return self.bring(&base, demand);
        }
        if self.store_busy(model) {
            return;
        }
        match self.roomy(model, &base) {
            Some(upstream) => self.order(&upstream, model, IntentKind::Load),
            None if self.settings.policy == PlacementPolicy::Static => {}
            None if self.making_room >= self.settings.loads => {}
            None => self.make_room(model, &base, demand),
        }
    }

    /// Upstreams that could run another copy of `model`.
    fn hosts<'a>(
        &'a self,
        model: &'a ModelName,
        base: &'a ModelName,
    ) -> impl Iterator<Item = (&'a UpstreamName, &'a Account)> {
        self.input.ledger.accounts().filter(move |(name, account)| {
            let phase = account.charges.get(model).map(|charge| charge.phase);
            let base_phase = account.charges.get(base).map(|charge| charge.phase);
            let based = base == model || base_phase == Some(Phase::Loaded);
            let absent = matches!(phase, None | Some(Phase::Ghost));
            absent && based && self.takes_new(name) && account.incarnation.0 > 0
        })
    }

    fn size(&self, model: &ModelName) -> u64 {
        self.input.config.models.get(model).map_or(u64::MAX, |m| m.size.0)
    }

    fn ordered_on(&self, upstream: &UpstreamName) -> u64 {
        let loads = self.orders.iter().filter(|o| o.upstream == *upstream);
        loads.filter(|o| o.kind == IntentKind::Load).map(|o| o.size.0).sum()
    }

    fn roomy(&self, model: &ModelName, base: &ModelName) -> Option<UpstreamName> {
        let size = self.size(model);
        let ghost = |account: &Account| account.charges.contains_key(model);
        let fitting = self.hosts(model, base).filter(|(name, account)| {
            ghost(account) || account.free().0.saturating_sub(self.ordered_on(name)) >= size
        });
        let best = fitting.max_by_key(|(_, account)| (ghost(account), account.free()));
        best.map(|(name, _)| name.clone())
    }

    /// Orders the evictions on the upstream where they cost the least.
    fn make_room(&mut self, model: &ModelName, base: &ModelName, demand: &Demand) {
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
            self.order(&upstream, &victim, IntentKind::Evict);
        }
    }

    /// The cheapest models to evict from `account` for `size` bytes, and what they cost. A base
    /// goes together with its adapters.
    fn victims(
        &self,
        account: &Account,
        base: &ModelName,
        size: u64,
        demand: &Demand,
    ) -> Option<(f32, Vec<ModelName>)> {
        let coming = account.charges.values().filter(|c| frees(account, c.phase));
        let mut room = account.free().0 + coming.map(|charge| charge.size.0).sum::<u64>();
        let mut groups: Vec<Group> = account
            .charges
            .iter()
            .filter(|(name, charge)| charge.phase == Phase::Loaded && *name != base)
            .filter(|(name, charge)| self.may_evict(name, charge.time, demand))
            .map(|(name, _)| self.group(account, name))
            .collect();
        groups.sort_by(|a, b| a.density().total_cmp(&b.density()).then(a.names.cmp(&b.names)));
        let slow = if account.fencing { 0.0 } else { UNFENCED_COST };
        let mut taken: Vec<Group> = Vec::new();
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
        let cost = slow + taken.iter().map(|group| group.worth).sum::<f32>();
        Some((cost, taken.into_iter().flat_map(|group| group.names).collect()))
    }

    /// A model with the adapters that are loaded on it.
    fn group(&self, account: &Account, model: &ModelName) -> Group {
        let on_model = account.charges.iter().filter(|(name, charge)| {
            let base = self.input.config.models.get(*name).and_then(|m| m.base.as_ref());
            charge.phase == Phase::Loaded && base == Some(model)
        });
        let mut names = vec![model.clone()];
        names.extend(on_model.map(|(name, _)| name.clone()));
        let size = names.iter().filter_map(|name| account.charges.get(name)).map(|c| c.size.0);
        Group { size: size.sum(), worth: self.worth(model), names }
    }

    fn worth(&self, model: &ModelName) -> f32 {
        if self.settings.policy == PlacementPolicy::LeastRecent {
            return self.input.used.get(model).copied().unwrap_or(0) as f32;
        }
        let copies = self.copies(model, COPIES_COUNTED).max(1) as f32;
        self.whole_demand(model) / copies
    }

    /// A model goes when nobody asks for it, when its other copies carry its demand, or when the
    /// newcomer has much more demand or has waited long. A young copy stays in any case, so that
    /// two models do not evict each other in turns.
    fn may_evict(&self, model: &ModelName, loaded: u64, newcomer: &Demand) -> bool {
        if self.settings.policy == PlacementPolicy::LeastRecent {
            return true;
        }
        if self.input.time.saturating_sub(loaded) < self.settings.residency {
            return false;
        }
        let own = self.worth(model);
        own < 0.05
            || newcomer.total() > own * self.settings.advantage
            || newcomer.oldest > self.settings.patience
    }

    fn order(&mut self, upstream: &UpstreamName, model: &ModelName, kind: IntentKind) {
        let Some(account) = self.input.ledger.account(upstream) else {
            return;
        };
        let Some(size) = self.input.config.models.get(model).map(|m| m.size) else {
            return;
        };
        if kind == IntentKind::Load {
            self.note_load(model);
        }
        let (upstream, model) = (upstream.clone(), model.clone());
        self.orders.push(Intent { upstream, incarnation: account.incarnation, kind, model, size });
    }
}
