//! A server of streams whose events have ids that increase by a step.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use carob_bench::free_address;
use eyre::Result;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// What the server holds and how it numbers events.
#[derive(Clone, Debug)]
pub struct StreamServerSettings {
    /// Its id in the list.
    pub id: String,
    /// Its service.
    pub service: String,
    /// The models that it holds.
    pub models: Vec<String>,
    /// Events of a stream.
    pub events: u64,
    /// Distance between the ids of two events.
    pub step: u64,
}

/// A server of streams.
pub struct StreamServer {
    settings: Arc<StreamServerSettings>,
    address: SocketAddr,
    sequence: u64,
    /// Streams that began or were taken up.
    runs: Arc<AtomicU64>,
}

/// The head of a request.
#[derive(Debug, Default)]
struct Head {
    method: String,
    path: String,
    fields: Vec<(String, String)>,
}

impl Head {
    fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value.as_str())
    }
}

impl StreamServer {
    /// Starts a server on a free port.
    ///
    /// # Errors
    ///
    /// When the port cannot be bound.
    pub async fn start(settings: StreamServerSettings) -> Result<Self> {
        let address = free_address();
        let listener = TcpListener::bind(address).await?;
        let (settings, runs) = (Arc::new(settings), Arc::new(AtomicU64::new(0)));
        let (shared, counter) = (Arc::clone(&settings), Arc::clone(&runs));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&shared), Arc::clone(&counter)));
            }
        });
        Ok(StreamServer { settings, address, sequence: 0, runs })
    }

    /// Returns the id.
    pub fn id(&self) -> &str {
        &self.settings.id
    }

    /// Returns how many streams began or were taken up here.
    pub fn runs(&self) -> u64 {
        self.runs.load(Ordering::Relaxed)
    }

    /// Returns the next entry for the list.
    pub fn next_entry(&mut self) -> Value {
        self.sequence += 1;
        let StreamServerSettings { service, .. } = &*self.settings;
        json!({
            "service": service, "address": self.address.to_string(), "zone": "rennes",
            "version": "v1", "slots": 64, "state": "ready", "cold_left_ms": 0,
            "stage": "unified", "models": held_models(&self.settings),
            "sequence": self.sequence, "born": 1_700_000_000_000u64,
        })
    }
}

fn held_models(settings: &StreamServerSettings) -> Vec<Value> {
    let models = settings.models.iter();
    models.map(|name| json!({ "name": name, "version": 1, "adapters": [] })).collect()
}

/// Serves one request after the other on a connection.
async fn serve(stream: TcpStream, settings: Arc<StreamServerSettings>, runs: Arc<AtomicU64>) {
    let mut stream = BufReader::new(stream);
    while let Ok(Some(head)) = read_request(&mut stream).await {
        if respond(stream.get_mut(), &head, &settings, &runs).await.is_err() {
            return;
        }
    }
}

/// Reads a request and drops its body; none at the end of the connection.
async fn read_request(stream: &mut BufReader<TcpStream>) -> std::io::Result<Option<Head>> {
    let mut head = Head::default();
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
            Some((name, value)) if !head.method.is_empty() => {
                head.fields.push((name.to_ascii_lowercase(), value.to_owned()));
            }
            _ => {
                let mut words = line.split(' ').map(str::to_owned);
                head.method = words.next().unwrap_or_default();
                head.path = words.next().unwrap_or_default();
            }
        }
    }
    let length: usize = head.field("content-length").parse().unwrap_or(0);
    stream.read_exact(&mut vec![0; length]).await?;
    Ok(Some(head))
}

async fn respond(
    stream: &mut TcpStream,
    head: &Head,
    settings: &StreamServerSettings,
    runs: &AtomicU64,
) -> std::io::Result<()> {
    let expected = head.field("expect-instance");
    if !expected.is_empty() && expected != settings.id {
        return send_plain(stream, "421 Misdirected Request", "").await;
    }
    match (head.method.as_str(), head.path.as_str()) {
        ("GET", "/report") => {
            let report = json!({
                "stage": "unified", "models": held_models(settings), "busy": false, "sequence": 0,
                "queued": 0, "active": 0, "pending": [],
            });
            send_plain(stream, "200 OK", &report.to_string()).await
        }
        // It holds all models: the order holds already.
        ("POST", "/order") => send_plain(stream, "200 OK", "").await,
        _ => {
            runs.fetch_add(1, Ordering::Relaxed);
            send_stream(stream, head, settings).await
        }
    }
}

async fn send_plain(stream: &mut TcpStream, status: &str, body: &str) -> std::io::Result<()> {
    let length = body.len();
    let answer = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}");
    stream.write_all(answer.as_bytes()).await
}

/// Sends the events of a stream after the one that the request names.
async fn send_stream(
    stream: &mut TcpStream,
    head: &Head,
    settings: &StreamServerSettings,
) -> std::io::Result<()> {
    let (id, server) = (head.field("request-id"), settings.id.as_str());
    let start = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: stamp.{server}\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    stream.write_all(start.as_bytes()).await?;
    let last: u64 = head.field("last-event-id").parse().unwrap_or(0);
    for event in last / settings.step + 1..=settings.events {
        let text = format!("id: {}\ndata: piece {event}\n\n", event * settings.step);
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        stream.write_all(chunk.as_bytes()).await?;
        tokio::time::sleep(EVENT_INTERVAL).await;
    }
    stream.write_all(b"0\r\n\r\n").await
}
