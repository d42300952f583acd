//! The time from a holder's stop or death to the first order of the next one.
//!
//! `cargo test --test handover times -- --nocapture` prints the figures.

use std::time::Duration;

use crate::fleet::{Fleet, Link};
use crate::{assert_no_late_order, ms, slow, start_fleet};

/// Runs a case at all phases between the joins of both vms. Returns the shortest and the longest
/// time from the event to the first order of vm 1.
fn measure(case: &str, event: impl Fn(&mut Fleet), after: impl Fn(&mut Fleet)) -> (u64, u64) {
    let mut times = Vec::new();
    for offset in (5..450).step_by(20) {
        for wait in (0..450).step_by(20) {
            let mut fleet = start_fleet(ms(offset));
            fleet.run(ms(wait));
            event(&mut fleet);
            let started = fleet.now;
            after(&mut fleet);
            fleet.run(ms(9000));
            let first = fleet.first_order(1);
            let first = first.unwrap_or_else(|| panic!("{case}: nobody took over"));
            assert_no_late_order(&fleet, case);
            times.push((first - started).as_millis() as u64);
        }
    }
    times.sort_unstable();
    let (shortest, longest) = (times[0], times[times.len() - 1]);
    let median = times[times.len() / 2];
    println!("{case}: {shortest} to {longest} ms, median {median} ms");
    (shortest, longest)
}

fn kill(fleet: &mut Fleet) {
    fleet.vms[0].suspended = true;
}

fn assert_longest(measured: (u64, u64), bound: Duration) {
    assert!(ms(measured.1) <= bound, "{} ms, more than {bound:?}", measured.1);
}

#[test]
fn times_after_a_planned_stop() {
    assert_longest(measure("planned stop", |fleet| fleet.stop(0), |_| {}), ms(900));
}

#[test]
fn times_after_a_kill() {
    assert_longest(measure("kill", kill, |_| {}), ms(2750));
}

#[test]
fn times_after_a_freeze_that_ends() {
    let wake = |fleet: &mut Fleet| {
        fleet.run(ms(3000));
        fleet.vms[0].suspended = false;
    };
    assert_longest(measure("freeze of 3 s", kill, wake), ms(2750));
}

#[test]
fn times_after_a_cut() {
    let cut = |fleet: &mut Fleet| fleet.vms[0].link = Link::CUT;
    assert_longest(measure("cut from the log", cut, |_| {}), ms(2750));
}

/// The log answers after 0.8 s for 4 s; then the holder dies, and the log stays slow.
#[test]
fn times_after_a_kill_beside_a_slow_log() {
    let event = |fleet: &mut Fleet| {
        fleet.vms.iter_mut().for_each(|vm| vm.link = slow(800));
        fleet.run(ms(4000));
        kill(fleet);
    };
    assert_longest(measure("kill, log answers after 0.8 s", event, |_| {}), ms(7000));
}

/// The log answers after 0.8 s for 4 s, is fast for 1 s, and the holder is cut off.
#[test]
fn times_after_a_cut_after_a_slow_log() {
    let event = |fleet: &mut Fleet| {
        fleet.vms.iter_mut().for_each(|vm| vm.link = slow(800));
        fleet.run(ms(4000));
        fleet.vms.iter_mut().for_each(|vm| vm.link = Link::FAST);
        fleet.run(ms(1000));
        fleet.vms[0].link = Link::CUT;
    };
    assert_longest(measure("cut 1 s after a slow log", event, |_| {}), ms(7000));
}

/// The log deals all partitions anew while all vms hear of each other.
#[test]
fn times_after_a_new_deal() {
    let event = |fleet: &mut Fleet| fleet.group.reassign_to(1);
    assert_longest(measure("dealt anew", event, |_| {}), ms(900));
}
