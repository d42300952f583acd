//! Which parts of prompts are blocked after crashes of upstreams, and when they are free again.

use std::time::Duration;

use carobglade::EvidenceStrength::{Strong, Weak};
use carobglade::{
    ModelName, PromptPart, PromptQuarantine, QuarantineReport, SharedPrompt, UpstreamCrash,
    VerdictChange, VerdictReason,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const fn secs(value: u64) -> Duration {
    Duration::from_secs(value)
}

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn prompt_with(parts: &[&str], model: &str) -> SharedPrompt {
    let parts = parts.iter().map(|id| PromptPart::from_id(id)).collect();
    SharedPrompt::new(parts, Some(model.parse::<ModelName>().unwrap()))
}

fn prompt(parts: &[&str]) -> SharedPrompt {
    prompt_with(parts, "large")
}

fn crash(number: u64) -> UpstreamCrash {
    UpstreamCrash { upstream: format!("engine-{number}").parse().unwrap(), started_ms: number }
}

/// Records crashes `numbers` with the same prompt in flight; returns the changes of the last one.
fn crash_on(
    quarantine: &mut PromptQuarantine,
    prompt: &SharedPrompt,
    numbers: std::ops::Range<u64>,
    now: Duration,
) -> Vec<VerdictChange> {
    let crashes =
        numbers.map(|number| quarantine.record_crash(prompt, Strong, &crash(number), now));
    crashes.last().unwrap_or_default()
}

fn is_blocked(quarantine: &PromptQuarantine, parts: &[&str], now: Duration) -> bool {
    quarantine.blocked(&prompt(parts), now).is_some()
}

#[test]
fn a_part_is_blocked_after_three_crashes_and_the_parts_before_it_are_not() {
    let mut quarantine = PromptQuarantine::default();
    crash_on(&mut quarantine, &prompt(&["a", "b", "dead"]), 0..2, secs(1));
    assert!(!is_blocked(&quarantine, &["a", "b", "dead"], secs(1)));
    let changes = crash_on(&mut quarantine, &prompt(&["a", "b", "dead"]), 2..3, secs(2));
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].verdict.suspect.to_string(), "part dead");
    assert_eq!((changes[0].reason, changes[0].crashes.len()), (VerdictReason::Crashes, 3));
    assert!(is_blocked(&quarantine, &["x", "dead"], secs(2)));
    assert!(!is_blocked(&quarantine, &["a", "b"], secs(2)));
    assert!(!is_blocked(&quarantine, &["a", "b", "c"], secs(2)));
}

/// Guards against requests that crash upstreams before a byte of their responses arrives.
#[test]
fn a_crash_before_the_response_or_within_its_first_events_counts_half() {
    let mut quarantine = PromptQuarantine::default();
    let deadly = prompt(&["a", "b", "dead"]);
    for number in 0..5 {
        quarantine.record_crash(&deadly, Weak, &crash(number), secs(number));
        assert!(!is_blocked(&quarantine, &["dead"], secs(number)));
    }
    quarantine.record_crash(&deadly, Weak, &crash(5), secs(5));
    assert!(is_blocked(&quarantine, &["dead"], secs(5)));
    assert!(!is_blocked(&quarantine, &["a", "b"], secs(5)));
}

#[test]
fn evidence_that_becomes_strong_counts_in_full() {
    let mut quarantine = PromptQuarantine::default();
    for (number, strengths) in [[Weak, Strong], [Strong, Weak], [Weak, Strong]].iter().enumerate() {
        for strength in strengths {
            assert!(!is_blocked(&quarantine, &["dead"], secs(1)));
            quarantine.record_crash(&prompt(&["dead"]), *strength, &crash(number as u64), secs(1));
        }
    }
    assert!(is_blocked(&quarantine, &["dead"], secs(1)));
}

/// Guards against sound requests that are refused because they wait at upstreams that others crash.
#[test]
fn requests_that_wait_beside_deadly_ones_are_not_blocked() {
    let mut quarantine = PromptQuarantine::default();
    quarantine.record_survival(&prompt(&["a", "b"]), secs(0));
    for number in 0..6 {
        for waiting in [&["a", "b"][..], &["a", "c"], &["a", "b", "dead"]] {
            quarantine.record_crash(&prompt(waiting), Weak, &crash(number), secs(number));
        }
        quarantine.record_survival(&prompt(&["a", "c"]), secs(number));
    }
    assert!(is_blocked(&quarantine, &["dead"], secs(6)));
    assert!(!is_blocked(&quarantine, &["a", "b"], secs(6)));
    assert!(!is_blocked(&quarantine, &["a", "c"], secs(6)));
}

/// Guards against sound requests that are refused since one of them waited at an upstream that a
/// deadly request crashed which was given up at the block, so that it left no evidence itself.
#[test]
fn requests_that_wait_at_one_crash_more_do_not_move_a_block() {
    for (strength, crashes) in [(Strong, 3), (Weak, 6)] {
        for waits_first in [true, false] {
            let mut quarantine = PromptQuarantine::default();
            let wait_at = |quarantine: &mut PromptQuarantine| {
                quarantine.record_crash(&prompt(&["a", "b"]), Weak, &crash(10), secs(7));
            };
            if waits_first {
                wait_at(&mut quarantine);
            }
            for number in 0..crashes {
                let deadly = prompt(&["a", "b", "dead"]);
                quarantine.record_crash(&deadly, strength, &crash(number), secs(7));
            }
            wait_at(&mut quarantine);
            assert!(is_blocked(&quarantine, &["dead"], secs(7)), "{strength:?}, {waits_first}");
            assert!(!is_blocked(&quarantine, &["a", "b"], secs(7)), "{strength:?}, {waits_first}");
        }
    }
}

/// The part that all crashes have in common is found in the end, though the first ones had a later
/// part in common, too.
#[test]
fn crashes_before_the_response_move_a_block_once_they_suffice_for_one() {
    let mut quarantine = PromptQuarantine::default();
    for number in 0..6 {
        quarantine.record_crash(&prompt(&["a", "dead", "chance"]), Weak, &crash(number), secs(1));
    }
    for number in 6..12 {
        assert!(is_blocked(&quarantine, &["chance"], secs(2)), "crash {number}");
        quarantine.record_crash(&prompt(&["a", "dead"]), Weak, &crash(number), secs(2));
    }
    assert!(is_blocked(&quarantine, &["a", "dead"], secs(2)));
    assert!(!is_blocked(&quarantine, &["chance"], secs(2)));
}

#[test]
fn one_crash_counts_once_however_many_requests_and_processes_saw_it() {
    let mut quarantine = PromptQuarantine::default();
    for number in [0, 0, 0, 1, 1] {
        quarantine.record_crash(&prompt(&["a", "dead"]), Strong, &crash(number), secs(1));
    }
    assert!(!is_blocked(&quarantine, &["a", "dead"], secs(1)));
}

#[test]
fn a_response_that_ends_well_clears_the_parts_of_its_prompt() {
    let mut quarantine = PromptQuarantine::default();
    for round in 0..5 {
        crash_on(&mut quarantine, &prompt(&["a", "b"]), 2 * round..2 * round + 2, secs(round));
        quarantine.record_survival(&prompt(&["a", "b"]), secs(round));
    }
    assert_eq!(quarantine.blocked_count(secs(9)), 0);
}

#[test]
fn a_part_that_survives_is_free_at_once_in_all_processes() {
    let (mut one, mut other) = (PromptQuarantine::default(), PromptQuarantine::default());
    crash_on(&mut one, &prompt(&["a", "b"]), 0..3, secs(1));
    other.apply_report(&one.report(secs(1)), secs(1));
    assert!(is_blocked(&other, &["a", "b"], secs(1)));
    let changes = one.record_survival(&prompt(&["a", "b"]), secs(2));
    assert_eq!(changes[0].reason, VerdictReason::Survived);
    let late_report = other.report(secs(2));
    other.apply_report(&one.report(secs(2)), secs(2));
    one.apply_report(&late_report, secs(2));
    assert!(!is_blocked(&other, &["a", "b"], secs(2)));
    assert!(!is_blocked(&one, &["a", "b"], secs(2)), "an older report blocked the part again");
}

#[test]
fn two_parts_at_once_are_told_apart_from_what_they_share() {
    let mut quarantine = PromptQuarantine::default();
    quarantine.record_survival(&prompt(&["a", "b", "sound"]), secs(1));
    let prompts = [prompt(&["a", "b", "dead1"]), prompt(&["a", "b", "dead2"])];
    for number in 0..6 {
        quarantine.record_crash(&prompts[number as usize % 2], Strong, &crash(number), secs(1));
        assert!(!is_blocked(&quarantine, &["a", "b", "sound"], secs(1)), "crash {number}");
    }
    assert!(is_blocked(&quarantine, &["a", "b", "dead1"], secs(1)));
    assert!(is_blocked(&quarantine, &["a", "b", "dead2"], secs(1)));
}

#[test]
fn a_part_is_blocked_before_the_parts_that_came_with_it_by_chance() {
    let mut quarantine = PromptQuarantine::default();
    crash_on(&mut quarantine, &prompt(&["a", "dead", "chance"]), 0..3, secs(1));
    assert!(is_blocked(&quarantine, &["chance"], secs(1)), "the last part is taken first");
    let changes = crash_on(&mut quarantine, &prompt(&["a", "dead", "other"]), 3..4, secs(2));
    assert_eq!(changes.len(), 2, "{changes:?}");
    assert!(is_blocked(&quarantine, &["a", "dead"], secs(2)));
    assert!(!is_blocked(&quarantine, &["chance"], secs(2)));
}

#[test]
fn a_part_that_crashes_one_model_only_is_blocked_for_that_model() {
    let mut quarantine = PromptQuarantine::default();
    let (small, large) = (prompt_with(&["a", "b"], "small"), prompt_with(&["a", "b"], "large"));
    for number in 0..4 {
        quarantine.record_crash(&large, Strong, &crash(number), secs(number));
        quarantine.record_survival(&small, secs(number));
        // Other requests of the caller survive on the model.
        quarantine.record_survival(&prompt(&["a"]), secs(number));
    }
    assert!(quarantine.blocked(&large, secs(5)).is_some());
    assert!(quarantine.blocked(&small, secs(5)).is_none());
    assert!(quarantine.blocked(&prompt(&["a"]), secs(5)).is_none());
}

#[test]
fn a_part_that_survived_lately_needs_more_crashes() {
    let mut quarantine = PromptQuarantine::default();
    quarantine.record_survival(&prompt(&["a", "b"]), secs(1));
    crash_on(&mut quarantine, &prompt(&["a", "b"]), 0..5, secs(2));
    assert!(!is_blocked(&quarantine, &["a", "b"], secs(2)));
    crash_on(&mut quarantine, &prompt(&["a", "b"]), 5..6, secs(3));
    assert!(is_blocked(&quarantine, &["a", "b"], secs(3)));
}

#[test]
fn a_process_in_which_a_part_survived_lifts_the_block_of_one_that_knows_less() {
    let (mut one, mut other) = (PromptQuarantine::default(), PromptQuarantine::default());
    other.record_survival(&prompt(&["a", "b"]), secs(1));
    crash_on(&mut one, &prompt(&["a", "b"]), 0..3, secs(2));
    other.apply_report(&one.report(secs(2)), secs(2));
    one.apply_report(&other.report(secs(2)), secs(2));
    assert!(!is_blocked(&one, &["a", "b"], secs(2)));
    assert!(!is_blocked(&other, &["a", "b"], secs(2)));
}

#[test]
fn a_block_ends_in_one_process_after_the_other_and_one_crash_renews_it() {
    let (mut one, mut other) = (PromptQuarantine::default(), PromptQuarantine::default());
    other.set_release_delay(secs(2));
    let changes = crash_on(&mut one, &prompt(&["a", "dead"]), 0..3, secs(1));
    let end = secs(1) + changes[0].verdict.remaining;
    other.apply_report(&one.report(secs(1)), secs(1));
    assert!(!is_blocked(&one, &["dead"], end + ms(10)));
    assert!(is_blocked(&other, &["dead"], end + ms(10)));
    one.expire(end);
    let changes = crash_on(&mut one, &prompt(&["a", "dead"]), 9..10, end + ms(500));
    assert!(is_blocked(&one, &["dead"], end + ms(500)));
    assert!(changes[0].verdict.remaining > secs(3600), "the second block is longer");
    other.apply_report(&one.report(end + ms(500)), end + ms(500));
    assert!(is_blocked(&other, &["dead"], end + secs(10)));
}

#[test]
fn invented_parts_take_bounded_memory_and_messages() {
    let mut quarantine = PromptQuarantine::default();
    for number in 0..300_u64 {
        let ids: Vec<String> = (0..50).map(|i| format!("{:x}", number * 50 + i)).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        quarantine.record_crash(&prompt(&ids), Strong, &crash(number), ms(number));
        crash_on(
            &mut quarantine,
            &prompt(&ids[..1]),
            10_000 + 3 * number..10_003 + 3 * number,
            ms(number),
        );
    }
    let report = quarantine.report(ms(300));
    assert!(report.evidence.len() <= 60 && report.verdicts.len() <= 32);
}

/// Records the crashes `numbers` of upstreams that rejected a request just before each.
fn fall_on(
    quarantine: &mut PromptQuarantine,
    prompt: &SharedPrompt,
    numbers: std::ops::Range<u64>,
    now: Duration,
) -> Vec<VerdictChange> {
    let mut changes = Vec::new();
    for number in numbers {
        quarantine.record_rejection(&crash(number), now - ms(200), now);
        changes.extend(quarantine.record_crash(prompt, Strong, &crash(number), now));
    }
    changes
}

/// Guards against a sound request that is refused because it was sent again to one upstream after the
/// other while they fell over from too many rejections.
#[test]
fn falls_of_upstreams_that_rejected_requests_count_half() {
    let mut quarantine = PromptQuarantine::default();
    assert!(fall_on(&mut quarantine, &prompt(&["a", "b"]), 0..5, secs(10)).is_empty());
    // A crash without rejections lately counts in full.
    let mut other = PromptQuarantine::default();
    other.record_rejection(&crash(0), secs(1), secs(1));
    let changes = crash_on(&mut other, &prompt(&["a", "b"]), 0..3, secs(10));
    assert_eq!(changes.len(), 1, "{changes:?}");
}

/// Guards against a part that is never found because it crashes upstreams only while they are brittle.
#[test]
fn a_part_that_crashes_brittle_upstreams_is_found() {
    let mut quarantine = PromptQuarantine::default();
    for number in 0..6 {
        assert!(!is_blocked(&quarantine, &["a", "dead"], secs(10)), "crash {number}");
        // Requests with the part before it end well, as long as they are not at the upstream.
        quarantine.record_survival(&prompt(&["a"]), secs(10));
        fall_on(&mut quarantine, &prompt(&["a", "dead"]), number..number + 1, secs(10));
    }
    assert!(is_blocked(&quarantine, &["a", "dead"], secs(10)));
    assert!(!is_blocked(&quarantine, &["a", "b"], secs(10)));
    // Two crashes without rejections weigh as much as four others.
    let mut mixed = PromptQuarantine::default();
    crash_on(&mut mixed, &prompt(&["a", "dead"]), 0..2, secs(10));
    fall_on(&mut mixed, &prompt(&["a", "dead"]), 2..3, secs(10));
    assert!(!is_blocked(&mixed, &["a", "dead"], secs(10)));
    fall_on(&mut mixed, &prompt(&["a", "dead"]), 3..4, secs(10));
    assert!(is_blocked(&mixed, &["a", "dead"], secs(10)));
}

/// Guards against a block that stays although the news of the rejections came after that of the crashes.
#[test]
fn a_block_is_lifted_when_late_news_put_its_crashes_in_doubt() {
    let (mut one, mut other) = (PromptQuarantine::default(), PromptQuarantine::default());
    crash_on(&mut one, &prompt(&["a", "b"]), 0..3, secs(10));
    other.apply_report(&one.report(secs(10)), secs(10));
    assert!(is_blocked(&one, &["a", "b"], secs(10)) && is_blocked(&other, &["a", "b"], secs(10)));
    let changes = one.record_rejection(&crash(2), ms(9900), ms(10_100));
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert_eq!(changes[0].reason, VerdictReason::Overload);
    other.apply_report(&one.report(secs(11)), secs(11));
    assert!(!is_blocked(&one, &["a", "b"], secs(11)) && !is_blocked(&other, &["a", "b"], secs(11)));
}

/// Guards against upstreams that fall one after the other while none of the vms that see a crash was
/// itself rejected: what one vm was told, all take into account.
#[test]
fn rejections_that_one_vm_knows_count_for_the_crashes_that_others_see() {
    for seed in 0..50 {
        let mut fleet = Fleet::new(seed);
        for number in 0..5 {
            let now = fleet.now;
            // The notices of rooms, which all vms have before the reports of crashes.
            for vm in &mut fleet.vms {
                vm.record_rejection(&crash(number), now, now);
            }
            fleet.vms[number as usize].record_crash(
                &prompt(&["a", "b"]),
                Strong,
                &crash(number),
                now,
            );
            fleet.exchange();
        }
        for _ in 0..10 {
            fleet.exchange();
        }
        let now = fleet.now;
        assert!(fleet.vms.iter().all(|vm| vm.blocked_count(now) == 0), "seed {seed}");
    }
}

/// A fleet of processes that exchange reports every `REPORT_INTERVAL`, some of which are lost.
struct Fleet {
    vms: Vec<PromptQuarantine>,
    random: StdRng,
    now: Duration,
}

const VMS: usize = 9;
const REPORT_INTERVAL: Duration = ms(200);
const MESSAGE_LOSS: f64 = 0.2;

impl Fleet {
    fn new(seed: u64) -> Self {
        let vms = vec![PromptQuarantine::default(); VMS];
        Fleet { vms, random: StdRng::seed_from_u64(seed), now: Duration::ZERO }
    }

    fn exchange(&mut self) {
        let reports: Vec<QuarantineReport> =
            self.vms.iter().map(|vm| vm.report(self.now)).collect();
        for (to, vm) in self.vms.iter_mut().enumerate() {
            for (from, report) in reports.iter().enumerate() {
                if from != to && !self.random.random_bool(MESSAGE_LOSS) {
                    vm.apply_report(report, self.now);
                }
            }
        }
        self.now += REPORT_INTERVAL;
    }
}

/// Guards against crashes that are spread so that no vm sees more than one of them.
#[test]
fn crashes_seen_by_one_vm_each_are_added_up_everywhere() {
    for seed in 0..50 {
        let crashes = if seed % 2 == 0 { (3, Strong) } else { (6, Weak) };
        let mut fleet = Fleet::new(seed);
        for number in 0..crashes.0 {
            let vm = &mut fleet.vms[2 * number as usize % VMS];
            vm.record_crash(&prompt(&["a", "b", "dead"]), crashes.1, &crash(number), fleet.now);
            fleet.exchange();
        }
        // A vm that has just started knows nothing of the crashes.
        fleet.vms[8] = PromptQuarantine::default();
        for _ in 0..10 {
            fleet.exchange();
        }
        let now = fleet.now;
        assert!(fleet.vms.iter().all(|vm| is_blocked(vm, &["dead"], now)), "seed {seed}");
        assert!(!fleet.vms.iter().any(|vm| is_blocked(vm, &["a", "b", "c"], now)), "seed {seed}");
    }
}

/// Guards against sound requests that are refused because upstreams crash for reasons of their own.
#[test]
fn crashes_alone_block_no_part() {
    for seed in 0..50 {
        let mut fleet = Fleet::new(seed);
        let mut number = 0;
        for _ in 0..150 {
            // Requests of a few callers with sessions of their own; most end well.
            for _ in 0..6 {
                let session = format!("{:x}", fleet.random.random_range(100..180));
                let caller = format!("{:x}", fleet.random.random_range(1..6));
                let vm = fleet.random.random_range(0..VMS);
                let (now, prompt) = (fleet.now, prompt(&[&caller, &session]));
                fleet.vms[vm].record_survival(&prompt, now);
            }
            // One upstream in two seconds crashes, with a few responses that have just begun.
            if fleet.random.random_bool(0.1) {
                number += 1;
                for _ in 0..fleet.random.random_range(0..4) {
                    let session = format!("{:x}", fleet.random.random_range(100..180));
                    let caller = format!("{:x}", fleet.random.random_range(1..6));
                    let vm = fleet.random.random_range(0..VMS);
                    let (now, prompt) = (fleet.now, prompt(&[&caller, &session]));
                    let strength = if seed % 2 == 0 { Strong } else { Weak };
                    fleet.vms[vm].record_crash(&prompt, strength, &crash(number), now);
                }
            }
            fleet.exchange();
            let now = fleet.now;
            assert!(fleet.vms.iter().all(|vm| vm.blocked_count(now) == 0), "seed {seed}, {now:?}");
        }
    }
}
