//! What the process knows of the versions of upstreams' software and of the streams that began at
//! them.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use carobglade::{
    LogPosition, OriginSource, ServiceVersions, ServiceVersionsSettings, SoftwareVersion,
    StreamKey, StreamOrigins,
};
use tokio::sync::{Mutex, Notify};

/// Maximum number of streams that wait to be written to the log; the oldest are left out first.
const MAX_UNKEPT: usize = 8192;

/// A stream whose version is to be written to the log.
#[derive(Clone, Debug)]
pub struct UnkeptOrigin {
    /// The request that began the stream.
    pub key: StreamKey,
    /// The version.
    pub version: SoftwareVersion,
    /// When the stream began.
    pub began_at: Duration,
    /// When it was added here.
    pub added_at: Duration,
    /// The vm that asked for the stream to be written; none for a stream of this vm.
    pub told_by: Option<SocketAddr>,
}

/// How far the process has read the topic of streams.
#[derive(Debug, Default)]
pub struct StreamTopicReading {
    /// Position to continue from; none before the first read.
    pub next: Cell<Option<LogPosition>>,
    /// When the last read of everything up to the end was started.
    pub complete_at: Cell<Option<Duration>>,
    /// Held by the one request that reads.
    pub lock: Mutex<()>,
}

/// Versions and streams, as this process knows them.
pub struct OriginState {
    /// The versions of each service.
    pub versions: RefCell<ServiceVersions>,
    /// The streams whose version is known.
    pub streams: RefCell<StreamOrigins>,
    /// Whether the versions were last seen to be recovering after the log came back from an older copy.
    pub recovering: Cell<bool>,
    /// Services whose streams other vms are told of.
    pub told_services: RefCell<BTreeSet<String>>,
    /// Wakes requests that asked other vms for a stream.
    pub told: Notify,
    /// Streams to write to the log.
    pub unkept: RefCell<VecDeque<UnkeptOrigin>>,
    /// Wakes the writer.
    pub unkept_added: Notify,
    /// How far the topic of streams was read.
    pub reading: StreamTopicReading,
}

impl OriginState {
    /// Creates the state of a process; `first_start` tells that the whole system starts.
    pub fn new(first_start: bool) -> Self {
        let settings = ServiceVersionsSettings::default();
        OriginState {
            versions: RefCell::new(ServiceVersions::new(settings, first_start)),
            streams: RefCell::default(),
            recovering: Cell::new(false),
            told_services: RefCell::default(),
            told: Notify::new(),
            unkept: RefCell::default(),
            unkept_added: Notify::new(),
            reading: StreamTopicReading::default(),
        }
    }

    /// Returns the version of a stream, if it is known here.
    pub fn version(&self, key: StreamKey) -> Option<(SoftwareVersion, OriginSource)> {
        self.streams.borrow().version(key)
    }

    /// Adds a stream that is to be written to the log.
    pub fn add_unkept(&self, origin: UnkeptOrigin) {
        let mut unkept = self.unkept.borrow_mut();
        unkept.push_back(origin);
        let excess = unkept.len().saturating_sub(MAX_UNKEPT);
        unkept.drain(..excess);
        self.unkept_added.notify_one();
    }

    /// Leaves out streams that the log keeps.
    pub fn remove_kept(&self, keys: &HashSet<StreamKey>) {
        self.unkept.borrow_mut().retain(|origin| !keys.contains(&origin.key));
    }
}
