//! Stand-in of a model engine: continuous batching, memory accounting, orders and faults.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carob_net::{
    Caller, ChunkSender, Clock, Reply, Request, ServeOptions, Server, SystemClock, serve,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::lock;

const BODY_MAX: usize = 16 << 20;
const DONE_KEPT: usize = 256; // orders named in a report
const PREFIXES_KEPT: usize = 64;
const DOWN_TIME: Duration = Duration::from_millis(300); // of a crash

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
    pub order_lose: f64,
    /// Part of the orders that arrive again, a second later.
    pub order_double: f64,
    /// Milliseconds by which reports lag.
    pub report_lag: u64,
    /// Text whose requests crash the engine.
    pub poison: String,
    /// Whether the engine leaves and refuses new work.
    pub leaving: bool,
    /// How many times slower tokens come.
    pub slow: u64,
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
    fences: BTreeMap<String, u64>,
    taken: BTreeSet<u64>,
    history: VecDeque<(Duration, Report)>,
    prefixes: VecDeque<String>,
    silent: BTreeSet<SocketAddr>,
    seen: BTreeSet<SocketAddr>,
    down_until: Duration,
    faults: EngineFaults,
    random: SmallRng,
    ran: u64,
    cancelled: u64,
    crashes: u64,
    keys_seen: Vec<String>,
}

/// A model engine.
pub struct Engine {
    options: EngineOptions,
    state: Mutex<State>,
    clock: SystemClock,
    store: Caller,
}

impl Engine {
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
            fences: BTreeMap::new(),
            taken: BTreeSet::new(),
            history: VecDeque::new(),
            prefixes: VecDeque::new(),
            silent: BTreeSet::new(),
            seen: BTreeSet::new(),
            down_until: Duration::ZERO,
            faults: EngineFaults::default(),
            random: SmallRng::seed_from_u64(1),
            ran: 0,
            cancelled: 0,
            crashes: 0,
            keys_seen: Vec::new(),
        };
        let state = Mutex::new(state);
        let engine = Arc::new(Engine { options, state, clock, store: Caller::pooled() });
        serve(listen, move |request| {
            let engine = Arc::clone(&engine);
            async move { engine.handle(request).await }
        })
    }

    async fn handle(self: Arc<Self>, mut request: Request) -> Reply {
        let body = request.read_body(BODY_MAX, Duration::from_secs(30)).await.unwrap_or_default();
        if request.path() == "/faults" {
            return self.set_faults(&body);
        }
        if request.path() == "/silent" {
            let mut state = lock(&self.state);
            state.silent = state.seen.clone();
            return Reply::text(200, "ok");
        }
        if request.path() == "/stats" {
            let state = lock(&self.state);
            return Reply::json(
                200,
                &json!({
                    "ran": state.ran, "cancelled": state.cancelled, "crashes": state.crashes,
                    "resident": state.report.resident, "keys_seen": state.keys_seen,
                    "running": state.report.running,
                }),
            );
        }
        let (silent, down) = {
            let mut state = lock(&self.state);
            state.seen.insert(request.caller());
            let down = self.clock.now() < state.down_until;
            (state.silent.contains(&request.caller()), down)
        };
        if silent {
            std::future::pending::<()>().await;
        }
        if down {
            return Reply::stream(200).1;
        }
        match request.path() {
            "/control/orders" => self.order(&body),
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

    fn report(&self) -> Reply {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let current = state.report.clone();
        state.history.push_back((now, current));
        let lag = Duration::from_millis(state.faults.report_lag);
        while state.history.len() > 1 && state.history[1].0 + lag <= now {
            state.history.pop_front();
        }
        Reply::json(200, &state.history[0].1)
    }

    fn order(self: &Arc<Self>, body: &[u8]) -> Reply {
        let order: Order = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(err) => return Reply::text(400, &err.to_string()),
        };
        let (delay, lost, double) = {
            let mut state = lock(&self.state);
            let (lose, double) = (state.faults.order_lose, state.faults.order_double);
            let lost = state.random.random_bool(lose.clamp(0.0, 1.0));
            let double = state.random.random_bool(double.clamp(0.0, 1.0));
            (Duration::from_millis(state.faults.order_delay), lost, double)
        };
        if lost {
            return Reply::text(504, "lost");
        }
        let times = if double { 2 } else { 1 };
        for i in 0..times {
            let (engine, order) = (Arc::clone(self), order.clone());
            let wait = delay + Duration::from_secs(1) * i;
            tokio::spawn(async move {
                tokio::time::sleep(wait).await;
                engine.execute(order).await;
            });
        }
        Reply::text(202, "taken")
    }

    /// With fencing, an order runs only when no later order for the model was seen.
    fn admit(&self, order: &Order) -> bool {
        let mut state = lock(&self.state);
        if !self.options.fencing {
            return true;
        }
        if order.incarnation != state.report.incarnation {
            return false;
        }
        let fence = state.fences.entry(order.model.clone()).or_insert(0);
        if order.order < *fence {
            return false;
        }
        *fence = order.order;
        state.taken.insert(order.order)
    }

    async fn execute(&self, order: Order) {
        if !self.admit(&order) {
            return;
        }
        let incarnation = lock(&self.state).report.incarnation;
        if order.kind == "evict" {
            let mut state = lock(&self.state);
            state.report.resident.remove(&order.model);
            state.sizes.remove(&order.model);
            self.finish(&mut state, order.order);
            return;
        }
        self.reserve(&order);
        let path = if order.adapter { "adapter" } else { "weights" };
        let url = format!("http://{}/{path}", self.options.store);
        loop {
            let loaded = self.store.get(&url, Duration::from_secs(60)).await;
            if loaded.is_ok_and(|answer| answer.status == 200) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        let mut state = lock(&self.state);
        if state.report.incarnation == incarnation && state.sizes.contains_key(&order.model) {
            state.report.resident.insert(order.model.clone());
            self.finish(&mut state, order.order);
        }
    }

    /// Takes the memory of a model; a run that overcommits ends here.
    fn reserve(&self, order: &Order) {
        let mut state = lock(&self.state);
        state.sizes.insert(order.model.clone(), order.size);
        let used: u64 = state.sizes.values().sum();
        if used > self.options.memory {
            let name = &self.options.name;
            eprintln!(
                "OVERCOMMIT {name}: {used} of {} bytes, order {order:?}",
                self.options.memory
            );
            std::process::abort();
        }
    }

    fn finish(&self, state: &mut State, order: u64) {
        if state.report.done.len() == DONE_KEPT {
            state.report.done.pop_front();
        }
        state.report.done.push_back(order);
    }

    fn crash(&self) {
        let mut state = lock(&self.state);
        state.report = Report {
            incarnation: self.clock.unix_millis().max(state.report.incarnation + 1),
            leaving: state.report.leaving,
            ..Report::default()
        };
        state.sizes.clear();
        state.taken.clear();
        state.fences.clear();
        state.history.clear();
        state.prefixes.clear();
        state.crashes += 1;
        state.down_until = self.clock.now() + DOWN_TIME;
    }

    fn note_keys(&self, request: &Request, body: &[u8]) {
        let headers = request.headers().iter();
        let mut places: Vec<String> = headers
            .filter(|(_, value)| value.as_bytes().windows(3).any(|w| w == b"ck-"))
            .map(|(name, _)| name.to_string())
            .collect();
        if request.query().contains("ck-") {
            places.push("query".into());
        }
        if body.windows(3).any(|w| w == b"ck-") {
            places.push("body".into());
        }
        lock(&self.state).keys_seen.extend(places);
    }

    async fn generate(self: Arc<Self>, request: &Request, body: &[u8]) -> Reply {
        self.note_keys(request, body);
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let text = body.to_string();
        let poison = lock(&self.state).faults.poison.clone();
        if !poison.is_empty() && text.contains(&poison) {
            tokio::time::sleep(Duration::from_millis(30)).await;
            self.crash();
            return Reply::stream(200).1;
        }
        let model = body["model"].as_str().unwrap_or("").to_owned();
        let refused = {
            let state = lock(&self.state);
            !state.report.resident.contains(&model) || state.report.leaving
        };
        if refused {
            return Reply::json(409, &json!({ "error": { "code": "not_loaded" } }));
        }
        let id = request.headers().get("x-request-id").and_then(|v| v.to_str().ok()).unwrap_or("");
        let tokens = body["max_tokens"].as_u64().unwrap_or(16);
        let job = Job {
            incarnation: lock(&self.state).report.incarnation,
            caller: request.caller(),
            tokens,
            prompt: text.len() as u64 / 4,
            prefix: text.chars().take(120).collect(),
            id: id.to_owned(),
            model,
        };
        if body["stream"].as_bool().unwrap_or(false) {
            let (tx, reply) = Reply::stream(200);
            let id = job.id.clone();
            tokio::spawn(async move { self.stream(job, tx).await });
            return reply
                .with_header("content-type", "text/event-stream")
                .with_header("x-request-id", &id);
        }
        self.whole(job).await
    }

    async fn whole(&self, job: Job) -> Reply {
        self.start(&job).await;
        for _ in 0..job.tokens {
            if !self.step(&job).await {
                return Reply::stream(200).1;
            }
        }
        self.end();
        let words = vec!["word"; job.tokens as usize].join(" ");
        let answer = json!({
            "id": job.id, "object": "chat.completion", "model": job.model,
            "choices": [{ "index": 0, "finish_reason": "stop",
                "message": { "role": "assistant", "content": words } }],
            "usage": job.usage(),
        });
        Reply::json(200, &answer).with_header("x-request-id", &job.id)
    }

    async fn stream(&self, job: Job, tx: ChunkSender) {
        self.start(&job).await;
        for i in 0..job.tokens {
            if !self.step(&job).await {
                return;
            }
            let chunk = json!({
                "id": job.id, "object": "chat.completion.chunk", "model": job.model,
                "choices": [{ "index": 0, "delta": { "content": format!("w{i} ") } }],
            });
            if !tx.send(format!("data: {chunk}\n\n").into()).await {
                self.end();
                lock(&self.state).cancelled += 1;
                return;
            }
        }
        let last = json!({ "id": job.id, "choices": [], "usage": job.usage() });
        tx.send(format!("data: {last}\n\ndata: [DONE]\n\n").into()).await;
        self.end();
        tx.finish().await;
    }

    async fn start(&self, job: &Job) {
        let cached = {
            let mut state = lock(&self.state);
            state.report.running += 1;
            state.ran += 1;
            let cached = state.prefixes.contains(&job.prefix);
            if !cached {
                state.prefixes.push_back(job.prefix.clone());
            }
            if state.prefixes.len() > PREFIXES_KEPT {
                state.prefixes.pop_front();
            }
            cached
        };
        let prefill = if cached { job.prompt / 20 } else { job.prompt / 4 };
        tokio::time::sleep(Duration::from_millis(prefill.min(2000))).await;
    }

    /// Waits for the next token; false when the engine crashed meanwhile.
    async fn step(&self, job: &Job) -> bool {
        let (pace, silent) = {
            let state = lock(&self.state);
            let crowd = state.report.running.div_ceil(self.options.batch.max(1)).max(1) as u64;
            let slow = state.faults.slow.max(1);
            (self.options.pace * crowd * slow, state.silent.contains(&job.caller))
        };
        if silent {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(Duration::from_millis(pace)).await;
        lock(&self.state).report.incarnation == job.incarnation
    }

    fn end(&self) {
        let mut state = lock(&self.state);
        state.report.running = state.report.running.saturating_sub(1);
    }
}

struct Job {
    incarnation: u64,
    caller: SocketAddr,
    tokens: u64,
    prompt: u64,
    prefix: String,
    id: String,
    model: String,
}

impl Job {
    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt, "completion_tokens": self.tokens,
            "total_tokens": self.prompt + self.tokens,
        })
    }
}
