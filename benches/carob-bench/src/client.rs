//! A caller of the entry processes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use carob_net::{Clock, HttpClient, SystemClock};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use serde_json::{Value, json};

/// An answer, as a caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Status; 0 when there was no answer.
    pub status: u16,
    /// Body, or what went wrong.
    pub body: String,
    /// The `error` object.
    pub error: Value,
    /// Seconds after which to come back.
    pub retry: Option<u64>,
    /// Whether the whole answer came.
    pub whole: bool,
    /// Time to the first byte of the body.
    pub first: Duration,
    /// Time to the end.
    pub total: Duration,
    /// Times between chunks.
    pub gaps: Vec<Duration>,
    /// Whether a recorded answer was replayed.
    pub replayed: bool,
}

impl Answer {
    /// The error's code, or nothing.
    pub fn code(&self) -> &str {
        self.error["code"].as_str().unwrap_or("")
    }

    /// Whether the request ran, as the error says.
    pub fn run(&self) -> &str {
        self.error["run"].as_str().unwrap_or("")
    }
}

/// A caller with a key.
#[derive(Clone, Debug)]
pub struct Client {
    caller: HttpClient,
    key: String,
    silence: Duration,
}

impl Client {
    /// A caller that keeps its connections.
    pub fn new(key: &str) -> Self {
        let silence = Duration::from_secs(30);
        Client { caller: HttpClient::pooled(), key: key.to_owned(), silence }
    }

    /// A caller that opens a connection for each call.
    pub fn fresh(key: &str) -> Self {
        Client { caller: HttpClient::unpooled(), ..Client::new(key) }
    }

    /// Sends a request with extra headers.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        target: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Answer {
        let clock = SystemClock::default();
        let mut map = HeaderMap::new();
        if !self.key.is_empty()
            && let Ok(value) = HeaderValue::from_str(&format!("Bearer {}", self.key))
        {
            map.insert("authorization", value);
        }
        for (name, value) in headers {
            let name = HeaderName::from_bytes(name.as_bytes());
            if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
                map.append(name, value);
            }
        }
        let url = format!("http://{address}{target}");
        let opened = self.caller.send(method, &url, map, body.into(), self.silence).await;
        let mut answer = Answer {
            status: 0,
            body: String::new(),
            error: Value::Null,
            retry: None,
            whole: false,
            first: Duration::ZERO,
            total: Duration::ZERO,
            gaps: Vec::new(),
            replayed: false,
        };
        let mut streamed = match opened {
            Ok(streamed) => streamed,
            Err(err) => {
                answer.body = err.to_string();
                answer.total = clock.now();
                return answer;
            }
        };
        answer.status = streamed.status;
        let header = |name: &str| streamed.headers.get(name).and_then(|v| v.to_str().ok());
        answer.retry = header("retry-after").and_then(|text| text.parse().ok());
        answer.replayed = header("idempotent-replayed").is_some();
        let mut bytes = Vec::new();
        let mut last = None;
        loop {
            match streamed.next_chunk(self.silence).await {
                Ok(Some(chunk)) => {
                    let now = clock.now();
                    match last {
                        None => answer.first = now,
                        Some(last) => answer.gaps.push(now - last),
                    }
                    last = Some(now);
                    bytes.extend_from_slice(&chunk);
                }
                Ok(None) => {
                    answer.whole = true;
                    break;
                }
                Err(_) => break,
            }
        }
        answer.total = clock.now();
        answer.body = String::from_utf8_lossy(&bytes).into_owned();
        let parsed: Value = serde_json::from_str(&answer.body).unwrap_or(Value::Null);
        answer.error = parsed["error"].clone();
        answer
    }

    /// Asks a model.
    pub async fn complete(
        &self,
        address: SocketAddr,
        model: &str,
        prompt: &str,
        tokens: u64,
        stream: bool,
    ) -> Answer {
        let body = json!({
            "model": model, "stream": stream, "max_tokens": tokens,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let target = "/v1/chat/completions";
        self.send(Method::POST, address, target, &[], body.to_string()).await
    }

    /// Sends a call that may not be repeated.
    pub async fn once(&self, address: SocketAddr, target: &str, key: &str, body: &str) -> Answer {
        let headers = [("idempotency-key", key), ("content-type", "application/json")];
        self.send(Method::POST, address, target, &headers, body.to_owned()).await
    }
}
