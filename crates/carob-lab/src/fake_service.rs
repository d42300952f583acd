//! A fake plain service that records every call that it ran.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use carob_net::{Reply, Request, ServeOptions, Server, lock, serve};
use serde::{Deserialize, Serialize};

const MAX_BODY_BYTES: usize = 16 << 20;

/// A call that the service ran.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecordedCall {
    /// HTTP method.
    pub method: String,
    /// Path and query, joined by a question mark.
    pub target: String,
    /// Header names and values.
    pub headers: Vec<(String, String)>,
    /// Body as text.
    pub body: String,
}

/// Faults of the fake service, set by `POST /faults`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Milliseconds before a call runs and is recorded.
    #[serde(rename = "before")]
    pub run_delay: u64,
    /// Milliseconds between the run of a call and its response.
    #[serde(rename = "after")]
    pub response_delay: u64,
    /// Whether the response body is cut off after a call ran.
    #[serde(rename = "lose")]
    pub drop_response: bool,
    /// Whether responses carry the id of another request.
    #[serde(rename = "crossed")]
    pub wrong_request_id: bool,
}

#[derive(Default)]
struct State {
    calls: Mutex<Vec<RecordedCall>>,
    faults: Mutex<ServiceFaults>,
}

/// Starts the service.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub fn serve_fake_service(options: ServeOptions) -> std::io::Result<Server> {
    let state = Arc::new(State::default());
    serve(options, move |request| {
        let state = Arc::clone(&state);
        async move { handle(&state, request).await }
    })
}

async fn handle(state: &State, mut request: Request) -> Reply {
    let body = request.read_body(MAX_BODY_BYTES, Duration::from_secs(30)).await.unwrap_or_default();
    match request.path() {
        "/faults" => match serde_json::from_slice(&body) {
            Ok(faults) => {
                *lock(&state.faults) = faults;
                Reply::text(200, "ok")
            }
            Err(err) => Reply::text(400, &err.to_string()),
        },
        "/ran" => Reply::json(200, &*lock(&state.calls)),
        _ => run_call(state, &request, &body).await,
    }
}

async fn run_call(state: &State, request: &Request, body: &[u8]) -> Reply {
    let faults = lock(&state.faults).clone();
    tokio::time::sleep(Duration::from_millis(faults.run_delay)).await;
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    let headers = request.headers().iter();
    let call = RecordedCall {
        method: request.method().to_string(),
        target: format!("{}?{}", request.path(), request.query()),
        headers: headers.map(|(k, v)| (k.to_string(), text(v.as_bytes()))).collect(),
        body: text(body),
    };
    let count = {
        let mut list = lock(&state.calls);
        list.push(call);
        list.len()
    };
    tokio::time::sleep(Duration::from_millis(faults.response_delay)).await;
    if faults.drop_response {
        return Reply::stream(200).1;
    }
    let id = request.headers().get("x-request-id").and_then(|v| v.to_str().ok()).unwrap_or("");
    let id = if faults.wrong_request_id { "r-of-another" } else { id };
    let response = serde_json::json!({ "done": true, "count": count });
    Reply::json(200, &response).with_header("x-request-id", id)
}
