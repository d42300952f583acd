//! Selects the vm of each data centre that relays messages for the others, in a fleet too large for
//! messages from every vm to every other.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{DataCentre, VmName};

/// Settings of [`HubSelector`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HubSelectorSettings {
    /// Smallest number of vms at which messages go through hubs.
    pub min_fleet: usize,
    /// Silence after which a vm is not selected.
    pub alive_timeout: Duration,
    /// Silence after which a vm that is listed, but was never heard from, is not selected.
    pub listed_timeout: Duration,
    /// How long a vm may leave a message without a response before it is excluded.
    pub response_timeout: Duration,
    /// How long an excluded vm is not selected; also how long this vm does not read the log for
    /// others after a failed read.
    pub exclusion_time: Duration,
    /// How long a vm that reported to this one counts as its member.
    pub report_ttl: Duration,
}

impl Default for HubSelectorSettings {
    fn default() -> Self {
        HubSelectorSettings {
            min_fleet: 24,
            alive_timeout: Duration::from_millis(6000),
            listed_timeout: Duration::from_secs(2),
            response_timeout: Duration::from_millis(800),
            exclusion_time: Duration::from_secs(5),
            report_ttl: Duration::from_secs(2),
        }
    }
}

/// Data centre and processor capacity of a vm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmProfile {
    /// The data centre of the vm.
    #[serde(rename = "place")]
    pub data_centre: DataCentre,
    /// Processor capacity, in hundredths of a reference core.
    #[serde(rename = "power")]
    pub cpu_capacity: u32,
}

#[derive(Clone, Debug)]
struct KnownVm {
    profile: VmProfile,
    heard_at: Duration,
    reported_at: Option<Duration>,
    requested_at: Option<Duration>,
    excluded_at: Option<Duration>,
}

/// The vms that may relay messages, as one vm sees them.
///
/// In each data centre the vm with the strongest processor is selected, and among equals the first
/// by a hash of the name, out of those that were heard from recently and respond. Vms may disagree
/// for a while, so a vm responds to any request, selected or not.
#[derive(Clone, Debug)]
pub struct HubSelector {
    settings: HubSelectorSettings,
    vm: VmName,
    profile: VmProfile,
    known: BTreeMap<VmName, KnownVm>,
    /// When this vm last failed to read the log.
    read_failed_at: Option<Duration>,
}

fn rank(vm: &VmName, cpu_capacity: u32) -> (Reverse<u32>, u64) {
    (Reverse(cpu_capacity), xxhash_rust::xxh3::xxh3_64(vm.as_str().as_bytes()))
}

impl HubSelector {
    /// Creates the state of a vm that knows no other.
    pub fn new(settings: HubSelectorSettings, vm: VmName, profile: VmProfile) -> Self {
        HubSelector { settings, vm, profile, known: BTreeMap::new(), read_failed_at: None }
    }

    /// Adds a vm from the platform's list. The vm may be dead, so it can be selected only for
    /// `listed_timeout` unless it is heard from.
    pub fn add_listed(&mut self, vm: &VmName, profile: VmProfile, now: Duration) {
        let early = self.settings.alive_timeout.saturating_sub(self.settings.listed_timeout);
        let heard_at = now.saturating_sub(early);
        let fresh = KnownVm {
            profile: profile.clone(),
            heard_at,
            reported_at: None,
            requested_at: None,
            excluded_at: None,
        };
        let known = self.known.entry(vm.clone()).or_insert(fresh);
        known.heard_at = known.heard_at.max(heard_at);
        known.profile = profile;
    }

    /// Records that a vm was heard from. Vms that the list does not name yet are ignored.
    pub fn record_contact(&mut self, vm: &VmName, now: Duration) {
        if let Some(known) = self.known.get_mut(vm) {
            known.heard_at = known.heard_at.max(now);
        }
    }

    /// Returns the data centre of a vm; none if the vm is not known.
    pub fn data_centre_of(&self, vm: &VmName) -> Option<DataCentre> {
        self.known.get(vm).map(|known| known.profile.data_centre.clone())
    }

    /// Records a report of a vm that takes this one for its hub.
    pub fn record_report(&mut self, vm: &VmName, now: Duration) {
        if let Some(known) = self.known.get_mut(vm) {
            known.reported_at = Some(now);
        }
    }

    /// Removes a vm that stopped.
    pub fn remove(&mut self, vm: &VmName) {
        self.known.remove(vm);
    }

    /// Records that a message that needs a response went to a vm.
    pub fn record_request(&mut self, vm: &VmName, now: Duration) {
        if let Some(known) = self.known.get_mut(vm) {
            known.requested_at.get_or_insert(now);
        }
    }

    /// Records the response of a vm and lifts its exclusion.
    pub fn record_response(&mut self, vm: &VmName) {
        if let Some(known) = self.known.get_mut(vm) {
            (known.requested_at, known.excluded_at) = (None, None);
        }
    }

    /// Reports whether the fleet is large enough for messages to go through hubs.
    pub fn uses_hubs(&self) -> bool {
        self.known.len() + 1 >= self.settings.min_fleet
    }

    /// Returns the hub of a data centre; none if no vm of it is alive.
    pub fn hub_of(&mut self, data_centre: &DataCentre, now: Duration) -> Option<VmName> {
        let own = (self.profile.data_centre == *data_centre).then(|| self.vm.clone());
        self.choose(|other| other == data_centre, own, now)
    }

    /// Returns the vm that reads the log for all others in a fleet without hubs.
    pub fn log_reader(&mut self, now: Duration) -> VmName {
        let failed = self
            .read_failed_at
            .is_some_and(|at| now.saturating_sub(at) < self.settings.exclusion_time);
        let own = (!failed).then(|| self.vm.clone());
        self.choose(|_| true, own, now).unwrap_or_else(|| self.vm.clone())
    }

    /// Returns the vm that owns what `key` names, out of those that are alive. All vms name the same
    /// one while they agree on who is alive.
    pub fn owner_of(&mut self, key: &str, now: Duration) -> VmName {
        self.owners_of(key, 1, now).pop().unwrap_or_else(|| self.vm.clone())
    }

    /// Returns up to `count` vms that own what `key` names, like [`owner_of`](Self::owner_of).
    pub fn owners_of(&mut self, key: &str, count: usize, now: Duration) -> Vec<VmName> {
        self.update_exclusions(now);
        let alive = self.known.iter().filter(|(_, known)| self.is_available(known, now));
        let all = alive.map(|(vm, _)| vm).chain([&self.vm]);
        let weight = |vm: &VmName| xxhash_rust::xxh3::xxh3_64(format!("{vm}\0{key}").as_bytes());
        let mut weighted: Vec<(u64, &VmName)> = all.map(|vm| (weight(vm), vm)).collect();
        weighted.sort_by(|a, b| b.cmp(a));
        weighted.into_iter().take(count).map(|(_, vm)| vm.clone()).collect()
    }

    fn is_available(&self, known: &KnownVm, now: Duration) -> bool {
        let silent = now.saturating_sub(known.heard_at) >= self.settings.alive_timeout;
        !silent && known.excluded_at.is_none()
    }

    /// Records that this vm failed to read the log, so that another one reads it.
    pub fn record_read_failure(&mut self, now: Duration) {
        self.read_failed_at = Some(now);
    }

    fn choose(
        &mut self,
        fits: impl Fn(&DataCentre) -> bool,
        own: Option<VmName>,
        now: Duration,
    ) -> Option<VmName> {
        self.update_exclusions(now);
        let alive = self
            .known
            .iter()
            .filter(|(_, known)| fits(&known.profile.data_centre) && self.is_available(known, now));
        let others = alive.map(|(vm, known)| (vm, known.profile.cpu_capacity));
        let all = others.chain(own.as_ref().map(|own| (own, self.profile.cpu_capacity)));
        all.min_by_key(|(vm, cpu_capacity)| rank(vm, *cpu_capacity)).map(|(vm, _)| vm.clone())
    }

    /// Returns the vm that writes to the log for this one: in a fleet with hubs the hub of its data
    /// centre, else the vm that reads the log for all.
    pub fn log_writer(&mut self, now: Duration) -> Option<VmName> {
        if self.uses_hubs() {
            let data_centre = self.profile.data_centre.clone();
            self.hub_of(&data_centre, now)
        } else {
            Some(self.log_reader(now))
        }
    }

    /// Returns the number of vms that write to the log for others.
    pub fn log_writers(&self) -> usize {
        if self.uses_hubs() { self.other_data_centres().len() + 1 } else { 1 }
    }

    /// Reports whether this vm reads the log for others.
    pub fn reads_log(&mut self, now: Duration) -> bool {
        if self.uses_hubs() { self.is_hub(now) } else { self.log_reader(now) == self.vm }
    }

    fn update_exclusions(&mut self, now: Duration) {
        let settings = self.settings;
        for known in self.known.values_mut() {
            if known
                .requested_at
                .is_some_and(|at| now.saturating_sub(at) >= settings.response_timeout)
            {
                (known.requested_at, known.excluded_at) = (None, Some(now));
            }
            if known.excluded_at.is_some_and(|at| now.saturating_sub(at) >= settings.exclusion_time)
            {
                known.excluded_at = None;
            }
        }
    }

    /// Reports whether this vm is the hub of its data centre.
    pub fn is_hub(&mut self, now: Duration) -> bool {
        let data_centre = self.profile.data_centre.clone();
        self.uses_hubs() && self.hub_of(&data_centre, now).as_ref() == Some(&self.vm)
    }

    /// Returns the profile of this vm.
    pub fn profile(&self) -> &VmProfile {
        &self.profile
    }

    /// Returns the data centres of the known vms, other than that of this vm.
    pub fn other_data_centres(&self) -> BTreeSet<DataCentre> {
        let all = self.known.values().map(|known| &known.profile.data_centre);
        all.filter(|other| **other != self.profile.data_centre).cloned().collect()
    }

    /// Returns the vms that reported to this one within `report_ttl`.
    pub fn members(&self, now: Duration) -> BTreeSet<VmName> {
        let recent = |at: Duration| now.saturating_sub(at) < self.settings.report_ttl;
        let members = self.known.iter().filter(|(_, known)| known.reported_at.is_some_and(recent));
        members.map(|(vm, _)| vm.clone()).collect()
    }
}
