//! Crowds of clients send one body of legal size each to a path without a route, and stay connected.
//! The platform kills a process that takes more memory than its machine has.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use carob_platform_lab::{FakeUpstream, TestCluster};
use eyre::{Result, eyre};
use review_lab_2::{Machine, MachineLimits, Record, Verdict, exchange, exchange_on, has_trouble};
use serde_json::json;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// The longest body that the small deployments allow.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Body of each client of a crowd.
const BODY_BYTES: usize = 150_000;
/// Clients of a crowd; a machine has 4,100 descriptors.
const CLIENTS: usize = 2400;
/// Clients that send at once.
const SENDERS: usize = 400;
const CLIENT_LIMIT: Duration = Duration::from_secs(10);
/// Time from the start of a crowd until it leaves.
const CROWD_TIME: Duration = Duration::from_secs(8);
/// Interval at which the platform looks at the memory of a process.
const MEMORY_INTERVAL: Duration = Duration::from_millis(20);
/// Pause until the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const CALLER_INTERVAL: Duration = Duration::from_millis(100);
const CALLER_DEADLINE: Duration = Duration::from_secs(2);
/// Crowds at each machine, and the ends of processes at each that the rule does not allow.
const ROUNDS: usize = 3;
const KIB_PER_MB: u64 = 1024;

#[tokio::main]
async fn main() -> ExitCode {
    Verdict::exit_code(run().await)
}

async fn run() -> Result<Verdict> {
    let folder =
        std::env::args().nth(1).ok_or_else(|| eyre!("the folder of the case is missing"))?;
    let mut record = Record::create(&Path::new(&folder).join("record.txt"))?;
    let limits = MachineLimits::default();
    let desk = FakeUpstream::start("desk-1", "desk", &[], 0)?;
    let mut cluster = TestCluster::new(vec![desk])?;
    cluster.publish_changed_config(&["key-one"], 0, |config| {
        config["limits"]["max_body_bytes"] = json!(MAX_BODY_BYTES);
    });
    let folder = tempfile::tempdir()?;
    let mut machines = Vec::new();
    for name in ["edge-1", "edge-2"] {
        let machine = Machine::start(name, folder.path(), cluster.log_address, limits)?;
        machine.wait_ready().await?;
        machines.push((name, machine, 0));
    }
    for round in 1..=ROUNDS {
        for (name, machine, ends) in &mut machines {
            cluster.publish_upstreams();
            let ended = play_round(&mut record, name, machine, limits).await?;
            *ends += usize::from(ended);
            record.line(&format!("{name}: round {round} ends, {ends} ends of the process so far"));
        }
    }
    let broken = machines.iter().all(|(_, _, ends)| *ends >= ROUNDS);
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}

/// Lets a crowd come to a machine beside an ordinary caller; reports whether the platform killed the
/// process.
async fn play_round(
    record: &mut Record,
    name: &str,
    machine: &mut Machine,
    limits: MachineLimits,
) -> Result<bool> {
    let ordinary = tokio::spawn(call_ordinarily(machine.callers));
    let crowd = has_trouble().then(|| tokio::spawn(gather_crowd(machine.callers)));
    let (ended, most) = watch_memory(machine, limits).await;
    if ended {
        record.line(&format!("{name}: the platform killed the process for its memory"));
        sleep(RESTART_DELAY).await;
        machine.start_again()?;
        machine.wait_ready().await?;
    }
    record.line(&format!("{name}: at most {most} KiB of {} KiB", limits.memory_mb * KIB_PER_MB));
    if let Some(crowd) = crowd {
        let (connected, answers) = crowd.await?;
        record
            .line(&format!("{name}: crowd of {connected} connected clients, answers {answers:?}"));
    }
    let (sent, served) = ordinary.await?;
    record.line(&format!("{name}: an ordinary caller sent {sent} requests, {served} were served"));
    Ok(ended)
}

/// Looks at the memory of a process while the crowd is there, and kills it over the limit. Returns
/// whether it was killed, and its largest memory in KiB.
async fn watch_memory(machine: &mut Machine, limits: MachineLimits) -> (bool, u64) {
    let until = Instant::now() + CROWD_TIME;
    let mut most = 0;
    while Instant::now() < until {
        let memory = resident_kib(machine.id());
        most = most.max(memory);
        if memory > limits.memory_mb * KIB_PER_MB {
            machine.kill();
            return (true, most);
        }
        sleep(MEMORY_INTERVAL).await;
    }
    (false, most)
}

fn resident_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// Connects the clients of a crowd, which stay until all of it leaves. Returns how many were
/// connected, and how many got which status.
async fn gather_crowd(machine: SocketAddr) -> (usize, Vec<(u16, usize)>) {
    let leaves_at = Instant::now() + CROWD_TIME;
    let senders = Arc::new(Semaphore::new(SENDERS));
    let request = Arc::new(crowd_request());
    let mut clients = JoinSet::new();
    for _ in 0..CLIENTS {
        clients.spawn(send_body(machine, Arc::clone(&request), Arc::clone(&senders)));
    }
    let ended: Vec<(Option<TcpStream>, u16)> = clients.join_all().await;
    tokio::time::sleep_until(leaves_at).await;
    let connected = ended.iter().filter(|(stream, _)| stream.is_some()).count();
    let mut statuses: Vec<u16> = ended.iter().map(|(_, status)| *status).collect();
    statuses.sort_unstable();
    let counted = statuses.chunk_by(|a, b| a == b).map(|same| (same[0], same.len()));
    (connected, counted.collect())
}

fn crowd_request() -> Vec<u8> {
    let head = format!(
        "POST /nowhere/a HTTP/1.1\r\nhost: site.example\r\nrequest-id: 00000000000000c0\r\n\
         deadline-ms: 4000\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    [head.into_bytes(), vec![b'x'; BODY_BYTES]].concat()
}

/// Sends a body over a new connection and keeps it; returns the status of the answer, 0 without one.
async fn send_body(
    machine: SocketAddr,
    request: Arc<Vec<u8>>,
    senders: Arc<Semaphore>,
) -> (Option<TcpStream>, u16) {
    let _permit = senders.acquire().await;
    let Ok(mut stream) = TcpStream::connect(machine).await else {
        return (None, 0);
    };
    let answer = exchange_on(&mut stream, &request, CLIENT_LIMIT).await;
    (Some(stream), answer.status)
}

/// Sends ordinary requests while a crowd is there; returns how many were sent and how many were
/// served.
async fn call_ordinarily(machine: SocketAddr) -> (usize, usize) {
    let until = Instant::now() + CROWD_TIME;
    let (mut sent, mut served) = (0, 0);
    while Instant::now() < until {
        let request = format!(
            "GET /read/a HTTP/1.1\r\nhost: site.example\r\nkey: key-one\r\n\
             request-id: {sent:016x}\r\ndeadline-ms: 2000\r\n\r\n"
        );
        let answer = exchange(machine, request.as_bytes(), CALLER_DEADLINE).await;
        sent += 1;
        served += usize::from(answer.status == 200);
        sleep(CALLER_INTERVAL).await;
    }
    (sent, served)
}
