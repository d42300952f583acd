//! Accelerator memory is never overcommitted, and every model can be served.
//!
//! The fake engine aborts its process when its memory is overcommitted.

use std::time::Duration;

use carob_bench::config::{adapter, api_key, model, tenant};
use carob_bench::{Client, Fleet, FleetOptions};
use serde_json::json;

fn options(unfenced_engines: usize) -> FleetOptions {
    let mut models: Vec<_> = (0..6).map(|i| model(&format!("m{i}"), "20GiB")).collect();
    models.extend((0..6).map(|i| adapter(&format!("a{i}"), &format!("m{}", i % 2))));
    FleetOptions {
        engines: 2,
        unfenced_engines,
        engine_memory: "44GiB".into(),
        parallel_loads: 4,
        tenants: vec![tenant("apron", 1_000_000, 1_000_000, &models)],
        models,
        settings: json!({ "store": { "loads": 4 } }),
        ..FleetOptions::default()
    }
}

/// Sends requests to every model until each is served; a refusal must carry `Retry-After`.
async fn request_until_served(fleet: &Fleet, names: &[String]) {
    let client = Client::unpooled(&api_key("apron"));
    let mut tasks = Vec::new();
    for (i, name) in names.iter().enumerate() {
        let (client, name, address) = (client.clone(), name.clone(), fleet.caller_address(i % 3));
        tasks.push(tokio::spawn(async move {
            for _ in 0..40 {
                let response = client.chat(address, &name, "hello", 3, false).await;
                if response.status == 200 {
                    return true;
                }
                assert!(response.retry_after.is_some(), "{name}: {}", response.body);
                assert!(response.total < Duration::from_secs(25), "{name}: {:?}", response.total);
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
            panic!("model {name} was not served in 40 attempts");
        }));
    }
    for task in tasks {
        assert!(task.await.unwrap());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_model_is_served_though_memory_cannot_hold_all() {
    let mut fleet = Fleet::start(options(0)).await.unwrap();
    let names: Vec<String> = fleet.config.models.iter().map(|m| m.name.clone()).collect();
    request_until_served(&fleet, &names).await;
    request_until_served(&fleet, &names).await;
    assert_eq!(fleet.exited_fakes(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_delayed_and_duplicated_orders_do_not_overcommit_memory() {
    let mut fleet = Fleet::start(options(0)).await.unwrap();
    for (i, engine) in fleet.engine_addresses.iter().enumerate() {
        let faults = json!({
            "order_lose": 0.3, "order_double": 0.5, "order_delay": 150, "report_lag": 400,
            "seed": i + 1,
        });
        fleet.set_faults(*engine, faults).await.unwrap();
    }
    let names: Vec<String> = (0..6).map(|i| format!("m{i}")).collect();
    request_until_served(&fleet, &names).await;
    fleet.vms[0].process.kill();
    fleet.restart_vm(0).unwrap();
    fleet.vms[1].process.signal("STOP");
    tokio::time::sleep(Duration::from_secs(4)).await;
    fleet.vms[1].process.signal("CONT");
    fleet.wait_ready(0).await.unwrap();
    fleet.wait_ready(1).await.unwrap();
    request_until_served(&fleet, &names).await;
    assert_eq!(fleet.exited_fakes(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_without_fencing_is_not_overcommitted() {
    let mut fleet = Fleet::start(options(2)).await.unwrap();
    for engine in &fleet.engine_addresses {
        let faults = json!({ "order_double": 1.0, "order_delay": 100, "report_lag": 300 });
        fleet.set_faults(*engine, faults).await.unwrap();
    }
    // Four of six models fit; evictions free no memory within this test.
    let names: Vec<String> = (0..4).map(|i| format!("m{i}")).collect();
    request_until_served(&fleet, &names).await;
    let client = Client::unpooled(&api_key("apron"));
    let cold = client.chat(fleet.caller_address(0), "m5", "hello", 3, false).await;
    assert_eq!((cold.status, cold.code()), (503, "model_loading"), "{}", cold.body);
    assert_eq!(cold.run_state(), "not_run");
    assert!(cold.retry_after.is_some());
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(fleet.exited_fakes(), Vec::<String>::new());
}
