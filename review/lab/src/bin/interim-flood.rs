//! CONFIG: a faulty server sends interim responses without end, and the machine answers no request
//! any more.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use carob_net::{HttpClient, lock};
use review_lab::Result;
use review_lab::clients::{Call, new_id};
use review_lab::interim_server::InterimServer;
use review_lab::machine::Machine;
use review_lab::record::{Record, exit_code, has_trouble};
use review_lab::site::{HEARTBEAT, STATUS_TIMEOUT_MS, config};
use review_lab::store::{Endpoint, Store};

const SERVERS: [&str; 3] = ["i-1", "i-2", "i-3"];
/// The faulty server: one of three.
const FAULTY: &str = "i-1";
/// Bytes a second that a link of 1,000 Mbit/s takes.
const LINK_BYTES: u64 = 125_000_000;
/// Time of calm traffic before the fault.
const CALM_TIME: Duration = Duration::from_secs(3);
/// Time for which requests are sent once the server is faulty, as the site's `garble` lasts.
const FAULT_TIME: Duration = Duration::from_millis(5500);
const REQUEST_INTERVAL: Duration = Duration::from_millis(12);
/// The client waits longer than the route's timeout.
const DEADLINE: Duration = Duration::from_secs(5);
/// Time after the route's timeout by which a request has to have its final answer.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Requests that have to last beyond the timeout for the rule.
const MIN_LASTING: usize = 8;

/// A request as its client saw it.
struct Sent {
    id: String,
    at: Instant,
    status: u16,
    took: Duration,
}

struct Scenario {
    record: Record,
    servers: Arc<Vec<InterimServer>>,
    machine: Machine,
    _endpoint: Endpoint,
    sent: Arc<Mutex<Vec<Sent>>>,
}

async fn request(to: SocketAddr, client: HttpClient, sent: Arc<Mutex<Vec<Sent>>>) {
    let (id, at) = (new_id(), Instant::now());
    let call =
        Call { to, path: "/status/a", id: &id, key: "key-one", deadline: DEADLINE, headers: &[] };
    let answer = tokio::time::timeout(DEADLINE, call.send(&client)).await;
    let status = answer.ok().and_then(|answer| answer.ok()).map_or(0, |answer| answer.status);
    let took = at.elapsed();
    lock(&sent).push(Sent { id, at, status, took });
}

impl Scenario {
    async fn start(folder: &Path) -> Result<Self> {
        let record = Record::open()?;
        let store = Store::default();
        let started: std::io::Result<Vec<InterimServer>> =
            SERVERS.iter().map(|id| InterimServer::start(id, LINK_BYTES)).collect();
        let servers = Arc::new(started?);
        store.put("keyed.op", "config", &config(1, &["key-one"], 5000));
        let own = Arc::clone(&servers);
        let written = store.clone();
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
        Ok(Scenario { record, servers, machine, _endpoint: endpoint, sent: Arc::default() })
    }

    /// Sends requests for `time`, each over a connection that was kept if there is one.
    async fn send_for(&self, client: &HttpClient, time: Duration) {
        let started = Instant::now();
        while started.elapsed() < time {
            tokio::spawn(request(self.machine.frontend, client.clone(), Arc::clone(&self.sent)));
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    }

    async fn run(&self) -> Result<usize> {
        let client = HttpClient::pooled();
        self.send_for(&client, CALM_TIME).await;
        let faulty_at = Instant::now();
        if has_trouble() {
            self.record.line(format!("{FAULTY} is faulty from now on"));
            self.servers.iter().filter(|server| server.id == FAULTY).for_each(|s| s.set_faulty());
        }
        self.send_for(&client, FAULT_TIME).await;
        tokio::time::sleep(DEADLINE).await;
        self.record.line(format!("the process reports ready: {}", self.machine.is_ready().await));
        for server in self.servers.iter() {
            self.record.line(server.describe());
        }
        Ok(self.count_breaches(faulty_at))
    }

    /// Returns how many requests had no final answer half a second after the route's timeout, if
    /// these are more than half of those that lasted beyond the timeout, and 0 otherwise.
    fn count_breaches(&self, faulty_at: Instant) -> usize {
        let timeout = Duration::from_millis(STATUS_TIMEOUT_MS);
        let mut sent = lock(&self.sent);
        sent.sort_by_key(|sent| sent.at);
        for one in sent.iter() {
            let place = if one.at < faulty_at { "before" } else { "after" };
            self.record.line(format!(
                "request {} sent {place} the fault: status {}, {} ms",
                one.id,
                one.status,
                one.took.as_millis()
            ));
        }
        let lasting = sent.iter().filter(|one| one.took > timeout).count();
        let late = sent.iter().filter(|one| one.took > timeout + ANSWER_SLACK).count();
        let summary = format!(
            "{} requests, {lasting} without an answer at {} ms, {late} half a second later",
            sent.len(),
            timeout.as_millis()
        );
        self.record.line(&summary);
        println!("{summary}");
        if lasting >= MIN_LASTING && late * 2 > lasting { late } else { 0 }
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
