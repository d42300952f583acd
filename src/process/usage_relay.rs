//! Relay of the vms' token usage reports through hubs.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, ReporterState, TenantUsage, VmName};

/// Report of the tokens that a vm admitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Name of the reporting vm.
    pub vm: VmName,
    /// Incarnation of the vm's process.
    pub incarnation: Incarnation,
    /// What the vm knows of the tokens that others admitted.
    #[serde(rename = "teller")]
    pub reporter: ReporterState,
    /// Whether the vm is stopping and has no requests left.
    pub leaving: bool,
    /// Token usage of each tenant.
    pub usage: Vec<TenantUsage>,
}

/// Reports that a hub has yet to relay: the latest of each vm.
#[derive(Clone, Debug, Default)]
pub struct UsageRelay {
    hubs: BTreeMap<VmName, UsageReport>,
    members: BTreeMap<VmName, UsageReport>,
}

impl UsageRelay {
    /// Queues the report of a vm in this data centre for other hubs and for members.
    pub fn relay_to_all(&mut self, report: UsageReport) {
        self.hubs.insert(report.vm.clone(), report.clone());
        self.relay_to_members(report);
    }

    /// Queues the report of a vm in another data centre for members.
    pub fn relay_to_members(&mut self, report: UsageReport) {
        self.members.insert(report.vm.clone(), report);
    }

    /// Removes and returns the reports for other hubs and those for members.
    pub fn take(&mut self) -> (Vec<UsageReport>, Vec<UsageReport>) {
        let hubs = std::mem::take(&mut self.hubs);
        let members = std::mem::take(&mut self.members);
        (hubs.into_values().collect(), members.into_values().collect())
    }
}
