//! The listener for callers and the connections that it accepts.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use eyre::{Result, WrapErr};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::edge::Edge;
use crate::handle::handle;

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Time after which a connection with unacknowledged data is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(6);
const MIN_BUFFER_BYTES: usize = 16 << 10;
/// Time for the first request on a connection that is opened while the others are being closed.
const LATE_HEADER_TIMEOUT: Duration = Duration::from_secs(1);

/// The state of caller connections during a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Connections are kept alive.
    Serving,
    /// Each connection is closed after the request in progress.
    Closing,
}

/// Opens the listener for callers.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub fn bind(edge: &Edge) -> Result<TcpListener> {
    let address = edge.settings.listen.callers;
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address).wrap_err_with(|| format!("listen.callers {address}"))?;
    Ok(socket.listen(BACKLOG)?)
}

/// Accepts connections until the task is aborted.
pub async fn accept(edge: Rc<Edge>, listener: TcpListener, phase: watch::Receiver<Phase>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(Rc::clone(&edge), stream, phase.clone()));
            }
            Err(err) => {
                log::warn!(target: "front", error:% = err; "Failed to accept a caller connection.");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(edge: Rc<Edge>, stream: TcpStream, mut phase: watch::Receiver<Phase>) {
    let _open = edge.open_connections.increment();
    let socket = socket2::SockRef::from(&stream);
    for result in
        [socket.set_tcp_nodelay(true), socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))]
    {
        if let Err(err) = result {
            log::debug!(target: "front", error:% = err; "Failed to set a socket option on a caller connection.");
        }
    }
    let limits = edge.config().map(|config| config.limits).unwrap_or_default();
    // Closing a new connection would leave its request without a response, so it serves one.
    let late = *phase.borrow_and_update() == Phase::Closing;
    let header_timeout =
        if late { limits.idle_timeout.min(LATE_HEADER_TIMEOUT) } else { limits.idle_timeout };
    let service = service_fn(move |request| {
        let edge = Rc::clone(&edge);
        async move { Ok::<_, Infallible>(handle(edge, request).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(!late)
        // Counts from the end of the previous request, so this also limits idle connections.
        .header_read_timeout(header_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut served = std::pin::pin!(served);
    loop {
        tokio::select! {
            ended = &mut served => {
                if let Err(err) = ended {
                    log::debug!(target: "front", error:% = err; "Caller connection ended with an error.");
                }
                return;
            }
            changed = phase.changed() => {
                if changed.is_err() || *phase.borrow() == Phase::Closing {
                    served.as_mut().graceful_shutdown();
                    break;
                }
            }
        }
    }
    if let Err(err) = served.await {
        log::debug!(target: "front", error:% = err; "Caller connection ended with an error.");
    }
}
