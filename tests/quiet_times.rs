//! When upstreams that asked for quiet get requests again.

use std::time::Duration;

use carobglade::{QuietTimes, UpstreamName};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn upstream(i: usize) -> UpstreamName {
    format!("upstream-{i}").parse().unwrap()
}

#[test]
fn an_upstream_that_asked_for_quiet_is_left_alone_until_its_end() {
    let mut quiet = QuietTimes::default();
    assert!(quiet.record(&upstream(0), ms(2500), 0.0, ms(100)));
    assert_eq!(quiet.left(&upstream(0), ms(100)), Some(ms(2500)));
    assert_eq!(quiet.left(&upstream(1), ms(100)), None);
    assert_eq!(quiet.left(&upstream(0), ms(2600)), None);
}

/// Guards against an earlier end that is told later and counts.
#[test]
fn of_two_times_the_later_end_counts() {
    let mut quiet = QuietTimes::default();
    assert!(quiet.record(&upstream(0), ms(4000), 0.0, ms(0)));
    assert!(!quiet.record(&upstream(0), ms(1000), 0.0, ms(500)));
    assert_eq!(quiet.left(&upstream(0), ms(3000)), Some(ms(1000)));
}

#[test]
fn an_absurd_time_is_cut_and_none_asks_for_nothing() {
    let mut quiet = QuietTimes::default();
    quiet.record(&upstream(0), Duration::from_secs(1 << 40), 1.0, ms(0));
    assert!(quiet.left(&upstream(0), Duration::from_secs(62)).is_none());
    assert!(!quiet.record(&upstream(1), ms(0), 1.0, ms(0)));
    assert_eq!(quiet.left(&upstream(1), ms(0)), None);
}

#[test]
fn an_upstream_that_starts_again_wants_requests() {
    let mut quiet = QuietTimes::default();
    quiet.record(&upstream(0), ms(9000), 0.5, ms(0));
    quiet.remove(&upstream(0));
    assert_eq!(quiet.left(&upstream(0), ms(1)), None);
    quiet.record(&upstream(0), ms(1000), 0.0, ms(0));
    quiet.expire(ms(1000));
    assert_eq!(quiet.left(&upstream(0), ms(0)), None);
}

/// Guards against the crowd of all vms at the end of the time, which fills the upstream again.
#[test]
fn a_fleet_does_not_come_back_at_one_moment() {
    let mut random = StdRng::seed_from_u64(7);
    let mut ends: Vec<u128> = (0..70)
        .map(|_| {
            let mut quiet = QuietTimes::default();
            quiet.record(&upstream(0), ms(3000), random.random(), ms(0));
            quiet.left(&upstream(0), ms(0)).unwrap().as_millis()
        })
        .collect();
    ends.sort_unstable();
    assert!(ends[0] >= 3000 && ends[69] <= 3600, "{ends:?}");
    let crowded = ends.windows(15).filter(|part| part[14] - part[0] < 50).count();
    assert_eq!(crowded, 0, "{ends:?}");
}
