//! Tests of hubs in large fleets: their selection and exclusion, and the use of another vm's
//! reading of the log.

use std::time::Duration;

use carobglade::{
    DataCentre, HubSelector, HubSelectorSettings, LogEra, LogReading, RecentChanges, VmName,
    VmProfile,
};

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn vm(i: usize) -> VmName {
    format!("vm-{i}").parse().unwrap()
}

fn data_centre(i: usize) -> DataCentre {
    ["rennes", "brest"][i % 2].parse().unwrap()
}

/// Returns the profile of vm `i`; two of every seven vms have a strong processor.
fn profile(i: usize) -> VmProfile {
    VmProfile { data_centre: data_centre(i), cpu_capacity: if i % 7 < 2 { 50 } else { 12 } }
}

/// Returns the selector of vm `i` out of `fleet` vms, after it heard from all others at `now`.
fn selector_of(i: usize, fleet: usize, now: Duration) -> HubSelector {
    let mut hubs = HubSelector::new(HubSelectorSettings::default(), vm(i), profile(i));
    for other in (0..fleet).filter(|other| *other != i) {
        hubs.add_listed(&vm(other), profile(other), now);
        hubs.record_contact(&vm(other), now);
    }
    hubs
}

#[test]
fn a_small_fleet_needs_no_hub() {
    let mut hubs = selector_of(0, 9, ms(0));
    assert!(!hubs.uses_hubs());
    assert!(!hubs.is_hub(ms(0)));
}

#[test]
fn all_vms_select_the_same_hubs() {
    let mut selectors: Vec<HubSelector> = (0..40).map(|i| selector_of(i, 40, ms(0))).collect();
    for centre in [data_centre(0), data_centre(1)] {
        let selected: Vec<_> =
            selectors.iter_mut().map(|hubs| hubs.hub_of(&centre, ms(0))).collect();
        assert!(selected[0].is_some());
        assert!(selected.iter().all(|hub| *hub == selected[0]));
        let mut strong_vms = (0..40).filter(|i| profile(*i).cpu_capacity == 50).map(vm);
        assert!(strong_vms.any(|vm| selected[0] == Some(vm)));
    }
    assert_eq!(selectors.iter_mut().filter_map(|hubs| hubs.is_hub(ms(0)).then_some(())).count(), 2);
}

#[test]
fn an_unresponsive_hub_is_excluded_and_tried_again_later() {
    let mut hubs = selector_of(1, 40, ms(0));
    let first = hubs.hub_of(&data_centre(0), ms(0)).unwrap();
    hubs.record_request(&first, ms(0));
    hubs.record_request(&first, ms(700));
    assert_eq!(hubs.hub_of(&data_centre(0), ms(700)), Some(first.clone()));
    assert_ne!(hubs.hub_of(&data_centre(0), ms(800)), Some(first.clone()));
    assert_eq!(hubs.hub_of(&data_centre(0), ms(5800)), Some(first.clone()));
    hubs.record_request(&first, ms(5800));
    hubs.record_response(&first);
    hubs.record_contact(&first, ms(6500));
    assert_eq!(hubs.hub_of(&data_centre(0), ms(6900)), Some(first));
}

#[test]
fn a_vm_is_its_own_hub_when_all_others_are_silent() {
    let mut hubs = selector_of(1, 40, ms(0));
    assert!(hubs.is_hub(ms(6000)));
    assert_eq!(hubs.hub_of(&data_centre(0), ms(6000)), None);
}

#[test]
fn vms_that_stop_reporting_are_no_longer_members() {
    let mut hubs = selector_of(0, 40, ms(0));
    hubs.record_report(&vm(2), ms(100));
    hubs.record_report(&vm(4), ms(1500));
    assert_eq!(hubs.members(ms(2050)).len(), 2);
    assert_eq!(hubs.members(ms(2100)).into_iter().collect::<Vec<_>>(), [vm(4)]);
}

#[test]
fn the_age_of_a_peers_reading_counts_from_the_request() {
    let reading = LogReading::from_peer(90, 70, ms(5000), ms(400));
    assert_eq!(reading.confirmed_at, ms(4600));
    assert_eq!(reading.resume_offset(70, 70, ms(5100)), Some(90));
    assert_eq!(reading.resume_offset(95, 70, ms(5100)), Some(95));
}

#[test]
fn a_vm_reads_the_log_itself_after_a_change_or_without_a_fresh_reading() {
    let reading = LogReading::from_peer(90, 70, ms(5000), ms(400));
    assert_eq!(reading.resume_offset(69, 70, ms(5100)), None);
    assert_eq!(reading.resume_offset(90, 70, ms(6200)), None);
}

#[test]
fn a_vm_that_received_the_changes_need_not_read_them() {
    let reading = LogReading::from_peer(90, 70, ms(5000), ms(400));
    assert_eq!(reading.resume_offset(60, 55, ms(5100)), Some(90));
    assert_eq!(reading.resume_offset(54, 55, ms(5100)), None);
}

#[test]
fn recent_changes_are_limited_in_age_and_size() {
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
fn a_vm_that_cannot_read_the_log_selects_another_reader() {
    let mut hubs = HubSelector::new(HubSelectorSettings::default(), vm(0), profile(0));
    hubs.add_listed(&vm(2), profile(2), ms(0));
    hubs.record_contact(&vm(2), ms(0));
    assert_eq!(hubs.log_reader(ms(0)), vm(0));
    hubs.record_read_failure(ms(100));
    assert_eq!(hubs.log_reader(ms(200)), vm(2));
    hubs.record_request(&vm(2), ms(200));
    assert_eq!(hubs.log_reader(ms(1000)), vm(0));
    hubs.record_response(&vm(2));
    assert_eq!(hubs.log_reader(ms(5200)), vm(0));
}

#[test]
fn a_vm_that_is_only_listed_is_not_selected_for_long() {
    let mut hubs = HubSelector::new(HubSelectorSettings::default(), vm(3), profile(3));
    hubs.add_listed(&vm(7), profile(7), ms(10_000));
    assert_eq!(hubs.hub_of(&data_centre(7), ms(11_900)), Some(vm(7)));
    assert_eq!(hubs.hub_of(&data_centre(7), ms(12_000)), Some(vm(3)));
    hubs.record_contact(&vm(7), ms(12_100));
    assert_eq!(hubs.hub_of(&data_centre(7), ms(18_000)), Some(vm(7)));
}

/// A vm read a new configuration and then relied on the reading of a vm that had not read it. A
/// third vm that relied on the result took the new offset for one without changes, and kept serving
/// the old version.
#[test]
fn a_vm_that_relies_on_another_reading_still_reports_a_change_it_read() {
    let own =
        LogReading { read_to: 3, changed_to: 3, confirmed_at: ms(5000), ..LogReading::default() };
    let from_peer = LogReading::from_peer(2, 2, ms(5200), ms(100));
    let read_to = from_peer.resume_offset(own.read_to, u64::MAX, ms(5300)).unwrap();
    let combined = LogReading { read_to, ..from_peer }.keeping_change(Some(own));
    assert_eq!(
        combined.resume_offset(2, u64::MAX, ms(5300)),
        None,
        "a vm that read up to 2 would miss a change"
    );
    assert_eq!(combined.resume_offset(3, u64::MAX, ms(5300)), Some(3));
}

/// Guards against a change of the era before that hides one of the present era, whose offsets are
/// lower.
#[test]
fn a_reading_of_another_era_keeps_no_change() {
    let own = LogReading { era: LogEra(1), changed_to: 30, ..LogReading::default() };
    let reading = LogReading { era: LogEra(2), changed_to: 4, ..LogReading::default() };
    assert_eq!(reading.keeping_change(Some(own)).changed_to, 4);
}
