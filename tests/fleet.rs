//! Tests of what processes know of each other and of the decisions based on it.

#[macro_use]
mod support;

use std::time::Duration;

use carobglade::{
    CircuitBreaker, CircuitBreakerSettings, FairQueue, Fleet, HashRing, Heartbeat, QueuedRequest,
    RequestClass, RoutingPolicy, ServingStatus, Tokens, UpstreamCandidate, VmRef, choose_upstream,
};
use proptest::prelude::*;
use support::vm;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn heartbeat(name: &str, sequence: u64, read_age_ms: u64) -> Heartbeat {
    Heartbeat { vm: vm(name, 1), sequence, read_age_ms, ..Heartbeat::default() }
}

/// Checks the serving status of a process in a fleet of four. The process confirmed the end of the
/// log `age` milliseconds ago. Of its three peers, the first `silent` send no heartbeats, and the
/// next `without_log` cannot read the log.
fn check_serving_status(age: u64, without_log: usize, silent: usize, expected: ServingStatus) {
    let mut fleet = Fleet::default();
    let members: Vec<VmRef> = ["b", "c", "d"].iter().map(|name| vm(name, 1)).collect();
    for (i, member) in members.iter().enumerate().skip(silent) {
        let read_age_ms = if i < silent + without_log { 60_000 } else { 0 };
        fleet.apply_heartbeat(heartbeat(member.vm.as_str(), 1, read_age_ms), false, ms(1000));
    }
    assert_eq!(fleet.serving_status(ms(age), &members, ms(1500)), expected);
}

cases! { check_serving_status:
    a_recent_log_reading_is_current => (3_000, 3, 0, ServingStatus::Current);
    an_outage_of_all_peers_is_an_outage => (9_000, 3, 0, ServingStatus::Outage);
    an_outage_of_most_peers_is_an_outage => (9_000, 2, 0, ServingStatus::Outage);
    half_the_fleet_without_the_log_is_not_an_outage => (9_000, 1, 0, ServingStatus::Isolated);
    peers_that_read_the_log_mean_isolation => (9_000, 0, 0, ServingStatus::Isolated);
    silence_of_all_peers_means_isolation => (9_000, 0, 3, ServingStatus::Isolated);
}

#[test]
fn an_outdated_or_duplicate_heartbeat_is_ignored() {
    let mut fleet = Fleet::default();
    assert!(fleet.apply_heartbeat(heartbeat("b", 5, 0), false, ms(0)));
    assert!(!fleet.apply_heartbeat(heartbeat("b", 5, 0), false, ms(100)));
    assert!(!fleet.apply_heartbeat(heartbeat("b", 4, 0), true, ms(100)));
    assert!(!fleet.is_alive(&vm("b", 1), ms(3000)));
    assert!(!fleet.is_alive(&vm("b", 2), ms(0)), "another incarnation counts as the same process");
}

#[test]
fn gossip_does_not_grow_with_a_large_fleet() {
    let sent = |vms: usize| {
        let mut fleet = Fleet::default();
        let members: Vec<VmRef> = (0..vms).map(|i| vm(&format!("v{i}"), 1)).collect();
        for member in &members {
            fleet.apply_heartbeat(heartbeat(member.vm.as_str(), 1, 0), false, ms(0));
        }
        let (targets, relayed) = fleet.gossip(&members, ms(10), |n| n / 2);
        targets.len() * (relayed.len() + 1)
    };
    assert_eq!(sent(100), sent(1100));
}

#[test]
fn duties_are_spread_and_stay_when_a_process_leaves() {
    let all: Vec<VmRef> = (0..9).map(|i| vm(&format!("v{i}"), 1)).collect();
    let (before, after) = (HashRing::new(all.clone()), HashRing::new(all[..8].to_vec()));
    let duties: Vec<String> = (0..900).map(|i| format!("duty:{i}")).collect();
    let mut moved = 0;
    for duty in &duties {
        let (old, new) = (before.owner(duty).unwrap(), after.owner(duty).unwrap());
        moved += usize::from(old != new && *old != all[8]);
    }
    assert_eq!(moved, 0);
    let owned = duties.iter().filter(|duty| before.owner(duty) == Some(&all[0])).count();
    assert!((30..=300).contains(&owned), "one of nine processes owns {owned} of 900 duties");
}

fn request(tenant: &str, class: RequestClass, cost: u64, item: usize) -> QueuedRequest<usize> {
    QueuedRequest {
        tenant: tenant.parse().unwrap(),
        class,
        cost: Tokens(cost),
        deadline: ms(100),
        item,
    }
}

#[test]
fn the_least_served_tenant_goes_first_and_interactive_before_batch() {
    let mut queue = FairQueue::default();
    (0..10).for_each(|i| queue.push(request("greedy", RequestClass::Interactive, 100, i)));
    queue.push(request("small", RequestClass::Interactive, 100, 100));
    queue.push(request("nightly", RequestClass::Batch, 100, 200));
    let order: Vec<usize> =
        std::iter::from_fn(|| queue.pop(|_| true).map(|request| request.item)).collect();
    assert!(order.iter().position(|i| *i == 100) < Some(2), "{order:?}");
    assert!(order.iter().position(|i| *i == 200) > Some(5), "{order:?}");
    assert_eq!(order.len(), 12);
}

#[test]
fn a_blocked_request_does_not_delay_others_and_expires() {
    let mut queue = FairQueue::default();
    queue.push(request("a", RequestClass::Interactive, 1, 1));
    queue.push(request("a", RequestClass::Interactive, 1, 2));
    assert_eq!(queue.pop(|item| *item == 2).unwrap().item, 2);
    assert!(queue.pop(|item| *item == 2).is_none());
    assert!(queue.expire(ms(99)).is_empty());
    assert_eq!(queue.expire(ms(100)).len(), 1);
    assert!(queue.is_empty());
}

#[test]
fn a_failing_upstream_is_excluded_and_tried_again() {
    let mut breaker = CircuitBreaker::new(CircuitBreakerSettings::default());
    breaker.record_failure(ms(0));
    assert!(breaker.allows_request(ms(0)), "a single failure excluded the upstream");
    breaker.record_failure(ms(0));
    assert!(!breaker.allows_request(ms(499)));
    assert!(breaker.allows_request(ms(500)));
    breaker.record_start();
    assert!(!breaker.allows_request(ms(500)), "more than one trial request at a time");
    breaker.record_failure(ms(500));
    assert!(!breaker.allows_request(ms(1400)), "the pause did not double");
    breaker.record_success();
    assert!(breaker.allows_request(ms(1400)));
}

// Guards against: a silent upstream was refused further requests after it had gone on.
#[test]
fn silence_lets_other_upstreams_be_preferred_but_does_not_open_the_breaker() {
    let mut breaker = CircuitBreaker::new(CircuitBreakerSettings::default());
    for _ in 0..8 {
        breaker.record_silence(ms(0));
    }
    assert!(breaker.allows_request(ms(0)), "silence opened the breaker");
    assert!(breaker.is_avoided(ms(499)));
    assert!(!breaker.is_avoided(ms(500)), "requests silent at once counted several times");
    breaker.record_start();
    assert!(breaker.is_avoided(ms(500)), "more than one trial request at a time");
    breaker.record_silence(ms(600));
    assert!(breaker.is_avoided(ms(1599)), "the pause did not double");
    breaker.record_progress();
    assert!(!breaker.is_avoided(ms(1599)));
    breaker.record_silence(ms(2000));
    assert!(!breaker.is_avoided(ms(2500)), "the pause did not start again");
}

fn candidate(i: usize, local_requests: u32, peer_requests: u32) -> UpstreamCandidate {
    UpstreamCandidate {
        name: format!("e{i}").parse().unwrap(),
        local_requests,
        peer_requests,
        remote: false,
    }
}

#[test]
fn affinity_yields_to_load() {
    let idle: Vec<UpstreamCandidate> = (0..8).map(|i| candidate(i, 0, 0)).collect();
    let preferred = choose_upstream(RoutingPolicy::Affinity, &idle, "prefix", |_| 0).unwrap();
    let mut busy = idle.clone();
    busy[preferred].local_requests = 9;
    assert_ne!(
        choose_upstream(RoutingPolicy::Affinity, &busy, "prefix", |n| preferred % n),
        Some(preferred)
    );
    busy[preferred].local_requests = 2;
    assert_eq!(choose_upstream(RoutingPolicy::Affinity, &busy, "prefix", |_| 0), Some(preferred));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(9),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Every policy chooses one of the candidates, and `TwoChoices` never chooses a candidate that
    /// has more load than all others.
    #[test]
    fn a_choice_is_a_candidate(
        loads in proptest::collection::vec((0..20u32, 0..20u32), 1..12),
        seed in any::<usize>(),
    ) {
        let candidates: Vec<UpstreamCandidate> =
            loads.iter().enumerate().map(|(i, (own, others))| candidate(i, *own, *others)).collect();
        for policy in [RoutingPolicy::Random, RoutingPolicy::RoundRobin, RoutingPolicy::LeastReported, RoutingPolicy::TwoChoices, RoutingPolicy::Affinity] {
            let chosen = choose_upstream(policy, &candidates, "p", |n| seed % n);
            prop_assert!(chosen.is_some_and(|i| i < candidates.len()));
        }
        let max_load = candidates.iter().map(|c| c.local_requests + c.peer_requests).max().unwrap();
        let is_unique = candidates.iter().filter(|c| c.local_requests + c.peer_requests == max_load).count() == 1;
        if is_unique && candidates.len() > 1 {
            let chosen = choose_upstream(RoutingPolicy::TwoChoices, &candidates, "p", |n| seed % n).unwrap();
            prop_assert!(candidates[chosen].local_requests + candidates[chosen].peer_requests < max_load);
        }
    }
}
