//! A stand-in of a plain server that may drop idle connections without notice: whatever is sent next
//! on such a connection is reset.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use socket2::SockRef;

use crate::site::unix_millis;
use crate::spoiling_server::read_request;

/// Time that each request takes.
const WORK_TIME: Duration = Duration::from_millis(60);
/// Idle time after which a connection is dropped.
const IDLE_TIME: Duration = Duration::from_millis(1000);

#[derive(Default)]
struct State {
    drops: AtomicBool,
    dropped: AtomicU64,
    answered: AtomicU64,
}

/// A server of `gate-desk`.
pub struct DroppingServer {
    /// Its id.
    pub id: String,
    address: SocketAddr,
    born: u64,
    sequence: AtomicU64,
    state: Arc<State>,
}

impl DroppingServer {
    /// Starts a server.
    ///
    /// # Errors
    ///
    /// When no address can be bound.
    pub fn start(id: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let (address, state) = (listener.local_addr()?, Arc::new(State::default()));
        let (own_id, shared) = (id.to_owned(), Arc::clone(&state));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, state) = (own_id.clone(), Arc::clone(&shared));
                // A connection ends with an error when the caller closes it.
                thread::spawn(move || drop(serve(&id, &state, stream)));
            }
        });
        let (id, born, sequence) = (id.to_owned(), unix_millis(), AtomicU64::new(0));
        Ok(DroppingServer { id, address, born, sequence, state })
    }

    /// Returns the entry that the server writes to the store now.
    pub fn next_entry(&self) -> Value {
        json!({
            "service": "gate-desk", "address": self.address.to_string(), "zone": "rennes",
            "version": "1.0", "slots": 6, "state": "ready", "cold_left_ms": 0,
            "sequence": self.sequence.fetch_add(1, Ordering::Relaxed), "born": self.born,
        })
    }

    /// Sets whether the server drops idle connections.
    pub fn set_drops(&self, drops: bool) {
        self.state.drops.store(drops, Ordering::Relaxed);
    }

    /// Describes what the server did, for the record.
    pub fn describe(&self) -> String {
        let State { dropped, answered, .. } = &*self.state;
        let (dropped, answered) =
            (dropped.load(Ordering::Relaxed), answered.load(Ordering::Relaxed));
        format!("{}: {answered} requests answered, {dropped} dropped connections used", self.id)
    }
}

fn serve(id: &str, state: &State, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let mut idle_since = Instant::now();
    loop {
        let request_id = read_request(&mut reader)?;
        if state.drops.load(Ordering::Relaxed) && idle_since.elapsed() >= IDLE_TIME {
            state.dropped.fetch_add(1, Ordering::Relaxed);
            // The connection was gone before the request came, so nothing of it ran.
            return SockRef::from(&writer).set_linger(Some(Duration::ZERO));
        }
        thread::sleep(WORK_TIME);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {request_id}\r\nserver-stamp: stamp.{id}\r\n\
             content-length: 4\r\n\r\ndone"
        );
        writer.write_all(answer.as_bytes())?;
        state.answered.fetch_add(1, Ordering::Relaxed);
        idle_since = Instant::now();
    }
}
