//! The hand-over of a duty from one vm to the next, in virtual time, with the log's group as its
//! page describes it. The upstreams check no fencing tokens.

mod fleet;
mod group;
mod times;

use std::time::Duration;

use crate::fleet::{Fleet, Link};

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// A link that delivers joins at once and answers after a time.
const fn slow(answer: u64) -> Link {
    Link { request: Some(ms(2)), answer: Some(ms(answer)) }
}

/// A link that delivers joins and loses the answers.
const UNANSWERED: Link = Link { request: Some(ms(2)), answer: None };

/// Starts a fleet of which vm 0 holds the duty.
fn start_fleet(offset: Duration) -> Fleet {
    let mut fleet = Fleet::new(2, offset);
    fleet.run(ms(5000));
    assert_eq!(fleet.group.owner(fleet.now), Some(0));
    assert!(fleet.last_order(0) >= Some(ms(4900)));
    fleet
}

fn assert_no_late_order(fleet: &Fleet, case: &str) {
    let late = fleet.find_late_order();
    assert!(late.is_none(), "{case}: an order after one with a higher token: {late:?}");
}

/// Guards against a holder that relies on the longer time of an answered join after it sent one
/// that asked for a shorter time and whose answer was lost.
#[test]
fn a_join_for_a_shorter_time_shortens_the_lease_also_without_an_answer() {
    for offset in (0..450).step_by(50) {
        let mut fleet = start_fleet(ms(offset));
        // The log answers slowly, so that the holder asks for a longer time; then it is fast again.
        fleet.vms[0].link = slow(800);
        fleet.run(ms(4000));
        fleet.vms[0].link = Link::FAST;
        fleet.run_until(ms(20_000), |fleet| fleet.vms[0].leases.ttl() < ms(2000));
        // The first join for a shorter time arrives; it and all later ones get no answer.
        fleet.vms[0].link = UNANSWERED;
        fleet.run_until(ms(20_000), |fleet| fleet.is_joining(0));
        fleet.vms[0].link = Link::CUT;
        fleet.run(ms(8000));
        assert!(fleet.first_order(1).is_some(), "offset {offset} ms: nobody took over");
        assert_no_late_order(&fleet, &format!("offset {offset} ms"));
    }
}

/// Guards against a holder that orders beside the next one when the duty was moved and the answer
/// that tells so is late or lost.
#[test]
fn a_moved_duty_waits_for_a_late_answer() {
    for answer in [3, 200, 500, 900, 1200, 2500] {
        for offset in (0..450).step_by(50) {
            let mut fleet = start_fleet(ms(offset));
            fleet.vms[0].link = slow(answer);
            fleet.group.move_to(1);
            fleet.run(ms(3000));
            fleet.vms[0].link = UNANSWERED;
            fleet.run(ms(3000));
            fleet.vms[0].link = Link::FAST;
            fleet.run(ms(3000));
            assert!(fleet.first_order(1).is_some(), "answers after {answer} ms: nobody took over");
            assert_no_late_order(&fleet, &format!("answers after {answer} ms, offset {offset} ms"));
        }
    }
}

/// Guards against a holder that orders beside the next one when the log deals all partitions anew
/// without a request, and answers at once.
#[test]
fn a_duty_that_is_dealt_anew_by_a_fast_log_has_one_holder() {
    check_dealt_anew(3);
}

/// Guards against a holder that orders beside the next one when the log deals all partitions anew
/// without a request, and the answer that tells so is late.
#[test]
fn a_duty_that_is_dealt_anew_by_a_slow_log_has_one_holder() {
    for answer in [200, 500, 900, 1200, 2500] {
        check_dealt_anew(answer);
    }
}

/// Deals the duty of vm 0 to vm 1, with all phases between their joins.
fn check_dealt_anew(answer: u64) {
    for offset in (5..450).step_by(20) {
        for wait in (0..450).step_by(20) {
            let mut fleet = start_fleet(ms(offset));
            fleet.run(ms(wait));
            fleet.vms[0].link = slow(answer);
            fleet.group.reassign_to(1);
            fleet.run(ms(8000));
            let case =
                format!("answer after {answer} ms, offset {offset} ms, dealt after {wait} ms");
            assert!(fleet.first_order(1).is_some(), "{case}: nobody took over");
            assert_no_late_order(&fleet, &case);
        }
    }
}

/// Guards against a next holder that orders before the lease of one that it cannot ask ends, after
/// the log dealt all partitions anew.
#[test]
fn a_duty_that_is_dealt_anew_to_a_vm_that_hears_nobody_has_one_holder() {
    for answer in [3, 200, 900, 2500] {
        for offset in (5..450).step_by(20) {
            for wait in (0..450).step_by(20) {
                let mut fleet = start_fleet(ms(offset));
                fleet.run(ms(wait));
                fleet.vms[0].link = slow(answer);
                fleet.vms[1].isolated = true;
                fleet.group.reassign_to(1);
                fleet.run(ms(8000));
                let case = format!("answer after {answer} ms, offset {offset} ms, wait {wait} ms");
                assert!(fleet.first_order(1).is_some(), "{case}: nobody took over");
                assert_no_late_order(&fleet, &case);
            }
        }
    }
}

/// Guards against a next holder that orders before the lease of a suspended one ends, which goes on
/// ordering as it wakes.
#[test]
fn a_duty_that_is_dealt_anew_beside_a_suspended_holder_has_one_holder() {
    for pause in (100..1800).step_by(100) {
        for offset in (5..450).step_by(40) {
            for wait in (0..450).step_by(40) {
                let mut fleet = start_fleet(ms(offset));
                fleet.run(ms(wait));
                fleet.vms[0].suspended = true;
                fleet.group.reassign_to(1);
                fleet.run(ms(pause));
                fleet.vms[0].suspended = false;
                fleet.run(ms(8000));
                let case = format!("pause {pause} ms, offset {offset} ms, wait {wait} ms");
                assert!(fleet.first_order(1).is_some(), "{case}: nobody took over");
                assert_no_late_order(&fleet, &case);
            }
        }
    }
}

/// Guards against a vm that leaves the group and goes on with its lease.
#[test]
fn a_vm_that_stops_is_followed_by_the_next() {
    for offset in (5..450).step_by(20) {
        let mut fleet = start_fleet(ms(offset));
        fleet.stop(0);
        fleet.run(ms(4000));
        assert!(fleet.first_order(1).is_some(), "offset {offset} ms: nobody took over");
        assert_no_late_order(&fleet, &format!("offset {offset} ms"));
    }
}
