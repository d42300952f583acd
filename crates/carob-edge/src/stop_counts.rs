//! What a planned stop did to callers, for its last log line.

use std::cell::Cell;

/// Counts since the stop began.
#[derive(Debug, Default)]
pub struct StopCounts {
    responses: Cell<u64>,
    refusals: Cell<u64>,
    idle_closes: Cell<u64>,
    lost: Cell<u64>,
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl StopCounts {
    /// Sets all counts to zero, when a stop begins.
    pub fn reset(&self) {
        for count in [&self.responses, &self.refusals, &self.idle_closes, &self.lost] {
            count.set(0);
        }
    }

    /// Counts a request that got a response of an upstream.
    pub fn record_response(&self) {
        increment(&self.responses);
    }

    /// Counts a request that was refused.
    pub fn record_refusal(&self) {
        increment(&self.refusals);
    }

    /// Counts a connection that was closed while idle; `lost`: with bytes of a request.
    pub fn record_idle_close(&self, lost: bool) {
        increment(&self.idle_closes);
        if lost {
            increment(&self.lost);
        }
    }

    /// Returns the requests that got a response of an upstream.
    pub fn responses(&self) -> u64 {
        self.responses.get()
    }

    /// Returns the requests that were refused.
    pub fn refusals(&self) -> u64 {
        self.refusals.get()
    }

    /// Returns the connections that were closed while idle.
    pub fn idle_closes(&self) -> u64 {
        self.idle_closes.get()
    }

    /// Returns the connections that were closed with bytes of a request.
    pub fn lost(&self) -> u64 {
        self.lost.get()
    }
}
