//! State built by replaying the control stream of the platform log.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::process::ledger::MemoryLedger;
use crate::process::{
    ConfigChange, Join, LogEntry, Record, SlotTable, StateMachine, Suspects, VmRef,
};
use crate::version::{Change, Config, ConfigWire, KeyIndex, validate_config};
use crate::{DataCentre, Error, ErrorKind, Offset, Result, TenantName, UpstreamName, VmName};

const MAX_VERDICTS: usize = 512; // for appenders that look up the result of their entry
const MEMBER_TTL_MS: u64 = 24 * 3600 * 1000; // a member with no record for this long is dropped

/// Result of replaying a record that may be rejected.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The record took effect at this offset.
    Accepted(Offset),
    /// The record was rejected for this reason and changed nothing.
    #[serde(rename = "void")]
    Rejected(String),
}

/// A process that has joined the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Process and its incarnation.
    pub vm: VmRef,
    /// Data centre in which the process runs.
    pub data_centre: DataCentre,
    /// Address on which the process accepts peers.
    pub peer: SocketAddr,
    /// Address on which the process accepts operators.
    pub admin: SocketAddr,
    /// Time of the last join or renew record on the log's clock, in milliseconds.
    #[serde(rename = "time")]
    pub time_ms: u64,
}

/// Snapshot format of [`ControlState`], with the configuration in its operator format.
#[derive(Serialize, Deserialize)]
struct StateWire {
    version: Offset,
    config: ConfigWire,
    created: BTreeMap<TenantName, Offset>,
    removed: BTreeMap<TenantName, Offset>,
    members: BTreeMap<VmName, Member>,
    slots: SlotTable,
    ledger: MemoryLedger,
    suspects: Suspects,
    verdicts: VecDeque<(String, Verdict)>,
    time: u64,
}

impl From<ControlState> for StateWire {
    fn from(state: ControlState) -> Self {
        let tenants = state.config.tenants.values();
        StateWire {
            version: state.version,
            config: ConfigWire::from(&*state.config),
            created: tenants.map(|t| (t.name.clone(), t.rate_limit.created)).collect(),
            removed: state.removed,
            members: state.members,
            slots: state.slots,
            ledger: state.ledger,
            suspects: state.suspects,
            verdicts: state.verdicts,
            time: state.time,
        }
    }
}

impl TryFrom<StateWire> for ControlState {
    type Error = Error;

    fn try_from(wire: StateWire) -> Result<Self> {
        let config = validate_config(&wire.config, wire.version).map_err(|problems| {
            let problem = problems.first().map(ToString::to_string).unwrap_or_default();
            Error::new(ErrorKind::InvalidRequest, format!("snapshot: {problem}"))
        })?;
        let config = config.with_created(&wire.created);
        let mut ledger = wire.ledger;
        ledger.rebuild_indexes();
        Ok(ControlState {
            version: wire.version,
            keys: Arc::new(KeyIndex::new(&config)),
            config: Arc::new(config),
            removed: wire.removed,
            members: wire.members,
            slots: wire.slots,
            ledger,
            suspects: wire.suspects,
            verdicts: wire.verdicts,
            time: wire.time,
        })
    }
}

/// State built by replaying the control stream.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(into = "StateWire", try_from = "StateWire")]
pub struct ControlState {
    version: Offset,
    config: Arc<Config>,
    keys: Arc<KeyIndex>,
    removed: BTreeMap<TenantName, Offset>,
    members: BTreeMap<VmName, Member>,
    slots: SlotTable,
    ledger: MemoryLedger,
    suspects: Suspects,
    verdicts: VecDeque<(String, Verdict)>,
    time: u64,
}

impl ControlState {
    /// Returns the current configuration version: the offset at which it was accepted.
    pub fn version(&self) -> Offset {
        self.version
    }

    /// Returns the current configuration.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the current configuration in its operator format.
    pub fn config_wire(&self) -> ConfigWire {
        ConfigWire::from(&*self.config)
    }

    /// Returns the index of the current API keys.
    pub fn keys(&self) -> &Arc<KeyIndex> {
        &self.keys
    }

    /// Returns the processes that have joined.
    pub fn members(&self) -> &BTreeMap<VmName, Member> {
        &self.members
    }

    /// Returns the table of rate slots.
    pub fn slots(&self) -> &SlotTable {
        &self.slots
    }

    /// Returns the ledger of accelerator memory.
    pub fn ledger(&self) -> &MemoryLedger {
        &self.ledger
    }

    /// Returns the requests suspected of crashing upstreams.
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Returns the time of the last entry on the log's clock, in milliseconds.
    pub fn time(&self) -> u64 {
        self.time
    }

    /// Reports whether a tenant of this name was ever removed, so that the current tenant of the
    /// name, if any, is a new one.
    pub fn was_removed(&self, tenant: &TenantName) -> bool {
        self.removed.contains_key(tenant)
    }

    /// Returns the verdict on the entry with `id`; `None` if none is kept.
    pub fn verdict(&self, id: &str) -> Option<&Verdict> {
        self.verdicts.iter().rev().find(|(known, _)| known == id).map(|(_, verdict)| verdict)
    }

    fn record_verdict(&mut self, id: &str, verdict: Verdict) {
        if self.verdicts.len() == MAX_VERDICTS {
            self.verdicts.pop_front();
        }
        self.verdicts.push_back((id.to_owned(), verdict));
    }

    fn apply_config_change(&mut self, change: &ConfigChange, offset: Offset) -> Verdict {
        if change.base != self.version {
            let message = format!("based on {}, but {} is in force", change.base, self.version);
            return Verdict::Rejected(message);
        }
        let config = match self.config.with_changes(&change.changes, offset) {
            Ok(config) => config,
            Err(problems) => {
                let problem = problems.first().map(ToString::to_string);
                return Verdict::Rejected(problem.unwrap_or_default());
            }
        };
        let gone = self.config.tenants.keys().filter(|name| !config.tenants.contains_key(*name));
        self.removed.extend(gone.map(|name| (name.clone(), offset)));
        for change in &change.changes {
            let Change::Upstream(wire) = change else { continue };
            let Ok(name) = wire.name.parse::<UpstreamName>() else { continue };
            let Some(upstream) = config.upstreams.get(&name) else { continue };
            if let Some(memory) = upstream.memory {
                self.ledger.set_capacity(&name, memory, upstream.fencing);
            }
        }
        if !Arc::ptr_eq(&config.tenants, &self.config.tenants) {
            self.keys = Arc::new(KeyIndex::new(&config));
        }
        self.version = offset;
        self.config = Arc::new(config);
        Verdict::Accepted(offset)
    }

    fn apply_join(&mut self, join: &Join, time: u64) {
        let known = self.members.get(&join.vm.vm);
        if known.is_some_and(|member| member.vm.incarnation > join.vm.incarnation) {
            return;
        }
        let member = Member {
            vm: join.vm.clone(),
            data_centre: join.data_centre.clone(),
            peer: join.peer,
            admin: join.admin,
            time_ms: time,
        };
        self.members.insert(join.vm.vm.clone(), member);
    }

    fn apply_leave(&mut self, vm: &VmRef) {
        self.slots.release_all(vm);
        if self.members.get(&vm.vm).is_some_and(|member| member.vm == *vm) {
            self.members.remove(&vm.vm);
        }
    }

    fn apply_renew(&mut self, vm: &VmRef, time: u64) {
        self.slots.renew(vm, time);
        if let Some(member) = self.members.get_mut(&vm.vm).filter(|member| member.vm == *vm) {
            member.time_ms = time;
        }
    }

    fn apply_record(&mut self, record: &Record, entry: &LogEntry) {
        let (offset, time) = (entry.offset, entry.time_ms);
        match record {
            Record::ConfigChange(change) => {
                let verdict = self.apply_config_change(change, offset);
                self.record_verdict(&entry.id, verdict);
            }
            Record::Join(join) => self.apply_join(join, time),
            Record::Leave(vm) | Record::ForceLeave(vm) => self.apply_leave(vm),
            Record::Renew(vm) => self.apply_renew(vm, time),
            Record::SlotAcquire(change) => self.slots.acquire(change, offset, time),
            Record::SlotRelease(change) => self.slots.release(change),
            Record::OrderIntent(intent) => {
                let verdict = match self.ledger.admit(intent, offset, time) {
                    Ok(()) => Verdict::Accepted(offset),
                    Err(reason) => Verdict::Rejected(reason.to_owned()),
                };
                self.record_verdict(&entry.id, verdict);
            }
            Record::OrderResolution(resolution) => self.ledger.resolve(resolution, time),
            Record::UpstreamRestart(restart) => self.ledger.apply_restart(restart),
            Record::Suspicion(suspicion) => self.suspects.apply_suspicion(suspicion, time),
            Record::SuspicionCleared(request) => self.suspects.clear(*request),
            Record::Claim(_)
            | Record::ClaimOutcome(_)
            | Record::ClaimRelease(_)
            | Record::Snapshot(_) => {}
        }
    }
}

impl StateMachine for ControlState {
    fn apply(&mut self, entry: &LogEntry) {
        self.time = self.time.max(entry.time_ms);
        self.suspects.expire(self.time);
        for record in &entry.records {
            self.apply_record(record, entry);
        }
        let oldest = self.time.saturating_sub(MEMBER_TTL_MS);
        self.members.retain(|_, member| member.time_ms >= oldest);
    }
}
