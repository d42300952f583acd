//! CONFIG: a sound read is refused for good on a route that was added later, after servers have
//! dropped idle connections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use carob_net::{HttpClient, lock};
use review_lab::Result;
use review_lab::clients::{Call, new_id};
use review_lab::dropping_server::DroppingServer;
use review_lab::machine::Machine;
use review_lab::record::{Record, exit_code, has_trouble};
use review_lab::site::{HEARTBEAT, config};
use review_lab::store::{Endpoint, Store};
use serde_json::Value;

const SERVERS: [&str; 4] = ["i-1", "i-2", "i-3", "i-4"];
/// The read that several desks ask for at the same time, again and again.
const READ: &str = "/status/stand-7";
const DESKS: usize = 4;
const READ_INTERVAL: Duration = Duration::from_millis(1500);
/// Interval of the commands, each of which has a path of its own.
const COMMAND_INTERVAL: Duration = Duration::from_millis(250);
const DEADLINE: Duration = Duration::from_millis(1500);
/// Time of traffic on the first routes before the route `status` is added.
const FIRST_TIME: Duration = Duration::from_secs(3);
/// Time for which servers drop idle connections.
const DROP_TIME: Duration = Duration::from_secs(15);
/// `contact_ms`: after this time without any disruption the state is steady.
const CONTACT_TIME: Duration = Duration::from_millis(3000);
/// Time for which the steady state is watched.
const STEADY_TIME: Duration = Duration::from_secs(20);
/// Requests on later routes from which on the rule holds.
const MIN_REQUESTS: usize = 20;

/// A request as its client saw it.
struct Sent {
    path: String,
    at: Instant,
    status: u16,
    retry_after: String,
}

type Log = Arc<Mutex<Vec<Sent>>>;

async fn request(to: SocketAddr, client: HttpClient, path: String, log: Log) {
    let (id, at) = (new_id(), Instant::now());
    let call = Call { to, path: &path, id: &id, key: "key-one", deadline: DEADLINE, headers: &[] };
    let answer = call.send(&client).await;
    let status = answer.as_ref().map(|answer| answer.status).unwrap_or_default();
    let retry_after = answer
        .ok()
        .and_then(|answer| Some(answer.headers.get("retry-after")?.to_str().ok()?.to_owned()));
    let retry_after = retry_after.unwrap_or_default();
    lock(&log).push(Sent { path, at, status, retry_after });
}

/// Asks for the same read from several desks at each interval.
async fn read(to: SocketAddr, client: HttpClient, log: Log) {
    loop {
        for _ in 0..DESKS {
            tokio::spawn(request(to, client.clone(), READ.to_owned(), Arc::clone(&log)));
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}

async fn command(to: SocketAddr, client: HttpClient, log: Log) {
    loop {
        let path = format!("/assign/{}", new_id());
        tokio::spawn(request(to, client.clone(), path, Arc::clone(&log)));
        tokio::time::sleep(COMMAND_INTERVAL).await;
    }
}

/// Returns the configuration before the route `status` was added.
fn first_config() -> Value {
    let mut first = config(1, &["key-one"], 5000);
    if let Some(routes) = first["routes"].as_array_mut() {
        routes.retain(|route| route["name"] != "status");
    }
    first
}

struct Scenario {
    record: Record,
    store: Store,
    servers: Arc<Vec<DroppingServer>>,
    machine: Machine,
    _endpoint: Endpoint,
    log: Log,
}

impl Scenario {
    async fn start(folder: &Path) -> Result<Self> {
        let record = Record::open()?;
        let store = Store::default();
        let started: std::io::Result<Vec<DroppingServer>> =
            SERVERS.iter().map(|id| DroppingServer::start(id)).collect();
        let servers = Arc::new(started?);
        store.put("keyed.op", "config", &first_config());
        let (own, written) = (Arc::clone(&servers), store.clone());
        tokio::spawn(async move {
            loop {
                for server in own.iter() {
                    written.put("keyed.servers", &server.id, &server.next_entry());
                }
                tokio::time::sleep(HEARTBEAT).await;
            }
        });
        let endpoint = store.open()?;
        let mut machine = Machine::new("edge-rennes-1", endpoint.address, folder);
        machine.start(true)?;
        machine.wait_ready().await?;
        Ok(Scenario { record, store, servers, machine, _endpoint: endpoint, log: Log::default() })
    }

    fn set_drops(&self, drops: bool) {
        self.record.line(format!("servers drop idle connections: {drops}"));
        self.servers.iter().for_each(|server| server.set_drops(drops));
    }

    async fn run(&self) -> Result<usize> {
        let (to, client) = (self.machine.frontend, HttpClient::pooled());
        tokio::spawn(command(to, client.clone(), Arc::clone(&self.log)));
        tokio::time::sleep(FIRST_TIME).await;
        self.store.put("keyed.op", "config", &config(2, &["key-one"], 5000));
        self.record.line("a configuration with the route status is acknowledged");
        tokio::time::sleep(CONTACT_TIME).await;
        tokio::spawn(read(to, client, Arc::clone(&self.log)));
        self.set_drops(has_trouble());
        tokio::time::sleep(DROP_TIME).await;
        self.set_drops(false);
        tokio::time::sleep(CONTACT_TIME).await;
        let steady_at = Instant::now();
        tokio::time::sleep(STEADY_TIME).await;
        let until = Instant::now();
        tokio::time::sleep(DEADLINE).await;
        for server in self.servers.iter() {
            self.record.line(server.describe());
        }
        Ok(self.count_breaches(steady_at, until))
    }

    /// Returns the number of requests in the steady state that were not served on the later route, if
    /// they are served less than a quarter as often there as on the first routes, and 0 otherwise.
    fn count_breaches(&self, steady_at: Instant, until: Instant) -> usize {
        let mut log = lock(&self.log);
        log.sort_by_key(|sent| sent.at);
        let mut counts: BTreeMap<bool, (usize, usize)> = BTreeMap::new();
        for sent in log.iter() {
            let steady = sent.at >= steady_at && sent.at < until;
            let Sent { path, status, retry_after, .. } = sent;
            self.record.line(format!(
                "request for {path}, steady {steady}: {status}, retry after {retry_after:?}"
            ));
            if steady {
                let (all, served) = counts.entry(path == READ).or_default();
                *all += 1;
                *served += usize::from(*status == 200);
            }
        }
        let (first, later) = (
            counts.get(&false).copied().unwrap_or_default(),
            counts.get(&true).copied().unwrap_or_default(),
        );
        let summary = format!(
            "steady state: {} of {} served on the first route, {} of {} on the one added later",
            first.1, first.0, later.1, later.0
        );
        self.record.line(&summary);
        println!("{summary}");
        // later.1 / later.0 < 0.25 * first.1 / first.0
        let broken = later.0 >= MIN_REQUESTS && 4 * later.1 * first.0 < first.1 * later.0;
        if broken { later.0 - later.1 } else { 0 }
    }
}

async fn run_case() -> Result<usize> {
    let folder = tempfile::tempdir()?;
    Scenario::start(folder.path()).await?.run().await
}

#[tokio::main]
async fn main() -> ExitCode {
    exit_code(run_case().await)
}
