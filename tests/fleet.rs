//! What processes know of each other, and what that lets them do.

#[macro_use]
mod support;

use std::time::Duration;

use carobglade::{
    CircuitBreaker, CircuitBreakerSettings, FairQueue, Fleet, HashRing, Heartbeat, QueuedRequest,
    RequestClass, RoutingPolicy, ServingStatus, Tokens, UpstreamCandidate, VmRef, choose_upstream,
};
use proptest::prelude::*;
use support::vm;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn beat(name: &str, count: u64, own_age: u64) -> Heartbeat {
    Heartbeat { vm: vm(name, 1), count, own_age, ..Heartbeat::default() }
}

/// Four members; `without` of the three others cannot read the log, `silent` are not heard.
fn stands(age: u64, without: usize, silent: usize, expected: ServingStatus) {
    let mut fleet = Fleet::default();
    let members: Vec<VmRef> = ["b", "c", "d"].iter().map(|name| vm(name, 1)).collect();
    for (i, member) in members.iter().enumerate().skip(silent) {
        let own_age = if i < silent + without { 60_000 } else { 0 };
        fleet.record_heartbeat(beat(member.vm.as_str(), 1, own_age), false, at(1000));
    }
    assert_eq!(fleet.serving_status(at(age), &members, at(1500)), expected);
}

cases! { stands:
    a_fresh_tail_is_current => (3_000, 3, 0, ServingStatus::Current);
    an_outage_for_all_is_told_by_the_others => (9_000, 3, 0, ServingStatus::Outage);
    an_outage_for_most_is_enough => (9_000, 2, 0, ServingStatus::Outage);
    half_the_fleet_is_not_enough => (9_000, 1, 0, ServingStatus::Isolated);
    others_that_read_the_log_mean_being_cut_off => (9_000, 0, 0, ServingStatus::Isolated);
    silence_of_all_means_being_cut_off => (9_000, 0, 3, ServingStatus::Isolated);
}

#[test]
fn an_old_or_doubled_heartbeat_is_ignored() {
    let mut fleet = Fleet::default();
    assert!(fleet.record_heartbeat(beat("b", 5, 0), false, at(0)));
    assert!(!fleet.record_heartbeat(beat("b", 5, 0), false, at(100)));
    assert!(!fleet.record_heartbeat(beat("b", 4, 0), true, at(100)));
    assert!(!fleet.is_alive(&vm("b", 1), at(3000)));
    assert!(!fleet.is_alive(&vm("b", 2), at(0)), "another incarnation is another process");
}

#[test]
fn the_bytes_sent_do_not_grow_with_a_large_fleet() {
    let sent = |vms: usize| {
        let mut fleet = Fleet::default();
        let members: Vec<VmRef> = (0..vms).map(|i| vm(&format!("v{i}"), 1)).collect();
        for member in &members {
            fleet.record_heartbeat(beat(member.vm.as_str(), 1, 0), false, at(0));
        }
        let (targets, relayed) = fleet.gossip(&members, at(10), |n| n / 2);
        targets.len() * (relayed.len() + 1)
    };
    assert_eq!(sent(100), sent(1100));
}

#[test]
fn duties_spread_and_mostly_stay_when_a_process_leaves() {
    let all: Vec<VmRef> = (0..9).map(|i| vm(&format!("v{i}"), 1)).collect();
    let (before, after) = (HashRing::new(all.clone()), HashRing::new(all[..8].to_vec()));
    let duties: Vec<String> = (0..900).map(|i| format!("duty:{i}")).collect();
    let mut moved = 0;
    for duty in &duties {
        let (old, new) = (before.owner(duty).unwrap(), after.owner(duty).unwrap());
        moved += usize::from(old != new && *old != all[8]);
    }
    assert_eq!(moved, 0);
    let own = duties.iter().filter(|duty| before.owner(duty) == Some(&all[0])).count();
    assert!((30..=300).contains(&own), "{own} of 900 duties on one of nine");
}

fn waiting(tenant: &str, class: RequestClass, cost: u64, item: usize) -> QueuedRequest<usize> {
    QueuedRequest {
        tenant: tenant.parse().unwrap(),
        class,
        cost: Tokens(cost),
        deadline: at(100),
        item,
    }
}

#[test]
fn the_least_served_tenant_goes_first_and_interactive_before_batch() {
    let mut queue = FairQueue::default();
    (0..10).for_each(|i| queue.push(waiting("greedy", RequestClass::Interactive, 100, i)));
    queue.push(waiting("small", RequestClass::Interactive, 100, 100));
    queue.push(waiting("nightly", RequestClass::Batch, 100, 200));
    let order: Vec<usize> = std::iter::from_fn(|| queue.pop(|_| true).map(|w| w.item)).collect();
    assert!(order.iter().position(|i| *i == 100) < Some(2), "{order:?}");
    assert!(order.iter().position(|i| *i == 200) > Some(5), "{order:?}");
    assert_eq!(order.len(), 12);
}

#[test]
fn a_request_that_cannot_go_does_not_hold_up_others_and_expires() {
    let mut queue = FairQueue::default();
    queue.push(waiting("a", RequestClass::Interactive, 1, 1));
    queue.push(waiting("a", RequestClass::Interactive, 1, 2));
    assert_eq!(queue.pop(|item| *item == 2).unwrap().item, 2);
    assert!(queue.pop(|item| *item == 2).is_none());
    assert!(queue.expire(at(99)).is_empty());
    assert_eq!(queue.expire(at(100)).len(), 1);
    assert!(queue.is_empty());
}

#[test]
fn a_failing_upstream_is_left_out_and_tried_again() {
    let mut health = CircuitBreaker::new(CircuitBreakerSettings::default());
    health.record_failure(at(0));
    assert!(health.allows_request(at(0)), "one failure may be chance");
    health.record_failure(at(0));
    assert!(!health.allows_request(at(499)));
    assert!(health.allows_request(at(500)));
    health.record_start();
    assert!(!health.allows_request(at(500)), "one trial at a time");
    health.record_failure(at(500));
    assert!(!health.allows_request(at(1400)), "the pause doubles");
    health.record_success();
    assert!(health.allows_request(at(1400)));
}

fn candidate(i: usize, own: u32, others: u32) -> UpstreamCandidate {
    UpstreamCandidate {
        name: format!("e{i}").parse().unwrap(),
        own_requests: own,
        other_requests: others,
        remote: false,
    }
}

#[test]
fn affinity_yields_to_load() {
    let idle: Vec<UpstreamCandidate> = (0..8).map(|i| candidate(i, 0, 0)).collect();
    let home = choose_upstream(RoutingPolicy::Affinity, &idle, "prefix", |_| 0).unwrap();
    let mut busy = idle.clone();
    busy[home].own_requests = 9;
    assert_ne!(choose_upstream(RoutingPolicy::Affinity, &busy, "prefix", |n| home % n), Some(home));
    busy[home].own_requests = 2;
    assert_eq!(choose_upstream(RoutingPolicy::Affinity, &busy, "prefix", |_| 0), Some(home));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(9),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Any choice is one of the candidates; of two choices the more loaded is never taken.
    #[test]
    fn a_choice_is_a_candidate(
        loads in proptest::collection::vec((0..20u32, 0..20u32), 1..12),
        seed in any::<usize>(),
    ) {
        let list: Vec<UpstreamCandidate> =
            loads.iter().enumerate().map(|(i, (own, others))| candidate(i, *own, *others)).collect();
        for policy in [RoutingPolicy::Random, RoutingPolicy::RoundRobin, RoutingPolicy::LeastReported, RoutingPolicy::TwoChoices, RoutingPolicy::Affinity] {
            let chosen = choose_upstream(policy, &list, "p", |n| seed % n);
            prop_assert!(chosen.is_some_and(|i| i < list.len()));
        }
        let most = list.iter().map(|c| c.own_requests + c.other_requests).max().unwrap();
        let alone = list.iter().filter(|c| c.own_requests + c.other_requests == most).count() == 1;
        if alone && list.len() > 1 {
            let chosen = choose_upstream(RoutingPolicy::TwoChoices, &list, "p", |n| seed % n).unwrap();
            prop_assert!(list[chosen].own_requests + list[chosen].other_requests < most);
        }
    }
}
