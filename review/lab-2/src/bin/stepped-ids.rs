//! The ids of a stream's events increase, but not by one. A machine is killed, and its callers take up
//! their streams at another one.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use carob_platform_lab::{TestCluster, event_ids};
use eyre::{Result, eyre};
use review_lab_2::{
    Answer, Machine, MachineLimits, Record, StreamServer, StreamServerSettings, Verdict, exchange,
    has_trouble,
};
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Distance between two ids. An event holds that many tokens.
const DEFAULT_STEP: u64 = 2;
const EVENTS: u64 = 86;
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Streams that run at the machine that is killed, and new ones that begin at the other one.
const STREAMS: u64 = 24;
/// Time for which the streams run before the machine is killed.
const STREAM_TIME: Duration = Duration::from_millis(1500);
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
    let step = std::env::var("STEP").ok().and_then(|step| step.parse().ok());
    let step = step.unwrap_or(DEFAULT_STEP);
    let mut servers =
        [start_server("engine-1", step).await?, start_server("engine-2", step).await?];
    let mut cluster = TestCluster::new(Vec::new())?;
    cluster.publish_changed_config(&["key-one"], 0, |config| {
        for route in config["routes"].as_array_mut().into_iter().flatten() {
            route["timeout_ms"] = json!(DEADLINE.as_millis() as u64);
        }
    });
    publish(&cluster, &mut servers);
    let folder = tempfile::tempdir()?;
    let start =
        |name| Machine::start(name, folder.path(), cluster.log_address, MachineLimits::default());
    let mut machines = ["edge-1", "edge-2"].map(start).into_iter().collect::<Result<Vec<_>>>()?;
    for machine in &machines {
        machine.wait_ready().await?;
    }
    for _ in 0..3 {
        sleep(HEARTBEAT).await;
        publish(&cluster, &mut servers);
    }
    record.line(&format!("two machines are ready; the ids of events increase by {step}"));
    let addresses: Vec<SocketAddr> = machines.iter().map(|machine| machine.callers).collect();
    let mut streams = JoinSet::new();
    for number in 0..STREAMS {
        streams.spawn(follow_stream(number, addresses.clone()));
    }
    sleep(STREAM_TIME).await;
    publish(&cluster, &mut servers);
    if has_trouble() {
        machines[0].kill();
        record.line("edge-1 is killed");
    }
    let mut new_streams = JoinSet::new();
    for number in STREAMS..2 * STREAMS {
        new_streams.spawn(follow_stream(number, vec![addresses[1]]));
    }
    let (streams, new_streams) = (streams.join_all().await, new_streams.join_all().await);
    let runs: u64 = servers.iter().map(StreamServer::runs).sum();
    record.line(&format!("the servers began {runs} runs"));
    Ok(judge(&mut record, streams, &new_streams))
}

async fn start_server(id: &str, step: u64) -> Result<StreamServer> {
    let models = ["large", "small", "rare"].map(str::to_owned).to_vec();
    let (id, service) = (id.to_owned(), "engines".to_owned());
    StreamServer::start(StreamServerSettings { id, service, models, events: EVENTS, step }).await
}

fn publish(cluster: &TestCluster, servers: &mut [StreamServer]) {
    for server in servers {
        let entry = server.next_entry().to_string();
        cluster.log.put("keyed.servers", server.id(), entry.as_bytes());
    }
}

/// Receives a stream. When it breaks off, the client takes it up at the next machine.
async fn follow_stream(number: u64, machines: Vec<SocketAddr>) -> FollowedStream {
    let started = Instant::now();
    let mut stream = FollowedStream { number, events: (0, 0), taken_up: false, tries: Vec::new() };
    let mut last: Option<(u64, String)> = None;
    for attempt in 0..CLIENT_TRIES {
        let id = format!("{:016x}", 0xa0_0000 + number * CLIENT_TRIES + attempt);
        let left = DEADLINE.saturating_sub(started.elapsed());
        let text = request(&id, last.as_ref(), left);
        let machine = machines[(attempt as usize).min(machines.len() - 1)];
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
         model: large\r\ntoken-usage: 100,172\r\nprompt-prefix: {id}:100\r\n\
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
    for stream in &streams {
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
