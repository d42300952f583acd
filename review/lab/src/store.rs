//! A stand-in of the platform's store that can be away, be cut off from one machine, and come back
//! from a copy.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use carob_net::{Reply, Request, ServeOptions, Server, lock, serve};
use serde_json::{Value, json};

use crate::machine::free_address;
use crate::store_state::StoreState;

/// Interval at which a waiting read looks for records.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time of each answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const MAX_BODY_BYTES: usize = 2 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

struct Inner {
    state: StoreState,
    /// Value of the header `Store-Era`.
    era: u64,
    /// Whether the store is away for all.
    away: bool,
    /// Endpoints that are cut off.
    cut: BTreeMap<SocketAddr, bool>,
    started: Instant,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    inner: Arc<Mutex<Inner>>,
}

/// An address of the store for one machine.
pub struct Endpoint {
    /// The address.
    pub address: SocketAddr,
    _server: Server,
}

impl Default for Store {
    fn default() -> Self {
        let inner = Inner {
            state: StoreState::default(),
            era: 1,
            away: false,
            cut: BTreeMap::new(),
            started: Instant::now(),
        };
        Store { inner: Arc::new(Mutex::new(inner)) }
    }
}

impl Store {
    /// Opens an address of the store for one machine.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn open(&self) -> std::io::Result<Endpoint> {
        let address = free_address();
        let options = ServeOptions { address, threads: 1, ..ServeOptions::default() };
        let store = self.clone();
        let server = serve(options, move |request| handle(store.clone(), address, request))?;
        Ok(Endpoint { address, _server: server })
    }

    /// Writes a record as the operator or a server; returns whether the store took it.
    pub fn put(&self, topic: &str, key: &str, value: &Value) -> bool {
        let mut inner = lock(&self.inner);
        if !inner.away {
            inner.state.put(topic, key, value.to_string().as_bytes());
        }
        !inner.away
    }

    /// Drops a key, as when a server has left.
    pub fn remove(&self, topic: &str, key: &str) {
        lock(&self.inner).state.put(topic, key, b"");
    }

    /// Takes a copy of the store.
    pub fn copy(&self) -> StoreState {
        lock(&self.inner).state.clone()
    }

    /// Makes the store go away: every call gets 503.
    pub fn go_away(&self) {
        lock(&self.inner).away = true;
    }

    /// Lets the store come back, from `copy` if one is given.
    pub fn come_back(&self, copy: Option<StoreState>) {
        let mut inner = lock(&self.inner);
        if let Some(copy) = copy {
            inner.state = copy;
            inner.era += 1;
        }
        let now = inner.started.elapsed();
        inner.state.restart_times(now);
        inner.away = false;
    }

    /// Cuts one machine off from the store, or heals the cut.
    pub fn set_cut(&self, endpoint: &Endpoint, cut: bool) {
        lock(&self.inner).cut.insert(endpoint.address, cut);
    }

    /// Returns the groups, for the record.
    pub fn describe_groups(&self) -> String {
        lock(&self.inner).state.describe_groups()
    }

    /// Returns the end of a topic.
    pub fn end(&self, topic: &str) -> u64 {
        lock(&self.inner).state.end(topic)
    }

    fn is_cut(&self, address: SocketAddr) -> bool {
        lock(&self.inner).cut.get(&address).copied().unwrap_or(false)
    }

    fn is_away(&self) -> bool {
        lock(&self.inner).away
    }
}

async fn handle(store: Store, endpoint: SocketAddr, mut request: Request) -> Reply {
    let body = request.read_body(MAX_BODY_BYTES, BODY_TIMEOUT).await.unwrap_or_default();
    hold_while_cut(&store, endpoint).await;
    tokio::time::sleep(ANSWER_TIME).await;
    if store.is_away() {
        return with_era(&store, Reply::text(503, ""));
    }
    let reply = match request.path() {
        "/log-read" => read(&store, &request).await,
        path => call(&store, path, &request, &body),
    };
    hold_while_cut(&store, endpoint).await;
    with_era(&store, reply)
}

/// Never completes for a machine that is cut off: nothing passes a partition.
async fn hold_while_cut(store: &Store, endpoint: SocketAddr) {
    if store.is_cut(endpoint) {
        std::future::pending::<()>().await;
    }
}

fn with_era(store: &Store, reply: Reply) -> Reply {
    reply.with_header("store-era", &lock(&store.inner).era.to_string())
}

fn number(request: &Request, name: &str) -> u64 {
    request.query_param(name).and_then(|value| value.parse().ok()).unwrap_or(0)
}

async fn read(store: &Store, request: &Request) -> Reply {
    let topic = request.query_param("topic").unwrap_or_default();
    let (from, wait) = (number(request, "from"), Duration::from_millis(number(request, "wait_ms")));
    let started = Instant::now();
    loop {
        if store.is_away() {
            return Reply::text(503, "");
        }
        match lock(&store.inner).state.read(topic, from) {
            Err(_) => return Reply::json(410, &json!({ "first": 0 })),
            Ok((body, more)) if more || started.elapsed() >= wait => {
                return Reply::new(200, "application/octet-stream", body);
            }
            Ok(_) => {}
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn call(store: &Store, path: &str, request: &Request, body: &[u8]) -> Reply {
    let topic = request.query_param("topic").unwrap_or_default();
    let json_body: Value = serde_json::from_slice(body).unwrap_or_default();
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let mut inner = lock(&store.inner);
    let now = inner.started.elapsed();
    match path {
        "/log-append" => {
            let (offset, end) = inner.state.append(topic, body);
            Reply::json(200, &json!({ "offset": offset, "end": end }))
        }
        "/log-newest" => Reply::json(200, &inner.state.newest(topic)),
        "/log-join" => {
            let ttl = Duration::from_millis(json_body["ttl_ms"].as_u64().unwrap_or(0));
            let (group, member) = (text(&json_body["group"]), text(&json_body["member"]));
            let (generation, parts) = inner.state.join(&group, &member, ttl, now);
            let topic = text(&json_body["topics"][0]);
            let parts: Vec<Value> = parts.iter().map(|part| json!([topic, part, 0])).collect();
            Reply::json(200, &json!({ "generation": generation, "parts": parts }))
        }
        "/log-leave" => {
            inner.state.leave(&text(&json_body["group"]), &text(&json_body["member"]));
            Reply::json(200, &json!({}))
        }
        "/log-owners" => {
            let group = request.query_param("group").unwrap_or_default();
            Reply::json(200, &json!({ "owners": inner.state.owners(group, now) }))
        }
        _ => Reply::text(404, ""),
    }
}
