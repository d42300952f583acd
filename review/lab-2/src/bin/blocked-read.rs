//! Servers crash one after the other while they answer the same harmless read. A machine that serves
//! that read later refuses it.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use carob_platform_lab::{FakeUpstream, TestCluster};
use eyre::{Result, bail, eyre};
use review_lab_2::{Machine, MachineLimits, Record, Verdict, exchange, has_trouble};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

const SERVICE: &str = "desk";
const SERVERS: [&str; 4] = ["desk-1", "desk-2", "desk-3", "desk-4"];
/// Time that a request works at a server.
const WORK_TIME: Duration = Duration::from_millis(30);
/// Interval at which servers write to the list.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Crashes, of one server after the other.
const CRASHES: usize = 8;
/// Time for which a crashed server is down.
const DOWN_TIME: Duration = Duration::from_millis(500);
/// Time from one crash to the next.
const CRASH_INTERVAL: Duration = Duration::from_millis(1000);
/// Time in which a server gets a read, so that it crashes while it answers.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Reads and commands a second, as the sheet says.
const READ_INTERVAL: Duration = Duration::from_millis(125);
/// The same while servers crash, when few callers read.
const EARLY_INTERVAL: Duration = Duration::from_millis(250);
const COMMAND_INTERVAL: Duration = Duration::from_millis(96);
/// Time for which the later callers call.
const LATER_TIME: Duration = Duration::from_secs(70);
const DEADLINE: Duration = Duration::from_millis(1500);
/// How seldom a kind of request may be served against all requests, as a divisor.
const STARVED_DIVISOR: f64 = 4.0;

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Reads the same page each time, without a body.
    Read,
    /// May run once only.
    Command,
}

/// How the requests of a kind ended.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    sent: usize,
    served: usize,
    unavailable: usize,
}

impl Counts {
    fn add(self, other: Counts) -> Counts {
        Counts {
            sent: self.sent + other.sent,
            served: self.served + other.served,
            unavailable: self.unavailable + other.unavailable,
        }
    }

    fn share(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    Verdict::exit_code(run().await)
}

async fn run() -> Result<Verdict> {
    let folder =
        std::env::args().nth(1).ok_or_else(|| eyre!("the folder of the case is missing"))?;
    let mut record = Record::create(&Path::new(&folder).join("record.txt"))?;
    let servers = SERVERS.map(|name| FakeUpstream::start(name, SERVICE, &[], 0));
    let servers = servers.into_iter().collect::<std::io::Result<Vec<_>>>()?;
    servers.iter().for_each(|server| server.set_response_delay(WORK_TIME));
    let mut cluster = TestCluster::new(servers)?;
    let folder = tempfile::tempdir()?;
    let start =
        |name| Machine::start(name, folder.path(), cluster.log_address, MachineLimits::default());
    let machines = ["edge-1", "edge-2"].map(start).into_iter().collect::<Result<Vec<_>>>()?;
    for machine in &machines {
        machine.wait_ready().await?;
    }
    sleep(HEARTBEAT).await;
    cluster.publish_upstreams();
    let commands = [
        call(machines[0].callers, Kind::Command, COMMAND_INTERVAL, 0),
        call(machines[1].callers, Kind::Command, COMMAND_INTERVAL, 1),
    ];
    let early = call(machines[0].callers, Kind::Read, EARLY_INTERVAL, 2);
    for number in 0..CRASHES {
        sleep(CRASH_INTERVAL).await;
        if has_trouble() {
            crash_while_reading(&mut record, &cluster.upstreams[number % SERVERS.len()]).await?;
        }
        cluster.publish_upstreams();
    }
    sleep(HEARTBEAT).await;
    cluster.publish_upstreams();
    let early = stop(early).await?;
    record.line("all servers are up; from now on the page is read at edge-2");
    let later = call(machines[1].callers, Kind::Read, READ_INTERVAL, 3);
    let until = Instant::now() + LATER_TIME;
    while Instant::now() < until {
        sleep(HEARTBEAT).await;
        cluster.publish_upstreams();
    }
    let [first, second] = commands;
    let later = stop(later).await?;
    let commands = stop(first).await?.add(stop(second).await?);
    record.line(&format!("reads at edge-1: {early:?}; reads at edge-2: {later:?}"));
    record.line(&format!("commands at both: {commands:?}"));
    Ok(judge(&mut record, early.add(later), commands))
}

/// Crashes a server as soon as it works on a read; again if the read had ended just before.
async fn crash_while_reading(record: &mut Record, server: &FakeUpstream) -> Result<()> {
    let until = Instant::now() + READ_TIMEOUT;
    while Instant::now() < until {
        wait_for_read(server, until).await?;
        let cut_off = server.cancelled_requests();
        server.crash(DOWN_TIME);
        sleep(DOWN_TIME).await;
        record.line(&format!("{} crashed", server.id));
        if server.cancelled_requests() > cut_off {
            record.line("it was working on a read");
            return Ok(());
        }
    }
    bail!("{} ended no read", server.id)
}

/// Waits until a server begins to work on a read.
async fn wait_for_read(server: &FakeUpstream, until: Instant) -> Result<()> {
    let mut known = server.executed_requests().len();
    while Instant::now() < until {
        let executed = server.executed_requests();
        if executed[known..].iter().any(|request| request.path.starts_with("/read/")) {
            return Ok(());
        }
        known = executed.len();
        sleep(POLL_INTERVAL).await;
    }
    bail!("{} got no read", server.id)
}

/// A caller that sends requests of one kind until it is stopped.
struct Caller {
    task: JoinHandle<Counts>,
    stop: tokio::sync::oneshot::Sender<()>,
}

async fn stop(caller: Caller) -> Result<Counts> {
    // The caller may have ended by itself.
    let _ = caller.stop.send(());
    Ok(caller.task.await?)
}

fn call(machine: SocketAddr, kind: Kind, interval: Duration, number: u64) -> Caller {
    let (stop, mut stopped) = tokio::sync::oneshot::channel();
    let task = tokio::spawn(async move {
        let mut counts = Counts::default();
        while stopped.try_recv().is_err() {
            let request = request(kind, number << 32 | counts.sent as u64);
            let answer = exchange(machine, request.as_bytes(), DEADLINE).await;
            counts.sent += 1;
            counts.served += usize::from(answer.status == 200);
            counts.unavailable += usize::from(answer.status == 503);
            sleep(interval).await;
        }
        counts
    });
    Caller { task, stop }
}

fn request(kind: Kind, id: u64) -> String {
    let start = match kind {
        Kind::Read => "GET /read/board HTTP/1.1".to_owned(),
        Kind::Command => format!("POST /command/{id:x} HTTP/1.1\r\ncontent-length: 4"),
    };
    let body = if kind == Kind::Read { "" } else { "body" };
    format!(
        "{start}\r\nhost: site.example\r\nkey: key-one\r\nrequest-id: {id:016x}\r\n\
         deadline-ms: 1500\r\n\r\n{body}"
    )
}

/// Compares how often the reads were served with how often all requests were.
fn judge(record: &mut Record, reads: Counts, commands: Counts) -> Verdict {
    let (reads_share, all_share) = (reads.share(), reads.add(commands).share());
    record.line(&format!("served: {reads_share:.3} of the reads, {all_share:.3} of all requests"));
    if reads_share < all_share / STARVED_DIVISOR { Verdict::Broken } else { Verdict::Held }
}
