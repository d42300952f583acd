//! What the process believes of the world: the configuration, the upstreams, the other vms.
//!
//! Only the followers of the platform's log write here; requests read.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use carob_platform::KeyedRecord;
use carobglade::{
    Changes, Freshness, FreshnessSettings, Reading, Roster, RosterSettings, Site, VmName,
};
use serde::{Deserialize, Serialize};

/// Another vm that runs the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerVm {
    /// Where it takes messages.
    pub address: SocketAddr,
}

/// A topic of the log whose reading vms vouch for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Topic {
    /// The operator's configuration.
    Configuration,
    /// The list of upstreams.
    Upstreams,
}

/// Changes that a hub told.
#[derive(Clone, Debug)]
pub struct SharedChanges {
    /// The offset from which on they are all.
    pub since: u64,
    /// The records.
    pub records: Vec<KeyedRecord>,
}

impl Default for SharedChanges {
    fn default() -> Self {
        SharedChanges { since: u64::MAX, records: Vec::new() }
    }
}

/// What the process believes.
pub struct ClusterView {
    /// The configuration in force, if one was ever read.
    pub site: Option<Rc<Site>>,
    /// How old that is.
    pub freshness: Freshness,
    /// The upstreams.
    pub roster: Roster,
    /// The other vms.
    pub peers: BTreeMap<VmName, PeerVm>,
    /// Whether the list of vms was read.
    pub vms_known: bool,
    /// What this process read of the log.
    pub readings: BTreeMap<Topic, Reading>,
    /// The latest changes of the list of upstreams, to be passed on.
    pub changes: Changes<KeyedRecord>,
    /// What the hub read of the log.
    shared_readings: BTreeMap<Topic, Reading>,
    /// The latest changes of the list that the hub told.
    shared_changes: SharedChanges,
}

/// Time kept between the last use of a key and its bound.
const KEY_MARGIN: Duration = Duration::from_millis(600);

impl ClusterView {
    /// Knows nothing yet.
    pub fn new(revoke: Duration) -> Self {
        let refuse = revoke.saturating_sub(KEY_MARGIN);
        let settings = FreshnessSettings { refuse, unready: revoke.mul_f64(0.56) };
        ClusterView {
            site: None,
            freshness: Freshness::new(settings),
            roster: Roster::new(RosterSettings::default()),
            peers: BTreeMap::new(),
            vms_known: false,
            readings: BTreeMap::new(),
            changes: Changes::default(),
            shared_readings: BTreeMap::new(),
            shared_changes: SharedChanges::default(),
        }
    }

    /// A hub vouches for a reading, and tells the latest changes of the list as of then. An older
    /// one than is known changes nothing.
    pub fn accept_reading(&mut self, topic: Topic, reading: Reading, changes: &SharedChanges) {
        let known = self.shared_readings.get(&topic);
        if known.is_some_and(|known| known.confirmed >= reading.confirmed) {
            return;
        }
        self.shared_readings.insert(topic, reading);
        if topic == Topic::Upstreams {
            self.shared_changes.clone_from(changes);
        }
    }

    /// What the hub read of a topic, where a vm that read up to `next` may rest on it: with the
    /// offset to go on from, and the changes until then.
    pub fn shared_since(
        &self,
        topic: Topic,
        next: u64,
        now: Duration,
    ) -> Option<(Reading, Vec<KeyedRecord>)> {
        let shared = *self.shared_readings.get(&topic)?;
        let changes = (topic == Topic::Upstreams).then_some(&self.shared_changes);
        let seen = shared.skip(next, changes.map_or(u64::MAX, |changes| changes.since), now)?;
        let records = changes.into_iter().flat_map(|changes| &changes.records);
        let records = records.filter(|record| record.offset >= next).cloned();
        Some((Reading { seen, ..shared }, records.collect()))
    }

    /// Whether the hub lately told that it reads the configuration.
    pub fn is_hub_reading(&self, now: Duration) -> bool {
        self.shared_readings.get(&Topic::Configuration).is_some_and(|reading| reading.is_fresh(now))
    }

    /// Takes a configuration unless a newer one is in force.
    pub fn apply_config(&mut self, site: Site) -> bool {
        let newer = self.site.as_ref().is_none_or(|old| old.version < site.version);
        if newer {
            self.site = Some(Rc::new(site));
        }
        newer
    }
}
