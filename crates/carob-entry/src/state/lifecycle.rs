//! Shutdown phase of the process, and the number of requests in flight.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carob_net::lock;
use carobglade::{Error, ErrorKind, Result};
use tokio::sync::watch;

#[derive(Default)]
struct Requests {
    running: u32,
    refusing: bool,
}

/// Shutdown phase of the process, and the number of requests in flight.
#[derive(Default)]
pub struct Lifecycle {
    requests: Mutex<Requests>,
    stop_announced: AtomicBool,
    heartbeat_count: AtomicU32,
    /// Whether the drain is over and open requests are given up.
    aborting: watch::Sender<bool>,
}

/// Guard that counts a request as in flight until it is dropped.
pub struct InFlight(Arc<Lifecycle>);

impl Drop for InFlight {
    fn drop(&mut self) {
        lock(&self.0.requests).running -= 1;
    }
}

impl Lifecycle {
    /// Counts a request as in flight, unless the process refuses new requests.
    ///
    /// # Errors
    ///
    /// `Draining`, with the delay after which to retry.
    pub fn begin_request(self: &Arc<Self>) -> Result<InFlight> {
        let mut requests = lock(&self.requests);
        if requests.refusing {
            let err = Error::new(ErrorKind::Draining, "the process is stopping");
            return Err(err.with_retry_after(Duration::from_secs(1)));
        }
        requests.running += 1;
        Ok(InFlight(Arc::clone(self)))
    }

    /// Returns the number of requests that run or wait.
    pub fn running(&self) -> u32 {
        lock(&self.requests).running
    }

    /// Makes the process report not ready, so that the load balancer sends no more requests.
    pub fn announce_drain(&self) {
        self.stop_announced.store(true, Ordering::Relaxed);
    }

    /// Refuses new requests from now on.
    pub fn refuse_requests(&self) {
        lock(&self.requests).refusing = true;
    }

    /// Gives up the requests that have no response yet.
    pub fn abort_requests(&self) {
        self.aborting.send_replace(true);
    }

    /// Completes when requests without a response are given up.
    pub async fn aborted(&self) {
        let mut aborting = self.aborting.subscribe();
        if aborting.wait_for(|aborting| *aborting).await.is_err() {
            std::future::pending().await
        }
    }

    /// Reports whether new requests are refused.
    pub fn is_draining(&self) -> bool {
        lock(&self.requests).refusing
    }

    /// Reports whether the load balancer should send no more requests here.
    pub fn is_stopping(&self) -> bool {
        self.stop_announced.load(Ordering::Relaxed) || self.is_draining()
    }

    /// Returns the sequence number of the next heartbeat.
    pub fn next_heartbeat(&self) -> u64 {
        u64::from(self.heartbeat_count.fetch_add(1, Ordering::Relaxed) + 1)
    }
}
