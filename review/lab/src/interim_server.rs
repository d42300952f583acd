//! A stand-in of a plain server that can be faulty: it answers a request on a kept connection with
//! interim responses without end.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::site::unix_millis;
use crate::spoiling_server::read_request;

/// Lines of each interim response, as many as a head may have.
const LINES: usize = 90;
/// One of this many answers is spoiled at most: the site's share is 0.02.
const PER_FLOODED: u64 = 50;
/// Interim responses of one write.
const BATCH: usize = 256;

/// What a server shares with its connections.
#[derive(Default)]
struct State {
    faulty: AtomicBool,
    answered: AtomicU64,
    /// Requests since the server became faulty.
    faulty_requests: AtomicU64,
    flooded: AtomicU64,
    flood_bytes: AtomicU64,
}

/// A server of `gate-desk`.
pub struct InterimServer {
    /// Its id.
    pub id: String,
    address: SocketAddr,
    born: u64,
    sequence: AtomicU64,
    state: Arc<State>,
}

impl InterimServer {
    /// Starts a server; its link takes `link_bytes` a second.
    ///
    /// # Errors
    ///
    /// When no address can be bound.
    pub fn start(id: &str, link_bytes: u64) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let (address, state) = (listener.local_addr()?, Arc::new(State::default()));
        let (own_id, shared) = (id.to_owned(), Arc::clone(&state));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, state) = (own_id.clone(), Arc::clone(&shared));
                // A connection ends with an error when the caller closes it.
                thread::spawn(move || drop(serve(&id, &state, stream, link_bytes)));
            }
        });
        let (id, born, sequence) = (id.to_owned(), unix_millis(), AtomicU64::new(0));
        Ok(InterimServer { id, address, born, sequence, state })
    }

    /// Returns the entry that the server writes to the store now.
    pub fn next_entry(&self) -> Value {
        json!({
            "service": "gate-desk", "address": self.address.to_string(), "zone": "rennes",
            "version": "1.0", "slots": 6, "state": "ready", "cold_left_ms": 0,
            "sequence": self.sequence.fetch_add(1, Ordering::Relaxed), "born": self.born,
        })
    }

    /// Makes the server faulty from now on.
    pub fn set_faulty(&self) {
        self.state.faulty.store(true, Ordering::Relaxed);
    }

    /// Describes what the server did, for the record.
    pub fn describe(&self) -> String {
        let State { answered, flooded, flood_bytes, .. } = &*self.state;
        format!(
            "{}: {} requests answered, {} got interim responses without end, {} MB of these",
            self.id,
            answered.load(Ordering::Relaxed),
            flooded.load(Ordering::Relaxed),
            flood_bytes.load(Ordering::Relaxed) / 1_000_000
        )
    }
}

impl State {
    /// Counts a request at a faulty server, and decides whether it gets interim responses: one of
    /// fifty at most, and only on a connection that was `kept`.
    fn floods(&self, kept: bool) -> bool {
        if !self.faulty.load(Ordering::Relaxed) {
            return false;
        }
        let requests = self.faulty_requests.fetch_add(1, Ordering::Relaxed) + 1;
        let flooded = self.flooded.load(Ordering::Relaxed);
        kept && (flooded + 1) * PER_FLOODED <= requests
    }
}

fn serve(id: &str, state: &State, stream: TcpStream, link_bytes: u64) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    for number in 0u64.. {
        let request_id = read_request(&mut reader)?;
        if state.floods(number > 0) {
            state.flooded.fetch_add(1, Ordering::Relaxed);
            return flood(state, &mut writer, link_bytes);
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {request_id}\r\nserver-stamp: stamp.{id}\r\n\
             content-length: 4\r\n\r\ndone"
        );
        writer.write_all(answer.as_bytes())?;
        state.answered.fetch_add(1, Ordering::Relaxed);
    }
    Ok(())
}

/// Returns the bytes that are no answer.
fn interim_response() -> Vec<u8> {
    let lines: String = (0..LINES).map(|line| format!("x{line}:\r\n")).collect();
    format!("HTTP/1.1 103 \r\n{lines}\r\n").into_bytes()
}

/// Sends interim responses, as fast as the link takes them, until the caller closes.
fn flood(state: &State, writer: &mut TcpStream, link_bytes: u64) -> std::io::Result<()> {
    let batch = interim_response().repeat(BATCH);
    let started = Instant::now();
    let mut sent = 0u64;
    loop {
        writer.write_all(&batch)?;
        sent += batch.len() as u64;
        state.flood_bytes.fetch_add(batch.len() as u64, Ordering::Relaxed);
        let due = Duration::from_secs_f64(sent as f64 / link_bytes as f64);
        thread::sleep(due.saturating_sub(started.elapsed()));
    }
}
