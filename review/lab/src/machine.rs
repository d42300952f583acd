//! Processes of the system, started as the deploy file says.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use carob_net::HttpClient;
use serde_json::json;

use crate::Result;

/// The program, as `run` in the deploy file names it.
const PROGRAM: &str = "target/release/carob-edge";
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the platform asks a machine whether it is ready.
const READY_INTERVAL: Duration = Duration::from_secs(1);
/// Misses in a row after which a machine gets no new connection.
const MAX_MISSES: u32 = 2;

/// Returns a free address on loopback.
pub fn free_address() -> SocketAddr {
    let bound = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|socket| socket.local_addr());
    bound.unwrap_or_else(|_| SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
}

/// An entry machine.
pub struct Machine {
    /// Its name.
    pub name: String,
    /// The address for clients.
    pub frontend: SocketAddr,
    ready: SocketAddr,
    ports: (u16, u16),
    store: SocketAddr,
    folder: PathBuf,
    starts: u32,
    child: Option<Child>,
}

impl Machine {
    /// Describes a machine whose process does not run yet.
    pub fn new(name: &str, store: SocketAddr, folder: &Path) -> Self {
        let (first, last) = (free_address().port(), free_address().port());
        Machine {
            name: name.to_owned(),
            frontend: free_address(),
            ready: free_address(),
            ports: (first.min(last), first.max(last)),
            store,
            folder: folder.to_owned(),
            starts: 0,
            child: None,
        }
    }

    /// Starts the process; `bootstrap` tells whether the whole system starts for the first time.
    ///
    /// # Errors
    ///
    /// When the program cannot be started.
    pub fn start(&mut self, bootstrap: bool) -> Result<()> {
        let settings = self.folder.join(format!("{}.json", self.name));
        std::fs::write(&settings, self.settings(bootstrap).to_string())?;
        self.starts += 1;
        let log = File::create(self.folder.join(format!("{}-{}.log", self.name, self.starts)))?;
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("CAROBGLADE_BOOT", &settings);
        for name in ["PATH", "HOME", "LANG"] {
            command.envs(std::env::var(name).map(|value| (name, value)));
        }
        let output = log.try_clone()?;
        command.stdin(Stdio::null()).stdout(output).stderr(log);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Returns the settings, as the deploy file's template renders them for a small deployment.
    fn settings(&self, bootstrap: bool) -> serde_json::Value {
        json!({
            "vm": self.name, "data_centre": "rennes", "ip": "127.0.0.1",
            "processor": { "share": 0.25, "speed": 1 },
            "listen": { "callers": self.frontend, "ready": self.ready },
            "ports": { "first": self.ports.0, "last": self.ports.1 },
            "store": { "address": self.store, "shortest": 1000, "parts": 8 },
            "first": bootstrap,
            "bounds": { "revoke": 5000, "grace": 8, "lease": 3000, "retries": 0.2, "spare": 52,
                        "tokens": 17000 },
        })
    }

    /// Waits until the process reports that it is ready.
    ///
    /// # Errors
    ///
    /// When it does not in time.
    pub async fn wait_ready(&self) -> Result<()> {
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            if self.is_ready().await {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(format!("{} is not ready in time", self.name).into())
    }

    /// Asks the process whether it is ready, as the platform does.
    pub async fn is_ready(&self) -> bool {
        ask_ready(self.ready).await
    }

    /// Returns the id of the process; 0 if none runs.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// When there is no process, or the signal cannot be sent.
    pub fn signal(&self, signal: &str) -> Result<()> {
        let child = self.child.as_ref().ok_or("the process does not run")?;
        let status = Command::new("kill").args(["-s", signal, &child.id().to_string()]).status()?;
        status.success().then_some(()).ok_or_else(|| "the signal was not sent".into())
    }

    /// Waits until the process has ended, at most `limit`.
    ///
    /// # Errors
    ///
    /// When it has not ended by then.
    pub async fn wait_end(&mut self, limit: Duration) -> Result<()> {
        let started = Instant::now();
        while started.elapsed() < limit {
            let child = self.child.as_mut().ok_or("the process does not run")?;
            if child.try_wait()?.is_some() {
                self.child = None;
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(format!("{} does not end", self.name).into())
    }
}

async fn ask_ready(address: SocketAddr) -> bool {
    let url = format!("http://{address}/readyz");
    let answer = HttpClient::unpooled().get(&url, READY_INTERVAL).await;
    answer.is_ok_and(|answer| answer.status == 200)
}

/// The platform's choice of machines for new connections.
#[derive(Clone)]
pub struct Rotation {
    machines: Vec<(String, SocketAddr, Arc<AtomicU32>)>,
}

impl Rotation {
    /// Starts to ask the machines whether they are ready.
    pub fn start(machines: &[Machine]) -> Self {
        let machines = machines.iter().map(|machine| {
            let misses = Arc::new(AtomicU32::new(0));
            tokio::spawn(ask_each_second(machine.ready, Arc::clone(&misses)));
            (machine.name.clone(), machine.frontend, misses)
        });
        Rotation { machines: machines.collect() }
    }

    /// Returns a machine that gets new connections, if there is any.
    pub fn choose(&self, number: usize) -> Option<(String, SocketAddr)> {
        let ready = |(_, _, misses): &&(String, SocketAddr, Arc<AtomicU32>)| {
            misses.load(Ordering::Relaxed) < MAX_MISSES
        };
        let ready: Vec<_> = self.machines.iter().filter(ready).collect();
        let (name, to, _) = ready.get(number % ready.len().max(1))?;
        Some((name.clone(), *to))
    }
}

async fn ask_each_second(address: SocketAddr, misses: Arc<AtomicU32>) {
    loop {
        let missed = misses.load(Ordering::Relaxed);
        misses.store(if ask_ready(address).await { 0 } else { missed + 1 }, Ordering::Relaxed);
        tokio::time::sleep(READY_INTERVAL).await;
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
