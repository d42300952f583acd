//! A fleet: the platform's stand-ins, upstreams and entry processes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use carob_net::{Clock, HttpClient, SystemClock};
use carobglade::{ConfigWire, ModelWire, TenantWire};
use eyre::{Result, bail, eyre};
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::config;
use crate::process::{Process, free_address};

const START_TIME: Duration = Duration::from_secs(30); // generous, for busy machines
const TICK: Duration = Duration::from_millis(50);

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Entry processes.
    pub vms: usize,
    /// Model engines.
    pub engines: usize,
    /// Engines at the end of the list that ignore fencing numbers.
    pub unfenced: usize,
    /// Memory of an engine.
    pub memory: String,
    /// Milliseconds between tokens.
    pub pace: u64,
    /// Requests that an engine runs at full pace.
    pub batch: u64,
    /// Weights that the store serves at once.
    pub loads: u64,
    /// Plain services.
    pub services: usize,
    /// Whether each entry process reaches the log through a relay of its own.
    pub relays: bool,
    /// Whether the engines are reached through relays.
    pub engine_relays: bool,
    /// Tenants.
    pub tenants: Vec<TenantWire>,
    /// Models and adapters.
    pub models: Vec<ModelWire>,
    /// Settings that differ from the defaults.
    pub settings: Value,
}

impl Default for FleetOptions {
    fn default() -> Self {
        let models = vec![config::model("planner", "20GiB"), config::model("explainer", "20GiB")];
        FleetOptions {
            vms: 3,
            engines: 2,
            unfenced: 0,
            memory: "64GiB".into(),
            pace: 5,
            batch: 16,
            loads: 2,
            services: 1,
            relays: false,
            engine_relays: false,
            tenants: vec![
                config::tenant("apron", 100_000, 400_000, &models),
                config::tenant("crew", 100_000, 400_000, &models),
            ],
            models,
            settings: json!({}),
        }
    }
}

/// One entry process and its addresses.
#[derive(Debug)]
pub struct Vm {
    /// Its name.
    pub name: String,
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For other vms.
    pub peers: SocketAddr,
    /// Control of the relay to the log.
    pub relay: Option<SocketAddr>,
    /// The process.
    pub process: Process,
    settings: PathBuf,
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// Where settings and output are.
    pub dir: TempDir,
    /// The log.
    pub log: SocketAddr,
    /// The store.
    pub store: SocketAddr,
    /// The engines.
    pub engines: Vec<SocketAddr>,
    /// Controls of the relays to the engines.
    pub engine_relays: Vec<SocketAddr>,
    /// The services.
    pub services: Vec<SocketAddr>,
    /// The entry processes.
    pub vms: Vec<Vm>,
    /// The configuration that was applied last.
    pub config: ConfigWire,
    options: FleetOptions,
    others: Vec<Process>,
    log_process: Option<Process>,
    started: usize,
    http: HttpClient,
}

impl Fleet {
    /// Starts everything, applies the configuration and waits until it is in force.
    ///
    /// # Errors
    ///
    /// When a process does not start in time.
    pub async fn start(options: FleetOptions) -> Result<Self> {
        let mut fleet = Fleet {
            dir: tempfile::tempdir()?,
            log: free_address(),
            store: free_address(),
            engines: Vec::new(),
            engine_relays: Vec::new(),
            services: Vec::new(),
            vms: Vec::new(),
            config: ConfigWire::default(),
            options: options.clone(),
            others: Vec::new(),
            log_process: None,
            started: 0,
            http: HttpClient::unpooled(),
        };
        fleet.run("carobctl", &["cert", &fleet.path("tls")]).await?;
        fleet.start_platform()?;
        fleet.start_upstreams()?;
        fleet.wait_for(fleet.log, "/stats").await?;
        fleet.apply(&fleet.wire()).await?;
        for _ in 0..options.vms {
            fleet.add_vm(&[]).await?;
        }
        for i in 0..options.vms {
            fleet.wait_ready(i).await?;
        }
        fleet.wait_shares().await?;
        Ok(fleet)
    }

    fn path(&self, name: &str) -> String {
        self.dir.path().join(name).display().to_string()
    }

    fn standin(&self, name: &str, args: &[&str]) -> Result<Process> {
        Process::start("carob-standin", args, &self.dir.path().join(format!("{name}.out")))
    }

    fn start_platform(&mut self) -> Result<()> {
        let (log, store) = (self.log.to_string(), self.store.to_string());
        self.log_process = Some(self.standin("log", &["log", "--listen", &log])?);
        let loads = self.options.loads.to_string();
        let store = self.standin("store", &["store", "--listen", &store, "--loads", &loads])?;
        self.others.push(store);
        Ok(())
    }

    fn start_upstreams(&mut self) -> Result<()> {
        let options = self.options.clone();
        let store = self.store.to_string();
        for i in 0..options.engines {
            let address = free_address();
            let (listen, name) = (address.to_string(), format!("engine-{i}"));
            let (pace, batch) = (options.pace.to_string(), options.batch.to_string());
            let mut args = vec![
                "engine",
                "--listen",
                &listen,
                "--store",
                &store,
                "--name",
                &name,
                "--memory",
                &options.memory,
                "--pace",
                &pace,
                "--batch",
                &batch,
            ];
            if i + options.unfenced >= options.engines {
                args.push("--no-fencing");
            }
            let process = self.standin(&name, &args)?;
            self.others.push(process);
            let reached = match options.engine_relays {
                true => {
                    let (near, control) = self.start_relay(&format!("relay-{name}"), address)?;
                    self.engine_relays.push(control);
                    near
                }
                false => address,
            };
            self.engines.push(reached);
        }
        for i in 0..options.services {
            let address = free_address();
            let listen = address.to_string();
            let process =
                self.standin(&format!("service-{i}"), &["service", "--listen", &listen])?;
            self.others.push(process);
            self.services.push(address);
        }
        Ok(())
    }

    fn start_relay(&mut self, name: &str, to: SocketAddr) -> Result<(SocketAddr, SocketAddr)> {
        let (near, control) = (free_address(), free_address());
        let texts = [near.to_string(), to.to_string(), control.to_string()];
        let args = ["relay", "--listen", &texts[0], "--to", &texts[1], "--control", &texts[2]];
        let process = self.standin(name, &args)?;
        self.others.push(process);
        Ok((near, control))
    }

    /// The configuration that the options describe.
    pub fn wire(&self) -> ConfigWire {
        let engines = self.engines.iter().enumerate().map(|(i, address)| {
            let fencing = i + self.options.unfenced < self.options.engines;
            config::engine(&format!("engine-{i}"), *address, &self.options.memory, fencing)
        });
        let (tenants, models) = (self.options.tenants.clone(), self.options.models.clone());
        config::whole(tenants, models, engines.collect(), &self.services)
    }

    /// Starts another entry process; `seeds` are peers that it may ask for the state.
    ///
    /// # Errors
    ///
    /// When the process cannot be started.
    pub async fn add_vm(&mut self, seeds: &[SocketAddr]) -> Result<usize> {
        self.started += 1;
        let name = format!("vm-{}", self.started);
        let addresses = [free_address(), free_address(), free_address()];
        let (log, relay) = match self.options.relays {
            true => {
                let log = self.log;
                let (near, control) = self.start_relay(&format!("relay-{name}"), log)?;
                (near, Some(control))
            }
            false => (self.log, None),
        };
        let mut settings = json!({
            "vm": name, "data_centre": "rennes", "log": log, "list": self.store, "peers": seeds,
            "listen": {
                "callers": addresses[0], "admin": addresses[1], "peers": addresses[2],
            },
            "tls": {
                "ca": self.path("tls/ca.pem"), "cert": self.path("tls/vm.pem"),
                "key": self.path("tls/vm.key"),
            },
            "times": { "notice": 200 },
        });
        merge(&mut settings, &self.options.settings);
        let path = self.dir.path().join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string())?;
        let process = self.start_entry(&name, &path)?;
        self.vms.push(Vm {
            name,
            callers: addresses[0],
            admin: addresses[1],
            peers: addresses[2],
            relay,
            process,
            settings: path,
        });
        Ok(self.vms.len() - 1)
    }

    fn start_entry(&self, name: &str, settings: &std::path::Path) -> Result<Process> {
        let settings = settings.display().to_string();
        let output = self.dir.path().join(format!("{name}.out"));
        Process::start("carob-entry", &["--settings", &settings], &output)
    }

    /// Starts an entry process again, with the same settings.
    ///
    /// # Errors
    ///
    /// When the process cannot be started.
    pub fn restart_vm(&mut self, i: usize) -> Result<()> {
        self.vms[i].process.kill();
        let (name, settings) = (self.vms[i].name.clone(), self.vms[i].settings.clone());
        self.vms[i].process = self.start_entry(&name, &settings)?;
        Ok(())
    }

    /// Address of an entry process for callers.
    pub fn at(&self, i: usize) -> SocketAddr {
        self.vms[i].callers
    }

    /// Runs a program to its end and returns its exit code.
    ///
    /// # Errors
    ///
    /// When it does not end in time.
    pub async fn run(&self, program: &str, args: &[&str]) -> Result<(i32, String)> {
        let output = self.dir.path().join(format!("run-{}.out", rand::random::<u64>()));
        let mut process = Process::start(program, args, &output)?;
        let code = process.wait(Duration::from_secs(60)).await;
        let code = code.ok_or_else(|| eyre!("{program} {args:?} did not end"))?;
        Ok((code, process.read_output()))
    }

    /// Applies a configuration with `carobctl`.
    ///
    /// # Errors
    ///
    /// When it is not accepted or not in force in time.
    pub async fn apply(&mut self, wire: &ConfigWire) -> Result<()> {
        let path = self.path("config.json");
        std::fs::write(&path, serde_json::to_string(wire)?)?;
        let log = self.log.to_string();
        let args = ["apply", &path, "--log", &log, "--wait", "--within", "60"];
        let (code, output) = self.run("carobctl", &args).await?;
        if code != 0 {
            bail!("carobctl apply ended with {code}: {output}");
        }
        self.config = wire.clone();
        Ok(())
    }

    /// Sets the faults of a stand-in.
    ///
    /// # Errors
    ///
    /// When it does not answer.
    pub async fn faults(&self, address: SocketAddr, faults: Value) -> Result<()> {
        self.post(address, "/faults", &faults.to_string()).await
    }

    /// Posts to a stand-in.
    ///
    /// # Errors
    ///
    /// When it does not answer with 200.
    pub async fn post(&self, address: SocketAddr, path: &str, body: &str) -> Result<()> {
        let url = format!("http://{address}{path}");
        let response = self.http.post(&url, body.to_owned().into(), Duration::from_secs(5)).await;
        let response = response.map_err(|err| eyre!("{err}"))?;
        if response.status >= 300 {
            bail!("{path}: {} {}", response.status, String::from_utf8_lossy(&response.body));
        }
        Ok(())
    }

    /// Gets JSON.
    ///
    /// # Errors
    ///
    /// When there is no answer.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Value> {
        let url = format!("http://{address}{path}");
        let response = self.http.get(&url, Duration::from_secs(5)).await;
        let response = response.map_err(|err| eyre!("{err}"))?;
        Ok(serde_json::from_slice(&response.body).unwrap_or(Value::Null))
    }

    /// What an entry process says of the fleet.
    ///
    /// # Errors
    ///
    /// When there is no answer.
    pub async fn status(&self, i: usize) -> Result<Value> {
        self.get(self.vms[i].admin, "/status").await
    }

    /// The calls that the services ran.
    ///
    /// # Errors
    ///
    /// When there is no answer.
    pub async fn ran(&self) -> Result<Vec<carob_lab::fake_service::RecordedCall>> {
        let mut all = Vec::new();
        for address in &self.services {
            let list = self.get(*address, "/ran").await?;
            all.extend(serde_json::from_value::<Vec<_>>(list)?);
        }
        Ok(all)
    }

    async fn wait_for(&self, address: SocketAddr, path: &str) -> Result<()> {
        self.until(&format!("{address}{path}"), async || self.get(address, path).await.is_ok())
            .await
    }

    /// Waits until an entry process is ready.
    ///
    /// # Errors
    ///
    /// When it is not in time.
    pub async fn wait_ready(&self, i: usize) -> Result<()> {
        let url = format!("http://{}/readyz", self.vms[i].admin);
        let ready = async || {
            let response = self.http.get(&url, Duration::from_secs(1)).await;
            response.is_ok_and(|response| response.status == 200)
        };
        self.until(&format!("{} to be ready", self.vms[i].name), ready).await
    }

    /// Waits until every process holds about its part of the slots.
    ///
    /// # Errors
    ///
    /// When that does not happen in time.
    pub async fn wait_shares(&self) -> Result<()> {
        let shared = async || {
            let status = self.status(0).await.unwrap_or_default();
            let all = status["slots"]["of"].as_u64().unwrap_or(0);
            let members = status["members"].as_array().cloned().unwrap_or_default();
            let slots = members.iter().map(|member| member["slots"].as_u64().unwrap_or(0));
            let least = slots.clone().min().unwrap_or(0);
            let fair = all / self.vms.len() as u64;
            slots.sum::<u64>() == all && members.len() == self.vms.len() && least > fair / 2
        };
        self.until("all slots to be held", shared).await
    }

    /// Waits until `done` holds.
    ///
    /// # Errors
    ///
    /// When it does not within the generous limit.
    pub async fn until(&self, what: &str, mut done: impl AsyncFnMut() -> bool) -> Result<()> {
        let clock = SystemClock::default();
        while clock.now() < START_TIME {
            if done().await {
                return Ok(());
            }
            tokio::time::sleep(TICK).await;
        }
        bail!("waited in vain for {what}; see {}", self.dir.path().display())
    }

    /// Names of stand-ins that ended on their own, which none does in a sound run.
    pub fn broken(&mut self) -> Vec<String> {
        let ended = self.others.iter_mut().filter_map(|process| {
            process
                .has_exited()
                .then(|| format!("{}: {}", process.output_path.display(), process.read_output()))
        });
        ended.collect()
    }
}

fn merge(target: &mut Value, source: &Value) {
    match (target, source) {
        (Value::Object(target), Value::Object(source)) => {
            for (key, value) in source {
                merge(target.entry(key.clone()).or_insert(Value::Null), value);
            }
        }
        (target, source) => *target = source.clone(),
    }
}
