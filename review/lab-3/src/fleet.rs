//! Starts the entry processes as the platform does, with the settings of the deploy template.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use carob_bench::free_address;
use eyre::{Result, WrapErr, bail};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The program and the working folder of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/carob-edge";
/// The variable in which the platform names the settings file.
const SETTINGS_VARIABLE: &str = "CAROBGLADE_BOOT";
const START_TIME: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The machine that a process runs on.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Share of a core.
    pub share: f64,
    /// Memory in MB.
    pub memory: u64,
    /// Descriptors.
    pub descriptors: u64,
}

/// An entry process; killed when it is dropped.
pub struct Edge {
    child: Child,
    /// Address for clients.
    pub clients: SocketAddr,
    /// Address that the load balancer asks.
    pub ready: SocketAddr,
    settings: Value,
}

/// Returns the root of the repository.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn settings(
    name: &str,
    zone: &str,
    store: SocketAddr,
    machine: Machine,
) -> (Value, [SocketAddr; 2]) {
    let (clients, ready) = (free_address(), free_address());
    let (one, two) = (free_address().port(), free_address().port());
    let value = json!({
        "vm": name, "data_centre": zone, "ip": "127.0.0.1",
        "processor": { "share": machine.share, "speed": 1 },
        "memory": machine.memory, "descriptors": machine.descriptors,
        "listen": { "callers": clients, "ready": ready },
        "ports": { "first": one.min(two), "last": one.max(two) },
        "store": { "address": store, "shortest": 1000, "parts": 8 },
        "first": true,
        "bounds": { "revoke": 5000, "grace": 8, "lease": 3000, "retries": 0.2, "spare": 52, "tokens": 17000 },
    });
    (value, [clients, ready])
}

/// Starts the program of the deploy file with these settings.
fn spawn(folder: &Path, settings: &Value) -> Result<Child> {
    let name = settings["vm"].as_str().unwrap_or_default();
    let file = folder.join(format!("{name}.json"));
    std::fs::write(&file, settings.to_string())?;
    let log = File::create(folder.join(format!("{name}.log")))?;
    let mut command = Command::new(root().join(PROGRAM));
    command.current_dir(root()).env(SETTINGS_VARIABLE, &file);
    command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
    command.spawn().wrap_err("the program of the deploy file is missing")
}

impl Edge {
    /// Starts a process, at the first start of the whole system, and waits until it is ready.
    ///
    /// # Errors
    ///
    /// When the program cannot be started, or is not ready in time.
    pub async fn start(
        folder: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
        machine: Machine,
    ) -> Result<Self> {
        let (settings, [clients, ready]) = settings(name, zone, store, machine);
        let child = spawn(folder, &settings)?;
        let edge = Edge { child, clients, ready, settings };
        edge.wait_ready().await?;
        Ok(edge)
    }

    /// Starts the process again after it was killed, and waits until it is ready.
    ///
    /// # Errors
    ///
    /// As [`start`](Self::start).
    pub async fn restart(&mut self, folder: &Path) -> Result<()> {
        self.settings["first"] = json!(false);
        self.child = spawn(folder, &self.settings)?;
        self.wait_ready().await
    }

    async fn wait_ready(&self) -> Result<()> {
        let begin = Instant::now();
        while begin.elapsed() < START_TIME {
            if status_of(
                self.ready,
                "GET /readyz HTTP/1.1\r\nhost: lb\r\nconnection: close\r\n\r\n",
            )
            .await
            .is_ok_and(|status| status == 200)
            {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        bail!("the process is not ready in time")
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process, by its name.
    ///
    /// # Errors
    ///
    /// When the signal cannot be sent.
    pub fn signal(&self, name: &str) -> Result<()> {
        let sent =
            Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status()?;
        if !sent.success() {
            bail!("signal {name} was not sent");
        }
        Ok(())
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends the bytes of a request on a connection of its own and returns the status of the answer.
///
/// # Errors
///
/// When no answer begins.
pub async fn status_of(address: SocketAddr, request: &str) -> Result<u16> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut head = [0; 12];
    stream.read_exact(&mut head).await?;
    Ok(std::str::from_utf8(&head[9..12])?.parse()?)
}
