//! What a message holds.

use std::collections::BTreeMap;
use std::time::Duration;

use carob_platform::KeyedRecord;
use carobglade::{
    AdapterName, Fingerprint, Incarnation, Load, NewsReach, PlacementNews, Reading, ReporterState,
    TenantUsage, UsageReport, VmName, short_name,
};
use serde::{Deserialize, Serialize};

use super::{MIN_SEND_INTERVAL, NEWS_REPEAT_TIME, SEND_INTERVAL};
use crate::edge::Edge;
use crate::view::{SharedChanges, Topic};

/// The format of messages.
pub const VERSION: u8 = 3;

const MAX_CHANGES_BYTES: usize = 12 << 10; // bytes of changes of the list in one message

/// Load of an upstream: short name, requests, prompt tokens that wait, tokens.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct WireLoad(u32, u32, u64, u64);

/// What this vm tells of its tokens.
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

/// What a vm tells of its own tokens; the rest stands in the message.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct OwnUsage {
    reporter: ReporterState,
    usage: Vec<TenantUsage>,
}

fn is_drained(edge: &Edge) -> bool {
    edge.stopping.get() && edge.active_requests.get() == 0
}

/// What the sender read of a topic of the log, and how many milliseconds ago that was confirmed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct WireReading {
    /// The topic.
    pub topic: Topic,
    seen: u64,
    changed: u64,
    age: u64,
}

/// For whom the sender speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SenderRole {
    /// For itself, to all.
    Peer,
    /// For itself, to its hub.
    Member,
    /// For its data centre, to other hubs.
    Hub,
    /// For its data centre, tokens only, to other hubs.
    HubTokens,
    /// For all but the receiver, to a member.
    Digest,
    /// For all, tokens only, to a member.
    DigestTokens,
    /// For itself, what it read of the log, to a vm of a small fleet that asked.
    Readings,
}

impl SenderRole {
    /// Its name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            SenderRole::Peer => "peer",
            SenderRole::Member => "member",
            SenderRole::Hub => "hub",
            SenderRole::HubTokens => "hub_tokens",
            SenderRole::Digest => "digest",
            SenderRole::DigestTokens => "digest_tokens",
            SenderRole::Readings => "readings",
        }
    }
}

/// What a vm tells another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Message {
    /// The format.
    pub version: u8,
    /// For whom the sender speaks.
    pub sender: SenderRole,
    /// The sender.
    pub vm: VmName,
    /// Its run.
    pub incarnation: Incarnation,
    /// The vm that is to answer a message to all, by its short name.
    pub responder: Option<u32>,
    /// When it was sent, on the clock of the vm that is to be answered or that asked.
    pub request_time: Option<Duration>,
    loads: Vec<WireLoad>,
    /// The sender's own tokens, where it tells them.
    own_usage: Option<OwnUsage>,
    /// Tokens of other vms.
    relayed_usage: Vec<UsageReport>,
    /// Demand by short names of models.
    pub demand: Vec<(u32, u32)>,
    /// Adapters that requests wait for.
    pub wanted: Vec<AdapterName>,
    /// Changes to what engines hold.
    pub news: Vec<PlacementNews>,
    /// Adapters that were used lately.
    pub used: Vec<u32>,
    /// Requests that were in flight in crashes.
    pub suspects: Vec<(Fingerprint, String)>,
    /// What the sender read of the log.
    pub readings: Vec<WireReading>,
    /// The latest changes of the list of upstreams: offset, key, value.
    changes: Vec<(u64, String, Vec<u8>)>,
    /// The offset from which on these are all changes; in a report, up to which the sender knows
    /// the list.
    pub since: u64,
    /// Whether the vm stops.
    pub leaving: bool,
}

impl Message {
    /// What this vm tells as `sender`.
    pub fn new(edge: &Edge, sender: SenderRole) -> Self {
        let now = edge.now();
        let mut message = Message::empty(edge, sender);
        match sender {
            SenderRole::Peer | SenderRole::Member => {
                message.set_loads(edge.loads.borrow().tell());
                message.demand = edge.demand.borrow_mut().tell(now).into_iter().collect();
            }
            SenderRole::Hub => {
                let members = edge.hubs.borrow().members(now);
                let counts = |vm: &VmName| members.contains(vm);
                message.set_loads(edge.loads.borrow().sum(counts, now));
                message.demand = edge.demand.borrow_mut().sum(counts, now).into_iter().collect();
            }
            _ => return message,
        }
        message.request_time = Some(now);
        let list = edge.view.borrow().readings.get(&Topic::Upstreams).copied();
        message.since = list.map_or(u64::MAX, |reading| reading.seen);
        let reach = if sender == SenderRole::Hub { NewsReach::Hubs } else { NewsReach::Own };
        message.add_placement(edge, reach, now);
        message
    }

    /// What a hub tells `member` in answer to a report that was sent at `asked`, by a vm that
    /// knows the list of upstreams up to `from`.
    pub fn digest(edge: &Edge, member: &VmName, request_time: Option<Duration>, from: u64) -> Self {
        let now = edge.now();
        let mut message = Message::empty(edge, SenderRole::Digest);
        let totals = edge.totals(now);
        message.set_loads(edge.loads.borrow().without(&totals.loads, member));
        message.demand = edge.demand.borrow().without(&totals.demand, member).into_iter().collect();
        message.add_placement(edge, NewsReach::Members, now);
        message.add_changes(edge, from);
        message.with_readings(edge, request_time)
    }

    /// What this vm read of the log, for one that asked at `asked` and knows the list of upstreams
    /// up to `from`.
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
            topic: *topic,
            seen: reading.seen,
            changed: reading.changed,
            // Rounded up: a reading is never told to be fresher than it is.
            age: now.saturating_sub(reading.confirmed).as_millis() as u64 + 1,
        });
        message.readings = readings.collect();
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
            wanted: Vec::new(),
            news: Vec::new(),
            used: Vec::new(),
            suspects: Vec::new(),
            readings: Vec::new(),
            changes: Vec::new(),
            since: u64::MAX,
            leaving: is_drained(edge),
        }
    }

    /// Whether all that the sender read of the log may be rested on.
    pub fn is_fresh(&self, now: Duration) -> bool {
        let request_time = self.request_time.unwrap_or_default();
        !self.readings.is_empty()
            && self.readings.iter().all(|w| w.reading(request_time).is_fresh(now))
    }

    /// The same, to be answered by one of those that it goes to.
    pub fn with_responder(self, responder: &VmName) -> Self {
        Message { responder: Some(short_name(responder.as_str())), ..self }
    }

    /// The same, not to be answered.
    pub fn without_request(self) -> Self {
        Message { request_time: None, ..self }
    }

    /// The same with the tokens of other vms.
    pub fn with_relayed_usage(self, reports: Vec<UsageReport>) -> Self {
        Message { relayed_usage: reports, ..self }
    }

    /// The same with the sender's own tokens.
    pub fn with_own_usage(self, report: Option<UsageReport>) -> Self {
        let own_usage =
            report.map(|report| OwnUsage { reporter: report.reporter, usage: report.usage });
        Message { own_usage, ..self }
    }

    /// Takes the tokens that vms told, the sender's among them.
    pub fn take_reports(&mut self) -> Vec<UsageReport> {
        let mut all = std::mem::take(&mut self.relayed_usage);
        all.extend(self.own_usage.take().map(|own| UsageReport {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            reporter: own.reporter,
            leaving: self.leaving,
            usage: own.usage,
        }));
        all
    }

    fn set_loads(&mut self, loads: BTreeMap<u32, Load>) {
        let loads = loads.into_iter();
        self.loads = loads.map(|(n, l)| WireLoad(n, l.running, l.backlog, l.memory)).collect();
    }

    fn add_placement(&mut self, edge: &Edge, reach: NewsReach, now: Duration) {
        let mut board = edge.board.borrow_mut();
        self.wanted = board.wanted_by(reach, now);
        self.news = board.recent(reach, now, NEWS_REPEAT_TIME);
        self.used = board.lately(reach, now, SEND_INTERVAL + MIN_SEND_INTERVAL);
        self.suspects = edge.suspects.borrow().recent(edge.clock.unix_millis());
    }

    /// The latest changes of the list of upstreams.
    pub fn changes(&self) -> SharedChanges {
        let records = self.changes.iter().map(|(offset, key, value)| KeyedRecord {
            key: key.clone(),
            value: value.clone(),
            offset: *offset,
        });
        SharedChanges { since: self.since, records: records.collect() }
    }

    /// Loads by short names of upstreams.
    pub fn loads(&self) -> BTreeMap<u32, Load> {
        let loads = self.loads.iter().map(|WireLoad(name, running, backlog, memory)| {
            (*name, Load { running: *running, backlog: *backlog, memory: *memory })
        });
        loads.collect()
    }
}

impl WireReading {
    /// The reading on the clock of the vm that asked at `asked`.
    pub fn reading(&self, request_time: Duration) -> Reading {
        Reading::vouched(self.seen, self.changed, request_time, Duration::from_millis(self.age))
    }
}
