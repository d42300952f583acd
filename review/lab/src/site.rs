//! A small deployment: its configuration and its model servers.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use carob_platform_lab::FakeUpstream;
use serde_json::{Value, json};

use crate::store::Store;

/// Interval at which servers write to the store.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Timeout of the route `status`.
pub const STATUS_TIMEOUT_MS: u64 = 1500;
/// Host of all routes.
pub const HOST: &str = "site.example";

/// Returns a configuration whose tenant has `keys`.
pub fn config(version: u64, keys: &[&str], plan_timeout_ms: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, timeout_ms: u64| {
        json!({
            "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "route_kind": kind,
            "timeout_ms": timeout_ms, "goal_ms": 800, "priority": 1, "service": service,
            "attempts": attempts, "anonymous": false, "sticky": false, "resumable": false,
            "gap_goal_ms": 400,
        })
    };
    let models = ["large", "small", "rare"].iter().map(|name| {
        json!({ "name": name, "weights_mb": 70_000.0, "load_s": 2.3, "adapters": 4,
                "adapter_mb": 66.0, "warm_s": 1.2, "disk_s": 1.6 })
    });
    let models: Vec<Value> = models.collect();
    json!({
        "version": version,
        "routes": [
            route("plan", "streaming", "plan-llm", 2, plan_timeout_ms),
            route("assign", "non_idempotent", "gate-desk", 1, STATUS_TIMEOUT_MS),
            route("status", "idempotent", "gate-desk", 2, STATUS_TIMEOUT_MS),
        ],
        "services": [
            { "name": "plan-llm", "health_path": "/healthz", "max_conns": 360, "engine": {
                "slots": 64, "kv_capacity": 144_634, "weights_mb": 230_000.0, "adapter_slots": 4,
                "loads_per_s": 1.1, "models": models } },
            { "name": "gate-desk", "health_path": "/healthz", "max_conns": 96 },
        ],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 65536,
                    "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
        "tenants": [{ "name": "north", "api_keys": keys, "priority": 1, "unit": "token_count",
                      "plain_tokens": 200, "rate_per_s": 0, "burst": 0 }],
    })
}

/// Returns the time of day in milliseconds of Unix time.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or_default()
}

/// Servers of the project's own stand-in that write to the store at each heartbeat.
#[derive(Clone)]
pub struct Servers {
    store: Store,
    upstreams: Arc<Vec<FakeUpstream>>,
    born: u64,
    sequence: Arc<AtomicU64>,
}

impl Servers {
    /// Takes servers that have started just now.
    pub fn new(store: Store, upstreams: Vec<FakeUpstream>) -> Self {
        let (upstreams, sequence) = (Arc::new(upstreams), Arc::new(AtomicU64::new(0)));
        Servers { store, upstreams, born: unix_millis(), sequence }
    }

    /// Returns the servers.
    pub fn upstreams(&self) -> &[FakeUpstream] {
        &self.upstreams
    }

    /// Writes the entries of all servers.
    pub fn publish(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        for upstream in self.upstreams.iter() {
            let mut entry = upstream.list_entry(false, sequence);
            entry["born"] = self.born.into();
            self.store.put("keyed.servers", &upstream.id, &entry);
        }
    }

    /// Writes the entries at each heartbeat until the task is dropped.
    pub async fn run(self) {
        loop {
            self.publish();
            tokio::time::sleep(HEARTBEAT).await;
        }
    }
}
