//! Clients that send requests ahead on one connection and do not read the answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use carob_platform_lab::{FakeUpstream, TestCluster};
use eyre::Result;
use serde_json::json;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;

use crate::fleet::{Edge, Machine, status_of};
use crate::record::Record;

/// The smallest machine of `demands/alr-carobglade-grown.toml`.
const MACHINE: Machine = Machine { share: 0.09, memory: 120, descriptors: 3075 };
/// Clients of the crowd.
const CLIENTS: usize = 1200;
/// Requests that each client sends ahead.
const REQUESTS: usize = 12;
/// Length of each request's path; the head stays below `max_header_bytes`.
const PATH_BYTES: usize = 15_000;
/// Limits of the configuration, as `fleetbench wire` shows them for the site.
const MAX_HEADER_BYTES: u64 = 16_384;
const MAX_BODY_BYTES: u64 = 4 << 20;
/// Segment size of a client at the other end of an Ethernet link.
const SEGMENT_BYTES: u32 = 1448;
/// Receive buffer of a client that reads nothing.
const SMALL_BUFFER_BYTES: u32 = 4096;
/// Time before the crowd comes.
const CALM_TIME: Duration = Duration::from_secs(3);
/// Time for which the crowd stays.
const CROWD_TIME: Duration = Duration::from_secs(12);
/// Time for which the memory is watched after that.
const REST_TIME: Duration = Duration::from_secs(3);
/// Interval at which the platform looks at the memory of the process.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two requests of the ordinary client.
const ORDINARY_INTERVAL: Duration = Duration::from_millis(250);
const ORDINARY_TIME: Duration = Duration::from_secs(4);

/// Runs the case; returns whether the process lived within the memory of its machine.
///
/// # Errors
///
/// When a program or a stand-in does not start.
pub async fn run(trouble: bool, record: &mut Record) -> Result<bool> {
    let folder = tempfile::tempdir()?;
    let desk = FakeUpstream::start("desk-1", "desk", &[], 0)?;
    let mut cluster = TestCluster::new(vec![desk])?;
    cluster.publish_changed_config(&["key-one"], 0, |config| {
        config["limits"]["max_header_bytes"] = json!(MAX_HEADER_BYTES);
        config["limits"]["max_body_bytes"] = json!(MAX_BODY_BYTES);
    });
    let mut edge =
        Edge::start(folder.path(), "edge-1", "rennes", cluster.log_address, MACHINE).await?;
    let address = edge.clients;
    let kind = if trouble { "send ahead and read nothing" } else { "read each answer" };
    record.line(format!("machine: {MACHINE:?}; {CLIENTS} clients that {kind}"));
    record.line(format!("memory at the start: {} KiB", edge.memory_kib("VmRSS").unwrap_or(0)));
    let ordinary = tokio::spawn(ordinary_client(address, CALM_TIME + CROWD_TIME + REST_TIME));
    tokio::time::sleep(CALM_TIME).await;
    let crowd = tokio::spawn(crowd(address, trouble));
    let held = watch(&mut edge, record).await;
    crowd.abort();
    for (at, answer) in ordinary.await? {
        record.line(format!("ordinary request sent at {:.2} s: {answer}", at.as_secs_f64()));
    }
    record.line(format!(
        "requests run by the server: {}",
        cluster.upstreams[0].executed_requests().len()
    ));
    Ok(held)
}

/// Does what the platform does: a process that exceeds its memory is killed. Returns whether the process
/// lived to the end.
async fn watch(edge: &mut Edge, record: &mut Record) -> bool {
    let begin = Instant::now();
    let mut peak = 0;
    while begin.elapsed() < CROWD_TIME + REST_TIME {
        let Some(resident) = edge.memory_kib("VmRSS") else {
            record.line(format!("the process ended by itself; peak {peak} KiB"));
            return false;
        };
        peak = peak.max(resident);
        if resident > MACHINE.memory << 10 {
            let after = begin.elapsed().as_millis();
            record.line(format!(
                "{after} ms after the crowd began, the process takes {resident} KiB of {} KiB: the platform kills it",
                MACHINE.memory << 10
            ));
            edge.kill();
            return false;
        }
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
    record.line(format!("the process lived; peak {peak} KiB of {} KiB", MACHINE.memory << 10));
    true
}

async fn crowd(address: SocketAddr, trouble: bool) {
    let path = "x".repeat(PATH_BYTES);
    let request = format!(
        "GET /nowhere/{path} HTTP/1.1\r\nhost: site.example\r\nkey: key-one\r\nrequest-id: 1\r\n\r\n"
    );
    let request = Arc::new(request);
    let mut clients = JoinSet::new();
    for _ in 0..CLIENTS {
        let request = Arc::clone(&request);
        clients.spawn(async move {
            let ended = match trouble {
                true => send_ahead(address, &request).await,
                false => send_in_turn(address, &request).await,
            };
            // A refusal or a closed connection is allowed.
            drop(ended);
        });
    }
    clients.join_all().await;
}

/// Sends all requests at once, and keeps the connection open without reading.
async fn send_ahead(address: SocketAddr, request: &str) -> std::io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(SMALL_BUFFER_BYTES)?;
    SockRef::from(&socket).set_tcp_mss(SEGMENT_BYTES)?;
    let mut stream = socket.connect(address).await?;
    let sending = async {
        for _ in 0..REQUESTS {
            stream.write_all(request.as_bytes()).await?;
        }
        std::io::Result::Ok(())
    };
    // The rest waits until the process reads on.
    let _ = tokio::time::timeout(CROWD_TIME, sending).await;
    tokio::time::sleep(CROWD_TIME).await;
    Ok(())
}

/// Sends the same requests, each once the answer before was read, and keeps the connection open.
async fn send_in_turn(address: SocketAddr, request: &str) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    for _ in 0..REQUESTS {
        stream.write_all(request.as_bytes()).await?;
        read_answer(&mut stream).await?;
    }
    tokio::time::sleep(CROWD_TIME).await;
    Ok(())
}

/// Reads an answer with a length.
async fn read_answer(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut text = Vec::new();
    loop {
        let mut buf = [0; 4096];
        let len = stream.read(&mut buf).await?;
        if len == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        text.extend_from_slice(&buf[..len]);
        let Some(end) = text.windows(4).position(|window| window == b"\r\n\r\n") else {
            continue;
        };
        let head = String::from_utf8_lossy(&text[..end]).to_ascii_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
        let length: usize = length.and_then(|value| value.trim().parse().ok()).unwrap_or(0);
        if text.len() >= end + 4 + length {
            return Ok(());
        }
    }
}

/// Sends a request now and then over a connection of its own; returns when, and what came back.
async fn ordinary_client(address: SocketAddr, time: Duration) -> Vec<(Duration, String)> {
    let (begin, mut answers) = (Instant::now(), Vec::new());
    while begin.elapsed() < time {
        let at = begin.elapsed();
        let request = format!(
            "GET /read/a HTTP/1.1\r\nhost: site.example\r\nkey: key-one\r\ndeadline-ms: 4000\r\nrequest-id: {:x}\r\n\r\n",
            at.as_micros()
        );
        let sent = tokio::time::timeout(ORDINARY_TIME, status_of(address, &request)).await;
        let answer = match sent {
            Ok(Ok(status)) => status.to_string(),
            Ok(Err(err)) => format!("no answer: {err}"),
            Err(_) => "no answer in time".to_owned(),
        };
        answers.push((at, answer));
        tokio::time::sleep(ORDINARY_INTERVAL).await;
    }
    answers
}
