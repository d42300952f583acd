//! The store comes back from a copy that lacks a version of the servers' software, while all machines
//! start again: a stream goes on at a server of another version.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use carob_platform_lab::{FakeUpstream, LogAvailability, TestCluster, event_ids, event_versions};
use eyre::{Result, eyre};
use review_lab_2::{Answer, Machine, MachineLimits, Record, Verdict, exchange, has_trouble};
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

const SERVICE: &str = "engines";
const MODEL: &str = "large";
/// Events of a stream, as many as the sheet's longest streams have.
const EVENTS: u64 = 86;
/// Interval at which servers write to the list.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Heartbeats before the new version comes: time in which the fleet settles.
const CALM_HEARTBEATS: usize = 4;
/// Pause between two streams of the ordinary traffic.
const STREAM_INTERVAL: Duration = Duration::from_millis(34);
/// Time in which a new server gets its model and its first stream.
const FIRST_USE_TIMEOUT: Duration = Duration::from_secs(12);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Streams that are watched.
const WATCHED: u64 = 60;
/// From the start of the watched streams until the store goes away.
const STREAM_TIME: Duration = Duration::from_millis(600);
/// Until all machines lose power, from then until they start, and from then until the store is back.
const KILL_DELAY: Duration = Duration::from_millis(200);
const RESTART_DELAY: Duration = Duration::from_millis(500);
const RETURN_DELAY: Duration = Duration::from_millis(200);
/// From the return of the store until the new server writes its entry again.
const LISTED_AGAIN: Duration = Duration::from_millis(1500);
const CLIENT_DEADLINE: Duration = Duration::from_secs(15);
const CLIENT_TRIES: u64 = 4;
/// Pause before a try after one whose answer names no time.
const CLIENT_PAUSE: Duration = Duration::from_millis(300);
/// Streams with events of two versions that the rule allows.
const ALLOWED_MIXED: usize = 2;

/// A stream of a client over all its tries.
struct WatchedStream {
    number: u64,
    body: Vec<u8>,
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
    record.line("two machines are ready; engine-1 and engine-2 serve at software version v1");
    let copy = site.cluster.log.copy();
    record.line("the state of the store of this moment is that of the later copy");
    site.add_new_version(&mut record).await?;
    let watched = site.watch_streams();
    sleep(STREAM_TIME).await;
    if has_trouble() {
        site.cluster.log.set_availability(LogAvailability::Unavailable);
        record.line("the store is away");
        sleep(KILL_DELAY).await;
        site.machines.iter_mut().for_each(Machine::kill);
        record.line("all machines lost power");
        sleep(RESTART_DELAY).await;
        site.machines.iter_mut().try_for_each(Machine::start_again)?;
        record.line("all machines started again");
        sleep(RETURN_DELAY).await;
        site.cluster.log.come_back_from(copy);
        site.cluster.log.set_availability(LogAvailability::Available);
        record.line("the store is back from the copy");
        sleep(LISTED_AGAIN).await;
        site.publish_new();
        record.line("engine-3 wrote its entry again");
    }
    Ok(judge(&mut record, watched.join_all().await))
}

struct Site {
    cluster: TestCluster,
    new: FakeUpstream,
    machines: Vec<Machine>,
    sequence: u64,
    _folder: tempfile::TempDir,
}

impl Site {
    async fn start() -> Result<Self> {
        let old = ["engine-1", "engine-2"];
        let old = old.map(|name| FakeUpstream::start(name, SERVICE, &[MODEL], EVENTS));
        let old = old.into_iter().collect::<std::io::Result<Vec<_>>>()?;
        let mut cluster = TestCluster::new(old)?;
        cluster.publish_changed_config(&["key-one"], 0, |config| {
            for route in config["routes"].as_array_mut().into_iter().flatten() {
                route["timeout_ms"] = json!(CLIENT_DEADLINE.as_millis() as u64);
            }
        });
        let folder = tempfile::tempdir()?;
        let start = |name| {
            Machine::start(name, folder.path(), cluster.log_address, MachineLimits::default())
        };
        let machines = ["edge-1", "edge-2"].map(start).into_iter().collect::<Result<Vec<_>>>()?;
        for machine in &machines {
            machine.wait_ready().await?;
        }
        for _ in 0..CALM_HEARTBEATS {
            sleep(HEARTBEAT).await;
            cluster.publish_upstreams();
        }
        let new = FakeUpstream::start("engine-3", SERVICE, &[], EVENTS)?.with_version("v2");
        Ok(Site { cluster, new, machines, sequence: 0, _folder: folder })
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.machines.iter().map(|machine| machine.callers).collect()
    }

    /// Writes the entry of the server of the new version.
    fn publish_new(&mut self) {
        self.sequence += 1;
        let entry = self.new.list_entry(false, self.sequence).to_string();
        self.cluster.log.put("keyed.servers", &self.new.id, entry.as_bytes());
    }

    /// Adds an empty server of a new version, and waits until the system has loaded a model there and
    /// begun a stream.
    async fn add_new_version(&mut self, record: &mut Record) -> Result<()> {
        let traffic = tokio::spawn(send_streams(self.addresses()));
        let added = Instant::now();
        let mut written: Option<Instant> = None;
        record.line("engine-3 is added, at software version v2");
        while self.new.executed_requests().is_empty() {
            if added.elapsed() > FIRST_USE_TIMEOUT {
                return Err(eyre!("the new server got no stream"));
            }
            if written.is_none_or(|at| at.elapsed() >= HEARTBEAT) {
                written = Some(Instant::now());
                self.publish_new();
                self.cluster.publish_upstreams();
            }
            sleep(POLL_INTERVAL).await;
        }
        traffic.abort();
        record.line("engine-3 runs its first stream");
        Ok(())
    }

    fn watch_streams(&self) -> JoinSet<WatchedStream> {
        let mut streams = JoinSet::new();
        for number in 0..WATCHED {
            streams.spawn(follow_stream(number, self.addresses()));
        }
        streams
    }
}

fn request(id: &str, taken_up: &str, left: Duration) -> String {
    let left = left.as_millis();
    format!(
        "POST /plan/a HTTP/1.1\r\nhost: site.example\r\nkey: key-one\r\nrequest-id: {id}\r\n\
         model: {MODEL}\r\ntoken-usage: 100,172\r\nprompt-prefix: {id}:100\r\n\
         deadline-ms: {left}\r\n{taken_up}content-length: 4\r\n\r\nbody"
    )
}

/// Sends streams of the ordinary traffic until the task is aborted.
async fn send_streams(machines: Vec<SocketAddr>) {
    for (number, machine) in (0u64..).zip(machines.iter().copied().cycle()) {
        let request = request(&format!("{:016x}", 0xb0_0000 + number), "", CLIENT_DEADLINE);
        tokio::spawn(async move { exchange(machine, request.as_bytes(), CLIENT_DEADLINE).await });
        sleep(STREAM_INTERVAL).await;
    }
}

/// Receives a stream. When it breaks off, the client takes it up at the other machine.
async fn follow_stream(number: u64, machines: Vec<SocketAddr>) -> WatchedStream {
    let started = Instant::now();
    let mut stream = WatchedStream { number, body: Vec::new(), tries: Vec::new() };
    let mut first_id = None;
    for attempt in 0..CLIENT_TRIES {
        let id = format!("{:016x}", 0xa0_0000 + number * CLIENT_TRIES + attempt);
        let last = event_ids(&stream.body).last().copied();
        let taken_up = last
            .zip(first_id.as_ref())
            .map(|(last, first)| format!("last-event-id: {last}\r\nresumes: {first}\r\n"));
        let left = CLIENT_DEADLINE.saturating_sub(started.elapsed());
        let text = request(&id, &taken_up.unwrap_or_default(), left);
        let machine = machines[(number + attempt) as usize % machines.len()];
        let answer = exchange(machine, text.as_bytes(), left).await;
        let events = whole_events(&answer);
        if !events.is_empty() {
            first_id.get_or_insert_with(|| id.clone());
            stream.body.extend_from_slice(events);
        }
        stream.tries.push(describe(&answer, &id, started));
        if answer.status == 200 && answer.whole {
            break;
        }
        sleep(answer.retry_after().unwrap_or(CLIENT_PAUSE)).await;
    }
    stream
}

/// Returns the events of a success that came whole.
fn whole_events(answer: &Answer) -> &[u8] {
    if answer.status != 200 {
        return &[];
    }
    let end = answer.body.windows(2).rposition(|window| window == b"\n\n");
    end.map_or(&[], |end| &answer.body[..end + 2])
}

fn describe(answer: &Answer, id: &str, started: Instant) -> String {
    let at = started.elapsed().as_millis();
    let versions = event_versions(whole_events(answer)).join(" then ");
    match answer.refused {
        true => format!("{id}: no connection, {at} ms"),
        false => format!(
            "{id}: {}, events of [{versions}], whole {}, {at} ms",
            answer.status, answer.whole
        ),
    }
}

/// Counts the streams with events of two versions.
fn judge(record: &mut Record, mut streams: Vec<WatchedStream>) -> Verdict {
    streams.sort_by_key(|stream| stream.number);
    let mut mixed = 0;
    for stream in &streams {
        let versions = event_versions(&stream.body);
        mixed += usize::from(versions.len() > 1);
        let versions = versions.join(" then ");
        record.line(&format!("stream {}: {versions}; {}", stream.number, stream.tries.join("; ")));
    }
    record.line(&format!("{mixed} of {} streams hold events of two versions", streams.len()));
    if mixed > ALLOWED_MIXED { Verdict::Broken } else { Verdict::Held }
}
