//! Bounds the connections of a listener; one that makes no progress gives way to a new one.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use carob_net::Clock;
use carobglade::{ConnectionAdmission, ConnectionId, ConnectionStage, ConnectionTable};
use tokio::sync::Notify;

/// Interval between two lines about connections that gave way.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The connections of one listener.
pub struct ConnectionGate {
    /// Name of the listener in the log.
    listener: &'static str,
    clock: Rc<dyn Clock>,
    table: RefCell<ConnectionTable>,
    evictions: RefCell<BTreeMap<ConnectionId, Rc<Notify>>>,
    /// Connections that gave way or were refused since the last line.
    unlogged: Cell<u64>,
    logged_at: Cell<Option<Duration>>,
}

/// A connection, which counts as open until it is dropped.
pub struct GateConnection {
    gate: Rc<ConnectionGate>,
    id: ConnectionId,
    evicted: Rc<Notify>,
}

impl ConnectionGate {
    /// Creates the gate of a listener with at most `max_open` connections.
    pub fn new(listener: &'static str, max_open: usize, clock: Rc<dyn Clock>) -> Rc<Self> {
        Rc::new(ConnectionGate {
            listener,
            clock,
            table: RefCell::new(ConnectionTable::new(max_open)),
            evictions: RefCell::default(),
            unlogged: Cell::default(),
            logged_at: Cell::default(),
        })
    }

    /// Admits a connection, or returns `None` when it has to be closed.
    pub fn open(self: &Rc<Self>) -> Option<GateConnection> {
        let now = self.clock.now();
        let admission = self.table.borrow_mut().open(now);
        let id = match admission {
            ConnectionAdmission::Admitted(id) => id,
            ConnectionAdmission::Replaces(id, replaced) => {
                if let Some(evicted) = self.evictions.borrow_mut().remove(&replaced) {
                    evicted.notify_one();
                }
                self.record_full(now);
                id
            }
            ConnectionAdmission::Refused => {
                self.record_full(now);
                return None;
            }
        };
        let evicted = Rc::new(Notify::new());
        self.evictions.borrow_mut().insert(id, Rc::clone(&evicted));
        Some(GateConnection { gate: Rc::clone(self), id, evicted })
    }

    /// Counts a connection that gave way or was refused; a crowd causes one line in an interval.
    fn record_full(&self, now: Duration) {
        self.unlogged.set(self.unlogged.get() + 1);
        if self.logged_at.get().is_some_and(|at| now < at + LOG_INTERVAL) {
            return;
        }
        self.logged_at.set(Some(now));
        let (count, open) = (self.unlogged.take(), self.table.borrow().len());
        log::warn!(target: "front", listener = self.listener, open = open, count = count; "Connections gave way to new ones.");
    }
}

impl GateConnection {
    /// Records what happens on the connection from now on.
    pub fn set_stage(&self, stage: ConnectionStage) {
        self.gate.table.borrow_mut().set_stage(self.id, stage, self.gate.clock.now());
    }

    /// Records that more of a body has arrived.
    pub fn record_progress(&self) {
        self.gate.table.borrow_mut().record_progress(self.id, self.gate.clock.now());
    }

    /// Completes when the connection has to give way.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for GateConnection {
    fn drop(&mut self) {
        self.gate.table.borrow_mut().close(self.id);
        self.gate.evictions.borrow_mut().remove(&self.id);
    }
}
