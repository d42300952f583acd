//! The list of upstreams: restarts, old entries, outages of the list.

use std::time::Duration;

use carobglade::{
    EntryChange, LoadedModel, RegistrySettings, UpstreamEntry, UpstreamName, UpstreamRegistry,
};

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn listed(name: &str, born: u64, beat: u64) -> UpstreamEntry {
    UpstreamEntry {
        name: name.parse().unwrap(),
        service: "planning".into(),
        address: "127.0.0.1:7".parse().unwrap(),
        data_centre: "rennes".parse().unwrap(),
        slots: 8,
        draining: false,
        models: vec![LoadedModel { name: "large".parse().unwrap(), adapters: vec!["a1".into()] }],
        cached_models: Vec::new(),
        heartbeat: beat,
        started_ms: born,
    }
}

fn name(text: &str) -> UpstreamName {
    text.parse().unwrap()
}

#[test]
fn a_later_start_under_the_same_name_is_another_upstream() {
    let mut registry = UpstreamRegistry::new(RegistrySettings::default());
    assert_eq!(registry.upsert(listed("one", 5, 90)), EntryChange::Added);
    assert_eq!(registry.upsert(listed("one", 9, 0)), EntryChange::Restarted);
    assert_eq!(registry.upsert(listed("one", 5, 91)), EntryChange::None);
    assert_eq!(registry.get(&name("one")).unwrap().started_ms, 9);
}

#[test]
fn an_entry_that_arrives_late_reverts_nothing() {
    let mut registry = UpstreamRegistry::new(RegistrySettings::default());
    registry.upsert(listed("one", 5, 3));
    let leaving = UpstreamEntry { draining: true, ..listed("one", 5, 4) };
    assert_eq!(registry.upsert(leaving), EntryChange::Draining);
    assert_eq!(registry.upsert(listed("one", 5, 3)), EntryChange::None);
    assert_eq!(registry.accepting("planning").count(), 0);
}

#[test]
fn a_beat_alone_is_no_change() {
    let mut registry = UpstreamRegistry::new(RegistrySettings::default());
    registry.upsert(listed("one", 5, 3));
    assert_eq!(registry.upsert(listed("one", 5, 4)), EntryChange::None);
}

#[test]
fn a_gone_upstream_is_gone_at_once_while_the_list_is_sound() {
    let mut registry = UpstreamRegistry::new(RegistrySettings::default());
    registry.record_read(ms(0));
    registry.upsert(listed("one", 5, 3));
    registry.record_read(ms(800));
    assert!(registry.remove(&name("one"), ms(800)));
    assert!(registry.get(&name("one")).is_none());
}

/// Who read that the entry was missing has to read that it came back.
#[test]
fn an_entry_that_came_back_unchanged_is_a_change() {
    let mut registry = UpstreamRegistry::new(RegistrySettings::default());
    registry.record_read(ms(0));
    registry.upsert(listed("one", 5, 3));
    registry.record_read(ms(6000));
    assert!(!registry.remove(&name("one"), ms(6000)));
    assert_eq!(registry.upsert(listed("one", 5, 4)), EntryChange::Updated);
    assert_eq!(registry.upsert(listed("one", 5, 5)), EntryChange::None);
}

#[test]
fn entries_that_lapsed_in_an_outage_may_come_back() {
    let mut registry = UpstreamRegistry::new(RegistrySettings::default());
    registry.record_read(ms(0));
    registry.upsert(listed("stays", 5, 3));
    registry.upsert(listed("goes", 5, 3));
    registry.record_read(ms(6000));
    assert!(!registry.remove(&name("stays"), ms(6000)));
    assert!(!registry.remove(&name("goes"), ms(6000)));
    assert_eq!(registry.accepting("planning").count(), 2);
    registry.upsert(listed("stays", 5, 9));
    assert!(registry.expire(ms(8000)).is_empty());
    assert_eq!(registry.expire(ms(8400)), [name("goes")]);
    assert!(registry.get(&name("stays")).is_some());
}

#[test]
fn an_adapter_is_held_only_with_its_model() {
    let one = listed("one", 1, 1);
    assert!(one.holds(&"large".parse().unwrap(), Some("a1")));
    assert!(!one.holds(&"large".parse().unwrap(), Some("a2")));
    assert!(!one.holds(&"small".parse().unwrap(), Some("a1")));
}
