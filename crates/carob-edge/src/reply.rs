//! Answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use carob_net::{BrokenOff, ChunkReceiver};
use carobglade::{Error, ErrorKind};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use serde_json::json;

/// The body of an answer.
pub enum ReplyBody {
    /// Known whole.
    Whole(Option<Bytes>),
    /// Still arriving.
    Stream(ChunkReceiver),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match &mut *self {
            ReplyBody::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            ReplyBody::Stream(chunks) => {
                chunks.poll_chunk(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ReplyBody::Whole(bytes) => bytes.is_none(),
            ReplyBody::Stream(chunks) => chunks.done(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ReplyBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            ReplyBody::Stream(_) => SizeHint::default(),
        }
    }
}

/// An answer with an upstream's status and headers.
pub fn passed(status: u16, headers: HeaderMap, body: ReplyBody) -> Response<ReplyBody> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = headers;
    response
}

/// The status for an error kind on the platform, where some statuses promise that the request
/// did not run and others stop a caller from coming back.
fn status(kind: ErrorKind) -> u16 {
    match kind {
        ErrorKind::Quarantined => 503,
        other => other.answer().status,
    }
}

/// The answer for an error. `close` makes the caller come back on a new connection, which the
/// balancer may lead to another vm.
pub fn refusal(err: &Error, close: bool) -> Response<ReplyBody> {
    let answer = err.kind().answer();
    let body = json!({
        "error": { "code": answer.code, "message": err.message(), "run": answer.run.as_str() }
    });
    let mut response = Response::new(ReplyBody::Whole(Some(body.to_string().into())));
    let status = status(err.kind());
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    if let Some(after) = err.retry().map(seconds).and_then(|s| HeaderValue::from_str(&s).ok()) {
        headers.insert("retry-after", after);
    }
    if close {
        headers.insert("connection", HeaderValue::from_static("close"));
    }
    response
}

fn seconds(after: Duration) -> String {
    format!("{:.2}", after.as_secs_f64())
}
