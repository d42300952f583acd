//! Limits that upstreams name: who may send when, over all vms.

use std::collections::BTreeMap;
use std::time::Duration;

use carobglade::{
    ColdLimit, HubSelector, HubSelectorSettings, RequestRate, Turn, UpstreamLimits, UpstreamName,
    VmName, VmProfile,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const WINDOW: Duration = Duration::from_secs(4);

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn engine() -> UpstreamName {
    "engine-1".parse().unwrap()
}

fn rate(text: &str) -> RequestRate {
    text.parse().unwrap()
}

fn limited(text: &str, now: Duration) -> UpstreamLimits {
    let mut limits = UpstreamLimits::default();
    assert!(limits.record(&engine(), 1, Some(rate(text)), now));
    limits
}

/// Returns the most arrivals in a window.
fn most_arrivals(arrivals: &[Duration]) -> usize {
    let in_window = |start: &Duration| {
        arrivals.iter().filter(|at| **at >= *start && **at < *start + WINDOW).count()
    };
    arrivals.iter().map(in_window).max().unwrap_or_default()
}

/// The users' bound for a limit, in a window.
fn bound(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

#[test]
fn turns_follow_the_limit_and_start_after_an_interval() {
    let mut limits = limited("2", ms(0));
    let mut turn = |now| limits.take_turn(&engine(), ms(0), now);
    assert_eq!(turn(ms(0)), Turn::Refused(ms(500)));
    assert_eq!(turn(ms(500)), Turn::After(ms(0)));
    assert_eq!(turn(ms(600)), Turn::Refused(ms(400)));
    assert_eq!(turn(ms(5000)), Turn::After(ms(0)));
    assert_eq!(turn(ms(5001)), Turn::Refused(ms(499)), "unused turns are not saved up");
}

fn cold(text: &str, until: Duration) -> ColdLimit {
    ColdLimit { rate: rate(text), until }
}

/// Guards against upstreams that come back cold and fall over from a second's requests.
#[test]
fn a_cold_upstream_has_turns_until_it_is_warm() {
    let mut limits = UpstreamLimits::default();
    assert!(limits.record_cold(&engine(), 1, cold("4", ms(3000)), ms(0)));
    assert!(!limits.record_cold(&engine(), 1, cold("4", ms(2500)), ms(100)));
    let sent = (0..300)
        .filter(|step| limits.take_turn(&engine(), ms(0), ms(10 * step)) == Turn::After(ms(0)));
    assert_eq!(sent.count(), 11, "four a second, none in the first interval");
    assert_eq!(limits.rate(&engine(), ms(3000)), None);
    assert_eq!(limits.take_turn(&engine(), ms(0), ms(3000)), Turn::After(ms(0)));
    limits.expire(ms(3000));
    assert!(limits.notices(ms(3000)).is_empty());
}

#[test]
fn responses_without_a_limit_leave_a_cold_upstream_its_turns() {
    let mut limits = UpstreamLimits::default();
    limits.record_cold(&engine(), 1, cold("4", ms(3000)), ms(0));
    assert_eq!(limits.take_turn(&engine(), ms(0), ms(0)), Turn::Refused(ms(250)));
    assert!(!limits.record(&engine(), 1, None, ms(240)));
    assert_eq!(limits.take_turn(&engine(), ms(0), ms(250)), Turn::After(ms(0)));
    assert!(!limits.record(&engine(), 1, None, ms(260)));
    assert_eq!(limits.take_turn(&engine(), ms(0), ms(270)), Turn::Refused(ms(230)));
}

#[test]
fn the_lower_one_of_two_limits_holds() {
    let mut limits = limited("2", ms(0));
    limits.record_cold(&engine(), 1, cold("4", ms(3000)), ms(0));
    assert_eq!(limits.rate(&engine(), ms(10)), Some(rate("2")));
    limits.record(&engine(), 1, Some(rate("9")), ms(20));
    assert_eq!(limits.rate(&engine(), ms(30)), Some(rate("4")));
    assert_eq!(limits.rate(&engine(), ms(3000)), Some(rate("9")));
    // Another run of the upstream is another upstream.
    assert!(!limits.record_cold(&engine(), 0, cold("1", ms(9000)), ms(30)));
    limits.record(&engine(), 2, None, ms(40));
    assert_eq!(limits.rate(&engine(), ms(50)), None);
}

/// Guards against an owner of turns that has not read yet that the upstream is cold.
#[test]
fn a_request_for_a_turn_tells_that_an_upstream_is_cold() {
    let mut limits = UpstreamLimits::default();
    limits.record_cold(&engine(), 1, cold("4", ms(3000)), ms(0));
    let mut owner = UpstreamLimits::default();
    owner.apply(&limits.notice(&engine(), ms(100)).unwrap(), ms(100));
    assert_eq!(owner.take_turn(&engine(), ms(0), ms(100)), Turn::Refused(ms(250)));
    owner.record(&engine(), 1, None, ms(3100));
    assert_eq!(owner.take_turn(&engine(), ms(0), ms(3100)), Turn::After(ms(0)));
}

#[test]
fn requests_that_can_wait_get_turns_one_after_the_other() {
    let mut limits = limited("2", ms(0));
    let turns: Vec<Turn> = (0..4).map(|_| limits.take_turn(&engine(), ms(1600), ms(0))).collect();
    let after = |millis| Turn::After(ms(millis));
    assert_eq!(turns, [after(500), after(1000), after(1500), Turn::Refused(ms(2000))]);
}

macro_rules! limits_that_parse {
    ($($name:ident: $text:literal => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let expected: Option<f64> = $expected;
            assert_eq!($text.parse::<RequestRate>().ok().map(RequestRate::per_second), expected);
        }
    )*};
}

limits_that_parse! {
    a_limit_may_be_whole: "3" => Some(3.0);
    a_limit_may_have_a_fraction: " 1.25 " => Some(1.25);
    a_limit_may_be_zero: "0" => Some(0.0);
    a_limit_is_not_negative: "-1" => None;
    a_limit_is_finite: "inf" => None;
    a_limit_is_a_number: "many" => None;
    a_limit_is_not_empty: "" => None;
}

#[test]
fn an_upstream_that_takes_nothing_is_asked_now_and_then() {
    let mut limits = limited("0", ms(0));
    let mut arrivals = Vec::new();
    for now in (0..60_000).step_by(10).map(ms) {
        if limits.take_turn(&engine(), ms(0), now) == Turn::After(ms(0)) {
            arrivals.push(now);
        }
    }
    assert!((10..=13).contains(&arrivals.len()), "{arrivals:?}");
}

#[test]
fn an_absurd_limit_is_none() {
    let mut limits = UpstreamLimits::default();
    assert!(!limits.record(&engine(), 1, Some(rate("1e300")), ms(1)));
    assert!(limits.is_empty());
}

#[test]
fn the_latest_word_of_an_upstream_holds_everywhere() {
    let (mut one, mut other) = (limited("1", ms(1000)), UpstreamLimits::default());
    let early = one.notices(ms(1100));
    assert!(other.apply(&early[0], ms(1100)));
    assert!(!other.apply(&early[0], ms(1100)), "no news");
    one.record(&engine(), 1, None, ms(2000));
    assert!(other.apply(&one.notices(ms(2100))[0], ms(2100)));
    assert_eq!(other.rate(&engine(), ms(0)), None);
    // A vm that has not heard of the end tells of the limit, 1.2 s old.
    assert!(!other.apply(&early[0].clone(), ms(1100)), "the limit that ended is back");
    // The next run of the upstream has said nothing of a limit.
    let mut restarted = limited("1", ms(1000));
    assert!(!restarted.record(&engine(), 2, None, ms(500)));
    assert_eq!(restarted.rate(&engine(), ms(0)), None);
}

#[test]
fn a_limit_that_rises_or_falls_holds_from_then_on() {
    let mut limits = limited("1", ms(0));
    assert_eq!(limits.take_turn(&engine(), ms(0), ms(0)), Turn::Refused(ms(1000)));
    assert_eq!(limits.take_turn(&engine(), ms(0), ms(1000)), Turn::After(ms(0)));
    assert!(limits.record(&engine(), 1, Some(rate("10")), ms(1000)));
    assert_eq!(limits.take_turn(&engine(), ms(0), ms(2000)), Turn::After(ms(0)));
    assert_eq!(limits.take_turn(&engine(), ms(0), ms(2100)), Turn::After(ms(0)));
    assert!(limits.record(&engine(), 1, Some(rate("0.5")), ms(2100)));
    assert_eq!(limits.take_turn(&engine(), ms(0), ms(2200)), Turn::After(ms(0)));
    assert_eq!(limits.take_turn(&engine(), ms(0), ms(4000)), Turn::Refused(ms(200)));
}

/// A fleet in which every vm has more requests for one upstream than its limit, and vms die, start
/// and are taken for dead at different times.
struct Fleet {
    vms: BTreeMap<VmName, (UpstreamLimits, HubSelector)>,
    /// When each vm was told of the limit.
    told_at: BTreeMap<VmName, Duration>,
    random: StdRng,
}

/// Time after which requests of a vm that was told of a limit count.
const TOLD_TIME: Duration = ms(500);

fn vm(i: usize) -> VmName {
    format!("vm-{i}").parse().unwrap()
}

fn selector(i: usize, fleet: usize, now: Duration) -> HubSelector {
    let profile = || VmProfile { data_centre: "rennes".parse().unwrap(), cpu_capacity: 25 };
    let mut hubs = HubSelector::new(HubSelectorSettings::default(), vm(i), profile());
    for other in (0..fleet).filter(|other| *other != i) {
        hubs.add_listed(&vm(other), profile(), now);
    }
    hubs
}

impl Fleet {
    fn new(size: usize, limit: &str, seed: u64) -> Self {
        let vms = (0..size).map(|i| (vm(i), (limited(limit, ms(0)), selector(i, size, ms(0)))));
        let told_at = (0..size).map(|i| (vm(i), ms(0))).collect();
        Fleet { vms: vms.collect(), told_at, random: StdRng::seed_from_u64(seed) }
    }

    /// Vms of a part of the fleet hear of each other and of the limit, but for one message in five.
    fn exchange(&mut self, same_part: impl Fn(&VmName, &VmName) -> bool, now: Duration) {
        let notices: Vec<_> = self
            .vms
            .iter()
            .map(|(name, (limits, _))| (name.clone(), limits.notices(now)))
            .collect();
        for (name, (limits, hubs)) in &mut self.vms {
            for (other, notices) in &notices {
                if same_part(name, other) && !self.random.random_bool(0.2) {
                    hubs.record_contact(other, now);
                    for notice in notices {
                        limits.apply(notice, now);
                    }
                }
            }
        }
    }

    /// Asks the owner for a turn as the vm `name`; returns when the request is sent.
    /// A vm that knows no limit does not ask.
    fn send(&mut self, name: &VmName, limit: RequestRate, now: Duration) -> Option<Duration> {
        let (limits, hubs) = self.vms.get_mut(name)?;
        if limits.rate(&engine(), now).is_none() {
            // A vm that has just started sends, and the upstream's response tells it.
            limits.record(&engine(), 1, Some(limit), now);
            self.told_at.insert(name.clone(), now);
            return Some(now);
        }
        if limits.known_wait(&engine(), ms(0), now).is_some() {
            return None;
        }
        let owner = hubs.owner_of("engine-1", now);
        let spread = self.random.random::<f64>() * 2.0;
        let turn = match self.vms.get_mut(&owner) {
            Some((schedule, _)) => schedule.take_turn(&engine(), ms(0), now),
            None => {
                self.vms.get_mut(name)?.1.record_request(&owner, now);
                Turn::Refused(ms(300))
            }
        };
        match turn {
            Turn::After(wait) => Some(now + wait),
            Turn::Refused(wait) => {
                self.vms.get_mut(name)?.0.record_refusal(&engine(), wait, spread, now);
                None
            }
        }
    }
}

fn check_fleet(size: usize, limit: &str) {
    for seed in 0..8 {
        let mut fleet = Fleet::new(size, limit, seed);
        let mut arrivals = Vec::new();
        for now in (0..60_000).step_by(20).map(ms) {
            if now.as_millis() % 200 == 0 {
                fleet.exchange(|_, _| true, now);
            }
            // A vm dies every six seconds and is back two seconds later, knowing nothing.
            let victim = vm(fleet.random.random_range(0..size));
            if now.as_millis() % 6000 == 3000 {
                fleet.vms.remove(&victim);
            }
            if now.as_millis() % 6000 == 5000 {
                for i in 0..size {
                    let fresh = || (UpstreamLimits::default(), selector(i, size, now));
                    fleet.vms.entry(vm(i)).or_insert_with(fresh);
                }
            }
            for i in 0..size {
                let sent = fleet.send(&vm(i), rate(limit), now);
                let counts = now >= fleet.told_at[&vm(i)] + TOLD_TIME;
                arrivals.extend(sent.filter(|_| counts));
            }
        }
        let per_second: f64 = limit.parse().unwrap();
        let most = most_arrivals(&arrivals);
        assert!(
            most <= bound(per_second),
            "{most} arrivals, limit {limit}, {size} vms, seed {seed}"
        );
        let fair = per_second * 60.0 * 0.5;
        assert!(arrivals.len() as f64 >= fair, "{} arrivals, limit {limit}", arrivals.len());
    }
}

macro_rules! fleets {
    ($($name:ident: $size:literal $limit:literal;)*) => {$(
        #[test]
        fn $name() {
            check_fleet($size, $limit);
        }
    )*};
}

fleets! {
    nine_vms_keep_a_limit_of_one: 9 "1";
    nine_vms_keep_a_limit_below_one: 9 "0.5";
    nine_vms_keep_a_limit_of_twelve: 9 "12.5";
    seventy_vms_keep_a_limit_of_one: 70 "1.3";
    seventy_vms_keep_a_limit_of_eight: 70 "8";
}

/// Two parts of a fleet that do not hear each other have an owner each.
///
/// Guards against more owners than parts. The users' bound leaves room for two owners of small limits;
/// with larger ones they excuse the vms that are cut off.
#[test]
fn two_parts_of_a_fleet_give_twice_a_small_limit_at_most() {
    for limit in ["0.5", "1", "1.5"] {
        let mut fleet = Fleet::new(9, limit, 1);
        let part = |name: &VmName| name.as_str() < "vm-4";
        let mut arrivals = Vec::new();
        for now in (0..30_000).step_by(20).map(ms) {
            if now.as_millis() % 200 == 0 {
                fleet.exchange(|one, other| part(one) == part(other), now);
            }
            for i in 0..9 {
                arrivals.extend(fleet.send(&vm(i), rate(limit), now));
            }
        }
        let most = most_arrivals(&arrivals);
        assert!(most <= bound(limit.parse().unwrap()), "{most} arrivals, limit {limit}");
    }
}
