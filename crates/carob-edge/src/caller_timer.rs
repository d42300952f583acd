//! Ends a caller's connection that waits for too long between two requests.

use std::future::poll_fn;
use std::pin::pin;
use std::task::{Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use carobglade::{Error, ErrorKind};
use http::Response;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep_until};

use crate::caller_connection::{CallerStream, ConnectionState};
use crate::edge::Edge;
use crate::response::{ResponseBody, error_response};

/// Time for which the rest of a head is read and dropped after its refusal. Without it the connection
/// is reset, and the caller may lose the refusal.
const DISCARD_TIME: Duration = Duration::from_millis(500);
const DISCARD_BUFFER_BYTES: usize = 4096;

/// Completes when the connection has waited for too long, by the configurations in force meanwhile.
///
/// It has to be polled whenever the connection made progress, since a head that begins to arrive may
/// end the wait sooner.
pub async fn wait_expired(state: &ConnectionState) {
    loop {
        wait_elapsed(state).await;
        // A process that was held up runs its timers before it learns what lies in its sockets.
        tokio::task::yield_now().await;
        if state.remaining_wait().is_zero() {
            return;
        }
    }
}

/// Completes when the time to wait is over, as far as the process has read its sockets.
async fn wait_elapsed(state: &ConnectionState) {
    let mut sleep = pin!(sleep_until(Instant::now() + state.remaining_wait()));
    poll_fn(|cx| {
        loop {
            let left = state.remaining_wait();
            if left.is_zero() {
                return Poll::Ready(());
            }
            let until = Instant::now() + left;
            if until < sleep.deadline() || sleep.is_elapsed() {
                sleep.as_mut().reset(until);
            }
            ready!(sleep.as_mut().poll(cx));
        }
    })
    .await;
}

/// Returns the error of a request whose head is late.
pub fn head_timeout_error() -> Error {
    Error::new(ErrorKind::HeadTimeout, "the head did not arrive in time")
}

/// Tells a caller why a head that has arrived in part is refused, and closes the connection for
/// writing.
pub async fn refuse_partial_head(
    edge: &Edge,
    state: &ConnectionState,
    stream: &mut CallerStream,
    err: &Error,
) {
    let took = state.head_began().map(|began| edge.now().saturating_sub(began)).unwrap_or_default();
    edge.metrics.record_refusal(err.kind());
    log::info!(target: "request", id = "", kind = err.kind().response().code, why = err.message(), took = took.as_millis() as u64, retry = 0; "A request was refused.");
    let sent = stream.write_all(&encode(error_response(err, true))).await;
    if let Err(err) = sent.and(stream.shutdown().await) {
        log::trace!(target: "front", error:% = err; "The caller had closed the connection.");
        return;
    }
    let mut buf = [0; DISCARD_BUFFER_BYTES];
    let discarding = async { while matches!(stream.read(&mut buf).await, Ok(len) if len > 0) {} };
    // The time limit is the usual end: the caller closes the connection on its own.
    let _ = tokio::time::timeout(DISCARD_TIME, discarding).await;
}

/// Encodes a response whose body is complete.
fn encode(response: Response<ResponseBody>) -> Bytes {
    let (parts, body) = response.into_parts();
    let body = match body {
        ResponseBody::Full(bytes) => bytes.unwrap_or_default(),
        ResponseBody::Stream(_) => Bytes::new(),
    };
    let mut encoded = format!("HTTP/1.1 {}\r\ncontent-length: {}\r\n", parts.status, body.len());
    for (name, value) in &parts.headers {
        encoded.push_str(&format!("{name}: {}\r\n", value.to_str().unwrap_or_default()));
    }
    encoded.push_str("\r\n");
    let mut encoded = encoded.into_bytes();
    encoded.extend_from_slice(&body);
    encoded.into()
}
