//! Calling HTTP servers with hyper-util.

use std::time::Duration;

use bytes::Bytes;
use carobglade::{Error, ErrorKind};
use http::{HeaderMap, Method};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const WHOLE_MAX: usize = 64 << 20; // bytes of an answer that is read whole

/// An answer that was read whole.
#[derive(Debug)]
pub struct HttpResponse {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// An answer whose body is still arriving.
#[derive(Debug)]
pub struct StreamingResponse {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    body: Incoming,
}

impl StreamingResponse {
    /// The next chunk; `None` at the end of a whole answer.
    ///
    /// # Errors
    ///
    /// `Timeout` when nothing arrives within `silence`, `UpstreamFailed` when the answer breaks
    /// off.
    pub async fn next_chunk(&mut self, silence: Duration) -> carobglade::Result<Option<Bytes>> {
        loop {
            let frame = tokio::time::timeout(silence, self.body.frame()).await;
            match frame {
                Err(_) => return Err(silent(silence)),
                Ok(None) => return Ok(None),
                Ok(Some(Err(err))) => return Err(failed(&err)),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// As [`chunk`](Self::chunk); `UpstreamFailed` beyond 64 MiB.
    pub async fn read_to_end(mut self, silence: Duration) -> carobglade::Result<HttpResponse> {
        let mut body = Vec::new();
        while let Some(chunk) = self.next_chunk(silence).await? {
            if body.len() + chunk.len() > WHOLE_MAX {
                let message = format!("answer is longer than {WHOLE_MAX} bytes");
                return Err(Error::new(ErrorKind::UpstreamFailed, message));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(HttpResponse { status: self.status, headers: self.headers, body: body.into() })
    }
}

fn silent(silence: Duration) -> Error {
    Error::new(ErrorKind::Timeout, format!("no progress for {} ms", silence.as_millis()))
}

fn failed(err: &dyn std::error::Error) -> Error {
    let cause = err.source().map(|source| format!(": {source}")).unwrap_or_default();
    Error::new(ErrorKind::UpstreamFailed, format!("{err}{cause}"))
}

/// Calls HTTP servers.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// A caller that keeps idle connections for later calls.
    pub fn pooled() -> Self {
        HttpClient { client: build(usize::MAX) }
    }

    /// A caller that opens a connection for each call, so that a failure to connect proves that
    /// nothing was sent.
    pub fn unpooled() -> Self {
        HttpClient { client: build(0) }
    }

    /// Sends a request and waits up to `silence` for the head of the answer.
    ///
    /// # Errors
    ///
    /// `UpstreamUnavailable` when nothing was sent, `Timeout` or `UpstreamFailed` when something
    /// may have been.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        headers: HeaderMap,
        body: Bytes,
        silence: Duration,
    ) -> carobglade::Result<StreamingResponse> {
        let mut request = http::Request::builder().method(method).uri(url);
        if let Some(target) = request.headers_mut() {
            *target = headers;
        }
        let request = request
            .body(Full::new(body))
            .map_err(|err| Error::new(ErrorKind::InvalidRequest, format!("url {url:?}: {err}")))?;
        let answer = tokio::time::timeout(silence, self.client.request(request)).await;
        match answer {
            Err(_) => Err(silent(silence)),
            Ok(Err(err)) if err.is_connect() => {
                Err(Error::new(ErrorKind::UpstreamUnavailable, failed(&err).message()))
            }
            Ok(Err(err)) => Err(failed(&err)),
            Ok(Ok(response)) => {
                let (parts, body) = response.into_parts();
                Ok(StreamingResponse {
                    status: parts.status.as_u16(),
                    headers: parts.headers,
                    body,
                })
            }
        }
    }

    /// Posts `body` as JSON and reads the answer whole.
    ///
    /// # Errors
    ///
    /// As [`open`](Self::open).
    pub async fn post(
        &self,
        url: &str,
        body: Bytes,
        within: Duration,
    ) -> carobglade::Result<HttpResponse> {
        let mut headers = HeaderMap::new();
        headers.insert("content-type", http::HeaderValue::from_static("application/json"));
        self.send(Method::POST, url, headers, body, within).await?.read_to_end(within).await
    }

    /// Gets `url` and reads the answer whole.
    ///
    /// # Errors
    ///
    /// As [`open`](Self::open).
    pub async fn get(&self, url: &str, within: Duration) -> carobglade::Result<HttpResponse> {
        let opened = self.send(Method::GET, url, HeaderMap::new(), Bytes::new(), within).await?;
        opened.read_to_end(within).await
    }
}

fn build(idle: usize) -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle)
        .retry_canceled_requests(idle > 0)
        .build(connector)
}
