//! An HTTP client on hyper-util.

use std::time::Duration;

use bytes::Bytes;
use carobglade::{Error, ErrorKind};
use http::{HeaderMap, Method, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::body_end::BodyEnd;
use crate::connector::WatchedConnector;
use crate::silence::watch_silence;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_RESPONSE_BYTES: usize = 64 << 20; // for bodies that are read to the end

/// A response whose body was read to its end.
#[derive(Debug)]
pub struct HttpResponse {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A response whose body is still arriving.
#[derive(Debug)]
pub struct StreamingResponse {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    body: Incoming,
    end: BodyEnd,
    /// Whether no byte of the body has arrived yet.
    empty: bool,
}

impl StreamingResponse {
    /// Returns the next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// `Timeout` when no data arrives within `idle_timeout`, `UpstreamFailed` when the connection
    /// breaks before the end of the body, or a success ends with its connection and without any byte
    /// of a body.
    pub async fn next_chunk(
        &mut self,
        idle_timeout: Duration,
    ) -> carobglade::Result<Option<Bytes>> {
        loop {
            let frame = tokio::time::timeout(idle_timeout, self.body.frame()).await;
            match frame {
                Err(_) => return Err(timeout_error(idle_timeout)),
                Ok(None) if self.is_doubtful() => {
                    let message = "the connection ended behind the head";
                    return Err(Error::new(ErrorKind::UpstreamFailed, message));
                }
                Ok(None) => return Ok(None),
                Ok(Some(Err(err))) => return Err(failed_error(&err)),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.empty &= data.is_empty();
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Reports whether the response may have been cut behind its head.
    fn is_doubtful(&self) -> bool {
        let status = StatusCode::from_u16(self.status).unwrap_or_default();
        self.end.is_doubtful(status, self.empty)
    }

    /// Reads the rest of the body. `idle_timeout` applies to each chunk, not to the whole body.
    ///
    /// # Errors
    ///
    /// The errors of [`next_chunk`](Self::next_chunk), and `UpstreamFailed` when the body is longer
    /// than 64 MiB.
    pub async fn read_to_end(self, idle_timeout: Duration) -> carobglade::Result<HttpResponse> {
        self.read_to_end_watched(idle_timeout, idle_timeout, || {}).await
    }

    /// Reads the rest of the body, with `idle_timeout` as in [`read_to_end`](Self::read_to_end).
    /// Calls `on_silence` whenever a chunk takes longer than `expected`.
    ///
    /// # Errors
    ///
    /// The errors of [`read_to_end`](Self::read_to_end).
    pub async fn read_to_end_watched(
        mut self,
        expected: Duration,
        idle_timeout: Duration,
        on_silence: impl Fn(),
    ) -> carobglade::Result<HttpResponse> {
        let mut body = Vec::new();
        loop {
            let next = watch_silence(self.next_chunk(idle_timeout), expected, &on_silence);
            let Some(chunk) = next.await? else {
                break;
            };
            if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
                let message = format!("answer is longer than {MAX_RESPONSE_BYTES} bytes");
                return Err(Error::new(ErrorKind::UpstreamFailed, message));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(HttpResponse { status: self.status, headers: self.headers, body: body.into() })
    }
}

fn timeout_error(timeout: Duration) -> Error {
    Error::new(ErrorKind::Timeout, format!("no progress for {} ms", timeout.as_millis()))
}

fn failed_error(err: &dyn std::error::Error) -> Error {
    let cause = err.source().map(|source| format!(": {source}")).unwrap_or_default();
    Error::new(ErrorKind::UpstreamFailed, format!("{err}{cause}"))
}

/// An HTTP client.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<WatchedConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client that keeps idle connections for later requests.
    pub fn pooled() -> Self {
        HttpClient { client: build_client(usize::MAX) }
    }

    /// Creates a client that opens a connection for each request, so that a failure to connect
    /// proves that nothing was sent.
    pub fn unpooled() -> Self {
        HttpClient { client: build_client(0) }
    }

    /// Sends a request and waits up to `head_timeout` for the status and headers of the response.
    ///
    /// # Errors
    ///
    /// `InvalidRequest` when `url` cannot be parsed, `UpstreamUnavailable` when the connection
    /// failed and nothing was sent, `Timeout` or `UpstreamFailed` when part of the request may have
    /// been sent.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        headers: HeaderMap,
        body: Bytes,
        head_timeout: Duration,
    ) -> carobglade::Result<StreamingResponse> {
        let mut request = http::Request::builder().method(method.clone()).uri(url);
        if let Some(target) = request.headers_mut() {
            *target = headers;
        }
        let request = request
            .body(Full::new(body))
            .map_err(|err| Error::new(ErrorKind::InvalidRequest, format!("url {url:?}: {err}")))?;
        let result = tokio::time::timeout(head_timeout, self.client.request(request)).await;
        match result {
            Err(_) => Err(timeout_error(head_timeout)),
            Ok(Err(err)) if err.is_connect() => {
                Err(Error::new(ErrorKind::UpstreamUnavailable, failed_error(&err).message()))
            }
            Ok(Err(err)) => Err(failed_error(&err)),
            Ok(Ok(response)) => {
                let (parts, body) = response.into_parts();
                let end = BodyEnd::of(&method, parts.status, &parts.headers)
                    .map_err(|odd| Error::new(ErrorKind::UpstreamFailed, odd.to_string()))?;
                Ok(StreamingResponse {
                    status: parts.status.as_u16(),
                    headers: parts.headers,
                    body,
                    end,
                    empty: true,
                })
            }
        }
    }

    /// Posts `body` as JSON and reads the whole response. `timeout` limits the wait for the head of
    /// the response and for each chunk of its body.
    ///
    /// # Errors
    ///
    /// The errors of [`send`](Self::send) and [`StreamingResponse::next_chunk`], and
    /// `UpstreamFailed` when the body is longer than 64 MiB.
    pub async fn post(
        &self,
        url: &str,
        body: Bytes,
        timeout: Duration,
    ) -> carobglade::Result<HttpResponse> {
        let mut headers = HeaderMap::new();
        headers.insert("content-type", http::HeaderValue::from_static("application/json"));
        self.send(Method::POST, url, headers, body, timeout).await?.read_to_end(timeout).await
    }

    /// Gets `url` and reads the whole response, with `timeout` as in [`post`](Self::post).
    ///
    /// # Errors
    ///
    /// The errors of [`send`](Self::send) and [`StreamingResponse::next_chunk`], and
    /// `UpstreamFailed` when the body is longer than 64 MiB.
    pub async fn get(&self, url: &str, timeout: Duration) -> carobglade::Result<HttpResponse> {
        let response = self.send(Method::GET, url, HeaderMap::new(), Bytes::new(), timeout).await?;
        response.read_to_end(timeout).await
    }
}

fn build_client(max_idle: usize) -> Client<WatchedConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .retry_canceled_requests(max_idle > 0)
        .build(WatchedConnector(connector))
}
