//! Tests of the delays between failed calls.

use std::time::Duration;

use carobglade::Backoff;

const MAX_DELAY: Duration = Duration::from_millis(2000);

/// Returns the number of calls made in ten seconds if every call fails at once.
fn calls_in_ten_seconds(random: impl Fn(u32) -> f64) -> u32 {
    let mut backoff = Backoff::default();
    let mut now = Duration::ZERO;
    let mut count = 0;
    while now < Duration::from_secs(10) {
        now += backoff.record_failure(MAX_DELAY, random(count));
        count += 1;
    }
    count
}

#[test]
fn failing_calls_are_spaced_out() {
    assert!(calls_in_ten_seconds(|_| 1.0) <= 9, "{} calls in 10 s", calls_in_ten_seconds(|_| 1.0));
    assert!(calls_in_ten_seconds(|_| 0.0) <= 15, "{} calls in 10 s", calls_in_ten_seconds(|_| 0.0));
}

#[test]
fn callers_that_fail_together_retry_at_different_times() {
    let mut early = Backoff::default();
    let mut late = Backoff::default();
    let total_delay = |backoff: &mut Backoff, random| {
        (0..4).map(|_| backoff.record_failure(MAX_DELAY, random)).sum::<Duration>()
    };
    let gap = total_delay(&mut late, 0.9) - total_delay(&mut early, 0.1);
    assert!(gap > Duration::from_millis(500), "retries are only {gap:?} apart after four failures");
}

#[test]
fn an_answer_resets_the_delay() {
    let mut backoff = Backoff::default();
    assert!(!backoff.record_success());
    for _ in 0..8 {
        backoff.record_failure(MAX_DELAY, 0.5);
    }
    assert_eq!(backoff.failures(), 8);
    assert!(backoff.record_success());
    assert!(backoff.record_failure(MAX_DELAY, 1.0) <= Duration::from_millis(150));
}
