//! The other processes of the fleet, known from their heartbeats.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carob_net::lock;
use carobglade::{
    Demand, Fleet, HashRing, Heartbeat, ModelName, ServingStatus, UpstreamName, VmRef,
};

/// The other processes of the fleet, known from their heartbeats.
#[derive(Default)]
pub struct FleetView(Mutex<Fleet>);

impl FleetView {
    /// Records a heartbeat and reports whether it was new.
    pub fn apply_heartbeat(&self, heartbeat: Heartbeat, relayed: bool, now: Duration) -> bool {
        lock(&self.0).apply_heartbeat(heartbeat, relayed, now)
    }

    /// Keeps only the processes in `members`.
    pub fn retain(&self, members: &[VmRef]) {
        lock(&self.0).retain(|vm| members.contains(vm));
    }

    /// Returns the recipients of the next heartbeat, and the heartbeats to relay to them.
    pub fn gossip(
        &self,
        members: &[VmRef],
        now: Duration,
        random: &mut dyn FnMut(usize) -> usize,
    ) -> (Vec<VmRef>, Vec<Heartbeat>) {
        lock(&self.0).gossip(members, now, random)
    }

    /// Reports whether a process is alive, that is, sent a recent heartbeat.
    pub fn is_alive(&self, vm: &VmRef, now: Duration) -> bool {
        lock(&self.0).is_alive(vm, now)
    }

    /// Returns the last heartbeat of each process that is alive.
    pub fn live_heartbeats(&self, now: Duration) -> Vec<Heartbeat> {
        lock(&self.0).live_heartbeats(now).cloned().collect()
    }

    /// Returns the number of other processes that are alive.
    pub fn live_count(&self, now: Duration) -> usize {
        lock(&self.0).live_heartbeats(now).count()
    }

    /// Reports whether a live process announces that `upstream` is unresponsive.
    pub fn reports_down(&self, upstream: &UpstreamName, now: Duration) -> bool {
        lock(&self.0).live_heartbeats(now).any(|heartbeat| heartbeat.down.contains(upstream))
    }

    /// Returns the requests that the other processes run on each upstream.
    pub fn upstream_loads(&self, now: Duration) -> BTreeMap<UpstreamName, u32> {
        lock(&self.0).upstream_loads(now)
    }

    /// Returns the demand of the other processes for each model.
    pub fn model_demand(&self, now: Duration) -> BTreeMap<ModelName, Demand> {
        lock(&self.0).model_demand(now)
    }

    /// Returns the hash ring that assigns duties to processes.
    pub fn ring(&self, me: &VmRef, now: Duration) -> Arc<HashRing> {
        lock(&self.0).ring(me, now)
    }

    /// Reports whether `me` owns a duty.
    pub fn owns_duty(&self, duty: &str, me: &VmRef, now: Duration) -> bool {
        lock(&self.0).owns_duty(duty, me, now)
    }

    /// Returns the live process that read the log most recently; `None` if none read it recently.
    pub fn freshest_reader(&self, now: Duration) -> Option<VmRef> {
        lock(&self.0).freshest_reader(now).cloned()
    }

    /// Returns whether requests may be served, by the `age` of the last read of the log and the
    /// other members.
    pub fn serving_status(&self, age: Duration, others: &[VmRef], now: Duration) -> ServingStatus {
        lock(&self.0).serving_status(age, others, now)
    }
}
