//! Planned stops interrupt no stream, and a leaving upstream gets no new requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use carob_bench::config::api_key;
use carob_bench::{Client, Fleet, FleetOptions, Response};
use serde_json::json;

struct StreamLoad {
    stop: Arc<AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<Vec<Response>>>,
}

/// Starts callers that stream through one vm until they are stopped or the vm refuses requests.
fn start_streams(fleet: &Fleet, vm: usize, count: usize) -> StreamLoad {
    let stop = Arc::new(AtomicBool::new(false));
    let address = fleet.caller_address(vm);
    let tasks = (0..count).map(|_| {
        let stop = Arc::clone(&stop);
        tokio::spawn(async move {
            let client = Client::unpooled(&api_key("crew"));
            let mut responses = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                let response = client.chat(address, "planner", "round", 30, true).await;
                let refused = response.status == 0 || response.code() == "draining";
                if refused {
                    break;
                }
                responses.push(response);
            }
            responses
        })
    });
    let tasks = tasks.collect();
    StreamLoad { stop, tasks }
}

/// Stops the callers, checks that every response is complete and returns their number.
async fn count_complete(load: StreamLoad) -> usize {
    load.stop.store(true, Ordering::SeqCst);
    let mut count = 0;
    for task in load.tasks {
        for response in task.await.unwrap() {
            assert_eq!(response.status, 200, "{}", response.body);
            assert!(response.complete && response.body.contains("[DONE]"), "{}", response.body);
            count += 1;
        }
    }
    count
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_replacement_under_load_interrupts_no_stream() {
    let mut fleet = Fleet::start(FleetOptions::default()).await.unwrap();
    let client = Client::unpooled(&api_key("crew"));
    assert_eq!(client.chat(fleet.caller_address(0), "planner", "warm", 2, false).await.status, 200);
    for i in 0..3 {
        let load = start_streams(&fleet, i, 4);
        tokio::time::sleep(Duration::from_millis(400)).await;
        fleet.vms[i].process.signal("TERM");
        let code = fleet.vms[i].process.wait(Duration::from_secs(60)).await;
        assert_eq!(code, Some(0), "{}", fleet.vms[i].process.read_output());
        assert!(count_complete(load).await > 0);
        fleet.restart_vm(i).unwrap();
        fleet.wait_ready(i).await.unwrap();
    }
    fleet.wait_slots_balanced().await.unwrap();
    assert_eq!(client.chat(fleet.caller_address(0), "planner", "warm", 2, false).await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_vm_refuses_with_not_run_and_retry_after() {
    let options =
        FleetOptions { settings: json!({ "times": { "notice": 0 } }), ..FleetOptions::default() };
    let fleet = Fleet::start(options).await.unwrap();
    let client = Client::unpooled(&api_key("crew"));
    assert_eq!(client.chat(fleet.caller_address(0), "planner", "warm", 2, false).await.status, 200);
    let address = fleet.caller_address(0);
    let long_stream = tokio::spawn(async move {
        Client::unpooled(&api_key("crew")).chat(address, "planner", "long", 400, true).await
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let admin = fleet.vms[0].admin_address.to_string();
    assert_eq!(fleet.run_program("carobctl", &["drain", "--admin", &admin]).await.unwrap().0, 0);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let response = client.chat(fleet.caller_address(0), "planner", "new", 2, false).await;
    assert_eq!(
        (response.status, response.code(), response.run_state()),
        (503, "draining", "not_run")
    );
    assert!(response.retry_after.is_some());
    let long_stream = long_stream.await.unwrap();
    assert!(long_stream.complete && long_stream.body.contains("[DONE]"));
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_upstream_gets_no_new_requests() {
    let fleet = Fleet::start(FleetOptions::default()).await.unwrap();
    let client = Client::unpooled(&api_key("crew"));
    for _ in 0..4 {
        let response = client.chat(fleet.caller_address(0), "planner", "warm", 2, false).await;
        assert_eq!(response.status, 200, "{}", response.body);
    }
    let mut run_counts = Vec::new();
    for engine in &fleet.engine_addresses {
        run_counts.push(fleet.get(*engine, "/stats").await.unwrap()["ran"].as_u64().unwrap());
    }
    let leaving = if run_counts[0] >= run_counts[1] { 0 } else { 1 };
    let list = json!({ "list": { format!("engine-{leaving}"): "leaving" } });
    fleet.set_faults(fleet.store_address, list).await.unwrap();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = fleet.get(fleet.engine_addresses[leaving], "/stats").await.unwrap()["ran"].clone();
    for i in 0..6 {
        let response = client.chat(fleet.caller_address(i % 3), "planner", "after", 2, false).await;
        assert_eq!(response.status, 200, "{}", response.body);
    }
    let after = fleet.get(fleet.engine_addresses[leaving], "/stats").await.unwrap()["ran"].clone();
    assert_eq!(before, after);
}

/// Guards against a request that is cut without a response at the end of a drain that is shorter than
/// the request.
#[tokio::test(flavor = "multi_thread")]
async fn an_open_request_gets_an_error_at_the_end_of_a_drain() {
    let settings = json!({ "times": { "notice": 0, "drain": 500 } });
    let options = FleetOptions { settings, ..FleetOptions::default() };
    let fleet = Fleet::start(options).await.unwrap();
    let client = Client::unpooled(&api_key("crew"));
    let address = fleet.caller_address(0);
    assert_eq!(client.chat(address, "planner", "warm", 2, false).await.status, 200);
    let long = client.chat(address, "planner", "long", 400, false);
    let stopping = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.vms[0].process.signal("TERM");
    };
    let (long, ()) = tokio::join!(long, stopping);
    assert_ne!(long.status, 0, "closed without a response: {}", long.body);
}
