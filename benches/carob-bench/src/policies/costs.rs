//! Routing by cost: engines of unlike speed and models of unlike cost, simulated with delayed reports.

use std::time::Duration;

use carobglade::{
    DispatchCandidate, DispatchDecision, DispatchSettings, ExpectedWork, ModelName, RequestTiming,
    UpstreamName, VmName, WorkCosts, dispatch,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::SEED;
use crate::report::{Report, quantile};

const VMS: usize = 12;
const ENGINES: usize = 12;
const MODELS: usize = 12;
const DURATION_MS: u64 = 60_000;
const LOAD_REPORT_MS: u64 = 200; // until a vm learns of the load that other vms put on an engine
const WORK_REPORT_MS: u64 = 2000;
const ARRIVALS_PER_MS: f64 = 0.1;
const BASE_MS: f64 = 45.0;
const TOKENS_PER_MS: f64 = 18.0;
const GOAL: Duration = Duration::from_millis(800);

/// What a policy knows of costs and speeds.
#[derive(Clone, Copy, PartialEq)]
enum Knowledge {
    /// Nothing; the better of two engines is taken.
    TwoChoices,
    /// Nothing; tokens count.
    Tokens,
    /// What the requests of all vms showed.
    Learned,
    /// All.
    Oracle,
}

struct Job {
    vm: usize,
    model: usize,
    arrived_at: f64,
    /// Work as the vm counts it, and as it is, in tokens.
    counted: f64,
    work: f64,
    expected: ExpectedWork,
}

struct Simulation {
    knowledge: Knowledge,
    random: StdRng,
    names: Vec<UpstreamName>,
    models: Vec<ModelName>,
    /// Requests at each engine with the time at which their first event comes.
    queues: Vec<Vec<(f64, Job)>>,
    /// Work that all vms counted, as reported last.
    reported: Vec<f64>,
    /// Work that each vm sent to each engine since then.
    unreported: Vec<Vec<f64>>,
    costs: Vec<WorkCosts>,
    latencies: Vec<f64>,
}

fn true_cost(model: usize) -> f64 {
    [1.0, 1.0, 0.12, 0.6][model % 4]
}

fn true_slowness(engine: usize) -> f64 {
    [0.6, 1.4, 1.4][engine % 3]
}

impl Simulation {
    fn cost(&self, vm: usize, model: usize) -> f64 {
        match self.knowledge {
            Knowledge::TwoChoices | Knowledge::Tokens => 1.0,
            Knowledge::Learned => self.costs[vm].model_cost("s", &self.models[model]),
            Knowledge::Oracle => true_cost(model),
        }
    }

    fn slowness(&self, vm: usize, engine: usize) -> f64 {
        match self.knowledge {
            Knowledge::TwoChoices | Knowledge::Tokens => 1.0,
            Knowledge::Learned => self.costs[vm].slowness(&self.names[engine], 1.0),
            Knowledge::Oracle => true_slowness(engine),
        }
    }

    fn send(&mut self, now: f64) {
        let vm = self.random.random_range(0..VMS);
        let model = self.random.random_range(0..MODELS);
        let tokens = self.random.random_range(300..4500_u64);
        // Each model has three places.
        let mut holders: Vec<usize> = (0..3).map(|i| (model + i * 4 + i) % ENGINES).collect();
        if self.knowledge == Knowledge::TwoChoices {
            holders.swap_remove(self.random.random_range(0..3));
        }
        let cost = self.cost(vm, model);
        let candidate = |engine: &usize| DispatchCandidate {
            prompt_backlog: (self.reported[*engine] + self.unreported[vm][*engine]) as u64,
            prefill_tokens: tokens,
            token_cost: Some(cost),
            slots: 64,
            memory: (0, 1_000_000),
            latency_ratio: self.slowness(vm, *engine),
            ..DispatchCandidate::default()
        };
        let candidates: Vec<DispatchCandidate> = holders.iter().map(candidate).collect();
        let settings = DispatchSettings::default();
        let timing = timing();
        let tie = self.random.random();
        let DispatchDecision::Send(chosen, _) = dispatch(&candidates, &timing, &settings, tie)
        else {
            return;
        };
        let expected = candidates[chosen].expected_work(&timing, &settings);
        let (counted, work) = (tokens as f64 * cost, tokens as f64 * true_cost(model));
        let job = Job { vm, model, arrived_at: now, counted, work, expected };
        self.enqueue(holders[chosen], job, now);
    }

    fn enqueue(&mut self, engine: usize, job: Job, now: f64) {
        self.unreported[job.vm][engine] += job.counted;
        let free_at = self.queues[engine].last().map_or(now, |(end, _)| end.max(now));
        let first_event = free_at + job.work / TOKENS_PER_MS * true_slowness(engine);
        self.queues[engine].push((first_event, job));
    }

    fn finish(&mut self, now: f64) {
        for engine in 0..ENGINES {
            while self.queues[engine].first().is_some_and(|(end, _)| *end <= now) {
                let (end, job) = self.queues[engine].remove(0);
                let took = end - job.arrived_at + BASE_MS * true_slowness(engine);
                self.latencies.push(took);
                let observed = Duration::from_secs_f64(took / 1000.0);
                let (name, model) = (&self.names[engine], &self.models[job.model]);
                let costs = &mut self.costs[job.vm];
                costs.record_first_event("s", model, name, observed, &job.expected);
            }
        }
    }

    fn report_loads(&mut self) {
        let counted = |queue: &Vec<(f64, Job)>| queue.iter().map(|(_, job)| job.counted).sum();
        self.reported = self.queues.iter().map(counted).collect();
        self.unreported = vec![vec![0.0; ENGINES]; VMS];
    }

    fn report_work(&mut self, now: Duration) {
        let reports: Vec<_> = self.costs.iter().map(|costs| costs.report(|_| false)).collect();
        for (to, costs) in self.costs.iter_mut().enumerate() {
            costs.decay(now);
            for (from, report) in reports.iter().enumerate().filter(|(from, _)| *from != to) {
                let name: VmName = format!("vm-{from}").parse().unwrap_or_default();
                costs.apply_report(&name, report.clone(), now);
            }
        }
    }
}

fn timing() -> RequestTiming {
    RequestTiming {
        latency_goal: GOAL,
        time_left: Duration::from_secs(5),
        output_time: Duration::from_millis(300),
        token_rate: 0.0,
        needed_rate: 0.0,
        service_time: Duration::ZERO,
        resumes: false,
    }
}

fn simulate(knowledge: Knowledge) -> (usize, Vec<f64>) {
    let mut simulation = Simulation {
        knowledge,
        random: StdRng::seed_from_u64(SEED),
        names: (0..ENGINES).flat_map(|i| format!("engine-{i}").parse()).collect(),
        models: (0..MODELS).flat_map(|i| format!("model-{i}").parse()).collect(),
        queues: (0..ENGINES).map(|_| Vec::new()).collect(),
        reported: vec![0.0; ENGINES],
        unreported: vec![vec![0.0; ENGINES]; VMS],
        costs: vec![WorkCosts::default(); VMS],
        latencies: Vec::new(),
    };
    let mut sent = 0;
    for now in 0..DURATION_MS {
        simulation.finish(now as f64);
        if now % LOAD_REPORT_MS == 0 {
            simulation.report_loads();
        }
        if now % WORK_REPORT_MS == 0 {
            simulation.report_work(Duration::from_millis(now));
        }
        if simulation.random.random_bool(ARRIVALS_PER_MS) {
            sent += 1;
            simulation.send(now as f64);
        }
    }
    (sent, simulation.latencies)
}

/// Simulates the choice with different knowledge of costs and adds the share of requests whose first
/// event came in time, and the 99th percentile of those that were sent.
pub fn run(report: &mut Report) {
    let all = [
        ("two_choices", Knowledge::TwoChoices),
        ("tokens", Knowledge::Tokens),
        ("learned", Knowledge::Learned),
        ("oracle", Knowledge::Oracle),
    ];
    for (name, knowledge) in all {
        let (sent, mut latencies) = simulate(knowledge);
        let goal = GOAL.as_secs_f64() * 1000.0;
        let in_time = latencies.iter().filter(|latency| **latency <= goal).count();
        let note = format!("{in_time} of {sent} requests, {} of them sent", latencies.len());
        let share = in_time as f64 / sent.max(1) as f64;
        report.add(&format!("costs.{name}.in_time"), share * 100.0, "%", &note);
        let p99 = quantile(&mut latencies, 0.99);
        report.add(&format!("costs.{name}.p99"), p99, "ms", "time to the first event");
    }
}
