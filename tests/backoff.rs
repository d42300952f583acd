//! Pauses between calls that fail.

use std::time::Duration;

use carobglade::Backoff;

const LONGEST: Duration = Duration::from_millis(2000);

/// Calls in ten seconds to an answerer that refuses each at once.
fn calls(random: impl Fn(u32) -> f64) -> u32 {
    let mut backoff = Backoff::default();
    let mut now = Duration::ZERO;
    let mut count = 0;
    while now < Duration::from_secs(10) {
        now += backoff.record_failure(LONGEST, random(count));
        count += 1;
    }
    count
}

#[test]
fn calls_that_fail_become_rare() {
    assert!(calls(|_| 1.0) <= 9, "{} calls in 10 s", calls(|_| 1.0));
    assert!(calls(|_| 0.0) <= 15, "{} calls in 10 s", calls(|_| 0.0));
}

#[test]
fn callers_that_fail_together_come_back_apart() {
    let mut early = Backoff::default();
    let mut late = Backoff::default();
    let pauses = |backoff: &mut Backoff, random| {
        (0..4).map(|_| backoff.record_failure(LONGEST, random)).sum::<Duration>()
    };
    let apart = pauses(&mut late, 0.9) - pauses(&mut early, 0.1);
    assert!(apart > Duration::from_millis(500), "{apart:?} apart after four failures");
}

#[test]
fn an_answer_ends_the_long_pauses() {
    let mut backoff = Backoff::default();
    assert!(!backoff.record_answer());
    for _ in 0..8 {
        backoff.record_failure(LONGEST, 0.5);
    }
    assert_eq!(backoff.failures(), 8);
    assert!(backoff.record_answer());
    assert!(backoff.record_failure(LONGEST, 1.0) <= Duration::from_millis(150));
}
