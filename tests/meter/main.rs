//! Buckets that all processes keep alike from what they tell each other.

#[macro_use]
#[path = "../support/mod.rs"]
mod support;
mod fleet;

use std::time::Duration;

use carobglade::{Incarnation, RateLimiter, RateLimiterSettings, ReporterState, Tokens};
use fleet::{BURST, Fleet, RATE, RELAYED, STEP, bound, tenant, vm};

fn steady(count: usize) {
    let mut fleet = Fleet::new(count);
    fleet.run(Duration::from_secs(12), 2_400);
    let most = fleet.most(Duration::from_secs(8));
    assert!(most <= bound(8), "{most} tokens in 8 s, allowed {}", bound(8));
    let all: u64 = fleet.admitted.iter().map(|(_, tokens)| tokens).sum();
    assert!(all >= RATE * 12 * 9 / 10, "only {all} tokens in 12 s");
}

fn restart(count: usize) {
    let mut fleet = Fleet::new(count);
    fleet.run(Duration::from_secs(6), 2_400);
    fleet.restart_all();
    fleet.run(Duration::from_secs(8), 2_400);
    let most = fleet.most(Duration::from_secs(8));
    assert!(most <= bound(8), "{most} tokens in 8 s, allowed {}", bound(8));
}

/// What each tenant asks is within its rate; after a restart of all it is served at once.
fn served_after_restart(count: usize) {
    let mut fleet = Fleet::new(count);
    fleet.run(Duration::from_secs(6), 2_400);
    fleet.restart_all();
    let before = fleet.admitted.len();
    fleet.run(Duration::from_millis(500), 1_000);
    let tokens = (fleet.admitted.len() - before) as u64 * 1_000;
    assert!(tokens >= 6_000, "{tokens} tokens in the first half second");
}

/// Processes that start together do not know of each other for the first fifth of a second.
fn strangers(count: usize) {
    let mut fleet = Fleet::new(count);
    fleet.run(Duration::from_secs(6), 2_400);
    fleet.restart_all();
    let now = fleet.now;
    for (meter, _, _) in &mut fleet.meters {
        let settings =
            RateLimiterSettings { initial_tokens: 15_300, ..RateLimiterSettings::default() };
        *meter = RateLimiter::new(settings, false, now);
        meter.set_limits(&tenant(), RATE, BURST);
    }
    let before = fleet.admitted.len();
    fleet.run(Duration::from_millis(190), 500);
    let tokens = (fleet.admitted.len() - before) as u64 * 500;
    assert!(tokens <= 17_000, "{tokens} tokens in the first fifth of a second");
}

/// Processes that know of each other and hear nothing, as when those that pass messages on are gone.
fn deaf(count: usize) {
    let mut fleet = Fleet::relayed(count);
    fleet.run(Duration::from_secs(6), 500);
    fleet.restart_all();
    fleet.mail.clear();
    fleet.silent = true;
    fleet.run(Duration::from_secs(6), 500);
    let most = fleet.most(Duration::from_secs(8));
    assert!(most <= bound(8), "{most} tokens in 8 s, allowed {}", bound(8));
}

/// Processes that start together, with the log too slow to tell them of each other for a while.
fn unknown(count: usize) {
    let mut fleet = Fleet::relayed(count);
    fleet.run(Duration::from_secs(6), 500);
    fleet.restart_all();
    let now = fleet.now;
    for (meter, _, _) in &mut fleet.meters {
        let settings =
            RateLimiterSettings { initial_tokens: 15_300, ..RateLimiterSettings::default() };
        *meter = RateLimiter::new(settings, false, now);
        meter.set_limits(&tenant(), RATE, BURST);
    }
    // What was on its way to the processes before is lost with their sockets.
    fleet.mail.clear();
    fleet.silent = true;
    fleet.run(Duration::from_secs(3), 500);
    fleet.silent = false;
    for (meter, _, _) in &mut fleet.meters {
        meter.set_fleet_size(count, fleet.now);
        meter.set_report_delay(RELAYED);
    }
    fleet.run(Duration::from_secs(6), 500);
    let most = fleet.most(Duration::from_secs(8));
    assert!(most <= bound(8), "{most} tokens in 8 s, allowed {}", bound(8));
}

fn split(count: usize) {
    let mut fleet = Fleet::new(count);
    fleet.run(Duration::from_secs(4), 2_400);
    fleet.cut = Some(count / 2);
    fleet.run(Duration::from_secs(6), 2_400);
    fleet.cut = None;
    fleet.run(Duration::from_secs(6), 2_400);
    let most = fleet.most(Duration::from_secs(8));
    assert!(most <= bound(8), "{most} tokens in 8 s, allowed {}", bound(8));
}

cases! {
    steady:
    steady_of_six => (6);
    steady_of_nine => (9);
}

cases! {
    restart:
    all_restart_at_once_of_six => (6);
    all_restart_at_once_of_nine => (9);
}

cases! {
    served_after_restart:
    served_after_restart_of_six => (6);
    served_after_restart_of_nine => (9);
}

cases! {
    strangers:
    strangers_of_six => (6);
    strangers_of_nine => (9);
}

fn relayed(count: usize) {
    let mut fleet = Fleet::relayed(count);
    fleet.run(Duration::from_secs(12), 500);
    let most = fleet.most(Duration::from_secs(8));
    assert!(most <= bound(8), "{most} tokens in 8 s, allowed {}", bound(8));
    let all: u64 = fleet.admitted.iter().map(|(_, tokens)| tokens).sum();
    assert!(all >= RATE * 12 * 9 / 10, "only {all} tokens in 12 s");
}

fn relayed_restart(count: usize) {
    let mut fleet = Fleet::relayed(count);
    fleet.run(Duration::from_secs(6), 500);
    fleet.restart_all();
    fleet.run(Duration::from_secs(3), 500);
    fleet.restart_all();
    fleet.run(Duration::from_secs(6), 500);
    let most = fleet.most(Duration::from_secs(8));
    assert!(most <= bound(8), "{most} tokens in 8 s, allowed {}", bound(8));
}

cases! {
    relayed:
    relayed_steady_of_thirty => (30);
    relayed_steady_of_seventy => (70);
}

cases! {
    relayed_restart:
    relayed_restart_of_thirty => (30);
    relayed_restart_of_seventy => (70);
}

cases! {
    deaf:
    deaf_fleet_of_nine => (9);
    deaf_fleet_of_seventy => (70);
}

cases! {
    unknown:
    unknown_fleet_of_nine => (9);
    unknown_fleet_of_seventy => (70);
}

cases! {
    split:
    split_fleet_of_six => (6);
    split_fleet_of_nine => (9);
}

#[test]
fn a_process_that_starts_alone_adopts_the_level() {
    let mut old = Fleet::meter(true, Duration::ZERO, 2);
    let now = Duration::from_secs(10);
    assert!(old.admit(&tenant(), Tokens(20_000), now).is_ok());
    let mut new = Fleet::meter(false, now, 2);
    assert!(new.admit(&tenant(), Tokens(8_000), now).is_err());
    new.apply_report(&vm(0), Incarnation(1), &old.take_usage(), old.reporter_state(), now);
    assert!(new.admit(&tenant(), Tokens(5_000), now).is_ok());
    assert_eq!(new.level(&tenant()), Some(5_000));
}

#[test]
fn refunded_tokens_come_back_everywhere() {
    let mut one = Fleet::meter(true, Duration::ZERO, 2);
    let mut two = Fleet::meter(true, Duration::ZERO, 2);
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

/// One process gets all of a tenant's requests, just within the rate; none waits for long.
#[test]
fn one_process_may_take_the_whole_rate() {
    let mut fleet = Fleet::new(6);
    let mut waiting: Vec<Duration> = Vec::new();
    let mut longest = Duration::ZERO;
    let spacing = Duration::from_millis(90); // 2,400 tokens each: 0.89 of the rate
    let mut next = Duration::ZERO;
    while fleet.now < Duration::from_secs(20) {
        fleet.run(STEP, BURST); // asks for nothing
        if fleet.now >= next {
            waiting.push(fleet.now);
            next += spacing;
        }
        let now = fleet.now;
        let meter = &mut fleet.meters[0].0;
        while let Some(since) = waiting.first().copied() {
            if meter.admit(&tenant(), Tokens(2_400), now).is_err() {
                break;
            }
            longest = longest.max(now - since);
            waiting.remove(0);
        }
    }
    assert!(waiting.len() <= 1, "{} requests wait", waiting.len());
    assert!(longest <= Duration::from_millis(100), "a request waited {longest:?}");
}

/// A request that runs a second time counts twice; the next one waits for it.
#[test]
fn a_second_run_is_taken_from_what_follows() {
    let mut one = Fleet::meter(true, Duration::ZERO, 1);
    assert!(one.admit(&tenant(), Tokens(20_000), Duration::ZERO).is_ok());
    one.debit(&tenant(), Tokens(20_000));
    assert_eq!(one.level(&tenant()), Some(-10_000));
    one.take_usage();
    let wait = one.admit(&tenant(), Tokens(5_000), Duration::ZERO).unwrap_err();
    assert_eq!(wait, Duration::from_millis(500));
}

/// A vm that hears less than the others, as one that stops does, tells too high a level.
#[test]
fn the_lowest_of_the_levels_told_at_the_start_counts() {
    let now = Duration::from_secs(10);
    let mut deaf = Fleet::meter(true, Duration::ZERO, 3);
    let mut well = Fleet::meter(true, Duration::ZERO, 3);
    deaf.advance(now);
    assert!(well.admit(&tenant(), Tokens(29_000), now).is_ok());
    let mut new = Fleet::meter(false, now, 3);
    new.apply_report(&vm(0), Incarnation(1), &deaf.take_usage(), ReporterState::Settled, now);
    assert_eq!(new.level(&tenant()), Some(30_000));
    new.apply_report(&vm(1), Incarnation(1), &well.take_usage(), ReporterState::Settled, now);
    assert_eq!(new.level(&tenant()), Some(1_000));
}

/// What a leaving vm admitted before a new one started is in the level that the new one adopts.
#[test]
fn a_leaving_vm_that_is_heard_for_the_first_time_costs_nothing() {
    let now = Duration::from_secs(10);
    let mut leaving = Fleet::meter(true, Duration::ZERO, 3);
    let mut well = Fleet::meter(true, Duration::ZERO, 3);
    for second in 0..10 {
        let at = Duration::from_secs(second);
        assert!(leaving.admit(&tenant(), Tokens(20_000), at).is_ok());
        leaving.take_usage();
    }
    well.advance(now);
    let mut new = Fleet::meter(false, now, 3);
    new.apply_report(&vm(1), Incarnation(1), &well.take_usage(), ReporterState::Settled, now);
    new.apply_report(&vm(0), Incarnation(1), &leaving.take_usage(), ReporterState::Leaving, now);
    assert_eq!(new.level(&tenant()), Some(30_000));
    // What it admits from then on counts.
    assert!(leaving.admit(&tenant(), Tokens(5_000), now).is_ok());
    new.apply_report(&vm(0), Incarnation(1), &leaving.take_usage(), ReporterState::Leaving, now);
    assert_eq!(new.level(&tenant()), Some(25_000));
}

/// Half of a fleet cannot read how many it is, and hears high levels of the other half.
#[test]
fn a_level_is_not_adopted_before_the_fleet_is_known() {
    let now = Duration::from_secs(10);
    let mut old = Fleet::meter(true, Duration::ZERO, 70);
    let settings = RateLimiterSettings { initial_tokens: 15_300, ..RateLimiterSettings::default() };
    let mut new = RateLimiter::new(settings, false, now);
    new.set_limits(&tenant(), RATE, BURST);
    new.apply_report(&vm(0), Incarnation(1), &old.take_usage(), ReporterState::Settled, now);
    assert!(new.admit(&tenant(), Tokens(500), now).is_err());
    new.set_fleet_size(70, now);
    new.apply_report(&vm(0), Incarnation(1), &old.take_usage(), ReporterState::Settled, now);
    assert!(new.admit(&tenant(), Tokens(400), now).is_ok());
}
