//! A tenant that asks for three times its rate: its urgent requests come before those that can wait.

use std::time::Duration;

use carobglade::{Tokens, Urgency, UrgencyClass, UrgentDemand};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::simulated_fleet::{
    BURST, RATE, RELAYED_REPORT_DELAY, REPORT_INTERVAL, STEP, SimulatedFleet,
    URGENT_REPORT_INTERVAL, max_tokens, tenant,
};

const TOKENS: u64 = 300;
/// Tokens a second that the tenant asks for, by priority.
const DEMAND: [(u8, u64); 2] = [(0, RATE / 4), (1, RATE * 11 / 4)];

fn class(priority: u8, goal_ms: u64) -> UrgencyClass {
    UrgencyClass { priority, latency_goal: Duration::from_millis(goal_ms) }
}

/// Tokens that requests of one priority asked for, and got.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    asked: u64,
    admitted: u64,
}

impl Count {
    fn share(self) -> f64 {
        self.admitted as f64 / self.asked.max(1) as f64
    }
}

/// Runs a fleet whose vms get requests at random; `ordered` tells whether tokens are kept for the
/// urgent ones.
fn run(
    fleet: &mut SimulatedFleet,
    demand: &mut [UrgentDemand],
    ordered: bool,
    time: Duration,
    random: &mut StdRng,
) -> [Count; 2] {
    let mut counts = [Count::default(); 2];
    let (end, vms) = (fleet.now + time, fleet.limiters.len());
    while fleet.now < end {
        fleet.now += STEP;
        fleet.deliver_reports();
        let now = fleet.now;
        for (i, demand) in demand.iter_mut().enumerate() {
            for (priority, rate) in DEMAND {
                let chance = rate as f64 * STEP.as_secs_f64() / (TOKENS as usize * vms) as f64;
                let arrivals = chance as usize + usize::from(random.random_bool(chance.fract()));
                for _ in 0..arrivals {
                    let class = class(priority, 500);
                    demand.record(&tenant(), class, Tokens(TOKENS), now);
                    let urgency = demand.urgency(&tenant(), class, now);
                    let urgency = if ordered { urgency } else { Urgency::ALIKE };
                    let (limiter, _, _) = &mut fleet.limiters[i];
                    let (tokens, none) = (Tokens(TOKENS), Tokens(0));
                    let admitted = limiter.admit_in_order(&tenant(), tokens, none, urgency, now);
                    let count = &mut counts[usize::from(priority)];
                    count.asked += TOKENS;
                    if admitted.is_ok() {
                        count.admitted += TOKENS;
                        fleet.admitted.push((now, TOKENS));
                    }
                }
            }
            let phase = now + STEP * i as u32;
            let every = |interval: Duration| phase.as_millis().is_multiple_of(interval.as_millis());
            let is_due = fleet.limiters[i].0.is_report_due();
            if every(REPORT_INTERVAL) || (every(URGENT_REPORT_INTERVAL) && is_due) {
                fleet.send_reports(i);
            }
        }
    }
    counts
}

fn fleet_of(vms: usize, relayed: bool) -> (SimulatedFleet, Vec<UrgentDemand>) {
    let mut fleet = SimulatedFleet::new(vms);
    if relayed {
        fleet.report_delay = RELAYED_REPORT_DELAY;
        fleet.limiters.iter_mut().for_each(|(l, _, _)| l.set_relay_delay(RELAYED_REPORT_DELAY));
    }
    (fleet, vec![UrgentDemand::default(); vms])
}

fn check_order(vms: usize, relayed: bool) {
    for seed in 0..4 {
        let mut random = StdRng::seed_from_u64(seed);
        let shares = [false, true].map(|ordered| {
            let (mut fleet, mut demand) = fleet_of(vms, relayed);
            run(&mut fleet, &mut demand, ordered, Duration::from_secs(6), &mut random);
            let counts =
                run(&mut fleet, &mut demand, ordered, Duration::from_secs(12), &mut random);
            assert!(fleet.max_admitted(Duration::from_secs(8)) <= max_tokens(8));
            let all: u64 = counts.iter().map(|count| count.admitted).sum();
            (counts.map(Count::share), all)
        });
        let [(before, all_before), (after, all)] = shares;
        let told = format!("{vms} vms, seed {seed}: {before:?} {all_before}, {after:?} {all}");
        assert!(after[0] >= 0.9, "the urgent ones are served: {told}");
        assert!(after[1] >= 0.15, "the others are served too: {told}");
        // What is kept is a part of one burst, and not lost again and again.
        assert!(all + BURST >= all_before * 9 / 10, "the rate is used: {told}");
    }
}

cases! {
    check_order:
    urgent_requests_come_first_in_a_fleet_of_one => (1, false);
    urgent_requests_come_first_in_a_fleet_of_six => (6, false);
    urgent_requests_come_first_in_a_fleet_of_seventy => (70, true);
}

/// Guards against a rate that is exceeded, and urgent requests that wait, while two halves of the
/// fleet do not hear of each other.
#[test]
fn urgent_requests_come_first_on_both_sides_of_a_split() {
    let mut random = StdRng::seed_from_u64(7);
    let (mut fleet, mut demand) = fleet_of(6, false);
    run(&mut fleet, &mut demand, true, Duration::from_secs(6), &mut random);
    fleet.split_at = Some(3);
    let counts = run(&mut fleet, &mut demand, true, Duration::from_secs(6), &mut random);
    assert!(fleet.max_admitted(Duration::from_secs(8)) <= max_tokens(8));
    assert!(counts[0].share() >= 2.0 * counts[1].share(), "{counts:?}");
}

#[test]
fn the_urgency_of_a_request_follows_what_its_tenant_asks_for() {
    let mut demand = UrgentDemand::default();
    let (first, last) = (class(1, 500), class(2, 800));
    let urgency = |demand: &UrgentDemand, class, seconds| {
        demand.urgency(&tenant(), class, Duration::from_secs(seconds))
    };
    assert_eq!(urgency(&demand, first, 1), Urgency::ALIKE);
    demand.record(&tenant(), first, Tokens(500), Duration::from_secs(1));
    assert_eq!(urgency(&demand, first, 1), Urgency::ALIKE);
    demand.record(&tenant(), last, Tokens(1500), Duration::from_secs(1));
    assert_eq!(urgency(&demand, first, 1), Urgency { above: 0.0, within: 0.25 });
    assert_eq!(urgency(&demand, last, 1), Urgency { above: 0.25, within: 1.0 });
    // Urgent requests that come no more keep nothing.
    for second in 2..200 {
        demand.record(&tenant(), last, Tokens(1500), Duration::from_secs(second));
    }
    assert!(urgency(&demand, last, 200).above < 0.01);
}

/// Guards against short requests that lose their tokens to more urgent ones which can wait longer.
#[test]
fn a_request_that_can_wait_less_than_a_more_urgent_one_leaves_nothing() {
    let mut demand = UrgentDemand::default();
    let (urgent, short) = (class(0, 2000), class(1, 800));
    demand.record(&tenant(), urgent, Tokens(500), Duration::from_secs(1));
    demand.record(&tenant(), short, Tokens(500), Duration::from_secs(1));
    for class in [urgent, short] {
        assert_eq!(demand.urgency(&tenant(), class, Duration::from_secs(1)), Urgency::ALIKE);
    }
}
