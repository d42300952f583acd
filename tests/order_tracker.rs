//! Orders to engines whose answers get lost and that are carried out late, planned by a process
//! whose list of upstreams is seconds old.

#[macro_use]
mod support;

use std::time::Duration;

use carobglade::{
    EngineReport, LoadedModel, ModelName, OrderOutcome, OrderTarget, OrderTracker, UpstreamEntry,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const ROOM: usize = 3; // models that the engine holds
const STEP: Duration = Duration::from_millis(100);
const LOAD: Duration = Duration::from_millis(2400);

fn model(i: usize) -> ModelName {
    format!("model-{i}").parse().unwrap()
}

/// An engine that counts orders, refuses those that expect another count, and carries some out
/// late.
struct Engine {
    models: Vec<ModelName>,
    sequence: u64,
    busy: Option<Duration>,
    late: Vec<(Duration, OrderTarget, u64)>,
    most: usize,
}

impl Engine {
    fn apply(&mut self, target: &OrderTarget, expect: u64, now: Duration) -> OrderOutcome {
        if self.busy.is_some() || expect != self.sequence {
            return OrderOutcome::Conflict;
        }
        if self.models.contains(&target.model) == target.load {
            return OrderOutcome::Holds;
        }
        self.sequence += 1;
        match target.load {
            true => self.models.push(target.model.clone()),
            false => self.models.retain(|held| *held != target.model),
        }
        self.most = self.most.max(self.models.len());
        self.busy = Some(now + LOAD);
        OrderOutcome::Accepted
    }

    fn run(&mut self, now: Duration) {
        if self.busy.is_some_and(|until| now >= until) {
            self.busy = None;
        }
        let due: Vec<_> = self.late.iter().filter(|(at, _, _)| now >= *at).cloned().collect();
        self.late.retain(|(at, _, _)| now < *at);
        for (_, target, expect) in due {
            self.apply(&target, expect, now);
        }
    }

    fn held(&self) -> Vec<LoadedModel> {
        let held = |name: &ModelName| LoadedModel { name: name.clone(), adapters: Vec::new() };
        self.models.iter().map(held).collect()
    }

    fn listed(&self, beat: u64) -> UpstreamEntry {
        UpstreamEntry {
            name: "engine".parse().unwrap(),
            service: "planning".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            data_centre: "rennes".parse().unwrap(),
            slots: 64,
            draining: false,
            models: self.held(),
            cached_models: Vec::new(),
            heartbeat: beat,
            started_ms: 1,
        }
    }
}

/// Gives random orders for two minutes; `stale` is how old the list is, `lost` the part of orders
/// whose answer gets lost.
fn never_overcommits(seed: u64, stale: Duration, lost: f64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut engine = Engine {
        models: vec![model(0), model(1)],
        sequence: 0,
        busy: None,
        late: Vec::new(),
        most: 2,
    };
    let mut tracker = OrderTracker::default();
    let mut list: Vec<(Duration, UpstreamEntry)> = Vec::new();
    let mut done = 0;
    for step in 0..1200 {
        let now = STEP * step;
        engine.run(now);
        if step % 12 == 0 {
            list.push((now, engine.listed(u64::from(step / 12))));
        }
        let seen = list.iter().rev().find(|(at, _)| *at + stale <= now).unwrap_or(&list[0]);
        let listed = seen.1.clone();
        tracker.observe_entry(&listed, now);
        if tracker.is_busy(now) || rng.random_bool(0.9) {
            continue;
        }
        let Some(expect) = tracker.sequence() else {
            let (models, busy) = (engine.held(), engine.busy.is_some());
            tracker.apply_report(EngineReport { models, busy, sequence: engine.sequence }, now);
            continue;
        };
        let state = tracker.expected_state(&listed);
        let target = OrderTarget {
            model: model(rng.random_range(0..6)),
            adapter: None,
            load: state.models.len() < ROOM,
        };
        if state.holds(&target.model, None) == target.load {
            continue;
        }
        let end = if rng.random_bool(lost) {
            let delay = Duration::from_millis(rng.random_range(0..9000));
            engine.late.push((now + delay, target.clone(), expect));
            OrderOutcome::Unknown
        } else {
            engine.apply(&target, expect, now)
        };
        done += u32::from(end == OrderOutcome::Accepted);
        tracker.record_outcome(&target, expect, end, now);
    }
    assert!(engine.most <= ROOM, "seed {seed}: {} models on an engine for {ROOM}", engine.most);
    assert!(done >= 3, "seed {seed}: only {done} orders were carried out");
}

fn seeds(stale: u64, lost: f64) {
    for seed in 0..200 {
        never_overcommits(seed, Duration::from_millis(stale), lost);
    }
}

cases! {
    seeds:
    list_up_to_date => (0, 0.0);
    list_up_to_date_answers_lost => (0, 0.4);
    list_two_seconds_old => (2000, 0.3);
    list_six_seconds_old => (6000, 0.3);
}

#[test]
fn a_restarted_engine_is_asked_again() {
    let engine = Engine { models: vec![], sequence: 0, busy: None, late: vec![], most: 0 };
    let mut tracker = OrderTracker::default();
    tracker.observe_entry(&engine.listed(1), Duration::ZERO);
    tracker.apply_report(
        EngineReport { models: engine.held(), busy: false, sequence: 7 },
        Duration::ZERO,
    );
    assert_eq!(tracker.sequence(), Some(7));
    tracker.observe_entry(
        &UpstreamEntry { started_ms: 2, ..engine.listed(0) },
        Duration::from_secs(1),
    );
    assert_eq!(tracker.sequence(), None);
}

/// Otherwise the planner loads a model on a second engine while the first order is on its way.
#[test]
fn a_load_that_is_being_sent_counts_as_a_copy() {
    let mut tracker = OrderTracker::default();
    let engine = Engine { models: vec![model(0)], sequence: 0, busy: None, late: vec![], most: 0 };
    let listed = engine.listed(1);
    tracker.begin_sending(Some(model(1)));
    assert!(tracker.expected_state(&listed).holds(&model(1), None));
    tracker.finish_sending();
    assert!(!tracker.expected_state(&listed).holds(&model(1), None));
}
