//! What is known of engines beyond the list, which names a model until its eviction has ended.

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

/// The list's entry of an engine that holds the model.
fn listed() -> UpstreamEntry {
    UpstreamEntry {
        name: engine(),
        service: "planning".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "rennes".parse().unwrap(),
        slots: 64,
        draining: false,
        models: vec![LoadedModel { name: model(), adapters: vec!["a1".into()] }],
        cached_models: Vec::new(),
        heartbeat: 1,
        started_ms: 1,
    }
}

fn news(there: bool, sequence: u64) -> PlacementUpdate {
    PlacementUpdate {
        upstream: engine(),
        model: model(),
        adapter: None,
        available: there,
        sequence,
    }
}

const fn seconds(value: u64) -> Duration {
    Duration::from_secs(value)
}

#[test]
fn an_eviction_that_was_refused_or_undone_ends_the_news() {
    let mut gossip = PlacementGossip::default();
    gossip.apply_update(news(false, 5), GossipSource::Peer, seconds(10));
    gossip.apply_update(news(true, 6), GossipSource::Peer, seconds(11));
    assert!(gossip.can_serve(&listed(), &model(), None, seconds(11)));
    // Late news of the eviction change nothing.
    gossip.apply_update(news(false, 5), GossipSource::Peer, seconds(12));
    assert!(gossip.can_serve(&listed(), &model(), None, seconds(12)));
}

#[test]
fn news_of_an_engine_end_with_its_process() {
    let mut gossip = PlacementGossip::default();
    gossip.apply_update(news(false, 5), GossipSource::Peer, seconds(10));
    gossip.forget(&engine());
    assert!(gossip.can_serve(&listed(), &model(), None, seconds(10)));
}
