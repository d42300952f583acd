//! Tests of the upstream registry: restarts, outdated entries and outages of the list.

use std::time::{Duration, Instant};

use carobglade::{
    EntryChange, LeavingNotice, LoadedModel, UpstreamEntry, UpstreamName, UpstreamRegistry,
    UpstreamRegistrySettings,
};

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn entry(name: &str, started_ms: u64, heartbeat: u64) -> UpstreamEntry {
    UpstreamEntry {
        name: name.parse().unwrap(),
        service: "planning".into(),
        address: "127.0.0.1:7".parse().unwrap(),
        data_centre: "rennes".parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: 8,
        draining: false,
        cold_time: Duration::ZERO,
        models: vec![LoadedModel { name: "large".parse().unwrap(), adapters: vec!["a1".into()] }],
        cached_models: Vec::new(),
        heartbeat,
        started_ms,
    }
}

fn name(text: &str) -> UpstreamName {
    text.parse().unwrap()
}

#[test]
fn a_restart_under_the_same_name_is_another_upstream() {
    let mut registry = UpstreamRegistry::new(UpstreamRegistrySettings::default());
    assert_eq!(registry.upsert(entry("one", 5, 90)), EntryChange::Added);
    assert_eq!(registry.upsert(entry("one", 9, 0)), EntryChange::Restarted);
    assert_eq!(registry.upsert(entry("one", 5, 91)), EntryChange::None);
    assert_eq!(registry.entry(&name("one")).unwrap().started_ms, 9);
}

#[test]
fn an_outdated_entry_is_ignored() {
    let mut registry = UpstreamRegistry::new(UpstreamRegistrySettings::default());
    registry.upsert(entry("one", 5, 3));
    let draining = UpstreamEntry { draining: true, ..entry("one", 5, 4) };
    assert_eq!(registry.upsert(draining), EntryChange::Draining);
    assert_eq!(registry.upsert(entry("one", 5, 3)), EntryChange::None);
    assert_eq!(registry.accepting("planning").count(), 0);
}

#[test]
fn a_heartbeat_alone_is_no_change() {
    let mut registry = UpstreamRegistry::new(UpstreamRegistrySettings::default());
    registry.upsert(entry("one", 5, 3));
    assert_eq!(registry.upsert(entry("one", 5, 4)), EntryChange::None);
}

#[test]
fn a_missing_upstream_is_removed_at_once_without_an_outage() {
    let mut registry = UpstreamRegistry::new(UpstreamRegistrySettings::default());
    registry.record_read(ms(0));
    registry.upsert(entry("one", 5, 3));
    registry.record_read(ms(800));
    assert!(registry.record_removal(&name("one"), ms(800)));
    assert!(registry.entry(&name("one")).is_none());
}

/// A caller that learned that an entry disappeared must also learn that it returned.
#[test]
fn an_entry_that_came_back_unchanged_is_a_change() {
    let mut registry = UpstreamRegistry::new(UpstreamRegistrySettings::default());
    registry.record_read(ms(0));
    registry.upsert(entry("one", 5, 3));
    registry.record_read(ms(6000));
    assert!(!registry.record_removal(&name("one"), ms(6000)));
    assert_eq!(registry.upsert(entry("one", 5, 4)), EntryChange::Updated);
    assert_eq!(registry.upsert(entry("one", 5, 5)), EntryChange::None);
}

#[test]
fn entries_that_expired_in_an_outage_may_return() {
    let mut registry = UpstreamRegistry::new(UpstreamRegistrySettings::default());
    registry.record_read(ms(0));
    registry.upsert(entry("stays", 5, 3));
    registry.upsert(entry("goes", 5, 3));
    registry.record_read(ms(6000));
    assert!(!registry.record_removal(&name("stays"), ms(6000)));
    assert!(!registry.record_removal(&name("goes"), ms(6000)));
    assert_eq!(registry.accepting("planning").count(), 2);
    registry.upsert(entry("stays", 5, 9));
    assert!(registry.expire(ms(8000)).is_empty());
    assert_eq!(registry.expire(ms(8400)), [name("goes")]);
    assert!(registry.entry(&name("stays")).is_some());
}

#[test]
fn an_adapter_is_held_only_with_its_model() {
    let upstream = entry("one", 1, 1);
    assert!(upstream.holds(&"large".parse().unwrap(), Some("a1")));
    assert!(!upstream.holds(&"large".parse().unwrap(), Some("a2")));
    assert!(!upstream.holds(&"small".parse().unwrap(), Some("a1")));
}

// Guards against: a snapshot of a large list stops the process for longer than a vm waits for a
// message.
#[test]
fn a_snapshot_of_a_large_list_is_applied_in_time() {
    let mut registry = UpstreamRegistry::new(UpstreamRegistrySettings::default());
    let names: Vec<UpstreamName> = (0..10_000).map(|i| name(&format!("upstream-{i}"))).collect();
    for name in &names {
        registry.upsert(entry(name.as_str(), 5, 1));
    }
    let started = Instant::now();
    assert!(registry.retain_listed(&names, ms(10)).is_empty());
    let took = started.elapsed();
    assert!(took < ms(100), "{took:?}");
    let gone = registry.retain_listed(&names[1..], ms(10));
    assert_eq!(gone, names[..1]);
}

fn leaving(text: &str, started_ms: u64) -> LeavingNotice {
    LeavingNotice { upstream: name(text), started_ms }
}

/// Guards against requests to an upstream that is leaving, for as long as the list does not say so.
#[test]
fn an_upstream_that_says_that_it_leaves_accepts_nothing_more() {
    let mut registry = UpstreamRegistry::new(UpstreamRegistrySettings::default());
    registry.upsert(entry("one", 5, 3));
    assert!(registry.record_leaving(&leaving("one", 5), ms(10)));
    assert!(!registry.record_leaving(&leaving("one", 5), ms(20)), "it is news once");
    assert_eq!(registry.accepting("planning").count(), 0);
    registry.upsert(entry("one", 5, 4));
    assert_eq!(registry.accepting("planning").count(), 0, "an entry takes it back");
    assert_eq!(registry.leaving_notices(), [leaving("one", 5)]);
    registry.upsert(UpstreamEntry { draining: true, ..entry("one", 5, 5) });
    assert!(registry.leaving_notices().is_empty(), "the list tells it now");
}

/// Guards against an upstream that stays out of use after it has started again.
#[test]
fn an_upstream_that_started_again_after_it_left_accepts_work() {
    let mut registry = UpstreamRegistry::new(UpstreamRegistrySettings::default());
    registry.upsert(entry("one", 5, 3));
    registry.record_leaving(&leaving("one", 5), ms(10));
    assert_eq!(registry.upsert(entry("one", 9, 0)), EntryChange::Restarted);
    assert_eq!(registry.accepting("planning").count(), 1);
    assert!(!registry.record_leaving(&leaving("one", 5), ms(20)), "it is of the former start");
    assert_eq!(registry.accepting("planning").count(), 1);
}

/// Guards against an upstream that comes back into use with an entry that is older than what it said.
#[test]
fn an_entry_that_comes_back_is_still_leaving() {
    let settings = UpstreamRegistrySettings::default();
    let mut registry = UpstreamRegistry::new(settings);
    registry.upsert(entry("one", 5, 3));
    registry.record_leaving(&leaving("one", 5), ms(10));
    assert!(registry.record_removal(&name("one"), ms(20)));
    registry.expire(ms(30));
    registry.upsert(entry("one", 5, 2));
    assert_eq!(registry.accepting("planning").count(), 0);
    registry.record_removal(&name("one"), ms(40));
    registry.expire(ms(10) + settings.leaving_memory);
    assert!(registry.leaving_notices().is_empty(), "it is remembered for good");
}
