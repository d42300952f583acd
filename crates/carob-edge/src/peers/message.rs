//! The content and the binary encoding of messages between vms.

use std::collections::BTreeMap;
use std::time::Duration;

use carob_platform::KeyedRecord;
use carobglade::{
    AdapterId, DutyClaim, Fingerprint, GossipScope, Incarnation, LeavingNotice, LimitNotice, Load,
    LogEra, LogReading, PlacementUpdate, QuarantineReport, ReporterState, RoomNotice, TenantUsage,
    UsageReport, VmName, name_hash,
};
use serde::{Deserialize, Serialize};

use super::sender_role::SenderRole;
use super::wire_number::{WireReporter, WireTopic};
use super::wire_work::WireWork;
use super::{MIN_SEND_INTERVAL, UPDATE_REPEAT_TIME};
use crate::duty_claims;
use crate::edge::Edge;
use crate::leaving;
use crate::send_interval::SEND_INTERVAL;
use crate::view::{SharedChanges, Topic};

/// Version of the encoding, the first byte of a message; those with another one are of an unknown kind.
pub const VERSION: u8 = 3;

/// Maximum size of the changes of the upstream list in one message.
const MAX_CHANGES_BYTES: usize = 12 << 10;

/// Load of an upstream: name hash, running requests, prompt tokens in the backlog, and tokens in
/// memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireLoad(pub u32, pub u32, pub u64, pub u64);

/// Fields that were added to the encoding later. Versions without them ignore the bytes that follow
/// a message, and send none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Extension {
    /// Progress of the streams of each upstream.
    pub streams: Vec<WireProgress>,
}

/// Progress of the streams of an upstream: name hash, output tokens a second, and the average
/// number of streams in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireProgress(pub u32, pub u64, pub u64);

/// Builds the usage report of this vm.
pub fn own_usage_report(edge: &Edge) -> UsageReport {
    edge.update_fleet_size();
    let mut rate_limiter = edge.rate_limiter.borrow_mut();
    rate_limiter.advance(edge.now());
    let usage = rate_limiter.take_usage();
    UsageReport {
        vm: edge.vm.clone(),
        incarnation: edge.incarnation,
        reporter: if edge.stopping.get() {
            ReporterState::Leaving
        } else {
            rate_limiter.reporter_state()
        },
        leaving: is_drained(edge),
        usage,
    }
}

/// The usage report of the sender, without the fields that the message holds already.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnUsage {
    /// What the sender knows of the tokens that others admitted.
    pub reporter: WireReporter,
    /// Token usage of each tenant.
    pub usage: Vec<TenantUsage>,
}

/// The usage report of another vm than the sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireUsageReport {
    /// Name of the reporting vm.
    pub vm: VmName,
    /// Incarnation of the vm's process.
    pub incarnation: Incarnation,
    /// What the vm knows of the tokens that others admitted.
    pub reporter: WireReporter,
    /// Whether the vm is stopping and has no requests left.
    pub leaving: bool,
    /// Token usage of each tenant.
    pub usage: Vec<TenantUsage>,
}

impl From<UsageReport> for WireUsageReport {
    fn from(report: UsageReport) -> Self {
        let UsageReport { vm, incarnation, reporter, leaving, usage } = report;
        WireUsageReport { vm, incarnation, reporter: reporter.into(), leaving, usage }
    }
}

impl From<WireUsageReport> for UsageReport {
    fn from(wire: WireUsageReport) -> Self {
        let WireUsageReport { vm, incarnation, reporter, leaving, usage } = wire;
        UsageReport { vm, incarnation, reporter: reporter.into(), leaving, usage }
    }
}

fn is_drained(edge: &Edge) -> bool {
    edge.stopping.get() && edge.active_requests.get() == 0
}

/// How far the sender read a topic of the log, and the age of that read in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireReading {
    /// The topic that was read.
    pub topic: WireTopic,
    /// The offset up to which the sender read.
    pub read_to: u64,
    /// The offset of the last change.
    pub changed_to: u64,
    /// The age of the read.
    pub age_ms: u64,
}

/// A message from one vm to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The version of the encoding.
    pub version: u8,
    /// The role of the sender.
    pub sender: SenderRole,
    /// The name of the sender.
    pub vm: VmName,
    /// The run of the sender's process.
    pub incarnation: Incarnation,
    /// Name hash of the vm that responds to a message to all vms.
    pub responder: Option<u32>,
    /// In a request, the time when it was sent, on the sender's clock; in a response, that of the
    /// request. `None` when no response is wanted.
    pub request_time: Option<Duration>,
    /// Loads of upstreams.
    pub loads: Vec<WireLoad>,
    /// The sender's own usage, if reported.
    pub own_usage: Option<OwnUsage>,
    /// Usage reports of other vms.
    pub relayed_usage: Vec<WireUsageReport>,
    /// Demand in tokens per second, by name hash of the model.
    pub demand: Vec<(u32, u32)>,
    /// Adapters that requests wait for.
    pub adapter_requests: Vec<AdapterId>,
    /// Changes to the models and adapters of engines.
    pub updates: Vec<PlacementUpdate>,
    /// Recently used adapters, as hashes of upstream, model and adapter.
    pub used: Vec<u32>,
    /// Requests that were in flight when an upstream crashed, with an identifier of the crash.
    pub suspects: Vec<(Fingerprint, String)>,
    /// How far the sender read each topic of the log.
    pub readings: Vec<WireReading>,
    /// The latest changes of the upstream list: offset, key and value.
    pub changes: Vec<(u64, String, Vec<u8>)>,
    /// In a response, the offset from which `changes` is complete; in a request, the offset up to
    /// which the sender knows the upstream list.
    pub since: u64,
    /// Whether the sender is shutting down and has no requests left.
    pub leaving: bool,
    /// Encoded after the message.
    #[serde(skip)]
    pub extension: Extension,
    /// Parts of prompts that crash upstreams; encoded after the extension, and the weak evidence
    /// after the upstreams that are leaving.
    #[serde(skip)]
    pub quarantine: QuarantineReport,
    /// Limits that upstreams name; encoded after the quarantine.
    #[serde(skip)]
    pub limits: Vec<LimitNotice>,
    /// Upstreams that are brittle; encoded after the limits.
    #[serde(skip)]
    pub rooms: Vec<RoomNotice>,
    /// The sender's duties; encoded after the brittle upstreams.
    #[serde(skip)]
    pub duties: Option<DutyClaim>,
    /// The eras of the log in which `readings` were made, in the same order; encoded after the
    /// duties. A sender that does not tell them knows no eras.
    #[serde(skip)]
    pub reading_eras: Vec<LogEra>,
    /// Upstreams that said that they are leaving; encoded after the eras.
    #[serde(skip)]
    pub leaving_upstreams: Vec<LeavingNotice>,
    /// Costs of models and slowness of upstreams, in some messages; encoded after the weak evidence.
    #[serde(skip)]
    pub work: Option<WireWork>,
}

/// A message with what was lost of it.
#[derive(Clone, Debug)]
pub struct Decoded {
    /// The message; parts that could not be decoded have their defaults.
    pub message: Message,
    /// The error of the first part that could not be decoded; those after it are lost too.
    pub lost: Option<postcard::Error>,
}

/// Decodes a part that was added to the encoding later, which older versions do not send, and
/// returns the bytes after it.
fn take_added<'a, T: Deserialize<'a>>(bytes: &'a [u8], part: &mut T) -> postcard::Result<&'a [u8]> {
    if bytes.is_empty() {
        return Ok(bytes);
    }
    let (decoded, rest) = postcard::take_from_bytes(bytes)?;
    *part = decoded;
    Ok(rest)
}

impl Message {
    /// Encodes the message and what follows it.
    ///
    /// # Errors
    ///
    /// Returns an error when a part cannot be encoded.
    pub fn encode(&self) -> postcard::Result<Vec<u8>> {
        let mut bytes = postcard::to_allocvec(self)?;
        let added = (&self.extension, &self.quarantine, &self.limits, &self.rooms, &self.duties);
        bytes.extend(postcard::to_allocvec(&added)?);
        bytes.extend(postcard::to_allocvec(&(&self.reading_eras, &self.leaving_upstreams))?);
        bytes.extend(postcard::to_allocvec(&(&self.quarantine.weak, &self.work))?);
        Ok(bytes)
    }

    /// Decodes a message, with what follows it if there is anything. Bytes after the parts that this
    /// version knows are ignored.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes do not begin with a message.
    pub fn decode(bytes: &[u8]) -> postcard::Result<Decoded> {
        let (mut message, rest): (Message, &[u8]) = postcard::take_from_bytes(bytes)?;
        let lost = message.decode_added(rest).err();
        Ok(Decoded { message, lost })
    }

    fn decode_added(&mut self, bytes: &[u8]) -> postcard::Result<()> {
        let rest = take_added(bytes, &mut self.extension)?;
        let rest = take_added(rest, &mut self.quarantine)?;
        let rest = take_added(rest, &mut self.limits)?;
        let rest = take_added(rest, &mut self.rooms)?;
        let rest = take_added(rest, &mut self.duties)?;
        let rest = take_added(rest, &mut self.reading_eras)?;
        let rest = take_added(rest, &mut self.leaving_upstreams)?;
        let rest = take_added(rest, &mut self.quarantine.weak)?;
        take_added(rest, &mut self.work)?;
        Ok(())
    }

    /// Builds the message that this vm sends in the role `sender`.
    pub fn new(edge: &Edge, sender: SenderRole) -> Self {
        let now = edge.now();
        let mut message = Message::empty(edge, sender);
        match sender {
            SenderRole::Peer | SenderRole::Member => {
                message.set_loads(edge.loads.borrow().local_loads(now));
                message.demand = edge.demand.borrow_mut().local_rates(now).into_iter().collect();
            }
            SenderRole::Hub => {
                let members = edge.hubs.borrow().members(now);
                let is_member = |vm: &VmName| members.contains(vm);
                message.set_loads(edge.loads.borrow().sum_over(is_member, now));
                message.demand =
                    edge.demand.borrow_mut().sum_over(is_member, now).into_iter().collect();
            }
            _ => return message,
        }
        message.request_time = Some(now);
        message.duties = Some(duty_claims::own_claim(edge));
        let upstreams_read = edge.view.borrow().readings.get(&Topic::Upstreams).copied();
        message.since = upstreams_read.map_or(u64::MAX, |reading| reading.read_to);
        let scope = if sender == SenderRole::Hub { GossipScope::Hubs } else { GossipScope::Local };
        message.add_placement(edge, scope, now);
        message
    }

    /// Builds a hub's digest for `member`, which sent its report at `request_time` and knows the
    /// upstream list up to the offset `from`.
    pub fn digest(edge: &Edge, member: &VmName, request_time: Option<Duration>, from: u64) -> Self {
        let now = edge.now();
        let mut message = Message::empty(edge, SenderRole::Digest);
        let totals = edge.totals(now);
        message.set_loads(edge.loads.borrow().excluding_vm(&totals.loads, member));
        message.demand =
            edge.demand.borrow().excluding_vm(&totals.demand, member).into_iter().collect();
        message.add_placement(edge, GossipScope::Members, now);
        message.add_changes(edge, from);
        message.with_readings(edge, request_time)
    }

    /// Builds a message with the reads of this vm, for a vm that requested them at `request_time`
    /// and knows the upstream list up to the offset `from`.
    pub fn readings(edge: &Edge, request_time: Option<Duration>, from: u64) -> Self {
        let mut message = Message::empty(edge, SenderRole::Readings);
        message.add_changes(edge, from);
        message.with_readings(edge, request_time)
    }

    fn add_changes(&mut self, edge: &Edge, from: u64) {
        let view = edge.view.borrow();
        let size = |record: &KeyedRecord| record.key.len() + record.value.len();
        let (since, changes) = view.changes.latest(size, MAX_CHANGES_BYTES);
        self.since = since;
        let changes = changes.into_iter().filter(|(offset, _)| *offset >= from);
        self.changes =
            changes.map(|(offset, r)| (offset, r.key.clone(), r.value.clone())).collect();
    }

    fn with_readings(self, edge: &Edge, request_time: Option<Duration>) -> Self {
        let now = edge.now();
        let mut message = Message { request_time, ..self };
        let view = edge.view.borrow();
        let readings = view.readings.iter().map(|(topic, reading)| WireReading {
            topic: (*topic).into(),
            read_to: reading.read_to,
            changed_to: reading.changed_to,
            // Rounded up, so that a read never appears newer than it is.
            age_ms: now.saturating_sub(reading.confirmed_at).as_millis() as u64 + 1,
        });
        message.readings = readings.collect();
        message.reading_eras = view.readings.values().map(|reading| reading.era).collect();
        message
    }

    fn empty(edge: &Edge, sender: SenderRole) -> Self {
        Message {
            version: VERSION,
            sender,
            vm: edge.vm.clone(),
            incarnation: edge.incarnation,
            responder: None,
            request_time: None,
            loads: Vec::new(),
            own_usage: None,
            relayed_usage: Vec::new(),
            demand: Vec::new(),
            adapter_requests: Vec::new(),
            updates: Vec::new(),
            used: Vec::new(),
            suspects: Vec::new(),
            readings: Vec::new(),
            changes: Vec::new(),
            since: u64::MAX,
            leaving: is_drained(edge),
            extension: Extension::default(),
            quarantine: QuarantineReport::default(),
            limits: Vec::new(),
            rooms: Vec::new(),
            duties: None,
            reading_eras: Vec::new(),
            leaving_upstreams: Vec::new(),
            work: None,
        }
    }

    /// Returns the reads of the topics that this version knows, with the era of each.
    pub fn known_readings(&self) -> impl Iterator<Item = (Topic, LogEra, &WireReading)> {
        let eras = self.reading_eras.iter().copied().chain(std::iter::repeat(LogEra::default()));
        let readings = self.readings.iter().zip(eras);
        readings.filter_map(|(wire, era)| Some((Topic::try_from(wire.topic).ok()?, era, wire)))
    }

    /// Reports whether the message holds reads and all of them are recent enough to be used.
    pub fn is_fresh(&self, now: Duration) -> bool {
        let request_time = self.request_time.unwrap_or_default();
        let mut readings = self.known_readings().peekable();
        readings.peek().is_some()
            && readings.all(|(_, era, wire)| wire.reading(era, request_time).is_fresh(now))
    }

    /// Names the receiver that responds to the message.
    pub fn with_responder(self, responder: &VmName) -> Self {
        Message { responder: Some(name_hash(responder.as_str())), ..self }
    }

    /// Marks the message as one that is not responded to.
    pub fn without_request(self) -> Self {
        Message { request_time: None, ..self }
    }

    /// Adds usage reports of other vms.
    pub fn with_relayed_usage(self, reports: Vec<UsageReport>) -> Self {
        let relayed_usage = reports.into_iter().map(WireUsageReport::from).collect();
        Message { relayed_usage, ..self }
    }

    /// Adds the sender's own usage.
    pub fn with_own_usage(self, report: Option<UsageReport>) -> Self {
        let own_usage =
            report.map(|report| OwnUsage { reporter: report.reporter.into(), usage: report.usage });
        Message { own_usage, ..self }
    }

    /// Adds costs of models and slowness of upstreams.
    pub fn with_work(self, work: Option<WireWork>) -> Self {
        Message { work, ..self }
    }

    /// Takes all usage reports out of the message, including the sender's.
    pub fn take_reports(&mut self) -> Vec<UsageReport> {
        let relayed = std::mem::take(&mut self.relayed_usage);
        let mut all: Vec<UsageReport> = relayed.into_iter().map(UsageReport::from).collect();
        all.extend(self.own_usage.take().map(|own| UsageReport {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            reporter: own.reporter.into(),
            leaving: self.leaving,
            usage: own.usage,
        }));
        all
    }

    fn set_loads(&mut self, loads: BTreeMap<u32, Load>) {
        let streams = loads.iter().filter(|(_, load)| load.stream_millis > 0);
        let streams =
            streams.map(|(n, load)| WireProgress(*n, load.token_rate, load.stream_millis));
        self.extension.streams = streams.collect();
        let wire = |(n, l): (u32, Load)| WireLoad(n, l.running, l.prompt_backlog, l.tokens);
        self.loads = loads.into_iter().map(wire).collect();
    }

    fn add_placement(&mut self, edge: &Edge, scope: GossipScope, now: Duration) {
        let mut placement = edge.placement.borrow_mut();
        self.adapter_requests = placement.requests_in_scope(scope, now);
        self.updates = placement.recent_updates(scope, now, UPDATE_REPEAT_TIME);
        self.used = placement.recent_uses(scope, now, SEND_INTERVAL + MIN_SEND_INTERVAL);
        self.suspects = edge.suspects.borrow().recent_crashes(edge.clock.unix_millis());
        self.quarantine = edge.quarantine.borrow().report(now);
        self.limits = edge.limits.borrow().notices(now);
        self.rooms = edge.rooms.borrow().notices(now);
        self.leaving_upstreams = leaving::notices(edge);
    }

    /// Returns the latest changes of the upstream list.
    pub fn changes(&self) -> SharedChanges {
        let records = self.changes.iter().map(|(offset, key, value)| KeyedRecord {
            key: key.clone(),
            value: value.clone(),
            offset: *offset,
        });
        SharedChanges { since: self.since, records: records.collect() }
    }

    /// Returns the loads by name hash of the upstream.
    pub fn loads(&self) -> BTreeMap<u32, Load> {
        let mut loads: BTreeMap<u32, Load> = BTreeMap::new();
        for WireLoad(name, running, prompt_backlog, tokens) in &self.loads {
            let (running, prompt_backlog, tokens) = (*running, *prompt_backlog, *tokens);
            loads.insert(*name, Load { running, prompt_backlog, tokens, ..Load::default() });
        }
        for WireProgress(name, token_rate, stream_millis) in &self.extension.streams {
            let load = loads.entry(*name).or_default();
            (load.token_rate, load.stream_millis) = (*token_rate, *stream_millis);
        }
        loads
    }
}

impl WireReading {
    /// Converts the read, made in `era`, to the clock of the vm that requested it at `request_time`.
    pub fn reading(&self, era: LogEra, request_time: Duration) -> LogReading {
        let age = Duration::from_millis(self.age_ms);
        let reading = LogReading::from_peer(self.read_to, self.changed_to, request_time, age);
        LogReading { era, ..reading }
    }
}
