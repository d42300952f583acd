//! A key that was withdrawn, at a machine that starts again after the store came back from a copy.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use carob_platform_lab::{FakeUpstream, LogAvailability, TestCluster};
use eyre::{Result, bail};

use crate::fleet::{Edge, Machine, status_of};
use crate::record::Record;

/// A machine of `sites/gates-breizh.toml`.
const MACHINE: Machine = Machine { share: 0.25, memory: 260, descriptors: 4100 };
/// Calm time at the start, longer than `contact_ms`.
const CALM_TIME: Duration = Duration::from_secs(4);
/// Time from the copy to the configuration that withdraws the key.
const COPY_LEAD: Duration = Duration::from_millis(1000);
/// `revoke_ms` of the site.
const REVOKE_TIME: Duration = Duration::from_millis(5000);
/// Time from the acknowledgement of that configuration until the store is away.
const DRILL_AT: Duration = Duration::from_millis(5200);
/// Time for which the store is away.
const AWAY_TIME: Duration = Duration::from_millis(500);
/// Time from the store's return until a machine that was killed meanwhile runs again.
const RESTART_DELAY: Duration = Duration::from_millis(100);
/// Time from the store's return until the operator and the servers have written again.
const REWRITE_DELAY: Duration = Duration::from_millis(1000);
/// Time for which requests go on after that.
const REST_TIME: Duration = Duration::from_secs(2);
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const REQUEST_TIME: Duration = Duration::from_millis(1500);
const KEPT_KEY: &str = "key-one";
const WITHDRAWN_KEY: &str = "key-two";

/// Runs the case; returns whether no request with the withdrawn key ran too late.
///
/// # Errors
///
/// When a program or a stand-in does not start, or the key is not withdrawn at all.
pub async fn run(trouble: bool, record: &mut Record) -> Result<bool> {
    let folder = tempfile::tempdir()?;
    let mut cluster = TestCluster::new(vec![FakeUpstream::start("desk-1", "desk", &[], 0)?])?;
    let store = cluster.log_address;
    let mut first = Edge::start(folder.path(), "edge-1", "rennes", store, MACHINE).await?;
    let second = Edge::start(folder.path(), "edge-2", "rennes", store, MACHINE).await?;
    tokio::time::sleep(CALM_TIME).await;
    let copy = cluster.log.copy();
    tokio::time::sleep(COPY_LEAD).await;
    let acknowledged = Instant::now();
    cluster.publish_config(&[KEPT_KEY], 0);
    record.line("the store acknowledged the configuration without key-two");
    let config = cluster.config_json(&[KEPT_KEY], 0).to_string();
    tokio::time::sleep(REVOKE_TIME.saturating_sub(acknowledged.elapsed())).await;
    for (name, edge) in [("edge-1", &first), ("edge-2", &second)] {
        let status = send(edge.clients, WITHDRAWN_KEY, "early").await;
        record.line(format!("key-two at {name}, 5 s after that: {status}"));
        if status != "401" {
            bail!("the key is not withdrawn");
        }
    }
    let mut sent = Vec::new();
    if trouble {
        tokio::time::sleep(DRILL_AT.saturating_sub(acknowledged.elapsed())).await;
        first.kill();
        record.line("edge-1 is killed; the store is away");
        cluster.log.set_availability(LogAvailability::Unavailable);
        tokio::time::sleep(AWAY_TIME).await;
        cluster.log.come_back_from(copy);
        cluster.log.set_availability(LogAvailability::Available);
        let returned = Instant::now();
        record.line("the store is back from the copy, with the next Store-Era");
        tokio::time::sleep(RESTART_DELAY).await;
        first.restart(folder.path()).await?;
        record.line("edge-1 runs again and is ready");
        request_until(&first, &second, returned + REWRITE_DELAY, &mut sent).await;
        cluster.log.put("keyed.op", "config", config.as_bytes());
        cluster.publish_upstreams();
        record.line("the operator and the servers have written again");
    }
    request_until(&first, &second, Instant::now() + REST_TIME, &mut sent).await;
    Ok(judge(&cluster, acknowledged, &sent, record))
}

/// A request with the withdrawn key.
struct Sent {
    id: String,
    at: Instant,
    answer: String,
}

async fn request_until(first: &Edge, second: &Edge, until: Instant, sent: &mut Vec<Sent>) {
    while Instant::now() < until {
        for (name, edge) in [("edge-1", first), ("edge-2", second)] {
            let (id, at) = (format!("{name}-{}", sent.len()), Instant::now());
            let answer = send(edge.clients, WITHDRAWN_KEY, &id).await;
            sent.push(Sent { id, at, answer });
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
}

async fn send(address: SocketAddr, key: &str, id: &str) -> String {
    let request = format!(
        "GET /read/a HTTP/1.1\r\nhost: site.example\r\nkey: {key}\r\nrequest-id: {id}\r\ndeadline-ms: 1500\r\n\r\n"
    );
    match tokio::time::timeout(REQUEST_TIME, status_of(address, &request)).await {
        Ok(Ok(status)) => status.to_string(),
        Ok(Err(err)) => err.to_string(),
        Err(_) => "no answer in time".to_owned(),
    }
}

/// Applies the rule: no request runs that was sent later than `revoke_ms` after the acknowledgement.
fn judge(cluster: &TestCluster, acknowledged: Instant, sent: &[Sent], record: &mut Record) -> bool {
    let executed = cluster.upstreams[0].executed_requests();
    let ids: Vec<&str> = executed
        .iter()
        .filter_map(|request| request.headers.get("request-id")?.to_str().ok())
        .collect();
    let mut late = 0;
    for request in sent {
        let after = request.at.saturating_duration_since(acknowledged);
        let ran = ids.contains(&request.id.as_str());
        late += usize::from(ran && after > REVOKE_TIME);
        record.line(format!(
            "{} sent {} ms after the acknowledgement: {}{}",
            request.id,
            after.as_millis(),
            request.answer,
            if ran { ", run by the server" } else { "" }
        ));
    }
    record.line(format!("{late} of {} requests with the withdrawn key ran too late", sent.len()));
    late == 0
}
