//! A fake model engine with continuous batching, memory accounting, orders and faults.

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
const MAX_REPORTED_ORDERS: usize = 256; // per report
const MAX_CACHED_PREFIXES: usize = 64;
const CRASH_DOWNTIME: Duration = Duration::from_millis(300); // after a crash

/// Options of a fake engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Name in messages.
    pub name: String,
    /// Accelerator memory in bytes.
    pub memory: u64,
    /// Address of the weight store.
    pub store: SocketAddr,
    /// Whether orders with an old fencing token or another incarnation are ignored.
    pub fencing: bool,
    /// Milliseconds between two tokens.
    pub pace: u64,
    /// Number of requests that run at full speed; more requests slow each other down.
    pub batch: usize,
}

/// Faults of a fake engine, set by `POST /faults`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Milliseconds before an order takes effect.
    pub order_delay: u64,
    /// Fraction of the orders that are lost, 0 to 1.
    #[serde(rename = "order_lose")]
    pub order_loss_rate: f64,
    /// Fraction of the orders that are run again a second later, 0 to 1.
    #[serde(rename = "order_double")]
    pub order_duplicate_rate: f64,
    /// Milliseconds by which reports are out of date.
    pub report_lag: u64,
    /// Text that crashes the engine when a request contains it; empty for none.
    pub poison: String,
    /// Whether the engine is leaving and refuses new requests.
    pub leaving: bool,
    /// Factor by which token generation is slowed; 0 counts as 1.
    #[serde(rename = "slow")]
    pub slowdown: u64,
    /// Seed for the random choice of orders to lose or repeat.
    pub seed: u64,
}

/// An order to load or evict a model.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Order {
    /// The fencing token.
    pub order: u64,
    /// The incarnation of the engine that the order is for.
    pub incarnation: u64,
    /// `load` or `evict`.
    pub kind: String,
    /// The model.
    pub model: String,
    /// The size of the model in bytes.
    pub size: u64,
    /// Whether the model is an adapter.
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
    /// Memory reserved for each model, in bytes.
    sizes: BTreeMap<String, u64>,
    /// The highest fencing token accepted for each model.
    fencing_tokens: BTreeMap<String, u64>,
    /// Fencing tokens of the accepted orders, each of which runs once.
    accepted_orders: BTreeSet<u64>,
    /// Reports with the times at which they were made, the oldest first.
    report_history: VecDeque<(Duration, Report)>,
    cached_prefixes: VecDeque<String>,
    /// Addresses of the connections on which no more data is sent.
    silenced_clients: BTreeSet<SocketAddr>,
    /// Addresses of the connections on which a request arrived.
    known_clients: BTreeSet<SocketAddr>,
    down_until: Duration,
    /// The engine sends nothing until this time; then it goes on.
    paused_until: Duration,
    faults: EngineFaults,
    random: SmallRng,
    requests_run: u64,
    cancelled: u64,
    crashes: u64,
    /// Places in requests where an API key was found.
    exposed_keys: Vec<String>,
}

/// A fake model engine.
pub struct FakeEngine {
    options: EngineOptions,
    state: Mutex<State>,
    clock: SystemClock,
    store_client: HttpClient,
}

impl FakeEngine {
    /// Starts an engine that listens as `listen` says.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub fn serve(options: EngineOptions, listen: ServeOptions) -> std::io::Result<Server> {
        let clock = SystemClock::default();
        let report = Report { incarnation: clock.unix_millis(), ..Report::default() };
        let state = State {
            report,
            sizes: BTreeMap::new(),
            fencing_tokens: BTreeMap::new(),
            accepted_orders: BTreeSet::new(),
            report_history: VecDeque::new(),
            cached_prefixes: VecDeque::new(),
            silenced_clients: BTreeSet::new(),
            known_clients: BTreeSet::new(),
            down_until: Duration::ZERO,
            paused_until: Duration::ZERO,
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
        if request.path() == "/pause" {
            return self.pause(&body);
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
        self.wait_while_paused().await;
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

    /// Makes the engine fall silent for the milliseconds that `body` holds. All connections stay
    /// open, and what was asked meanwhile is answered afterwards.
    fn pause(&self, body: &[u8]) -> Reply {
        let text = String::from_utf8_lossy(body);
        match text.parse::<u64>() {
            Ok(millis) => {
                let until = self.clock.now() + Duration::from_millis(millis);
                lock(&self.state).paused_until = until;
                Reply::text(200, "ok")
            }
            Err(err) => Reply::text(400, &format!("pause {text:?}: {err}")),
        }
    }

    async fn wait_while_paused(&self) {
        loop {
            let until = lock(&self.state).paused_until;
            let left = until.saturating_sub(self.clock.now());
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left).await;
        }
    }
}
