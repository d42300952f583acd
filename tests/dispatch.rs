//! Choice of an upstream and what follows a failed try, on loads that occurred.

#[macro_use]
mod support;

use std::time::Duration;

use carobglade::{
    AttemptHistory, AttemptOutcome, DispatchCandidate, DispatchDecision, DispatchSettings,
    ErrorKind, EventSplitter, RequestTiming, RetryDecision, RouteKind, dispatch,
};

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn bid(backlog: u64) -> DispatchCandidate {
    DispatchCandidate {
        queued_tokens: backlog,
        prefill_tokens: 2000,
        slots: 64,
        memory: (20_000, 140_000),
        latency_ratio: 1.0,
        ..DispatchCandidate::default()
    }
}

fn need() -> RequestTiming {
    RequestTiming { goal: ms(800), time_left: ms(5000), output_time: ms(300), service_time: ms(20) }
}

fn chosen(bids: &[DispatchCandidate], need: &RequestTiming) -> DispatchDecision {
    dispatch(bids, need, &DispatchSettings::default(), 0)
}

fn index(bids: &[DispatchCandidate], need: &RequestTiming) -> usize {
    match chosen(bids, need) {
        DispatchDecision::Send(index, _) => index,
        other => panic!("not sent: {other:?}"),
    }
}

#[test]
fn the_shorter_backlog_wins() {
    assert_eq!(index(&[bid(9000), bid(1000), bid(5000)], &need()), 1);
}

#[test]
fn another_data_centre_must_be_better_by_more_than_the_way() {
    let remote = DispatchCandidate { remote: true, ..bid(1000) };
    assert_eq!(index(&[remote, bid(1200)], &need()), 1);
    assert_eq!(index(&[remote, bid(9000)], &need()), 0);
}

#[test]
fn a_slow_or_failing_upstream_gets_less() {
    let slow = DispatchCandidate { latency_ratio: 5.0, ..bid(0) };
    assert_eq!(index(&[slow, bid(3000)], &need()), 1);
    let failing = DispatchCandidate { failure_rate: 0.5, ..bid(0) };
    assert_eq!(index(&[failing, bid(3000)], &need()), 1);
}

/// Demand moved to a model with one copy: what comes later is told at once to come back.
#[test]
fn a_request_that_would_be_very_late_is_refused_with_a_time() {
    match chosen(&[bid(40_000)], &need()) {
        DispatchDecision::RetryLater(after) => {
            assert!(after >= ms(1000) && after <= ms(2000), "{after:?}")
        }
        other => panic!("{other:?}"),
    }
    let patient = RequestTiming { goal: ms(3000), time_left: ms(8000), ..need() };
    assert_eq!(index(&[bid(40_000)], &patient), 0);
}

#[test]
fn a_request_is_not_sent_where_it_cannot_end_in_time() {
    let short = RequestTiming { time_left: ms(350), ..need() };
    assert!(matches!(chosen(&[bid(0)], &short), DispatchDecision::RetryLater(_)));
}

#[test]
fn a_full_memory_counts_as_a_wait() {
    let full = DispatchCandidate { memory: (139_000, 140_000), ..bid(0) };
    assert_eq!(index(&[full, bid(1500)], &need()), 1);
}

#[test]
fn a_plain_upstream_with_free_places_has_no_wait() {
    let plain = |running| DispatchCandidate {
        running,
        slots: 6,
        latency_ratio: 1.0,
        ..DispatchCandidate::default()
    };
    let need = RequestTiming {
        goal: ms(100),
        time_left: ms(1500),
        output_time: ms(0),
        service_time: ms(15),
    };
    assert_eq!(index(&[plain(9), plain(5)], &need), 1);
    assert_eq!(plain(5).estimate(&need, &DispatchSettings::default()), ms(0));
}

#[test]
fn nobody_is_not_late() {
    assert_eq!(chosen(&[], &need()), DispatchDecision::NoUpstream);
}

const ONCE: RouteKind = RouteKind::Once;
const READ: RouteKind = RouteKind::Idempotent;
const DRAFT: RouteKind = RouteKind::Stream { resumable: false };
const PLAN: RouteKind = RouteKind::Stream { resumable: true };

fn after(kind: RouteKind, attempts: u32, ends: &[AttemptOutcome], expected: RetryDecision) {
    let mut tries = AttemptHistory::default();
    ends.iter().for_each(|end| tries.record(*end));
    assert_eq!(tries.decide(kind, attempts, *ends.last().unwrap()), expected);
}

cases! {
    after:
    a_command_that_was_not_sent_goes_elsewhere => (ONCE, 1, &[AttemptOutcome::Unsent], RetryDecision::Retry);
    a_command_that_was_shed_keeps_to_its_attempts => (ONCE, 1, &[AttemptOutcome::NotRun], RetryDecision::Fail(ErrorKind::UpstreamUnavailable));
    a_command_that_was_shed_may_go_on => (ONCE, 2, &[AttemptOutcome::NotRun], RetryDecision::Retry);
    a_command_with_a_lost_answer_ends => (ONCE, 3, &[AttemptOutcome::TransportError], RetryDecision::Fail(ErrorKind::UpstreamFailed));
    a_silent_command_ends_unknown => (ONCE, 3, &[AttemptOutcome::TimedOut], RetryDecision::Fail(ErrorKind::Timeout));
    a_failed_command_is_answered_by_its_upstream => (ONCE, 3, &[AttemptOutcome::ServerError], RetryDecision::ForwardResponse);
    a_draft_is_like_a_command => (DRAFT, 3, &[AttemptOutcome::TransportError], RetryDecision::Fail(ErrorKind::UpstreamFailed));
    a_plan_goes_on => (PLAN, 2, &[AttemptOutcome::TransportError], RetryDecision::Retry);
    a_plan_keeps_to_its_attempts => (PLAN, 2, &[AttemptOutcome::TransportError, AttemptOutcome::TimedOut], RetryDecision::Fail(ErrorKind::Timeout));
    a_read_is_tried_again_after_a_failure => (READ, 2, &[AttemptOutcome::ServerError], RetryDecision::Retry);
    a_read_passes_the_last_failure => (READ, 2, &[AttemptOutcome::TransportError, AttemptOutcome::ServerError], RetryDecision::ForwardResponse);
    a_read_that_may_have_run_is_not_called_unrun => (READ, 2, &[AttemptOutcome::TransportError, AttemptOutcome::NotRun], RetryDecision::Fail(ErrorKind::UpstreamFailed));
}

#[test]
fn events_are_passed_on_whole_at_any_cut() {
    let stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for cut in 0..stream.len() {
        for second in cut..stream.len() {
            let mut splitter = EventSplitter::default();
            let mut passed = Vec::new();
            for part in [&stream[..cut], &stream[cut..second], &stream[second..]] {
                if let Some(events) = splitter.push(part) {
                    assert!(events.ends_with(b"\n\n") || events.ends_with(b"\r\n\r\n"));
                    passed.extend_from_slice(&events);
                }
            }
            assert_eq!(passed, stream);
            assert_eq!((splitter.last_id(), splitter.count()), (Some(3), 3));
            assert!(!splitter.has_partial());
        }
    }
}
