//! The versions of the software that the upstreams of each service run, and which of them may have
//! begun a stream.
//!
//! What two versions write does not fit together, so a stream goes on only at the version that began
//! it. While one version alone can have begun the streams of a service, that version needs no
//! look-up. Two rules make this hold across processes that read the list at different times: a
//! version that is new to a service is used only after `hold_time`, and a process trusts its list
//! only if it was read within `hold_time`. So whoever trusts its list has seen every version that
//! any process has used.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::SoftwareVersion;

/// Settings of [`ServiceVersions`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceVersionsSettings {
    /// Longest time from the first event of a stream to its last resumption: the longest time that
    /// a caller waits, over all its tries.
    pub stream_memory: Duration,
    /// Time from the first sight of a version to its first use.
    pub hold_time: Duration,
}

impl Default for ServiceVersionsSettings {
    fn default() -> Self {
        ServiceVersionsSettings {
            stream_memory: Duration::from_secs(90),
            hold_time: Duration::from_secs(3),
        }
    }
}

/// The versions that may have begun streams of a service, as the platform's log keeps them for
/// processes that have just started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// The service.
    pub service: String,
    /// The versions.
    pub versions: BTreeSet<SoftwareVersion>,
}

/// Prefix of the keys of version records, which no name of a vm begins with.
const KEY_PREFIX: &str = "!versions:";
/// Longest key that the log takes.
const MAX_KEY_BYTES: usize = 255;

impl VersionRecord {
    /// Reports whether `key` is that of a version record.
    pub fn is_key(key: &str) -> bool {
        key.starts_with(KEY_PREFIX)
    }

    /// Returns the key of the record; none if the name of the service is too long for one.
    pub fn key(&self) -> Option<String> {
        let key = format!("{KEY_PREFIX}{}", self.service);
        (key.len() <= MAX_KEY_BYTES).then_some(key)
    }
}

/// When a version was listed.
#[derive(Clone, Copy, Debug)]
struct ListedVersion {
    usable_at: Duration,
    last_listed: Duration,
}

/// What a process knows of the versions of one service.
#[derive(Clone, Debug, Default)]
struct KnownService {
    listed: BTreeMap<SoftwareVersion, ListedVersion>,
    /// The versions that the log keeps; none if it keeps no record.
    kept: Option<KeptVersions>,
}

/// The versions in a record of the log.
#[derive(Clone, Debug)]
struct KeptVersions {
    versions: BTreeSet<SoftwareVersion>,
    /// Since when this process has known them.
    since: Duration,
}

/// The versions of all services, as one process knows them.
#[derive(Clone, Debug)]
pub struct ServiceVersions {
    settings: ServiceVersionsSettings,
    /// Whether the whole system started for the first time with this process.
    first_start: bool,
    services: BTreeMap<String, KnownService>,
    /// When the list was read whole for the first time.
    read_since: Option<Duration>,
    /// Up to when the last whole reading of the list is complete.
    confirmed_at: Option<Duration>,
}

impl ServiceVersions {
    /// Creates the state of a process that has read nothing; `first_start` tells that the whole
    /// system starts for the first time, so that no stream began before.
    pub fn new(settings: ServiceVersionsSettings, first_start: bool) -> Self {
        ServiceVersions {
            settings,
            first_start,
            services: BTreeMap::new(),
            read_since: None,
            confirmed_at: None,
        }
    }

    /// Records that an upstream of a service is listed with `version`. A version of the first whole
    /// reading is usable at once.
    pub fn record_listed(&mut self, service: &str, version: &SoftwareVersion, now: Duration) {
        let hold = self.read_since.map_or(Duration::ZERO, |_| self.settings.hold_time);
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), KnownService::default());
        }
        let Some(known) = self.services.get_mut(service) else {
            return;
        };
        match known.listed.get_mut(version) {
            Some(listed) => listed.last_listed = now,
            None => {
                let listed = ListedVersion { usable_at: now + hold, last_listed: now };
                known.listed.insert(version.clone(), listed);
            }
        }
    }

    /// Records that all that the list held at `confirmed_at` was recorded.
    pub fn record_reading(&mut self, confirmed_at: Duration) {
        self.read_since.get_or_insert(confirmed_at);
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
    }

    /// Records that changes of the list may have been missed up to `now`, because it was read anew
    /// instead of change by change.
    pub fn record_gap(&mut self, now: Duration) {
        self.first_start = false;
        self.read_since = self.read_since.map(|_| now);
    }

    /// Applies a record that the log keeps.
    pub fn apply_record(&mut self, record: VersionRecord, now: Duration) {
        let known = self.services.entry(record.service).or_default();
        let same = known.kept.as_ref().filter(|kept| kept.versions == record.versions);
        let since = same.map_or(now, |kept| kept.since);
        known.kept = Some(KeptVersions { versions: record.versions, since });
    }

    /// Returns the listed versions of a service that are not to be used yet; as a rule none.
    pub fn held_back(&self, service: &str, now: Duration) -> Vec<SoftwareVersion> {
        let listed = self.services.get(service).into_iter().flat_map(|known| &known.listed);
        let held_back = listed.filter(|(_, listed)| listed.usable_at > now);
        held_back.map(|(version, _)| version.clone()).collect()
    }

    /// Returns the one version that can have begun the streams of a service; none if several can
    /// have, or if this process cannot tell.
    pub fn single(&self, service: &str, now: Duration) -> Option<SoftwareVersion> {
        self.is_fresh(now).then(|| self.only_version(service, now)).flatten()
    }

    /// Reports whether the list was read lately enough to name each version that is used.
    fn is_fresh(&self, now: Duration) -> bool {
        let age = self.confirmed_at.map(|at| now.saturating_sub(at));
        age.is_some_and(|age| age < self.settings.hold_time)
    }

    /// Reports whether streams of a service may have begun at several versions.
    pub fn may_mix(&self, service: &str, now: Duration) -> bool {
        self.only_version(service, now).is_none()
    }

    /// Returns the services whose streams may have begun at several versions.
    pub fn mixed_services(&self, now: Duration) -> BTreeSet<String> {
        let mixed = self.services.keys().filter(|service| self.may_mix(service, now));
        mixed.cloned().collect()
    }

    fn only_version(&self, service: &str, now: Duration) -> Option<SoftwareVersion> {
        let known = self.services.get(service)?;
        if known.kept.is_none() && !self.has_seen_all(now) {
            return None;
        }
        let versions = self.possible_versions(known, now);
        (versions.len() == 1).then(|| versions.into_iter().next()).flatten()
    }

    /// Reports whether this process has read the list for as long as any stream that can still be
    /// resumed.
    fn has_seen_all(&self, now: Duration) -> bool {
        let memory = self.settings.stream_memory;
        let seen = self.read_since.is_some_and(|since| now.saturating_sub(since) >= memory);
        seen || (self.first_start && self.read_since.is_some())
    }

    fn recently_listed(&self, known: &KnownService, now: Duration) -> BTreeSet<SoftwareVersion> {
        let memory = self.settings.stream_memory;
        let recent = |listed: &ListedVersion| now.saturating_sub(listed.last_listed) < memory;
        let listed = known.listed.iter().filter(|(_, listed)| recent(listed));
        listed.map(|(version, _)| version.clone()).collect()
    }

    fn possible_versions(&self, known: &KnownService, now: Duration) -> BTreeSet<SoftwareVersion> {
        let kept = known.kept.iter().flat_map(|kept| &kept.versions).cloned();
        self.recently_listed(known, now).into_iter().chain(kept).collect()
    }

    /// Returns the records that the log should keep and does not. A version is left out only by a
    /// process that has seen neither it in the list nor a change of the record for the whole time in
    /// which its streams can be resumed.
    pub fn missing_records(&self, now: Duration) -> Vec<VersionRecord> {
        let wanted = self.services.iter().filter_map(|(service, known)| {
            let versions = self.wanted_versions(known, now)?;
            let same = known.kept.as_ref().is_some_and(|kept| kept.versions == versions);
            (!same).then(|| VersionRecord { service: service.clone(), versions })
        });
        wanted.collect()
    }

    fn wanted_versions(
        &self,
        known: &KnownService,
        now: Duration,
    ) -> Option<BTreeSet<SoftwareVersion>> {
        let is_old = |kept: &KeptVersions| {
            now.saturating_sub(kept.since) >= self.settings.stream_memory && self.is_fresh(now)
        };
        let versions = match &known.kept {
            None if !self.has_seen_all(now) => return None,
            Some(kept) if !self.has_seen_all(now) || !is_old(kept) => {
                self.possible_versions(known, now)
            }
            _ => self.recently_listed(known, now),
        };
        (!versions.is_empty()).then_some(versions)
    }

    /// Forgets versions whose streams can no longer be resumed.
    pub fn expire(&mut self, now: Duration) {
        let memory = self.settings.stream_memory;
        for known in self.services.values_mut() {
            known.listed.retain(|_, listed| now.saturating_sub(listed.last_listed) < memory);
        }
    }
}
