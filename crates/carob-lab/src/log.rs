//! Stand-in of the platform's append-only log.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carob_net::{Clock, Reply, Request, ServeOptions, Server, SystemClock, lock, serve};
use carobglade::{Entry, Offset, Record};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

const BODY_MAX: usize = 64 << 20; // bytes of an append
const PAGE_MAX: usize = 2000; // entries of a read

/// Faults of the log, switched on by `POST /faults`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Neither appends nor reads are answered.
    pub outage: bool,
    /// Part of the appends whose answer is lost after they took effect.
    pub lose: f64,
    /// Milliseconds that each append takes.
    pub delay: u64,
    /// Appends a second; more are refused.
    pub rate: u64,
    /// Entries that are kept in each stream.
    pub keep: usize,
    /// Seed of the faults.
    pub seed: u64,
}

impl Default for LogFaults {
    fn default() -> Self {
        LogFaults { outage: false, lose: 0.0, delay: 2, rate: 500, keep: 1_000_000, seed: 1 }
    }
}

#[derive(Default)]
struct Stream {
    first: u64,
    entries: VecDeque<Entry>,
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.entries.len() as u64
    }
}

struct State {
    streams: BTreeMap<String, Stream>,
    faults: LogFaults,
    random: SmallRng,
    allowance: f64,
    last: Duration,
    appends: u64,
    bytes: u64,
}

/// The log.
pub struct LogStandin {
    state: Mutex<State>,
    grown: Notify,
    clock: SystemClock,
}

#[derive(Deserialize)]
struct AppendWire {
    id: String,
    records: Vec<Record>,
}

impl LogStandin {
    fn new() -> Self {
        let state = State {
            streams: BTreeMap::new(),
            faults: LogFaults::default(),
            random: SmallRng::seed_from_u64(1),
            allowance: 0.0,
            last: Duration::ZERO,
            appends: 0,
            bytes: 0,
        };
        LogStandin { state: Mutex::new(state), grown: Notify::new(), clock: SystemClock::default() }
    }

    /// Serves the log.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn serve(options: ServeOptions) -> std::io::Result<Server> {
        let log = Arc::new(LogStandin::new());
        serve(options, move |request| {
            let log = Arc::clone(&log);
            async move { log.handle(request).await }
        })
    }

    async fn handle(&self, mut request: Request) -> Reply {
        let path = request.path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match parts.as_slice() {
            ["faults"] => self.set_faults(&mut request).await,
            ["stats"] => {
                let state = lock(&self.state);
                let stats = serde_json::json!({ "appends": state.appends, "bytes": state.bytes });
                Reply::json(200, &stats)
            }
            ["streams", _, _] if lock(&self.state).faults.outage => Reply::text(503, "outage"),
            ["streams", stream, "append"] => self.append(stream, &mut request).await,
            ["streams", stream, "read"] => self.read(stream, &request).await,
            _ => Reply::text(404, "no such path"),
        }
    }

    async fn set_faults(&self, request: &mut Request) -> Reply {
        let body = request.read_body(BODY_MAX, Duration::from_secs(5)).await.unwrap_or_default();
        match serde_json::from_slice::<LogFaults>(&body) {
            Ok(faults) => {
                let mut state = lock(&self.state);
                state.random = SmallRng::seed_from_u64(faults.seed);
                state.faults = faults;
                Reply::text(200, "ok")
            }
            Err(err) => Reply::text(400, &err.to_string()),
        }
    }

    fn admit(&self) -> bool {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let rate = state.faults.rate as f64;
        let passed = now.saturating_sub(state.last).as_secs_f64();
        state.allowance = (state.allowance + passed * rate).min(rate.max(1.0) * 0.2);
        state.last = now;
        let admitted = state.allowance >= 1.0;
        if admitted {
            state.allowance -= 1.0;
        }
        admitted
    }

    async fn append(&self, stream: &str, request: &mut Request) -> Reply {
        let Ok(body) = request.read_body(BODY_MAX, Duration::from_secs(5)).await else {
            return Reply::text(400, "body");
        };
        let append: AppendWire = match serde_json::from_slice(&body) {
            Ok(append) => append,
            Err(err) => return Reply::text(400, &err.to_string()),
        };
        if !self.admit() {
            return Reply::text(429, "too many appends");
        }
        let delay = lock(&self.state).faults.delay;
        tokio::time::sleep(Duration::from_millis(delay)).await;
        let (offset, lost) = self.take(stream, append, body.len());
        self.grown.notify_waiters();
        if lost {
            return Reply::text(504, "answer lost");
        }
        Reply::json(200, &serde_json::json!({ "offset": offset }))
    }

    fn take(&self, stream: &str, append: AppendWire, bytes: usize) -> (u64, bool) {
        let mut state = lock(&self.state);
        state.appends += 1;
        state.bytes += bytes as u64;
        let (keep, lose) = (state.faults.keep, state.faults.lose);
        let lost = state.random.random_bool(lose.clamp(0.0, 1.0));
        let time = self.clock.unix_millis();
        let stream = state
            .streams
            .entry(stream.to_owned())
            .or_insert_with(|| Stream { first: 1, entries: VecDeque::new() });
        let offset = stream.next();
        let entry = Entry { offset: Offset(offset), time, id: append.id, records: append.records };
        stream.entries.push_back(entry);
        while stream.entries.len() > keep {
            stream.entries.pop_front();
            stream.first += 1;
        }
        (offset, lost)
    }

    async fn read(&self, stream: &str, request: &Request) -> Reply {
        let number = |name| request.query_param(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0);
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
        let until = self.clock.now() + wait;
        loop {
            let grown = self.grown.notified();
            if let Some(reply) = self.page(stream, from, self.clock.now() >= until) {
                return reply;
            }
            let left = until.saturating_sub(self.clock.now());
            let _ = tokio::time::timeout(left, grown).await;
        }
    }

    fn page(&self, stream: &str, from: u64, over: bool) -> Option<Reply> {
        let state = lock(&self.state);
        if state.faults.outage {
            return Some(Reply::text(503, "outage"));
        }
        let empty = Stream { first: 1, entries: VecDeque::new() };
        let stream = state.streams.get(stream).unwrap_or(&empty);
        let skip = from.saturating_sub(stream.first) as usize;
        let entries: Vec<&Entry> = stream.entries.iter().skip(skip).take(PAGE_MAX).collect();
        if entries.is_empty() && !over {
            return None;
        }
        let page = serde_json::json!({
            "first": stream.first, "next": stream.next(), "entries": entries,
        });
        Some(Reply::json(200, &page))
    }
}
