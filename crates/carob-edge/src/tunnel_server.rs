//! Carries connections of other vms to upstreams that they do not reach themselves.
//!
//! Whoever asks has to name the token that this vm told in the list of vms, and gets connections to
//! upstreams of the list only. A tunnel is always a direct connection from this vm, so there is at most
//! one vm between another one and an upstream.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use carobglade::{UpstreamEntry, UpstreamName};
use eyre::{Result, WrapErr};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{SockRef, TcpKeepalive};
use subtle::ConstantTimeEq;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::connect::{connect, set_reset_on_close};
use crate::edge::Edge;
use crate::in_flight::InFlightGuard;
use crate::tunnel::{STARTED_HEADER, TOKEN_HEADER, UPSTREAM_HEADER};

/// Maximum number of connections to this listener.
const MAX_TUNNELS: u64 = 512;
/// Time for the request that opens a tunnel.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit of the connection to the upstream; shorter than the other vm waits.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time without a byte after which the other vm is probed, and the interval and number of probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
const KEEPALIVE_PROBES: u32 = 3;

/// Opens the listener for other vms, at the address for messages.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub async fn bind(edge: &Edge) -> Result<TcpListener> {
    let address = edge.settings.peer_address();
    TcpListener::bind(address).await.wrap_err_with(|| format!("address for other vms {address}"))
}

/// Accepts connections of other vms until the task is dropped.
pub async fn accept(edge: Rc<Edge>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if edge.paths.carried.get() < MAX_TUNNELS => {
                let guard = edge.paths.carried.increment();
                tokio::task::spawn_local(serve(Rc::clone(&edge), stream, guard));
            }
            Ok(_) => {
                log::warn!(target: "paths", carried = MAX_TUNNELS; "This vm carries no more connections of other vms.");
            }
            Err(err) => {
                log::warn!(target: "paths", error:% = err; "Failed to accept a connection of another vm.");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the request that opens a tunnel. `guard` counts the connection until the tunnel ends.
async fn serve(edge: Rc<Edge>, stream: TcpStream, guard: InFlightGuard) {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(&stream);
    for result in [socket.set_tcp_nodelay(true), socket.set_tcp_keepalive(&keepalive)] {
        if let Err(err) = result {
            log::debug!(target: "paths", error:% = err; "Failed to set a socket option on a connection of another vm.");
        }
    }
    let guard = Rc::new(guard);
    let service = service_fn(move |request| {
        let (edge, guard) = (Rc::clone(&edge), Rc::clone(&guard));
        async move { Ok::<_, Infallible>(open(&edge, request, guard).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(false)
        .header_read_timeout(REQUEST_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .with_upgrades();
    if let Err(err) = served.await {
        log::debug!(target: "paths", error:% = err; "A connection of another vm ended with an error.");
    }
}

async fn open(
    edge: &Rc<Edge>,
    request: Request<Incoming>,
    guard: Rc<InFlightGuard>,
) -> Response<Empty<Bytes>> {
    let upstream = match check(edge, &request) {
        Ok(entry) => connect(entry.address, CONNECT_TIMEOUT).await,
        Err(status) => return response(status),
    };
    let Ok(upstream) = upstream else {
        return response(unreached_status(edge));
    };
    tokio::task::spawn_local(async move {
        let _guard = guard;
        let Ok(upgraded) = hyper::upgrade::on(request).await else {
            return;
        };
        if let Ok(parts) = upgraded.downcast::<TokioIo<TcpStream>>() {
            forward(parts.io.into_inner(), &parts.read_buf, upstream).await;
        }
    });
    response(StatusCode::OK)
}

/// Returns the status for an upstream that this vm did not reach. While it has lost paths of its own,
/// that says nothing of the upstream.
fn unreached_status(edge: &Edge) -> StatusCode {
    match edge.paths.table.borrow().lost_count() {
        0 => StatusCode::BAD_GATEWAY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn response(status: StatusCode) -> Response<Empty<Bytes>> {
    let mut response = Response::new(Empty::new());
    *response.status_mut() = status;
    response
}

/// Returns the upstream that a request asks for.
///
/// # Errors
///
/// Returns the status for a request that is not authorized, names no known upstream, or that this vm
/// does not carry now.
fn check(edge: &Edge, request: &Request<Incoming>) -> Result<UpstreamEntry, StatusCode> {
    let headers = request.headers();
    let token = text(headers, TOKEN_HEADER);
    if request.method() != Method::CONNECT
        || !bool::from(token.as_bytes().ct_eq(edge.paths.token.as_bytes()))
    {
        log::warn!(target: "paths", method:% = request.method(); "A connection of another vm is not authorized.");
        return Err(StatusCode::FORBIDDEN);
    }
    let name: UpstreamName =
        text(headers, UPSTREAM_HEADER).parse().map_err(|_| StatusCode::BAD_REQUEST)?;
    let started: u64 =
        text(headers, STARTED_HEADER).parse().map_err(|_| StatusCode::BAD_REQUEST)?;
    if edge.stopping.get() || edge.paths.table.borrow().is_lost(&name) {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let view = edge.view.borrow();
    view.upstreams.accepting_run(&name, started).cloned().ok_or(StatusCode::NOT_FOUND)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// Forwards bytes both ways, after those in `early`, until either side ends. A response may end with
/// its connection, so the other vm sees an ordinary end only where the upstream's connection had one. In
/// every other case, also when this process is killed, its connection is reset.
async fn forward(mut vm: TcpStream, early: &[u8], mut upstream: TcpStream) {
    if set_reset_on_close(&vm, true).is_err() || upstream.write_all(early).await.is_err() {
        return;
    }
    let (mut vm_read, mut vm_write) = vm.split();
    let (mut upstream_read, mut upstream_write) = upstream.split();
    let responses = async {
        tokio::io::copy(&mut upstream_read, &mut vm_write).await?;
        set_reset_on_close(vm_write.as_ref(), false)?;
        vm_write.shutdown().await
    };
    // The other vm closes its side only when it gives the request up.
    let ended = tokio::select! {
        sent = tokio::io::copy(&mut vm_read, &mut upstream_write) => sent.map(|_| ()),
        ended = responses => ended,
    };
    if let Err(err) = ended {
        log::debug!(target: "paths", error:% = err; "A connection of another vm is reset.");
    }
}
