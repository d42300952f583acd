//! How far apart the ids of events are in the streams of a source, learned from their events.
//!
//! Whoever takes up a stream knows the id of one event alone. The other streams of the same model and
//! software version tell which id may come next: a larger distance than theirs is a gap.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::event_sequence::IdStep;
use crate::{ModelName, SoftwareVersion, StreamKey};

/// Distances from which ids with one distance are taken for even.
const MIN_EVEN_COUNT: u32 = 4;
/// Distances from which the largest one of uneven ids is taken for the largest that there is.
const MIN_UNEVEN_COUNT: u32 = 16;
/// Time without an event after which a source is forgotten.
const SOURCE_TTL: Duration = Duration::from_secs(600);
/// Maximum number of sources; further ones are not remembered.
const MAX_SOURCES: usize = 1 << 14;

/// Identifies what numbers the events of streams: a model at a version of the upstreams' software.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IdSource(u128);

impl IdSource {
    /// Returns the source for a model of a service; none for a request that names no model.
    pub fn new(service: &str, version: &SoftwareVersion, model: Option<&ModelName>) -> Self {
        let model = model.map_or("", ModelName::as_str);
        let text = format!("{service}\0{version}\0{model}");
        IdSource(xxhash_rust::xxh3::xxh3_128(text.as_bytes()))
    }
}

impl From<IdSource> for StreamKey {
    /// Returns the key by which the processes that know of the source are found, as those that know of
    /// a stream are.
    fn from(source: IdSource) -> Self {
        StreamKey::from_hash(source.0)
    }
}

impl std::fmt::Display for IdSource {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// The distances between the ids of events that follow each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdDistances {
    /// Number of distances.
    count: u32,
    smallest: u64,
    largest: u64,
    /// The second largest; that of even ids, if one event alone was out of step.
    second: u64,
}

impl IdDistances {
    /// Records the distance between two ids.
    pub fn record(&mut self, distance: u64) {
        let one = IdDistances { count: 1, smallest: distance, largest: distance, second: 0 };
        self.add(one);
    }

    /// Adds distances that are not among those recorded.
    pub fn add(&mut self, other: IdDistances) {
        let count = self.count.saturating_add(other.count);
        let mut largest = [self.largest, self.second, other.largest, other.second];
        largest.sort_unstable();
        *self = IdDistances { count, ..self.united(other, largest[2]) };
    }

    /// Takes over what another process tells, which may have recorded the same distances.
    pub fn adopt(&mut self, told: IdDistances) {
        let count = self.count.max(told.count);
        *self = IdDistances { count, ..self.united(told, self.second.max(told.second)) };
    }

    fn united(self, other: IdDistances, second: u64) -> Self {
        if self.count == 0 || other.count == 0 {
            return if self.count == 0 { other } else { self };
        }
        let smallest = self.smallest.min(other.smallest);
        let largest = self.largest.max(other.largest);
        IdDistances { count: self.count, smallest, largest, second }
    }

    /// Reports whether nothing was recorded.
    pub fn is_empty(self) -> bool {
        self.count == 0
    }

    /// Returns the step between ids, as far as the distances tell it.
    pub fn step(self) -> IdStep {
        let is_even = self.smallest == self.largest;
        if is_even && self.count >= MIN_EVEN_COUNT {
            return IdStep::Every(self.largest);
        }
        if is_even || self.count < MIN_UNEVEN_COUNT {
            return IdStep::Unknown;
        }
        let one_out_of_step = self.second == self.smallest;
        IdStep::AtMost(if one_out_of_step { self.second } else { self.largest })
    }
}

#[derive(Clone, Copy, Debug)]
struct KnownSource {
    distances: IdDistances,
    last_used: Duration,
}

/// The distances between ids of all sources, as one process knows them.
#[derive(Clone, Debug, Default)]
pub struct IdSources {
    known: HashMap<IdSource, KnownSource>,
}

impl IdSources {
    /// Records distances between events of a source. Returns what to tell other processes, if the step
    /// has changed.
    pub fn record(
        &mut self,
        source: IdSource,
        distances: IdDistances,
        now: Duration,
    ) -> Option<IdDistances> {
        let before = self.step(source);
        self.update(source, now, |known| known.add(distances));
        (self.step(source) != before).then(|| self.distances(source)).flatten()
    }

    /// Records what another process tells of a source.
    pub fn adopt(&mut self, source: IdSource, told: IdDistances, now: Duration) {
        self.update(source, now, |known| known.adopt(told));
    }

    fn update(&mut self, source: IdSource, now: Duration, change: impl FnOnce(&mut IdDistances)) {
        if self.known.len() >= MAX_SOURCES && !self.known.contains_key(&source) {
            return;
        }
        let empty = KnownSource { distances: IdDistances::default(), last_used: now };
        let known = self.known.entry(source).or_insert(empty);
        known.last_used = now;
        change(&mut known.distances);
    }

    /// Returns the distances of a source, if any are known.
    pub fn distances(&self, source: IdSource) -> Option<IdDistances> {
        self.known.get(&source).map(|known| known.distances)
    }

    /// Returns the step between the ids of a source.
    pub fn step(&self, source: IdSource) -> IdStep {
        self.distances(source).map_or(IdStep::Unknown, IdDistances::step)
    }

    /// Forgets sources of which nothing was heard for long.
    pub fn expire(&mut self, now: Duration) {
        self.known.retain(|_, known| now.saturating_sub(known.last_used) < SOURCE_TTL);
    }
}
