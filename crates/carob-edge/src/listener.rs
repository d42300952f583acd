//! The listener for callers and the connections that it accepts.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use carob_net::announce_keep_alive;
use eyre::{Result, WrapErr};
use http::Request;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::caller_connection::{CallerStream, ConnectionState};
use crate::caller_timer::{head_timeout_error, refuse_partial_head, wait_expired};
use crate::connection_gate::GateConnection;
use crate::edge::Edge;
use crate::handle::handle;
use crate::head_limit::{head_limit, too_long_error};
use crate::response::ServedBody;

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Time after which a connection with unacknowledged data is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(6);
/// Longest head on a connection that was accepted while the configuration allowed less.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Time for the first request on a new connection, for which a stop waits.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(300);
/// Time for which bytes that cross the close of an idle connection are looked for.
const LATE_BYTES_TIME: Duration = Duration::from_millis(200);

/// The state of caller connections during a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Connections are kept alive.
    Serving,
    /// Each connection is closed after the requests on it; idle ones stay open.
    Stopping,
    /// A head that has arrived in part is refused.
    Aborting,
    /// Idle connections are closed too.
    Closing,
}

/// Why the process closed a connection without a request in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// No request came for the idle time.
    IdleTimeout,
    /// A head is longer than the configuration allows.
    LongHead,
    /// The process is stopping.
    Stop,
    /// It gave way to a new connection.
    Replaced,
}

impl CloseReason {
    fn as_str(self) -> &'static str {
        match self {
            CloseReason::IdleTimeout => "idle_timeout",
            CloseReason::LongHead => "long_head",
            CloseReason::Stop => "stop",
            CloseReason::Replaced => "replaced",
        }
    }
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
                // One that is refused is closed at once: it was not read.
                if let Some(gate) = edge.caller_gate.open() {
                    let edge = Rc::clone(&edge);
                    tokio::task::spawn_local(serve_connection(edge, stream, gate, phase.clone()));
                }
                // Lets one that gave way close.
                tokio::task::yield_now().await;
            }
            Err(err) => {
                log::warn!(target: "front", error:% = err; "Failed to accept a caller connection.");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(
    edge: Rc<Edge>,
    stream: TcpStream,
    gate: GateConnection,
    mut phase: watch::Receiver<Phase>,
) {
    let open = edge.open_connections.increment();
    let socket = socket2::SockRef::from(&stream);
    for result in
        [socket.set_tcp_nodelay(true), socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))]
    {
        if let Err(err) = result {
            log::debug!(target: "front", error:% = err; "Failed to set a socket option on a caller connection.");
        }
    }
    edge.keep_connections_open(FIRST_REQUEST_TIME);
    let gate = Rc::new(gate);
    let state = ConnectionState::new(Rc::clone(&edge), Rc::clone(&gate));
    let service_edge = Rc::clone(&edge);
    let service_state = Rc::clone(&state);
    let service = service_fn(move |request: Request<Incoming>| {
        let (edge, version) = (Rc::clone(&service_edge), request.version());
        let serving = service_state.begin_request(!request.body().is_end_stream());
        async move {
            let mut response = handle(Rc::clone(&edge), request, &serving).await;
            let promise = edge.settings.keep_alive_promise();
            announce_keep_alive(response.headers_mut(), promise, edge.stopping.get());
            Ok::<_, Infallible>(response.map(|body| ServedBody::new(body, version, serving)))
        }
    });
    let stream = CallerStream::new(stream, Rc::clone(&state));
    let mut served = http1::Builder::new()
        // A fixed time would not follow the configuration.
        .header_read_timeout(None)
        // The limit in force is checked for each head.
        .max_buf_size(head_limit(&edge).max(MAX_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut reason = None;
    // Whether the connection can still be written to after its end.
    let mut writable = false;
    let mut expired = pin!(wait_expired(&state));
    let ended = loop {
        tokio::select! {
            // What has arrived is read before the wait ends.
            biased;
            ended = &mut served => break ended,
            () = state.head_exceeded() => {
                reason = Some(CloseReason::LongHead);
                writable = true;
                break Ok(());
            }
            () = &mut expired => {
                reason = Some(CloseReason::IdleTimeout);
                writable = true;
                break Ok(());
            }
            () = gate.evicted() => {
                // A request may have become complete since its connection was chosen.
                if !state.may_give_way() {
                    continue;
                }
                let partial = state.head_began().is_some();
                edge.metrics.record_idle_close(CloseReason::Replaced.as_str(), partial);
                return;
            }
            // A request that was sent behind the one that ended has been read by now.
            () = state.idle_in_stop() => std::pin::Pin::new(&mut served).graceful_shutdown(),
            changed = phase.changed() => {
                if *phase.borrow() >= Phase::Aborting && state.head_began().is_some() {
                    reason = Some(CloseReason::Stop);
                    writable = true;
                    break Ok(());
                }
                let closing = changed.is_err() || *phase.borrow() == Phase::Closing;
                if closing {
                    reason = (!state.is_serving()).then_some(CloseReason::Stop);
                    std::pin::Pin::new(&mut served).graceful_shutdown();
                    break (&mut served).await;
                }
            }
        }
    };
    if let Err(err) = ended {
        log::debug!(target: "front", error:% = err; "Caller connection ended with an error.");
    }
    if let Some(reason) = reason {
        let parts = served.into_parts();
        let mut stream = parts.io.into_inner();
        if writable && !parts.read_buf.is_empty() {
            let err = match reason {
                CloseReason::LongHead => too_long_error(&edge),
                CloseReason::IdleTimeout | CloseReason::Stop | CloseReason::Replaced => {
                    head_timeout_error()
                }
            };
            refuse_partial_head(&edge, &state, &mut stream, &err).await;
            return;
        }
        drop(open);
        record_idle_close(&edge, &state, stream, reason).await;
    }
}

/// Counts a connection that was closed without a request in progress, and reports whether bytes
/// of a request were lost with it.
async fn record_idle_close(
    edge: &Edge,
    state: &ConnectionState,
    mut stream: CallerStream,
    reason: CloseReason,
) {
    if let Err(err) = stream.shutdown().await {
        log::trace!(target: "front", error:% = err; "The caller had closed the connection.");
    }
    tokio::time::sleep(LATE_BYTES_TIME).await;
    let unread = stream.has_unread_bytes();
    let partial = state.head_began().is_some();
    edge.metrics.record_idle_close(reason.as_str(), unread || partial);
    edge.stop_counts.record_idle_close(unread || partial);
    if unread || partial {
        log::warn!(target: "front", reason = reason.as_str(), unread = unread, partial = partial; "A connection was closed with a request on it.");
    }
}
