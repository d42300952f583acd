//! A part of long prompts that crashes servers, and the sound requests that share all other parts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use carob_platform_lab::{FakeUpstream, TestCluster};
use eyre::{Result, bail};
use tokio::task::JoinSet;

use crate::fleet::{Edge, Machine};
use crate::record::Record;
use crate::stream_client::{StreamAnswer, StreamEnd, StreamRequest};

/// A machine of `sites/gates-breizh.toml`.
const MACHINE: Machine = Machine { share: 0.25, memory: 260, descriptors: 4100 };
const MACHINES: usize = 4;
const SERVERS: usize = 9;
const EVENTS: u64 = 11;
/// Parts that all requests share, in front of the one that crashes servers or its sound counterpart.
const SHARED_PARTS: usize = 17;
/// Tokens of each of these parts: 568 together, as on the sheet.
const SHARED_TOKENS: usize = 33;
const DEADLY_PART: &str = "dead0001";
const SOUND_PART: &str = "50d00001";
/// Time until a crashed server is back.
const DOWN_TIME: Duration = Duration::from_secs(3);
/// `contact_ms` of the site.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time before the first deadly request.
const CALM_TIME: Duration = Duration::from_secs(5);
/// Time for which deadly requests come.
const DEADLY_TIME: Duration = Duration::from_secs(25);
/// Crash from which the time of the rule counts.
const COUNTED_CRASH: usize = 5;
/// Requests with the part that may reach servers later.
const MAX_LATE: usize = 3;
const SOUND_INTERVAL: Duration = Duration::from_millis(100);
/// Deadly requests come more rarely than sound ones.
const DEADLY_INTERVAL: Duration = Duration::from_millis(700);
const HEARTBEAT: Duration = Duration::from_millis(1200);
const TICK: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_millis(5000);
const GAP: Duration = Duration::from_millis(3200);
/// A request that was sent and what became of it.
struct Outcome {
    at: Instant,
    deadly: bool,
    began: bool,
    text: String,
}

/// What happened at the servers.
struct Seen {
    begin: Instant,
    /// When servers crashed.
    crashes: Vec<Instant>,
    /// When requests with the deadly part reached servers.
    arrivals: Vec<Instant>,
}

/// Runs the case; returns whether the deadly part was kept from servers.
///
/// # Errors
///
/// When a program or a stand-in does not start.
pub async fn run(trouble: bool, record: &mut Record) -> Result<bool> {
    let shared: usize =
        std::env::var("PARTS").ok().and_then(|parts| parts.parse().ok()).unwrap_or(SHARED_PARTS);
    let folder = tempfile::tempdir()?;
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        let server =
            FakeUpstream::start(&format!("engine-{number}"), "engines", &["large"], EVENTS)?;
        server.set_deadly_part(DEADLY_PART, DOWN_TIME);
        servers.push(server);
    }
    let cluster = TestCluster::new(servers)?;
    let mut edges = Vec::new();
    for number in 1..=MACHINES {
        let name = format!("edge-{number}");
        edges
            .push(Edge::start(folder.path(), &name, "rennes", cluster.log_address, MACHINE).await?);
    }
    let machines: Vec<SocketAddr> = edges.iter().map(|edge| edge.clients).collect();
    record.line(format!("{MACHINES} machines, {SERVERS} servers; each prompt has {shared} shared parts, one more and its own"));
    let (outcomes, seen) = send_all(&cluster, &machines, shared, trouble).await;
    if seen.crashes.is_empty() && trouble {
        bail!("no server crashed");
    }
    Ok(judge(&outcomes, &seen, record))
}

/// Sends sound requests all the time, and deadly ones after the calm. Returns what became of them, and what
/// happened at the servers.
async fn send_all(
    cluster: &TestCluster,
    machines: &[SocketAddr],
    shared: usize,
    trouble: bool,
) -> (Vec<Outcome>, Seen) {
    let begin = Instant::now();
    let (mut sound_at, mut deadly_at, mut beat_at) = (begin, begin + CALM_TIME, begin);
    let (mut number, mut sequence) = (0, 1);
    let mut sent = JoinSet::new();
    let mut seen = Seen { begin, crashes: Vec::new(), arrivals: Vec::new() };
    let mut down = [false; SERVERS];
    while begin.elapsed() < CALM_TIME + DEADLY_TIME {
        let now = Instant::now();
        let mut returned = false;
        for (server, was_down) in cluster.upstreams.iter().zip(&mut down) {
            let is_down = server.is_down();
            if is_down && !*was_down {
                seen.crashes.push(now);
            }
            returned |= *was_down && !is_down;
            *was_down = is_down;
        }
        let arrived: usize = cluster.upstreams.iter().map(FakeUpstream::deadly_arrivals).sum();
        seen.arrivals.resize(arrived, now);
        if now >= beat_at || returned {
            sequence += 1;
            beat(cluster, sequence);
            beat_at = now + HEARTBEAT;
        }
        if now >= sound_at {
            number += 1;
            sent.spawn(send(machines[number % machines.len()], number, shared, false));
            sound_at += SOUND_INTERVAL;
        }
        if trouble && now >= deadly_at {
            number += 1;
            sent.spawn(send(machines[number % machines.len()], number, shared, true));
            deadly_at += DEADLY_INTERVAL;
        }
        tokio::time::sleep(TICK).await;
    }
    let mut outcomes = sent.join_all().await;
    outcomes.sort_by_key(|outcome| outcome.at);
    (outcomes, seen)
}

/// Lets the servers that are up write to the list.
fn beat(cluster: &TestCluster, sequence: u64) {
    for server in cluster.upstreams.iter().filter(|server| !server.is_down()) {
        let entry = server.list_entry(false, sequence).to_string();
        cluster.log.put("keyed.servers", &server.id, entry.as_bytes());
    }
}

/// Returns the parts of a prompt: the shared ones, the deadly one or a sound one, and its own.
fn prompt(number: usize, shared: usize, deadly: bool) -> String {
    let last = if deadly { DEADLY_PART } else { SOUND_PART };
    let parts: Vec<String> =
        (0..shared).map(|part| format!("{:08x}:{SHARED_TOKENS}", 0xc000 + part)).collect();
    format!("{},{last}:100,{number:08x}:300", parts.join(","))
}

async fn send(address: SocketAddr, number: usize, shared: usize, deadly: bool) -> Outcome {
    let at = Instant::now();
    let request = StreamRequest {
        path: if number.is_multiple_of(2) { "/plan/a" } else { "/draft/a" }.to_owned(),
        id: format!("{number:08x}"),
        deadline: DEADLINE,
        prompt: prompt(number, shared, deadly),
        resumes: None,
    };
    let Ok(mut answer) = StreamAnswer::open(address, &request).await else {
        return Outcome { at, deadly, began: false, text: "no connection".to_owned() };
    };
    let end = answer.read(GAP, usize::MAX).await;
    let began = !answer.ids().is_empty();
    let status = answer.status().map_or("no answer".to_owned(), |status| status.to_string());
    let end = if end == StreamEnd::Whole { "whole" } else { "not whole" };
    Outcome { at, deadly, began, text: format!("{status}, {} events, {end}", answer.ids().len()) }
}

/// Applies the rule: later than `contact_ms` after the fifth crash, at most three requests with the part
/// reach servers.
fn judge(outcomes: &[Outcome], seen: &Seen, record: &mut Record) -> bool {
    let millis = |at: Instant| at.saturating_duration_since(seen.begin).as_millis();
    for outcome in outcomes {
        let kind = if outcome.deadly { "deadly" } else { "sound" };
        record.line(format!("{kind} request sent at {} ms: {}", millis(outcome.at), outcome.text));
    }
    let list = |times: &[Instant]| times.iter().map(|at| millis(*at)).collect::<Vec<_>>();
    record.line(format!("crashes of servers at {:?} ms", list(&seen.crashes)));
    record.line(format!("requests with the part reached servers at {:?} ms", list(&seen.arrivals)));
    let sound = || outcomes.iter().filter(|outcome| !outcome.deadly && outcome.began);
    let cut = sound().filter(|outcome| outcome.text.ends_with("not whole")).count();
    record.line(format!("{cut} of {} sound streams that began were cut", sound().count()));
    let Some(counted) = seen.crashes.get(COUNTED_CRASH - 1) else {
        record.line(format!("{} crashes", seen.crashes.len()));
        return true;
    };
    let from = *counted + CONTACT_TIME;
    let late = seen.arrivals.iter().filter(|at| **at > from).count();
    record.line(format!(
        "{} crashes; {late} requests with the part reached servers later than {} ms",
        seen.crashes.len(),
        millis(from)
    ));
    late <= MAX_LATE
}
