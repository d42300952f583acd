//! Time and memory of single components: planner, choice of an upstream, heartbeats, hash ring and
//! token pools.

use std::collections::BTreeMap;
use std::time::Duration;

use carobglade::{
    Demand, Fleet, HashRing, Heartbeat, Incarnation, LoanReport, LoanRequest, ModelName, Offset,
    PlacementSettings, PlanInput, RoutingPolicy, SlotShare, TenantName, TokenPool, TokenRate,
    Tokens, UpstreamCandidate, UpstreamLoad, VmRef, choose_upstream, is_large_fleet,
    plan_placement,
};

use super::log_streams::StateBuilder;
use super::{fastest_micros, rate_limiter, replica_planner, resident_bytes};
use crate::report::Report;

const HEARTBEAT_INTERVAL_S: f64 = 0.5; // default of the settings; doubled in large fleets
const TICKS_PER_SECOND: f64 = 10.0; // of a token pool

/// Measures the memory for the heartbeats of a fleet.
///
/// Must run before the other measurements, because heartbeats in memory that those have freed would
/// not add to the resident memory.
pub fn measure_heartbeat_memory(report: &mut Report) {
    let before = resident_bytes();
    let mut fleet = Fleet::default();
    (1..1100).for_each(|i| {
        fleet.apply_heartbeat(heartbeat(i, 1), false, Duration::ZERO);
    });
    let megabytes = (resident_bytes() - before) / 1e6;
    report.add("fleet.memory", megabytes, "MB", "1100 vms with details of each");
}

/// Measures the time of each component.
pub fn run(report: &mut Report) {
    measure_planner(report);
    replica_planner::run(report);
    rate_limiter::run(report);
    measure_choice(report);
    measure_gossip(report);
    measure_token_pools(report);
}

fn model_name(i: usize) -> ModelName {
    format!("model-{i}").parse().unwrap_or_default()
}

fn model_demand(cold: bool) -> BTreeMap<ModelName, Demand> {
    let each = (0..740).map(|i| {
        let waiting = if cold && i % 10 == 0 { 3 } else { 0 };
        let running = if cold && i % 10 == 0 { 90.0 } else { 20.0 };
        (model_name(i), Demand { running, waiting, oldest_ms: waiting * 500 })
    });
    each.collect()
}

fn measure_planner(report: &mut Report) {
    let settings = PlacementSettings::default();
    for (name, cold) in [("planner.steady_time", false), ("planner.cold_time", true)] {
        let mut points = Vec::new();
        for upstreams in [100, 1000, 10_000] {
            let builder = StateBuilder::new(9, upstreams);
            let (demand, used) = (model_demand(cold), BTreeMap::new());
            let input = PlanInput {
                config: builder.state.config(),
                ledger: builder.state.ledger(),
                demand: &demand,
                last_used: &used,
                reachable: &|_| true,
                now_ms: 10_000_000,
            };
            points.push((
                upstreams as f64,
                fastest_micros(1, || drop(plan_placement(&input, &settings))),
            ));
        }
        report.add(name, points[2].1, "us", "one plan, 740 models, 10000 upstreams");
        report.add_slope(&format!("{name}_per_upstream"), &points, "us");
    }
}

fn measure_choice(report: &mut Report) {
    let candidates: Vec<UpstreamCandidate> = (0..110)
        .map(|i| UpstreamCandidate {
            name: format!("engine-{i}").parse().unwrap_or_default(),
            local_requests: i % 3,
            peer_requests: i % 5,
            remote: i % 2 == 0,
        })
        .collect();
    let mut counter = 0;
    let time = fastest_micros(1000, || {
        for _ in 0..1000 {
            counter += 1;
            let random = |n: usize| counter % n;
            choose_upstream(RoutingPolicy::Affinity, &candidates, "a prefix of a prompt", random);
        }
    });
    report.add("choice.time", time, "us", "110 upstreams with the model");
}

fn heartbeat(i: usize, count: u64) -> Heartbeat {
    Heartbeat {
        vm: VmRef {
            vm: format!("vm-{i}").parse().unwrap_or_default(),
            incarnation: Incarnation(1),
        },
        sequence: count,
        demand: (0..30)
            .map(|k| (model_name(k), Demand { running: 1.5, waiting: 0, oldest_ms: 0 }))
            .collect(),
        loads: (0..60)
            .map(|k| UpstreamLoad {
                upstream: format!("engine-{k}").parse().unwrap_or_default(),
                running: 1,
            })
            .collect(),
        ..Heartbeat::default()
    }
}

fn encoded_size<T: serde::Serialize>(message: &T) -> usize {
    postcard::to_stdvec(message).unwrap_or_default().len()
}

fn measure_gossip(report: &mut Report) {
    let (mut record_times, mut send_rates) = (Vec::new(), Vec::new());
    for vms in [9, 100, 1100] {
        let mut fleet = Fleet::default();
        let members: Vec<VmRef> = (1..vms).map(|i| heartbeat(i, 0).vm).collect();
        (1..vms).for_each(|i| {
            fleet.apply_heartbeat(heartbeat(i, 1), false, Duration::ZERO);
        });
        let mut count = 1;
        let time = fastest_micros(vms - 1, || {
            count += 1;
            (1..vms).for_each(|i| {
                fleet.apply_heartbeat(heartbeat(i, count), false, Duration::from_millis(10));
            });
        });
        record_times.push((vms as f64, time));
        let mut counter = 0;
        let (targets, relayed) = fleet.gossip(&members, Duration::from_millis(20), |n| {
            counter += 7;
            counter % n
        });
        let message_bytes = encoded_size(&relayed) + encoded_size(&heartbeat(0, 1));
        let interval =
            if is_large_fleet(vms) { 2.0 * HEARTBEAT_INTERVAL_S } else { HEARTBEAT_INTERVAL_S };
        send_rates.push((vms as f64, (targets.len() * message_bytes) as f64 / interval));
    }
    measure_hash_ring(report);
    report.add(
        "fleet.hear_time",
        record_times[2].1,
        "us",
        "one heartbeat, 1100 vms, created and applied",
    );
    let kilobytes = send_rates[2].1 / 1000.0;
    report.add(
        "fleet.gossip_sent",
        kilobytes,
        "KB/s",
        "1100 vms, 30 models and 60 upstreams in use",
    );
    report.add("fleet.gossip_sent_small", send_rates[0].1 / 1000.0, "KB/s", "9 vms, the same use");
}

fn measure_hash_ring(report: &mut Report) {
    let mut fleet = Fleet::default();
    (1..1100).for_each(|i| {
        fleet.apply_heartbeat(heartbeat(i, 1), false, Duration::ZERO);
    });
    let (me, now) = (heartbeat(0, 1).vm, Duration::from_millis(20));
    let build_time =
        fastest_micros(1, || drop(HashRing::new((0..1100).map(|i| heartbeat(i, 1).vm).collect())));
    report.add(
        "fleet.ring_time",
        build_time,
        "us",
        "built once for each change of the fleet, 1100 vms",
    );
    let ring = fleet.ring(&me, now);
    let check_time = fastest_micros(100, || (0..100).for_each(|_| drop(fleet.ring(&me, now))));
    report.add("fleet.ring_check_time", check_time, "us", "the ring is unchanged, 1100 vms");
    let owner_time = fastest_micros(10_000, || {
        (0..10_000).for_each(|i| {
            std::hint::black_box(ring.owner(&format!("upstream:engine-{i}")));
        });
    });
    report.add("fleet.owner_time", owner_time, "us", "one duty");
}

fn measure_token_pools(report: &mut Report) {
    let mut points = Vec::new();
    for tenants in [5, 50, 200] {
        let mut pool = TokenPool::default();
        let names: Vec<TenantName> =
            (0..tenants).map(|i| format!("tenant-{i}").parse().unwrap_or_default()).collect();
        let rate_limit = carobglade::RateLimit {
            rate: TokenRate(100_000),
            burst: Tokens(400_000),
            created: Offset(1),
        };
        for name in &names {
            pool.lender.set_share(
                name,
                SlotShare { rate_limit, slots: 1 },
                Tokens(50_000),
                Duration::ZERO,
            );
        }
        let lenders: Vec<(VmRef, u16)> = (1..8).map(|i| (heartbeat(i, 0).vm, 1)).collect();
        let mut now = Duration::from_secs(1);
        let time = fastest_micros(10, || {
            for _ in 0..10 {
                now += Duration::from_millis(100);
                for name in &names {
                    if let Ok(reservation) = pool.reserve(name, Tokens(500), now) {
                        pool.settle(reservation, Tokens(100), now);
                    }
                }
                let requests = pool.tick(
                    |_| lenders.clone(),
                    |_| Some(Offset(1)),
                    Duration::from_millis(100),
                    now,
                );
                drop(requests);
            }
        });
        points.push((tenants as f64, time));
    }
    report.add_slope("pool.tick_time_per_tenant", &points, "us");
    let reports =
        vec![
            LoanReport { loan: 123_456, spent: 5000, returned: 0, refunded: 400, closed: false };
            5
        ];
    let request = LoanRequest {
        tenant: "tenant-1".parse().unwrap_or_default(),
        created: Offset(10_000),
        wanted: 5000,
        reports,
    };
    let bytes = encoded_size(&request) as f64;
    report.add("pool.ask_bytes", bytes, "B", "a loan request with five reports");
    let kilobytes_per_second = bytes * TICKS_PER_SECOND * 7.0 / 1000.0;
    report.add("pool.asks_sent", kilobytes_per_second, "KB/s", "one busy tenant, seven lenders");
}
