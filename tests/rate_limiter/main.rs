//! Tests of the rate limiter, whose replicas of the buckets agree through the reports of the
//! processes.

#[macro_use]
#[path = "../support/mod.rs"]
mod support;
mod same_levels;
mod simulated_fleet;
mod urgent_requests;
mod walking_limiter;
mod withdrawn_tenants;

use std::time::Duration;

use carobglade::{Incarnation, RateLimiter, RateLimiterSettings, ReporterState, Tokens};
use simulated_fleet::{
    BURST, RATE, RELAYED_REPORT_DELAY, STEP, SimulatedFleet, max_tokens, tenant, vm,
};

fn check_steady(count: usize) {
    let mut fleet = SimulatedFleet::new(count);
    fleet.run(Duration::from_secs(12), 2_400);
    let max_admitted = fleet.max_admitted(Duration::from_secs(8));
    assert!(
        max_admitted <= max_tokens(8),
        "{max_admitted} tokens in 8 s, allowed {}",
        max_tokens(8)
    );
    let total: u64 = fleet.admitted.iter().map(|(_, tokens)| tokens).sum();
    assert!(total >= RATE * 12 * 9 / 10, "only {total} tokens in 12 s");
}

fn check_restart(count: usize) {
    let mut fleet = SimulatedFleet::new(count);
    fleet.run(Duration::from_secs(6), 2_400);
    fleet.restart_all();
    fleet.run(Duration::from_secs(8), 2_400);
    let max_admitted = fleet.max_admitted(Duration::from_secs(8));
    assert!(
        max_admitted <= max_tokens(8),
        "{max_admitted} tokens in 8 s, allowed {}",
        max_tokens(8)
    );
}

/// After a restart of all processes, requests are admitted within the first half second.
fn check_served_after_restart(count: usize) {
    let mut fleet = SimulatedFleet::new(count);
    fleet.run(Duration::from_secs(6), 2_400);
    fleet.restart_all();
    let before = fleet.admitted.len();
    fleet.run(Duration::from_millis(500), 1_000);
    let tokens = (fleet.admitted.len() - before) as u64 * 1_000;
    assert!(tokens >= 6_000, "{tokens} tokens in the first half second");
}

/// Processes that start together do not know each other for the first fifth of a second.
fn check_undiscovered(count: usize) {
    let mut fleet = SimulatedFleet::new(count);
    fleet.run(Duration::from_secs(6), 2_400);
    fleet.restart_all();
    let now = fleet.now;
    for (limiter, _, _) in &mut fleet.limiters {
        let settings =
            RateLimiterSettings { initial_tokens: 15_300, ..RateLimiterSettings::default() };
        *limiter = RateLimiter::new(settings, false, now);
        limiter.set_limits(&tenant(), RATE, BURST);
    }
    let before = fleet.admitted.len();
    fleet.run(Duration::from_millis(190), 500);
    let tokens = (fleet.admitted.len() - before) as u64 * 500;
    assert!(tokens <= 17_000, "{tokens} tokens in the first fifth of a second");
}

/// Processes that know each other receive no reports, as when the hubs that relay them are down.
fn check_without_reports(count: usize) {
    let mut fleet = SimulatedFleet::relayed(count);
    fleet.run(Duration::from_secs(6), 500);
    fleet.restart_all();
    fleet.in_flight.clear();
    fleet.reports_lost = true;
    fleet.run(Duration::from_secs(6), 500);
    let max_admitted = fleet.max_admitted(Duration::from_secs(8));
    assert!(
        max_admitted <= max_tokens(8),
        "{max_admitted} tokens in 8 s, allowed {}",
        max_tokens(8)
    );
}

/// Processes that start together learn of each other late because the log is slow.
fn check_late_discovery(count: usize) {
    let mut fleet = SimulatedFleet::relayed(count);
    fleet.run(Duration::from_secs(6), 500);
    fleet.restart_all();
    let now = fleet.now;
    for (limiter, _, _) in &mut fleet.limiters {
        let settings =
            RateLimiterSettings { initial_tokens: 15_300, ..RateLimiterSettings::default() };
        *limiter = RateLimiter::new(settings, false, now);
        limiter.set_limits(&tenant(), RATE, BURST);
    }
    // The reports in flight to the former processes are lost with their sockets.
    fleet.in_flight.clear();
    fleet.reports_lost = true;
    fleet.run(Duration::from_secs(3), 500);
    fleet.reports_lost = false;
    for (limiter, _, _) in &mut fleet.limiters {
        limiter.set_fleet_size(count, fleet.now);
        limiter.set_relay_delay(RELAYED_REPORT_DELAY);
    }
    fleet.run(Duration::from_secs(6), 500);
    let max_admitted = fleet.max_admitted(Duration::from_secs(8));
    assert!(
        max_admitted <= max_tokens(8),
        "{max_admitted} tokens in 8 s, allowed {}",
        max_tokens(8)
    );
}

fn check_split(count: usize) {
    let mut fleet = SimulatedFleet::new(count);
    fleet.run(Duration::from_secs(4), 2_400);
    fleet.split_at = Some(count / 2);
    fleet.run(Duration::from_secs(6), 2_400);
    fleet.split_at = None;
    fleet.run(Duration::from_secs(6), 2_400);
    let max_admitted = fleet.max_admitted(Duration::from_secs(8));
    assert!(
        max_admitted <= max_tokens(8),
        "{max_admitted} tokens in 8 s, allowed {}",
        max_tokens(8)
    );
}

cases! {
    check_steady:
    steady_fleet_of_six => (6);
    steady_fleet_of_nine => (9);
}

cases! {
    check_restart:
    restart_of_all_in_fleet_of_six => (6);
    restart_of_all_in_fleet_of_nine => (9);
}

cases! {
    check_served_after_restart:
    served_after_restart_in_fleet_of_six => (6);
    served_after_restart_in_fleet_of_nine => (9);
}

cases! {
    check_undiscovered:
    undiscovered_fleet_of_six => (6);
    undiscovered_fleet_of_nine => (9);
}

fn check_relayed(count: usize) {
    let mut fleet = SimulatedFleet::relayed(count);
    fleet.run(Duration::from_secs(12), 500);
    let max_admitted = fleet.max_admitted(Duration::from_secs(8));
    assert!(
        max_admitted <= max_tokens(8),
        "{max_admitted} tokens in 8 s, allowed {}",
        max_tokens(8)
    );
    let total: u64 = fleet.admitted.iter().map(|(_, tokens)| tokens).sum();
    assert!(total >= RATE * 12 * 9 / 10, "only {total} tokens in 12 s");
}

fn check_relayed_restart(count: usize) {
    let mut fleet = SimulatedFleet::relayed(count);
    fleet.run(Duration::from_secs(6), 500);
    fleet.restart_all();
    fleet.run(Duration::from_secs(3), 500);
    fleet.restart_all();
    fleet.run(Duration::from_secs(6), 500);
    let max_admitted = fleet.max_admitted(Duration::from_secs(8));
    assert!(
        max_admitted <= max_tokens(8),
        "{max_admitted} tokens in 8 s, allowed {}",
        max_tokens(8)
    );
}

cases! {
    check_relayed:
    steady_relayed_fleet_of_thirty => (30);
    steady_relayed_fleet_of_seventy => (70);
}

cases! {
    check_relayed_restart:
    restart_of_all_in_relayed_fleet_of_thirty => (30);
    restart_of_all_in_relayed_fleet_of_seventy => (70);
}

cases! {
    check_without_reports:
    fleet_of_nine_without_reports => (9);
    fleet_of_seventy_without_reports => (70);
}

cases! {
    check_late_discovery:
    late_discovery_in_fleet_of_nine => (9);
    late_discovery_in_fleet_of_seventy => (70);
}

cases! {
    check_split:
    split_fleet_of_six => (6);
    split_fleet_of_nine => (9);
}

#[test]
fn a_process_that_joins_a_running_fleet_adopts_the_level() {
    let mut old = SimulatedFleet::new_limiter(true, Duration::ZERO, 2);
    let now = Duration::from_secs(10);
    assert!(old.admit(&tenant(), Tokens(20_000), now).is_ok());
    let mut new = SimulatedFleet::new_limiter(false, now, 2);
    assert!(new.admit(&tenant(), Tokens(8_000), now).is_err());
    new.apply_report(&vm(0), Incarnation(1), &old.take_usage(), old.reporter_state(), now);
    assert!(new.admit(&tenant(), Tokens(5_000), now).is_ok());
    assert_eq!(new.level(&tenant()), Some(5_000));
}

#[test]
fn refunded_tokens_are_restored_on_every_process() {
    let mut one = SimulatedFleet::new_limiter(true, Duration::ZERO, 2);
    let mut two = SimulatedFleet::new_limiter(true, Duration::ZERO, 2);
    assert!(one.admit(&tenant(), Tokens(10_000), Duration::ZERO).is_ok());
    two.apply_report(
        &vm(0),
        Incarnation(1),
        &one.take_usage(),
        ReporterState::Settled,
        Duration::ZERO,
    );
    one.admit(&tenant(), Tokens(8_000), Duration::ZERO).unwrap();
    two.apply_report(
        &vm(0),
        Incarnation(1),
        &one.take_usage(),
        ReporterState::Settled,
        Duration::ZERO,
    );
    assert_eq!(two.level(&tenant()), Some(22_000));
    one.refund(&tenant(), Tokens(8_000));
    two.apply_report(
        &vm(0),
        Incarnation(1),
        &one.take_usage(),
        ReporterState::Settled,
        Duration::ZERO,
    );
    assert_eq!(two.level(&tenant()), Some(30_000));
}

/// One process gets all requests of a tenant, just within the rate, and none waits for long.
#[test]
fn one_process_may_take_the_whole_rate() {
    let mut fleet = SimulatedFleet::new(6);
    let mut waiting: Vec<Duration> = Vec::new();
    let mut longest = Duration::ZERO;
    let request_interval = Duration::from_millis(90); // 2,400 tokens each: 0.89 of the rate
    let mut next = Duration::ZERO;
    while fleet.now < Duration::from_secs(20) {
        fleet.run(STEP, BURST); // without requests
        if fleet.now >= next {
            waiting.push(fleet.now);
            next += request_interval;
        }
        let now = fleet.now;
        let limiter = &mut fleet.limiters[0].0;
        while let Some(arrived) = waiting.first().copied() {
            if limiter.admit(&tenant(), Tokens(2_400), now).is_err() {
                break;
            }
            longest = longest.max(now - arrived);
            waiting.remove(0);
        }
    }
    assert!(waiting.len() <= 1, "{} requests are waiting", waiting.len());
    assert!(longest <= Duration::from_millis(100), "a request waited {longest:?}");
}

/// A request that runs a second time is charged twice, and the next request waits for the tokens.
#[test]
fn a_second_run_is_taken_from_later_requests() {
    let mut one = SimulatedFleet::new_limiter(true, Duration::ZERO, 1);
    assert!(one.admit(&tenant(), Tokens(20_000), Duration::ZERO).is_ok());
    one.debit(&tenant(), Tokens(20_000));
    assert_eq!(one.level(&tenant()), Some(-10_000));
    one.take_usage();
    let wait = one.admit(&tenant(), Tokens(5_000), Duration::ZERO).unwrap_err();
    assert_eq!(wait, Duration::from_millis(500));
}

/// A vm that receives fewer reports than the others, for example while it shuts down, reports too
/// high a level.
#[test]
fn the_lowest_level_reported_at_the_start_is_adopted() {
    let now = Duration::from_secs(10);
    let mut uninformed = SimulatedFleet::new_limiter(true, Duration::ZERO, 3);
    let mut informed = SimulatedFleet::new_limiter(true, Duration::ZERO, 3);
    uninformed.advance(now);
    assert!(informed.admit(&tenant(), Tokens(29_000), now).is_ok());
    let mut new = SimulatedFleet::new_limiter(false, now, 3);
    new.apply_report(&vm(0), Incarnation(1), &uninformed.take_usage(), ReporterState::Settled, now);
    assert_eq!(new.level(&tenant()), Some(30_000));
    new.apply_report(&vm(1), Incarnation(1), &informed.take_usage(), ReporterState::Settled, now);
    assert_eq!(new.level(&tenant()), Some(1_000));
}

/// The level that a new vm adopts already includes what a leaving vm admitted before.
#[test]
fn the_first_report_of_a_leaving_vm_takes_no_tokens() {
    let now = Duration::from_secs(10);
    let mut leaving = SimulatedFleet::new_limiter(true, Duration::ZERO, 3);
    let mut informed = SimulatedFleet::new_limiter(true, Duration::ZERO, 3);
    for second in 0..10 {
        let at = Duration::from_secs(second);
        assert!(leaving.admit(&tenant(), Tokens(20_000), at).is_ok());
        leaving.take_usage();
    }
    informed.advance(now);
    let mut new = SimulatedFleet::new_limiter(false, now, 3);
    new.apply_report(&vm(1), Incarnation(1), &informed.take_usage(), ReporterState::Settled, now);
    new.apply_report(&vm(0), Incarnation(1), &leaving.take_usage(), ReporterState::Leaving, now);
    assert_eq!(new.level(&tenant()), Some(30_000));
    // Later admissions of the leaving vm are subtracted.
    assert!(leaving.admit(&tenant(), Tokens(5_000), now).is_ok());
    new.apply_report(&vm(0), Incarnation(1), &leaving.take_usage(), ReporterState::Leaving, now);
    assert_eq!(new.level(&tenant()), Some(25_000));
}

/// Half of a fleet cannot read the fleet size, and receives high levels from the other half.
#[test]
fn a_level_is_not_adopted_before_the_fleet_size_is_known() {
    let now = Duration::from_secs(10);
    let mut old = SimulatedFleet::new_limiter(true, Duration::ZERO, 70);
    let settings = RateLimiterSettings { initial_tokens: 15_300, ..RateLimiterSettings::default() };
    let mut new = RateLimiter::new(settings, false, now);
    new.set_limits(&tenant(), RATE, BURST);
    new.apply_report(&vm(0), Incarnation(1), &old.take_usage(), ReporterState::Settled, now);
    assert!(new.admit(&tenant(), Tokens(500), now).is_err());
    new.set_fleet_size(70, now);
    new.apply_report(&vm(0), Incarnation(1), &old.take_usage(), ReporterState::Settled, now);
    assert!(new.admit(&tenant(), Tokens(400), now).is_ok());
}

/// What the log tells of a refusal.
#[test]
fn the_state_of_a_bucket_tells_its_limits_and_who_is_silent() {
    let mut limiter = RateLimiter::new(RateLimiterSettings::default(), true, Duration::ZERO);
    limiter.set_limits(&tenant(), RATE, BURST);
    assert_eq!(limiter.bucket(&"another".parse().unwrap()), None);
    let usage = carobglade::TenantUsage { tenant: tenant(), total: 0, level: 0 };
    let state = ReporterState::Settled;
    limiter.apply_report(&vm(1), Incarnation(1), &[usage], state, Duration::from_secs(1));
    limiter.admit(&tenant(), Tokens(500), Duration::from_secs(2)).unwrap();
    let bucket = limiter.bucket(&tenant()).unwrap();
    assert_eq!((bucket.rate, bucket.burst), (RATE, BURST));
    assert_eq!(Some(bucket.level), limiter.level(&tenant()));
    assert_eq!((bucket.silent, bucket.age), (1, Duration::from_secs(1)));
}
