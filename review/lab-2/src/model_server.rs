//! A model server that takes orders.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use carob_bench::free_address;
use eyre::Result;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

const EVENT_INTERVAL: Duration = Duration::from_millis(50);
const BORN_MS: u64 = 1_700_000_000_000;

/// Settings of a server.
#[derive(Clone, Debug)]
pub struct ModelServerSettings {
    /// Its id in the list.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Version of its software, which each event tells.
    pub version: String,
    /// The models that it holds at first.
    pub models: Vec<String>,
    /// Events of a stream.
    pub events: u64,
    /// Time that a load takes.
    pub load_time: Duration,
}

#[derive(Debug, Default)]
struct State {
    models: BTreeSet<String>,
    loading: bool,
    orders: u64,
    fencing_token: u64,
    /// Streams that began or were taken up.
    runs: u64,
}

type SharedState = Arc<Mutex<State>>;

fn locked(state: &SharedState) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A model server.
pub struct ModelServer {
    settings: Arc<ModelServerSettings>,
    address: SocketAddr,
    sequence: u64,
    state: SharedState,
    accepting: JoinHandle<()>,
}

/// A request.
#[derive(Debug, Default)]
struct Request {
    path: String,
    fields: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Request {
    fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value.as_str())
    }
}

impl ModelServer {
    /// Starts a server on a free port.
    ///
    /// # Errors
    ///
    /// When the port cannot be bound.
    pub async fn start(settings: ModelServerSettings) -> Result<Self> {
        let address = free_address();
        let models = settings.models.iter().cloned().collect();
        let settings = Arc::new(settings);
        let state = Arc::new(Mutex::new(State { models, ..State::default() }));
        let listener = TcpListener::bind(address).await?;
        let accepting = tokio::spawn(accept(listener, Arc::clone(&settings), Arc::clone(&state)));
        Ok(ModelServer { settings, address, sequence: 0, state, accepting })
    }

    /// Ends the server with all its connections.
    pub fn crash(&self) {
        self.accepting.abort();
    }

    /// Reports whether the server has crashed.
    pub fn has_crashed(&self) -> bool {
        self.accepting.is_finished()
    }

    /// Returns the id.
    pub fn id(&self) -> &str {
        &self.settings.id
    }

    /// Returns the models that are loaded, as text.
    pub fn models(&self) -> String {
        locked(&self.state).models.iter().cloned().collect::<Vec<_>>().join(" ")
    }

    /// Returns how many streams began or were taken up here.
    pub fn runs(&self) -> u64 {
        locked(&self.state).runs
    }

    /// Returns the next entry for the list.
    pub fn next_entry(&mut self) -> Value {
        self.sequence += 1;
        json!({
            "service": self.settings.service, "address": self.address.to_string(),
            "zone": "rennes", "version": self.settings.version, "slots": 64, "state": "ready",
            "cold_left_ms": 0, "stage": "unified", "models": models_json(&locked(&self.state)),
            "sequence": self.sequence, "born": BORN_MS,
        })
    }
}

fn models_json(state: &State) -> Vec<Value> {
    let models = state.models.iter();
    models.map(|name| json!({ "name": name, "version": 1, "adapters": [] })).collect()
}

/// Accepts connections, which end with this task.
async fn accept(listener: TcpListener, settings: Arc<ModelServerSettings>, state: SharedState) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn(serve(stream, Arc::clone(&settings), Arc::clone(&state)));
    }
}

async fn serve(stream: TcpStream, settings: Arc<ModelServerSettings>, state: SharedState) {
    let mut stream = BufReader::new(stream);
    while let Ok(Some(request)) = read_request(&mut stream).await {
        if respond(stream.get_mut(), &request, &settings, &state).await.is_err() {
            return;
        }
    }
}

/// Reads a request; none at the end of the connection.
async fn read_request(stream: &mut BufReader<TcpStream>) -> std::io::Result<Option<Request>> {
    let mut request = Request::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        match line.split_once(": ") {
            Some((name, value)) if !request.path.is_empty() => {
                request.fields.push((name.to_ascii_lowercase(), value.to_owned()));
            }
            _ => request.path = line.split(' ').nth(1).unwrap_or_default().to_owned(),
        }
    }
    let length: usize = request.field("content-length").parse().unwrap_or(0);
    request.body = vec![0; length];
    stream.read_exact(&mut request.body).await?;
    Ok(Some(request))
}

async fn respond(
    stream: &mut TcpStream,
    request: &Request,
    settings: &ModelServerSettings,
    state: &SharedState,
) -> std::io::Result<()> {
    let expected = request.field("expect-instance");
    if !expected.is_empty() && expected != settings.id {
        return send(stream, 421, request, "").await;
    }
    match request.path.as_str() {
        "/report" => {
            let report = report(&locked(state));
            send(stream, 200, request, &report).await
        }
        "/order" => {
            let status = take_order(request, settings.load_time, state);
            send(stream, status, request, "").await
        }
        _ if !locked(state).models.contains(request.field("model")) => {
            send(stream, 421, request, "").await
        }
        _ => {
            locked(state).runs += 1;
            send_stream(stream, request, settings).await
        }
    }
}

fn report(state: &State) -> String {
    json!({
        "stage": "unified", "models": models_json(state), "busy": state.loading,
        "sequence": state.orders, "queued": 0, "active": 0, "pending": [],
    })
    .to_string()
}

/// Takes an order; returns the status of the answer.
fn take_order(request: &Request, load_time: Duration, state: &SharedState) -> u16 {
    let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let (Some(token), Some(model)) = (order["fencing_token"].as_u64(), order["model"].as_str())
    else {
        return 400;
    };
    let mut known = locked(state);
    if token < known.fencing_token {
        return 412;
    }
    known.fencing_token = token;
    let load = order["operation"] == "model_load";
    if known.loading || order["expect"].as_u64().is_some_and(|expect| expect != known.orders) {
        return 409;
    }
    if known.models.contains(model) == load {
        return 200;
    }
    known.orders += 1;
    if !load {
        known.models.remove(model);
        return 202;
    }
    known.loading = true;
    let (state, model) = (Arc::clone(state), model.to_owned());
    tokio::spawn(async move {
        tokio::time::sleep(load_time).await;
        let mut known = locked(&state);
        known.loading = false;
        known.models.insert(model);
    });
    202
}

async fn send(
    stream: &mut TcpStream,
    status: u16,
    request: &Request,
    body: &str,
) -> std::io::Result<()> {
    let (id, length) = (request.field("request-id"), body.len());
    let id = if id.is_empty() { String::new() } else { format!("request-id: {id}\r\n") };
    let answer = format!("HTTP/1.1 {status} Answer\r\n{id}content-length: {length}\r\n\r\n{body}");
    stream.write_all(answer.as_bytes()).await
}

/// Sends the events of a stream after the one that the request names. Each tells the version.
async fn send_stream(
    stream: &mut TcpStream,
    request: &Request,
    settings: &ModelServerSettings,
) -> std::io::Result<()> {
    let (id, server) = (request.field("request-id"), settings.id.as_str());
    let start = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: stamp.{server}\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    stream.write_all(start.as_bytes()).await?;
    let last: u64 = request.field("last-event-id").parse().unwrap_or(0);
    for event in last + 1..=settings.events {
        let text = format!("id: {event}\ndata: {event} of {}\n\n", settings.version);
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        stream.write_all(chunk.as_bytes()).await?;
        tokio::time::sleep(EVENT_INTERVAL).await;
    }
    stream.write_all(b"0\r\n\r\n").await
}
