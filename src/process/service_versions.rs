//! The versions of the software that the upstreams of each service run, and which of them may have
//! begun a stream.
//!
//! What two versions write does not fit together, so a stream goes on only at the version that began
//! it. While one version alone can have begun the streams of a service, that version needs no
//! look-up. Two rules make this hold across processes that read the list at different times: a
//! version that is new to a service is used only after `hold_time`, and a process trusts its list
//! only if it was read within `hold_time`. So whoever trusts its list has seen every version that
//! any process has used. A process that has just started need not wait for a version that the log
//! names as settled: another process has seen it listed for `hold_time`.
//!
//! After the log came back from an older copy, the list and the records may lack versions that were in
//! use. Until the list is whole again, no process takes a version for the only one by them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::list_recovery::{ListRecovery, RecordsEra};
use crate::{LogEra, SoftwareVersion};

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
    /// Those of them that may be used at once: every process that trusts its list knows them. None if
    /// the writer, an older build, does not tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub settled: Option<BTreeSet<SoftwareVersion>>,
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

/// Time within which the log keeps a version after a process first saw it listed.
const RECORD_DELAY: Duration = Duration::from_secs(1);
/// Time without a version in the list from which it counts as new when it comes back. Longer than the
/// interval at which the versions of all listed upstreams are recorded again.
const ABSENCE_TIME: Duration = Duration::from_secs(10);

/// When a version was listed.
#[derive(Clone, Copy, Debug)]
struct ListedVersion {
    usable_at: Duration,
    last_listed: Duration,
    /// Whether it was listed when this process began to read the list without a gap.
    at_start: bool,
}

/// What a process knows of the versions of one service.
#[derive(Clone, Debug, Default)]
struct KnownService {
    listed: BTreeMap<SoftwareVersion, ListedVersion>,
    /// The versions that the log keeps; none if it keeps no record.
    kept: Option<KeptVersions>,
}

/// The versions in a record of the log, and those that one lacks which came from an older copy.
#[derive(Clone, Debug)]
struct KeptVersions {
    versions: BTreeSet<SoftwareVersion>,
    settled: Option<BTreeSet<SoftwareVersion>>,
    /// Whether the record names all of the versions.
    is_whole: bool,
    /// The era of the log in which the record was read or written.
    era: LogEra,
    /// Since when this process has known them.
    since: Duration,
    /// When this process applied the record.
    applied_at: Duration,
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
    /// Whether a whole reading of the list, without the changes before, is under way.
    starts_reading: bool,
    /// Up to when the last whole reading of the list is complete.
    confirmed_at: Option<Duration>,
    /// Up to when the last whole reading of the records is complete.
    records_at: Duration,
    /// When the log may last have lost records.
    records_lost: Duration,
    /// Whether the records were once current after a reading of the list.
    was_known: bool,
    /// How far the list is whole again after the log came back from an older copy.
    recovery: ListRecovery,
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
            starts_reading: true,
            confirmed_at: None,
            records_at: Duration::ZERO,
            records_lost: Duration::ZERO,
            was_known: false,
            recovery: ListRecovery::default(),
        }
    }

    /// Records that an upstream of a service is listed with `version`. At the first start of the
    /// whole system, the versions of the first whole reading are usable at once.
    pub fn record_listed(&mut self, service: &str, version: &SoftwareVersion, now: Duration) {
        let first = self.first_start && self.read_since.is_none();
        let hold = if first { Duration::ZERO } else { self.settings.hold_time };
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), KnownService::default());
        }
        let Some(known) = self.services.get_mut(service) else {
            return;
        };
        let at_start = self.starts_reading;
        let new = ListedVersion { usable_at: now + hold, last_listed: now, at_start };
        match known.listed.get_mut(version) {
            Some(listed) if now.saturating_sub(listed.last_listed) < ABSENCE_TIME => {
                listed.last_listed = now;
            }
            Some(listed) => *listed = new,
            None => {
                known.listed.insert(version.clone(), new);
            }
        }
    }

    /// Records that all that the list held at `confirmed_at` was recorded.
    pub fn record_reading(&mut self, confirmed_at: Duration) {
        self.read_since.get_or_insert(confirmed_at);
        self.starts_reading = false;
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
        self.recovery.record_list(confirmed_at);
        self.update_known();
    }

    /// Records that changes of the list may have been missed up to `now`, because it was read anew
    /// instead of change by change.
    pub fn record_gap(&mut self, now: Duration) {
        self.first_start = false;
        self.starts_reading = true;
        self.read_since = self.read_since.map(|_| now);
    }

    /// Applies a record that the log keeps. One that may come from an older copy takes back no version.
    pub fn apply_record(&mut self, record: VersionRecord, now: Duration) {
        let known = self.services.entry(record.service).or_default();
        let VersionRecord { mut versions, settled, .. } = record;
        let named = versions.len();
        let era = self.recovery.era();
        let may_lack = |kept: &&KeptVersions| kept.era < era || !self.recovery.is_over();
        let before = known.kept.iter().filter(may_lack).flat_map(|kept| &kept.versions);
        versions.extend(before.cloned());
        let same = known.kept.as_ref().filter(|kept| kept.versions == versions);
        let since = same.map_or(now, |kept| kept.since);
        let is_whole = versions.len() == named;
        let applied_at = now;
        known.kept = Some(KeptVersions { versions, settled, is_whole, era, since, applied_at });
    }

    /// Records the era that the log tells in its response to a read, before what was read is applied.
    pub fn record_era(&mut self, era: LogEra, now: Duration) {
        self.recovery.record_era(era, now);
    }

    /// Applies the era in which the records were complete, as the log keeps it.
    pub fn apply_records_era(&mut self, kept: RecordsEra) {
        self.recovery.apply(kept);
    }

    /// Records that all records that the log held at `confirmed_at` were applied.
    pub fn record_records_reading(&mut self, confirmed_at: Duration) {
        self.records_at = self.records_at.max(confirmed_at);
        self.recovery.record_records();
        self.update_known();
    }

    /// Records that the log came back from an older copy, which may lack the records applied before.
    pub fn record_older_copy(&mut self, now: Duration) {
        self.records_lost = now;
    }

    fn update_known(&mut self) {
        let current = self.read_since.is_some_and(|since| self.records_at + RECORD_DELAY >= since);
        self.was_known |= current && self.records_at > Duration::ZERO;
    }

    /// Reports whether this process has read both the list and records that are not older, so that
    /// it can tell whether one version alone began the streams of a service. Stays true.
    pub fn was_known(&self) -> bool {
        self.was_known
    }

    /// Returns the listed versions of a service that are not to be used yet; as a rule none.
    pub fn held_back(&self, service: &str, now: Duration) -> Vec<SoftwareVersion> {
        let Some(known) = self.services.get(service) else {
            return Vec::new();
        };
        let listed = known.listed.keys();
        listed.filter(|version| !self.is_usable(known, version, now)).cloned().collect()
    }

    /// Reports whether every process that trusts its list knows a listed version.
    fn is_usable(&self, known: &KnownService, version: &SoftwareVersion, now: Duration) -> bool {
        let Some(listed) = known.listed.get(version) else {
            return false;
        };
        let is_settled = || listed.at_start && self.is_settled(known, version);
        let is_only = || self.only_version_of(known, now).is_some();
        listed.usable_at <= now || is_settled() || is_only()
    }

    /// Reports whether the log names a version as settled. One that it names is known only to be
    /// listed by some process, maybe a moment ago.
    fn is_settled(&self, known: &KnownService, version: &SoftwareVersion) -> bool {
        let Some(kept) = known.kept.as_ref().filter(|kept| self.is_current(kept)) else {
            return false;
        };
        kept.settled.as_ref().unwrap_or(&kept.versions).contains(version)
    }

    /// Returns the one version that can have begun the streams of a service; none if several can
    /// have, or if this process cannot tell.
    pub fn single(&self, service: &str, now: Duration) -> Option<SoftwareVersion> {
        let is_whole = self.recovery.is_over() || self.has_seen_all(now);
        (is_whole && self.is_fresh(now)).then(|| self.only_version(service, now)).flatten()
    }

    /// Reports whether the list may lack versions since the log came back from an older copy.
    pub fn is_recovering(&self) -> bool {
        !self.recovery.is_over()
    }

    /// Returns the time until one version may be known to have begun all streams of a service, while
    /// that depends alone on the list, which is not whole again since the log came back from an older
    /// copy; zero if the next reading of the list may tell.
    pub fn recovery_time(&self, service: &str, now: Duration) -> Option<Duration> {
        self.only_version(service, now)?;
        self.recovery.time_left(now)
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

    /// Returns the services for which no version is known to have begun all streams.
    pub fn uncertain_services(&self, now: Duration) -> BTreeSet<String> {
        let uncertain = self.services.keys().filter(|name| self.single(name, now).is_none());
        uncertain.cloned().collect()
    }

    fn only_version(&self, service: &str, now: Duration) -> Option<SoftwareVersion> {
        self.only_version_of(self.services.get(service)?, now)
    }

    fn only_version_of(&self, known: &KnownService, now: Duration) -> Option<SoftwareVersion> {
        let kept = known.kept.as_ref().is_some_and(|kept| self.is_current(kept));
        if !kept && !self.has_seen_all(now) {
            return None;
        }
        let versions = self.possible_versions(known, now);
        (versions.len() == 1).then(|| versions.into_iter().next()).flatten()
    }

    /// Reports whether a record names the versions that were listed before this process began to
    /// read the list without a gap.
    fn is_current(&self, kept: &KeptVersions) -> bool {
        let read_at = kept.applied_at.max(self.records_at);
        self.read_since.is_some_and(|since| read_at + RECORD_DELAY >= since)
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
            let settled = self.wanted_settled(known, &versions, now);
            let is_same = |kept: &KeptVersions| {
                let is_held = kept.applied_at >= self.records_lost;
                is_held && kept.is_whole && kept.versions == versions && kept.settled == settled
            };
            let same = known.kept.as_ref().is_some_and(is_same);
            (!same).then(|| VersionRecord { service: service.clone(), versions, settled })
        });
        wanted.collect()
    }

    /// Returns what the log should keep of the era in which its records are complete; none if it does,
    /// or if records are missing.
    pub fn missing_records_era(&self, now: Duration) -> Option<RecordsEra> {
        let missing = self.recovery.missing_record(self.has_seen_all(now));
        missing.filter(|_| self.missing_records(now).is_empty())
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

    /// Returns which of the wanted versions are settled; none as long as the log does not tell and this
    /// process cannot for all that it lists.
    fn wanted_settled(
        &self,
        known: &KnownService,
        versions: &BTreeSet<SoftwareVersion>,
        now: Duration,
    ) -> Option<BTreeSet<SoftwareVersion>> {
        let is_held = |version| known.listed[version].usable_at > now;
        let kept = known.kept.as_ref();
        if kept.is_some_and(|kept| kept.settled.is_none()) && known.listed.keys().any(is_held) {
            return None;
        }
        let told = kept.and_then(|kept| kept.settled.as_ref());
        let is_settled = |version: &&SoftwareVersion| {
            let seen = known.listed.get(*version).is_some_and(|listed| listed.usable_at <= now);
            seen || told.is_some_and(|told| told.contains(*version))
        };
        Some(versions.iter().filter(is_settled).cloned().collect())
    }

    /// Forgets versions whose streams can no longer be resumed.
    pub fn expire(&mut self, now: Duration) {
        let memory = self.settings.stream_memory;
        for known in self.services.values_mut() {
            known.listed.retain(|_, listed| now.saturating_sub(listed.last_listed) < memory);
        }
    }
}
