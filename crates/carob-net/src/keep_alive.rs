//! What a server promises callers about the connections that they keep.
//!
//! A connection has two users, so neither may end it without the other one knowing when. A caller is
//! told with each response for how long it may use the connection again, or that it may not.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use carobglade::KeepAlivePromise;
use http::{HeaderMap, HeaderValue};

use crate::lock::lock;

/// Tells a caller for how long it may use its connection again by `promise`, or that the connection
/// `closes`.
pub fn announce_keep_alive(headers: &mut HeaderMap, promise: KeepAlivePromise, closes: bool) {
    let seconds = promise.seconds().filter(|_| !closes && !headers.contains_key("connection"));
    let Some(seconds) = seconds else {
        headers.remove("keep-alive");
        headers.insert("connection", HeaderValue::from_static("close"));
        return;
    };
    let value = HeaderValue::from_str(&format!("timeout={seconds}"));
    value.into_iter().for_each(|value| drop(headers.insert("keep-alive", value)));
}

/// The promises of a server on several threads, until it stops.
#[derive(Debug, Default)]
pub struct KeepAlivePromises {
    promise: KeepAlivePromise,
    stopping: AtomicBool,
    /// Time until which callers may use connections again.
    until: Mutex<Option<Instant>>,
}

impl KeepAlivePromises {
    /// Promises nothing from now on: each response says that its connection closes.
    pub fn end(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Reports whether nothing is promised any more.
    pub fn has_ended(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Tells a caller with a response that is about to be sent what it may do. The guard has to be
    /// kept until the end of the response, from which the caller counts.
    pub fn announce(self: &Arc<Self>, headers: &mut HeaderMap) -> Option<PromiseGuard> {
        let ended = self.has_ended();
        announce_keep_alive(headers, self.promise, ended);
        (!ended).then(|| PromiseGuard(Arc::clone(self)))
    }

    /// Returns the time for which callers may still use connections again.
    pub fn remaining(&self) -> Duration {
        lock(&self.until)
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
    }

    fn record(&self, until: Instant) {
        let mut last = lock(&self.until);
        *last = Some(last.map_or(until, |last| last.max(until)));
    }
}

/// Begins the time of a promise when it is dropped, at the end of a response.
#[derive(Debug)]
pub struct PromiseGuard(Arc<KeepAlivePromises>);

impl Drop for PromiseGuard {
    fn drop(&mut self) {
        self.0.record(Instant::now() + self.0.promise.idle_time());
    }
}
