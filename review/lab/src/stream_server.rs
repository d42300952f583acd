//! A stand-in of a model server that can leave.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use carob_net::{ChunkSender, Reply, Request, ServeOptions, Server, lock, serve};
use serde_json::{Value, json};

use crate::machine::free_address;
use crate::site::unix_millis;

/// Models that the server holds from its start on.
const MODELS: [&str; 3] = ["large", "small", "rare"];
const MAX_BODY_BYTES: usize = 64 << 10;
const BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// The events of each stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamPlan {
    /// Number of events.
    pub events: u64,
    /// Pause before each event.
    pub pause: Duration,
}

/// A request that the server ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// Its id.
    pub id: String,
    /// When it arrived.
    pub at: Instant,
}

#[derive(Default)]
struct State {
    leaving: bool,
    runs: Vec<Run>,
}

/// A server of `plan-llm`.
pub struct StreamServer {
    /// Its id.
    pub id: String,
    address: SocketAddr,
    born: u64,
    sequence: u64,
    state: Arc<Mutex<State>>,
    server: Option<Server>,
}

impl StreamServer {
    /// Starts a server.
    ///
    /// # Errors
    ///
    /// When no address can be bound.
    pub fn start(id: &str, plan: StreamPlan) -> std::io::Result<Self> {
        let (address, state) = (free_address(), Arc::new(Mutex::new(State::default())));
        let options = ServeOptions { address, threads: 1, ..ServeOptions::default() };
        let (own_id, shared) = (id.to_owned(), Arc::clone(&state));
        let server = serve(options, move |request| {
            handle(own_id.clone(), Arc::clone(&shared), plan, request)
        })?;
        let (id, born, server) = (id.to_owned(), unix_millis(), Some(server));
        Ok(StreamServer { id, address, born, sequence: 0, state, server })
    }

    /// Returns the entry that the server writes to the store now.
    pub fn next_entry(&mut self) -> Value {
        self.sequence += 1;
        let state = if lock(&self.state).leaving { "draining" } else { "ready" };
        json!({
            "service": "plan-llm", "address": self.address.to_string(), "zone": "rennes",
            "version": "1.0", "slots": 64, "state": state, "cold_left_ms": 0, "stage": "unified",
            "models": models(), "sequence": self.sequence, "born": self.born,
        })
    }

    /// Lets the server leave: it says so in its entry and in all its answers.
    pub fn leave(&self) {
        lock(&self.state).leaving = true;
    }

    /// Reports whether the process still runs.
    pub fn is_running(&self) -> bool {
        self.server.is_some()
    }

    /// Ends the process, with what it is running.
    pub fn end(&mut self) {
        if let Some(server) = self.server.take() {
            server.stop();
        }
    }

    /// Returns the requests that the server ran.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.state).runs.clone()
    }
}

fn models() -> Value {
    let model = |name: &&str| json!({ "name": name, "version": 1, "adapters": [] });
    MODELS.iter().map(model).collect()
}

fn header(request: &Request, name: &str) -> String {
    let value = request.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

async fn handle(id: String, state: Arc<Mutex<State>>, plan: StreamPlan, request: Request) -> Reply {
    let expected = header(&request, "expect-instance");
    let reply = if !expected.is_empty() && expected != id {
        Reply::text(421, "").with_header("instance-id", &id)
    } else {
        respond(&id, &state, plan, request).await
    };
    if lock(&state).leaving { reply.with_header("server-leaving", "1") } else { reply }
}

async fn respond(id: &str, state: &Mutex<State>, plan: StreamPlan, mut request: Request) -> Reply {
    match request.path() {
        "/report" => Reply::json(
            200,
            &json!({ "stage": "unified", "models": models(), "busy": false, "sequence": 0,
                     "queued": 0, "active": 0, "pending": [] }),
        ),
        "/order" => Reply::text(409, ""),
        _ => {
            let own = header(&request, "request-id");
            // The body is short and comes with the head.
            let _ = request.read_body(MAX_BODY_BYTES, BODY_TIMEOUT).await;
            lock(state).runs.push(Run { id: own.clone(), at: Instant::now() });
            let (sender, reply) = Reply::stream(200);
            tokio::task::spawn_local(stream(sender, plan));
            reply
                .with_header("content-type", "text/event-stream")
                .with_header("request-id", &own)
                .with_header("server-stamp", &format!("stamp.{id}"))
        }
    }
}

async fn stream(sender: ChunkSender, plan: StreamPlan) {
    for event in 1..=plan.events {
        tokio::time::sleep(plan.pause).await;
        if !sender.send(Bytes::from(format!("id: {event}\ndata: {event}\n\n"))).await {
            return;
        }
    }
    sender.finish().await;
}
