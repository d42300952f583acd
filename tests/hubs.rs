//! Hubs of large fleets: who is chosen, who is passed over, and what is taken from a neighbour's
//! reading of the log.

use std::time::Duration;

use carobglade::{
    DataCentre, HubSelector, HubSettings, LogReading, RecentChanges, VmName, VmProfile,
};

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn vm(i: usize) -> VmName {
    format!("vm-{i}").parse().unwrap()
}

fn place(i: usize) -> DataCentre {
    ["rennes", "brest"][i % 2].parse().unwrap()
}

/// Two vms in seven are strong.
fn seat(i: usize) -> VmProfile {
    VmProfile { data_centre: place(i), cpu_capacity: if i % 7 < 2 { 50 } else { 12 } }
}

/// What vm `i` of a fleet sees when it has heard of all others at `now`.
fn seen_by(i: usize, fleet: usize, now: Duration) -> HubSelector {
    let mut hubs = HubSelector::new(HubSettings::default(), vm(i), seat(i));
    for other in (0..fleet).filter(|other| *other != i) {
        hubs.add_listed(&vm(other), seat(other), now);
        hubs.record_heard(&vm(other), now);
    }
    hubs
}

#[test]
fn a_small_fleet_needs_no_hub() {
    let mut hubs = seen_by(0, 9, ms(0));
    assert!(!hubs.in_use());
    assert!(!hubs.is_hub(ms(0)));
}

#[test]
fn all_vms_choose_the_same_hubs() {
    let mut all: Vec<HubSelector> = (0..40).map(|i| seen_by(i, 40, ms(0))).collect();
    for centre in [place(0), place(1)] {
        let chosen: Vec<_> = all.iter_mut().map(|hubs| hubs.hub_of(&centre, ms(0))).collect();
        assert!(chosen[0].is_some());
        assert!(chosen.iter().all(|hub| *hub == chosen[0]));
        let mut strong = (0..40).filter(|i| seat(*i).cpu_capacity == 50).map(vm);
        assert!(strong.any(|vm| chosen[0] == Some(vm)));
    }
    assert_eq!(all.iter_mut().filter_map(|hubs| hubs.is_hub(ms(0)).then_some(())).count(), 2);
}

#[test]
fn a_hub_that_does_not_answer_is_passed_over_and_tried_again_later() {
    let mut hubs = seen_by(1, 40, ms(0));
    let first = hubs.hub_of(&place(0), ms(0)).unwrap();
    hubs.record_request(&first, ms(0));
    hubs.record_request(&first, ms(700));
    assert_eq!(hubs.hub_of(&place(0), ms(700)), Some(first.clone()));
    assert_ne!(hubs.hub_of(&place(0), ms(800)), Some(first.clone()));
    assert_eq!(hubs.hub_of(&place(0), ms(5800)), Some(first.clone()));
    hubs.record_request(&first, ms(5800));
    hubs.record_answer(&first);
    hubs.record_heard(&first, ms(6500));
    assert_eq!(hubs.hub_of(&place(0), ms(6900)), Some(first));
}

#[test]
fn when_all_others_are_silent_a_vm_is_its_own_hub() {
    let mut hubs = seen_by(1, 40, ms(0));
    assert!(hubs.is_hub(ms(6000)));
    assert_eq!(hubs.hub_of(&place(0), ms(6000)), None);
}

#[test]
fn neighbours_that_stop_reporting_are_no_members() {
    let mut hubs = seen_by(0, 40, ms(0));
    hubs.record_report(&vm(2), ms(100));
    hubs.record_report(&vm(4), ms(1500));
    assert_eq!(hubs.members(ms(2050)).len(), 2);
    assert_eq!(hubs.members(ms(2100)).into_iter().collect::<Vec<_>>(), [vm(4)]);
}

#[test]
fn a_vouched_reading_is_as_old_as_the_question() {
    let reading = LogReading::from_peer(90, 70, ms(5000), ms(400));
    assert_eq!(reading.confirmed_at, ms(4600));
    assert_eq!(reading.resume_offset(70, 70, ms(5100)), Some(90));
    assert_eq!(reading.resume_offset(95, 70, ms(5100)), Some(95));
}

#[test]
fn a_vm_reads_by_itself_what_changed_or_when_nobody_vouches() {
    let reading = LogReading::from_peer(90, 70, ms(5000), ms(400));
    assert_eq!(reading.resume_offset(69, 70, ms(5100)), None);
    assert_eq!(reading.resume_offset(90, 70, ms(6200)), None);
}

#[test]
fn a_vm_that_was_told_the_changes_need_not_read_them() {
    let reading = LogReading::from_peer(90, 70, ms(5000), ms(400));
    assert_eq!(reading.resume_offset(60, 55, ms(5100)), Some(90));
    assert_eq!(reading.resume_offset(54, 55, ms(5100)), None);
}

#[test]
fn changes_are_passed_on_for_a_while_as_far_as_they_fit() {
    let mut changes = RecentChanges::default();
    changes.reset(10);
    changes.push(12, "twelve", ms(0));
    changes.push(17, "seventeen", ms(1000));
    let size = |text: &&str| text.len();
    assert_eq!(changes.latest(size, 100), (10, vec![(12, &"twelve"), (17, &"seventeen")]));
    assert_eq!(changes.latest(size, 9), (13, vec![(17, &"seventeen")]));
    assert_eq!(changes.latest(size, 8), (18, Vec::new()));
    changes.push(20, "twenty", ms(1500));
    assert_eq!(changes.latest(size, 100), (13, vec![(17, &"seventeen"), (20, &"twenty")]));
}

#[test]
fn a_vm_that_cannot_read_the_log_leaves_it_to_another() {
    let mut hubs = HubSelector::new(HubSettings::default(), vm(0), seat(0));
    hubs.add_listed(&vm(2), seat(2), ms(0));
    hubs.record_heard(&vm(2), ms(0));
    assert_eq!(hubs.log_reader(ms(0)), vm(0));
    hubs.record_read_failure(ms(100));
    assert_eq!(hubs.log_reader(ms(200)), vm(2));
    hubs.record_request(&vm(2), ms(200));
    assert_eq!(hubs.log_reader(ms(1000)), vm(0));
    hubs.record_answer(&vm(2));
    assert_eq!(hubs.log_reader(ms(5200)), vm(0));
}

#[test]
fn a_vm_that_is_only_listed_is_soon_passed_over() {
    let mut hubs = HubSelector::new(HubSettings::default(), vm(3), seat(3));
    hubs.add_listed(&vm(7), seat(7), ms(10_000));
    assert_eq!(hubs.hub_of(&place(7), ms(11_900)), Some(vm(7)));
    assert_eq!(hubs.hub_of(&place(7), ms(12_000)), Some(vm(3)));
    hubs.record_heard(&vm(7), ms(12_100));
    assert_eq!(hubs.hub_of(&place(7), ms(18_000)), Some(vm(7)));
}

/// A vm read a new configuration, then rested on a reader that had not: whoever rested on it in
/// turn took the new offset for one at which nothing had changed, and served the old version on.
#[test]
fn a_change_that_was_read_is_told_by_a_vm_that_rests_on_another_again() {
    let own = LogReading { read_to: 3, changed_to: 3, confirmed_at: ms(5000) };
    let vouched = LogReading::from_peer(2, 2, ms(5200), ms(100));
    let seen = vouched.resume_offset(own.read_to, u64::MAX, ms(5300)).unwrap();
    let told = LogReading { read_to: seen, ..vouched }.keeping_change(Some(own));
    assert_eq!(
        told.resume_offset(2, u64::MAX, ms(5300)),
        None,
        "one that read up to 2 missed a change"
    );
    assert_eq!(told.resume_offset(3, u64::MAX, ms(5300)), Some(3));
}
