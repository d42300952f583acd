//! Sound upstreams that fall silent for some time and go on: what was sent to them is answered.

use std::time::Duration;

use carob_bench::config::api_key;
use carob_bench::{Client, Fleet, FleetOptions, Response};
use http::Method;
use serde_json::{Value, json};
use tokio::task::JoinHandle;

/// Short timeouts, so that a silence of two seconds is longer than all of them.
fn short_times() -> Value {
    json!({ "times": { "first": 500, "between": 500 } })
}

/// Starts a fleet of one vm and one engine that has loaded the model.
async fn start_fleet(settings: Value) -> Fleet {
    let options = FleetOptions { vms: 1, engines: 1, settings, ..FleetOptions::default() };
    let fleet = Fleet::start(options).await.unwrap();
    assert_eq!(start_chat(&fleet, "warm", 2, true).await.unwrap().status, 200);
    fleet
}

fn start_chat(fleet: &Fleet, prompt: &str, tokens: u64, stream: bool) -> JoinHandle<Response> {
    let (address, prompt) = (fleet.caller_address(0), prompt.to_owned());
    tokio::spawn(async move {
        let client = Client::unpooled(&api_key("crew"));
        client.chat(address, "planner", &prompt, tokens, stream).await
    })
}

async fn pause_engine(fleet: &Fleet, millis: u64) {
    fleet.post(fleet.engine_addresses[0], "/pause", &millis.to_string()).await.unwrap();
}

fn assert_whole_stream(response: &Response) {
    assert_eq!(response.status, 200, "{}", response.body);
    assert!(response.complete && response.body.contains("[DONE]"), "{}", response.body);
}

// Guards against: a stream whose engine sends nothing for a while was broken off by a timer, though
// nothing else could finish it.
#[tokio::test(flavor = "multi_thread")]
async fn stream_outlives_a_silence_of_its_engine() {
    let fleet = start_fleet(short_times()).await;
    let stream = start_chat(&fleet, "long", 200, true);
    tokio::time::sleep(Duration::from_millis(400)).await;
    pause_engine(&fleet, 2000).await;
    let response = stream.await.unwrap();
    assert_whole_stream(&response);
    assert_eq!(response.body.matches("\"delta\"").count(), 200);
}

// Guards against: requests that waited for the only engine with their model were given up one after
// the other while it was silent, and the circuit breaker then kept others from it for seconds.
#[tokio::test(flavor = "multi_thread")]
async fn requests_outlive_a_silence_of_the_only_engine() {
    let fleet = start_fleet(json!({})).await;
    pause_engine(&fleet, 5000).await;
    let during: Vec<_> =
        (0..8).map(|i| start_chat(&fleet, &format!("during {i}"), 5, true)).collect();
    tokio::time::sleep(Duration::from_millis(5000)).await;
    for i in 0..4 {
        let response = start_chat(&fleet, &format!("after {i}"), 5, true).await.unwrap();
        assert_whole_stream(&response);
        assert!(response.total < Duration::from_millis(1500), "{:?}", response.total);
    }
    for request in during {
        assert_whole_stream(&request.await.unwrap());
    }
}

// Guards against: a whole response was given up while its only engine was silent.
#[tokio::test(flavor = "multi_thread")]
async fn whole_response_outlives_a_silence_of_the_only_engine() {
    let fleet = start_fleet(short_times()).await;
    pause_engine(&fleet, 12_000).await;
    let response = start_chat(&fleet, "whole", 3, false).await.unwrap();
    assert_eq!(response.status, 200, "{}", response.body);
}

// Guards against: a call that may run once ended as a timeout with an unknown outcome while its
// service was silent, and the service ran it afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn call_that_may_run_once_outlives_a_silence_of_its_service() {
    let options = FleetOptions { vms: 1, settings: short_times(), ..FleetOptions::default() };
    let fleet = Fleet::start(options).await.unwrap();
    fleet.set_faults(fleet.service_addresses[0], json!({ "before": 2000 })).await.unwrap();
    let client = Client::unpooled(&api_key("crew"));
    let call = client.post_idempotent(fleet.caller_address(0), "/gates/1", "k", "{}").await;
    assert_eq!(call.status, 200, "{}", call.body);
    assert_eq!(fleet.recorded_calls().await.unwrap().len(), 1);
}

// Guards against: a call that may be repeated was given up while the only service was silent.
#[tokio::test(flavor = "multi_thread")]
async fn repeatable_call_outlives_a_silence_of_the_only_service() {
    let options = FleetOptions { vms: 1, settings: short_times(), ..FleetOptions::default() };
    let fleet = Fleet::start(options).await.unwrap();
    fleet.set_faults(fleet.service_addresses[0], json!({ "before": 2000 })).await.unwrap();
    let client = Client::unpooled(&api_key("crew"));
    let call = client.send(Method::GET, fleet.caller_address(0), "/gates/1", &[], "").await;
    assert_eq!(call.status, 200, "{}", call.body);
    assert_eq!(fleet.recorded_calls().await.unwrap().len(), 1, "sent to the same service twice");
}

// Guards against: with all services silent at once, each was given up as the next one was tried, and
// the last one was given up too.
#[tokio::test(flavor = "multi_thread")]
async fn repeatable_call_outlives_a_silence_of_all_services() {
    let settings = short_times();
    let options = FleetOptions { vms: 1, services: 3, settings, ..FleetOptions::default() };
    let fleet = Fleet::start(options).await.unwrap();
    for service in &fleet.service_addresses {
        fleet.set_faults(*service, json!({ "before": 3000 })).await.unwrap();
    }
    let client = Client::unpooled(&api_key("crew"));
    let call = client.send(Method::GET, fleet.caller_address(0), "/gates/1", &[], "").await;
    assert_eq!(call.status, 200, "{}", call.body);
    assert!(call.total < Duration::from_millis(3500), "the first was given up: {:?}", call.total);
}

// Guards against: a service that is silent for good keeps a call that may be repeated from the other.
#[tokio::test(flavor = "multi_thread")]
async fn repeatable_call_gets_another_service_when_one_is_silent_for_good() {
    let settings = short_times();
    let options = FleetOptions { vms: 1, services: 2, settings, ..FleetOptions::default() };
    let fleet = Fleet::start(options).await.unwrap();
    fleet.set_faults(fleet.service_addresses[0], json!({ "before": 600_000 })).await.unwrap();
    let client = Client::unpooled(&api_key("crew"));
    for _ in 0..6 {
        let call = client.send(Method::GET, fleet.caller_address(0), "/gates/1", &[], "").await;
        assert_eq!(call.status, 200, "{}", call.body);
        assert!(call.total < Duration::from_millis(2000), "{:?}", call.total);
    }
}

// Guards against: an engine that is silent for good, on new connections too, keeps requests from the
// other engines.
#[tokio::test(flavor = "multi_thread")]
async fn requests_get_another_engine_when_one_is_silent_for_good() {
    let options = FleetOptions { vms: 1, ..FleetOptions::default() };
    let fleet = Fleet::start(options).await.unwrap();
    let loaded = async || {
        let load: Vec<_> =
            (0..40).map(|i| start_chat(&fleet, &format!("w{i}"), 60, true)).collect();
        for request in load {
            request.await.unwrap();
        }
        let mut count = 0;
        for engine in &fleet.engine_addresses {
            let stats = fleet.get(*engine, "/stats").await.unwrap();
            count += usize::from(stats["resident"].to_string().contains("planner"));
        }
        count == fleet.engine_addresses.len()
    };
    fleet.wait_until("the model to be loaded everywhere", loaded).await.unwrap();
    pause_engine(&fleet, 600_000).await;
    for i in 0..8 {
        let response = start_chat(&fleet, &format!("after {i}"), 5, true).await.unwrap();
        assert_whole_stream(&response);
        assert!(response.total < Duration::from_millis(5000), "{:?}", response.total);
    }
}
