//! A caller of the entry processes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use carob_net::{Clock, HttpClient, SystemClock};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use serde_json::{Value, json};

/// An answer, as a caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// Status; 0 when there was no answer.
    pub status: u16,
    /// Body, or what went wrong.
    pub body: String,
    /// The `error` object.
    pub error: Value,
    /// Seconds after which to come back.
    pub retry_after: Option<u64>,
    /// Whether the whole answer came.
    pub complete: bool,
    /// Time to the first byte of the body.
    pub first_byte: Duration,
    /// Time to the end.
    pub total: Duration,
    /// Times between chunks.
    pub chunk_gaps: Vec<Duration>,
    /// Whether a recorded answer was replayed.
    pub replayed: bool,
}

impl Response {
    /// The error's code, or nothing.
    pub fn code(&self) -> &str {
        self.error["code"].as_str().unwrap_or("")
    }

    /// Whether the request ran, as the error says.
    pub fn run_state(&self) -> &str {
        self.error["run"].as_str().unwrap_or("")
    }
}

/// A caller with a key.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient,
    key: String,
    idle_timeout: Duration,
}

impl Client {
    /// A caller that keeps its connections.
    pub fn new(key: &str) -> Self {
        let idle_timeout = Duration::from_secs(30);
        Client { http: HttpClient::pooled(), key: key.to_owned(), idle_timeout }
    }

    /// A caller that opens a connection for each call.
    pub fn unpooled(key: &str) -> Self {
        Client { http: HttpClient::unpooled(), ..Client::new(key) }
    }

    /// Sends a request with extra headers.
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

    /// Asks a model.
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

    /// Sends a call that may not be repeated.
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
