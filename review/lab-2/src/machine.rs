//! A machine of a small deployment, whose process is started as the deploy file says.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use carob_bench::free_address;
use eyre::{Result, WrapErr, bail, eyre};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The program of `deploy/system.toml`, from the root of the repository.
const PROGRAM: &str = "target/release/carob-edge";
/// The variable that names the settings file.
const SETTINGS_VARIABLE: &str = "CAROBGLADE_BOOT";
const READY_TIMEOUT: Duration = Duration::from_secs(15);
const READY_INTERVAL: Duration = Duration::from_millis(50);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// What a machine of the deployment has.
#[derive(Clone, Copy, Debug)]
pub struct MachineLimits {
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Descriptors.
    pub descriptors: u64,
}

impl Default for MachineLimits {
    /// Returns the limits of the machines of the small deployments.
    fn default() -> Self {
        MachineLimits { memory_mb: 260, descriptors: 4100 }
    }
}

/// A machine and its process.
pub struct Machine {
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which the load balancer asks whether the machine is ready.
    pub ready: SocketAddr,
}

impl Machine {
    /// Writes the settings of a machine as the deploy file's template does, and starts its process.
    ///
    /// # Errors
    ///
    /// When the program cannot be started.
    pub fn start(
        name: &str,
        folder: &Path,
        store: SocketAddr,
        limits: MachineLimits,
    ) -> Result<Self> {
        let (callers, ready) = (free_address(), free_address());
        let (one, other) = (free_address().port(), free_address().port());
        let settings = json!({
            "vm": name, "data_centre": "rennes", "ip": "127.0.0.1",
            "processor": { "share": 0.25, "speed": 1 },
            "memory": limits.memory_mb, "descriptors": limits.descriptors,
            "listen": { "callers": callers, "ready": ready },
            "ports": { "first": one.min(other), "last": one.max(other) },
            "store": { "address": store, "shortest": 1000, "parts": 8 }, "first": true,
            "bounds": { "revoke": 5000, "grace": 8.0, "lease": 3000, "retries": 0.2, "spare": 52,
                        "tokens": 17000 },
        });
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string())?;
        let log = folder.join(format!("{name}.log"));
        let child = start_program(&path, &log)?;
        Ok(Machine { child, settings: path, log, callers, ready })
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the log of the process so far.
    pub fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal to the process, by its name without `SIG`.
    ///
    /// # Errors
    ///
    /// When the signal cannot be sent.
    pub fn signal(&self, name: &str) -> Result<()> {
        let id = self.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &id]).status()?;
        if status.success() { Ok(()) } else { Err(eyre!("kill -{name} failed")) }
    }

    /// Returns how the process ended, if it did.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Starts the process again after its end. The whole system does not start for the first time then.
    ///
    /// # Errors
    ///
    /// When the program cannot be started.
    pub fn start_again(&mut self) -> Result<()> {
        let text = std::fs::read_to_string(&self.settings)?;
        std::fs::write(&self.settings, text.replace("\"first\":true", "\"first\":false"))?;
        self.child = start_program(&self.settings, &self.log)?;
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process says that it is ready.
    ///
    /// # Errors
    ///
    /// When it does not within `READY_TIMEOUT`.
    pub async fn wait_ready(&self) -> Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            if self.is_ready().await {
                return Ok(());
            }
            tokio::time::sleep(READY_INTERVAL).await;
        }
        bail!("the machine is not ready after {READY_TIMEOUT:?}")
    }

    /// Asks once whether the machine is ready.
    pub async fn is_ready(&self) -> bool {
        matches!(tokio::time::timeout(PROBE_TIMEOUT, self.ask_ready()).await, Ok(Ok(true)))
    }

    async fn ask_ready(&self) -> Result<bool> {
        let mut stream = TcpStream::connect(self.ready).await?;
        stream
            .write_all(b"GET /readyz HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n")
            .await?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await?;
        Ok(answer.starts_with(b"HTTP/1.1 200"))
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

fn start_program(settings: &Path, log: &Path) -> Result<Child> {
    let out = File::options().create(true).append(true).open(log)?;
    let mut command = Command::new(PROGRAM);
    command.env(SETTINGS_VARIABLE, settings).stdin(Stdio::null());
    command.stdout(out.try_clone()?).stderr(out);
    command.spawn().wrap_err("the program of the deploy file cannot be started")
}
