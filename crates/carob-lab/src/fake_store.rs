//! A fake of the weight store and of the platform's list of vms.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carob_net::{Reply, Request, ServeOptions, Server, lock, serve};
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

const WEIGHTS_LOAD_TIME: Duration = Duration::from_millis(1000);
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(20);
const MAX_BODY_BYTES: usize = 1 << 20;

/// Faults of the fake store and the list of vms, set by `POST /faults`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether loads are refused with 503.
    pub down: bool,
    /// Factor by which loads are slowed; 0 counts as 1.
    #[serde(rename = "slow")]
    pub slowdown: u32,
    /// State of each vm or upstream in the list: `live` or `leaving`.
    #[serde(rename = "list")]
    pub vm_states: BTreeMap<String, String>,
}

struct Store {
    faults: Mutex<StoreFaults>,
    weight_loads: Semaphore,
    adapter_loads: Semaphore,
}

/// Starts the store and the list. `loads` is the number of sets of weights that load at once.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub fn serve_fake_store(options: ServeOptions, loads: usize) -> std::io::Result<Server> {
    let store = Arc::new(Store {
        faults: Mutex::default(),
        weight_loads: Semaphore::new(loads),
        adapter_loads: Semaphore::new(16),
    });
    serve(options, move |request| {
        let store = Arc::clone(&store);
        async move { handle(&store, request).await }
    })
}

async fn handle(store: &Store, mut request: Request) -> Reply {
    match request.path() {
        "/vms" => Reply::json(200, &lock(&store.faults).vm_states),
        "/faults" => {
            let body = request.read_body(MAX_BODY_BYTES, Duration::from_secs(5)).await;
            match serde_json::from_slice(&body.unwrap_or_default()) {
                Ok(faults) => {
                    *lock(&store.faults) = faults;
                    Reply::text(200, "ok")
                }
                Err(err) => Reply::text(400, &err.to_string()),
            }
        }
        "/adapter" => serve_load(store, &store.adapter_loads, ADAPTER_LOAD_TIME).await,
        "/weights" => serve_load(store, &store.weight_loads, WEIGHTS_LOAD_TIME).await,
        _ => Reply::text(404, "no such path"),
    }
}

async fn serve_load(store: &Store, permits: &Semaphore, time: Duration) -> Reply {
    let (down, slow) = {
        let faults = lock(&store.faults);
        (faults.down, faults.slowdown.max(1))
    };
    if down {
        return Reply::text(503, "store is down");
    }
    let _permit = permits.acquire().await;
    tokio::time::sleep(time * slow).await;
    Reply::text(200, "loaded")
}
