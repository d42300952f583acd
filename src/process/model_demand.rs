//! Demand for each model, in tokens a second, and which adapters streams wait for at one version of the
//! upstreams' software.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{AdapterId, DecayingRate};
use crate::{ModelName, SoftwareVersion, VmName};

/// How long the demand that another process reported counts.
const PEER_DEMAND_TTL: Duration = Duration::from_secs(3);

/// What a stream that waits for an adapter adds each time it looks for it, in tokens.
const ADAPTER_WAIT_TOKENS: f64 = 10.0;

/// Demand for the models of all services, in tokens a second: measured by this process and reported
/// by others.
#[derive(Clone, Debug, Default)]
pub struct ModelDemand {
    local: BTreeMap<(String, ModelName), DecayingRate>,
    /// Waits for adapters at a version, by hash. They are told like demand.
    adapter_waits: BTreeMap<u32, DecayingRate>,
    peers: BTreeMap<VmName, (Duration, BTreeMap<u32, u32>)>,
}

/// Returns the hash that stands for a model in messages between processes.
pub(super) fn model_hash(service: &str, model: &ModelName) -> u32 {
    super::load_tracker::name_hash(&format!("{service}\0{model}"))
}

fn adapter_hash(name: &AdapterId, version: &SoftwareVersion) -> u32 {
    let AdapterId { service, model, adapter } = name;
    super::load_tracker::name_hash(&format!("{service}\0{model}\0{adapter}\0{version}"))
}

impl ModelDemand {
    /// Records a request of `tokens` for a model.
    pub fn record_request(&mut self, service: &str, model: &ModelName, tokens: u64, now: Duration) {
        let key = (service.to_owned(), model.clone());
        self.local.entry(key).or_default().add(tokens as f64, now);
    }

    /// Records that a stream that can go on at one version alone waits for an adapter there.
    pub fn record_adapter_wait(
        &mut self,
        name: &AdapterId,
        version: &SoftwareVersion,
        now: Duration,
    ) {
        let waits = self.adapter_waits.entry(adapter_hash(name, version)).or_default();
        waits.add(ADAPTER_WAIT_TOKENS, now);
    }

    /// Reports whether streams of any process wait for an adapter at a version.
    pub fn awaits_adapter(
        &self,
        name: &AdapterId,
        version: &SoftwareVersion,
        now: Duration,
    ) -> bool {
        let key = adapter_hash(name, version);
        let waits = self.adapter_waits.get(&key);
        waits.is_some_and(|rate| rate.rate_at(now) >= 1.0) || self.peer_rate(key, now) > 0.0
    }

    /// Returns the demand measured by this process, by hash of service and model, with the waits for
    /// adapters. Drops what is below one token a second.
    pub fn local_rates(&mut self, now: Duration) -> BTreeMap<u32, u32> {
        self.local.retain(|_, rate| rate.rate_at(now) >= 1.0);
        self.adapter_waits.retain(|_, rate| rate.rate_at(now) >= 1.0);
        let rates = self
            .local
            .iter()
            .map(|((service, model), rate)| (model_hash(service, model), rate.rate_at(now) as u32));
        let waits = self.adapter_waits.iter().map(|(key, rate)| (*key, rate.rate_at(now) as u32));
        rates.chain(waits).collect()
    }

    /// Returns the summed demand of this process and of the vms that `vms` accepts.
    pub fn sum_over(&mut self, vms: impl Fn(&VmName) -> bool, now: Duration) -> BTreeMap<u32, u32> {
        let mut sum = self.local_rates(now);
        let fresh = |at: Duration| now.saturating_sub(at) < PEER_DEMAND_TTL;
        let counted = self.peers.iter().filter(|(vm, (at, _))| vms(vm) && fresh(*at));
        for (key, rate) in counted.flat_map(|(_, (_, rates))| rates) {
            let total = sum.entry(*key).or_default();
            *total = total.saturating_add(*rate);
        }
        sum
    }

    /// Returns `sum` less what `vm` reported, without the models that this leaves at zero.
    pub fn excluding_vm(&self, sum: &BTreeMap<u32, u32>, vm: &VmName) -> BTreeMap<u32, u32> {
        let mut rest = sum.clone();
        for (key, rate) in self.peers.get(vm).into_iter().flat_map(|(_, rates)| rates) {
            if let Some(left) = rest.get_mut(key) {
                *left = left.saturating_sub(*rate);
            }
        }
        rest.retain(|_, rate| *rate > 0);
        rest
    }

    /// Applies a peer's report of its demand, in place of the last one.
    pub fn apply_report(&mut self, vm: &VmName, rates: BTreeMap<u32, u32>, now: Duration) {
        self.peers.insert(vm.clone(), (now, rates));
    }

    /// Returns the demand of all processes for a model, in tokens a second.
    pub fn total_rate(&self, service: &str, model: &ModelName, now: Duration) -> f64 {
        let local = self.local.get(&(service.to_owned(), model.clone()));
        let from_peers = self.peer_rate(model_hash(service, model), now);
        local.map_or(0.0, |rate| rate.rate_at(now)) + from_peers
    }

    /// Returns the rate that other processes reported for a hash.
    fn peer_rate(&self, key: u32, now: Duration) -> f64 {
        let fresh = self.peers.values().filter(|(at, _)| now.saturating_sub(*at) < PEER_DEMAND_TTL);
        fresh.filter_map(|(_, rates)| rates.get(&key)).map(|r| f64::from(*r)).sum()
    }
}
