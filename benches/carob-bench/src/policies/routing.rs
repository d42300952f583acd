//! Routing: policies for the choice of an upstream, simulated with delayed load reports.

use std::collections::VecDeque;

use carobglade::{RoutingPolicy, UpstreamCandidate, choose_upstream};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::SEED;
use crate::report::{Report, quantile};

const VMS: usize = 9;
const UPSTREAMS: usize = 8;
const MAX_RUNNING: u32 = 8; // concurrent requests per upstream
const DURATION_MS: u64 = 60_000;
const REPORT_LAG_MS: u64 = 500; // until a vm learns of the load that other vms put on an upstream
const PREFIXES: usize = 40;
const CACHED_PREFIXES: usize = 10; // per upstream, first in, first out
const SERVICE_TIME_MS: u64 = 150; // of a request whose prefix is cached
const PREFILL_TIME_MS: u64 = 150; // additional time if the prefix is not cached
const SLOWDOWN: u64 = 4; // factor for the service time of the first upstream

struct Job {
    vm: usize,
    arrived_at: u64,
    prefix: usize,
    ends_at: u64,
}

#[derive(Default)]
struct Engine {
    waiting: VecDeque<Job>,
    running: Vec<Job>,
    cached_prefixes: VecDeque<usize>,
}

struct Simulation {
    engines: Vec<Engine>,
    /// Unfinished requests by vm and upstream.
    vm_requests: Vec<Vec<u32>>,
    /// Snapshots of `vm_requests`, one every 100 ms; vms see the oldest.
    reports: VecDeque<Vec<Vec<u32>>>,
    /// Times from arrival to end in milliseconds.
    latencies: Vec<f64>,
}

impl Simulation {
    fn candidates(&self, vm: usize) -> Vec<UpstreamCandidate> {
        let report = self.reports.front();
        let candidates = (0..UPSTREAMS).map(|u| {
            let others = (0..VMS).filter(|v| *v != vm);
            UpstreamCandidate {
                name: format!("engine-{u}").parse().unwrap_or_default(),
                local_requests: self.vm_requests[vm][u],
                peer_requests: others.map(|v| report.map_or(0, |report| report[v][u])).sum(),
                remote: false,
            }
        });
        candidates.collect()
    }

    fn start(&mut self, u: usize, now: u64) {
        let engine = &mut self.engines[u];
        while engine.running.len() < MAX_RUNNING as usize {
            let Some(mut job) = engine.waiting.pop_front() else { return };
            let cached = engine.cached_prefixes.contains(&job.prefix);
            if !cached {
                engine.cached_prefixes.push_back(job.prefix);
                if engine.cached_prefixes.len() > CACHED_PREFIXES {
                    engine.cached_prefixes.pop_front();
                }
            }
            let time = SERVICE_TIME_MS + if cached { 0 } else { PREFILL_TIME_MS };
            job.ends_at = now + time * if u == 0 { SLOWDOWN } else { 1 };
            engine.running.push(job);
        }
    }

    fn finish(&mut self, u: usize, now: u64) {
        let engine = &mut self.engines[u];
        let (ended, running): (Vec<Job>, Vec<Job>) =
            engine.running.drain(..).partition(|job| job.ends_at <= now);
        engine.running = running;
        for job in ended {
            self.vm_requests[job.vm][u] -= 1;
            self.latencies.push((now - job.arrived_at) as f64);
        }
    }
}

fn simulate(policy: RoutingPolicy) -> Vec<f64> {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut simulation = Simulation {
        engines: (0..UPSTREAMS).map(|_| Engine::default()).collect(),
        vm_requests: vec![vec![0; UPSTREAMS]; VMS],
        reports: VecDeque::new(),
        latencies: Vec::new(),
    };
    let mut round_robin_count = 0;
    for now in 0..DURATION_MS {
        (0..UPSTREAMS).for_each(|u| simulation.finish(u, now));
        if now % 100 == 0 {
            simulation.reports.push_back(simulation.vm_requests.clone());
            while simulation.reports.len() as u64 > REPORT_LAG_MS / 100 {
                simulation.reports.pop_front();
            }
        }
        // About 170 requests per second.
        if random.random_bool(0.17) {
            let (vm, prefix) = (random.random_range(0..VMS), random.random_range(0..PREFIXES));
            let candidates = simulation.candidates(vm);
            round_robin_count += 1;
            let pick_index = |n: usize| match policy {
                RoutingPolicy::RoundRobin => round_robin_count,
                _ => random.random_range(0..n),
            };
            let Some(u) =
                choose_upstream(policy, &candidates, &format!("prefix {prefix}"), pick_index)
            else {
                continue;
            };
            simulation.vm_requests[vm][u] += 1;
            simulation.engines[u].waiting.push_back(Job {
                vm,
                arrived_at: now,
                prefix,
                ends_at: 0,
            });
        }
        (0..UPSTREAMS).for_each(|u| simulation.start(u, now));
    }
    simulation.latencies
}

/// Simulates each routing policy and adds the 99th percentile of the response time.
pub fn run(report: &mut Report) {
    let policies = [
        ("random", RoutingPolicy::Random),
        ("round_robin", RoutingPolicy::RoundRobin),
        ("least_reported", RoutingPolicy::LeastReported),
        ("two_choices", RoutingPolicy::TwoChoices),
        ("affinity", RoutingPolicy::Affinity),
    ];
    for (name, policy) in policies {
        let mut latencies = simulate(policy);
        let median = quantile(&mut latencies, 0.5);
        let p99 = quantile(&mut latencies, 0.99);
        let note =
            format!("median {median:.0} ms of {} requests; one of 8 is slow", latencies.len());
        report.add(&format!("routing.{name}.p99"), p99, "ms", &note);
    }
}
