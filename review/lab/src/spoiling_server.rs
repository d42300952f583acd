//! A stand-in of a plain server that can be faulty: it spoils a small share of its answers.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use carob_net::lock;
use serde_json::{Value, json};

use crate::site::unix_millis;

/// Time that each request takes, as the site's sheet has it.
const WORK_TIME: Duration = Duration::from_millis(15);
/// Each this many answers, the server closes the connection, as servers occasionally do.
const CLOSE_INTERVAL: u64 = 5;
/// What a faulty server sends in place of an answer: bytes of something else.
const WRONG_BYTES: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nit works\n";

#[derive(Default)]
struct State {
    faulty: AtomicBool,
    /// Answers since the server became faulty.
    answers: AtomicU64,
    /// Ids of the requests whose answer was spoiled.
    spoiled: Mutex<Vec<String>>,
}

/// A server of `gate-desk`.
pub struct SpoilingServer {
    /// Its id.
    pub id: String,
    address: SocketAddr,
    born: u64,
    sequence: AtomicU64,
    state: Arc<State>,
}

impl SpoilingServer {
    /// Starts a server that spoils one of `per_spoiled` answers at most once it is faulty.
    ///
    /// # Errors
    ///
    /// When no address can be bound.
    pub fn start(id: &str, per_spoiled: u64) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let (address, state) = (listener.local_addr()?, Arc::new(State::default()));
        let (own_id, shared) = (id.to_owned(), Arc::clone(&state));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, state) = (own_id.clone(), Arc::clone(&shared));
                // A connection ends with an error when the caller closes it.
                thread::spawn(move || drop(serve(&id, &state, stream, per_spoiled)));
            }
        });
        let (id, born, sequence) = (id.to_owned(), unix_millis(), AtomicU64::new(0));
        Ok(SpoilingServer { id, address, born, sequence, state })
    }

    /// Returns the entry that the server writes to the store now.
    pub fn next_entry(&self) -> Value {
        json!({
            "service": "gate-desk", "address": self.address.to_string(), "zone": "rennes",
            "version": "1.0", "slots": 6, "state": "ready", "cold_left_ms": 0,
            "sequence": self.sequence.fetch_add(1, Ordering::Relaxed), "born": self.born,
        })
    }

    /// Makes the server faulty, or sound again.
    pub fn set_faulty(&self, faulty: bool) {
        self.state.faulty.store(faulty, Ordering::Relaxed);
    }

    /// Returns the number of answers while the server was faulty, and the ids of the requests whose
    /// answer it spoiled.
    pub fn spoiled(&self) -> (u64, Vec<String>) {
        (self.state.answers.load(Ordering::Relaxed), lock(&self.state.spoiled).clone())
    }
}

impl State {
    /// Counts an answer of a faulty server, and decides whether it is spoiled: only the `first` one of
    /// a connection is.
    fn spoils(&self, id: &str, first: bool, per_spoiled: u64) -> bool {
        if !self.faulty.load(Ordering::Relaxed) {
            return false;
        }
        let answers = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        let mut spoiled = lock(&self.spoiled);
        let due = first && (spoiled.len() as u64 + 1) * per_spoiled <= answers;
        if due {
            spoiled.push(id.to_owned());
        }
        due
    }
}

fn serve(id: &str, state: &State, stream: TcpStream, per_spoiled: u64) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    for number in 1u64.. {
        let request_id = read_request(&mut reader)?;
        thread::sleep(WORK_TIME);
        if state.spoils(&request_id, number == 1, per_spoiled) {
            writer.write_all(WRONG_BYTES)?;
            continue;
        }
        let last = number % CLOSE_INTERVAL == 0;
        let connection = if last { "connection: close\r\n" } else { "" };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {request_id}\r\nserver-stamp: stamp.{id}\r\n\
             {connection}content-length: 4\r\n\r\ndone"
        );
        writer.write_all(answer.as_bytes())?;
        if last {
            break;
        }
    }
    Ok(())
}

/// Reads a request with its body; returns its id.
pub(crate) fn read_request(reader: &mut impl BufRead) -> std::io::Result<String> {
    let (mut id, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            match name.to_ascii_lowercase().as_str() {
                "request-id" => id = value.trim().to_owned(),
                "content-length" => length = value.trim().parse().unwrap_or(0),
                _ => {}
            }
        }
    }
    std::io::copy(&mut reader.take(length), &mut std::io::sink())?;
    Ok(id)
}
