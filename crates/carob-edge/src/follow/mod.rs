//! Follows the platform's log: the configuration, the upstreams and the other vms.

mod sinks;

use std::rc::Rc;
use std::time::Duration;

use carob_platform::{
    KeyedRecord, LogCall, OPERATOR_TOPIC, UPSTREAM_TOPIC, VM_TOPIC, decode_newest, decode_records,
    keyed_record,
};
use carobglade::{Backoff, Reading};
use rand::Rng;

use self::sinks::{ConfigSink, UpstreamSink, VmEntry, VmSink};
use crate::edge::Edge;
use crate::store::StoreError;
use crate::view::Topic;

/// How a topic is followed.
#[derive(Clone, Copy)]
struct Tail {
    topic: &'static str,
    /// Whether a hub vouches for its reading.
    vouched: Option<Topic>,
    /// How long the log may hold a read back until a record comes.
    wait: Duration,
    /// Pause between two reads.
    pause: Duration,
    /// Time for an answer, beside the wait that was asked for.
    answer: Duration,
    /// Longest pause after calls that failed.
    rest: Duration,
}

const CONFIG: Tail = Tail {
    topic: OPERATOR_TOPIC,
    vouched: Some(Topic::Configuration),
    wait: Duration::from_millis(1300),
    pause: Duration::from_millis(10),
    answer: ANSWER_TIME,
    rest: Duration::from_millis(600),
};
const UPSTREAMS: Tail = Tail {
    topic: UPSTREAM_TOPIC,
    vouched: Some(Topic::Upstreams),
    wait: Duration::from_millis(600),
    pause: Duration::from_millis(800),
    answer: ANSWER_TIME,
    rest: Duration::from_millis(600),
};
const VMS: Tail = Tail {
    topic: VM_TOPIC,
    vouched: None,
    wait: Duration::from_secs(10),
    pause: Duration::from_millis(1500),
    answer: Duration::from_secs(4), // the whole list at once, of a log that may be slow
    rest: Duration::from_millis(2500),
};

const ANSWER_TIME: Duration = Duration::from_millis(1200); // of a log that answers at all
const ANNOUNCE_REST: Duration = Duration::from_secs(2); // longest pause until the next try
const VOUCH_PAUSE: Duration = Duration::from_millis(100); // between two looks at a hub's reading
const HUB_WAIT: Duration = Duration::from_millis(400); // of a hub's read, others rest on its age
const HUB_PAUSE: Duration = Duration::from_millis(200); // between two reads of a hub
const MEMBER_REST: Duration = Duration::from_secs(2); // of a hub's members, after failed calls
const GONE: u16 = 410; // the records that were asked for are no longer kept

/// What a follower does with what it reads.
trait Sink {
    /// The log answered; what it said follows.
    fn answered(&mut self, _edge: &Edge) {}
    /// The newest records of all keys, read whole.
    fn snapshot(&mut self, edge: &Edge, records: &[KeyedRecord]);
    /// A record that was added; returns whether it changed anything.
    fn record(&mut self, edge: &Edge, record: &KeyedRecord) -> bool;
    /// A read that was sent at `sent` brought everything up to then.
    fn confirmed(&mut self, edge: &Edge, sent: Duration);
}

/// Follows the operator's configuration.
pub async fn configuration(edge: Rc<Edge>) {
    follow(edge, CONFIG, ConfigSink).await;
}

/// Follows the list of upstreams.
pub async fn upstreams(edge: Rc<Edge>) {
    follow(edge, UPSTREAMS, UpstreamSink::default()).await;
}

/// Follows the list of vms.
pub async fn vms(edge: Rc<Edge>) {
    follow(edge, VMS, VmSink).await;
}

impl Tail {
    /// Whether this vm reads it for others.
    fn is_read_for_others(&self, edge: &Edge) -> bool {
        self.vouched.is_some() && edge.hubs.borrow_mut().reads(edge.now())
    }

    /// As a hub reads it: its members rest on the age of what it read.
    fn of_hub(self) -> Self {
        Tail { wait: self.wait.min(HUB_WAIT), pause: self.pause.min(HUB_PAUSE), ..self }
    }

    /// Longest pause after calls that failed. The members of a hub hear from it that the log is
    /// back.
    fn longest(&self, edge: &Edge, hub: bool) -> Duration {
        let member = self.vouched.is_some() && !hub && edge.hubs.borrow().in_use();
        if member { MEMBER_REST } else { self.rest }
    }
}

async fn follow(edge: Rc<Edge>, own: Tail, mut sink: impl Sink) {
    let mut next: Option<u64> = None;
    let mut backoff = Backoff::default();
    loop {
        let hub = own.is_read_for_others(&edge);
        let tail = if hub { own.of_hub() } else { own };
        if let Some(vouched) = vouched(&edge, tail, next) {
            next = Some(skip(&edge, tail, vouched, &mut sink));
            tokio::time::sleep(VOUCH_PAUSE).await;
            continue;
        }
        let step = match next {
            None => snapshot(&edge, tail, &mut sink).await,
            Some(from) => read(&edge, tail, from, &mut sink).await,
        };
        match step {
            Ok(offset) => {
                if backoff.answered() {
                    log::info!(target: "follow", topic = tail.topic; "The log answers again.");
                }
                next = Some(offset);
                tokio::time::sleep(tail.pause).await;
            }
            Err(StoreError::Status(GONE)) => {
                log::info!(target: "follow", topic = tail.topic; "Records expired unread; the newest are read.");
                next = None;
            }
            Err(err) => {
                if backoff.failures() == 0 {
                    log::warn!(target: "follow", topic = tail.topic, error:% = err; "The log does not answer.");
                }
                edge.metrics.store_failed(tail.topic);
                edge.hubs.borrow_mut().unread(edge.now());
                let longest = tail.longest(&edge, hub);
                let pause = backoff.failed(longest, rand::rng().random());
                wait(&edge, tail, next, pause).await;
            }
        }
    }
}

/// Waits after a call that failed, or until another vm vouches for what it would have read.
async fn wait(edge: &Edge, tail: Tail, next: Option<u64>, pause: Duration) {
    let until = edge.now() + pause;
    while edge.now() < until {
        if vouched(edge, tail, next).is_some() {
            return;
        }
        tokio::time::sleep(VOUCH_PAUSE.min(until.saturating_sub(edge.now()))).await;
    }
}

/// A reading of another vm, and the records that changed something since the own one.
struct Vouched {
    topic: Topic,
    reading: Reading,
    changes: Vec<KeyedRecord>,
}

/// What another vm read, where this one, which read up to `next`, may rest on it.
fn vouched(edge: &Edge, tail: Tail, next: Option<u64>) -> Option<Vouched> {
    let (topic, from) = tail.vouched.zip(next)?;
    if tail.is_read_for_others(edge) {
        return None;
    }
    let (reading, changes) = edge.view.borrow().rest(topic, from, edge.now())?;
    Some(Vouched { topic, reading, changes })
}

/// Goes on without reading; returns the offset to go on from.
fn skip(edge: &Edge, tail: Tail, vouched: Vouched, sink: &mut impl Sink) -> u64 {
    let Vouched { topic, reading, changes } = vouched;
    sink.answered(edge);
    for record in &changes {
        take(edge, tail, sink, record);
    }
    sink.confirmed(edge, reading.confirmed);
    let readings = &mut edge.view.borrow_mut().readings;
    let own = readings.get(&topic).copied();
    readings.insert(topic, reading.after(own));
    reading.seen
}

/// Takes a record in, and keeps it to be passed on when it changed anything; returns whether.
fn take(edge: &Edge, tail: Tail, sink: &mut impl Sink, record: &KeyedRecord) -> bool {
    let changed = sink.record(edge, record);
    if changed && tail.vouched == Some(Topic::Upstreams) {
        let changes = &mut edge.view.borrow_mut().changes;
        changes.push(record.offset, record.clone(), edge.now());
    }
    changed
}

/// Notes what was read, for those that this vm vouches to; `confirmed` is none where more is left
/// to be read.
fn note(edge: &Edge, tail: Tail, seen: u64, changed: bool, confirmed: Option<Duration>) {
    let Some(topic) = tail.vouched else {
        return;
    };
    let readings = &mut edge.view.borrow_mut().readings;
    let before = readings.get(&topic).copied();
    let before = before.unwrap_or(Reading { seen, changed: seen, confirmed: Duration::ZERO });
    let changed = if changed { seen } else { before.changed };
    let confirmed = confirmed.unwrap_or(before.confirmed);
    readings.insert(topic, Reading { seen, changed, confirmed });
    if changed != before.changed {
        edge.gossip_wakeup.notify_one();
    }
}

async fn snapshot(edge: &Edge, tail: Tail, sink: &mut impl Sink) -> Result<u64, StoreError> {
    let mut records: Vec<KeyedRecord> = Vec::new();
    let mut first = None;
    loop {
        let after = records.last().map(|record| record.key.as_str());
        let response = edge.store.call(LogCall::newest(tail.topic, after), tail.answer).await?;
        edge.metrics.store_called(tail.topic);
        let page = decode_newest(&response.body)?;
        // Pages are no snapshot: what changed since the first page was made is read again.
        let (end, sent) = *first.get_or_insert((page.end, response.sent_at));
        records.extend(page.records);
        if !page.more {
            sink.answered(edge);
            sink.snapshot(edge, &records);
            sink.confirmed(edge, sent);
            if tail.vouched == Some(Topic::Upstreams) {
                edge.view.borrow_mut().changes.restart(end);
            }
            note(edge, tail, end, true, Some(sent));
            return Ok(end);
        }
    }
}

async fn read(edge: &Edge, tail: Tail, from: u64, sink: &mut impl Sink) -> Result<u64, StoreError> {
    let wait = tail.wait.as_millis() as u64;
    let call = LogCall::read(tail.topic, from, wait);
    let response = edge.store.call(call, tail.wait + tail.answer).await?;
    edge.metrics.store_called(tail.topic);
    let read = decode_records(&response.body, from)?;
    sink.answered(edge);
    let mut changed = false;
    for record in &read.records {
        changed |= take(edge, tail, sink, record);
    }
    let whole = read.next >= read.end;
    if whole {
        sink.confirmed(edge, response.sent_at);
    }
    note(edge, tail, read.next, changed, whole.then_some(response.sent_at));
    Ok(read.next)
}

/// Writes where this vm takes messages, until the log accepts it.
pub async fn announce(edge: Rc<Edge>) {
    let seat = edge.hubs.borrow().seat().clone();
    let entry = VmEntry { address: edge.settings.peer_address(), seat };
    let value = serde_json::to_vec(&entry).unwrap_or_default();
    let mut backoff = Backoff::default();
    loop {
        let record = keyed_record(&edge.settings.vm, &value);
        match edge.store.call(LogCall::append(VM_TOPIC, record), ANSWER_TIME).await {
            Ok(_) => return,
            Err(err) => {
                log::debug!(target: "vms", error:% = err; "The vm could not be announced yet.");
                tokio::time::sleep(backoff.failed(ANNOUNCE_REST, rand::rng().random())).await;
            }
        }
    }
}
