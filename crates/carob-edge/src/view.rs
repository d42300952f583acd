//! The state that the process read from the platform's log: the configuration, the upstreams and
//! the other vms.
//!
//! The followers of the log and the messages of other vms write here; requests only read.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use carob_platform::KeyedRecord;
use carobglade::{
    Evacuations, Freshness, FreshnessSettings, LogPosition, LogReading, PlatformConfig,
    RecentChanges, UpstreamRegistry, UpstreamRegistrySettings, VmName,
};
use serde::{Deserialize, Serialize};

/// Another entry vm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerVm {
    /// The address for messages to this vm.
    pub address: SocketAddr,
    /// What has to be named to have connections carried by this vm; `None` if it carries none, or if
    /// the list of vms has not told it yet.
    pub token: Option<String>,
}

/// A topic of the log that one vm can read on behalf of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Topic {
    /// The operator's configuration.
    Configuration,
    /// The list of upstreams.
    Upstreams,
}

/// Changes of the upstream list that another vm shared.
#[derive(Clone, Debug)]
pub struct SharedChanges {
    /// The offset from which `records` is complete.
    pub since: u64,
    /// The records that changed something.
    pub records: Vec<KeyedRecord>,
}

impl Default for SharedChanges {
    fn default() -> Self {
        SharedChanges { since: u64::MAX, records: Vec::new() }
    }
}

/// The configuration, the upstreams and the other vms as this process knows them.
pub struct ClusterView {
    /// The configuration in force; `None` before one was read.
    pub config: Option<Rc<PlatformConfig>>,
    /// The age of the last confirmed read of the configuration.
    pub freshness: Freshness,
    /// The known upstreams.
    pub upstreams: UpstreamRegistry,
    /// The data centres that operators evacuate.
    pub evacuations: Evacuations,
    /// The other vms of the fleet.
    pub peers: BTreeMap<VmName, PeerVm>,
    /// Whether the list of vms was read at least once.
    pub vms_known: bool,
    /// How far this process read each topic, by itself or through another vm.
    pub readings: BTreeMap<Topic, LogReading>,
    /// The latest changes of the upstream list, to share with other vms.
    pub changes: RecentChanges<KeyedRecord>,
    /// How far another vm read each topic, by its latest message.
    shared_readings: BTreeMap<Topic, LogReading>,
    /// The latest changes of the upstream list that another vm shared.
    shared_changes: SharedChanges,
}

/// Margin between the last use of a withdrawn key and `bounds.revoke`.
const KEY_MARGIN: Duration = Duration::from_millis(600);

impl ClusterView {
    /// Creates a view without any data; `revoke` is the time limit for the use of a withdrawn key.
    pub fn new(revoke: Duration) -> Self {
        let key_max_age = revoke.saturating_sub(KEY_MARGIN);
        let settings = FreshnessSettings { key_max_age, ready_max_age: revoke.mul_f64(0.56) };
        ClusterView {
            config: None,
            freshness: Freshness::new(settings),
            upstreams: UpstreamRegistry::new(UpstreamRegistrySettings::default()),
            evacuations: Evacuations::default(),
            peers: BTreeMap::new(),
            vms_known: false,
            readings: BTreeMap::new(),
            changes: RecentChanges::default(),
            shared_readings: BTreeMap::new(),
            shared_changes: SharedChanges::default(),
        }
    }

    /// Records how far another vm read a topic, with the latest changes of the upstream list as of
    /// that read. A read that is not newer than the known one is ignored, and so is one of an older
    /// era of the log.
    pub fn accept_reading(&mut self, topic: Topic, reading: LogReading, changes: &SharedChanges) {
        let known = self.shared_readings.get(&topic);
        let rank = |reading: &LogReading| (reading.era, reading.confirmed_at);
        if known.is_some_and(|known| rank(known) >= rank(&reading)) {
            return;
        }
        self.shared_readings.insert(topic, reading);
        if topic == Topic::Upstreams {
            self.shared_changes.clone_from(changes);
        }
    }

    /// Returns what another vm read of a topic, for a vm that read up to `next`: the reading, whose
    /// `read_to` is the offset to continue from, and the changes up to that offset. Returns `None`
    /// when the shared read is too old, is of another era of the log, or its changes do not reach back
    /// to `next`.
    pub fn shared_since(
        &self,
        topic: Topic,
        next: LogPosition,
        now: Duration,
    ) -> Option<(LogReading, Vec<KeyedRecord>)> {
        let shared = *self.shared_readings.get(&topic).filter(|shared| shared.era == next.era)?;
        let next = next.offset;
        let changes = (topic == Topic::Upstreams).then_some(&self.shared_changes);
        let read_to =
            shared.resume_offset(next, changes.map_or(u64::MAX, |changes| changes.since), now)?;
        let records = changes.into_iter().flat_map(|changes| &changes.records);
        let records = records.filter(|record| record.offset >= next).cloned();
        Some((LogReading { read_to, ..shared }, records.collect()))
    }

    /// Reports whether another vm recently shared a read of the configuration.
    pub fn is_hub_reading(&self, now: Duration) -> bool {
        self.shared_readings.get(&Topic::Configuration).is_some_and(|reading| reading.is_fresh(now))
    }

    /// Applies the evacuations in force to the list of upstreams; reports whether that changed any.
    pub fn apply_evacuations(&mut self, now: Duration) -> bool {
        self.upstreams.set_evacuated(self.evacuations.in_force(now))
    }

    /// Replaces the configuration if `config` has a newer version; reports whether it did.
    pub fn apply_config(&mut self, config: PlatformConfig) -> bool {
        let newer = self.config.as_ref().is_none_or(|old| old.version < config.version);
        if newer {
            self.config = Some(Rc::new(config));
        }
        newer
    }
}
