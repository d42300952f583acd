//! CONFIG: after the store came back from a copy, a machine misses the configuration that takes a key
//! away, and goes on to accept the key.

use std::collections::BTreeSet;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use carob_net::HttpClient;
use review_lab::Result;
use review_lab::clients::{Call, new_id};
use review_lab::machine::Machine;
use review_lab::record::{Record, exit_code, has_trouble};
use review_lab::site::{HEARTBEAT, config};
use review_lab::store::{Endpoint, Store};
use review_lab::stream_server::{StreamPlan, StreamServer};
use tokio::sync::Mutex;

const SERVERS: [&str; 2] = ["i-1", "i-2"];
const PLAN: StreamPlan = StreamPlan { events: 2, pause: Duration::from_millis(10) };
const DEADLINE: Duration = Duration::from_secs(2);
const KEPT_KEY: &str = "key-one";
const WITHDRAWN_KEY: &str = "key-two";
/// Time of calm before and between the changes of the configuration.
const CHANGE_GAP: Duration = Duration::from_secs(1);
/// Time for which the store is away.
const AWAY_TIME: Duration = Duration::from_millis(1000);
/// Time from the operator's first write after that to the next one, which waited meanwhile.
const WRITE_GAP: Duration = Duration::from_millis(10);
/// `revoke_ms`.
const REVOKE_TIME: Duration = Duration::from_millis(5000);
/// Time for which requests with the key are sent after the bound.
const WATCH_TIME: Duration = Duration::from_secs(6);
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

struct Scenario {
    record: Record,
    store: Store,
    servers: Arc<Mutex<Vec<StreamServer>>>,
    machine: Machine,
    _endpoint: Endpoint,
}

async fn publish(store: &Store, servers: &Mutex<Vec<StreamServer>>) {
    for server in servers.lock().await.iter_mut() {
        let entry = server.next_entry();
        store.put("keyed.servers", &server.id, &entry);
    }
}

impl Scenario {
    async fn start(folder: &Path) -> Result<Self> {
        let record = Record::open()?;
        let store = Store::default();
        let started: std::io::Result<Vec<StreamServer>> =
            SERVERS.iter().map(|id| StreamServer::start(id, PLAN)).collect();
        let servers = Arc::new(Mutex::new(started?));
        let (written, own) = (store.clone(), Arc::clone(&servers));
        tokio::spawn(async move {
            loop {
                publish(&written, &own).await;
                tokio::time::sleep(HEARTBEAT).await;
            }
        });
        let endpoint = store.open()?;
        let mut machine = Machine::new("edge-rennes-1", endpoint.address, folder);
        store.put("keyed.op", "config", &config(1, &[KEPT_KEY, WITHDRAWN_KEY], 5000));
        machine.start(true)?;
        machine.wait_ready().await?;
        Ok(Scenario { record, store, servers, machine, _endpoint: endpoint })
    }

    /// The operator writes a configuration.
    fn write(&self, version: u64, keys: &[&str], timeout_ms: u64) {
        self.store.put("keyed.op", "config", &config(version, keys, timeout_ms));
        let end = self.store.end("keyed.op");
        self.record.line(format!("version {version} with {keys:?} is acknowledged; end {end}"));
    }

    async fn run(&self) -> Result<usize> {
        let both = [KEPT_KEY, WITHDRAWN_KEY];
        let copy = self.store.copy();
        self.record.line(format!("the copy is taken; end {}", self.store.end("keyed.op")));
        for (version, timeout_ms) in [(3, 5200), (4, 5400)] {
            tokio::time::sleep(CHANGE_GAP).await;
            self.write(version, &both, timeout_ms);
        }
        tokio::time::sleep(CHANGE_GAP).await;
        self.expect_served(WITHDRAWN_KEY).await?;
        if has_trouble() {
            self.record.line("the store goes away");
            self.store.go_away();
            tokio::time::sleep(AWAY_TIME).await;
            self.store.come_back(Some(copy));
            self.record.line(format!("the store is back; end {}", self.store.end("keyed.op")));
            self.write(4, &both, 5400);
            publish(&self.store, &self.servers).await;
            tokio::time::sleep(WRITE_GAP).await;
        }
        self.write(7, &[KEPT_KEY], 5400);
        let acknowledged = Instant::now();
        tokio::time::sleep(REVOKE_TIME + REQUEST_INTERVAL).await;
        let mut late = Vec::new();
        while acknowledged.elapsed() < REVOKE_TIME + WATCH_TIME {
            late.push(self.send(WITHDRAWN_KEY).await.0);
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
        self.expect_served(KEPT_KEY).await?;
        Ok(self.count_runs(&late).await)
    }

    async fn expect_served(&self, key: &str) -> Result<()> {
        match self.send(key).await.1 {
            200 => Ok(()),
            status => Err(format!("a request with {key} got {status}").into()),
        }
    }

    /// Sends a request, and returns its id and the status of its answer.
    async fn send(&self, key: &str) -> (String, u16) {
        let id = new_id();
        let headers = [("model", "large"), ("token-usage", "400,4")];
        let (to, path) = (self.machine.frontend, "/plan/a");
        let call = Call { to, path, id: &id, key, deadline: DEADLINE, headers: &headers };
        let answer = call.send(&HttpClient::unpooled()).await;
        let status = answer.map(|response| response.status).unwrap_or_default();
        self.record.line(format!("request {id} with {key}: {status}"));
        (id, status)
    }

    /// Returns how many of the requests ran at a server.
    async fn count_runs(&self, ids: &[String]) -> usize {
        let servers = self.servers.lock().await;
        let runs = servers.iter().flat_map(|server| server.runs()).map(|run| run.id);
        let run: BTreeSet<String> = runs.collect();
        let breaches = ids.iter().filter(|id| run.contains(*id)).count();
        self.record.line(format!(
            "{breaches} of {} requests with the withdrawn key ran later than {} ms after the acknowledgement",
            ids.len(),
            REVOKE_TIME.as_millis()
        ));
        breaches
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
