//! Ledger of accelerator memory.
//!
//! Replay admits a load order only if the upstream has capacity for every loaded model, every model
//! that may still become loaded, and the model to load. A load is charged from its intent on. An
//! eviction frees memory only when it is resolved, and a process may resolve it only after the
//! upstream has reported the eviction order as done.
//!
//! An upstream without fencing may execute a load order, even a second time, after a later
//! eviction, and may execute a load order that was meant for a former incarnation. On such
//! an upstream a model stays charged until an eviction is resolved that was ordered after every
//! earlier load order had expired.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::process::{OrderIntent, OrderKind, OrderResolution, UpstreamRestart};
use crate::{ByteSize, Incarnation, ModelName, Offset, UpstreamName};

/// Time on the log's clock, from the intent on, within which an order to an upstream without
/// fencing may be executed. No process sends an order after half of this time.
pub const ORDER_TTL_MS: u64 = 10 * 60 * 1000;

/// Lifecycle phase of a model on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelPhase {
    /// A load was ordered and is not resolved.
    Loading,
    /// The load has taken effect.
    Loaded,
    /// An eviction was ordered and is not resolved.
    Evicting,
    /// The model was evicted or lost in a restart, but an earlier load order may have loaded the
    /// model again or may still do so.
    #[serde(rename = "ghost")]
    MayReload,
    /// An eviction was ordered after all load orders had expired.
    Purging,
}

impl ModelPhase {
    /// Reports whether an order is in progress.
    pub fn is_in_progress(self) -> bool {
        matches!(self, ModelPhase::Loading | ModelPhase::Evicting | ModelPhase::Purging)
    }
}

/// Memory charged for a model on an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemoryCharge {
    /// Memory that the model occupies.
    pub size: ByteSize,
    /// Lifecycle phase of the model.
    pub phase: ModelPhase,
    /// Fencing token of the current or the last order.
    pub order: Offset,
    /// Time on the log's clock, in milliseconds, from which the order lifetime counts.
    #[serde(rename = "time")]
    pub time_ms: u64,
}

/// Memory account of one upstream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemoryAccount {
    /// Incarnation of the upstream to which the charges belong.
    pub incarnation: Incarnation,
    /// Accelerator memory of the upstream.
    pub capacity: ByteSize,
    /// Whether the upstream rejects orders with an outdated fencing token.
    pub fencing: bool,
    /// Charge of each model.
    pub charges: BTreeMap<ModelName, MemoryCharge>,
}

impl MemoryAccount {
    /// Returns the charged memory.
    pub fn charged_memory(&self) -> ByteSize {
        ByteSize(self.charges.values().map(|charge| charge.size.0).sum())
    }

    /// Returns the memory that is not charged.
    pub fn free_memory(&self) -> ByteSize {
        ByteSize(self.capacity.0.saturating_sub(self.charged_memory().0))
    }
}

/// Memory accounts of all upstreams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemoryLedger {
    accounts: BTreeMap<UpstreamName, MemoryAccount>,
    #[serde(skip)]
    by_model: BTreeMap<ModelName, BTreeSet<UpstreamName>>,
    #[serde(skip)]
    unsettled: BTreeSet<UpstreamName>,
}

impl MemoryLedger {
    /// Returns the account of `upstream`.
    pub fn account(&self, upstream: &UpstreamName) -> Option<&MemoryAccount> {
        self.accounts.get(upstream)
    }

    /// Returns all accounts.
    pub fn accounts(&self) -> impl Iterator<Item = (&UpstreamName, &MemoryAccount)> {
        self.accounts.iter()
    }

    /// Returns the accounts in which `model` is charged.
    pub fn accounts_with<'a>(
        &'a self,
        model: &ModelName,
    ) -> impl Iterator<Item = (&'a UpstreamName, &'a MemoryAccount)> {
        let names = self.by_model.get(model).into_iter().flatten();
        names.filter_map(|name| self.accounts.get_key_value(name))
    }

    /// Returns the accounts with a charge in any phase but `Loaded`.
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

    /// Rebuilds the indexes, which snapshots leave out, from the accounts.
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

    /// Sets the capacity and the fencing support of an upstream from the configuration.
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

    /// Charges an intent, or returns the reason for its rejection.
    pub(crate) fn admit(
        &mut self,
        intent: &OrderIntent,
        offset: Offset,
        time: u64,
    ) -> Result<(), &'static str> {
        let account = self.accounts.get_mut(&intent.upstream).ok_or("upstream does not exist")?;
        if account.incarnation != intent.incarnation {
            return Err("upstream runs with another incarnation");
        }
        match intent.kind {
            OrderKind::Load => admit_load(account, intent, offset, time)?,
            OrderKind::Evict => admit_evict(account, intent, offset, time)?,
        }
        let holders = self.by_model.entry(intent.model.clone()).or_default();
        holders.insert(intent.upstream.clone());
        self.update_unsettled(&intent.upstream);
        Ok(())
    }

    /// Completes an order: a load becomes `Loaded`, and an eviction frees memory. On an upstream
    /// without fencing an eviction becomes `MayReload` unless it was ordered after all load orders
    /// had expired.
    pub(crate) fn resolve(&mut self, resolution: &OrderResolution, time: u64) {
        let Some(account) = self.accounts.get_mut(&resolution.upstream) else {
            return;
        };
        if account.incarnation != resolution.incarnation {
            return;
        }
        let fencing = account.fencing;
        let mut gone = None;
        for (model, charge) in &mut account.charges {
            if charge.order != resolution.order {
                continue;
            }
            match charge.phase {
                ModelPhase::Loading => charge.phase = ModelPhase::Loaded,
                ModelPhase::Evicting if fencing => gone = Some(model.clone()),
                ModelPhase::Purging => gone = Some(model.clone()),
                ModelPhase::Evicting => {
                    charge.phase = ModelPhase::MayReload;
                    charge.time_ms = time;
                }
                ModelPhase::Loaded | ModelPhase::MayReload => {}
            }
        }
        if let Some(model) = gone {
            account.charges.remove(&model);
            if let Some(holders) = self.by_model.get_mut(&model) {
                holders.remove(&resolution.upstream);
            }
        }
        self.update_unsettled(&resolution.upstream);
    }

    /// Applies the restart of an upstream, which then holds no models. If the upstream does not
    /// check fencing tokens, orders for the former incarnation may have been executed since the
    /// restart or may still be executed, so every charge stays until its model is purged.
    pub(crate) fn apply_restart(&mut self, restart: &UpstreamRestart) {
        let Some(account) = self.accounts.get_mut(&restart.upstream) else {
            return;
        };
        if account.incarnation >= restart.incarnation {
            return;
        }
        account.incarnation = restart.incarnation;
        if account.fencing {
            for model in std::mem::take(&mut account.charges).into_keys() {
                if let Some(holders) = self.by_model.get_mut(&model) {
                    holders.remove(&restart.upstream);
                }
            }
            self.unsettled.remove(&restart.upstream);
            return;
        }
        for charge in account.charges.values_mut() {
            charge.phase = ModelPhase::MayReload;
        }
        self.update_unsettled(&restart.upstream);
    }
}

fn admit_load(
    account: &mut MemoryAccount,
    intent: &OrderIntent,
    offset: Offset,
    time: u64,
) -> Result<(), &'static str> {
    let phase = account.charges.get(&intent.model).map(|charge| charge.phase);
    match phase {
        Some(ModelPhase::MayReload) => {}
        Some(_) => return Err("model is charged already"),
        None if account.free_memory() < intent.size => return Err("memory is full"),
        None => {}
    }
    let charge = MemoryCharge {
        size: intent.size,
        phase: ModelPhase::Loading,
        order: offset,
        time_ms: time,
    };
    account.charges.insert(intent.model.clone(), charge);
    Ok(())
}

fn admit_evict(
    account: &mut MemoryAccount,
    intent: &OrderIntent,
    offset: Offset,
    time: u64,
) -> Result<(), &'static str> {
    let fencing = account.fencing;
    let charge = account.charges.get_mut(&intent.model).ok_or("model is not loaded")?;
    let loads_expired = time >= charge.time_ms + ORDER_TTL_MS;
    charge.phase = match charge.phase {
        ModelPhase::Loaded => ModelPhase::Evicting,
        // The higher fencing token of the eviction makes the upstream reject the load.
        ModelPhase::Loading if fencing => ModelPhase::Evicting,
        ModelPhase::Loading | ModelPhase::MayReload if !fencing && loads_expired => {
            ModelPhase::Purging
        }
        _ => return Err("model is not loaded"),
    };
    charge.order = offset;
    charge.time_ms = time;
    Ok(())
}
