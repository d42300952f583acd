//! Connections to upstreams before the first byte is sent.

use std::cell::RefCell;
use std::fmt::{self, Display};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use carobglade::{TunnelVms, VmName};
use socket2::SockRef;
use tokio::net::TcpStream;

/// How the connection of a request came about.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum ConnectionSource {
    /// There is none yet.
    #[default]
    None,
    /// It was idle in the pool.
    Kept,
    /// It was opened for the request.
    New,
    /// It was opened for the request through another vm.
    Via(VmName),
    /// It could not be opened.
    Failed(ConnectFailure),
}

impl Display for ConnectionSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectionSource::None => Ok(()),
            ConnectionSource::Kept => f.write_str("kept"),
            ConnectionSource::New => f.write_str("new"),
            ConnectionSource::Via(vm) => write!(f, "via {vm}"),
            ConnectionSource::Failed(failure) => f.write_str(failure.as_str()),
        }
    }
}

/// Why a connection could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The address refused it.
    Refused,
    /// There was no answer in time.
    NoAnswer,
}

impl ConnectFailure {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            ConnectFailure::Refused => "refused",
            ConnectFailure::NoAnswer => "no_answer",
        }
    }
}

/// Connects to an address within `timeout`.
///
/// # Errors
///
/// Returns why there is no connection.
pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<TcpStream, ConnectFailure> {
    let connecting = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
    let stream = connecting.map_err(|_| ConnectFailure::NoAnswer)?;
    let stream = stream.map_err(|_| ConnectFailure::Refused)?;
    // No TCP user timeout: it would also close the connection of an upstream that reads nothing of a
    // long body for a while. The deadline of each call ends its wait.
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!(target: "pool", error:% = err; "Failed to set a socket option on an upstream connection.");
    }
    Ok(stream)
}

/// Sets whether the operating system resets a connection when it is closed, by whatever closes it.
///
/// # Errors
///
/// When the operating system refuses.
pub fn set_reset_on_close(stream: &TcpStream, reset: bool) -> io::Result<()> {
    SockRef::from(stream).set_linger(reset.then_some(Duration::ZERO))
}

/// A connection to an upstream through another vm.
pub struct Tunnel {
    vms: Rc<RefCell<TunnelVms>>,
    vm: VmName,
    stream: Option<TcpStream>,
}

impl Tunnel {
    /// Creates a tunnel through `vm`, which counts as open in `vms` until it is dropped.
    pub fn new(vms: Rc<RefCell<TunnelVms>>, vm: VmName, stream: TcpStream) -> Self {
        vms.borrow_mut().record_open(&vm);
        Tunnel { vms, vm, stream: Some(stream) }
    }

    /// Returns the vm in between.
    pub fn vm(&self) -> &VmName {
        &self.vm
    }

    /// Takes the stream of bytes.
    pub fn take_stream(&mut self) -> Option<TcpStream> {
        self.stream.take()
    }
}

impl Drop for Tunnel {
    fn drop(&mut self) {
        self.vms.borrow_mut().record_end(&self.vm);
    }
}

/// A new connection to an upstream.
pub enum FreshConnection {
    /// From this vm.
    Direct(TcpStream),
    /// Through another vm.
    Tunnel(Tunnel),
}
