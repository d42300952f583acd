//! Which vm of each data centre passes on what its neighbours tell, in a fleet too large for
//! messages from each to each.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{DataCentre, VmName};

/// Settings of [`HubSelector`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HubSettings {
    /// Vms from which on messages go through hubs.
    pub min_fleet: usize,
    /// Silence after which a vm is not chosen.
    pub alive_timeout: Duration,
    /// The same for a vm that is only listed.
    pub listed_timeout: Duration,
    /// How long a hub may leave messages unanswered.
    pub answer_timeout: Duration,
    /// How long a hub that left messages unanswered is not chosen again.
    pub exclusion_time: Duration,
    /// How long a vm that reported counts as a neighbour to pass things on for.
    pub report_ttl: Duration,
}

impl Default for HubSettings {
    fn default() -> Self {
        HubSettings {
            min_fleet: 24,
            alive_timeout: Duration::from_millis(6000),
            listed_timeout: Duration::from_secs(2),
            answer_timeout: Duration::from_millis(800),
            exclusion_time: Duration::from_secs(5),
            report_ttl: Duration::from_secs(2),
        }
    }
}

/// Where a vm runs, and on what.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmProfile {
    /// Its data centre.
    #[serde(rename = "place")]
    pub data_centre: DataCentre,
    /// What its processor does, in hundredths of a usual core.
    #[serde(rename = "power")]
    pub cpu_capacity: u32,
}

#[derive(Clone, Debug)]
struct KnownVm {
    profile: VmProfile,
    heard_at: Duration,
    reported_at: Option<Duration>,
    asked_at: Option<Duration>,
    excluded_at: Option<Duration>,
}

/// The vms that may pass messages on, as one vm sees them.
///
/// In each data centre the one with the strongest processor is chosen, and the first by a hash of
/// the name among equals, of those that were heard of lately and answer. Vms may disagree for a while: who is asked answers, chosen or not.
#[derive(Clone, Debug)]
pub struct HubSelector {
    settings: HubSettings,
    vm: VmName,
    profile: VmProfile,
    known: BTreeMap<VmName, KnownVm>,
    /// When this vm last could not read the log.
    read_failed: Option<Duration>,
}

fn rank(vm: &VmName, power: u32) -> (Reverse<u32>, u64) {
    (Reverse(power), xxhash_rust::xxh3::xxh3_64(vm.as_str().as_bytes()))
}

impl HubSelector {
    /// Knows of no other vm yet.
    pub fn new(settings: HubSettings, vm: VmName, profile: VmProfile) -> Self {
        HubSelector { settings, vm, profile, known: BTreeMap::new(), read_failed: None }
    }

    /// The list of vms names one. It may be dead, and is soon not chosen unless it is heard of.
    pub fn add_listed(&mut self, vm: &VmName, profile: VmProfile, now: Duration) {
        let early = self.settings.alive_timeout.saturating_sub(self.settings.listed_timeout);
        let heard_at = now.saturating_sub(early);
        let fresh = KnownVm {
            profile: profile.clone(),
            heard_at,
            reported_at: None,
            asked_at: None,
            excluded_at: None,
        };
        let known = self.known.entry(vm.clone()).or_insert(fresh);
        known.heard_at = known.heard_at.max(heard_at);
        known.profile = profile;
    }

    /// A vm was heard of; one that the list does not name yet cannot be chosen.
    pub fn record_heard(&mut self, vm: &VmName, now: Duration) {
        if let Some(known) = self.known.get_mut(vm) {
            known.heard_at = known.heard_at.max(now);
        }
    }

    /// The data centre of a vm.
    pub fn data_centre_of(&self, vm: &VmName) -> Option<DataCentre> {
        self.known.get(vm).map(|known| known.profile.data_centre.clone())
    }

    /// A vm of the same data centre reported, as it takes this one for the hub.
    pub fn record_report(&mut self, vm: &VmName, now: Duration) {
        if let Some(known) = self.known.get_mut(vm) {
            known.reported_at = Some(now);
        }
    }

    /// A vm is gone.
    pub fn remove(&mut self, vm: &VmName) {
        self.known.remove(vm);
    }

    /// A message that wants an answer went to a vm.
    pub fn record_request(&mut self, vm: &VmName, now: Duration) {
        if let Some(known) = self.known.get_mut(vm) {
            known.asked_at.get_or_insert(now);
        }
    }

    /// A vm answered.
    pub fn record_answer(&mut self, vm: &VmName) {
        if let Some(known) = self.known.get_mut(vm) {
            (known.asked_at, known.excluded_at) = (None, None);
        }
    }

    /// Whether messages go through hubs.
    pub fn in_use(&self) -> bool {
        self.known.len() + 1 >= self.settings.min_fleet
    }

    /// The hub of a data centre; none when no vm of it is alive.
    pub fn hub_of(&mut self, data_centre: &DataCentre, now: Duration) -> Option<VmName> {
        let own = (self.profile.data_centre == *data_centre).then(|| self.vm.clone());
        self.choose(|other| other == data_centre, own, now)
    }

    /// The vm that reads the log for all others of a fleet without hubs.
    pub fn log_reader(&mut self, now: Duration) -> VmName {
        let failed = self
            .read_failed
            .is_some_and(|at| now.saturating_sub(at) < self.settings.exclusion_time);
        let own = (!failed).then(|| self.vm.clone());
        self.choose(|_| true, own, now).unwrap_or_else(|| self.vm.clone())
    }

    /// This vm could not read the log.
    pub fn record_read_failure(&mut self, now: Duration) {
        self.read_failed = Some(now);
    }

    fn choose(
        &mut self,
        fits: impl Fn(&DataCentre) -> bool,
        own: Option<VmName>,
        now: Duration,
    ) -> Option<VmName> {
        self.update_exclusions(now);
        let alive = self.known.iter().filter(|(_, known)| {
            let silent = now.saturating_sub(known.heard_at) >= self.settings.alive_timeout;
            fits(&known.profile.data_centre) && !silent && known.excluded_at.is_none()
        });
        let others = alive.map(|(vm, known)| (vm, known.profile.cpu_capacity));
        let all = others.chain(own.as_ref().map(|own| (own, self.profile.cpu_capacity)));
        all.min_by_key(|(vm, power)| rank(vm, *power)).map(|(vm, _)| vm.clone())
    }

    /// Whether this vm reads the log for others.
    pub fn reads_log(&mut self, now: Duration) -> bool {
        if self.in_use() { self.is_hub(now) } else { self.log_reader(now) == self.vm }
    }

    fn update_exclusions(&mut self, now: Duration) {
        let settings = self.settings;
        for known in self.known.values_mut() {
            if known.asked_at.is_some_and(|at| now.saturating_sub(at) >= settings.answer_timeout) {
                (known.asked_at, known.excluded_at) = (None, Some(now));
            }
            if known.excluded_at.is_some_and(|at| now.saturating_sub(at) >= settings.exclusion_time)
            {
                known.excluded_at = None;
            }
        }
    }

    /// Whether this vm passes messages on for its data centre.
    pub fn is_hub(&mut self, now: Duration) -> bool {
        let data_centre = self.profile.data_centre.clone();
        self.in_use() && self.hub_of(&data_centre, now).as_ref() == Some(&self.vm)
    }

    /// Where this vm runs.
    pub fn profile(&self) -> &VmProfile {
        &self.profile
    }

    /// The other data centres.
    pub fn other_data_centres(&self) -> BTreeSet<DataCentre> {
        let all = self.known.values().map(|known| &known.profile.data_centre);
        all.filter(|other| **other != self.profile.data_centre).cloned().collect()
    }

    /// Vms that reported to this one lately.
    pub fn members(&self, now: Duration) -> BTreeSet<VmName> {
        let recent = |at: Duration| now.saturating_sub(at) < self.settings.report_ttl;
        let members = self.known.iter().filter(|(_, known)| known.reported_at.is_some_and(recent));
        members.map(|(vm, _)| vm.clone()).collect()
    }
}
