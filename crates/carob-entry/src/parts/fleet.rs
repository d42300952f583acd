//! The other processes, by their heartbeats.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carob_net::lock;
use carobglade::{
    Demand, Fleet, HashRing, Heartbeat, ModelName, ServingStatus, UpstreamName, VmRef,
};

/// The other processes, by their heartbeats.
#[derive(Default)]
pub struct FleetView(Mutex<Fleet>);

impl FleetView {
    /// Takes a heartbeat; returns whether it is newer than what was known.
    pub fn record_heartbeat(&self, heartbeat: Heartbeat, relayed: bool, now: Duration) -> bool {
        lock(&self.0).record_heartbeat(heartbeat, relayed, now)
    }

    /// Forgets all but `members`.
    pub fn retain(&self, members: &[VmRef]) {
        lock(&self.0).retain(|vm| members.contains(vm));
    }

    /// Whom to tell, and what was heard that is passed on.
    pub fn gossip(
        &self,
        members: &[VmRef],
        now: Duration,
        random: &mut dyn FnMut(usize) -> usize,
    ) -> (Vec<VmRef>, Vec<Heartbeat>) {
        lock(&self.0).gossip(members, now, random)
    }

    /// Whether a process was heard of lately.
    pub fn is_alive(&self, vm: &VmRef, now: Duration) -> bool {
        lock(&self.0).is_alive(vm, now)
    }

    /// The latest heartbeats of the processes that were heard of lately.
    pub fn live_heartbeats(&self, now: Duration) -> Vec<Heartbeat> {
        lock(&self.0).live_heartbeats(now).cloned().collect()
    }

    /// How many processes were heard of lately.
    pub fn live_count(&self, now: Duration) -> usize {
        lock(&self.0).live_heartbeats(now).count()
    }

    /// Whether a process in charge of `upstream` finds that it does not answer.
    pub fn reports_down(&self, upstream: &UpstreamName, now: Duration) -> bool {
        lock(&self.0).live_heartbeats(now).any(|heartbeat| heartbeat.down.contains(upstream))
    }

    /// Requests of the other processes on each upstream.
    pub fn upstream_loads(&self, now: Duration) -> BTreeMap<UpstreamName, u32> {
        lock(&self.0).upstream_loads(now)
    }

    /// What the other processes ask of each model.
    pub fn model_demand(&self, now: Duration) -> BTreeMap<ModelName, Demand> {
        lock(&self.0).model_demand(now)
    }

    /// Who is in charge of what.
    pub fn ring(&self, me: &VmRef, now: Duration) -> Arc<HashRing> {
        lock(&self.0).ring(me, now)
    }

    /// Whether `me` is in charge of a duty.
    pub fn owns_duty(&self, duty: &str, me: &VmRef, now: Duration) -> bool {
        lock(&self.0).owns_duty(duty, me, now)
    }

    /// A process that reads the log itself.
    pub fn freshest_reader(&self, now: Duration) -> Option<VmRef> {
        lock(&self.0).freshest_reader(now).cloned()
    }

    /// Whether requests may be served, by the age of what was read and the other members.
    pub fn serving_status(&self, age: Duration, others: &[VmRef], now: Duration) -> ServingStatus {
        lock(&self.0).serving_status(age, others, now)
    }
}
