//! How long a caller's connection stays open while the configuration changes.

use std::time::Duration;

use carobglade::{CallerLimits, CallerTimeouts, CallerTimeoutsSettings, TimeoutHistory};

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// A change of the idle time: when, and the new value, in milliseconds.
type Change = (u64, u64);

fn timeouts(changes: &[Change]) -> CallerTimeouts {
    let settings = CallerTimeoutsSettings { min_idle: ms(2500), config_delay: ms(2000) };
    let mut timeouts = CallerTimeouts::new(settings);
    for (at, idle) in changes {
        let limits = CallerLimits {
            idle_timeout: ms(*idle),
            header_timeout: ms(1000),
            ..CallerLimits::default()
        };
        timeouts.record(&limits, ms(*at));
    }
    timeouts
}

/// Checks until when a connection stays open that has been idle since 10 s, in milliseconds.
macro_rules! idle_cases {
    ($($name:ident: $changes:expr => $until:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(timeouts(&$changes).idle_until(ms(10_000)), ms($until));
            }
        )*
    };
}

idle_cases! {
    an_idle_time_without_a_change: [(1000, 5000)] => 17_000;
    a_longer_time_holds: [(1000, 5000), (12_000, 9000)] => 21_000;
    a_shorter_time_does_not: [(1000, 5000), (12_000, 400)] => 17_000;
    a_shorter_time_holds_for_later_waits: [(1000, 5000), (9000, 400)] => 12_500;
    the_longest_of_several_holds: [(1000, 5000), (12_000, 9000), (13_000, 400), (14_000, 600)] => 21_000;
    a_longer_time_that_was_over_does_not: [(1000, 5000), (8000, 9000), (9000, 3000)] => 15_000;
    a_short_time_is_at_least_what_callers_were_told: [(1000, 100)] => 12_500;
}

/// Checks `longest_since` against all values that were in force, on seeded changes.
#[test]
fn the_longest_timeout_is_that_of_the_whole_history() {
    let mut state = 7_u64;
    let mut draw = |limit: u64| {
        state =
            state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) % limit
    };
    let mut history = TimeoutHistory::new(ms(500));
    let mut all = vec![(Duration::ZERO, ms(500))];
    let mut now = Duration::ZERO;
    for _ in 0..2000 {
        now += ms(1 + draw(300));
        let value = ms(draw(900));
        history.record(value, now);
        all.push((now, value));
        let start = now.saturating_sub(ms(draw(900)));
        let last_before = all.iter().rposition(|(at, _)| *at <= start).unwrap();
        let expected = all[last_before..].iter().map(|(_, value)| *value).max().unwrap();
        let longest = history.longest_since(start);
        // What a wait that is over relied on may be forgotten.
        let over = start + expected < now;
        assert!(longest == expected || over, "{longest:?} instead of {expected:?} at {now:?}");
    }
}

#[test]
fn a_head_has_its_time_from_its_first_byte() {
    assert_eq!(timeouts(&[(1000, 5000)]).head_until(ms(14_900)), ms(15_900));
}

#[test]
fn a_pause_of_a_body_follows_a_longer_idle_time() {
    let timeouts = timeouts(&[(1000, 500), (10_200, 1500)]);
    assert_eq!(timeouts.body_until(ms(10_000)), ms(11_500));
}
