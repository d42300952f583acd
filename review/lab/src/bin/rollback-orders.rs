//! ONE: after the store came back from a copy, two machines order with one fencing token.
//!
//! Two machines are stopped and started in turn. Between the two stops the store is away for a moment
//! and comes back from a copy that is some seconds old.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use carob_net::HttpClient;
use carob_platform_lab::FakeUpstream;
use review_lab::Result;
use review_lab::clients::{Call, new_id};
use review_lab::machine::{Machine, Rotation};
use review_lab::record::{Record, exit_code, has_trouble};
use review_lab::site::{Servers, config};
use review_lab::store::{Endpoint, Store};
use review_lab::store_state::StoreState;
use serde_json::Value;

const MACHINES: [&str; 2] = ["edge-rennes-1", "edge-rennes-2"];
const MODELS: [&str; 3] = ["large", "small", "rare"];
/// Adapters that are asked for; the servers have places for fewer.
const ADAPTERS: usize = 12;
const EVENTS: u64 = 4;
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);
const DEADLINE: Duration = Duration::from_secs(3);
/// Orders of a holder after which the run goes on.
const ORDERS: usize = 3;
const ORDER_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for which the store is away.
const AWAY_TIME: Duration = Duration::from_millis(1000);
/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(8);
/// Time after which the platform starts a process that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time between the return of one machine and the stop of the next.
const ROLL_GAP: Duration = Duration::from_millis(2400);
/// Time for which orders are watched after the last stop.
const WATCH_TIME: Duration = Duration::from_secs(9);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

struct Scenario {
    record: Record,
    store: Store,
    servers: Servers,
    machines: Vec<Machine>,
    _endpoints: Vec<Endpoint>,
}

/// An order that a server accepted.
struct Order {
    server: String,
    holder: String,
    token: u64,
    text: String,
}

impl Scenario {
    async fn start(folder: &Path) -> Result<Self> {
        let record = Record::open()?;
        let store = Store::default();
        let server = |id: &str| FakeUpstream::start(id, "plan-llm", &MODELS, EVENTS);
        let servers = Servers::new(store.clone(), vec![server("i-1")?, server("i-2")?]);
        store.put("keyed.op", "config", &config(1, &["key-one"], 5000));
        tokio::spawn(servers.clone().run());
        let mut machines = Vec::new();
        let mut endpoints = Vec::new();
        for name in MACHINES {
            let endpoint = store.open()?;
            let mut machine = Machine::new(name, endpoint.address, folder);
            machine.start(true)?;
            machines.push(machine);
            endpoints.push(endpoint);
        }
        for machine in &machines {
            machine.wait_ready().await?;
        }
        Ok(Scenario { record, store, servers, machines, _endpoints: endpoints })
    }

    /// Sends requests for changing adapters to the machines in rotation.
    fn start_clients(&self) {
        let rotation = Rotation::start(&self.machines);
        let record = self.record.clone();
        tokio::spawn(async move {
            for number in 0.. {
                if let Some((name, to)) = rotation.choose(number) {
                    tokio::spawn(request(to, name, number, record.clone()));
                }
                tokio::time::sleep(REQUEST_INTERVAL).await;
            }
        });
    }

    fn orders(&self) -> Vec<Order> {
        let mut orders = Vec::new();
        for server in self.servers.upstreams() {
            let accepted = server.accepted_orders();
            orders.extend(accepted.iter().map(|order| read_order(&server.id, order)));
        }
        orders
    }

    /// Returns how many orders each machine gave with each token.
    fn counts(&self) -> BTreeMap<(String, u64), usize> {
        let mut counts = BTreeMap::new();
        for order in self.orders() {
            *counts.entry((order.holder, order.token)).or_insert(0) += 1;
        }
        counts
    }

    /// Waits until `machine`, or any one if none is named, has given some orders with one token, and
    /// returns the machine's index and the token.
    async fn wait_holder(&self, machine: Option<usize>) -> Result<(usize, u64)> {
        let before = self.counts();
        let started = Instant::now();
        while started.elapsed() < ORDER_TIMEOUT {
            for ((holder, token), count) in self.counts() {
                let old = before.get(&(holder.clone(), token)).copied().unwrap_or(0);
                let index = MACHINES.iter().position(|name| *name == holder);
                let index = index.filter(|index| machine.is_none_or(|machine| machine == *index));
                if let Some(index) = index.filter(|_| count >= old + ORDERS) {
                    self.record.line(format!("{holder} orders with token {token}"));
                    return Ok((index, token));
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err("no machine gives orders".into())
    }

    async fn wait_end(&mut self, index: usize) -> Result<()> {
        self.machines[index].wait_end(GRACE).await?;
        self.record.line(format!("{} has ended", MACHINES[index]));
        Ok(())
    }

    /// The platform starts the process of a machine again once it has ended.
    async fn start_again(&mut self, index: usize) -> Result<()> {
        tokio::time::sleep(RESTART_DELAY).await;
        self.machines[index].start(false)?;
        self.machines[index].wait_ready().await?;
        self.record.line(format!("{} is ready again", MACHINES[index]));
        Ok(())
    }

    fn stop(&self, index: usize) -> Result<()> {
        self.record.line(format!("SIGTERM to {}", MACHINES[index]));
        self.machines[index].signal("TERM")
    }

    async fn run(&mut self) -> Result<usize> {
        self.start_clients();
        let (first, _) = self.wait_holder(None).await?;
        let second = 1 - first;
        let copy = self.store.copy();
        self.record.line(format!("the copy is taken; {}", self.store.describe_groups()));
        self.stop(first)?;
        self.wait_holder(Some(second)).await?;
        self.wait_end(first).await?;
        if has_trouble() {
            let drill = drill(self.record.clone(), self.store.clone(), self.servers.clone(), copy);
            tokio::spawn(drill);
        }
        self.start_again(first).await?;
        tokio::time::sleep(ROLL_GAP).await;
        self.record.line(self.store.describe_groups());
        self.stop(second)?;
        let watched = tokio::time::sleep(WATCH_TIME);
        self.wait_end(second).await?;
        let (started, ()) = tokio::join!(self.start_again(second), watched);
        started?;
        self.record.line(self.store.describe_groups());
        Ok(self.count_breaches())
    }

    /// Writes all accepted orders, and returns how many tokens two machines used at one server.
    fn count_breaches(&self) -> usize {
        let mut holders: BTreeMap<(String, u64), BTreeSet<String>> = BTreeMap::new();
        for order in self.orders() {
            self.record.line(format!("order at {}: {}", order.server, order.text));
            holders.entry((order.server, order.token)).or_default().insert(order.holder);
        }
        let shared = holders.iter().filter(|(_, holders)| holders.len() > 1);
        shared
            .inspect(|((server, token), holders)| {
                self.record
                    .line(format!("BROKEN: {holders:?} ordered at {server} with token {token}"));
            })
            .count()
    }
}

/// The store is away for a moment and comes back from `copy`; the operator and the servers write
/// again what they wrote.
async fn drill(record: Record, store: Store, servers: Servers, copy: StoreState) {
    record.line(format!("the store goes away; {}", store.describe_groups()));
    store.go_away();
    tokio::time::sleep(AWAY_TIME).await;
    store.come_back(Some(copy));
    store.put("keyed.op", "config", &config(1, &["key-one"], 5000));
    servers.publish();
    record.line(format!("the store is back; {}", store.describe_groups()));
}

fn read_order(server: &str, order: &Value) -> Order {
    Order {
        server: server.to_owned(),
        holder: order["holder"].as_str().unwrap_or_default().to_owned(),
        token: order["fencing_token"].as_u64().unwrap_or_default(),
        text: order.to_string(),
    }
}

/// Sends one request; some are refused, as their adapter comes too late.
async fn request(to: std::net::SocketAddr, machine: String, number: usize, record: Record) {
    let adapter = number * 5 % ADAPTERS;
    let model = format!("{}/a{}", MODELS[adapter % MODELS.len()], adapter / MODELS.len() + 1);
    let id = new_id();
    let headers = [("model", model.as_str()), ("token-usage", "400,8")];
    let call = Call {
        to,
        path: "/plan/a",
        id: &id,
        key: "key-one",
        deadline: DEADLINE,
        headers: &headers,
    };
    let answer = match call.send(&HttpClient::unpooled()).await {
        Ok(response) => response.status.to_string(),
        Err(err) => err.to_string(),
    };
    record.line(format!("request {id} for {model} at {machine}: {answer}"));
}

async fn run_case() -> Result<usize> {
    let folder = tempfile::tempdir()?;
    let mut scenario = Scenario::start(folder.path()).await?;
    let result = scenario.run().await;
    if std::env::var_os("KEEP_LOGS").is_some() {
        println!("{}", folder.keep().display());
    }
    result
}

#[tokio::main]
async fn main() -> ExitCode {
    exit_code(run_case().await)
}
