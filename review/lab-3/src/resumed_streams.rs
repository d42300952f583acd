//! Streams that clients take up at other machines while their machine is frozen and a release begins.

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
/// Servers of the version that serves at first.
const OLD_SERVERS: usize = 3;
/// Events of each stream; the site has up to 45.
const EVENTS: u64 = 45;
/// Streams that clients begin at the machine that freezes.
const STREAMS: usize = 24;
/// Events that a client has read when its stream stops.
const EVENTS_BEFORE: usize = 8;
/// Deadline of a `stand-plan` request.
const DEADLINE: Duration = Duration::from_millis(5000);
/// Gap after which a client abandons a stream: the longest of two seconds, four times the objective of
/// 800 ms and eight times the pause of 400 ms.
const ABANDON_GAP: Duration = Duration::from_millis(3200);
/// Length of the freeze; the site has up to 4 s.
const FREEZE_TIME: Duration = Duration::from_millis(4000);
/// Time from the freeze until the first new server of the release is listed.
const RELEASE_DELAY: Duration = Duration::from_millis(500);
/// Calm time before all that, longer than `contact_ms`.
const CALM_TIME: Duration = Duration::from_secs(6);
/// Interval of the servers' heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Fewest resumptions that are judged.
const MIN_RESUMED: usize = 12;

/// What became of a stream that a client took up, or of a new one.
struct Outcome {
    label: String,
    goes_on: bool,
    text: String,
}

/// Runs the case; returns whether the streams that were taken up went on.
///
/// # Errors
///
/// When a program or a stand-in does not start, or too few streams were begun.
pub async fn run(trouble: bool, record: &mut Record) -> Result<bool> {
    let folder = tempfile::tempdir()?;
    let mut servers = vec![FakeUpstream::start("desk-1", "desk", &[], 0)?];
    for number in 1..=OLD_SERVERS {
        servers.push(FakeUpstream::start(&format!("old-{number}"), "engines", &["large"], EVENTS)?);
    }
    let mut cluster = TestCluster::new(servers)?;
    let mut edges = Vec::new();
    for number in 1..=MACHINES {
        let name = format!("edge-{number}");
        edges
            .push(Edge::start(folder.path(), &name, "rennes", cluster.log_address, MACHINE).await?);
    }
    beat(&mut cluster, CALM_TIME).await;
    record.line(format!("{MACHINES} machines, {OLD_SERVERS} servers of version v1; {STREAMS} streams begin at edge-1"));
    let (first, others) =
        (edges[0].clients, edges[1..].iter().map(|edge| edge.clients).collect::<Vec<_>>());
    let begun = begin_streams(first).await;
    if begun.len() < MIN_RESUMED {
        bail!("only {} streams began", begun.len());
    }
    let frozen_at = Instant::now();
    if trouble {
        edges[0].signal("STOP")?;
        record.line("edge-1 is frozen");
    } else {
        record.line("edge-1 goes on; the clients close their connections");
    }
    let mut taken_up = JoinSet::new();
    for (number, stream) in begun.into_iter().enumerate() {
        taken_up.spawn(take_up(stream, others[number % others.len()], trouble, frozen_at));
    }
    tokio::time::sleep(RELEASE_DELAY).await;
    cluster
        .upstreams
        .push(FakeUpstream::start("new-1", "engines", &[], EVENTS)?.with_version("v2"));
    cluster.publish_upstreams();
    record.line("a server of version v2 is listed");
    beat(&mut cluster, ABANDON_GAP.saturating_sub(frozen_at.elapsed())).await;
    let fresh = begin_new(&others);
    let (resumed, fresh) = tokio::join!(taken_up.join_all(), fresh);
    tokio::time::sleep(FREEZE_TIME.saturating_sub(frozen_at.elapsed())).await;
    if trouble {
        edges[0].signal("CONT")?;
        record.line("edge-1 wakes");
    }
    Ok(judge(&resumed, &fresh, record))
}

/// Lets the servers write to the list for `time`.
async fn beat(cluster: &mut TestCluster, time: Duration) {
    let begin = Instant::now();
    while begin.elapsed() < time {
        cluster.publish_upstreams();
        tokio::time::sleep(HEARTBEAT.min(time.saturating_sub(begin.elapsed()))).await;
    }
}

/// A stream of which a client has the first events.
struct BegunStream {
    request: StreamRequest,
    answer: StreamAnswer,
    begun_at: Instant,
}

fn new_request(label: &str, number: usize) -> StreamRequest {
    let id = format!("{label}{number:08x}");
    let prompt = format!("a1:300,{id}:100");
    StreamRequest { path: "/plan/a".to_owned(), id, deadline: DEADLINE, prompt, resumes: None }
}

async fn begin_streams(address: SocketAddr) -> Vec<BegunStream> {
    let mut streams = JoinSet::new();
    for number in 0..STREAMS {
        streams.spawn(async move {
            let (request, begun_at) = (new_request("a", number), Instant::now());
            let mut answer = StreamAnswer::open(address, &request).await.ok()?;
            let end = answer.read(ABANDON_GAP, EVENTS_BEFORE).await;
            (end == StreamEnd::Enough).then_some(BegunStream { request, answer, begun_at })
        });
    }
    streams.join_all().await.into_iter().flatten().collect()
}

/// Reads on until the stream is silent for too long, and takes it up at `address`.
async fn take_up(
    stream: BegunStream,
    address: SocketAddr,
    trouble: bool,
    stopped_at: Instant,
) -> Option<Outcome> {
    let BegunStream { request, mut answer, begun_at } = stream;
    let ids = if trouble {
        let end = answer.read(ABANDON_GAP, usize::MAX).await;
        if end == StreamEnd::Whole {
            return None;
        }
        answer.ids()
    } else {
        let ids = answer.ids();
        drop(answer);
        tokio::time::sleep(ABANDON_GAP.saturating_sub(stopped_at.elapsed())).await;
        ids
    };
    let last = ids.last().copied().unwrap_or(0);
    let again = StreamRequest {
        id: format!("f{}", request.id),
        deadline: DEADLINE.saturating_sub(begun_at.elapsed()),
        resumes: Some((last, request.id.clone())),
        ..request
    };
    let expected: Vec<u64> = (last + 1..=EVENTS).collect();
    Some(outcome(&again, address, &expected).await)
}

/// Begins new streams at the machines that are in touch.
async fn begin_new(addresses: &[SocketAddr]) -> Vec<Outcome> {
    let mut streams = JoinSet::new();
    for number in 0..STREAMS {
        let address = addresses[number % addresses.len()];
        streams.spawn(async move {
            let expected: Vec<u64> = (1..=EVENTS).collect();
            outcome(&new_request("c", number), address, &expected).await
        });
    }
    streams.join_all().await
}

async fn outcome(request: &StreamRequest, address: SocketAddr, expected: &[u64]) -> Outcome {
    let resumes = request
        .resumes
        .as_ref()
        .map_or(String::new(), |(last, id)| format!(", resumes {id} after event {last}"));
    let label = format!("{}{resumes}, {} ms left", request.id, request.deadline.as_millis());
    let Ok(mut answer) = StreamAnswer::open(address, request).await else {
        return Outcome { label, goes_on: false, text: "no connection".to_owned() };
    };
    let end = answer.read(ABANDON_GAP, usize::MAX).await;
    let ids = answer.ids();
    let status = answer.status().map_or("no answer".to_owned(), |status| status.to_string());
    let text = format!("{status}, {} events of {:?}, {end:?}", ids.len(), answer.versions());
    Outcome { label, goes_on: !ids.is_empty() && ids.first() == expected.first(), text }
}

/// Applies the rule: of 12 or more streams that clients take up, the share that goes on is at least half
/// of the share of new streams that begin.
fn judge(resumed: &[Option<Outcome>], fresh: &[Outcome], record: &mut Record) -> bool {
    let resumed: Vec<&Outcome> = resumed.iter().flatten().collect();
    for (kind, outcomes) in [("taken up", &resumed), ("new", &fresh.iter().collect::<Vec<_>>())] {
        for outcome in outcomes.iter() {
            record.line(format!("{kind}: {}: {}", outcome.label, outcome.text));
        }
    }
    let count = |outcomes: &[&Outcome]| outcomes.iter().filter(|outcome| outcome.goes_on).count();
    let (went_on, begun) = (count(&resumed), count(&fresh.iter().collect::<Vec<_>>()));
    record.line(format!(
        "{went_on} of {} streams that were taken up went on; {begun} of {} new streams began",
        resumed.len(),
        fresh.len()
    ));
    let share = |part: usize, whole: usize| part as f64 / whole.max(1) as f64;
    resumed.len() < MIN_RESUMED || share(went_on, resumed.len()) >= share(begun, fresh.len()) / 2.0
}
