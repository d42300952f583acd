//! Duties that one process holds at a time, and the age of what a process knows.

use std::time::Duration;

use carobglade::{
    DutyChange, DutyLeases, DutySettings, Freshness, FreshnessSettings, GroupAssignment,
};

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn joined(generation: u64, parts: &[u32]) -> GroupAssignment {
    GroupAssignment { generation, partitions: parts.to_vec(), ttl: ms(3000) }
}

#[test]
fn a_duty_is_used_only_after_its_settling_time() {
    let mut duties = DutyLeases::new(DutySettings::default());
    let changes = duties.apply_assignment(&joined(4, &[2]), ms(0), ms(5));
    assert_eq!(changes, [DutyChange::Gained(2)]);
    assert_eq!(duties.fencing_token(2, ms(100)), None);
    assert_eq!(duties.fencing_token(2, ms(500)), Some(4));
    assert_eq!(duties.fencing_token(3, ms(500)), None);
}

#[test]
fn a_duty_ends_with_its_lease_counted_from_the_sending_of_the_join() {
    let mut duties = DutyLeases::new(DutySettings::default());
    // The answer came 2 s late; the lease began when the join was sent.
    duties.apply_assignment(&joined(4, &[2]), ms(0), ms(2000));
    assert!(duties.holds(2, ms(2500)));
    assert!(!duties.holds(2, ms(2600)));
    assert_eq!(duties.fencing_token(2, ms(2600)), None);
}

#[test]
fn a_suspended_process_finds_its_duty_lapsed() {
    let mut duties = DutyLeases::new(DutySettings::default());
    duties.apply_assignment(&joined(4, &[2]), ms(0), ms(5));
    assert_eq!(duties.fencing_token(2, ms(1000)), Some(4));
    assert_eq!(duties.fencing_token(2, ms(8000)), None);
    assert_eq!(duties.expire(ms(8000)), [DutyChange::Lost(2)]);
}

/// Two processes that get a duty in turns do not give orders within the lease of each other.
#[test]
fn a_duty_that_comes_back_waits_for_a_lease() {
    let mut duties = DutyLeases::new(DutySettings::default());
    duties.apply_assignment(&joined(4, &[2]), ms(0), ms(5));
    assert_eq!(duties.fencing_token(2, ms(1000)), Some(4));
    assert_eq!(duties.apply_assignment(&joined(5, &[]), ms(1000), ms(1005)), [DutyChange::Lost(2)]);
    duties.apply_assignment(&joined(6, &[2]), ms(1500), ms(1505));
    for at in [1600, 2500, 3900] {
        duties.apply_assignment(&joined(6, &[2]), ms(at), ms(at));
        assert_eq!(duties.fencing_token(2, ms(at)), None, "at {at} ms");
    }
    duties.apply_assignment(&joined(6, &[2]), ms(4000), ms(4000));
    assert_eq!(duties.fencing_token(2, ms(4010)), Some(6));
}

/// Joins one after the other, 450 ms apart, each answered after `delay`; returns how often the
/// duty lapsed in between.
fn lapses(delay: Duration) -> usize {
    let mut duties = DutyLeases::new(DutySettings::default());
    let mut now = Duration::ZERO;
    let mut lapses = 0;
    for round in 0..40 {
        let ttl = duties.ttl();
        let sent = now;
        now += delay;
        let lost = duties.expire(now);
        lapses += usize::from(round > 1 && !lost.is_empty());
        duties.apply_assignment(&GroupAssignment { ttl, ..joined(4, &[2]) }, sent, now);
        now += ms(450);
    }
    lapses
}

#[test]
fn a_duty_is_kept_while_the_log_answers_slowly() {
    for delay in [5, 200, 500, 900, 1200] {
        assert_eq!(lapses(ms(delay)), 0, "answers after {delay} ms");
    }
}

/// An answer that was lost, or a log that was slow for a moment, costs no lease.
#[test]
fn a_duty_that_only_lapsed_goes_on_at_once() {
    let mut duties = DutyLeases::new(DutySettings::default());
    duties.apply_assignment(&joined(4, &[2]), ms(0), ms(5));
    assert_eq!(duties.expire(ms(2700)), [DutyChange::Lost(2)]);
    duties.apply_assignment(&joined(4, &[2]), ms(2800), ms(2900));
    assert_eq!(duties.fencing_token(2, ms(2901)), Some(4));
    // In another generation somebody else may have had it.
    assert_eq!(duties.expire(ms(5900)), [DutyChange::Lost(2)]);
    duties.apply_assignment(&joined(5, &[2]), ms(6000), ms(6005));
    assert_eq!(duties.fencing_token(2, ms(8300)), None);
}

/// A single answer that is lost lets no duty lapse.
#[test]
fn a_lost_answer_costs_no_duty() {
    let mut duties = DutyLeases::new(DutySettings::default());
    duties.apply_assignment(
        &GroupAssignment { ttl: duties.ttl(), ..joined(4, &[2]) },
        ms(0),
        ms(5),
    );
    let again = ms(455) + duties.join_timeout() + ms(150);
    duties.record_timeout();
    assert!(duties.expire(again + ms(5)).is_empty(), "again at {again:?}");
}

/// A holder that is lost is replaced within two seconds of its last join.
#[test]
fn a_lost_holder_is_missed_soon() {
    let mut duties = DutyLeases::new(DutySettings::default());
    duties.apply_assignment(
        &GroupAssignment { ttl: duties.ttl(), ..joined(4, &[2]) },
        ms(0),
        ms(5),
    );
    assert!(duties.ttl() < ms(2000), "{:?}", duties.ttl());
}

#[test]
fn an_old_answer_to_a_join_changes_nothing() {
    let mut duties = DutyLeases::new(DutySettings::default());
    duties.apply_assignment(&joined(7, &[1]), ms(0), ms(5));
    assert!(duties.apply_assignment(&joined(6, &[1, 2]), ms(10), ms(15)).is_empty());
    assert_eq!(duties.generation(), 7);
    assert!(!duties.holds(2, ms(20)));
}

#[test]
fn a_refused_holder_stops_at_once() {
    let mut duties = DutyLeases::new(DutySettings::default());
    duties.apply_assignment(&joined(4, &[2]), ms(0), ms(5));
    assert_eq!(duties.fencing_token(2, ms(500)), Some(4));
    duties.mark_fenced(2, ms(500));
    assert_eq!(duties.fencing_token(2, ms(501)), None);
    // The next join of the same generation does not bring it back before the lease is over.
    duties.apply_assignment(&joined(4, &[2]), ms(700), ms(705));
    assert_eq!(duties.fencing_token(2, ms(1500)), None);
}

#[test]
fn knowledge_is_as_old_as_the_question() {
    let mut known = Freshness::new(FreshnessSettings::default());
    assert!(!known.accepts_keys(ms(0)));
    known.confirm(ms(1000));
    assert_eq!(known.age(ms(3000)), Some(ms(2000)));
    assert!(known.is_ready(ms(3000)) && known.accepts_keys(ms(3000)));
    assert!(!known.is_ready(ms(4000)) && known.accepts_keys(ms(4000)));
    assert!(!known.accepts_keys(ms(5400)));
    // An answer that comes late does not make what is known older.
    known.confirm(ms(500));
    assert_eq!(known.age(ms(3000)), Some(ms(2000)));
}
