//! The sinks that apply the records of each topic to the state of the process.

use std::net::SocketAddr;
use std::time::Duration;

use carob_platform::{CONFIG_KEY, DecodeError, KeyedRecord, decode_config, decode_upstream};
use carobglade::{
    BlockRecord, EntryChange, RecordsEra, UpstreamEntry, UpstreamName, VersionRecord, VmName,
    VmProfile,
};
use serde::{Deserialize, Serialize};

use super::RecordSink;
use crate::edge::Edge;
use crate::evacuation;
use crate::quarantine;
use crate::turns;
use crate::view::PeerVm;

/// Applies the operator's configuration.
pub(super) struct ConfigSink;

impl RecordSink for ConfigSink {
    fn on_snapshot(&mut self, edge: &Edge, records: &[KeyedRecord]) {
        for record in records.iter().filter(|record| record.key == CONFIG_KEY) {
            self.on_record(edge, record);
        }
        evacuation::apply_snapshot(edge, records);
    }

    fn on_record(&mut self, edge: &Edge, record: &KeyedRecord) -> bool {
        if evacuation::apply_record(edge, record) {
            return true;
        }
        if record.key != CONFIG_KEY || record.value.is_empty() {
            return false;
        }
        match decode_config(&record.value) {
            Ok(config) => edge.apply_config(config, record.offset),
            Err(err) => {
                log::error!(target: "config", offset = record.offset, error:% = err; "Configuration cannot be decoded; the previous one stays in force.");
            }
        }
        true
    }

    fn on_confirmed(&mut self, edge: &Edge, confirmed_at: Duration) {
        edge.view.borrow_mut().freshness.record_read(confirmed_at);
        edge.update_ready();
    }
}

/// Updates the registry of upstreams.
#[derive(Default)]
pub(super) struct UpstreamSink {
    unreadable: u64,
    /// Whether a snapshot was read before.
    has_snapshot: bool,
}

impl RecordSink for UpstreamSink {
    /// Notes the read before its records are applied: the first records after an outage of the log
    /// remove entries that expired during the outage, and the registry keeps such entries for a
    /// while only if it knows of the outage.
    fn on_response(&mut self, edge: &Edge) {
        edge.view.borrow_mut().upstreams.record_read(edge.now());
        record_era(edge);
    }

    fn on_snapshot(&mut self, edge: &Edge, records: &[KeyedRecord]) {
        let now = edge.now();
        if std::mem::replace(&mut self.has_snapshot, true) {
            edge.origins.versions.borrow_mut().record_gap(now);
        }
        let live = records.iter().filter(|record| !record.value.is_empty());
        let names: Vec<UpstreamName> = live.filter_map(|record| record.key.parse().ok()).collect();
        for record in records {
            self.on_record(edge, record);
        }
        let gone = edge.view.borrow_mut().upstreams.retain_listed(&names, now);
        gone.iter().for_each(|name| edge.on_upstream_removed(name));
    }

    fn on_record(&mut self, edge: &Edge, record: &KeyedRecord) -> bool {
        if record.value.is_empty() {
            return self.remove(edge, &record.key);
        }
        let entry = match decode_listed(edge, record) {
            Ok(entry) => entry,
            Err(err) => {
                self.unreadable += 1;
                log::warn!(target: "upstreams", error:% = err, count = self.unreadable; "Upstream record cannot be decoded.");
                return false;
            }
        };
        let name = entry.name.clone();
        let draining = entry.draining;
        if !entry.cold_time.is_zero() {
            turns::record_cold(edge, &entry, entry.cold_time);
        }
        let change = edge.view.borrow_mut().upstreams.upsert(entry);
        record_version(edge, &name);
        match change {
            EntryChange::None => {}
            EntryChange::Updated => edge.on_placement_changed(),
            EntryChange::Added | EntryChange::Restarted | EntryChange::Draining => {
                log::info!(target: "upstreams", upstream:% = name, change:? = change, draining = draining, offset = record.offset; "An upstream changed.");
                if change == EntryChange::Restarted {
                    edge.on_upstream_restarted(&name);
                }
                edge.on_placement_changed();
            }
        }
        change != EntryChange::None
    }

    fn on_confirmed(&mut self, edge: &Edge, confirmed_at: Duration) {
        edge.origins.versions.borrow_mut().record_reading(confirmed_at);
        let gone = edge.view.borrow_mut().upstreams.expire(edge.now());
        gone.iter().for_each(|name| edge.on_upstream_removed(name));
        edge.update_ready();
    }
}

impl UpstreamSink {
    fn remove(&self, edge: &Edge, key: &str) -> bool {
        let Ok(name) = key.parse::<UpstreamName>() else {
            return false;
        };
        let known = edge.view.borrow().upstreams.entry(&name).is_some();
        if edge.view.borrow_mut().upstreams.record_removal(&name, edge.now()) {
            edge.on_upstream_removed(&name);
        }
        known
    }
}

/// Decodes an entry of the list. An upstream stays in the service that it has until an entry names
/// another one of the configuration.
fn decode_listed(edge: &Edge, record: &KeyedRecord) -> Result<UpstreamEntry, DecodeError> {
    let entry = decode_upstream(&record.key, &record.value)?;
    let view = edge.view.borrow();
    let held = view.upstreams.entry(&entry.name);
    let moves = held.is_some_and(|held| held.service != entry.service);
    let is_named =
        view.config.as_ref().is_none_or(|config| config.services.contains_key(&entry.service));
    if moves && !is_named {
        let problem = "the configuration names no such service".to_owned();
        return Err(DecodeError { field: format!("{}.service", record.key), problem });
    }
    Ok(entry)
}

/// Records the version of an upstream; an older entry than the known one does not count.
fn record_version(edge: &Edge, name: &UpstreamName) {
    let view = edge.view.borrow();
    if let Some(entry) = view.upstreams.entry(name) {
        let mut versions = edge.origins.versions.borrow_mut();
        versions.record_listed(&entry.service, &entry.version, edge.now());
    }
}

/// The record of a vm in the list of vms.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The address for messages to the vm.
    pub address: SocketAddr,
    /// The data centre and the processor capacity of the vm.
    pub seat: VmProfile,
    /// What has to be named to have connections carried by the vm.
    #[serde(default)]
    pub token: Option<String>,
}

/// Applies a verdict on a part of prompts.
fn apply_block(edge: &Edge, record: &KeyedRecord) -> bool {
    match BlockRecord::decode(&record.value) {
        Ok(block) => quarantine::apply_record(edge, &block),
        Err(err) => {
            log::warn!(target: "quarantine", key = record.key.as_str(), error:% = err; "Block record cannot be decoded.");
        }
    }
    true
}

/// Lets the versions of services know the era of the log, whose response was just received.
fn record_era(edge: &Edge) {
    edge.origins.versions.borrow_mut().record_era(edge.store.era(), edge.now());
}

/// Applies the era in which the records of versions were complete.
fn apply_records_era(edge: &Edge, record: &KeyedRecord) -> bool {
    match serde_json::from_slice::<RecordsEra>(&record.value) {
        Ok(kept) => edge.origins.versions.borrow_mut().apply_records_era(kept),
        Err(err) => {
            log::warn!(target: "versions", key = record.key.as_str(), error:% = err; "The era of the version records cannot be decoded.");
        }
    }
    true
}

/// Applies the versions of a service.
fn apply_versions(edge: &Edge, record: &KeyedRecord) -> bool {
    match serde_json::from_slice::<VersionRecord>(&record.value) {
        Ok(versions) => edge.origins.versions.borrow_mut().apply_record(versions, edge.now()),
        Err(err) => {
            log::warn!(target: "versions", key = record.key.as_str(), error:% = err; "Version record cannot be decoded.");
        }
    }
    true
}

/// Updates the list of other vms, and the verdicts on parts of prompts that are kept beside it.
pub(super) struct VmSink;

impl RecordSink for VmSink {
    fn on_response(&mut self, edge: &Edge) {
        record_era(edge);
    }

    fn on_snapshot(&mut self, edge: &Edge, records: &[KeyedRecord]) {
        for record in records {
            self.on_record(edge, record);
        }
    }

    fn on_record(&mut self, edge: &Edge, record: &KeyedRecord) -> bool {
        if BlockRecord::is_key(&record.key) {
            return apply_block(edge, record);
        }
        if VersionRecord::is_key(&record.key) {
            return apply_versions(edge, record);
        }
        if record.key == RecordsEra::KEY {
            return apply_records_era(edge, record);
        }
        let Ok(name) = record.key.parse::<VmName>() else {
            return false;
        };
        if name.as_str() == edge.settings.vm {
            return false;
        }
        let mut view = edge.view.borrow_mut();
        let mut hubs = edge.hubs.borrow_mut();
        if record.value.is_empty() {
            hubs.remove(&name);
            return view.peers.remove(&name).is_some();
        }
        match serde_json::from_slice::<VmEntry>(&record.value) {
            Ok(entry) => {
                hubs.add_listed(&name, entry.seat, edge.now());
                view.peers.insert(name, PeerVm { address: entry.address, token: entry.token });
            }
            Err(err) => {
                log::warn!(target: "vms", vm:% = name, error:% = err; "Vm record cannot be decoded.");
            }
        }
        true
    }

    fn on_confirmed(&mut self, edge: &Edge, confirmed_at: Duration) {
        edge.origins.versions.borrow_mut().record_records_reading(confirmed_at);
        edge.view.borrow_mut().vms_known = true;
        edge.update_fleet_size();
        edge.update_ready();
    }
}
