//! What vms tell each other of the work of requests.

use carobglade::{VmName, WorkReport, WorkTimes};
use serde::{Deserialize, Serialize};

use super::sender_role::SenderRole;
use crate::edge::Edge;

/// Times of requests: name hash, observed and nominal milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireTimes(pub u32, pub u32, pub u32);

/// Costs of models and slowness of upstreams, as sums of times.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireWork {
    /// Times of prompts, by hash of service and model.
    pub models: Vec<WireTimes>,
    /// Times to the first event, by hash of the upstream.
    pub upstreams: Vec<WireTimes>,
}

impl WireWork {
    /// Returns what this vm tells in the role `sender`.
    pub fn new(edge: &Edge, sender: SenderRole) -> Self {
        let work = edge.work.borrow();
        if sender != SenderRole::Hub {
            return work.report(|_| false).into();
        }
        let members = edge.hubs.borrow().members(edge.now());
        work.report(|vm| members.contains(vm)).into()
    }

    /// Returns what a hub tells its member `vm`.
    pub fn for_member(edge: &Edge, vm: &VmName) -> Self {
        edge.work.borrow().excluding_vm(vm).into()
    }
}

impl From<WorkReport> for WireWork {
    fn from(report: WorkReport) -> Self {
        let wire = |(name, times): (u32, WorkTimes)| WireTimes(name, times.observed, times.nominal);
        WireWork {
            models: report.models.into_iter().map(wire).collect(),
            upstreams: report.upstreams.into_iter().map(wire).collect(),
        }
    }
}

impl From<&WireWork> for WorkReport {
    fn from(work: &WireWork) -> Self {
        let times = |wire: &WireTimes| {
            let WireTimes(name, observed, nominal) = *wire;
            (name, WorkTimes { observed, nominal })
        };
        WorkReport {
            models: work.models.iter().map(times).collect(),
            upstreams: work.upstreams.iter().map(times).collect(),
        }
    }
}
