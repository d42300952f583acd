//! Processes that the harness starts and ends, by id.

use std::collections::BTreeSet;
use std::fs::File;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::Mutex;
use std::time::Duration;

use eyre::{Context, Result, eyre};

const PORTS: std::ops::Range<u16> = 10_000..30_000; // below the range of outgoing connections
const PORT_STRIDE: u32 = 97;

static TAKEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// An address on loopback that nobody listens on.
pub fn free_address() -> SocketAddr {
    let mut taken = carob_net::lock(&TAKEN);
    let span = u32::from(PORTS.end - PORTS.start);
    let start = std::process::id().wrapping_mul(PORT_STRIDE) % span;
    let ports = (0..span).map(|i| PORTS.start + ((start + i) % span) as u16);
    for port in ports {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        // A port that was given out is not probed again: its process may be about to bind it.
        let fresh = taken.insert(port);
        if fresh && TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts a command while no port is being probed: a new process holds all open sockets of this
/// one until it has become its program, a probed port's among them.
///
/// # Errors
///
/// When the program cannot be started.
pub fn spawn(command: &mut Command) -> std::io::Result<Child> {
    let _probing = carob_net::lock(&TAKEN);
    command.spawn()
}

/// Runs a command to its end through [`spawn`] and returns its status and output.
///
/// # Errors
///
/// When the program cannot be started.
pub fn output(command: &mut Command) -> std::io::Result<Output> {
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    spawn(command)?.wait_with_output()
}

/// The folder of the programs that were built.
pub fn programs() -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().ok_or_else(|| eyre!("no folder"))?;
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    Ok(folder.to_path_buf())
}

/// A process; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Where its output goes.
    pub output: PathBuf,
}

impl Process {
    /// Starts a program that was built with this workspace.
    pub fn start(program: &str, args: &[&str], output: &Path) -> Result<Self> {
        let path = programs()?.join(program);
        let file = File::options().create(true).append(true).open(output)?;
        let mut command = Command::new(&path);
        command.args(args).stdin(Stdio::null()).stdout(file.try_clone()?).stderr(file);
        let child = spawn(&mut command).wrap_err_with(|| path.display().to_string())?;
        Ok(Process { child, output: output.to_path_buf() })
    }

    /// Its id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        let id = self.id().to_string();
        let mut command = Command::new("kill");
        command.args([&format!("-{name}"), id.as_str()]);
        let _ = spawn(&mut command).and_then(|mut child| child.wait());
    }

    /// Kills it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for its end; `None` when it still runs after `within`.
    pub async fn wait(&mut self, within: Duration) -> Option<i32> {
        let tick = Duration::from_millis(50);
        let mut waited = Duration::ZERO;
        while waited < within {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.code().unwrap_or(-1));
            }
            tokio::time::sleep(tick).await;
            waited += tick;
        }
        None
    }

    /// Whether it ended.
    pub fn ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// What it printed so far.
    pub fn printed(&self) -> String {
        std::fs::read_to_string(&self.output).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
