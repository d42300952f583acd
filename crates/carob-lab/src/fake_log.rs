//! A fake of the platform's append-only log.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carob_net::{Clock, Reply, Request, ServeOptions, Server, SystemClock, lock, serve};
use carobglade::{LogEntry, Offset, Record};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

const MAX_BODY_BYTES: usize = 64 << 20; // per append
const MAX_PAGE_ENTRIES: usize = 2000; // per read

/// Faults of the fake log, set by `POST /faults`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Whether appends and reads are refused with 503.
    pub outage: bool,
    /// Fraction of the appends that take effect but are answered with an error, 0 to 1.
    #[serde(rename = "lose")]
    pub answer_loss_rate: f64,
    /// Milliseconds by which each append is delayed.
    #[serde(rename = "delay")]
    pub append_delay: u64,
    /// Appends per second; more are refused.
    #[serde(rename = "rate")]
    pub append_rate: u64,
    /// Entries kept per stream; older ones are dropped.
    #[serde(rename = "keep")]
    pub retained_entries: usize,
    /// Seed for the random choice of answers to lose.
    pub seed: u64,
}

impl Default for LogFaults {
    fn default() -> Self {
        LogFaults {
            outage: false,
            answer_loss_rate: 0.0,
            append_delay: 2,
            append_rate: 500,
            retained_entries: 1_000_000,
            seed: 1,
        }
    }
}

#[derive(Default)]
struct Stream {
    first: u64,
    entries: VecDeque<LogEntry>,
}

impl Stream {
    fn next_offset(&self) -> u64 {
        self.first + self.entries.len() as u64
    }
}

struct State {
    streams: BTreeMap<String, Stream>,
    faults: LogFaults,
    random: SmallRng,
    available_appends: f64,
    refilled_at: Duration,
    appends: u64,
    bytes: u64,
}

/// A fake log.
pub struct FakeLog {
    state: Mutex<State>,
    appended: Notify,
    clock: SystemClock,
}

#[derive(Deserialize)]
struct AppendBody {
    id: String,
    records: Vec<Record>,
}

impl FakeLog {
    fn new() -> Self {
        let state = State {
            streams: BTreeMap::new(),
            faults: LogFaults::default(),
            random: SmallRng::seed_from_u64(1),
            available_appends: 0.0,
            refilled_at: Duration::ZERO,
            appends: 0,
            bytes: 0,
        };
        FakeLog { state: Mutex::new(state), appended: Notify::new(), clock: SystemClock::default() }
    }

    /// Starts the log.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub fn serve(options: ServeOptions) -> std::io::Result<Server> {
        let log = Arc::new(FakeLog::new());
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
        let body =
            request.read_body(MAX_BODY_BYTES, Duration::from_secs(5)).await.unwrap_or_default();
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

    /// Reports whether an append is within the rate limit, and takes one append from a token bucket
    /// that holds at most a fifth of a second of appends.
    fn within_append_rate(&self) -> bool {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let rate = state.faults.append_rate as f64;
        let passed = now.saturating_sub(state.refilled_at).as_secs_f64();
        state.available_appends =
            (state.available_appends + passed * rate).min(rate.max(1.0) * 0.2);
        state.refilled_at = now;
        let admitted = state.available_appends >= 1.0;
        if admitted {
            state.available_appends -= 1.0;
        }
        admitted
    }

    async fn append(&self, stream: &str, request: &mut Request) -> Reply {
        let Ok(body) = request.read_body(MAX_BODY_BYTES, Duration::from_secs(5)).await else {
            return Reply::text(400, "body");
        };
        let append: AppendBody = match serde_json::from_slice(&body) {
            Ok(append) => append,
            Err(err) => return Reply::text(400, &err.to_string()),
        };
        if !self.within_append_rate() {
            return Reply::text(429, "too many appends");
        }
        let delay = lock(&self.state).faults.append_delay;
        tokio::time::sleep(Duration::from_millis(delay)).await;
        let (offset, lost) = self.store_entry(stream, append, body.len());
        self.appended.notify_waiters();
        if lost {
            return Reply::text(504, "answer lost");
        }
        Reply::json(200, &serde_json::json!({ "offset": offset }))
    }

    /// Appends an entry. Returns its offset, and whether the answer is to be lost.
    fn store_entry(&self, stream: &str, append: AppendBody, bytes: usize) -> (u64, bool) {
        let mut state = lock(&self.state);
        state.appends += 1;
        state.bytes += bytes as u64;
        let (retained, loss_rate) = (state.faults.retained_entries, state.faults.answer_loss_rate);
        let lost = state.random.random_bool(loss_rate.clamp(0.0, 1.0));
        let time = self.clock.unix_millis();
        let stream = state
            .streams
            .entry(stream.to_owned())
            .or_insert_with(|| Stream { first: 1, entries: VecDeque::new() });
        let offset = stream.next_offset();
        let entry = LogEntry {
            offset: Offset(offset),
            time_ms: time,
            id: append.id,
            records: append.records,
        };
        stream.entries.push_back(entry);
        while stream.entries.len() > retained {
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
            let appended = self.appended.notified();
            if let Some(reply) = self.read_page(stream, from, self.clock.now() >= until) {
                return reply;
            }
            let left = until.saturating_sub(self.clock.now());
            let _ = tokio::time::timeout(left, appended).await;
        }
    }

    /// Returns the entries from the offset `from` on, or `None` when there are none yet and the
    /// wait has not `timed_out`.
    fn read_page(&self, stream: &str, from: u64, timed_out: bool) -> Option<Reply> {
        let state = lock(&self.state);
        if state.faults.outage {
            return Some(Reply::text(503, "outage"));
        }
        let empty = Stream { first: 1, entries: VecDeque::new() };
        let stream = state.streams.get(stream).unwrap_or(&empty);
        let skip = from.saturating_sub(stream.first) as usize;
        let entries: Vec<&LogEntry> =
            stream.entries.iter().skip(skip).take(MAX_PAGE_ENTRIES).collect();
        if entries.is_empty() && !timed_out {
            return None;
        }
        let page = serde_json::json!({
            "first": stream.first, "next": stream.next_offset(), "entries": entries,
        });
        Some(Reply::json(200, &page))
    }
}
