//! Which process holds which share of the tenants' rate and burst.
//!
//! The tenants are spread over groups, and each group is cut into slots. A process that holds a
//! slot owns that part of the rate and burst of every tenant of the group. A slot changes hands
//! only through the log: its holder gives it up, its lease ends, its vm starts a later
//! incarnation, or an operator states that the holder is gone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::process::{SlotChange, VmRef};
use crate::version::Grant;
use crate::{Offset, TenantName, Tokens};

/// Slots of one group.
pub const SLOTS_PER_GROUP: u16 = 8;

const GROUPS: u16 = 64;

/// Slots in all.
pub const SLOTS: u16 = GROUPS * SLOTS_PER_GROUP;

/// Time on the log's clock after which an unrenewed slot is free.
pub const SLOT_LEASE: Duration = Duration::from_secs(2 * 3600);

/// The slots that share the rate and burst of `tenant`.
pub fn tenant_slots(tenant: &TenantName) -> std::ops::Range<u16> {
    let group = (xxh3_64(tenant.as_str().as_bytes()) % u64::from(GROUPS)) as u16;
    group * SLOTS_PER_GROUP..(group + 1) * SLOTS_PER_GROUP
}

/// The holder of a slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotHolder {
    /// The process.
    pub vm: VmRef,
    /// The entry with which it took the slot.
    pub taken: Offset,
    /// Unspent tokens that came with the slot.
    pub levels: BTreeMap<TenantName, u64>,
    /// Whether nobody held the slot before, so that none of its tokens can be spent.
    pub unused: bool,
}

impl SlotHolder {
    /// The tokens of `tenant` that come with the slot: all of the slot's burst when nobody can have
    /// spent them, or what the former holder left.
    ///
    /// A tenant that was `recreated` while the slot was held starts empty, since the tokens of the
    /// former one may have been spent.
    pub fn initial_tokens(&self, tenant: &TenantName, grant: &Grant, recreated: bool) -> Tokens {
        let all = Tokens(grant.burst.0 / u64::from(SLOTS_PER_GROUP));
        let created_since = grant.created > self.taken;
        match (created_since, recreated) {
            (true, true) => Tokens(0),
            (true, false) => all,
            (false, _) if self.unused => all,
            (false, _) => Tokens(self.levels.get(tenant).copied().unwrap_or(0)),
        }
    }
}

/// The holders of all slots.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SlotTable {
    held: BTreeMap<u16, SlotHolder>,
    #[serde(rename = "left")]
    released: BTreeMap<u16, BTreeMap<TenantName, u64>>,
    renewed: BTreeMap<String, u64>,
    used: BTreeSet<u16>,
}

impl SlotTable {
    /// The holder of `slot`.
    pub fn holder(&self, slot: u16) -> Option<&SlotHolder> {
        self.held.get(&slot)
    }

    /// The slots that `vm` holds.
    pub fn held_by<'a>(&'a self, vm: &'a VmRef) -> impl Iterator<Item = (u16, &'a SlotHolder)> {
        self.held
            .iter()
            .filter(|(_, holder)| holder.vm == *vm)
            .map(|(slot, holder)| (*slot, holder))
    }

    /// Number of slots that are held.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// The slots that `vm` could take at `time`, in milliseconds on the log's clock.
    pub fn available_to(&self, vm: &VmRef, time: u64) -> Vec<u16> {
        (0..SLOTS).filter(|slot| self.is_free(*slot, vm, time)).collect()
    }

    /// Slots that are not held by any process in `alive`.
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

    pub(crate) fn take(&mut self, take: &SlotChange, offset: Offset, time: u64) {
        for slot in &take.slots {
            if *slot >= SLOTS || !self.is_free(*slot, &take.vm, time) {
                continue;
            }
            let levels = self.released.remove(slot).unwrap_or_default();
            let unused = self.used.insert(*slot);
            let holder = SlotHolder { vm: take.vm.clone(), taken: offset, levels, unused };
            self.held.insert(*slot, holder);
        }
        self.renew(&take.vm, time);
    }

    pub(crate) fn release(&mut self, give: &SlotChange) {
        let mine = |slot: &&u16| self.held.get(*slot).is_some_and(|holder| holder.vm == give.vm);
        let slots: Vec<u16> = give.slots.iter().filter(mine).copied().collect();
        for slot in &slots {
            self.held.remove(slot);
        }
        for (tenant, level) in &give.levels {
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
