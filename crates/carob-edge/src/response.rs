//! Responses to callers.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use carob_net::{ChunkReceiver, IncompleteBody};
use carobglade::{Error, ErrorKind};
use http::{HeaderMap, HeaderValue, Response, StatusCode, Version};
use http_body::{Body, Frame, SizeHint};
use serde_json::json;

use crate::caller_connection::ServingGuard;

/// The body of a response.
pub enum ResponseBody {
    /// A complete body; `None` once it was sent.
    Full(Option<Bytes>),
    /// A body that is forwarded as it arrives.
    Stream(ChunkReceiver),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        match &mut *self {
            ResponseBody::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            ResponseBody::Stream(chunks) => {
                chunks.poll_chunk(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Full(bytes) => bytes.is_none(),
            ResponseBody::Stream(chunks) => chunks.is_finished(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            ResponseBody::Stream(_) => SizeHint::default(),
        }
    }
}

/// The body of a response whose request is in progress until the body was written.
pub struct ServedBody {
    body: ResponseBody,
    serving: ServingGuard,
}

impl ServedBody {
    /// Wraps the body of the response to a request of this version. A caller of HTTP/1.0 knows no
    /// chunks, so a stream ends with its connection.
    pub fn new(body: ResponseBody, version: Version, serving: ServingGuard) -> Self {
        if version < Version::HTTP_11 && matches!(body, ResponseBody::Stream(_)) {
            serving.begin_unframed();
        }
        ServedBody { body, serving }
    }
}

impl Body for ServedBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(polled, Poll::Ready(None)) {
            self.serving.end_unframed();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Builds a response with the status and headers of an upstream.
pub fn forwarded_response(
    status: u16,
    headers: HeaderMap,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = headers;
    response
}

/// Returns the HTTP status for an error kind. On the platform some statuses promise that the
/// request did not run and others keep the caller from retrying, so `Quarantined` is sent as 503.
fn status_code(kind: ErrorKind) -> u16 {
    match kind {
        ErrorKind::Quarantined => 503,
        other => other.response().status,
    }
}

/// Builds the response for an error. `close` makes the caller open a new connection, which the load
/// balancer may route to another vm.
pub fn error_response(err: &Error, close: bool) -> Response<ResponseBody> {
    let attributes = err.kind().response();
    let body = json!({
        "error": { "code": attributes.code, "message": err.message(), "run": attributes.execution.as_str() }
    });
    let mut response = Response::new(ResponseBody::Full(Some(body.to_string().into())));
    let status = status_code(err.kind());
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    if let Some(after) =
        err.retry_after().map(format_seconds).and_then(|s| HeaderValue::from_str(&s).ok())
    {
        headers.insert("retry-after", after);
    }
    if close {
        headers.insert("connection", HeaderValue::from_static("close"));
    }
    response
}

fn format_seconds(after: Duration) -> String {
    format!("{:.2}", after.as_secs_f64())
}
