//! Claims: the first one in the log wins, and nothing is sent twice under any schedule.

#[macro_use]
mod support;

use std::collections::{BTreeMap, BTreeSet};

use carobglade::{
    Claim, ClaimDecision, ClaimDone, ClaimRef, ClaimState, ErrorKind, Fingerprint, KEY_RETENTION,
    Outcome, RESPONSE_RETENTION, Record, StateMachine, VmRef,
};
use proptest::prelude::*;
use support::{Log, vm};

const REQUEST: Fingerprint = Fingerprint(7);
const VMS: usize = 3;

fn claim_ref(key: u8, attempt: &str) -> ClaimRef {
    let tenant = "apron".parse().unwrap();
    ClaimRef { tenant, key: format!("k{key}"), attempt: attempt.into() }
}

fn claim(key: u8, attempt: &str, by: &VmRef) -> Record {
    Record::Claim(Claim { claim: claim_ref(key, attempt), request: REQUEST, vm: by.clone() })
}

fn folded(records: Vec<(u64, Record)>) -> ClaimState {
    let mut log = Log::default();
    let mut state = ClaimState::default();
    for (i, (time, record)) in records.into_iter().enumerate() {
        log.append(&format!("e{i}"), time, vec![record]);
    }
    log.entries.iter().for_each(|entry| state.apply(entry));
    state
}

fn done(attempt: &str, outcome: Outcome) -> Record {
    Record::Done(ClaimDone { claim: claim_ref(1, attempt), outcome })
}

fn answered() -> Outcome {
    Outcome::Answered { status: 200, content: "text/plain".into(), body: "b2s=".into() }
}

/// Checks the decision for attempt `b` after `records`, with the claimant alive or not.
fn decides(records: Vec<Record>, alive: bool, expected: Result<ClaimDecision, ErrorKind>) {
    let state = folded(records.into_iter().map(|record| (1, record)).collect());
    let decision = state.decide(&claim_ref(1, "b"), REQUEST, |_| alive);
    match (decision, expected) {
        (ClaimDecision::Refuse(err), Err(kind)) => assert_eq!(err.kind(), kind),
        (decision, expected) => assert_eq!(Ok(decision), expected),
    }
}

cases! { decides:
    an_unknown_key_is_claimed => (vec![], true, Ok(ClaimDecision::Append));
    the_own_claim_is_sent => (vec![claim(1, "b", &vm("x", 1))], true, Ok(ClaimDecision::Send));
    the_first_claim_wins => (
        vec![claim(1, "a", &vm("x", 1)), claim(1, "b", &vm("y", 1))],
        true,
        Err(ErrorKind::InProgress),
    );
    a_dead_claimant_leaves_the_end_unknown => (
        vec![claim(1, "a", &vm("x", 1))],
        false,
        Err(ErrorKind::OutcomeUnknown),
    );
    an_end_is_replayed => (
        vec![claim(1, "a", &vm("x", 1)), done("a", answered())],
        true,
        Ok(ClaimDecision::Replay(answered())),
    );
    an_end_by_a_loser_is_void => (
        vec![claim(1, "a", &vm("x", 1)), done("c", answered())],
        true,
        Err(ErrorKind::InProgress),
    );
    a_long_answer_is_not_kept => (
        vec![claim(1, "a", &vm("x", 1)), done("a", Outcome::Ran)],
        true,
        Err(ErrorKind::ResponseNotKept),
    );
    a_released_key_is_free => (
        vec![claim(1, "a", &vm("x", 1)), Record::Release(claim_ref(1, "a"))],
        true,
        Ok(ClaimDecision::Append),
    );
    only_the_winner_releases => (
        vec![claim(1, "a", &vm("x", 1)), Record::Release(claim_ref(1, "b"))],
        true,
        Err(ErrorKind::InProgress),
    );
    an_ended_claim_is_not_released => (
        vec![
            claim(1, "a", &vm("x", 1)),
            done("a", Outcome::Unknown),
            Record::Release(claim_ref(1, "a")),
        ],
        true,
        Err(ErrorKind::OutcomeUnknown),
    );
}

#[test]
fn an_answer_is_kept_for_its_time_and_the_key_longer() {
    let memory = RESPONSE_RETENTION.as_millis() as u64;
    let ended = vec![(1, claim(1, "a", &vm("x", 1))), (2, done("a", answered()))];
    let decide = |state: &ClaimState| state.decide(&claim_ref(1, "b"), REQUEST, |_| true);
    let tick = |time| vec![(time, claim(2, "z", &vm("y", 1)))];
    let state = folded([ended.clone(), tick(memory)].concat());
    assert_eq!(decide(&state), ClaimDecision::Replay(answered()));
    let state = folded([ended, tick(memory + 3)].concat());
    let ClaimDecision::Refuse(err) = decide(&state) else { panic!("the answer is still kept") };
    assert_eq!(err.kind(), ErrorKind::ResponseNotKept);
}

#[test]
fn a_key_is_forgotten_after_its_time() {
    let memory = KEY_RETENTION.as_millis() as u64;
    let other = claim(2, "z", &vm("y", 1));
    let state = folded(vec![(1, claim(1, "a", &vm("x", 1))), (memory, other.clone())]);
    assert_eq!(state.len(), 2);
    let state = folded(vec![(1, claim(1, "a", &vm("x", 1))), (memory + 2, other)]);
    assert_eq!(state.len(), 1);
}

/// One step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    Start { vm: usize, key: u8 },
    Append { at: usize, lost: bool, double: bool },
    Read { vm: usize, entries: usize },
    Run { vm: usize },
    Abandon { vm: usize },
    Kill { vm: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..VMS, 0..3u8).prop_map(|(vm, key)| Step::Start { vm, key }),
        5 => (0..8usize, any::<bool>(), any::<bool>())
            .prop_map(|(at, lost, double)| Step::Append { at, lost, double }),
        5 => (0..VMS, 1..4usize).prop_map(|(vm, entries)| Step::Read { vm, entries }),
        5 => (0..VMS).prop_map(|vm| Step::Run { vm }),
        1 => (0..VMS).prop_map(|vm| Step::Abandon { vm }),
        1 => (0..VMS).prop_map(|vm| Step::Kill { vm }),
    ]
}

#[derive(Clone, Copy, PartialEq)]
enum Attempt {
    Waiting,
    Sent,
    Abandoned,
}

#[derive(Default)]
struct Node {
    incarnation: u64,
    state: ClaimState,
    next: usize,
    attempts: BTreeMap<(u8, String), Attempt>,
    releasing: BTreeSet<String>,
}

/// Plays a schedule. Records wait on their way to the log, and each may be taken late, be lost
/// and appended again, or take effect twice.
fn play(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut log = Log::default();
    let mut way: Vec<(String, Record)> = Vec::new();
    let mut nodes: Vec<Node> = (0..VMS).map(|_| Node::default()).collect();
    let (mut sent, mut count) = (BTreeMap::<u8, u32>::new(), 0);
    let me = |i: usize, node: &Node| vm(&format!("vm-{i}"), node.incarnation);
    for step in steps {
        match *step {
            Step::Start { vm, key } => {
                count += 1;
                let attempt = format!("a{count}");
                let node = &mut nodes[vm];
                let claimed = claim(key, &attempt, &me(vm, node));
                if node.state.decide(&claim_ref(key, &attempt), REQUEST, |_| true)
                    == ClaimDecision::Append
                {
                    node.attempts.insert((key, attempt.clone()), Attempt::Waiting);
                    way.push((attempt, claimed));
                }
            }
            Step::Append { at, lost, double } if !way.is_empty() => {
                let at = at % way.len();
                let (id, record) = way[at].clone();
                if !lost && !double {
                    way.remove(at);
                }
                log.append(&id, 1, vec![record]);
            }
            Step::Append { .. } => {}
            Step::Read { vm, entries } => {
                let node = &mut nodes[vm];
                for entry in log.entries.iter().skip(node.next).take(entries) {
                    node.state.apply(entry);
                    node.next += 1;
                }
            }
            Step::Run { vm } => {
                let node = &mut nodes[vm];
                for ((key, attempt), phase) in &mut node.attempts {
                    let reference = claim_ref(*key, attempt);
                    let decision = node.state.decide(&reference, REQUEST, |_| true);
                    if *phase == Attempt::Waiting && decision == ClaimDecision::Send {
                        *phase = Attempt::Sent;
                        *sent.entry(*key).or_insert(0) += 1;
                        let end = ClaimDone { claim: reference, outcome: answered() };
                        way.push((format!("{attempt}-done"), Record::Done(end)));
                    }
                }
                let this = me(vm, node);
                let backed = |attempt: &str| {
                    let phases = node.attempts.iter().filter(|((_, known), _)| known == attempt);
                    phases.into_iter().any(|(_, phase)| *phase != Attempt::Abandoned)
                };
                let orphans: Vec<ClaimRef> =
                    node.state.unfinished_claims(&this).filter(|c| !backed(&c.attempt)).collect();
                for orphan in orphans {
                    if node.releasing.insert(orphan.attempt.clone()) {
                        way.push((format!("{}-free", orphan.attempt), Record::Release(orphan)));
                    }
                }
            }
            Step::Abandon { vm } => {
                let waiting = nodes[vm].attempts.values_mut();
                waiting.filter(|phase| **phase == Attempt::Waiting).for_each(|phase| {
                    *phase = Attempt::Abandoned;
                });
            }
            Step::Kill { vm } => {
                let incarnation = nodes[vm].incarnation + 1;
                nodes[vm] = Node { incarnation, ..Node::default() };
            }
        }
        for (key, times) in &sent {
            prop_assert!(*times <= 1, "key {key} was sent {times} times");
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn nothing_is_sent_twice(steps in proptest::collection::vec(step(), 1..120)) {
        play(&steps)?;
    }
}
