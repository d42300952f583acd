//! What requests of each model cost and how slow upstreams are, learned by a fleet of which each vm
//! sees little.

use std::time::Duration;

use carobglade::{
    ExpectedWork, ModelName, UpstreamName, VmName, WorkCosts, WorkHistory, WorkHistorySettings,
    WorkTimes,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const VMS: usize = 70;
const ENGINES: usize = 90;
const MODELS: usize = 60;
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
const DECAY_INTERVAL: Duration = Duration::from_millis(500);
/// Requests of the whole fleet a second; a vm sees an engine once in sixteen seconds.
const REQUEST_RATE: u64 = 400;
/// Factor by which expected times may be wrong on average.
const MAX_ERROR: f64 = 1.5;
/// Share of the known backlog that is still to be done.
const BACKLOG_LEFT: f64 = 0.6;

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn engine(i: usize) -> UpstreamName {
    format!("engine-{i}").parse().unwrap()
}

fn model(i: usize) -> ModelName {
    format!("model-{i}").parse().unwrap()
}

fn vm_name(i: usize) -> VmName {
    format!("vm-{i}").parse().unwrap()
}

/// Costs of a model whose prompts are read ten times, or not quite twice, as fast as others.
fn true_cost(model: usize) -> f64 {
    [1.0, 1.0, 0.1, 0.6][model % 4]
}

/// Vms that send requests and tell each other through one hub.
struct Fleet {
    vms: Vec<WorkCosts>,
    /// How slow each engine is.
    slowness: Vec<f64>,
    /// Share of the messages that are lost.
    message_loss: f64,
    random: StdRng,
    now: Duration,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let slowness = (0..ENGINES).map(|i| [0.7, 1.4, 2.1][i % 3]).collect();
        let vms = vec![WorkCosts::default(); VMS];
        let random = StdRng::seed_from_u64(seed);
        Fleet { vms, slowness, message_loss: 0.2, random, now: Duration::ZERO }
    }

    fn send(&mut self, vm: usize) {
        let (m, e) = (self.random.random_range(0..MODELS), self.random.random_range(0..ENGINES));
        let prompt = ms(self.random.random_range(20..300));
        let backlog = ms(if self.random.random_bool(0.5) { 0 } else { 400 });
        let costs = &mut self.vms[vm];
        let cost = costs.model_cost("s", &model(m));
        let slowness = costs.slowness(&engine(e), 1.0);
        let base = ms(45) + backlog.mul_f64(costs.backlog_left("s"));
        let nominal = base + prompt.mul_f64(cost);
        let noise = self.random.random_range(0.7..1.4);
        let work = ms(45) + backlog.mul_f64(BACKLOG_LEFT) + prompt.mul_f64(true_cost(m));
        let took = work.mul_f64(self.slowness[e] * noise);
        let backlog_left = costs.backlog_left("s");
        let expected = ExpectedWork { nominal, prompt, cost, backlog, backlog_left, slowness };
        costs.record_first_event("s", &model(m), &engine(e), took, &expected);
    }

    /// Members tell the hub, the first vm, what they saw, and get what the others told it.
    fn exchange(&mut self, connected: usize) {
        for i in 1..connected {
            if self.random.random_bool(self.message_loss) {
                continue;
            }
            let (name, report) = (vm_name(i), self.vms[i].report(|_| false));
            self.vms[0].apply_report(&name, report, self.now);
            let digest = self.vms[0].excluding_vm(&name);
            if !self.random.random_bool(self.message_loss) {
                self.vms[i].apply_report(&vm_name(0), digest, self.now);
            }
        }
    }

    /// Lets time pass in which the vms below `connected` reach each other.
    fn run(&mut self, time: Duration, connected: usize) {
        let end = self.now + time;
        while self.now < end {
            for _ in 0..REQUEST_RATE * DECAY_INTERVAL.as_millis() as u64 / 1000 {
                let vm = self.random.random_range(0..VMS);
                self.send(vm);
            }
            self.now += DECAY_INTERVAL;
            let now = self.now;
            self.vms.iter_mut().for_each(|vm| vm.decay(now));
            if now.as_millis().is_multiple_of(REPORT_INTERVAL.as_millis()) {
                self.exchange(connected);
            }
        }
    }

    /// Mean error of what a vm expects of all models at all engines, as a factor.
    fn error(&self, vm: &WorkCosts) -> f64 {
        let mut sum = 0.0;
        for m in 0..MODELS {
            for e in 0..ENGINES {
                let learned = vm.model_cost("s", &model(m)) * vm.slowness(&engine(e), 1.0);
                sum += (learned / (true_cost(m) * self.slowness[e])).ln().abs();
            }
        }
        (sum / (MODELS * ENGINES) as f64).exp()
    }
}

/// A vm sees each engine once in sixteen seconds.
#[test]
fn a_fleet_learns_costs_and_speeds_that_no_vm_sees_alone() {
    for seed in 0..5 {
        let mut fleet = Fleet { message_loss: 0.0, ..Fleet::new(seed) };
        fleet.run(ms(12_000), VMS);
        let errors: Vec<f64> = fleet.vms.iter().map(|vm| fleet.error(vm)).collect();
        assert!(errors.iter().all(|error| *error < MAX_ERROR), "seed {seed}: {errors:?}");
    }
}

/// Vms whose messages were lost again and again know less, but are not worse off than without any.
#[test]
fn lost_messages_make_no_vm_worse_than_one_that_knows_nothing() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed);
        let before = fleet.error(&fleet.vms[3]);
        fleet.run(ms(12_000), VMS);
        let mut errors: Vec<f64> = fleet.vms.iter().map(|vm| fleet.error(vm)).collect();
        errors.sort_by(f64::total_cmp);
        assert!(errors[VMS / 2] < MAX_ERROR && errors[VMS - 1] < before, "seed {seed}: {errors:?}");
    }
}

#[test]
fn a_vm_that_starts_is_told_what_the_others_have_learned() {
    let mut fleet = Fleet::new(1);
    fleet.run(ms(12_000), VMS);
    fleet.vms[7] = WorkCosts::default();
    fleet.run(ms(6000), VMS);
    assert!(fleet.error(&fleet.vms[7]) < MAX_ERROR, "{}", fleet.error(&fleet.vms[7]));
}

/// Guards against an engine that is avoided for long after it was slow, or used on while it is.
#[test]
fn an_engine_that_turns_slow_and_fast_again_is_followed() {
    let mut fleet = Fleet::new(2);
    fleet.run(ms(8000), VMS);
    let at_first = fleet.vms[5].slowness(&engine(0), 1.0);
    fleet.slowness[0] = 4.0;
    fleet.run(ms(6000), VMS);
    let slow = fleet.vms[5].slowness(&engine(0), 1.0);
    fleet.slowness[0] = 0.7;
    fleet.run(ms(12_000), VMS);
    let at_last = fleet.vms[5].slowness(&engine(0), 1.0);
    assert!(slow > 2.0 * at_first && at_last < slow / 2.0, "{at_first}, {slow}, {at_last}");
}

/// Vms that hear nobody do not use what they were told for good.
#[test]
fn vms_that_are_cut_off_forget_what_they_were_told() {
    let mut fleet = Fleet::new(3);
    fleet.run(ms(10_000), VMS);
    fleet.slowness.iter_mut().for_each(|slowness| *slowness = 1.0);
    fleet.run(ms(62_000), VMS / 2);
    let told = fleet.vms[VMS - 1].report(|_| true);
    let own = fleet.vms[VMS - 1].report(|_| false);
    assert_eq!(told, own);
    let reached = fleet.error(&fleet.vms[3]);
    assert!(reached < MAX_ERROR, "those that reach each other go on: {reached}");
}

/// Guards against a queue that is taken for the cost of the model whose request waited in it.
#[test]
fn a_wait_behind_other_work_says_nothing_of_a_model() {
    let mut costs = WorkCosts::default();
    let expected = ExpectedWork {
        nominal: ms(545),
        prompt: ms(100),
        cost: 1.0,
        backlog: ms(400),
        backlog_left: 1.0,
        slowness: 1.0,
    };
    for _ in 0..50 {
        costs.record_first_event("s", &model(0), &engine(0), ms(2000), &expected);
    }
    assert_eq!(costs.model_cost("s", &model(0)), 1.0);
    assert!(costs.slowness(&engine(0), 1.0) > 3.0);
}

/// Guards against requests that are refused for work that engines have done since it was told.
#[test]
fn the_share_of_the_backlog_that_is_left_is_learned() {
    let mut fleet = Fleet { message_loss: 0.0, ..Fleet::new(4) };
    fleet.run(ms(12_000), VMS);
    let left: Vec<f64> = fleet.vms.iter().map(|vm| vm.backlog_left("s")).collect();
    let range = BACKLOG_LEFT / MAX_ERROR..BACKLOG_LEFT * MAX_ERROR;
    assert!(left.iter().all(|left| range.contains(left)), "{left:?}");
    assert_eq!(fleet.vms[0].backlog_left("other"), 1.0);
}

#[test]
fn one_late_response_weighs_little() {
    let mut history = WorkHistory::new(WorkHistorySettings::default());
    (0..20).for_each(|_| history.record(1, ms(100), ms(100)));
    history.record(1, ms(30_000), ms(100));
    assert!(history.ratio(1, 1.0) < 1.3, "{}", history.ratio(1, 1.0));
}

#[test]
fn an_engine_that_starts_again_is_as_fast_as_assumed() {
    let mut costs = WorkCosts::default();
    let expected = ExpectedWork { nominal: ms(200), cost: 1.0, ..ExpectedWork::default() };
    costs.record_first_event("s", &model(0), &engine(0), ms(800), &expected);
    costs.reset_upstream(&engine(0));
    assert_eq!(costs.slowness(&engine(0), 1.5), 1.5);
}

/// At the target size there are more engines than one message tells of.
#[test]
fn what_is_told_is_bounded_and_holds_the_most_observed() {
    let mut history = WorkHistory::new(WorkHistorySettings::default());
    for key in 0..10_000 {
        history.record(key, ms(10), ms(10 + u64::from(key)));
    }
    let told = history.sum_over(|_| true);
    assert_eq!(told.len(), 500);
    assert!(told.contains_key(&9_999) && !told.contains_key(&0));
}

/// What a vm was told by the hub does not come back to it as news.
#[test]
fn a_digest_leaves_out_what_its_receiver_told() {
    let mut hub = WorkHistory::new(WorkHistorySettings::default());
    let times = WorkTimes { observed: 300, nominal: 100 };
    hub.apply_report(&vm_name(1), [(7, times)].into(), ms(0));
    hub.apply_report(&vm_name(2), [(7, times), (8, times)].into(), ms(0));
    assert_eq!(hub.excluding_vm(&vm_name(2)), [(7, times)].into());
    hub.apply_report(&vm_name(2), [].into(), ms(0));
    assert_eq!(hub.sum_over(|_| true), [(7, times)].into());
}
