//! MIXED: a client gets a success without the server's stamp, made of wrong bytes of a faulty server.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use carob_net::{HttpClient, HttpResponse, lock};
use review_lab::Result;
use review_lab::clients::{Call, new_id};
use review_lab::machine::Machine;
use review_lab::record::{Record, exit_code, has_trouble};
use review_lab::site::{HEARTBEAT, config};
use review_lab::spoiling_server::SpoilingServer;
use review_lab::store::{Endpoint, Store};

const SERVERS: [&str; 3] = ["i-1", "i-2", "i-3"];
/// The faulty server: one of three.
const FAULTY: &str = "i-1";
/// One of this many answers is spoiled at most: the site's share is 0.02.
const PER_SPOILED: u64 = 50;
const CALM_TIME: Duration = Duration::from_secs(2);
/// Length of the fault, as the site's `garble` has it.
const FAULT_TIME: Duration = Duration::from_millis(5500);
/// Interval of the requests, half of them reads and half of them commands.
const REQUEST_INTERVAL: Duration = Duration::from_millis(8);
const DEADLINE: Duration = Duration::from_millis(1500);
const ROUTES: [&str; 2] = ["/status/a", "/assign/a"];

/// A request as its client saw it.
struct Sent {
    id: String,
    path: &'static str,
    answer: Option<HttpResponse>,
}

struct Scenario {
    record: Record,
    servers: Arc<Vec<SpoilingServer>>,
    machine: Machine,
    _endpoint: Endpoint,
    sent: Arc<Mutex<Vec<Sent>>>,
}

async fn request(
    to: SocketAddr,
    path: &'static str,
    client: HttpClient,
    sent: Arc<Mutex<Vec<Sent>>>,
) {
    let id = new_id();
    let call = Call { to, path, id: &id, key: "key-one", deadline: DEADLINE, headers: &[] };
    let answer = call.send(&client).await.ok();
    lock(&sent).push(Sent { id, path, answer });
}

impl Scenario {
    async fn start(folder: &Path) -> Result<Self> {
        let record = Record::open()?;
        let store = Store::default();
        let started: std::io::Result<Vec<SpoilingServer>> =
            SERVERS.iter().map(|id| SpoilingServer::start(id, PER_SPOILED)).collect();
        let servers = Arc::new(started?);
        store.put("keyed.op", "config", &config(1, &["key-one"], 5000));
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
        Ok(Scenario { record, servers, machine, _endpoint: endpoint, sent: Arc::default() })
    }

    async fn send_for(&self, client: &HttpClient, time: Duration) {
        let started = Instant::now();
        for path in ROUTES.iter().cycle() {
            if started.elapsed() >= time {
                return;
            }
            let (client, sent) = (client.clone(), Arc::clone(&self.sent));
            tokio::spawn(request(self.machine.frontend, path, client, sent));
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    }

    fn set_faulty(&self, faulty: bool) {
        self.record.line(format!("{FAULTY} is faulty: {faulty}"));
        self.servers.iter().filter(|server| server.id == FAULTY).for_each(|s| s.set_faulty(faulty));
    }

    async fn run(&self) -> Result<usize> {
        let client = HttpClient::pooled();
        self.send_for(&client, CALM_TIME).await;
        if has_trouble() {
            self.set_faulty(true);
        }
        self.send_for(&client, FAULT_TIME).await;
        if has_trouble() {
            self.set_faulty(false);
        }
        tokio::time::sleep(DEADLINE).await;
        for server in self.servers.iter() {
            let (answers, spoiled) = server.spoiled();
            let share = format!("{} of {answers} answers spoiled: {spoiled:?}", spoiled.len());
            self.record.line(format!("{}: {share}", server.id));
        }
        Ok(self.count_breaches())
    }

    /// Returns how many clients got a success without the stamp of a server.
    fn count_breaches(&self) -> usize {
        let sent = lock(&self.sent);
        let breaches = sent.iter().filter(|one| self.is_breach(one)).count();
        let whole = sent.iter().filter_map(|one| one.answer.as_ref()).count();
        let summary = format!(
            "{} requests, {whole} answers, {breaches} of them successes without a stamp",
            sent.len()
        );
        self.record.line(&summary);
        println!("{summary}");
        breaches
    }

    fn is_breach(&self, one: &Sent) -> bool {
        let Some(answer) = &one.answer else {
            self.record.line(format!("request {} to {}: no answer", one.id, one.path));
            return false;
        };
        let stamp = answer.headers.get("server-stamp").and_then(|value| value.to_str().ok());
        let body = String::from_utf8_lossy(&answer.body);
        self.record.line(format!(
            "request {} to {}: {}, stamp {stamp:?}, body {body:?}",
            one.id, one.path, answer.status
        ));
        (200..300).contains(&answer.status) && stamp.is_none()
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
