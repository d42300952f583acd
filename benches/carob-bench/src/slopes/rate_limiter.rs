//! Time that the limiter of `carob-edge` takes for a request and for a report of a peer.

use std::time::Duration;

use carobglade::{
    Incarnation, RateLimiter, RateLimiterSettings, ReporterState, TenantName, TenantUsage, Tokens,
    VmName,
};

use super::fastest_micros;
use crate::report::Report;

/// Vms and tenants of the measured fleets.
const SIZES: [(usize, usize); 3] = [(9, 5), (295, 40), (1_100, 200)];
const REQUESTS: usize = 1_000;
const STEP: Duration = Duration::from_micros(50);

/// Measures requests in fleets whose peers report in turn.
pub fn run(report: &mut Report) {
    for (vms, tenants) in SIZES {
        let mut fleet = Fleet::new(vms, tenants);
        let request = fastest_micros(REQUESTS, || (0..REQUESTS).for_each(|i| fleet.request(i)));
        let reported = fastest_micros(REQUESTS, || (0..REQUESTS).for_each(|i| fleet.report(i)));
        let note = format!("{vms} vms, {tenants} tenants");
        report.add(&format!("limiter.request_time_{vms}"), request, "us", &note);
        report.add(&format!("limiter.report_time_{vms}"), reported, "us", &note);
    }
}

struct Fleet {
    limiter: RateLimiter,
    peers: Vec<VmName>,
    usages: Vec<TenantUsage>,
    now: Duration,
}

impl Fleet {
    fn new(vms: usize, tenants: usize) -> Self {
        let now = Duration::ZERO;
        let mut limiter = RateLimiter::new(RateLimiterSettings::default(), true, now);
        limiter.set_fleet_size(vms, now);
        let name = |i| -> TenantName { format!("tenant-{i}").parse().unwrap_or_default() };
        let usages = (0..tenants).map(|i| TenantUsage { tenant: name(i), total: 0, level: 0 });
        let usages: Vec<TenantUsage> = usages.collect();
        usages.iter().for_each(|usage| limiter.set_limits(&usage.tenant, 1 << 30, 1 << 30));
        let peers = (1..vms).map(|i| format!("vm-{i}").parse().unwrap_or_default()).collect();
        let mut fleet = Fleet { limiter, peers, usages, now };
        (0..vms).for_each(|i| fleet.report(i));
        fleet
    }

    fn request(&mut self, i: usize) {
        self.now += STEP;
        let tenant = &self.usages[i % self.usages.len()].tenant;
        let _ = self.limiter.admit(tenant, Tokens(1), self.now);
    }

    fn report(&mut self, i: usize) {
        self.now += STEP;
        let vm = &self.peers[i % self.peers.len()];
        let state = ReporterState::Settled;
        self.limiter.apply_report(vm, Incarnation(1), &self.usages, state, self.now);
    }
}
