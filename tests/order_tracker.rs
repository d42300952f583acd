//! Tests of the order tracker with lost answers, orders that are carried out late, and a list of
//! upstreams that is seconds old.

#[macro_use]
mod support;

use std::time::Duration;

use carobglade::{
    EngineReport, LoadedModel, ModelName, OrderOutcome, OrderTarget, OrderTracker, UpstreamEntry,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const CAPACITY: usize = 3; // models that fit on the engine
const STEP: Duration = Duration::from_millis(100);
const LOAD_TIME: Duration = Duration::from_millis(2400);

fn model(i: usize) -> ModelName {
    format!("model-{i}").parse().unwrap()
}

/// Simulated engine that counts orders, rejects orders that expect another count, and carries out
/// some orders late.
struct Engine {
    models: Vec<ModelName>,
    sequence: u64,
    busy: Option<Duration>,
    delayed: Vec<(Duration, OrderTarget, u64)>,
    max_models: usize,
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
            false => self.models.retain(|model| *model != target.model),
        }
        self.max_models = self.max_models.max(self.models.len());
        self.busy = Some(now + LOAD_TIME);
        OrderOutcome::Accepted
    }

    fn advance(&mut self, now: Duration) {
        if self.busy.is_some_and(|until| now >= until) {
            self.busy = None;
        }
        let due: Vec<_> = self.delayed.iter().filter(|(at, _, _)| now >= *at).cloned().collect();
        self.delayed.retain(|(at, _, _)| now < *at);
        for (_, target, expect) in due {
            self.apply(&target, expect, now);
        }
    }

    fn loaded_models(&self) -> Vec<LoadedModel> {
        let loaded = |name: &ModelName| LoadedModel { name: name.clone(), adapters: Vec::new() };
        self.models.iter().map(loaded).collect()
    }

    fn list_entry(&self, heartbeat: u64) -> UpstreamEntry {
        UpstreamEntry {
            name: "engine".parse().unwrap(),
            service: "planning".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            data_centre: "rennes".parse().unwrap(),
            version: "v1".parse().unwrap(),
            slots: 64,
            draining: false,
            cold_time: Duration::ZERO,
            models: self.loaded_models(),
            cached_models: Vec::new(),
            heartbeat,
            started_ms: 1,
        }
    }
}

/// Gives random orders for two minutes and checks that the engine never holds more models than fit.
/// The list is `stale` old, and `lost_answers` is the fraction of orders whose answers are lost.
fn check_capacity(seed: u64, stale: Duration, lost_answers: f64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut engine = Engine {
        models: vec![model(0), model(1)],
        sequence: 0,
        busy: None,
        delayed: Vec::new(),
        max_models: 2,
    };
    let mut tracker = OrderTracker::default();
    let mut list: Vec<(Duration, UpstreamEntry)> = Vec::new();
    let mut accepted = 0;
    for step in 0..1200 {
        let now = STEP * step;
        engine.advance(now);
        if step % 12 == 0 {
            list.push((now, engine.list_entry(u64::from(step / 12))));
        }
        let seen = list.iter().rev().find(|(at, _)| *at + stale <= now).unwrap_or(&list[0]);
        let entry = seen.1.clone();
        tracker.apply_entry(&entry, now);
        if tracker.is_busy(now) || rng.random_bool(0.9) {
            continue;
        }
        let Some(expect) = tracker.sequence() else {
            let (models, busy) = (engine.loaded_models(), engine.busy.is_some());
            tracker.apply_report(EngineReport { models, busy, sequence: engine.sequence }, now);
            continue;
        };
        let state = tracker.expected_state(&entry);
        let target = OrderTarget {
            model: model(rng.random_range(0..6)),
            adapter: None,
            load: state.models.len() < CAPACITY,
        };
        if state.holds(&target.model, None) == target.load {
            continue;
        }
        let outcome = if rng.random_bool(lost_answers) {
            let delay = Duration::from_millis(rng.random_range(0..9000));
            engine.delayed.push((now + delay, target.clone(), expect));
            OrderOutcome::Unknown
        } else {
            engine.apply(&target, expect, now)
        };
        accepted += u32::from(outcome == OrderOutcome::Accepted);
        tracker.record_outcome(&target, expect, outcome, now);
    }
    assert!(
        engine.max_models <= CAPACITY,
        "seed {seed}: {} models on an engine for {CAPACITY}",
        engine.max_models
    );
    assert!(accepted >= 3, "seed {seed}: only {accepted} orders were carried out");
}

fn check_seeds(stale: u64, lost_answers: f64) {
    for seed in 0..200 {
        check_capacity(seed, Duration::from_millis(stale), lost_answers);
    }
}

cases! {
    check_seeds:
    list_up_to_date => (0, 0.0);
    list_up_to_date_answers_lost => (0, 0.4);
    list_two_seconds_old => (2000, 0.3);
    list_six_seconds_old => (6000, 0.3);
}

#[test]
fn a_restarted_engine_must_report_again() {
    let engine = Engine { models: vec![], sequence: 0, busy: None, delayed: vec![], max_models: 0 };
    let mut tracker = OrderTracker::default();
    tracker.apply_entry(&engine.list_entry(1), Duration::ZERO);
    tracker.apply_report(
        EngineReport { models: engine.loaded_models(), busy: false, sequence: 7 },
        Duration::ZERO,
    );
    assert_eq!(tracker.sequence(), Some(7));
    tracker.apply_entry(
        &UpstreamEntry { started_ms: 2, ..engine.list_entry(0) },
        Duration::from_secs(1),
    );
    assert_eq!(tracker.sequence(), None);
}

/// Otherwise the planner would order the load of the same model on a second engine while the first
/// order is in flight.
#[test]
fn a_load_that_is_being_sent_counts_as_a_copy() {
    let mut tracker = OrderTracker::default();
    let engine =
        Engine { models: vec![model(0)], sequence: 0, busy: None, delayed: vec![], max_models: 0 };
    let entry = engine.list_entry(1);
    tracker.record_exchange_start(Some(model(1)));
    assert!(tracker.expected_state(&entry).holds(&model(1), None));
    tracker.record_exchange_end();
    assert!(!tracker.expected_state(&entry).holds(&model(1), None));
}
