//! What other vms say of the duties that they hold.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::units::VmName;

/// The duties of a vm, as it tells the other vms.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyClaim {
    /// The term that assigned the duties: the era of the log in the upper 32 bits, the group's
    /// generation in the lower ones.
    pub generation: u64,
    /// The duties for which the vm may give orders.
    pub duties: Vec<u32>,
    /// Time until the vm stops giving orders if nothing more is heard of it.
    #[serde(deserialize_with = "crate::deserialize_told_time")]
    pub remaining: Duration,
}

/// The last claim of each other vm.
#[derive(Clone, Debug, Default)]
pub(super) struct DutyClaims {
    vms: BTreeMap<VmName, KnownClaim>,
}

#[derive(Clone, Debug)]
struct KnownClaim {
    claim: DutyClaim,
    ends_at: Duration,
}

impl DutyClaims {
    /// Replaces the claim of a vm.
    pub(super) fn record(&mut self, vm: &VmName, claim: &DutyClaim, now: Duration) {
        self.vms.retain(|_, known| known.ends_at > now);
        let known = KnownClaim { claim: claim.clone(), ends_at: now + claim.remaining };
        self.vms.insert(vm.clone(), known);
    }

    /// Returns when the last vm stops giving orders for a duty that a term before `number` assigned to
    /// it; `None` if no vm claims that.
    pub(super) fn end(&self, duty: u32, number: u64) -> Option<Duration> {
        let is_older = |known: &&KnownClaim| {
            known.claim.generation < number && known.claim.duties.contains(&duty)
        };
        self.vms.values().filter(is_older).map(|known| known.ends_at).max()
    }
}
