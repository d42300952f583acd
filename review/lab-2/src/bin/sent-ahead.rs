//! A crowd of clients sends many requests ahead on its connections and reads no answer. Ordinary
//! callers of the machine get no answer, not even at the timeout of their route.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use carob_platform_lab::{FakeUpstream, TestCluster};
use eyre::{Result, eyre};
use review_lab_2::{Machine, MachineLimits, Record, Verdict, exchange, has_trouble};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// Clients of the crowd, and the requests that each sends ahead.
const CLIENTS: usize = 500;
const REQUESTS_AHEAD: usize = 3000;
const SENT_AHEAD: &str = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
/// Ordinary callers, and the pause of each between two commands.
const CALLERS: u64 = 8;
const CALLER_PAUSE: Duration = Duration::from_millis(500);
/// Time before the crowd comes, and time for which it is watched then.
const CALM_TIME: Duration = Duration::from_secs(4);
const CROWD_TIME: Duration = Duration::from_secs(14);
/// The route's timeout and the caller's deadline, as the site has them for commands.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(800);
const DEADLINE: Duration = Duration::from_millis(1500);
/// Time after the route's timeout within which the answer has to come.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Late requests from which the rule counts.
const MIN_LATE: usize = 8;
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// A request of an ordinary caller.
#[derive(Clone, Copy, Debug)]
struct Call {
    sent_at: Duration,
    status: u16,
    took: Duration,
}

#[tokio::main]
async fn main() -> ExitCode {
    Verdict::exit_code(run().await)
}

async fn run() -> Result<Verdict> {
    let folder =
        std::env::args().nth(1).ok_or_else(|| eyre!("the folder of the case is missing"))?;
    let mut record = Record::create(&Path::new(&folder).join("record.txt"))?;
    let desk = FakeUpstream::start("desk-1", "desk", &[], 0)?;
    let mut cluster = TestCluster::new(vec![desk])?;
    cluster.publish_changed_config(&["key-one"], 0, |config| {
        for route in config["routes"].as_array_mut().into_iter().flatten() {
            route["timeout_ms"] = json!(ROUTE_TIMEOUT.as_millis() as u64);
        }
    });
    let folder = tempfile::tempdir()?;
    let limits = MachineLimits::default();
    let mut machine = Machine::start("edge-1", folder.path(), cluster.log_address, limits)?;
    machine.wait_ready().await?;
    record.line("the machine is ready");
    let started = Instant::now();
    let until = started + CALM_TIME + CROWD_TIME;
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        callers.spawn(call(machine.callers, number, started, until));
    }
    sleep(CALM_TIME).await;
    let crowd = has_trouble().then(|| open_crowd(machine.callers));
    if crowd.is_some() {
        record.line(&format!("{CLIENTS} clients send {REQUESTS_AHEAD} requests ahead each"));
    }
    while Instant::now() < until {
        cluster.publish_upstreams();
        let ready = machine.is_ready().await;
        record.line(&format!("the machine answers that it is ready: {ready}"));
        sleep(HEARTBEAT).await;
    }
    let mut calls: Vec<Call> = callers.join_all().await.into_iter().flatten().collect();
    calls.sort_by_key(|call| call.sent_at);
    record.line(&format!("the process ended: {}", machine.ended().is_some()));
    let commands = cluster.upstreams.iter().flat_map(|server| server.executed_requests());
    let ran = commands.filter(|request| request.path.starts_with("/command/")).count();
    record.line(&format!("the server ran {ran} commands"));
    Ok(judge(&mut record, &calls))
}

/// Opens the connections of the crowd, which stay until the set is dropped.
fn open_crowd(machine: SocketAddr) -> JoinSet<()> {
    let bytes = Arc::new(SENT_AHEAD.repeat(REQUESTS_AHEAD).into_bytes());
    let mut crowd = JoinSet::new();
    for _ in 0..CLIENTS {
        let bytes = Arc::clone(&bytes);
        crowd.spawn(async move {
            let Ok(mut stream) = TcpStream::connect(machine).await else {
                return;
            };
            // An error is a refusal, which is allowed.
            let _ = stream.write_all(&bytes).await;
            std::future::pending::<()>().await;
        });
    }
    crowd
}

/// Sends commands over new connections, one after the other.
async fn call(machine: SocketAddr, number: u64, started: Instant, until: Instant) -> Vec<Call> {
    let mut calls = Vec::new();
    sleep_until(started + CALLER_PAUSE.mul_f64(number as f64 / CALLERS as f64)).await;
    while Instant::now() + DEADLINE < until {
        let id = number << 32 | calls.len() as u64;
        let request = format!(
            "POST /command/{id:x} HTTP/1.1\r\nhost: site.example\r\nkey: key-one\r\n\
             request-id: {id:016x}\r\ndeadline-ms: 1500\r\ncontent-length: 4\r\n\r\nbody"
        );
        let sent = Instant::now();
        let answer = exchange(machine, request.as_bytes(), DEADLINE).await;
        let status = if answer.whole { answer.status } else { 0 };
        calls.push(Call { sent_at: sent - started, status, took: sent.elapsed() });
        sleep(CALLER_PAUSE).await;
    }
    calls
}

/// Counts the requests without an answer at their route's timeout, and those of them without one half a
/// second later.
fn judge(record: &mut Record, calls: &[Call]) -> Verdict {
    for Call { sent_at, status, took } in calls {
        let (at, took) = (sent_at.as_millis(), took.as_millis());
        record.line(&format!("command sent at {at} ms: status {status}, {took} ms"));
    }
    let is_late = |call: &&Call, limit: Duration| call.status == 0 || call.took > limit;
    let late = calls.iter().filter(|call| is_late(call, ROUTE_TIMEOUT)).count();
    let unanswered =
        calls.iter().filter(|call| is_late(call, ROUTE_TIMEOUT + ANSWER_MARGIN)).count();
    let all = calls.len();
    record.line(&format!(
        "of {all} commands {late} had no answer at the timeout, {unanswered} none 0.5 s later"
    ));
    let is_broken = unanswered >= MIN_LATE && unanswered * 2 > late;
    if is_broken { Verdict::Broken } else { Verdict::Held }
}
