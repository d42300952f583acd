//! Crowds of clients that do not keep to the limits: the process lives within its memory and its
//! descriptors, and an ordinary caller is answered while the crowd is still there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use carob_bench::config::api_key;
use carob_bench::{Client, Fleet, FleetOptions};
use carob_net::HttpClient;
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

/// Memory of the smallest vms.
const MAX_MEMORY_KIB: u64 = 120 << 10;
/// Descriptors of the process.
const DESCRIPTORS: u64 = 300;
/// Descriptors that the process leaves free while the crowd is there.
const FREE_DESCRIPTORS: usize = 20;
const MAX_BODY_BYTES: usize = 1 << 20;
/// Bytes by which a body stops short of its end.
const MISSING_BYTES: usize = 10;
/// Time for which a client of the crowd goes on to send; what it opened stays open.
const CROWD_TIME: Duration = Duration::from_secs(4);
/// Time for which the settings let a body arrive.
const WAIT_MS: u64 = 60_000;
const ATTEMPTS: usize = 6;
const ATTEMPT_TIME: Duration = Duration::from_secs(2);

/// One crowd at a time.
static ALONE: Mutex<()> = Mutex::const_new(());

/// What each client of a crowd sends.
#[derive(Clone, Copy, Debug)]
enum Crowd {
    /// Nothing.
    Nothing,
    /// The first half of a head.
    HalfHead,
    /// A body of legal size, short of its end.
    OnePiece,
    /// A body of legal size in chunks, short of its end.
    Chunks,
    /// Very many requests on one connection, whose answers are not read.
    Pipelined,
}

impl Crowd {
    fn clients(self) -> usize {
        match self {
            Crowd::Nothing | Crowd::HalfHead => 600,
            Crowd::OnePiece | Crowd::Chunks => 240,
            Crowd::Pipelined => 40,
        }
    }

    fn bytes(self, path: &str) -> Vec<u8> {
        let start = format!(
            "POST {path} HTTP/1.1\r\nhost: site.example\r\nauthorization: Bearer {}\r\n",
            api_key("apron")
        );
        let chunk = [b"4000\r\n".to_vec(), vec![b'x'; 0x4000], b"\r\n".to_vec()].concat();
        match self {
            Crowd::Nothing => Vec::new(),
            Crowd::HalfHead => start.into_bytes(),
            Crowd::OnePiece => {
                let head = format!("{start}content-length: {MAX_BODY_BYTES}\r\n\r\n").into_bytes();
                [head, vec![b'x'; MAX_BODY_BYTES - MISSING_BYTES]].concat()
            }
            Crowd::Chunks => {
                let head = format!("{start}transfer-encoding: chunked\r\n\r\n").into_bytes();
                [head, chunk.repeat(MAX_BODY_BYTES / 0x4000 - 1)].concat()
            }
            Crowd::Pipelined => {
                format!("{start}content-length: 4\r\n\r\nbody").repeat(400).into_bytes()
            }
        }
    }
}

/// Opens a connection and sends `bytes`; keeps the connection open.
async fn misbehave(address: SocketAddr, bytes: Arc<Vec<u8>>) -> std::io::Result<TcpStream> {
    let mut stream = tokio::time::timeout(CROWD_TIME, TcpStream::connect(address)).await??;
    // An error is a refusal, and silence a client that is not read; both are allowed.
    let _ = tokio::time::timeout(CROWD_TIME, stream.write_all(&bytes)).await;
    Ok(stream)
}

async fn open_crowd(address: SocketAddr, crowd: Crowd, path: &str) -> Vec<TcpStream> {
    let bytes = Arc::new(crowd.bytes(path));
    let mut clients = JoinSet::new();
    for _ in 0..crowd.clients() {
        clients.spawn(misbehave(address, Arc::clone(&bytes)));
    }
    clients.join_all().await.into_iter().flatten().collect()
}

fn peak_memory_kib(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn open_descriptors(id: u32) -> usize {
    std::fs::read_dir(format!("/proc/{id}/fd")).unwrap().count()
}

fn limit_descriptors(id: u32) {
    let limit = Rlimit { current: Some(DESCRIPTORS), maximum: Some(DESCRIPTORS) };
    prlimit(Pid::from_raw(id as i32), Resource::Nofile, limit).unwrap();
}

/// Reports whether an ordinary caller gets a response, and operators learn that the vm is ready.
async fn is_answered(fleet: &Fleet) -> bool {
    let client = Client::unpooled(&api_key("apron"));
    let (mut served, mut ready) = (false, false);
    for _ in 0..ATTEMPTS {
        let response = client.chat(fleet.caller_address(0), "planner", "hello", 3, false).await;
        served |= response.status == 200;
        let url = format!("http://{}/readyz", fleet.vms[0].admin_address);
        let asked = HttpClient::unpooled().get(&url, ATTEMPT_TIME).await;
        ready |= asked.is_ok_and(|response| response.status == 200);
        if served && ready {
            return true;
        }
    }
    false
}

async fn check(crowd: Crowd, to_admin: bool, path: &str) {
    let _alone = ALONE.lock().await;
    let settings = json!({
        "limits": { "body": MAX_BODY_BYTES }, "times": { "body": WAIT_MS },
    });
    let options = FleetOptions { vms: 1, settings, ..FleetOptions::default() };
    let mut fleet = Fleet::start(options).await.unwrap();
    let id = fleet.vms[0].process.id();
    limit_descriptors(id);
    let vm = &fleet.vms[0];
    let address = if to_admin { vm.admin_address } else { vm.caller_address };
    let clients = open_crowd(address, crowd, path).await;
    let before = open_descriptors(id);
    let answered = is_answered(&fleet).await;
    let (memory, open) = (peak_memory_kib(id), open_descriptors(id).max(before));
    let told = format!(
        "{crowd:?} at {path}: {} clients, {memory} KiB, {open} descriptors, answered: {answered}",
        clients.len()
    );
    assert!(!fleet.vms[0].process.has_exited(), "the process ended; {told}");
    assert!(memory <= MAX_MEMORY_KIB, "{told}");
    assert!(open <= DESCRIPTORS as usize - FREE_DESCRIPTORS, "{told}");
    assert!(answered, "{told}");
}

macro_rules! crowds {
    ($($name:ident: $crowd:ident, $to_admin:literal, $path:literal;)*) => {
        $(
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                check(Crowd::$crowd, $to_admin, $path).await;
            }
        )*
    };
}

crowds! {
    entry_connections_that_only_open: Nothing, false, "/v1/completions";
    entry_connections_that_only_open_where_operators_ask: Nothing, true, "/readyz";
    entry_heads_that_stop_half_way: HalfHead, false, "/v1/completions";
    entry_heads_that_stop_half_way_where_operators_ask: HalfHead, true, "/readyz";
    entry_bodies_in_one_piece_short_of_their_end: OnePiece, false, "/v1/completions";
    entry_bodies_in_one_piece_at_a_path_without_a_route: OnePiece, false, "/nowhere";
    entry_bodies_in_one_piece_where_operators_ask: OnePiece, true, "/readyz";
    entry_bodies_in_chunks_short_of_their_end: Chunks, false, "/v1/completions";
    entry_bodies_in_chunks_at_a_path_without_a_route: Chunks, false, "/nowhere";
    entry_bodies_in_chunks_where_operators_ask: Chunks, true, "/readyz";
    entry_requests_sent_ahead: Pipelined, false, "/v1/completions";
    entry_requests_sent_ahead_at_a_path_without_a_route: Pipelined, false, "/nowhere";
    entry_requests_sent_ahead_where_operators_ask: Pipelined, true, "/readyz";
}
