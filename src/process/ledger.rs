//! The ledger of accelerator memory.
//!
//! An order is admitted by replay only when the upstream's capacity holds everything that is
//! loaded, everything that may still become loaded, and the order's own model. A load is charged
//! from its intent on. An eviction frees memory only when it is resolved, which a process may
//! record only after a report that names the eviction's order as done.
//!
//! An upstream without fencing may run a load order again after an eviction, or one that was
//! meant for a former incarnation. There a model stays charged until an eviction is resolved that
//! was ordered after the last moment at which an earlier load could land.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::process::{Intent, IntentKind, Resolve, Restarted};
use crate::{ByteSize, Incarnation, ModelName, Offset, UpstreamName};

/// Time on the log's clock, from its intent on, for which an order to an upstream without fencing
/// may still land. No process sends it later than half of that.
pub const ORDER_LIFETIME_MS: u64 = 10 * 60 * 1000;

/// Where a model stands on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelPhase {
    /// A load was ordered.
    Loading,
    /// The load took effect.
    Loaded,
    /// An eviction was ordered.
    Evicting,
    /// The model should be gone, but a load order may land again.
    #[serde(rename = "ghost")]
    MayReload,
    /// An eviction was ordered after the last moment at which a load order could land.
    Purging,
}

impl ModelPhase {
    /// Whether an order is under way.
    pub fn in_progress(self) -> bool {
        matches!(self, ModelPhase::Loading | ModelPhase::Evicting | ModelPhase::Purging)
    }
}

/// A model on an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemoryCharge {
    /// Its memory.
    pub size: ByteSize,
    /// Where it stands.
    pub phase: ModelPhase,
    /// The order that is under way, or was last.
    pub order: Offset,
    /// Time of the last order on the log's clock, in milliseconds.
    pub time: u64,
}

/// One upstream's memory.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemoryAccount {
    /// The incarnation that the charges belong to.
    pub incarnation: Incarnation,
    /// Memory.
    pub capacity: ByteSize,
    /// Whether the upstream refuses orders with an old fencing number.
    pub fencing: bool,
    /// Models that are charged.
    pub charges: BTreeMap<ModelName, MemoryCharge>,
}

impl MemoryAccount {
    /// Memory that is charged.
    pub fn charged_memory(&self) -> ByteSize {
        ByteSize(self.charges.values().map(|charge| charge.size.0).sum())
    }

    /// Memory that is not charged.
    pub fn free_memory(&self) -> ByteSize {
        ByteSize(self.capacity.0.saturating_sub(self.charged_memory().0))
    }
}

/// The accounts of all upstreams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemoryLedger {
    accounts: BTreeMap<UpstreamName, MemoryAccount>,
    #[serde(skip)]
    by_model: BTreeMap<ModelName, BTreeSet<UpstreamName>>,
    #[serde(skip)]
    unsettled: BTreeSet<UpstreamName>,
}

impl MemoryLedger {
    /// The account of `upstream`.
    pub fn account(&self, upstream: &UpstreamName) -> Option<&MemoryAccount> {
        self.accounts.get(upstream)
    }

    /// All accounts.
    pub fn accounts(&self) -> impl Iterator<Item = (&UpstreamName, &MemoryAccount)> {
        self.accounts.iter()
    }

    /// The accounts on which `model` is charged.
    pub fn accounts_with<'a>(
        &'a self,
        model: &ModelName,
    ) -> impl Iterator<Item = (&'a UpstreamName, &'a MemoryAccount)> {
        let names = self.by_model.get(model).into_iter().flatten();
        names.filter_map(|name| self.accounts.get_key_value(name))
    }

    /// The accounts with a charge that is not simply loaded.
    pub fn unsettled_accounts(&self) -> impl Iterator<Item = (&UpstreamName, &MemoryAccount)> {
        self.unsettled.iter().filter_map(|name| self.accounts.get_key_value(name))
    }

    fn update_unsettled(&mut self, upstream: &UpstreamName) {
        let charges = self.accounts.get(upstream).map(|account| account.charges.values());
        let settled = charges.into_iter().flatten().all(|c| c.phase == ModelPhase::Loaded);
        match settled {
            true => self.unsettled.remove(upstream),
            false => self.unsettled.insert(upstream.clone()),
        };
    }

    /// Derives the indexes from the accounts.
    pub(crate) fn rebuild_indexes(&mut self) {
        self.by_model.clear();
        let names: Vec<UpstreamName> = self.accounts.keys().cloned().collect();
        names.iter().for_each(|name| self.update_unsettled(name));
        for (upstream, account) in &self.accounts {
            for model in account.charges.keys() {
                self.by_model.entry(model.clone()).or_default().insert(upstream.clone());
            }
        }
    }

    /// Sets an upstream's capacity from the configuration.
    pub(crate) fn set_capacity(
        &mut self,
        upstream: &UpstreamName,
        capacity: ByteSize,
        fencing: bool,
    ) {
        let account = self.accounts.entry(upstream.clone()).or_default();
        account.capacity = capacity;
        account.fencing = fencing;
    }

    /// Admits an intent, or returns why it is void.
    pub(crate) fn admit(
        &mut self,
        intent: &Intent,
        offset: Offset,
        time: u64,
    ) -> Result<(), &'static str> {
        let account = self.accounts.get_mut(&intent.upstream).ok_or("upstream does not exist")?;
        if account.incarnation != intent.incarnation {
            return Err("upstream runs with another incarnation");
        }
        match intent.kind {
            IntentKind::Load => admit_load(account, intent, offset, time)?,
            IntentKind::Evict => admit_evict(account, intent, offset, time)?,
        }
        let holders = self.by_model.entry(intent.model.clone()).or_default();
        holders.insert(intent.upstream.clone());
        self.update_unsettled(&intent.upstream);
        Ok(())
    }

    /// Ends an order: a load becomes loaded, an eviction frees its memory.
    pub(crate) fn resolve(&mut self, resolve: &Resolve, time: u64) {
        let Some(account) = self.accounts.get_mut(&resolve.upstream) else {
            return;
        };
        if account.incarnation != resolve.incarnation {
            return;
        }
        let fencing = account.fencing;
        let mut gone = None;
        for (model, charge) in &mut account.charges {
            if charge.order != resolve.order {
                continue;
            }
            match charge.phase {
                ModelPhase::Loading => charge.phase = ModelPhase::Loaded,
                ModelPhase::Evicting if fencing => gone = Some(model.clone()),
                ModelPhase::Purging => gone = Some(model.clone()),
                ModelPhase::Evicting => {
                    charge.phase = ModelPhase::MayReload;
                    charge.time = time;
                }
                ModelPhase::Loaded | ModelPhase::MayReload => {}
            }
        }
        if let Some(model) = gone {
            account.charges.remove(&model);
            if let Some(holders) = self.by_model.get_mut(&model) {
                holders.remove(&resolve.upstream);
            }
        }
        self.update_unsettled(&resolve.upstream);
    }

    /// An upstream restarted empty. Where it does not check fencing numbers, orders for the former
    /// incarnation may have landed since, or may still land, so all charges stay until purged.
    pub(crate) fn record_restart(&mut self, restarted: &Restarted) {
        let Some(account) = self.accounts.get_mut(&restarted.upstream) else {
            return;
        };
        if account.incarnation >= restarted.incarnation {
            return;
        }
        account.incarnation = restarted.incarnation;
        if account.fencing {
            for model in std::mem::take(&mut account.charges).into_keys() {
                if let Some(holders) = self.by_model.get_mut(&model) {
                    holders.remove(&restarted.upstream);
                }
            }
            self.unsettled.remove(&restarted.upstream);
            return;
        }
        for charge in account.charges.values_mut() {
            charge.phase = ModelPhase::MayReload;
        }
        self.update_unsettled(&restarted.upstream);
    }
}

fn admit_load(
    account: &mut MemoryAccount,
    intent: &Intent,
    offset: Offset,
    time: u64,
) -> Result<(), &'static str> {
    let ghost = account.charges.get(&intent.model).map(|charge| charge.phase);
    match ghost {
        Some(ModelPhase::MayReload) => {}
        Some(_) => return Err("model is charged already"),
        None if account.free_memory() < intent.size => return Err("memory is full"),
        None => {}
    }
    let charge =
        MemoryCharge { size: intent.size, phase: ModelPhase::Loading, order: offset, time };
    account.charges.insert(intent.model.clone(), charge);
    Ok(())
}

fn admit_evict(
    account: &mut MemoryAccount,
    intent: &Intent,
    offset: Offset,
    time: u64,
) -> Result<(), &'static str> {
    let fencing = account.fencing;
    let charge = account.charges.get_mut(&intent.model).ok_or("model is not loaded")?;
    let landed = time >= charge.time + ORDER_LIFETIME_MS;
    charge.phase = match charge.phase {
        ModelPhase::Loaded => ModelPhase::Evicting,
        // The eviction's higher fencing number shuts the load out.
        ModelPhase::Loading if fencing => ModelPhase::Evicting,
        ModelPhase::Loading | ModelPhase::MayReload if !fencing && landed => ModelPhase::Purging,
        _ => return Err("model is not loaded"),
    };
    charge.order = offset;
    charge.time = time;
    Ok(())
}
