//! What a message holds.

use std::collections::BTreeMap;
use std::time::Duration;

use carob_platform::KeyedRecord;
use carobglade::{
    AdapterName, Fingerprint, Incarnation, Load, NewsReach, PlacementNews, Reading, Teller,
    TokensTold, Usage, VmName, short_name,
};
use serde::{Deserialize, Serialize};

use super::{INTERVAL, NEWS_TIME, URGENT};
use crate::edge::Edge;
use crate::view::{SharedChanges, Topic};

/// The format of messages.
pub const VERSION: u8 = 3;

const CHANGES_MAX: usize = 12 << 10; // bytes of changes of the list in one message

/// Load of an upstream: short name, requests, prompt tokens that wait, tokens.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct LoadWire(u32, u32, u64, u64);

/// What this vm tells of its tokens.
pub fn tokens(edge: &Edge) -> TokensTold {
    edge.update_fleet_size();
    let mut meter = edge.meter.borrow_mut();
    meter.advance(edge.now());
    let usage = meter.tell();
    TokensTold {
        vm: edge.vm.clone(),
        incarnation: edge.incarnation,
        teller: if edge.stopping.get() { Teller::Leaving } else { meter.teller() },
        leaving: leaving(edge),
        usage,
    }
}

/// What a vm tells of its own tokens; the rest stands in the message.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct OwnTokens {
    teller: Teller,
    usage: Vec<Usage>,
}

fn leaving(edge: &Edge) -> bool {
    edge.stopping.get() && edge.active_requests.get() == 0
}

/// What the sender read of a topic of the log, and how many milliseconds ago that was confirmed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ReadingWire {
    /// The topic.
    pub topic: Topic,
    seen: u64,
    changed: u64,
    age: u64,
}

/// For whom the sender speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Sender {
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

impl Sender {
    /// Its name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Sender::Peer => "peer",
            Sender::Member => "member",
            Sender::Hub => "hub",
            Sender::HubTokens => "hub_tokens",
            Sender::Digest => "digest",
            Sender::DigestTokens => "digest_tokens",
            Sender::Readings => "readings",
        }
    }
}

/// What a vm tells another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Message {
    /// The format.
    pub version: u8,
    /// For whom the sender speaks.
    pub sender: Sender,
    /// The sender.
    pub vm: VmName,
    /// Its run.
    pub incarnation: Incarnation,
    /// The vm that is to answer a message to all, by its short name.
    pub reader: Option<u32>,
    /// When it was sent, on the clock of the vm that is to be answered or that asked.
    pub asked: Option<Duration>,
    loads: Vec<LoadWire>,
    /// The sender's own tokens, where it tells them.
    own: Option<OwnTokens>,
    /// Tokens of other vms.
    tokens: Vec<TokensTold>,
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
    pub readings: Vec<ReadingWire>,
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
    pub fn of(edge: &Edge, sender: Sender) -> Self {
        let now = edge.now();
        let mut message = Message::empty(edge, sender);
        match sender {
            Sender::Peer | Sender::Member => {
                message.set_loads(edge.loads.borrow().tell());
                message.demand = edge.demand.borrow_mut().tell(now).into_iter().collect();
            }
            Sender::Hub => {
                let members = edge.hubs.borrow().members(now);
                let counts = |vm: &VmName| members.contains(vm);
                message.set_loads(edge.loads.borrow().sum(counts, now));
                message.demand = edge.demand.borrow_mut().sum(counts, now).into_iter().collect();
            }
            _ => return message,
        }
        message.asked = Some(now);
        let list = edge.view.borrow().readings.get(&Topic::Upstreams).copied();
        message.since = list.map_or(u64::MAX, |reading| reading.seen);
        let reach = if sender == Sender::Hub { NewsReach::Hubs } else { NewsReach::Own };
        message.add_placement(edge, reach, now);
        message
    }

    /// What a hub tells `member` in answer to a report that was sent at `asked`, by a vm that
    /// knows the list of upstreams up to `from`.
    pub fn digest(edge: &Edge, member: &VmName, asked: Option<Duration>, from: u64) -> Self {
        let now = edge.now();
        let mut message = Message::empty(edge, Sender::Digest);
        let totals = edge.totals(now);
        message.set_loads(edge.loads.borrow().without(&totals.loads, member));
        message.demand = edge.demand.borrow().without(&totals.demand, member).into_iter().collect();
        message.add_placement(edge, NewsReach::Members, now);
        message.add_changes(edge, from);
        message.with_readings(edge, asked)
    }

    /// What this vm read of the log, for one that asked at `asked` and knows the list of upstreams
    /// up to `from`.
    pub fn readings(edge: &Edge, asked: Option<Duration>, from: u64) -> Self {
        let mut message = Message::empty(edge, Sender::Readings);
        message.add_changes(edge, from);
        message.with_readings(edge, asked)
    }

    fn add_changes(&mut self, edge: &Edge, from: u64) {
        let view = edge.view.borrow();
        let size = |record: &KeyedRecord| record.key.len() + record.value.len();
        let (since, changes) = view.changes.latest(size, CHANGES_MAX);
        self.since = since;
        let changes = changes.into_iter().filter(|(offset, _)| *offset >= from);
        self.changes =
            changes.map(|(offset, r)| (offset, r.key.clone(), r.value.clone())).collect();
    }

    fn with_readings(self, edge: &Edge, asked: Option<Duration>) -> Self {
        let now = edge.now();
        let mut message = Message { asked, ..self };
        let view = edge.view.borrow();
        let readings = view.readings.iter().map(|(topic, reading)| ReadingWire {
            topic: *topic,
            seen: reading.seen,
            changed: reading.changed,
            // Rounded up: a reading is never told to be fresher than it is.
            age: now.saturating_sub(reading.confirmed).as_millis() as u64 + 1,
        });
        message.readings = readings.collect();
        message
    }

    fn empty(edge: &Edge, sender: Sender) -> Self {
        Message {
            version: VERSION,
            sender,
            vm: edge.vm.clone(),
            incarnation: edge.incarnation,
            reader: None,
            asked: None,
            loads: Vec::new(),
            own: None,
            tokens: Vec::new(),
            demand: Vec::new(),
            wanted: Vec::new(),
            news: Vec::new(),
            used: Vec::new(),
            suspects: Vec::new(),
            readings: Vec::new(),
            changes: Vec::new(),
            since: u64::MAX,
            leaving: leaving(edge),
        }
    }

    /// Whether all that the sender read of the log may be rested on.
    pub fn is_fresh(&self, now: Duration) -> bool {
        let asked = self.asked.unwrap_or_default();
        !self.readings.is_empty() && self.readings.iter().all(|w| w.reading(asked).is_fresh(now))
    }

    /// The same, to be answered by one of those that it goes to.
    pub fn with_reader(self, reader: &VmName) -> Self {
        Message { reader: Some(short_name(reader.as_str())), ..self }
    }

    /// The same, not to be answered.
    pub fn without_question(self) -> Self {
        Message { asked: None, ..self }
    }

    /// The same with the tokens of other vms.
    pub fn with_tokens(self, tokens: Vec<TokensTold>) -> Self {
        Message { tokens, ..self }
    }

    /// The same with the sender's own tokens.
    pub fn with_own(self, told: Option<TokensTold>) -> Self {
        let own = told.map(|told| OwnTokens { teller: told.teller, usage: told.usage });
        Message { own, ..self }
    }

    /// Takes the tokens that vms told, the sender's among them.
    pub fn take_tokens(&mut self) -> Vec<TokensTold> {
        let mut all = std::mem::take(&mut self.tokens);
        all.extend(self.own.take().map(|own| TokensTold {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            teller: own.teller,
            leaving: self.leaving,
            usage: own.usage,
        }));
        all
    }

    fn set_loads(&mut self, loads: BTreeMap<u32, Load>) {
        let loads = loads.into_iter();
        self.loads = loads.map(|(n, l)| LoadWire(n, l.running, l.backlog, l.memory)).collect();
    }

    fn add_placement(&mut self, edge: &Edge, reach: NewsReach, now: Duration) {
        let mut board = edge.board.borrow_mut();
        self.wanted = board.wanted_by(reach, now);
        self.news = board.recent(reach, now, NEWS_TIME);
        self.used = board.lately(reach, now, INTERVAL + URGENT);
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
        let loads = self.loads.iter().map(|LoadWire(name, running, backlog, memory)| {
            (*name, Load { running: *running, backlog: *backlog, memory: *memory })
        });
        loads.collect()
    }
}

impl ReadingWire {
    /// The reading on the clock of the vm that asked at `asked`.
    pub fn reading(&self, asked: Duration) -> Reading {
        Reading::vouched(self.seen, self.changed, asked, Duration::from_millis(self.age))
    }
}
