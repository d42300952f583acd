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
pub enum Phase {
    /// A load was ordered.
    Loading,
    /// The load took effect.
    Loaded,
    /// An eviction was ordered.
    Evicting,
    /// The model should be gone, but a load order may land again.
    Ghost,
    /// An eviction was ordered after the last moment at which a load order could land.
    Purging,
}

impl Phase {
    /// Whether an order is under way.
    pub fn under_way(self) -> bool {
        matches!(self, Phase::Loading | Phase::Evicting | Phase::Purging)
    }
}

/// A model on an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Charge {
    /// Its memory.
    pub size: ByteSize,
    /// Where it stands.
    pub phase: Phase,
    /// The order that is under way, or was last.
    pub order: Offset,
    /// Time of the last order on the log's clock, in milliseconds.
    pub time: u64,
}

/// One upstream's memory.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// The incarnation that the charges belong to.
    pub incarnation: Incarnation,
    /// Memory.
    pub capacity: ByteSize,
    /// Whether the upstream refuses orders with an old fencing number.
    pub fencing: bool,
    /// Models that are charged.
    pub charges: BTreeMap<ModelName, Charge>,
}

impl Account {
    /// Memory that is charged.
    pub fn charged(&self) -> ByteSize {
        ByteSize(self.charges.values().map(|charge| charge.size.0).sum())
    }

    /// Memory that is not charged.
    pub fn free(&self) -> ByteSize {
        ByteSize(self.capacity.0.saturating_sub(self.charged().0))
    }
}

/// The accounts of all upstreams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    accounts: BTreeMap<UpstreamName, Account>,
    #[serde(skip)]
    holders: BTreeMap<ModelName, BTreeSet<UpstreamName>>,
    #[serde(skip)]
    unsettled: BTreeSet<UpstreamName>,
}

impl Ledger {
    /// The account of `upstream`.
    pub fn account(&self, upstream: &UpstreamName) -> Option<&Account> {
        self.accounts.get(upstream)
    }

    /// All accounts.
    pub fn accounts(&self) -> impl Iterator<Item = (&UpstreamName, &Account)> {
        self.accounts.iter()
    }

    /// The accounts on which `model` is charged.
    pub fn holding<'a>(
        &'a self,
        model: &ModelName,
    ) -> impl Iterator<Item = (&'a UpstreamName, &'a Account)> {
        let names = self.holders.get(model).into_iter().flatten();
        names.filter_map(|name| self.accounts.get_key_value(name))
    }

    /// The accounts with a charge that is not simply loaded.
    pub fn unsettled(&self) -> impl Iterator<Item = (&UpstreamName, &Account)> {
        self.unsettled.iter().filter_map(|name| self.accounts.get_key_value(name))
    }

    fn note_settled(&mut self, upstream: &UpstreamName) {
        let charges = self.accounts.get(upstream).map(|account| account.charges.values());
        let settled = charges.into_iter().flatten().all(|c| c.phase == Phase::Loaded);
        match settled {
            true => self.unsettled.remove(upstream),
            false => self.unsettled.insert(upstream.clone()),
        };
    }

    /// Derives the indexes from the accounts.
    pub(crate) fn restore(&mut self) {
        self.holders.clear();
        let names: Vec<UpstreamName> = self.accounts.keys().cloned().collect();
        names.iter().for_each(|name| self.note_settled(name));
        for (upstream, account) in &self.accounts {
            for model in account.charges.keys() {
                self.holders.entry(model.clone()).or_default().insert(upstream.clone());
            }
        }
    }

    /// Sets an upstream's capacity from the configuration.
    pub(crate) fn configure(&mut self, upstream: &UpstreamName, capacity: ByteSize, fencing: bool) {
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
        let holders = self.holders.entry(intent.model.clone()).or_default();
        holders.insert(intent.upstream.clone());
        self.note_settled(&intent.upstream);
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
                Phase::Loading => charge.phase = Phase::Loaded,
                Phase::Evicting if fencing => gone = Some(model.clone()),
                Phase::Purging => gone = Some(model.clone()),
                Phase::Evicting => {
                    charge.phase = Phase::Ghost;
                    charge.time = time;
                }
                Phase::Loaded | Phase::Ghost => {}
            }
        }
        if let Some(model) = gone {
            account.charges.remove(&model);
            if let Some(holders) = self.holders.get_mut(&model) {
                holders.remove(&resolve.upstream);
            }
        }
        self.note_settled(&resolve.upstream);
    }

    /// An upstream restarted empty. Where it does not check fencing numbers, orders for the former
    /// incarnation may have landed since, or may still land, so all charges stay until purged.
    pub(crate) fn restarted(&mut self, restarted: &Restarted) {
        let Some(account) = self.accounts.get_mut(&restarted.upstream) else {
            return;
        };
        if account.incarnation >= restarted.incarnation {
            return;
        }
        account.incarnation = restarted.incarnation;
        if account.fencing {
            for model in std::mem::take(&mut account.charges).into_keys() {
                if let Some(holders) = self.holders.get_mut(&model) {
                    holders.remove(&restarted.upstream);
                }
            }
            self.unsettled.remove(&restarted.upstream);
            return;
        }
        for charge in account.charges.values_mut() {
            charge.phase = Phase::Ghost;
        }
        self.note_settled(&restarted.upstream);
    }
}

fn admit_load(
    account: &mut Account,
    intent: &Intent,
    offset: Offset,
    time: u64,
) -> Result<(), &'static str> {
    let ghost = account.charges.get(&intent.model).map(|charge| charge.phase);
    match ghost {
        Some(Phase::Ghost) => {}
        Some(_) => return Err("model is charged already"),
        None if account.free() < intent.size => return Err("memory is full"),
        None => {}
    }
    let charge = Charge { size: intent.size, phase: Phase::Loading, order: offset, time };
    account.charges.insert(intent.model.clone(), charge);
    Ok(())
}

fn admit_evict(
    account: &mut Account,
    intent: &Intent,
    offset: Offset,
    time: u64,
) -> Result<(), &'static str> {
    let fencing = account.fencing;
    let charge = account.charges.get_mut(&intent.model).ok_or("model is not loaded")?;
    let landed = time >= charge.time + ORDER_LIFETIME_MS;
    charge.phase = match charge.phase {
        Phase::Loaded => Phase::Evicting,
        // The eviction's higher fencing number shuts the load out.
        Phase::Loading if fencing => Phase::Evicting,
        Phase::Loading | Phase::Ghost if !fencing && landed => Phase::Purging,
        _ => return Err("model is not loaded"),
    };
    charge.order = offset;
    charge.time = time;
    Ok(())
}
