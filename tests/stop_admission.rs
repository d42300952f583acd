//! Which requests a stopping process takes, and what it knows of how long they take.

use std::time::Duration;

use carobglade::{RequestWork, ResponseTimes, StopAdmission, StopAdmissionSettings};

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Time by which all requests have to end.
const END: Duration = ms(10_000);
/// Time from which refused callers reach another vm.
const REROUTED_AT: Duration = ms(4_000);

fn admission() -> StopAdmission {
    let settings = StopAdmissionSettings { time_factor: 1.25, token_rate: 50.0 };
    StopAdmission::new(END, REROUTED_AT, settings)
}

fn stream(tokens: u64, token_rate: Option<f64>) -> RequestWork {
    RequestWork::Stream { first_byte: ms(400), tokens, token_rate }
}

fn plain(millis: u64) -> RequestWork {
    RequestWork::Plain { time: ms(millis) }
}

macro_rules! admission_tests {
    ($($name:ident: $work:expr, $deadline:expr, $now:expr => $admitted:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(admission().admits(&$work, $deadline, $now), $admitted);
        }
    )*};
}

admission_tests! {
    an_expected_end_is_enough_before_callers_reach_another_vm:
        stream(300, Some(100.0)), ms(20_000), ms(3_999) => true;
    no_expected_end_is_enough_for_a_stream_afterwards:
        stream(1, Some(100.0)), ms(20_000), ms(4_000) => false;
    a_stream_that_will_be_broken_off_is_refused_at_once:
        stream(700, Some(100.0)), ms(20_000), ms(3_000) => false;
    a_slow_upstream_needs_more_time: stream(300, Some(45.0)), ms(20_000), ms(3_000) => false;
    the_usual_rate_counts_where_none_is_known: stream(280, None), ms(20_000), ms(3_999) => true;
    a_stream_too_long_for_the_usual_rate_is_refused:
        stream(290, None), ms(20_000), ms(3_999) => false;
    a_caller_that_gives_up_before_the_end_is_admitted: stream(9_000, None), END, ms(9_900) => true;
    a_stalled_upstream_gets_no_stream: stream(200, Some(0.0)), ms(20_000), ms(3_000) => false;
    work_without_bound_is_refused: stream(u64::MAX, Some(0.0)), ms(20_000), ms(1_000) => false;
    a_plain_request_that_fits_is_admitted: plain(2_400), ms(20_000), ms(7_000) => true;
    a_plain_request_without_a_margin_is_refused: plain(2_400), ms(20_000), ms(7_500) => false;
    a_plain_request_needs_no_margin_before_callers_reach_another_vm:
        plain(6_001), ms(20_000), ms(3_999) => true;
    a_plain_request_without_bound_is_refused:
        RequestWork::Plain { time: Duration::MAX }, ms(20_000), ms(4_000) => false;
    nothing_is_admitted_after_the_end: plain(1), ms(20_000), ms(10_100) => false;
}

#[test]
fn a_wait_goes_on_until_callers_reach_another_vm() {
    assert!(admission().admits_wait(ms(20_000), ms(3_999)));
    assert!(!admission().admits_wait(ms(20_000), REROUTED_AT));
}

#[test]
fn a_caller_that_gives_up_before_the_end_may_wait_at_any_time() {
    assert!(admission().admits_wait(END, ms(9_000)));
}

const DESK: &str = "desk";

#[test]
fn the_longest_recent_response_counts() {
    let mut times = ResponseTimes::default();
    assert_eq!(times.longest(DESK, ms(0)), None);
    for (took, now) in [(300, 1_000), (100, 2_000)] {
        let number = times.record_start(DESK, ms(now));
        times.record_end(DESK, number, ms(now + took));
    }
    let longest = times.longest(DESK, ms(2_100)).unwrap();
    assert!(longest > ms(280) && longest <= ms(300), "{longest:?}");
    let later = times.longest(DESK, ms(62_100)).unwrap();
    assert!(later < ms(60), "{later:?}");
}

#[test]
fn a_request_without_a_response_counts_from_its_start() {
    let mut times = ResponseTimes::default();
    times.record_start(DESK, ms(1_000));
    let number = times.record_start(DESK, ms(3_000));
    times.record_end(DESK, number, ms(3_020));
    assert_eq!(times.longest(DESK, ms(4_000)), Some(ms(3_000)));
}
