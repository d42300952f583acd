//! Assignment of slots, the shares of the tenants' rate and burst, to processes.
//!
//! Tenants are hashed into groups, and each group is divided into slots. The holder of a slot owns
//! an equal share of the rate and burst of every tenant in the group. A slot changes its holder
//! only through the log: after the holder releases the slot, after its lease expires, when its vm
//! starts a later incarnation, or when an operator declares that the holder is gone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::process::{SlotChange, VmRef};
use crate::version::RateLimit;
use crate::{Offset, TenantName, Tokens};

/// Number of slots in a group.
pub const SLOTS_PER_GROUP: u16 = 8;

const GROUPS: u16 = 64;

/// Total number of slots.
pub const SLOTS: u16 = GROUPS * SLOTS_PER_GROUP;

/// Time on the log's clock after which a slot that was not renewed is free.
pub const SLOT_LEASE: Duration = Duration::from_secs(2 * 3600);

/// Returns the slots that share the rate and burst of `tenant`.
pub fn tenant_slots(tenant: &TenantName) -> std::ops::Range<u16> {
    let group = (xxh3_64(tenant.as_str().as_bytes()) % u64::from(GROUPS)) as u16;
    group * SLOTS_PER_GROUP..(group + 1) * SLOTS_PER_GROUP
}

/// Holder of a slot and the tokens that came with the slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotHolder {
    /// Process and its incarnation.
    pub vm: VmRef,
    /// Offset of the entry that acquired the slot.
    #[serde(rename = "taken")]
    pub acquired_at: Offset,
    /// Unspent tokens of each tenant that the former holder released with the slot.
    pub levels: BTreeMap<TenantName, u64>,
    /// Whether the slot never had a holder before, so that none of its tokens can be spent.
    pub unused: bool,
}

impl SlotHolder {
    /// Returns the tokens of `tenant` that come with the slot: the whole burst of the slot if
    /// nobody can have spent any of it, otherwise what the former holder released.
    ///
    /// A tenant that was `recreated` while the slot was held starts with no tokens, because those
    /// of the removed tenant of the same name may have been spent.
    pub fn initial_tokens(
        &self,
        tenant: &TenantName,
        rate_limit: &RateLimit,
        recreated: bool,
    ) -> Tokens {
        let all = Tokens(rate_limit.burst.0 / u64::from(SLOTS_PER_GROUP));
        let created_since = rate_limit.created > self.acquired_at;
        match (created_since, recreated) {
            (true, true) => Tokens(0),
            (true, false) => all,
            (false, _) if self.unused => all,
            (false, _) => Tokens(self.levels.get(tenant).copied().unwrap_or(0)),
        }
    }
}

/// Holders of all slots.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SlotTable {
    held: BTreeMap<u16, SlotHolder>,
    #[serde(rename = "left")]
    released: BTreeMap<u16, BTreeMap<TenantName, u64>>,
    renewed: BTreeMap<String, u64>,
    used: BTreeSet<u16>,
}

impl SlotTable {
    /// Returns the holder of `slot`; `None` if the slot has none.
    pub fn holder(&self, slot: u16) -> Option<&SlotHolder> {
        self.held.get(&slot)
    }

    /// Returns the slots that `vm` holds.
    pub fn held_by<'a>(&'a self, vm: &'a VmRef) -> impl Iterator<Item = (u16, &'a SlotHolder)> {
        self.held
            .iter()
            .filter(|(_, holder)| holder.vm == *vm)
            .map(|(slot, holder)| (*slot, holder))
    }

    /// Returns the number of slots that have a holder.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Returns the slots that `vm` may acquire at `time`, in milliseconds on the log's clock.
    pub fn available_to(&self, vm: &VmRef, time: u64) -> Vec<u16> {
        (0..SLOTS).filter(|slot| self.is_free(*slot, vm, time)).collect()
    }

    /// Returns the slots whose holder is not `alive`.
    pub fn orphaned_slots<'a>(
        &'a self,
        alive: impl Fn(&VmRef) -> bool + 'a,
    ) -> impl Iterator<Item = u16> + 'a {
        self.held.iter().filter(move |(_, holder)| !alive(&holder.vm)).map(|(slot, _)| *slot)
    }

    fn is_free(&self, slot: u16, vm: &VmRef, time: u64) -> bool {
        let Some(holder) = self.held.get(&slot) else {
            return true;
        };
        let successor = holder.vm.vm == vm.vm && holder.vm.incarnation < vm.incarnation;
        let renewed = self.renewed.get(&holder.vm.to_string()).copied().unwrap_or(0);
        successor || time >= renewed + SLOT_LEASE.as_millis() as u64
    }

    pub(crate) fn acquire(&mut self, change: &SlotChange, offset: Offset, time: u64) {
        for slot in &change.slots {
            if *slot >= SLOTS || !self.is_free(*slot, &change.vm, time) {
                continue;
            }
            let levels = self.released.remove(slot).unwrap_or_default();
            let unused = self.used.insert(*slot);
            let holder = SlotHolder { vm: change.vm.clone(), acquired_at: offset, levels, unused };
            self.held.insert(*slot, holder);
        }
        self.renew(&change.vm, time);
    }

    pub(crate) fn release(&mut self, change: &SlotChange) {
        let mine = |slot: &&u16| self.held.get(*slot).is_some_and(|holder| holder.vm == change.vm);
        let slots: Vec<u16> = change.slots.iter().filter(mine).copied().collect();
        for slot in &slots {
            self.held.remove(slot);
        }
        for (tenant, level) in &change.levels {
            let range = tenant_slots(tenant);
            let shares: Vec<u16> = slots.iter().filter(|s| range.contains(s)).copied().collect();
            let Some(part) = level.checked_div(shares.len() as u64) else {
                continue;
            };
            for slot in shares {
                self.released.entry(slot).or_default().insert(tenant.clone(), part);
            }
        }
    }

    pub(crate) fn renew(&mut self, vm: &VmRef, time: u64) {
        self.renewed.insert(vm.to_string(), time);
    }

    pub(crate) fn release_all(&mut self, vm: &VmRef) {
        self.held.retain(|_, holder| holder.vm != *vm);
        self.renewed.remove(&vm.to_string());
    }
}
