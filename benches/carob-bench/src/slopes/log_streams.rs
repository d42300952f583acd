//! Control and claims streams of the log: replay time, memory of the state and sizes of records.

use carob_net::{Clock, SystemClock};

use super::{fastest_micros, resident_bytes};
use crate::config;
use crate::report::Report;
use carobglade::{
    Change, Claim, ClaimRef, ClaimState, ConfigChange, ControlState, Fingerprint, Incarnation,
    Join, LogEntry, Offset, OrderIntent, OrderKind, Record, SLOTS, SlotChange, StateMachine,
    UpstreamRestart, VmRef,
};

const MODELS: usize = 740;
const TENANTS: usize = 200;

fn vm(i: usize) -> VmRef {
    VmRef { vm: format!("vm-{i}").parse().unwrap_or_default(), incarnation: Incarnation(1) }
}

fn address(i: usize) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([10, (i >> 16) as u8, (i >> 8) as u8, i as u8], 9000))
}

/// Builds a control state by applying log entries.
pub struct StateBuilder {
    /// State after the entries applied so far.
    pub state: ControlState,
    last_offset: u64,
}

impl StateBuilder {
    fn append(&mut self, record: Record) {
        let entry = self.entry(record);
        self.state.apply(&entry);
    }

    /// Returns the next entry of the stream without applying it.
    pub fn entry(&mut self, record: Record) -> LogEntry {
        self.last_offset += 1;
        let (offset, time) = (Offset(self.last_offset), self.last_offset);
        LogEntry {
            offset,
            time_ms: time,
            id: format!("e{}", self.last_offset),
            records: vec![record],
        }
    }

    /// Builds a state with `vms` processes, and `upstreams` engines that hold eight models each.
    pub fn new(vms: usize, upstreams: usize) -> Self {
        let mut builder = StateBuilder { state: ControlState::default(), last_offset: 0 };
        let models: Vec<_> =
            (0..MODELS).map(|i| config::model(&format!("model-{i}"), "6GiB")).collect();
        let tenant_models = &models[..40];
        let tenants = (0..TENANTS)
            .map(|i| config::tenant(&format!("tenant-{i}"), 100_000, 400_000, tenant_models));
        let engines = (0..upstreams)
            .map(|i| config::engine(&format!("engine-{i}"), address(i), "64GiB", true));
        let changes = models.iter().cloned().map(Change::Model);
        let changes = changes.chain(tenants.map(Change::Tenant));
        let changes = changes.chain(engines.map(Change::Upstream)).collect();
        builder.append(Record::ConfigChange(ConfigChange { base: Offset(0), changes }));
        for i in 0..vms {
            let join = Join {
                vm: vm(i),
                data_centre: "rennes".parse().unwrap_or_default(),
                peer: address(i),
                admin: address(i),
            };
            builder.append(Record::Join(join));
        }
        let slots = (0..SLOTS).collect();
        builder.append(Record::SlotAcquire(SlotChange {
            vm: vm(0),
            slots,
            levels: Default::default(),
        }));
        for i in 0..upstreams {
            builder.load_models(i);
        }
        builder
    }

    fn load_models(&mut self, i: usize) {
        let upstream: carobglade::UpstreamName = format!("engine-{i}").parse().unwrap_or_default();
        let incarnation = Incarnation(1);
        let restarted = UpstreamRestart { upstream: upstream.clone(), incarnation };
        self.append(Record::UpstreamRestart(restarted));
        for k in 0..8 {
            let model = format!("model-{}", (i * 8 + k) % MODELS).parse().unwrap_or_default();
            let size = carobglade::ByteSize(6 << 30);
            let (upstream, kind) = (upstream.clone(), OrderKind::Load);
            self.append(Record::OrderIntent(OrderIntent {
                upstream,
                incarnation,
                kind,
                model,
                size,
            }));
            let (upstream, order) = (self.upstream_name(i), Offset(self.last_offset));
            self.append(Record::OrderResolution(carobglade::OrderResolution {
                upstream,
                incarnation,
                order,
            }));
        }
    }

    fn upstream_name(&self, i: usize) -> carobglade::UpstreamName {
        format!("engine-{i}").parse().unwrap_or_default()
    }

    /// Returns an entry that changes one tenant, without applying it.
    pub fn config_change(&mut self, i: u64) -> LogEntry {
        let models: Vec<_> =
            (0..40).map(|k| config::model(&format!("model-{k}"), "6GiB")).collect();
        let tenant = config::tenant("tenant-0", 100_000, 400_000 + i, &models);
        let base = self.state.version();
        let changes = vec![Change::Tenant(tenant)];
        self.entry(Record::ConfigChange(ConfigChange { base, changes }))
    }
}

/// Measures the control stream and the claims stream.
pub fn run(report: &mut Report) {
    let before = resident_bytes();
    let mut large = StateBuilder::new(1100, 10_000);
    let memory = (resident_bytes() - before) / 1e6;
    report.add(
        "control.memory",
        memory,
        "MB",
        "10000 upstreams, 740 models, 200 tenants, 1100 vms",
    );
    measure_entries(report, &mut large);
    let (mut change_time, mut state_bytes) = (Vec::new(), Vec::new());
    for upstreams in [100, 1000, 10_000] {
        let mut builder = StateBuilder::new(1100, upstreams);
        let mut count = 0;
        let time = fastest_micros(10, || {
            for _ in 0..10 {
                count += 1;
                let entry = builder.config_change(count);
                builder.state.apply(&entry);
            }
        });
        change_time.push((upstreams as f64, time));
        let bytes = serde_json::to_vec(&builder.state).unwrap_or_default().len();
        state_bytes.push((upstreams as f64, bytes as f64));
    }
    report.add("control.change_time", last_value(&change_time), "us", "at 10000 upstreams");
    report.add_slope("control.change_time_per_upstream", &change_time, "us");
    report.add("control.snapshot_bytes", last_value(&state_bytes), "B", "at 10000 upstreams");
    report.add_slope("control.snapshot_per_upstream", &state_bytes, "B");
    measure_claims(report);
}

/// Measures the size and the time of single entries.
fn measure_entries(report: &mut Report, builder: &mut StateBuilder) {
    let renew = builder.entry(Record::Renew(vm(7)));
    let time = fastest_micros(1000, || (0..1000).for_each(|_| builder.state.apply(&renew)));
    report.add("control.renew_time", time, "us", "at 10000 upstreams, 1100 vms");
    let change = builder.config_change(1);
    for (name, entry) in [("control.change_bytes", &change), ("control.renew_bytes", &renew)] {
        let bytes = serde_json::to_vec(entry).unwrap_or_default().len();
        report.add(name, bytes as f64, "B", "one entry; the tenant has 40 models");
    }
}

fn last_value(points: &[(f64, f64)]) -> f64 {
    points.last().map_or(0.0, |(_, y)| *y)
}

fn claim_entry(i: usize) -> LogEntry {
    let claim = ClaimRef {
        tenant: "tenant-1".parse().unwrap_or_default(),
        key: format!("order-{i}"),
        attempt: format!("vm-1#1-{i:016x}"),
    };
    let claim = Claim { claim, request: Fingerprint(i as u64), vm: vm(1) };
    let (offset, time) = (Offset(i as u64 + 1), 1);
    LogEntry { offset, time_ms: time, id: format!("e{i}"), records: vec![Record::Claim(claim)] }
}

fn measure_claims(report: &mut Report) {
    let mut time = Vec::new();
    let mut states = Vec::new();
    for count in [200_000, 50_000, 10_000] {
        let entries: Vec<LogEntry> = (0..count).map(claim_entry).collect();
        let before = resident_bytes();
        let mut state = ClaimState::default();
        let clock = SystemClock::default();
        let start = clock.now();
        entries.iter().for_each(|entry| state.apply(entry));
        let elapsed = clock.now() - start;
        if states.is_empty() {
            let bytes_per_claim = (resident_bytes() - before) / count as f64;
            report.add("claims.memory_each", bytes_per_claim, "B", "of 200000 claims");
        }
        time.push((count as f64, elapsed.as_secs_f64() * 1e6));
        states.push(state);
    }
    report.add_slope("claims.time_each", &time, "us");
    let bytes = serde_json::to_vec(&claim_entry(1)).unwrap_or_default().len();
    report.add("claims.record_bytes", bytes as f64, "B", "one claim in an entry of its own");
}
