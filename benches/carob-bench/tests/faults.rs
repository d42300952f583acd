//! Silent connections, crashing and slow upstreams, poison requests and disconnecting callers.

use std::time::Duration;

use carob_bench::config::{api_key, tenant};
use carob_bench::{Client, Fleet, FleetOptions, Response};
use http::Method;
use serde_json::json;

async fn send_prompt(fleet: &Fleet, vm: usize, prompt: &str) -> Response {
    Client::unpooled(&api_key("crew"))
        .chat(fleet.caller_address(vm), "planner", prompt, 5, true)
        .await
}

/// Sends requests until every engine has loaded the model, so that a fault of one engine leaves
/// others.
async fn load_on_all_engines(fleet: &Fleet) {
    let loaded = async || {
        let load = (0..40).map(|i| {
            let address = fleet.caller_address(i % fleet.vms.len());
            tokio::spawn(async move {
                let client = Client::unpooled(&api_key("crew"));
                client.chat(address, "planner", &format!("w{i}"), 60, true).await
            })
        });
        let load: Vec<_> = load.collect();
        for task in load {
            task.await.unwrap();
        }
        let mut count = 0;
        for engine in &fleet.engine_addresses {
            let stats = fleet.get(*engine, "/stats").await.unwrap();
            count += usize::from(stats["resident"].to_string().contains("planner"));
        }
        count == fleet.engine_addresses.len()
    };
    fleet.wait_until("the model to be loaded everywhere", loaded).await.unwrap();
}

/// Returns the sum of a counter over all engines.
async fn sum_engine_stat(fleet: &Fleet, name: &str) -> u64 {
    let mut sum = 0;
    for engine in &fleet.engine_addresses {
        sum += fleet.get(*engine, "/stats").await.unwrap()[name].as_u64().unwrap_or(0);
    }
    sum
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_detected_and_replaced() {
    let fleet = Fleet::start(FleetOptions::default()).await.unwrap();
    load_on_all_engines(&fleet).await;
    for i in 0..12 {
        assert_eq!(send_prompt(&fleet, i % 3, &format!("before {i}")).await.status, 200);
    }
    // Each engine stops responding on all existing connections for good; new connections work.
    for engine in &fleet.engine_addresses {
        fleet.post(*engine, "/silent", "").await.unwrap();
    }
    for i in 0..12 {
        let response = send_prompt(&fleet, i % 3, &format!("after {i}")).await;
        assert_eq!(response.status, 200, "{}", response.body);
        assert!(response.complete && response.body.contains("[DONE]"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn poison_request_crashes_few_engines_and_other_requests_are_served() {
    let fleet = Fleet::start(FleetOptions { engines: 3, ..FleetOptions::default() }).await.unwrap();
    load_on_all_engines(&fleet).await;
    for engine in &fleet.engine_addresses {
        fleet.set_faults(*engine, json!({ "poison": "POISON" })).await.unwrap();
    }
    let other_requests: Vec<_> = (0..6)
        .map(|i| {
            let address = fleet.caller_address(i % 3);
            tokio::spawn(async move {
                let client = Client::unpooled(&api_key("crew"));
                for _ in 0..20 {
                    let prompt = format!("neighbour {i}");
                    let response = client.chat(address, "planner", &prompt, 100, true).await;
                    if response.status == 200 && response.complete {
                        return true;
                    }
                    tokio::time::sleep(Duration::from_millis(500)).await;
                }
                false
            })
        })
        .collect();
    let mut refused = 0;
    for i in 0..12 {
        let response = send_prompt(&fleet, i % 3, "POISON").await;
        assert_ne!(response.status, 200);
        refused += usize::from(response.code() == "quarantined");
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    assert!(refused >= 6, "only {refused} of 12 were refused as poison");
    let crashes = sum_engine_stat(&fleet, "crashes").await;
    assert!(crashes <= 3, "{crashes} crashes");
    for other_request in other_requests {
        assert!(other_request.await.unwrap(), "another request was not served");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn disconnect_of_the_caller_cancels_its_stream() {
    let fleet = Fleet::start(FleetOptions::default()).await.unwrap();
    assert_eq!(send_prompt(&fleet, 0, "warm").await.status, 200);
    let client = Client::unpooled(&api_key("crew"));
    let abandoned = client.chat(fleet.caller_address(0), "planner", "long", 2000, true);
    assert!(tokio::time::timeout(Duration::from_millis(600), abandoned).await.is_err());
    let cancelled = async || sum_engine_stat(&fleet, "cancelled").await == 1;
    fleet.wait_until("the stream to be cancelled", cancelled).await.unwrap();
    let idle = async || fleet.status(0).await.unwrap()["running"] == 0;
    fleet.wait_until("the vm to have no running requests", idle).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_has_no_end_marker() {
    let fleet = Fleet::start(FleetOptions { engines: 1, ..FleetOptions::default() }).await.unwrap();
    assert_eq!(send_prompt(&fleet, 0, "warm").await.status, 200);
    fleet.set_faults(fleet.engine_addresses[0], json!({ "poison": "POISON" })).await.unwrap();
    let address = fleet.caller_address(0);
    let long_stream = tokio::spawn(async move {
        Client::unpooled(&api_key("crew")).chat(address, "planner", "long", 200, true).await
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    send_prompt(&fleet, 1, "POISON").await;
    let response = long_stream.await.unwrap();
    assert_eq!(response.status, 200);
    assert!(!response.complete && !response.body.contains("[DONE]"), "{}", response.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn interactive_requests_do_not_wait_for_a_tenant_at_five_times_its_rate() {
    let models = FleetOptions::default().models;
    let options = FleetOptions {
        tenants: vec![
            tenant("apron", 100_000, 400_000, &models),
            tenant("crew", 200, 800, &models),
        ],
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(options).await.unwrap();
    assert_eq!(send_prompt(&fleet, 0, "warm").await.status, 200);
    let flood: Vec<_> = (0..60)
        .map(|i| {
            let address = fleet.caller_address(i % 3);
            tokio::spawn(async move {
                let client = Client::unpooled(&api_key("crew"));
                client.chat(address, "planner", &format!("f{i}"), 50, true).await
            })
        })
        .collect();
    let apron = Client::unpooled(&api_key("apron"));
    for i in 0..10 {
        let response =
            apron.chat(fleet.caller_address(i % 3), "planner", &format!("r{i}"), 3, true).await;
        assert_eq!(response.status, 200, "{}", response.body);
    }
    let mut refused = 0;
    for task in flood {
        let response = task.await.unwrap();
        if response.status == 429 {
            refused += 1;
            assert!(response.retry_after.is_some() && response.run_state() == "not_run");
        }
    }
    assert!(refused > 0, "a flood of 4,000 tokens passed a burst of 800");
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_response_without_bytes_does_not_time_out() {
    let fleet =
        Fleet::start(FleetOptions { token_interval: 12, ..FleetOptions::default() }).await.unwrap();
    let client = Client::unpooled(&api_key("crew"));
    for i in 0..6 {
        let response = client.chat(fleet.caller_address(i % 3), "planner", "short", 2, true).await;
        assert_eq!(response.status, 200, "{}", response.body);
    }
    // About five seconds of work, many times the mean time to the first byte.
    let response = client.chat(fleet.caller_address(0), "planner", "long", 400, false).await;
    assert_eq!(response.status, 200, "{}", response.body);
    assert_eq!(sum_engine_stat(&fleet, "ran").await, 7, "the slow request was sent once");
    fleet.set_faults(fleet.service_addresses[0], json!({ "before": 4000 })).await.unwrap();
    let call = client.post_idempotent(fleet.caller_address(1), "/gates/1", "slow", "{}").await;
    assert_eq!(call.status, 200, "{}", call.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn response_to_another_request_is_not_forwarded() {
    let fleet = Fleet::start(FleetOptions { vms: 1, ..FleetOptions::default() }).await.unwrap();
    fleet.set_faults(fleet.service_addresses[0], json!({ "crossed": true })).await.unwrap();
    let client = Client::unpooled(&api_key("crew"));
    let read = client.send(Method::GET, fleet.caller_address(0), "/gates/1", &[], "").await;
    assert_eq!((read.status, read.code()), (502, "upstream_failed"), "{}", read.body);
    let call = client.post_idempotent(fleet.caller_address(0), "/gates/1", "k", "{}").await;
    assert_eq!((call.status, call.run_state()), (502, "unknown"), "{}", call.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn store_outage_does_not_affect_loaded_models() {
    let fleet = Fleet::start(FleetOptions::default()).await.unwrap();
    assert_eq!(send_prompt(&fleet, 0, "warm").await.status, 200);
    fleet.set_faults(fleet.store_address, json!({ "down": true })).await.unwrap();
    let client = Client::unpooled(&api_key("crew"));
    let cold = client.chat(fleet.caller_address(1), "explainer", "cold", 2, false).await;
    assert_eq!((cold.status, cold.code(), cold.run_state()), (503, "model_loading", "not_run"));
    assert!(cold.retry_after.is_some());
    for i in 0..3 {
        assert_eq!(send_prompt(&fleet, i, "still").await.status, 200);
    }
    fleet.set_faults(fleet.store_address, json!({})).await.unwrap();
    let served = async || {
        client.chat(fleet.caller_address(1), "explainer", "cold", 2, false).await.status == 200
    };
    fleet.wait_until("the cold model to be served", served).await.unwrap();
}
