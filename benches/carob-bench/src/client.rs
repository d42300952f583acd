//! HTTP client that calls entry processes as a tenant does.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use carob_net::{Clock, HttpClient, SystemClock};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use serde_json::{Value, json};

/// Outcome of a request, as its caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// HTTP status; 0 if there was no response.
    pub status: u16,
    /// Body as text, or the error if there was no response.
    pub body: String,
    /// `error` object of the body; null if there is none.
    pub error: Value,
    /// Seconds in the `Retry-After` header, if it is present.
    pub retry_after: Option<u64>,
    /// Whether the body arrived up to its end.
    pub complete: bool,
    /// Time from the call to the first chunk of the body; zero if none arrived.
    pub first_byte: Duration,
    /// Time from the call to the end of the response or to the error.
    pub total: Duration,
    /// Times between consecutive chunks.
    pub chunk_gaps: Vec<Duration>,
    /// Whether the response was replayed from an earlier call with the same idempotency key.
    pub replayed: bool,
}

impl Response {
    /// Returns the code of the error, or an empty string.
    pub fn code(&self) -> &str {
        self.error["code"].as_str().unwrap_or("")
    }

    /// Returns the `run` field of the error, which tells whether the request ran, or an empty
    /// string.
    pub fn run_state(&self) -> &str {
        self.error["run"].as_str().unwrap_or("")
    }
}

/// Client that sends the API key of a tenant; with an empty key it sends none.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient,
    key: String,
    idle_timeout: Duration,
}

impl Client {
    /// Creates a client that reuses its connections.
    pub fn new(key: &str) -> Self {
        let idle_timeout = Duration::from_secs(30);
        Client { http: HttpClient::pooled(), key: key.to_owned(), idle_timeout }
    }

    /// Creates a client that opens a connection for each call.
    pub fn unpooled(key: &str) -> Self {
        Client { http: HttpClient::unpooled(), ..Client::new(key) }
    }

    /// Sends a request with extra headers and reads the response to its end.
    ///
    /// A header with an invalid name or value is left out.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        target: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Response {
        let clock = SystemClock::default();
        let mut header_map = HeaderMap::new();
        if !self.key.is_empty()
            && let Ok(value) = HeaderValue::from_str(&format!("Bearer {}", self.key))
        {
            header_map.insert("authorization", value);
        }
        for (name, value) in headers {
            let name = HeaderName::from_bytes(name.as_bytes());
            if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
                header_map.append(name, value);
            }
        }
        let url = format!("http://{address}{target}");
        let result = self.http.send(method, &url, header_map, body.into(), self.idle_timeout).await;
        let mut response = Response {
            status: 0,
            body: String::new(),
            error: Value::Null,
            retry_after: None,
            complete: false,
            first_byte: Duration::ZERO,
            total: Duration::ZERO,
            chunk_gaps: Vec::new(),
            replayed: false,
        };
        let mut stream = match result {
            Ok(stream) => stream,
            Err(err) => {
                response.body = err.to_string();
                response.total = clock.now();
                return response;
            }
        };
        response.status = stream.status;
        let header = |name: &str| stream.headers.get(name).and_then(|v| v.to_str().ok());
        response.retry_after = header("retry-after").and_then(|text| text.parse().ok());
        response.replayed = header("idempotent-replayed").is_some();
        let mut bytes = Vec::new();
        let mut last_chunk_time = None;
        loop {
            match stream.next_chunk(self.idle_timeout).await {
                Ok(Some(chunk)) => {
                    let now = clock.now();
                    match last_chunk_time {
                        None => response.first_byte = now,
                        Some(last_chunk_time) => response.chunk_gaps.push(now - last_chunk_time),
                    }
                    last_chunk_time = Some(now);
                    bytes.extend_from_slice(&chunk);
                }
                Ok(None) => {
                    response.complete = true;
                    break;
                }
                Err(_) => break,
            }
        }
        response.total = clock.now();
        response.body = String::from_utf8_lossy(&bytes).into_owned();
        let parsed: Value = serde_json::from_str(&response.body).unwrap_or(Value::Null);
        response.error = parsed["error"].clone();
        response
    }

    /// Sends a chat completion request with one user message.
    pub async fn chat(
        &self,
        address: SocketAddr,
        model: &str,
        prompt: &str,
        max_tokens: u64,
        stream: bool,
    ) -> Response {
        let body = json!({
            "model": model, "stream": stream, "max_tokens": max_tokens,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let target = "/v1/chat/completions";
        self.send(Method::POST, address, target, &[], body.to_string()).await
    }

    /// Sends a POST with an idempotency key, for calls that must not run twice.
    pub async fn post_idempotent(
        &self,
        address: SocketAddr,
        target: &str,
        key: &str,
        body: &str,
    ) -> Response {
        let headers = [("idempotency-key", key), ("content-type", "application/json")];
        self.send(Method::POST, address, target, &headers, body.to_owned()).await
    }
}
