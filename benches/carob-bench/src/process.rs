//! Child processes of the harness, and the ports that they listen on.

use std::collections::BTreeSet;
use std::fs::File;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::Mutex;
use std::time::Duration;

use eyre::{Context, Result, eyre};

const PORT_RANGE: std::ops::Range<u16> = 10_000..30_000; // below the ephemeral ports
const PORT_STRIDE: u32 = 97; // spreads the first ports of concurrent harness processes

static ALLOCATED_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Returns a loopback address whose port is free for TCP and UDP; no port is returned twice.
///
/// The port is 0 if no port of the range is free.
pub fn free_address() -> SocketAddr {
    let mut allocated = carob_net::lock(&ALLOCATED_PORTS);
    let port_count = u32::from(PORT_RANGE.end - PORT_RANGE.start);
    let start = std::process::id().wrapping_mul(PORT_STRIDE) % port_count;
    let ports = (0..port_count).map(|i| PORT_RANGE.start + ((start + i) % port_count) as u16);
    for port in ports {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        // A port returned earlier is not probed again: its process may be about to bind it.
        let unused = allocated.insert(port);
        if unused && TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts a command while no port is being probed.
///
/// A new process inherits all open sockets of this process, including that of a probed port, until
/// it executes its program.
///
/// # Errors
///
/// Fails if the program cannot be started.
pub fn spawn(command: &mut Command) -> std::io::Result<Child> {
    let _no_probing = carob_net::lock(&ALLOCATED_PORTS);
    command.spawn()
}

/// Runs a command to its end through [`spawn`] and returns its status and output.
///
/// # Errors
///
/// Fails if the program cannot be started.
pub fn output(command: &mut Command) -> std::io::Result<Output> {
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    spawn(command)?.wait_with_output()
}

/// Returns the directory of the programs that were built with this workspace.
///
/// # Errors
///
/// Fails if the path of the current executable is unknown or has no parent.
pub fn program_dir() -> Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let dir = executable
        .parent()
        .ok_or_else(|| eyre!("path of the current executable has no parent directory"))?;
    let dir = if dir.ends_with("deps") { dir.parent().unwrap_or(dir) } else { dir };
    Ok(dir.to_path_buf())
}

/// Child process that is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// File that receives standard output and standard error.
    pub output_path: PathBuf,
}

impl Process {
    /// Starts a program that was built with this workspace; its output is appended to
    /// `output_path`.
    ///
    /// # Errors
    ///
    /// Fails if the output file cannot be opened or the program cannot be started.
    pub fn start(program: &str, args: &[&str], output_path: &Path) -> Result<Self> {
        let path = program_dir()?.join(program);
        let file = File::options().create(true).append(true).open(output_path)?;
        let mut command = Command::new(&path);
        command.args(args).stdin(Stdio::null()).stdout(file.try_clone()?).stderr(file);
        let child = spawn(&mut command).wrap_err_with(|| path.display().to_string())?;
        Ok(Process { child, output_path: output_path.to_path_buf() })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name without `SIG`, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.id().to_string();
        let mut command = Command::new("kill");
        command.args([&format!("-{name}"), id.as_str()]);
        let _ = spawn(&mut command).and_then(|mut child| child.wait());
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to exit and returns its exit code, -1 if a signal ended it, or `None`
    /// if it still runs after `timeout`.
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

    /// Reports whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Returns the output file's text so far; empty if the file cannot be read.
    pub fn read_output(&self) -> String {
        std::fs::read_to_string(&self.output_path).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
