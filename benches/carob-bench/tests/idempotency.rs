//! Calls with an idempotency key run at most once, and every response states correctly whether they
//! ran.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use carob_bench::config::api_key;
use carob_bench::history::{ATTEMPT_HEADER, IdempotentCall, check_idempotent_calls};
use carob_bench::{Client, Fleet, FleetOptions, Response};
use http::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

type Calls = Arc<Mutex<Vec<IdempotentCall>>>;

/// Sends one attempt of a call and records its outcome.
async fn send_attempt(
    address: std::net::SocketAddr,
    key: &str,
    attempt: &str,
    calls: &Calls,
) -> Response {
    let headers = [("idempotency-key", key), (ATTEMPT_HEADER, attempt)];
    let client = Client::unpooled(&api_key("apron"));
    let body = json!({ "gate": key }).to_string();
    let response = client.send(Method::POST, address, "/gates/open", &headers, body).await;
    calls.lock().unwrap().push(IdempotentCall {
        key: key.into(),
        attempt: attempt.into(),
        status: response.status,
        run: response.run_state().into(),
        body: response.body.clone(),
    });
    response
}

/// Sends a call up to 12 times, each time through a random vm, until it gets a final response.
async fn retry_until_final(vms: Vec<std::net::SocketAddr>, key: String, seed: u64, calls: Calls) {
    let mut random = StdRng::seed_from_u64(seed);
    for i in 0..12 {
        let address = vms[random.random_range(0..vms.len())];
        let response = send_attempt(address, &key, &format!("{seed}-{i}"), &calls).await;
        if response.status == 200 || response.code() == "outcome_unknown" {
            return;
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(50..400))).await;
    }
}

fn start_callers(fleet: &Fleet, count: usize, calls: &Calls) -> Vec<tokio::task::JoinHandle<()>> {
    let vms: Vec<_> = fleet.vms.iter().map(|vm| vm.caller_address).collect();
    let tasks = (0..count).map(|i| {
        let (vms, calls) = (vms.clone(), Arc::clone(calls));
        // Two callers send each key concurrently.
        tokio::spawn(retry_until_final(vms, format!("k{}", i / 2), i as u64, calls))
    });
    tasks.collect()
}

/// Checks the history and returns the number of calls that got status 200.
async fn check_history(fleet: &mut Fleet, calls: &Calls) -> usize {
    let ran = fleet.recorded_calls().await.unwrap();
    let calls = calls.lock().unwrap().clone();
    assert_eq!(check_idempotent_calls(&calls, &ran), Vec::<String>::new());
    assert_eq!(fleet.exited_fakes(), Vec::<String>::new());
    calls.iter().filter(|call| call.status == 200).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_key_gets_the_recorded_response() {
    let mut fleet = Fleet::start(FleetOptions::default()).await.unwrap();
    let calls = Calls::default();
    let first = send_attempt(fleet.caller_address(0), "k", "a", &calls).await;
    assert_eq!((first.status, first.replayed), (200, false), "{}", first.body);
    let second = send_attempt(fleet.caller_address(1), "k", "b", &calls).await;
    assert_eq!((second.status, second.replayed), (200, true), "{}", second.body);
    let conflicting = Client::unpooled(&api_key("apron"))
        .post_idempotent(fleet.caller_address(2), "/gates/shut", "k", "{}")
        .await;
    assert_eq!((conflicting.status, conflicting.code()), (422, "idempotency_key_reused"));
    assert_eq!(check_history(&mut fleet, &calls).await, 2);
    let other_tenant = Client::unpooled(&api_key("crew"))
        .post_idempotent(fleet.caller_address(2), "/gates/shut", "k", "{}")
        .await;
    assert_eq!(
        other_tenant.status, 200,
        "keys of different tenants are independent: {}",
        other_tenant.body
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_are_refused_with_not_run_during_a_log_outage() {
    let mut fleet = Fleet::start(FleetOptions::default()).await.unwrap();
    let calls = Calls::default();
    fleet.set_faults(fleet.log_address, json!({ "outage": true })).await.unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    for i in 0..3 {
        let response =
            send_attempt(fleet.caller_address(i), "k", &format!("out-{i}"), &calls).await;
        assert_eq!(
            (response.status, response.code()),
            (503, "log_unavailable"),
            "{}",
            response.body
        );
        assert_eq!(response.run_state(), "not_run");
        assert!(response.retry_after.is_some());
    }
    let client = Client::unpooled(&api_key("apron"));
    let read = client.send(Method::GET, fleet.caller_address(0), "/gates/1", &[], "").await;
    assert_eq!(read.status, 200, "calls that may be repeated are still served");
    fleet.set_faults(fleet.log_address, json!({ "outage": false })).await.unwrap();
    let mut count = 0;
    let served = async || {
        count += 1;
        send_attempt(fleet.caller_address(0), "k", &format!("after-{count}"), &calls).await.status
            == 200
    };
    fleet.wait_until("service after the outage", served).await.unwrap();
    check_history(&mut fleet, &calls).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_log_responses_cause_no_second_run() {
    let mut fleet = Fleet::start(FleetOptions::default()).await.unwrap();
    let calls = Calls::default();
    fleet.set_faults(fleet.log_address, json!({ "lose": 0.5, "seed": 7 })).await.unwrap();
    for task in start_callers(&fleet, 40, &calls) {
        task.await.unwrap();
    }
    assert!(check_history(&mut fleet, &calls).await > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_and_paused_vms_cause_no_second_run() {
    let mut fleet =
        Fleet::start(FleetOptions { services: 2, ..FleetOptions::default() }).await.unwrap();
    for service in &fleet.service_addresses {
        let faults = json!({ "before": 60, "after": 60 });
        fleet.set_faults(*service, faults).await.unwrap();
    }
    let calls = Calls::default();
    let tasks = start_callers(&fleet, 60, &calls);
    tokio::time::sleep(Duration::from_millis(60)).await;
    fleet.vms[0].process.signal("STOP");
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.vms[1].process.kill();
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.restart_vm(1).unwrap();
    tokio::time::sleep(Duration::from_millis(3000)).await;
    fleet.vms[0].process.signal("CONT");
    for task in tasks {
        task.await.unwrap();
    }
    check_history(&mut fleet, &calls).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_response_is_unknown_and_the_call_is_not_sent_again() {
    let mut fleet = Fleet::start(FleetOptions::default()).await.unwrap();
    let calls = Calls::default();
    fleet.set_faults(fleet.service_addresses[0], json!({ "lose": true })).await.unwrap();
    let first = send_attempt(fleet.caller_address(0), "k", "a", &calls).await;
    assert_eq!((first.status, first.run_state()), (502, "unknown"), "{}", first.body);
    fleet.set_faults(fleet.service_addresses[0], json!({})).await.unwrap();
    let mut count = 0;
    let outcome_recorded = async || {
        count += 1;
        let response =
            send_attempt(fleet.caller_address(1), "k", &format!("b-{count}"), &calls).await;
        response.code() == "outcome_unknown"
    };
    fleet.wait_until("the outcome of the call to be recorded", outcome_recorded).await.unwrap();
    assert_eq!(fleet.recorded_calls().await.unwrap().len(), 1);
    check_history(&mut fleet, &calls).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_outlive_the_retained_log_entries() {
    let settings = json!({ "limits": { "snapshot": 20 } });
    let options = FleetOptions { settings, ..FleetOptions::default() };
    let mut fleet = Fleet::start(options).await.unwrap();
    let calls = Calls::default();
    assert_eq!(send_attempt(fleet.caller_address(0), "old", "a", &calls).await.status, 200);
    fleet.set_faults(fleet.log_address, json!({ "keep": 80 })).await.unwrap();
    for i in 0..120 {
        send_attempt(fleet.caller_address(i % 3), &format!("k{i}"), "x", &calls).await;
    }
    let page = fleet.get(fleet.log_address, "/streams/claims/read?from=0").await.unwrap();
    assert!(page["first"].as_u64() > Some(5), "the log still keeps the first entries: {page}");
    for vm in &mut fleet.vms {
        vm.process.kill();
    }
    let new_vm = fleet.add_vm(&[]).await.unwrap();
    fleet.wait_ready(new_vm).await.unwrap();
    let response = send_attempt(fleet.caller_address(new_vm), "old", "b", &calls).await;
    assert_eq!((response.status, response.replayed), (200, true), "{}", response.body);
    check_history(&mut fleet, &calls).await;
}
