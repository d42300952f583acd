//! The replayed state of the control stream.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::process::ledger::Ledger;
use crate::process::{ConfigChange, Entry, Fold, Join, Record, SlotTable, Suspects, VmRef};
use crate::version::{Config, ConfigWire, KeyIndex, check};
use crate::{DataCentre, Offset, TenantName, VmName};

const VERDICTS_KEPT: usize = 512; // verdicts that are kept for those who appended
const MEMBER_EXPIRY_MS: u64 = 24 * 3600 * 1000; // after which a silent member is dropped

/// What replay made of a record that could be void.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The record took effect.
    Accepted(Offset),
    /// The record is void.
    Void(String),
}

/// A process that joined.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The process.
    pub vm: VmRef,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Time of the last record on the log's clock, in milliseconds.
    pub time: u64,
}

#[derive(Clone, Debug, Default)]
struct Derived {
    config: Arc<Config>,
    keys: Arc<KeyIndex>,
}

/// The replayed state of the control stream.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ControlState {
    version: Offset,
    wire: ConfigWire,
    created: BTreeMap<TenantName, Offset>,
    removed: BTreeMap<TenantName, Offset>,
    members: BTreeMap<VmName, Member>,
    slots: SlotTable,
    ledger: Ledger,
    suspects: Suspects,
    verdicts: VecDeque<(String, Verdict)>,
    time: u64,
    #[serde(skip)]
    derived: Derived,
}

impl ControlState {
    /// The version in force: the offset at which it was accepted.
    pub fn version(&self) -> Offset {
        self.version
    }

    /// The configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.derived.config
    }

    /// The configuration in force as operators write it.
    pub fn wire(&self) -> &ConfigWire {
        &self.wire
    }

    /// The keys in force.
    pub fn keys(&self) -> &Arc<KeyIndex> {
        &self.derived.keys
    }

    /// The processes that joined.
    pub fn members(&self) -> &BTreeMap<VmName, Member> {
        &self.members
    }

    /// The slots.
    pub fn slots(&self) -> &SlotTable {
        &self.slots
    }

    /// The ledger of accelerator memory.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Requests under suspicion.
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Time of the last entry on the log's clock, in milliseconds.
    pub fn time(&self) -> u64 {
        self.time
    }

    /// Whether a tenant of this name was removed before it was created.
    pub fn recreated(&self, tenant: &TenantName) -> bool {
        self.removed.contains_key(tenant)
    }

    /// What replay made of the entry with `id`.
    pub fn verdict(&self, id: &str) -> Option<&Verdict> {
        self.verdicts.iter().rev().find(|(known, _)| known == id).map(|(_, verdict)| verdict)
    }

    fn decide(&mut self, id: &str, verdict: Verdict) {
        if self.verdicts.len() == VERDICTS_KEPT {
            self.verdicts.pop_front();
        }
        self.verdicts.push_back((id.to_owned(), verdict));
    }

    fn change(&mut self, change: &ConfigChange, offset: Offset) -> Verdict {
        if change.base != self.version {
            let message = format!("based on {}, but {} is in force", change.base, self.version);
            return Verdict::Void(message);
        }
        let mut wire = self.wire.clone();
        change.changes.iter().for_each(|change| change.make(&mut wire));
        let config = match check(&wire, offset) {
            Ok(config) => config,
            Err(problems) => {
                return Verdict::Void(
                    problems.first().map(ToString::to_string).unwrap_or_default(),
                );
            }
        };
        for tenant in self.created.keys().filter(|name| !config.tenants.contains_key(*name)) {
            self.removed.insert(tenant.clone(), offset);
        }
        self.created.retain(|name, _| config.tenants.contains_key(name));
        for tenant in config.tenants.keys() {
            self.created.entry(tenant.clone()).or_insert(offset);
        }
        self.version = offset;
        self.wire = wire;
        self.derive(config);
        Verdict::Accepted(offset)
    }

    fn derive(&mut self, mut config: Config) {
        for tenant in config.tenants.values_mut() {
            tenant.grant.created = self.created.get(&tenant.name).copied().unwrap_or_default();
        }
        for upstream in config.upstreams.values() {
            if let Some(memory) = upstream.memory {
                self.ledger.configure(&upstream.name, memory, upstream.fencing);
            }
        }
        self.derived = Derived { keys: Arc::new(KeyIndex::new(&config)), config: Arc::new(config) };
    }

    fn join(&mut self, join: &Join, time: u64) {
        let known = self.members.get(&join.vm.vm);
        if known.is_some_and(|member| member.vm.incarnation > join.vm.incarnation) {
            return;
        }
        let member = Member {
            vm: join.vm.clone(),
            data_centre: join.data_centre.clone(),
            peer: join.peer,
            admin: join.admin,
            time,
        };
        self.members.insert(join.vm.vm.clone(), member);
    }

    fn leave(&mut self, vm: &VmRef) {
        self.slots.free(vm);
        if self.members.get(&vm.vm).is_some_and(|member| member.vm == *vm) {
            self.members.remove(&vm.vm);
        }
    }

    fn renew(&mut self, vm: &VmRef, time: u64) {
        self.slots.renew(vm, time);
        if let Some(member) = self.members.get_mut(&vm.vm).filter(|member| member.vm == *vm) {
            member.time = time;
        }
    }

    fn apply_record(&mut self, record: &Record, entry: &Entry) {
        let (offset, time) = (entry.offset, entry.time);
        match record {
            Record::Config(change) => {
                let verdict = self.change(change, offset);
                self.decide(&entry.id, verdict);
            }
            Record::Join(join) => self.join(join, time),
            Record::Leave(vm) | Record::Gone(vm) => self.leave(vm),
            Record::Renew(vm) => self.renew(vm, time),
            Record::SlotTake(take) => self.slots.take(take, offset, time),
            Record::SlotGive(give) => self.slots.give(give),
            Record::Intent(intent) => {
                let verdict = match self.ledger.admit(intent, offset, time) {
                    Ok(()) => Verdict::Accepted(offset),
                    Err(reason) => Verdict::Void(reason.to_owned()),
                };
                self.decide(&entry.id, verdict);
            }
            Record::Resolve(resolve) => self.ledger.resolve(resolve, time),
            Record::Restarted(restarted) => self.ledger.restarted(restarted),
            Record::Suspicion(suspicion) => self.suspects.add(suspicion, time),
            Record::Cleared(request) => self.suspects.clear(*request),
            Record::Claim(_) | Record::Done(_) | Record::Release(_) | Record::Snapshot(_) => {}
        }
    }
}

impl Fold for ControlState {
    fn apply(&mut self, entry: &Entry) {
        self.time = self.time.max(entry.time);
        self.suspects.expire(self.time);
        for record in &entry.records {
            self.apply_record(record, entry);
        }
        let oldest = self.time.saturating_sub(MEMBER_EXPIRY_MS);
        self.members.retain(|_, member| member.time >= oldest);
    }

    fn restore(&mut self) {
        self.ledger.restore();
        if let Ok(config) = check(&self.wire, self.version) {
            self.derive(config);
        }
    }
}
