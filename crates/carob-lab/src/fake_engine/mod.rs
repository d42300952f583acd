//! Stand-in of a model engine: continuous batching, memory accounting, orders and faults.

mod generate;
mod orders;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carob_net::{
    Clock, HttpClient, Reply, Request, ServeOptions, Server, SystemClock, lock, serve,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};
use serde_json::json;

const MAX_BODY_BYTES: usize = 16 << 20;
const MAX_REPORTED_ORDERS: usize = 256; // orders named in a report
const MAX_CACHED_PREFIXES: usize = 64;
const CRASH_DOWNTIME: Duration = Duration::from_millis(300); // of a crash

/// What an engine is made of.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Name.
    pub name: String,
    /// Accelerator memory in bytes.
    pub memory: u64,
    /// Address of the weight store.
    pub store: SocketAddr,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
    /// Milliseconds between two tokens.
    pub pace: u64,
    /// Requests that run at full pace.
    pub batch: usize,
}

/// Faults of an engine, switched on by `POST /faults`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Milliseconds before an order takes effect.
    pub order_delay: u64,
    /// Part of the orders that are lost.
    #[serde(rename = "order_lose")]
    pub order_loss_rate: f64,
    /// Part of the orders that arrive again, a second later.
    #[serde(rename = "order_double")]
    pub order_duplicate_rate: f64,
    /// Milliseconds by which reports lag.
    pub report_lag: u64,
    /// Text whose requests crash the engine.
    pub poison: String,
    /// Whether the engine leaves and refuses new work.
    pub leaving: bool,
    /// How many times slower tokens come.
    #[serde(rename = "slow")]
    pub slowdown: u64,
    /// Seed of the faults.
    pub seed: u64,
}

/// An order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Order {
    /// Its fencing number.
    pub order: u64,
    /// The incarnation that it is meant for.
    pub incarnation: u64,
    /// `load` or `evict`.
    pub kind: String,
    /// The model.
    pub model: String,
    /// Its size in bytes.
    pub size: u64,
    /// Whether it is an adapter.
    pub adapter: bool,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Report {
    incarnation: u64,
    resident: BTreeSet<String>,
    done: VecDeque<u64>,
    running: usize,
    leaving: bool,
}

struct State {
    report: Report,
    sizes: BTreeMap<String, u64>,
    /// The highest fencing number of each model.
    fencing_numbers: BTreeMap<String, u64>,
    accepted_orders: BTreeSet<u64>,
    report_history: VecDeque<(Duration, Report)>,
    cached_prefixes: VecDeque<String>,
    silenced_clients: BTreeSet<SocketAddr>,
    known_clients: BTreeSet<SocketAddr>,
    down_until: Duration,
    faults: EngineFaults,
    random: SmallRng,
    requests_run: u64,
    cancelled: u64,
    crashes: u64,
    exposed_keys: Vec<String>,
}

/// A model engine.
pub struct FakeEngine {
    options: EngineOptions,
    state: Mutex<State>,
    clock: SystemClock,
    store_client: HttpClient,
}

impl FakeEngine {
    /// Serves an engine.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn serve(options: EngineOptions, listen: ServeOptions) -> std::io::Result<Server> {
        let clock = SystemClock::default();
        let report = Report { incarnation: clock.unix_millis(), ..Report::default() };
        let state = State {
            report,
            sizes: BTreeMap::new(),
            fencing_numbers: BTreeMap::new(),
            accepted_orders: BTreeSet::new(),
            report_history: VecDeque::new(),
            cached_prefixes: VecDeque::new(),
            silenced_clients: BTreeSet::new(),
            known_clients: BTreeSet::new(),
            down_until: Duration::ZERO,
            faults: EngineFaults::default(),
            random: SmallRng::seed_from_u64(1),
            requests_run: 0,
            cancelled: 0,
            crashes: 0,
            exposed_keys: Vec::new(),
        };
        let state = Mutex::new(state);
        let engine =
            Arc::new(FakeEngine { options, state, clock, store_client: HttpClient::pooled() });
        serve(listen, move |request| {
            let engine = Arc::clone(&engine);
            async move { engine.handle(request).await }
        })
    }

    async fn handle(self: Arc<Self>, mut request: Request) -> Reply {
        let body =
            request.read_body(MAX_BODY_BYTES, Duration::from_secs(30)).await.unwrap_or_default();
        if request.path() == "/faults" {
            return self.set_faults(&body);
        }
        if request.path() == "/silent" {
            let mut state = lock(&self.state);
            state.silenced_clients = state.known_clients.clone();
            return Reply::text(200, "ok");
        }
        if request.path() == "/stats" {
            let state = lock(&self.state);
            return Reply::json(
                200,
                &json!({
                    "ran": state.requests_run, "cancelled": state.cancelled, "crashes": state.crashes,
                    "resident": state.report.resident, "keys_seen": state.exposed_keys,
                    "running": state.report.running,
                }),
            );
        }
        let (silent, down) = {
            let mut state = lock(&self.state);
            state.known_clients.insert(request.remote_address());
            let down = self.clock.now() < state.down_until;
            (state.silenced_clients.contains(&request.remote_address()), down)
        };
        if silent {
            std::future::pending::<()>().await;
        }
        if down {
            return Reply::stream(200).1;
        }
        match request.path() {
            "/control/orders" => self.accept_order(&body),
            "/control/report" => self.report(),
            "/v1/chat/completions" | "/v1/completions" => self.generate(&request, &body).await,
            _ => Reply::text(404, "no such path"),
        }
    }

    fn set_faults(&self, body: &[u8]) -> Reply {
        match serde_json::from_slice::<EngineFaults>(body) {
            Ok(faults) => {
                let mut state = lock(&self.state);
                state.random = SmallRng::seed_from_u64(faults.seed);
                state.report.leaving = faults.leaving;
                state.faults = faults;
                Reply::text(200, "ok")
            }
            Err(err) => Reply::text(400, &err.to_string()),
        }
    }
}
