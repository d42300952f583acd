//! A server crashes while newer software is being brought in. Its models are loaded at the new server
//! alone, and the streams that began at the older version don't go on, though servers of it serve.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use carob_platform_lab::{TestCluster, event_ids};
use eyre::{Result, eyre};
use review_lab_2::{
    Answer, Machine, MachineLimits, ModelServer, ModelServerSettings, Record, Verdict, exchange,
    has_trouble,
};
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Models, three at each of the three servers of the older version.
const MODELS: usize = 9;
const MODELS_HELD: usize = 3;
/// The model of all streams; one server holds it.
const MODEL: &str = "m0";
const EVENTS: u64 = 200;
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Heartbeats after which an entry is removed that is not written again.
const EXPIRY: Duration = Duration::from_millis(3600);
const LOAD_TIME: Duration = Duration::from_millis(2200);
/// Time from the start of the streams until the new server comes, and from then until the crash.
const STREAM_TIME: Duration = Duration::from_millis(500);
const RELEASE_TIME: Duration = Duration::from_millis(1500);
/// Time from the crash until the new streams begin.
const NEW_STREAMS_AFTER: Duration = Duration::from_secs(6);
const STREAMS: u64 = 24;
const DEADLINE: Duration = Duration::from_secs(15);
/// Tries of a client, and the pause before one if the answer before names no time.
const CLIENT_TRIES: u64 = 3;
const CLIENT_PAUSE: Duration = Duration::from_millis(300);
/// Streams that have to be taken up for the rule to count.
const MIN_TAKEN_UP: usize = 12;

/// A stream of a client over all its tries.
struct FollowedStream {
    number: u64,
    /// Events of the first try and of all further ones.
    events: (usize, usize),
    taken_up: bool,
    tries: Vec<String>,
}

#[tokio::main]
async fn main() -> ExitCode {
    Verdict::exit_code(run().await)
}

async fn run() -> Result<Verdict> {
    let folder =
        std::env::args().nth(1).ok_or_else(|| eyre!("the folder of the case is missing"))?;
    let mut record = Record::create(&Path::new(&folder).join("record.txt"))?;
    let mut site = Site::start().await?;
    let machine = site.machines[0].callers;
    record.line("two machines are ready; engine-1 to engine-3 serve at software version v1");
    let mut streams = JoinSet::new();
    for number in 0..STREAMS {
        streams.spawn(follow_stream(number, machine));
    }
    site.wait(STREAM_TIME).await;
    site.servers.push(start_server("engine-4", "v2", Vec::new()).await?);
    site.publish();
    record.line("engine-4 is added, empty, at software version v2");
    site.wait(RELEASE_TIME).await;
    let crashed_at = Instant::now();
    if has_trouble() {
        site.servers[0].crash();
        record.line("engine-1 crashes and is lost for good");
    }
    site.wait(NEW_STREAMS_AFTER).await;
    let mut new_streams = JoinSet::new();
    for number in STREAMS..2 * STREAMS {
        new_streams.spawn(follow_stream(number, machine));
    }
    while crashed_at.elapsed() < DEADLINE + NEW_STREAMS_AFTER {
        site.wait(HEARTBEAT).await;
    }
    for server in &site.servers {
        record.line(&format!("{}: {} runs, holds {}", server.id(), server.runs(), server.models()));
    }
    Ok(judge(&mut record, streams.join_all().await, &new_streams.join_all().await))
}

struct Site {
    cluster: TestCluster,
    servers: Vec<ModelServer>,
    machines: Vec<Machine>,
    written_at: Instant,
    crashed_at: Option<Instant>,
    _folder: tempfile::TempDir,
}

impl Site {
    async fn start() -> Result<Self> {
        let mut servers = Vec::new();
        for number in 0..MODELS / MODELS_HELD {
            let held = (0..MODELS_HELD).map(|i| format!("m{}", number * MODELS_HELD + i));
            let id = format!("engine-{}", number + 1);
            servers.push(start_server(&id, "v1", held.collect()).await?);
        }
        let mut cluster = TestCluster::new(Vec::new())?;
        cluster.publish_changed_config(&["key-one"], 0, change_config);
        let folder = tempfile::tempdir()?;
        let limits = MachineLimits::default();
        let start = |name| Machine::start(name, folder.path(), cluster.log_address, limits);
        let machines = ["edge-1", "edge-2"].map(start).into_iter().collect::<Result<Vec<_>>>()?;
        let written_at = Instant::now();
        let mut site =
            Site { cluster, servers, machines, written_at, crashed_at: None, _folder: folder };
        site.publish();
        for machine in &site.machines {
            machine.wait_ready().await?;
        }
        for _ in 0..4 {
            site.wait(HEARTBEAT).await;
        }
        Ok(site)
    }

    /// Writes the entries of all servers that live; removes that of one that is silent for too long.
    fn publish(&mut self) {
        self.written_at = Instant::now();
        for server in &mut self.servers {
            if !server.has_crashed() {
                let entry = server.next_entry().to_string();
                self.cluster.log.put("keyed.servers", server.id(), entry.as_bytes());
                continue;
            }
            let since = *self.crashed_at.get_or_insert_with(Instant::now);
            if since.elapsed() >= EXPIRY {
                self.cluster.log.put("keyed.servers", server.id(), b"");
            }
        }
    }

    /// Waits, while servers write to the list.
    async fn wait(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            let next = self.written_at + HEARTBEAT;
            tokio::time::sleep_until(next.min(until)).await;
            if Instant::now() >= next {
                self.publish();
            }
        }
    }
}

/// Puts the models and the routes' timeout of the case into a configuration.
fn change_config(config: &mut Value) {
    for route in config["routes"].as_array_mut().into_iter().flatten() {
        route["timeout_ms"] = json!(DEADLINE.as_millis() as u64);
    }
    let models: Vec<Value> = (0..MODELS)
        .map(|number| {
            json!({ "name": format!("m{number}"), "weights_mb": 72700.0, "load_s": 2.2,
                    "adapters": 0, "adapter_mb": 66.0, "warm_s": 1.1, "disk_s": 1.4 })
        })
        .collect();
    config["services"][0]["engine"]["models"] = json!(models);
}

async fn start_server(id: &str, version: &str, models: Vec<String>) -> Result<ModelServer> {
    let settings = ModelServerSettings {
        id: id.to_owned(),
        service: "engines".to_owned(),
        version: version.to_owned(),
        models,
        events: EVENTS,
        load_time: LOAD_TIME,
    };
    ModelServer::start(settings).await
}

/// Receives a stream. When it breaks off, the client takes it up.
async fn follow_stream(number: u64, machine: SocketAddr) -> FollowedStream {
    let started = Instant::now();
    let mut stream = FollowedStream { number, events: (0, 0), taken_up: false, tries: Vec::new() };
    let mut last: Option<(u64, String)> = None;
    for attempt in 0..CLIENT_TRIES {
        let id = format!("{:016x}", 0xa0_0000 + number * CLIENT_TRIES + attempt);
        let left = DEADLINE.saturating_sub(started.elapsed());
        let text = request(&id, last.as_ref(), left);
        let answer = exchange(machine, text.as_bytes(), left).await;
        let ids = if answer.status == 200 { event_ids(&answer.body) } else { Vec::new() };
        match last.is_some() {
            true => stream.events.1 += ids.len(),
            false => stream.events.0 += ids.len(),
        }
        stream.taken_up |= last.is_some();
        if let Some(newest) = ids.last() {
            let first = last.map_or_else(|| id.clone(), |(_, first)| first);
            last = Some((*newest, first));
        }
        stream.tries.push(describe(&answer, &ids, &id, started));
        if answer.status == 200 && answer.whole {
            break;
        }
        sleep(answer.retry_after().unwrap_or(CLIENT_PAUSE)).await;
    }
    stream
}

fn request(id: &str, last: Option<&(u64, String)>, left: Duration) -> String {
    let taken_up =
        last.map(|(event, first)| format!("last-event-id: {event}\r\nresumes: {first}\r\n"));
    let (taken_up, left) = (taken_up.unwrap_or_default(), left.as_millis());
    format!(
        "POST /plan/a HTTP/1.1\r\nhost: site.example\r\nkey: key-one\r\nrequest-id: {id}\r\n\
         model: {MODEL}\r\ntoken-usage: 100,400\r\nprompt-prefix: {id}:100\r\n\
         deadline-ms: {left}\r\n{taken_up}content-length: 4\r\n\r\nbody"
    )
}

fn describe(answer: &Answer, ids: &[u64], id: &str, started: Instant) -> String {
    let at = started.elapsed().as_millis();
    let (first, last) = (ids.first().copied(), ids.last().copied());
    let (status, whole) = (answer.status, answer.whole);
    format!("{id}: {status}, events {first:?} to {last:?}, whole {whole}, {at} ms")
}

/// Compares the share of the streams that went on when they were taken up with the share of new
/// streams that began.
fn judge(
    record: &mut Record,
    mut streams: Vec<FollowedStream>,
    new_streams: &[FollowedStream],
) -> Verdict {
    streams.sort_by_key(|stream| stream.number);
    for stream in streams.iter().chain(new_streams) {
        record.line(&format!("stream {}: {}", stream.number, stream.tries.join("; ")));
    }
    let taken_up = streams.iter().filter(|stream| stream.taken_up).count();
    let went_on = streams.iter().filter(|stream| stream.taken_up && stream.events.1 > 0).count();
    let began = new_streams.iter().filter(|stream| stream.events.0 > 0).count();
    let new = new_streams.len();
    record.line(&format!("taken up {taken_up}, went on {went_on}; new {new}, began {began}"));
    let share = |count: usize, all: usize| count as f64 / all.max(1) as f64;
    let is_lost = share(went_on, taken_up) < share(began, new) / 2.0;
    if taken_up >= MIN_TAKEN_UP && is_lost { Verdict::Broken } else { Verdict::Held }
}
