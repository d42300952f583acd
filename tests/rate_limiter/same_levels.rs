//! Property test: the limiter keeps the levels of one that walks over all peers of all tenants.

use std::time::Duration;

use carobglade::{
    Incarnation, RateLimiter, RateLimiterSettings, ReporterState, TenantName, TenantUsage, Tokens,
    VmName,
};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::walking_limiter::WalkingLimiter;

/// All steps are multiples of 1/64 s, and rates and fleets are powers of two, so that the sums of
/// both limiters are exact.
const TICK: Duration = Duration::from_nanos(1_000_000_000 / 64);
const FLEET: usize = 32;
const STEPS: usize = 2_000;

const REPORTERS: [ReporterState; 3] =
    [ReporterState::New, ReporterState::Settled, ReporterState::Leaving];

/// Peers that report, fall silent, come back and start again, and tenants that come and go.
struct RandomPeers {
    rng: StdRng,
    totals: Vec<u64>,
    incarnations: Vec<u64>,
    silent: Vec<bool>,
    tenants: Vec<TenantName>,
    now: Duration,
}

impl RandomPeers {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let peers = rng.random_range(1..FLEET - 2);
        RandomPeers {
            rng,
            totals: vec![0; peers],
            incarnations: vec![1; peers],
            silent: vec![false; peers],
            tenants: (0..4).map(|i| format!("tenant-{i}").parse().unwrap()).collect(),
            now: Duration::ZERO,
        }
    }

    fn report(&mut self) -> (VmName, Incarnation, Vec<TenantUsage>, ReporterState) {
        let peer = self.rng.random_range(0..self.totals.len());
        if self.rng.random_bool(0.02) {
            self.silent[peer] ^= true;
        }
        if self.rng.random_bool(0.02) {
            (self.totals[peer], self.incarnations[peer]) = (0, self.incarnations[peer] + 1);
        }
        self.totals[peer] += self.rng.random_range(0..64) * 16;
        let usage = |tenant: &TenantName, level| TenantUsage {
            tenant: tenant.clone(),
            total: self.totals[peer],
            level,
        };
        let named = self.rng.random_range(0..=self.tenants.len());
        let level = self.rng.random_range(0..4_096);
        let usages = self.tenants[..named].iter().map(|tenant| usage(tenant, level)).collect();
        let reporter = REPORTERS[self.rng.random_range(0..REPORTERS.len())];
        let vm = format!("vm-{peer}").parse().unwrap();
        (vm, Incarnation(self.incarnations[peer]), usages, reporter)
    }

    fn tenant(&mut self) -> TenantName {
        self.tenants[self.rng.random_range(0..self.tenants.len())].clone()
    }
}

fn check_levels(seed: u64) -> usize {
    let mut peers = RandomPeers::new(seed);
    let settings = RateLimiterSettings {
        initial_tokens: 1024,
        assumed_fleet: 2 * FLEET,
        ..RateLimiterSettings::default()
    };
    let full = peers.rng.random_bool(0.3);
    let mut limiter = RateLimiter::new(settings, full, peers.now);
    let mut walking = WalkingLimiter::new(settings, full, peers.now);
    if full {
        // Until then the fleet would be as large as the number of peers heard.
        limiter.set_fleet_size(FLEET, peers.now);
        walking.set_fleet_size(FLEET, peers.now);
    }
    if peers.rng.random_bool(0.5) {
        limiter.set_relay_delay(TICK * 8);
        walking.set_relay_delay(TICK * 8);
    }
    let mut silences = 0;
    for _ in 0..STEPS {
        let idle = if peers.rng.random_bool(0.01) { 600 } else { 4 };
        peers.now += TICK * peers.rng.random_range(0..idle);
        let (now, tenant) = (peers.now, peers.tenant());
        match peers.rng.random_range(0..14) {
            0..5 => {
                let (vm, incarnation, usages, reporter) = peers.report();
                let index: usize = vm.as_str()[3..].parse().unwrap();
                if peers.silent[index] {
                    silences += 1;
                    continue;
                }
                limiter.apply_report(&vm, incarnation, &usages, reporter, now);
                walking.apply_report(&vm, incarnation, &usages, reporter, now);
            }
            5 => {
                let rate = [0, 1024, 4096][peers.rng.random_range(0..3)];
                limiter.set_limits(&tenant, rate, 8 * rate);
                walking.set_limits(&tenant, rate, 8 * rate);
            }
            6 if peers.rng.random_bool(0.2) => {
                limiter.retain(|name| *name != tenant);
                walking.retain(|name| *name != tenant);
            }
            6 | 7 => {
                limiter.set_fleet_size(FLEET, now);
                walking.set_fleet_size(FLEET, now);
                limiter.settle_if_known(now);
                walking.settle_if_known(now);
            }
            8 => {
                limiter.debit(&tenant, Tokens(48));
                walking.debit(&tenant, Tokens(48));
            }
            9 => {
                limiter.refund(&tenant, Tokens(32));
                walking.refund(&tenant, Tokens(32));
            }
            10 => assert_eq!(limiter.take_usage(), walking.take_usage(), "usage in seed {seed}"),
            _ => {
                let tokens = Tokens(16 * peers.rng.random_range(0..64));
                let reserve = Tokens(16 * peers.rng.random_range(0..64));
                let admitted = limiter.admit_with_reserve(&tenant, tokens, reserve, now);
                let expected = walking.admit_with_reserve(&tenant, tokens, reserve, now);
                assert_eq!(admitted, expected, "admission at {now:?} in seed {seed}");
            }
        }
        assert_eq!(limiter.is_report_due(), walking.is_report_due(), "report in seed {seed}");
        assert_eq!(limiter.reporter_state(), walking.reporter_state(), "state in seed {seed}");
        for tenant in &peers.tenants {
            assert_eq!(limiter.level(tenant), walking.level(tenant), "level in seed {seed}");
        }
    }
    silences
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]

    #[test]
    fn levels_are_those_of_a_limiter_that_walks_over_all_peers(seed in any::<u64>()) {
        check_levels(seed);
    }
}

/// Peers fell silent before the size of the fleet was known, and then the assumed size was 100: the sums
/// of both limiters differed by a rounding error.
#[test]
fn levels_are_the_same_while_the_size_of_the_fleet_is_assumed() {
    check_levels(18_224_510_799_424_392_516);
}

/// The comparison sees peers that are silent.
#[test]
fn the_compared_limiters_meet_silent_peers() {
    let silences: usize = (0..10).map(check_levels).sum();
    assert!(silences > 100, "{silences} reports of silent peers were left out");
}
