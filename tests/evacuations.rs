//! Data centres that operators evacuate: what gets new work, and what a log from an older copy changes.

use std::collections::BTreeSet;
use std::time::Duration;

use carobglade::{
    DataCentre, Evacuations, LogEra, UpstreamEntry, UpstreamRegistry, UpstreamRegistrySettings,
};

const OLD: LogEra = LogEra(1);
const NEW: LogEra = LogEra(2);

const fn secs(value: u64) -> Duration {
    Duration::from_secs(value)
}

fn data_centre(name: &str) -> DataCentre {
    name.parse().unwrap()
}

fn set(names: &[&str]) -> BTreeSet<DataCentre> {
    names.iter().map(|name| data_centre(name)).collect()
}

fn entry(name: &str, place: &str, started_ms: u64) -> UpstreamEntry {
    UpstreamEntry {
        name: name.parse().unwrap(),
        service: "engines".into(),
        address: "127.0.0.1:7".parse().unwrap(),
        data_centre: data_centre(place),
        version: "v1".parse().unwrap(),
        slots: 8,
        draining: false,
        cold_time: Duration::ZERO,
        models: Vec::new(),
        cached_models: Vec::new(),
        heartbeat: 0,
        started_ms,
    }
}

fn accepting(registry: &UpstreamRegistry) -> Vec<String> {
    registry.accepting("engines").map(|entry| entry.name.to_string()).collect()
}

/// Evacuations of which the log's old era held `brest`.
fn evacuated() -> Evacuations {
    let mut evacuations = Evacuations::default();
    evacuations.apply_snapshot(BTreeSet::new(), OLD, secs(1));
    evacuations.apply_record(&data_centre("brest"), true);
    evacuations
}

#[test]
fn upstreams_of_an_evacuated_data_centre_get_no_new_work() {
    let mut registry = UpstreamRegistry::new(UpstreamRegistrySettings::default());
    registry.upsert(entry("one", "brest", 5));
    registry.upsert(entry("two", "rennes", 5));
    assert!(registry.set_evacuated(&set(&["brest"])));
    assert!(!registry.set_evacuated(&set(&["brest"])));
    assert_eq!(accepting(&registry), ["two"]);
    assert!(registry.accepting_run(&"one".parse().unwrap(), 5).is_none());
    // Neither does one that starts there, or starts again.
    registry.upsert(entry("one", "brest", 9));
    registry.upsert(entry("three", "brest", 9));
    assert_eq!(accepting(&registry), ["two"]);
    assert!(registry.set_evacuated(&BTreeSet::new()));
    assert_eq!(accepting(&registry), ["one", "three", "two"]);
    assert!(registry.accepting_run(&"one".parse().unwrap(), 9).is_some());
}

#[test]
fn an_evacuation_lasts_until_it_is_taken_back() {
    let mut evacuations = evacuated();
    evacuations.apply_record(&data_centre("lorient"), true);
    assert_eq!(*evacuations.in_force(secs(9000)), set(&["brest", "lorient"]));
    evacuations.apply_record(&data_centre("brest"), false);
    assert_eq!(*evacuations.in_force(secs(9000)), set(&["lorient"]));
    // A list that is read whole holds all that there is.
    evacuations.apply_snapshot(set(&["quimper"]), OLD, secs(9001));
    assert_eq!(*evacuations.in_force(secs(9001)), set(&["quimper"]));
}

/// Guards against work for a data centre that is evacuated, since the log came back from a copy that
/// does not hold that, until the operator writes it again.
#[test]
fn an_older_copy_ends_no_evacuation_and_brings_none_back() {
    let mut evacuations = evacuated();
    evacuations.apply_record(&data_centre("lorient"), true);
    evacuations.apply_record(&data_centre("lorient"), false);
    evacuations.apply_snapshot(set(&["lorient"]), NEW, secs(10));
    assert_eq!(*evacuations.in_force(secs(10)), set(&["brest"]));
    // The operator writes again what holds.
    evacuations.apply_record(&data_centre("brest"), true);
    evacuations.apply_record(&data_centre("lorient"), false);
    for now in [11, 100] {
        assert_eq!(*evacuations.in_force(secs(now)), set(&["brest"]), "{now} s");
    }
}

#[test]
fn what_the_operator_writes_after_an_older_copy_counts_at_once() {
    let mut evacuations = evacuated();
    evacuations.apply_snapshot(set(&["brest"]), NEW, secs(10));
    evacuations.apply_record(&data_centre("brest"), false);
    evacuations.apply_record(&data_centre("quimper"), true);
    assert_eq!(*evacuations.in_force(secs(10)), set(&["quimper"]));
}

/// Guards against evacuations that nobody can end, since only a vm remembers them.
#[test]
fn an_evacuation_that_the_log_lost_for_good_ends() {
    let mut evacuations = evacuated();
    evacuations.apply_snapshot(BTreeSet::new(), NEW, secs(10));
    assert_eq!(*evacuations.in_force(secs(20)), set(&["brest"]));
    assert_eq!(*evacuations.in_force(secs(26)), BTreeSet::new());
}
