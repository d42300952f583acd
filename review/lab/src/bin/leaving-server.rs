//! DRAIN: a machine that is cut off from the store goes on sending streams to a server that has told
//! it that it is leaving, until the server ends with them.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use carob_net::{HttpClient, lock};
use review_lab::Result;
use review_lab::clients::{Call, new_id};
use review_lab::machine::Machine;
use review_lab::record::{Record, exit_code, has_trouble};
use review_lab::site::{HEARTBEAT, config};
use review_lab::store::{Endpoint, Store};
use review_lab::stream_server::{StreamPlan, StreamServer};

const SERVERS: [&str; 3] = ["i-1", "i-2", "i-3"];
const LEAVING: &str = "i-1";
/// Streams of two seconds, with pauses below those that the route allows.
const PLAN: StreamPlan = StreamPlan { events: 20, pause: Duration::from_millis(100) };
const CLIENTS: usize = 60;
/// Time between the starts of two clients.
const CLIENT_GAP: Duration = Duration::from_millis(35);
const DEADLINE: Duration = Duration::from_secs(5);
/// `drain_ms`.
const DRAIN_TIME: Duration = Duration::from_millis(2000);
/// Time for which the server goes on beyond `drain_ms`: "at times many seconds".
const LINGER_TIME: Duration = Duration::from_millis(2000);
/// Time of calm traffic before the disruption.
const CALM_TIME: Duration = Duration::from_secs(4);
/// Time from the start of the cut until the server begins to leave.
const CUT_LEAD: Duration = Duration::from_millis(100);
/// Length of the cut, as the site's `core_cut` has it.
const CUT_TIME: Duration = Duration::from_millis(5500);
/// Time after the cut in which the last streams end.
const REST_TIME: Duration = Duration::from_secs(4);

/// A request as its client saw it.
struct Sent {
    id: String,
    at: Instant,
    status: u16,
    /// The server that answered, by its stamp.
    server: String,
    /// When an answer began that said that its server is leaving.
    told_at: Option<Instant>,
    whole: bool,
}

type Log = Arc<Mutex<Vec<Sent>>>;
type SharedServers = Arc<Mutex<Vec<StreamServer>>>;

/// Sends streams one after the other over a kept connection.
async fn run_client(to: std::net::SocketAddr, log: Log, until: Instant) {
    let client = HttpClient::pooled();
    while Instant::now() < until {
        let sent = send_one(to, &client).await;
        let refused = sent.status != 200;
        lock(&log).push(sent);
        if refused {
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    }
}

async fn send_one(to: std::net::SocketAddr, client: &HttpClient) -> Sent {
    let id = new_id();
    let headers = [("model", "large"), ("token-usage", "400,40")];
    let (path, key) = ("/plan/a", "key-one");
    let call = Call { to, path, id: &id, key, deadline: DEADLINE, headers: &headers };
    let at = Instant::now();
    let mut sent =
        Sent { id: id.clone(), at, status: 0, server: String::new(), told_at: None, whole: false };
    if let Ok(response) = call.open(client).await {
        sent.status = response.status;
        let stamp = response.headers.get("server-stamp").and_then(|value| value.to_str().ok());
        sent.server = stamp.and_then(|stamp| stamp.strip_prefix("stamp.")).unwrap_or("").to_owned();
        sent.told_at = response.headers.contains_key("server-leaving").then(Instant::now);
        sent.whole = response.read_to_end(DEADLINE).await.is_ok();
    }
    sent
}

async fn write_entries(store: Store, servers: SharedServers) {
    loop {
        publish(&store, &servers);
        tokio::time::sleep(HEARTBEAT).await;
    }
}

fn publish(store: &Store, servers: &SharedServers) {
    for server in lock(servers).iter_mut().filter(|server| server.is_running()) {
        let entry = server.next_entry();
        store.put("keyed.servers", &server.id, &entry);
    }
}

fn with_leaving(servers: &SharedServers, act: impl FnOnce(&mut StreamServer)) {
    if let Some(server) = lock(servers).iter_mut().find(|server| server.id == LEAVING) {
        act(server);
    }
}

struct Scenario {
    record: Record,
    store: Store,
    servers: SharedServers,
    machine: Machine,
    endpoint: Endpoint,
    log: Log,
}

impl Scenario {
    async fn start(folder: &Path) -> Result<Self> {
        let record = Record::open()?;
        let store = Store::default();
        let started: std::io::Result<Vec<StreamServer>> =
            SERVERS.iter().map(|id| StreamServer::start(id, PLAN)).collect();
        let servers = Arc::new(Mutex::new(started?));
        store.put("keyed.op", "config", &config(1, &["key-one"], 5000));
        tokio::spawn(write_entries(store.clone(), Arc::clone(&servers)));
        let endpoint = store.open()?;
        let mut machine = Machine::new("edge-rennes-1", endpoint.address, folder);
        machine.start(true)?;
        machine.wait_ready().await?;
        Ok(Scenario { record, store, servers, machine, endpoint, log: Log::default() })
    }

    async fn run(&self) -> Result<usize> {
        let starting = CLIENT_GAP * CLIENTS as u32;
        let all = starting + CALM_TIME + CUT_LEAD + CUT_TIME + REST_TIME;
        let until = Instant::now() + all - REST_TIME / 2;
        for _ in 0..CLIENTS {
            tokio::spawn(run_client(self.machine.frontend, Arc::clone(&self.log), until));
            tokio::time::sleep(CLIENT_GAP).await;
        }
        tokio::time::sleep(CALM_TIME).await;
        if has_trouble() {
            self.store.set_cut(&self.endpoint, true);
            self.record.line("edge-rennes-1 is cut off from the store");
        }
        tokio::time::sleep(CUT_LEAD).await;
        with_leaving(&self.servers, |server| server.leave());
        publish(&self.store, &self.servers);
        self.record.line(format!("{LEAVING} is leaving; the store has its entry"));
        tokio::time::sleep(DRAIN_TIME + LINGER_TIME).await;
        with_leaving(&self.servers, StreamServer::end);
        self.store.remove("keyed.servers", LEAVING);
        self.record.line(format!("{LEAVING} has ended"));
        tokio::time::sleep(CUT_TIME - DRAIN_TIME - LINGER_TIME).await;
        self.store.set_cut(&self.endpoint, false);
        tokio::time::sleep(REST_TIME).await;
        Ok(self.count_breaches())
    }

    /// Returns how many requests that a client sent too late reached the server that was leaving.
    fn count_breaches(&self) -> usize {
        let log = lock(&self.log);
        let told_at = log.iter().filter(|sent| sent.server == LEAVING).filter_map(|s| s.told_at);
        let Some(told_at) = told_at.min() else {
            self.record.line("no answer told that its server is leaving");
            return 0;
        };
        let by_id: BTreeMap<&str, &Sent> =
            log.iter().map(|sent| (sent.id.as_str(), sent)).collect();
        let runs: Vec<String> = lock(&self.servers)
            .iter()
            .filter(|server| server.id == LEAVING)
            .flat_map(|server| server.runs().into_iter().map(|run| run.id))
            .collect();
        let late = |sent: &&&Sent| sent.at > told_at + DRAIN_TIME;
        let breaches: Vec<&&Sent> =
            runs.iter().filter_map(|id| by_id.get(id.as_str())).filter(late).collect();
        for sent in log.iter() {
            self.record.line(format!(
                "request {} sent {:+.3} s after the first answer with Server-Leaving: status {}, server {:?}, whole {}",
                sent.id,
                seconds_after(sent.at, told_at),
                sent.status,
                sent.server,
                sent.whole
            ));
        }
        let cut = breaches.iter().filter(|sent| !sent.whole).count();
        self.record.line(format!(
            "{} requests sent later than {} ms after that reached {LEAVING}; {cut} of them were cut off",
            breaches.len(),
            DRAIN_TIME.as_millis()
        ));
        println!("{} late requests at the leaving server, {cut} of them cut off", breaches.len());
        breaches.len()
    }
}

fn seconds_after(at: Instant, since: Instant) -> f64 {
    match at.checked_duration_since(since) {
        Some(after) => after.as_secs_f64(),
        None => -since.duration_since(at).as_secs_f64(),
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
