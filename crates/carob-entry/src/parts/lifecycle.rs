//! Whether the process takes requests, and how many are under way.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carob_net::lock;
use carobglade::{Error, ErrorKind, Result};

#[derive(Default)]
struct Requests {
    running: u32,
    refused: bool,
}

/// Whether the process takes requests, and how many are under way.
#[derive(Default)]
pub struct Lifecycle {
    requests: Mutex<Requests>,
    stop_announced: AtomicBool,
    heartbeats: AtomicU32,
}

/// Counts a request while it runs.
pub struct InFlight(Arc<Lifecycle>);

impl Drop for InFlight {
    fn drop(&mut self) {
        lock(&self.0.requests).running -= 1;
    }
}

impl Lifecycle {
    /// Counts a request, unless the process takes no more.
    ///
    /// # Errors
    ///
    /// `Draining`, with the delay after which to come back.
    pub fn begin_request(self: &Arc<Self>) -> Result<InFlight> {
        let mut requests = lock(&self.requests);
        if requests.refused {
            let err = Error::new(ErrorKind::Draining, "the process is stopping");
            return Err(err.with_retry_after(Duration::from_secs(1)));
        }
        requests.running += 1;
        Ok(InFlight(Arc::clone(self)))
    }

    /// Requests that run or wait.
    pub fn running(&self) -> u32 {
        lock(&self.requests).running
    }

    /// The balancer is told to send nothing more.
    pub fn announce_drain(&self) {
        self.stop_announced.store(true, Ordering::Relaxed);
    }

    /// New requests are refused from now on.
    pub fn refuse_requests(&self) {
        lock(&self.requests).refused = true;
    }

    /// Whether new requests are refused.
    pub fn is_draining(&self) -> bool {
        lock(&self.requests).refused
    }

    /// Whether the balancer is to send requests here.
    pub fn is_stopping(&self) -> bool {
        self.stop_announced.load(Ordering::Relaxed) || self.is_draining()
    }

    /// The count of the next heartbeat.
    pub fn next_heartbeat(&self) -> u64 {
        u64::from(self.heartbeats.fetch_add(1, Ordering::Relaxed) + 1)
    }
}
