//! Fleet of real processes: fakes of the platform and of upstreams, and entry processes.

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

const WAIT_TIMEOUT: Duration = Duration::from_secs(30); // long enough for a busy machine
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Sizes and settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Number of entry processes.
    pub vms: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of engines, at the end of the list, that ignore fencing tokens.
    pub unfenced_engines: usize,
    /// Accelerator memory of each engine, such as `64GiB`.
    pub engine_memory: String,
    /// Milliseconds between two tokens of an engine.
    pub token_interval: u64,
    /// Number of concurrent requests up to which an engine keeps its token interval.
    pub batch_size: u64,
    /// Number of model weights that the store serves concurrently.
    pub parallel_loads: u64,
    /// Number of plain services.
    pub services: usize,
    /// Whether each entry process reaches the log through its own relay, which can be cut.
    pub log_relays: bool,
    /// Whether entry processes reach each engine through a relay.
    pub engine_relays: bool,
    /// Tenants of the initial configuration.
    pub tenants: Vec<TenantWire>,
    /// Models and adapters of the initial configuration.
    pub models: Vec<ModelWire>,
    /// Settings of the entry processes, merged over those that the fleet writes.
    pub settings: Value,
}

impl Default for FleetOptions {
    fn default() -> Self {
        let models = vec![config::model("planner", "20GiB"), config::model("explainer", "20GiB")];
        FleetOptions {
            vms: 3,
            engines: 2,
            unfenced_engines: 0,
            engine_memory: "64GiB".into(),
            token_interval: 5,
            batch_size: 16,
            parallel_loads: 2,
            services: 1,
            log_relays: false,
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

/// Entry process and its addresses.
#[derive(Debug)]
pub struct Vm {
    /// Name in the fleet, such as `vm-1`.
    pub name: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub admin_address: SocketAddr,
    /// Address for other vms.
    pub peer_address: SocketAddr,
    /// Control address of the relay to the log, if there is one.
    pub relay_control: Option<SocketAddr>,
    /// Operating system process.
    pub process: Process,
    settings_file: PathBuf,
}

/// Running fleet; its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// Directory of settings, certificates and output.
    pub dir: TempDir,
    /// Address of the fake log.
    pub log_address: SocketAddr,
    /// Address of the fake weight store, which also serves the platform's list.
    pub store_address: SocketAddr,
    /// Addresses of the engines as the entry processes reach them.
    pub engine_addresses: Vec<SocketAddr>,
    /// Control addresses of the relays to the engines.
    pub engine_relay_controls: Vec<SocketAddr>,
    /// Addresses of the plain services.
    pub service_addresses: Vec<SocketAddr>,
    /// Entry processes in the order of their start.
    pub vms: Vec<Vm>,
    /// Last configuration that was applied.
    pub config: ConfigWire,
    options: FleetOptions,
    fakes: Vec<Process>,
    log_process: Option<Process>,
    vms_started: usize,
    http: HttpClient,
}

impl Fleet {
    /// Starts all processes, applies the initial configuration and waits until every entry process
    /// is ready and the slots are balanced.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start or get ready in time.
    pub async fn start(options: FleetOptions) -> Result<Self> {
        let mut fleet = Fleet {
            dir: tempfile::tempdir()?,
            log_address: free_address(),
            store_address: free_address(),
            engine_addresses: Vec::new(),
            engine_relay_controls: Vec::new(),
            service_addresses: Vec::new(),
            vms: Vec::new(),
            config: ConfigWire::default(),
            options: options.clone(),
            fakes: Vec::new(),
            log_process: None,
            vms_started: 0,
            http: HttpClient::unpooled(),
        };
        fleet.run_program("carobctl", &["cert", &fleet.path("tls")]).await?;
        fleet.start_platform()?;
        fleet.start_upstreams()?;
        fleet.wait_reachable(fleet.log_address, "/stats").await?;
        fleet.apply(&fleet.initial_config()).await?;
        for _ in 0..options.vms {
            fleet.add_vm(&[]).await?;
        }
        for i in 0..options.vms {
            fleet.wait_ready(i).await?;
        }
        fleet.wait_slots_balanced().await?;
        Ok(fleet)
    }

    fn path(&self, name: &str) -> String {
        self.dir.path().join(name).display().to_string()
    }

    fn start_fake(&self, name: &str, args: &[&str]) -> Result<Process> {
        Process::start("carob-standin", args, &self.dir.path().join(format!("{name}.out")))
    }

    fn start_platform(&mut self) -> Result<()> {
        let (log, store) = (self.log_address.to_string(), self.store_address.to_string());
        self.log_process = Some(self.start_fake("log", &["log", "--listen", &log])?);
        let parallel_loads = self.options.parallel_loads.to_string();
        let store =
            self.start_fake("store", &["store", "--listen", &store, "--loads", &parallel_loads])?;
        self.fakes.push(store);
        Ok(())
    }

    fn start_upstreams(&mut self) -> Result<()> {
        let options = self.options.clone();
        let store = self.store_address.to_string();
        for i in 0..options.engines {
            let address = free_address();
            let (listen, name) = (address.to_string(), format!("engine-{i}"));
            let (token_interval, batch_size) =
                (options.token_interval.to_string(), options.batch_size.to_string());
            let mut args = vec![
                "engine",
                "--listen",
                &listen,
                "--store",
                &store,
                "--name",
                &name,
                "--memory",
                &options.engine_memory,
                "--pace",
                &token_interval,
                "--batch",
                &batch_size,
            ];
            if i + options.unfenced_engines >= options.engines {
                args.push("--no-fencing");
            }
            let process = self.start_fake(&name, &args)?;
            self.fakes.push(process);
            let address_for_vms = match options.engine_relays {
                true => {
                    let (relay_address, control) =
                        self.start_relay(&format!("relay-{name}"), address)?;
                    self.engine_relay_controls.push(control);
                    relay_address
                }
                false => address,
            };
            self.engine_addresses.push(address_for_vms);
        }
        for i in 0..options.services {
            let address = free_address();
            let listen = address.to_string();
            let process =
                self.start_fake(&format!("service-{i}"), &["service", "--listen", &listen])?;
            self.fakes.push(process);
            self.service_addresses.push(address);
        }
        Ok(())
    }

    fn start_relay(&mut self, name: &str, to: SocketAddr) -> Result<(SocketAddr, SocketAddr)> {
        let (relay_address, control) = (free_address(), free_address());
        let addresses = [relay_address.to_string(), to.to_string(), control.to_string()];
        let args =
            ["relay", "--listen", &addresses[0], "--to", &addresses[1], "--control", &addresses[2]];
        let process = self.start_fake(name, &args)?;
        self.fakes.push(process);
        Ok((relay_address, control))
    }

    /// Returns the configuration that the options describe.
    pub fn initial_config(&self) -> ConfigWire {
        let engines = self.engine_addresses.iter().enumerate().map(|(i, address)| {
            let fencing = i + self.options.unfenced_engines < self.options.engines;
            config::engine(&format!("engine-{i}"), *address, &self.options.engine_memory, fencing)
        });
        let (tenants, models) = (self.options.tenants.clone(), self.options.models.clone());
        config::fleet_config(tenants, models, engines.collect(), &self.service_addresses)
    }

    /// Starts another entry process and returns its index; `seeds` are peers from which it may
    /// fetch the state.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub async fn add_vm(&mut self, seeds: &[SocketAddr]) -> Result<usize> {
        self.vms_started += 1;
        let name = format!("vm-{}", self.vms_started);
        let addresses = [free_address(), free_address(), free_address()];
        let (log, relay_control) = match self.options.log_relays {
            true => {
                let log = self.log_address;
                let (relay_address, control) = self.start_relay(&format!("relay-{name}"), log)?;
                (relay_address, Some(control))
            }
            false => (self.log_address, None),
        };
        let mut settings = json!({
            "vm": name, "data_centre": "rennes", "log": log, "list": self.store_address,
            "peers": seeds,
            "listen": {
                "callers": addresses[0], "admin": addresses[1], "peers": addresses[2],
            },
            "tls": {
                "ca": self.path("tls/ca.pem"), "cert": self.path("tls/vm.pem"),
                "key": self.path("tls/vm.key"),
            },
            "times": { "notice": 200 },
        });
        merge_json(&mut settings, &self.options.settings);
        let path = self.dir.path().join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string())?;
        let process = self.start_entry(&name, &path)?;
        self.vms.push(Vm {
            name,
            caller_address: addresses[0],
            admin_address: addresses[1],
            peer_address: addresses[2],
            relay_control,
            process,
            settings_file: path,
        });
        Ok(self.vms.len() - 1)
    }

    fn start_entry(&self, name: &str, settings: &std::path::Path) -> Result<Process> {
        let settings = settings.display().to_string();
        let output = self.dir.path().join(format!("{name}.out"));
        Process::start("carob-entry", &["--settings", &settings], &output)
    }

    /// Kills an entry process and starts it again with the same settings.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn restart_vm(&mut self, i: usize) -> Result<()> {
        self.vms[i].process.kill();
        let (name, settings) = (self.vms[i].name.clone(), self.vms[i].settings_file.clone());
        self.vms[i].process = self.start_entry(&name, &settings)?;
        Ok(())
    }

    /// Returns the address of an entry process for callers.
    pub fn caller_address(&self, i: usize) -> SocketAddr {
        self.vms[i].caller_address
    }

    /// Runs a program of this workspace to its end and returns its exit code and output.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started or still runs after 60 seconds.
    pub async fn run_program(&self, program: &str, args: &[&str]) -> Result<(i32, String)> {
        let output = self.dir.path().join(format!("run-{}.out", rand::random::<u64>()));
        let mut process = Process::start(program, args, &output)?;
        let code = process.wait(Duration::from_secs(60)).await;
        let code = code.ok_or_else(|| eyre!("{program} {args:?} still runs after 60 seconds"))?;
        Ok((code, process.read_output()))
    }

    /// Applies a configuration with `carobctl` and waits until it is in force on all vms.
    ///
    /// # Errors
    ///
    /// Fails if the configuration is rejected or is not in force within 60 seconds.
    pub async fn apply(&mut self, wire: &ConfigWire) -> Result<()> {
        let path = self.path("config.json");
        std::fs::write(&path, serde_json::to_string(wire)?)?;
        let log = self.log_address.to_string();
        let args = ["apply", &path, "--log", &log, "--wait", "--within", "60"];
        let (code, output) = self.run_program("carobctl", &args).await?;
        if code != 0 {
            bail!("carobctl apply ended with {code}: {output}");
        }
        self.config = wire.clone();
        Ok(())
    }

    /// Replaces the faults of a fake.
    ///
    /// # Errors
    ///
    /// Fails if the fake does not respond or rejects the faults.
    pub async fn set_faults(&self, address: SocketAddr, faults: Value) -> Result<()> {
        self.post(address, "/faults", &faults.to_string()).await
    }

    /// Sends a POST to a fake or to the control address of a relay.
    ///
    /// # Errors
    ///
    /// Fails if there is no response within 5 seconds or its status is 300 or above.
    pub async fn post(&self, address: SocketAddr, path: &str, body: &str) -> Result<()> {
        let url = format!("http://{address}{path}");
        let response = self.http.post(&url, body.to_owned().into(), Duration::from_secs(5)).await;
        let response = response.map_err(|err| eyre!("{err}"))?;
        if response.status >= 300 {
            bail!("{path}: {} {}", response.status, String::from_utf8_lossy(&response.body));
        }
        Ok(())
    }

    /// Sends a GET and returns the JSON body, or null if the body is not JSON; ignores the status.
    ///
    /// # Errors
    ///
    /// Fails if there is no response within 5 seconds.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Value> {
        let url = format!("http://{address}{path}");
        let response = self.http.get(&url, Duration::from_secs(5)).await;
        let response = response.map_err(|err| eyre!("{err}"))?;
        Ok(serde_json::from_slice(&response.body).unwrap_or(Value::Null))
    }

    /// Returns the status document of an entry process.
    ///
    /// # Errors
    ///
    /// Fails if there is no response.
    pub async fn status(&self, i: usize) -> Result<Value> {
        self.get(self.vms[i].admin_address, "/status").await
    }

    /// Returns the calls that the plain services ran.
    ///
    /// # Errors
    ///
    /// Fails if a service does not respond or its list cannot be decoded.
    pub async fn recorded_calls(&self) -> Result<Vec<carob_lab::fake_service::RecordedCall>> {
        let mut all = Vec::new();
        for address in &self.service_addresses {
            let list = self.get(*address, "/ran").await?;
            all.extend(serde_json::from_value::<Vec<_>>(list)?);
        }
        Ok(all)
    }

    async fn wait_reachable(&self, address: SocketAddr, path: &str) -> Result<()> {
        self.wait_until(&format!("{address}{path}"), async || self.get(address, path).await.is_ok())
            .await
    }

    /// Waits until an entry process is ready.
    ///
    /// # Errors
    ///
    /// Fails if the process is not ready in time.
    pub async fn wait_ready(&self, i: usize) -> Result<()> {
        let url = format!("http://{}/readyz", self.vms[i].admin_address);
        let ready = async || {
            let response = self.http.get(&url, Duration::from_secs(1)).await;
            response.is_ok_and(|response| response.status == 200)
        };
        self.wait_until(&format!("{} to be ready", self.vms[i].name), ready).await
    }

    /// Waits until all slots are held and each entry process holds more than half of an equal
    /// share.
    ///
    /// # Errors
    ///
    /// Fails if the slots are not balanced in time.
    pub async fn wait_slots_balanced(&self) -> Result<()> {
        let balanced = async || {
            let status = self.status(0).await.unwrap_or_default();
            let all = status["slots"]["of"].as_u64().unwrap_or(0);
            let members = status["members"].as_array().cloned().unwrap_or_default();
            let slots = members.iter().map(|member| member["slots"].as_u64().unwrap_or(0));
            let least = slots.clone().min().unwrap_or(0);
            let fair = all / self.vms.len() as u64;
            slots.sum::<u64>() == all && members.len() == self.vms.len() && least > fair / 2
        };
        self.wait_until("the slots to be balanced", balanced).await
    }

    /// Polls `condition` until it returns true; `what` names it in the error.
    ///
    /// # Errors
    ///
    /// Fails if the condition does not become true within 30 seconds.
    pub async fn wait_until(
        &self,
        what: &str,
        mut condition: impl AsyncFnMut() -> bool,
    ) -> Result<()> {
        let clock = SystemClock::default();
        while clock.now() < WAIT_TIMEOUT {
            if condition().await {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        bail!("timed out waiting for {what}; output is in {}", self.dir.path().display())
    }

    /// Returns the output path and the output of each fake and relay, except the log, that has
    /// exited; none does in a correct run. An engine aborts when its memory is overcommitted.
    pub fn exited_fakes(&mut self) -> Vec<String> {
        let ended = self.fakes.iter_mut().filter_map(|process| {
            process
                .has_exited()
                .then(|| format!("{}: {}", process.output_path.display(), process.read_output()))
        });
        ended.collect()
    }
}

fn merge_json(target: &mut Value, source: &Value) {
    match (target, source) {
        (Value::Object(target), Value::Object(source)) => {
            for (key, value) in source {
                merge_json(target.entry(key.clone()).or_insert(Value::Null), value);
            }
        }
        (target, source) => *target = source.clone(),
    }
}
