//! What vms tell of their tokens, on its way through hubs.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, ReporterState, TenantUsage, VmName};

/// What a vm tells of the tokens that it admitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The vm.
    pub vm: VmName,
    /// Its run.
    pub incarnation: Incarnation,
    /// What it knows of the tokens that others admitted.
    #[serde(rename = "teller")]
    pub reporter: ReporterState,
    /// Whether it stops.
    pub leaving: bool,
    /// The tenants' tokens.
    pub usage: Vec<TenantUsage>,
}

/// What a hub still has to pass on: the latest that each vm told.
#[derive(Clone, Debug, Default)]
pub struct UsageRelay {
    hubs: BTreeMap<VmName, UsageReport>,
    members: BTreeMap<VmName, UsageReport>,
}

impl UsageRelay {
    /// A vm of this data centre told its tokens.
    pub fn relay_to_all(&mut self, tokens: UsageReport) {
        self.hubs.insert(tokens.vm.clone(), tokens.clone());
        self.relay_to_members(tokens);
    }

    /// A vm of another data centre told its tokens.
    pub fn relay_to_members(&mut self, tokens: UsageReport) {
        self.members.insert(tokens.vm.clone(), tokens);
    }

    /// Takes what other hubs, and what members, have to be told.
    pub fn take(&mut self) -> (Vec<UsageReport>, Vec<UsageReport>) {
        let hubs = std::mem::take(&mut self.hubs);
        let members = std::mem::take(&mut self.members);
        (hubs.into_values().collect(), members.into_values().collect())
    }
}
