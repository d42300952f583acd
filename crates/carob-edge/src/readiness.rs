//! The address at which the load balancer asks whether the vm takes callers.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use carobglade::ConnectionStage;
use eyre::{Result, WrapErr};
use http::header::{CONNECTION, CONTENT_TYPE};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::connection_gate::{ConnectionGate, GateConnection};
use crate::edge::Edge;

/// Most connections that are open at once; a load balancer needs one or two.
const MAX_CONNECTIONS: usize = 32;
/// Time in which the next head has to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Opens the listener.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub fn bind(edge: &Edge) -> Result<TcpListener> {
    let address = edge.settings.listen.ready;
    let bind = || {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    };
    bind().wrap_err_with(|| format!("listen.ready {address}"))
}

/// Accepts connections until the task is aborted.
pub async fn accept(edge: Rc<Edge>, listener: TcpListener) {
    let gate = ConnectionGate::new("ready", MAX_CONNECTIONS, Rc::clone(&edge.clock));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Some(connection) = gate.open() {
                    tokio::task::spawn_local(serve(Rc::clone(&edge), stream, connection));
                }
                // Lets one that gave way close.
                tokio::task::yield_now().await;
            }
            Err(err) => {
                log::warn!(target: "front", error:% = err; "Failed to accept a connection that asks for readiness.");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Answers requests on a connection. A body is not read: its connection closes.
async fn serve(edge: Rc<Edge>, stream: TcpStream, connection: GateConnection) {
    let service = service_fn(|_| {
        // A client that has asked and goes on to send gives way after those that never asked.
        connection.set_stage(ConnectionStage::Idle);
        let response = response(&edge);
        async { Ok::<_, Infallible>(response) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        ended = served => {
            if let Err(err) = ended {
                log::debug!(target: "front", error:% = err; "A connection that asks for readiness ended with an error.");
            }
        }
        () = connection.evicted() => {}
    }
}

fn response(edge: &Edge) -> Response<Full<Bytes>> {
    let (status, text) = match edge.ready.load(Ordering::Relaxed) {
        true => (StatusCode::OK, "ready"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready"),
    };
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    if edge.stopping.get() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
