//! Which of the connections of clients gives way when there are too many.
//!
//! Answers the load of clients that open connections and send nothing, or a part of a request, and
//! keep them open. Each costs a descriptor and some memory, and an ordinary client must find room.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Identifies a connection within a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// What happens on a connection, the first to give way first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionStage {
    /// No request has come yet.
    New,
    /// The head of a request has arrived in part.
    PartialHead,
    /// A request was answered, and no other one has come.
    Idle,
    /// The body of a request has arrived in part; counted from the last bytes of it.
    PartialBody,
    /// A request is in progress. Such a connection never gives way.
    Serving,
}

/// What was decided on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAdmission {
    /// There is room for it.
    Admitted(ConnectionId),
    /// It takes the place of another one, which has to be closed.
    Replaces(ConnectionId, ConnectionId),
    /// Requests are in progress on all others.
    Refused,
}

/// The open connections of one listener.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    max_open: usize,
    next_id: u64,
    stages: BTreeMap<ConnectionId, (ConnectionStage, Duration)>,
    /// The connections that may give way, the first of them first.
    yielding: BTreeSet<(ConnectionStage, Duration, ConnectionId)>,
}

impl ConnectionTable {
    /// Creates a table for at most `max_open` connections, at least one.
    pub fn new(max_open: usize) -> Self {
        ConnectionTable {
            max_open: max_open.max(1),
            next_id: 0,
            stages: BTreeMap::new(),
            yielding: BTreeSet::new(),
        }
    }

    /// Decides on a connection that was accepted at `now`. One that is replaced counts no longer.
    pub fn open(&mut self, now: Duration) -> ConnectionAdmission {
        let mut replaced = None;
        if self.stages.len() >= self.max_open {
            let Some((_, _, first)) = self.yielding.first().copied() else {
                return ConnectionAdmission::Refused;
            };
            self.close(first);
            replaced = Some(first);
        }
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.stages.insert(id, (ConnectionStage::New, now));
        self.yielding.insert((ConnectionStage::New, now, id));
        match replaced {
            Some(replaced) => ConnectionAdmission::Replaces(id, replaced),
            None => ConnectionAdmission::Admitted(id),
        }
    }

    /// Records what happens on a connection from `now` on. One that was replaced or closed is ignored.
    pub fn set_stage(&mut self, id: ConnectionId, stage: ConnectionStage, now: Duration) {
        let Some(known) = self.stages.get_mut(&id).filter(|known| known.0 != stage) else {
            return;
        };
        self.yielding.remove(&(known.0, known.1, id));
        *known = (stage, now);
        if stage != ConnectionStage::Serving {
            self.yielding.insert((stage, now, id));
        }
    }

    /// Records that more of a body has arrived, where one arrives.
    pub fn record_progress(&mut self, id: ConnectionId, now: Duration) {
        if self.stages.get(&id).is_some_and(|known| known.0 == ConnectionStage::PartialBody) {
            self.set_stage(id, ConnectionStage::Idle, now);
            self.set_stage(id, ConnectionStage::PartialBody, now);
        }
    }

    /// Records the end of a connection.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some((stage, since)) = self.stages.remove(&id) {
            self.yielding.remove(&(stage, since, id));
        }
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.stages.len()
    }

    /// Reports whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.stages.is_empty()
    }
}
