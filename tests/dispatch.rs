//! Tests of the choice of an upstream and of the decision after a failed attempt, with loads that
//! occurred in operation.

#[macro_use]
mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use carobglade::{
    AttemptHistory, AttemptOutcome, DispatchCandidate, DispatchDecision, DispatchSettings,
    ErrorKind, EventSplitter, EventTooLong, Incarnation, Load, LoadTracker, MAX_EVENT_BYTES,
    RequestTiming, RetryDecision, RouteKind, TokenPace, UpstreamName, dispatch, name_hash,
};

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn candidate(prompt_backlog: u64) -> DispatchCandidate {
    DispatchCandidate {
        prompt_backlog,
        prefill_tokens: 2000,
        slots: 64,
        memory: (20_000, 140_000),
        latency_ratio: 1.0,
        ..DispatchCandidate::default()
    }
}

fn timing() -> RequestTiming {
    RequestTiming {
        latency_goal: ms(800),
        time_left: ms(5000),
        output_time: ms(300),
        token_rate: 0.0,
        needed_rate: 0.0,
        service_time: ms(20),
        resumes: false,
    }
}

fn decide(candidates: &[DispatchCandidate], timing: &RequestTiming) -> DispatchDecision {
    dispatch(candidates, timing, &DispatchSettings::default(), 0)
}

fn chosen_index(candidates: &[DispatchCandidate], timing: &RequestTiming) -> usize {
    match decide(candidates, timing) {
        DispatchDecision::Send(index, _) => index,
        other => panic!("not sent: {other:?}"),
    }
}

#[test]
fn the_shorter_queue_wins() {
    assert_eq!(chosen_index(&[candidate(9000), candidate(1000), candidate(5000)], &timing()), 1);
}

#[test]
fn a_remote_upstream_must_be_better_by_more_than_the_remote_penalty() {
    let remote = DispatchCandidate { remote: true, ..candidate(1000) };
    assert_eq!(chosen_index(&[remote, candidate(1200)], &timing()), 1);
    assert_eq!(chosen_index(&[remote, candidate(9000)], &timing()), 0);
}

#[test]
fn a_slow_or_failing_upstream_is_avoided() {
    let slow = DispatchCandidate { latency_ratio: 5.0, ..candidate(0) };
    assert_eq!(chosen_index(&[slow, candidate(3000)], &timing()), 1);
    let failing = DispatchCandidate { failure_rate: 0.5, ..candidate(0) };
    assert_eq!(chosen_index(&[failing, candidate(3000)], &timing()), 1);
}

/// When demand moves to a model with a single copy, later requests are rejected at once with a time
/// after which to retry.
#[test]
fn a_request_that_would_be_very_late_is_rejected_with_a_retry_time() {
    match decide(&[candidate(40_000)], &timing()) {
        DispatchDecision::RetryLater(after) => {
            assert!(after >= ms(1000) && after <= ms(2000), "{after:?}")
        }
        other => panic!("not rejected: {other:?}"),
    }
    let patient = RequestTiming { latency_goal: ms(3000), time_left: ms(8000), ..timing() };
    assert_eq!(chosen_index(&[candidate(40_000)], &patient), 0);
}

/// Guards against: the largest prompts were refused on idle engines, since no engine reads them within
/// the latency goal, and told to come back although nothing would change.
#[test]
fn a_prompt_too_large_for_the_goal_is_sent_to_an_idle_engine() {
    let large = |backlog| DispatchCandidate { prefill_tokens: 18_000, ..candidate(backlog) };
    assert_eq!(chosen_index(&[large(20_000), large(0)], &timing()), 1);
    assert!(matches!(decide(&[large(4_000)], &timing()), DispatchDecision::RetryLater(_)));
}

/// A prompt that cannot be read before the deadline is refused also by an idle engine.
#[test]
fn a_prompt_too_large_for_the_deadline_is_rejected() {
    let large = DispatchCandidate { prefill_tokens: 80_000, ..candidate(0) };
    assert!(matches!(decide(&[large], &timing()), DispatchDecision::RetryLater(_)));
}

#[test]
fn a_request_is_not_sent_if_it_cannot_end_in_time() {
    let short = RequestTiming { time_left: ms(350), ..timing() };
    assert!(matches!(decide(&[candidate(0)], &short), DispatchDecision::RetryLater(_)));
}

#[test]
fn full_memory_adds_to_the_wait() {
    let full = DispatchCandidate { memory: (139_000, 140_000), ..candidate(0) };
    assert_eq!(chosen_index(&[full, candidate(1500)], &timing()), 1);
}

#[test]
fn a_plain_upstream_with_free_slots_has_no_wait() {
    let plain = |running| DispatchCandidate {
        running,
        slots: 6,
        latency_ratio: 1.0,
        ..DispatchCandidate::default()
    };
    let timing = RequestTiming {
        latency_goal: ms(100),
        time_left: ms(1500),
        output_time: ms(0),
        token_rate: 0.0,
        needed_rate: 0.0,
        service_time: ms(15),
        resumes: false,
    };
    assert_eq!(chosen_index(&[plain(9), plain(5)], &timing), 1);
    assert_eq!(plain(5).estimate(&timing, &DispatchSettings::default()), ms(0));
}

/// Guards against requests of cheap models that are refused as if their prompts took long to read.
#[test]
fn the_cost_of_a_model_counts_for_its_own_prompt() {
    let costly = DispatchCandidate { prefill_tokens: 6000, ..candidate(9000) };
    let cheap = DispatchCandidate { token_cost: Some(0.1), ..costly };
    let timing = RequestTiming { latency_goal: ms(700), ..timing() };
    assert!(matches!(decide(&[costly], &timing), DispatchDecision::RetryLater(_)));
    assert_eq!(chosen_index(&[cheap], &timing), 0);
}

#[test]
fn without_candidates_there_is_no_upstream() {
    assert_eq!(decide(&[], &timing()), DispatchDecision::NoUpstream);
}

const ONCE: RouteKind = RouteKind::Once;
const IDEMPOTENT: RouteKind = RouteKind::Idempotent;
const STREAM: RouteKind = RouteKind::Stream { resumable: false };
const RESUMABLE_STREAM: RouteKind = RouteKind::Stream { resumable: true };

fn check_decision_after(
    kind: RouteKind,
    attempts: u32,
    outcomes: &[AttemptOutcome],
    expected: RetryDecision,
) {
    let mut history = AttemptHistory::default();
    outcomes.iter().for_each(|outcome| history.record_outcome(*outcome));
    assert_eq!(history.decide(kind, attempts, *outcomes.last().unwrap()), expected);
}

cases! {
    check_decision_after:
    an_unsent_once_request_is_retried => (ONCE, 1, &[AttemptOutcome::Unsent], RetryDecision::Retry);
    a_shed_once_request_stops_at_its_attempt_limit => (ONCE, 1, &[AttemptOutcome::NotRun], RetryDecision::Fail(ErrorKind::UpstreamUnavailable));
    a_shed_once_request_is_retried_within_its_attempt_limit => (ONCE, 2, &[AttemptOutcome::NotRun], RetryDecision::Retry);
    a_once_request_with_a_lost_response_is_not_retried => (ONCE, 3, &[AttemptOutcome::TransportError], RetryDecision::Fail(ErrorKind::UpstreamFailed));
    a_once_request_that_timed_out_is_not_retried => (ONCE, 3, &[AttemptOutcome::TimedOut], RetryDecision::Fail(ErrorKind::Timeout));
    a_server_error_of_a_once_request_is_forwarded => (ONCE, 3, &[AttemptOutcome::ServerError], RetryDecision::ForwardResponse);
    a_stream_that_cannot_resume_is_not_retried => (STREAM, 3, &[AttemptOutcome::TransportError], RetryDecision::Fail(ErrorKind::UpstreamFailed));
    a_resumable_stream_is_retried => (RESUMABLE_STREAM, 2, &[AttemptOutcome::TransportError], RetryDecision::Retry);
    a_resumable_stream_that_was_not_continued_is_retried => (RESUMABLE_STREAM, 3, &[AttemptOutcome::TransportError, AttemptOutcome::NotContinued], RetryDecision::Retry);
    a_stream_that_was_not_continued_stops_at_its_attempt_limit => (RESUMABLE_STREAM, 2, &[AttemptOutcome::TransportError, AttemptOutcome::NotContinued], RetryDecision::Fail(ErrorKind::UpstreamFailed));
    a_resumable_stream_stops_at_its_attempt_limit => (RESUMABLE_STREAM, 2, &[AttemptOutcome::TransportError, AttemptOutcome::TimedOut], RetryDecision::Fail(ErrorKind::Timeout));
    an_idempotent_request_is_retried_after_a_server_error => (IDEMPOTENT, 2, &[AttemptOutcome::ServerError], RetryDecision::Retry);
    the_last_server_error_of_an_idempotent_request_is_forwarded => (IDEMPOTENT, 2, &[AttemptOutcome::TransportError, AttemptOutcome::ServerError], RetryDecision::ForwardResponse);
    an_idempotent_request_that_may_have_run_is_not_reported_as_not_run => (IDEMPOTENT, 2, &[AttemptOutcome::TransportError, AttemptOutcome::NotRun], RetryDecision::Fail(ErrorKind::UpstreamFailed));
}

#[test]
fn events_are_forwarded_whole_at_any_chunk_boundary() {
    let stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for first_cut in 0..stream.len() {
        for second_cut in first_cut..stream.len() {
            let mut splitter = EventSplitter::default();
            let mut forwarded = Vec::new();
            for chunk in
                [&stream[..first_cut], &stream[first_cut..second_cut], &stream[second_cut..]]
            {
                if let Some(events) = splitter.push(chunk).unwrap() {
                    assert!(events.ends_with(b"\n\n") || events.ends_with(b"\r\n\r\n"));
                    forwarded.extend_from_slice(&events);
                }
            }
            assert_eq!(forwarded, stream);
            assert_eq!((splitter.last_id(), splitter.event_count()), (Some(3), 3));
            assert!(!splitter.has_partial());
        }
    }
}

#[test]
fn an_event_without_end_is_an_error() {
    let mut splitter = EventSplitter::default();
    let piece = vec![b'x'; MAX_EVENT_BYTES / 4];
    let pushed: Vec<_> = (0..5).map(|_| splitter.push(&piece)).collect();
    assert_eq!(pushed[3], Ok(None));
    assert_eq!(pushed[4], Err(EventTooLong));
}

/// Returns the decision on a request whose response needs `token_rate` tokens a second, at an engine
/// that gives each response 10 where the longest need 30.
fn decide_at_slow_engine(token_rate: f64) -> DispatchDecision {
    let slow = DispatchCandidate { token_rate: Some(10.0), ..candidate(0) };
    let timing = RequestTiming { token_rate, needed_rate: 30.0, ..timing() };
    decide(&[slow], &timing)
}

#[test]
fn a_slow_engine_is_spared_prompts_with_short_responses() {
    assert!(matches!(decide_at_slow_engine(3.0), DispatchDecision::RetryLater(_)));
    assert!(matches!(decide_at_slow_engine(30.0), DispatchDecision::Send(0, _)));
}

#[test]
fn a_faster_engine_is_preferred_to_a_slow_one() {
    let slow = DispatchCandidate { token_rate: Some(10.0), ..candidate(0) };
    let fast = DispatchCandidate { token_rate: Some(40.0), ..candidate(3000) };
    let timing = RequestTiming { token_rate: 3.0, needed_rate: 30.0, ..timing() };
    assert_eq!(chosen_index(&[slow, fast], &timing), 1);
}

#[test]
fn the_progress_of_streams_is_their_average_over_all_processes() {
    let name: UpstreamName = "engine".parse().unwrap();
    let mut loads = LoadTracker::default();
    assert_eq!(loads.total_load(&name, ms(0)).tokens_per_stream(), None);
    loads.record_stream_start(&name, ms(0));
    loads.record_stream_start(&name, ms(0));
    for i in 1..=50 {
        loads.record_tokens(&name, 4.0, ms(100 * i));
    }
    let peer = BTreeMap::from([(
        name_hash("engine"),
        Load { token_rate: 20, stream_millis: 2_000, ..Load::default() },
    )]);
    loads.apply_report(&"peer".parse().unwrap(), Incarnation(1), peer, ms(5000));
    let rate = loads.total_load(&name, ms(5000)).tokens_per_stream().unwrap();
    assert!((14.0..16.0).contains(&rate), "{rate} tokens a second");
}

#[test]
fn events_have_no_known_size_before_streams_have_ended() {
    let mut pace = TokenPace::default();
    assert_eq!(pace.tokens_per_event("plans"), None);
    for _ in 0..20 {
        pace.record_stream("plans", 120, 40);
    }
    let size = pace.tokens_per_event("plans").unwrap();
    assert!((size - 3.0).abs() < 0.01, "{size} tokens in an event");
}

/// A caller that asks for an endless response does not make all engines of a service look slow.
#[test]
fn a_single_response_without_bound_does_not_decide_the_pace() {
    let mut pace = TokenPace::default();
    (0..500).for_each(|i| pace.record_request("plans", f64::from(i % 30)));
    let before = pace.needed_rate("plans");
    pace.record_request("plans", u64::MAX as f64);
    let after = pace.needed_rate("plans");
    assert!(before > 20.0 && after < before * 1.2, "{before} and {after} tokens a second");
    let endless = RequestTiming { token_rate: 1e22, needed_rate: 1e22, ..timing() };
    let slow = DispatchCandidate { token_rate: Some(0.0), ..candidate(0) };
    assert_eq!(chosen_index(&[slow], &endless), 0);
}

/// Returns a resumption with the timing of a new request that is rejected.
fn resumption(timing: RequestTiming) -> RequestTiming {
    RequestTiming { resumes: true, ..timing }
}

fn is_sent(candidate: DispatchCandidate, timing: &RequestTiming) -> bool {
    matches!(decide(&[candidate], timing), DispatchDecision::Send(..))
}

macro_rules! resumptions {
    ($($name:ident: $candidate:expr, $timing:expr => new $new:literal, resumed $resumed:literal;)*) => {$(
        /// Guards against a resumption that is refused for limits of new streams.
        #[test]
        fn $name() {
            let (candidate, timing): (DispatchCandidate, RequestTiming) = ($candidate, $timing);
            assert_eq!(is_sent(candidate, &timing), $new);
            assert_eq!(is_sent(candidate, &resumption(timing)), $resumed);
        }
    )*};
}

resumptions! {
    a_resumption_may_miss_the_latency_goal: candidate(16_000), timing() => new false, resumed true;
    a_resumption_is_not_rejected_for_a_slow_engine:
        DispatchCandidate { token_rate: Some(5.0), ..candidate(0) },
        RequestTiming { needed_rate: 30.0, ..timing() } => new false, resumed true;
    a_resumption_that_cannot_end_in_time_is_rejected:
        candidate(0), RequestTiming { time_left: ms(400), ..timing() } => new false, resumed false;
    a_resumption_with_a_long_queue_before_it_is_rejected:
        candidate(200_000), timing() => new false, resumed false;
}

#[test]
fn a_rejected_resumption_may_come_back_when_the_queue_lets_it_end_in_time() {
    let timing = resumption(timing());
    let DispatchDecision::RetryLater(after) = decide(&[candidate(198_000)], &timing) else {
        panic!("the resumption is sent");
    };
    // 200,000 tokens at 18 a ms and 45 ms, less the 4,200 ms before which the first byte is needed.
    assert_eq!(after.as_millis(), 6956);
}

macro_rules! remaining_tokens {
    ($($name:ident: $streams:literal streams, $expected:literal, $events:literal events => $left:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut pace = TokenPace::default();
            (0..$streams).for_each(|_| pace.record_stream("plans", 120, 40));
            assert_eq!(pace.remaining_tokens("plans", $expected, $events), $left);
        }
    )*};
}

remaining_tokens! {
    nothing_of_a_new_stream_is_there: 20 streams, 90, 0 events => 90;
    the_events_that_are_there_count_by_their_size: 20 streams, 90, 10 events => 60;
    an_event_of_unknown_size_counts_as_one_token: 0 streams, 90, 10 events => 80;
    a_stream_longer_than_expected_has_nothing_left: 20 streams, 90, 50 events => 0;
}
