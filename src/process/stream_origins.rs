//! The versions of upstreams' software at which streams began.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::SoftwareVersion;

/// Identifies the request that began a stream. Its size does not depend on that of the request's
/// id, and a tenant cannot name the streams of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(u128);

impl StreamKey {
    /// Returns the key of the request `id` of a tenant to a service.
    pub fn new(service: &str, tenant: &str, id: &str) -> Self {
        let text = format!("{service}\0{tenant}\0{id}");
        StreamKey(xxhash_rust::xxh3::xxh3_128(text.as_bytes()))
    }

    /// Returns the key with this hash.
    pub(crate) fn from_hash(hash: u128) -> Self {
        StreamKey(hash)
    }
}

impl std::fmt::Display for StreamKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Where the knowledge of a stream's version comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginSource {
    /// The stream began at this process.
    Own,
    /// The service has one version alone.
    Single,
    /// Another process told it.
    Peer,
    /// The platform's log keeps it.
    Log,
    /// Nobody that was asked knows it.
    Unknown,
}

impl OriginSource {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            OriginSource::Own => "own",
            OriginSource::Single => "single",
            OriginSource::Peer => "peer",
            OriginSource::Log => "log",
            OriginSource::Unknown => "unknown",
        }
    }
}

/// At which version a stream began, and how long ago.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The request that began the stream.
    pub key: StreamKey,
    /// The version.
    pub version: SoftwareVersion,
    /// Time since the first event, in milliseconds.
    pub age_ms: u32,
}

/// Settings of [`StreamOrigins`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamOriginsSettings {
    /// Longest time from the first event of a stream to its last resumption.
    pub memory: Duration,
    /// Maximum number of streams; the oldest are forgotten first.
    pub max_count: usize,
}

impl Default for StreamOriginsSettings {
    fn default() -> Self {
        StreamOriginsSettings { memory: Duration::from_secs(90), max_count: 1 << 16 }
    }
}

#[derive(Clone, Debug)]
struct KnownOrigin {
    version: SoftwareVersion,
    source: OriginSource,
    began_at: Duration,
}

impl KnownOrigin {
    fn origin(&self, key: StreamKey, now: Duration) -> StreamOrigin {
        let age = now.saturating_sub(self.began_at).as_millis();
        let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
        StreamOrigin { key, version: self.version.clone(), age_ms }
    }
}

/// The streams whose version a process knows.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    settings: StreamOriginsSettings,
    known: HashMap<StreamKey, KnownOrigin>,
    /// The keys in the order in which they were recorded, with the time of that.
    order: VecDeque<(Duration, StreamKey)>,
}

impl StreamOrigins {
    /// Creates an empty memory.
    pub fn new(settings: StreamOriginsSettings) -> Self {
        StreamOrigins { settings, ..StreamOrigins::default() }
    }

    /// Records a stream that begins now at this process; returns what to tell the others.
    pub fn record_start(
        &mut self,
        key: StreamKey,
        version: &SoftwareVersion,
        now: Duration,
    ) -> StreamOrigin {
        let origin = StreamOrigin { key, version: version.clone(), age_ms: 0 };
        self.known.remove(&key);
        self.record(&origin, OriginSource::Own, now);
        origin
    }

    /// Records what another process or the log tells; reports whether it was new. What is known
    /// already stays.
    pub fn record(&mut self, origin: &StreamOrigin, source: OriginSource, now: Duration) -> bool {
        let age = Duration::from_millis(u64::from(origin.age_ms));
        if age >= self.settings.memory || self.known.contains_key(&origin.key) {
            return false;
        }
        let began_at = now.saturating_sub(age);
        let version = origin.version.clone();
        self.known.insert(origin.key, KnownOrigin { version, source, began_at });
        self.order.push_back((now, origin.key));
        while self.order.len() > self.settings.max_count {
            self.forget_oldest();
        }
        true
    }

    /// Returns the version at which a stream began, and who said so.
    pub fn version(&self, key: StreamKey) -> Option<(SoftwareVersion, OriginSource)> {
        let known = self.known.get(&key)?;
        Some((known.version.clone(), known.source))
    }

    /// Returns what to tell others of a stream.
    pub fn origin(&self, key: StreamKey, now: Duration) -> Option<StreamOrigin> {
        Some(self.known.get(&key)?.origin(key, now))
    }

    /// Returns the streams that began at this process.
    pub fn own(&self, now: Duration) -> Vec<StreamOrigin> {
        let own = self.known.iter().filter(|(_, known)| known.source == OriginSource::Own);
        own.map(|(key, known)| known.origin(*key, now)).collect()
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Reports whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Forgets streams that can no longer be resumed.
    pub fn expire(&mut self, now: Duration) {
        let memory = self.settings.memory;
        while self.order.front().is_some_and(|(at, _)| now.saturating_sub(*at) >= memory) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, key)) = self.order.pop_front() {
            self.known.remove(&key);
        }
    }
}
