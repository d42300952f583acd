//! Processes that the harness starts and ends, by id.

use std::collections::BTreeSet;
use std::fs::File;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::Mutex;
use std::time::Duration;

use eyre::{Context, Result, eyre};

const PORT_RANGE: std::ops::Range<u16> = 10_000..30_000; // below the range of outgoing connections
const PORT_STRIDE: u32 = 97;

static ALLOCATED_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// An address on loopback that nobody listens on.
pub fn free_address() -> SocketAddr {
    let mut allocated = carob_net::lock(&ALLOCATED_PORTS);
    let port_count = u32::from(PORT_RANGE.end - PORT_RANGE.start);
    let start = std::process::id().wrapping_mul(PORT_STRIDE) % port_count;
    let ports = (0..port_count).map(|i| PORT_RANGE.start + ((start + i) % port_count) as u16);
    for port in ports {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        // A port that was given out is not probed again: its process may be about to bind it.
        let unused = allocated.insert(port);
        if unused && TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
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
    let _no_probing = carob_net::lock(&ALLOCATED_PORTS);
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
pub fn program_dir() -> Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let dir = executable.parent().ok_or_else(|| eyre!("no folder"))?;
    let dir = if dir.ends_with("deps") { dir.parent().unwrap_or(dir) } else { dir };
    Ok(dir.to_path_buf())
}

/// A process; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Where its output goes.
    pub output_path: PathBuf,
}

impl Process {
    /// Starts a program that was built with this workspace.
    pub fn start(program: &str, args: &[&str], output_path: &Path) -> Result<Self> {
        let path = program_dir()?.join(program);
        let file = File::options().create(true).append(true).open(output_path)?;
        let mut command = Command::new(&path);
        command.args(args).stdin(Stdio::null()).stdout(file.try_clone()?).stderr(file);
        let child = spawn(&mut command).wrap_err_with(|| path.display().to_string())?;
        Ok(Process { child, output_path: output_path.to_path_buf() })
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
    pub async fn wait(&mut self, timeout: Duration) -> Option<i32> {
        let poll_interval = Duration::from_millis(50);
        let mut waited = Duration::ZERO;
        while waited < timeout {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.code().unwrap_or(-1));
            }
            tokio::time::sleep(poll_interval).await;
            waited += poll_interval;
        }
        None
    }

    /// Whether it ended.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// What it printed so far.
    pub fn read_output(&self) -> String {
        std::fs::read_to_string(&self.output_path).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
