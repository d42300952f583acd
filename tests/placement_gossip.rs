//! Tests of placement updates, which supplement the list of upstreams because the list names a
//! model until its eviction has ended.

use std::time::Duration;

use carobglade::{
    GossipSource, LoadedModel, ModelName, PlacementGossip, PlacementUpdate, UpstreamEntry,
    UpstreamName,
};

fn model() -> ModelName {
    "large".parse().unwrap()
}

fn engine() -> UpstreamName {
    "engine-1".parse().unwrap()
}

/// Returns the list's entry of an engine that holds the model.
fn list_entry() -> UpstreamEntry {
    UpstreamEntry {
        name: engine(),
        service: "planning".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "rennes".parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: 64,
        draining: false,
        cold_time: Duration::ZERO,
        models: vec![LoadedModel { name: model(), adapters: vec!["a1".into()] }],
        cached_models: Vec::new(),
        heartbeat: 1,
        started_ms: 1,
    }
}

fn update(available: bool, sequence: u64) -> PlacementUpdate {
    PlacementUpdate { upstream: engine(), model: model(), adapter: None, available, sequence }
}

const fn seconds(value: u64) -> Duration {
    Duration::from_secs(value)
}

#[test]
fn a_refused_or_undone_eviction_makes_the_model_available() {
    let mut gossip = PlacementGossip::default();
    gossip.apply_update(update(false, 5), GossipSource::Peer, seconds(10));
    gossip.apply_update(update(true, 6), GossipSource::Peer, seconds(11));
    assert!(gossip.can_serve(&list_entry(), &model(), None, seconds(11)));
    // A late update about the eviction is ignored.
    gossip.apply_update(update(false, 5), GossipSource::Peer, seconds(12));
    assert!(gossip.can_serve(&list_entry(), &model(), None, seconds(12)));
}

#[test]
fn updates_about_an_engine_end_with_its_process() {
    let mut gossip = PlacementGossip::default();
    gossip.apply_update(update(false, 5), GossipSource::Peer, seconds(10));
    gossip.remove_updates(&engine());
    assert!(gossip.can_serve(&list_entry(), &model(), None, seconds(10)));
}
