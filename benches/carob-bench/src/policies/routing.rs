//! Routing: the choice of an upstream against its baselines, with reports that lag.

use std::collections::VecDeque;

use carobglade::{RoutingPolicy, UpstreamCandidate, choose_upstream};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::SEED;
use crate::report::{Report, quantile};

const VMS: usize = 9;
const UPSTREAMS: usize = 8;
const BATCH: u32 = 8; // requests that an upstream runs at once
const STEPS: u64 = 60_000; // milliseconds
const LAG: u64 = 500; // milliseconds until a vm hears of the load that others put on an upstream
const PREFIXES: usize = 40;
const CACHE: usize = 10; // prefixes that an upstream keeps
const SERVICE: u64 = 150; // milliseconds of a request whose prefix is cached
const PREFILL: u64 = 150; // milliseconds more when it is not
const SLOW: u64 = 4; // times slower, for one upstream

struct Job {
    vm: usize,
    came: u64,
    prefix: usize,
    ends: u64,
}

#[derive(Default)]
struct Engine {
    waiting: VecDeque<Job>,
    running: Vec<Job>,
    cache: VecDeque<usize>,
}

struct World {
    engines: Vec<Engine>,
    own: Vec<Vec<u32>>,
    heard: VecDeque<Vec<Vec<u32>>>,
    waits: Vec<f64>,
}

impl World {
    fn candidates(&self, vm: usize) -> Vec<UpstreamCandidate> {
        let old = self.heard.front();
        let each = (0..UPSTREAMS).map(|u| {
            let others = (0..VMS).filter(|v| *v != vm);
            UpstreamCandidate {
                name: format!("engine-{u}").parse().unwrap_or_default(),
                own_requests: self.own[vm][u],
                other_requests: others.map(|v| old.map_or(0, |old| old[v][u])).sum(),
                remote: false,
            }
        });
        each.collect()
    }

    fn start(&mut self, u: usize, now: u64) {
        let engine = &mut self.engines[u];
        while engine.running.len() < BATCH as usize {
            let Some(mut job) = engine.waiting.pop_front() else { return };
            let cached = engine.cache.contains(&job.prefix);
            if !cached {
                engine.cache.push_back(job.prefix);
                if engine.cache.len() > CACHE {
                    engine.cache.pop_front();
                }
            }
            let time = SERVICE + if cached { 0 } else { PREFILL };
            job.ends = now + time * if u == 0 { SLOW } else { 1 };
            engine.running.push(job);
        }
    }

    fn finish(&mut self, u: usize, now: u64) {
        let engine = &mut self.engines[u];
        let (ended, running): (Vec<Job>, Vec<Job>) =
            engine.running.drain(..).partition(|job| job.ends <= now);
        engine.running = running;
        for job in ended {
            self.own[job.vm][u] -= 1;
            self.waits.push((now - job.came) as f64);
        }
    }
}

fn play(policy: RoutingPolicy) -> Vec<f64> {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut world = World {
        engines: (0..UPSTREAMS).map(|_| Engine::default()).collect(),
        own: vec![vec![0; UPSTREAMS]; VMS],
        heard: VecDeque::new(),
        waits: Vec::new(),
    };
    let mut turn = 0;
    for now in 0..STEPS {
        (0..UPSTREAMS).for_each(|u| world.finish(u, now));
        if now % 100 == 0 {
            world.heard.push_back(world.own.clone());
            while world.heard.len() as u64 > LAG / 100 {
                world.heard.pop_front();
            }
        }
        // About 170 requests a second.
        if random.random_bool(0.17) {
            let (vm, prefix) = (random.random_range(0..VMS), random.random_range(0..PREFIXES));
            let candidates = world.candidates(vm);
            turn += 1;
            let pick = |n: usize| match policy {
                RoutingPolicy::RoundRobin => turn,
                _ => random.random_range(0..n),
            };
            let Some(u) = choose_upstream(policy, &candidates, &format!("prefix {prefix}"), pick)
            else {
                continue;
            };
            world.own[vm][u] += 1;
            world.engines[u].waiting.push_back(Job { vm, came: now, prefix, ends: 0 });
        }
        (0..UPSTREAMS).for_each(|u| world.start(u, now));
    }
    world.waits
}

/// Measures.
pub fn run(report: &mut Report) {
    let policies = [
        ("random", RoutingPolicy::Random),
        ("round_robin", RoutingPolicy::RoundRobin),
        ("least_reported", RoutingPolicy::LeastReported),
        ("two_choices", RoutingPolicy::TwoChoices),
        ("affinity", RoutingPolicy::Affinity),
    ];
    for (name, policy) in policies {
        let mut waits = play(policy);
        let middle = quantile(&mut waits, 0.5);
        let tail = quantile(&mut waits, 0.99);
        let note = format!("median {middle:.0} ms of {} requests; one of 8 is slow", waits.len());
        report.add(&format!("routing.{name}.p99"), tail, "ms", &note);
    }
}
