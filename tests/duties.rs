//! Tests of the leases on duties, which one process holds at a time, and of the age of what a
//! process knows.

use std::time::Duration;

use carobglade::{
    DutyChange, DutyLeases, DutyLeasesSettings, Freshness, FreshnessSettings, GroupAssignment,
    LogEra,
};

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn assignment(generation: u64, partitions: &[u32]) -> GroupAssignment {
    GroupAssignment {
        generation,
        duties: partitions.to_vec(),
        ttl: ms(3000),
        ..GroupAssignment::default()
    }
}

#[test]
fn a_duty_is_used_only_after_its_settle_time() {
    let mut duties = DutyLeases::new(DutyLeasesSettings::default());
    let changes = duties.apply_assignment(&assignment(4, &[2]), ms(0), ms(5));
    assert_eq!(changes, [DutyChange::Gained(2)]);
    assert_eq!(duties.fencing_token(2, ms(100)), None);
    assert_eq!(duties.fencing_token(2, ms(500)), Some(4));
    assert_eq!(duties.fencing_token(3, ms(500)), None);
}

#[test]
fn the_lease_of_a_duty_starts_when_the_join_is_sent() {
    let mut duties = DutyLeases::new(DutyLeasesSettings::default());
    // The answer came 2 s late; the lease began when the join was sent.
    duties.apply_assignment(&assignment(4, &[2]), ms(0), ms(2000));
    assert!(duties.holds(2, ms(2500)));
    assert!(!duties.holds(2, ms(2600)));
    assert_eq!(duties.fencing_token(2, ms(2600)), None);
}

#[test]
fn a_process_that_leaves_gives_no_orders() {
    let mut duties = DutyLeases::new(DutyLeasesSettings::default());
    duties.apply_assignment(&assignment(4, &[2]), ms(0), ms(5));
    assert_eq!(duties.fencing_token(2, ms(500)), Some(4));
    assert_eq!(duties.release_all(ms(500)), [DutyChange::Lost(2)]);
    assert_eq!(duties.fencing_token(2, ms(500)), None);
    // It joins again: others may have given orders in between.
    duties.apply_assignment(&assignment(6, &[2]), ms(900), ms(905));
    assert_eq!(duties.fencing_token(2, ms(1400)), None);
}

#[test]
fn the_lease_of_a_suspended_process_expires() {
    let mut duties = DutyLeases::new(DutyLeasesSettings::default());
    duties.apply_assignment(&assignment(4, &[2]), ms(0), ms(5));
    assert_eq!(duties.fencing_token(2, ms(1000)), Some(4));
    assert_eq!(duties.fencing_token(2, ms(8000)), None);
    assert_eq!(duties.expire(ms(8000)), [DutyChange::Lost(2)]);
}

/// Two processes that are assigned a duty in turns must not give orders within each other's lease.
#[test]
fn a_regained_duty_waits_for_a_lease() {
    let mut duties = DutyLeases::new(DutyLeasesSettings::default());
    duties.apply_assignment(&assignment(4, &[2]), ms(0), ms(5));
    assert_eq!(duties.fencing_token(2, ms(1000)), Some(4));
    assert_eq!(
        duties.apply_assignment(&assignment(5, &[]), ms(1000), ms(1005)),
        [DutyChange::Lost(2)]
    );
    duties.apply_assignment(&assignment(6, &[2]), ms(1500), ms(1505));
    for at in [1600, 2500, 3900] {
        duties.apply_assignment(&assignment(6, &[2]), ms(at), ms(at));
        assert_eq!(duties.fencing_token(2, ms(at)), None, "at {at} ms");
    }
    duties.apply_assignment(&assignment(6, &[2]), ms(4000), ms(4000));
    assert_eq!(duties.fencing_token(2, ms(4010)), Some(6));
}

/// Sends joins that are answered after `delay`, each 450 ms after the previous answer. Returns how
/// often the lease expired between answers.
fn expired_leases(delay: Duration) -> usize {
    let mut duties = DutyLeases::new(DutyLeasesSettings::default());
    let mut now = Duration::ZERO;
    let mut expired_leases = 0;
    for round in 0..40 {
        let ttl = duties.ttl();
        let sent = now;
        now += delay;
        let lost = duties.expire(now);
        expired_leases += usize::from(round > 1 && !lost.is_empty());
        duties.apply_assignment(&GroupAssignment { ttl, ..assignment(4, &[2]) }, sent, now);
        now += ms(450);
    }
    expired_leases
}

#[test]
fn a_duty_is_kept_while_the_log_answers_slowly() {
    for delay in [5, 200, 500, 900, 1200] {
        assert_eq!(expired_leases(ms(delay)), 0, "answers after {delay} ms");
    }
}

/// After a lost answer or a short delay of the log, a process need not wait for another lease if
/// the generation is the same, because no other process held the duty.
#[test]
fn an_expired_duty_is_used_at_once_in_the_same_generation() {
    let mut duties = DutyLeases::new(DutyLeasesSettings::default());
    duties.apply_assignment(&assignment(4, &[2]), ms(0), ms(5));
    assert_eq!(duties.expire(ms(2700)), [DutyChange::Lost(2)]);
    duties.apply_assignment(&assignment(4, &[2]), ms(2800), ms(2900));
    assert_eq!(duties.fencing_token(2, ms(2901)), Some(4));
    // In a new generation another process may have held the duty in between.
    assert_eq!(duties.expire(ms(5900)), [DutyChange::Lost(2)]);
    duties.apply_assignment(&assignment(5, &[2]), ms(6000), ms(6005));
    assert_eq!(duties.fencing_token(2, ms(8300)), None);
}

/// The loss of a single answer must not let a lease expire.
#[test]
fn a_lost_answer_does_not_expire_the_lease() {
    let mut duties = DutyLeases::new(DutyLeasesSettings::default());
    duties.apply_assignment(
        &GroupAssignment { ttl: duties.ttl(), ..assignment(4, &[2]) },
        ms(0),
        ms(5),
    );
    let retry_at = ms(455) + duties.join_timeout() + ms(150);
    duties.record_timeout();
    assert!(
        duties.expire(retry_at + ms(5)).is_empty(),
        "the lease expired before the retry at {retry_at:?}"
    );
}

/// The log may have carried out a join whose answer is lost, and then waits only as long as it asked.
#[test]
fn a_join_for_a_shorter_time_shortens_the_lease() {
    let mut duties = DutyLeases::new(DutyLeasesSettings::default());
    duties.apply_assignment(&assignment(4, &[2]), ms(0), ms(5));
    duties.record_join(ms(1800), ms(500));
    assert_eq!(duties.fencing_token(2, ms(1899)), Some(4));
    assert_eq!(duties.fencing_token(2, ms(1900)), None);
    // A join for a longer time does not lengthen the lease before its answer.
    duties.record_join(ms(5000), ms(1000));
    assert_eq!(duties.fencing_token(2, ms(1900)), None);
}

/// A holder that dies is replaced within two seconds of its last join.
#[test]
fn a_dead_holder_is_replaced_soon() {
    let mut duties = DutyLeases::new(DutyLeasesSettings::default());
    duties.apply_assignment(
        &GroupAssignment { ttl: duties.ttl(), ..assignment(4, &[2]) },
        ms(0),
        ms(5),
    );
    assert!(duties.ttl() < ms(2000), "{:?}", duties.ttl());
}

#[test]
fn an_outdated_answer_to_a_join_is_ignored() {
    let mut duties = DutyLeases::new(DutyLeasesSettings::default());
    duties.apply_assignment(&assignment(7, &[1]), ms(0), ms(5));
    assert!(duties.apply_assignment(&assignment(6, &[1, 2]), ms(10), ms(15)).is_empty());
    assert_eq!(duties.join_generation(LogEra::default()), 7);
    assert!(!duties.holds(2, ms(20)));
}

#[test]
fn a_fenced_holder_stops_at_once() {
    let mut duties = DutyLeases::new(DutyLeasesSettings::default());
    duties.apply_assignment(&assignment(4, &[2]), ms(0), ms(5));
    assert_eq!(duties.fencing_token(2, ms(500)), Some(4));
    duties.record_fenced(2, ms(500));
    assert_eq!(duties.fencing_token(2, ms(501)), None);
    // The next join of the same generation does not restore the duty before the lease ends.
    duties.apply_assignment(&assignment(4, &[2]), ms(700), ms(705));
    assert_eq!(duties.fencing_token(2, ms(1500)), None);
}

#[test]
fn the_age_counts_from_the_request() {
    let mut freshness = Freshness::new(FreshnessSettings::default());
    assert!(!freshness.accepts_keys(ms(0)));
    freshness.record_read(ms(1000));
    assert_eq!(freshness.age(ms(3000)), Some(ms(2000)));
    assert!(freshness.is_ready(ms(3000)) && freshness.accepts_keys(ms(3000)));
    assert!(!freshness.is_ready(ms(4000)) && freshness.accepts_keys(ms(4000)));
    assert!(!freshness.accepts_keys(ms(5400)));
    // A late answer to an earlier request does not raise the age.
    freshness.record_read(ms(500));
    assert_eq!(freshness.age(ms(3000)), Some(ms(2000)));
}

fn assignment_in(era: u32, generation: u64, partitions: &[u32]) -> GroupAssignment {
    GroupAssignment { era: LogEra(era), ..assignment(generation, partitions) }
}

/// Guards against two vms that order with one fencing token after the log gave out a generation a
/// second time, and against tokens below those that the engines know.
#[test]
fn a_generation_that_is_given_out_again_is_a_higher_token() {
    let mut duties = DutyLeases::new(DutyLeasesSettings::default());
    duties.apply_assignment(&assignment_in(1, 3, &[2]), ms(0), ms(5));
    let before = duties.fencing_token(2, ms(500)).unwrap();
    duties.apply_assignment(&assignment_in(2, 2, &[2]), ms(600), ms(605));
    let lower_generation = duties.fencing_token(2, ms(700)).unwrap();
    assert!(lower_generation > before, "engines refuse a lower token");
    duties.apply_assignment(&assignment_in(2, 3, &[2]), ms(800), ms(805));
    assert!(duties.fencing_token(2, ms(900)).unwrap() > lower_generation);
}

/// Guards against an assignment of the era before that arrives late and takes the duties back.
#[test]
fn an_assignment_of_an_older_era_is_ignored() {
    let mut duties = DutyLeases::new(DutyLeasesSettings::default());
    duties.apply_assignment(&assignment_in(2, 2, &[2]), ms(0), ms(5));
    assert!(duties.apply_assignment(&assignment_in(1, 9, &[]), ms(0), ms(10)).is_empty());
    assert!(duties.holds(2, ms(500)));
}

/// Guards against orders beside those of a vm whose lease the log has forgotten.
#[test]
fn a_duty_gained_in_a_new_era_waits_for_leases_of_the_one_before() {
    let settings = DutyLeasesSettings::default();
    let mut duties = DutyLeases::new(settings);
    duties.apply_assignment(&assignment_in(1, 3, &[1]), ms(0), ms(5));
    for at in (1000..8000).step_by(500) {
        duties.apply_assignment(&assignment_in(2, 2, &[1, 2]), ms(at), ms(at + 5));
        assert!(duties.fencing_token(1, ms(at + 10)).is_some(), "a duty that was held goes on");
        let waits = at + 10 < 1005 + settings.max_ttl.as_millis() as u64;
        assert_eq!(duties.fencing_token(2, ms(at + 10)).is_none(), waits, "at {at} ms");
    }
}

/// Guards against a generation of the era before that the log takes for one of its own to come, so
/// that it deals a duty to another vm before its holder knows.
#[test]
fn a_vm_joins_a_new_era_without_the_generation_of_the_one_before() {
    let mut duties = DutyLeases::new(DutyLeasesSettings::default());
    duties.apply_assignment(&assignment_in(1, 3, &[2]), ms(0), ms(5));
    assert_eq!(duties.join_generation(LogEra(1)), 3);
    assert_eq!(duties.join_generation(LogEra(2)), 0);
}
