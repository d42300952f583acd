//! Follows the platform's log: the configuration, the upstreams and the other vms.

mod sinks;

use std::rc::Rc;
use std::time::Duration;

use carob_platform::{
    KeyedRecord, LogRequest, OPERATOR_TOPIC, UPSTREAM_TOPIC, VM_TOPIC, decode_newest_page,
    decode_records, encode_keyed_record,
};
use carobglade::{Backoff, Reading};
use rand::Rng;

use self::sinks::{ConfigSink, UpstreamSink, VmEntry, VmSink};
use crate::edge::Edge;
use crate::store::StoreError;
use crate::view::Topic;

/// How a topic is followed.
#[derive(Clone, Copy)]
struct FollowSettings {
    topic: &'static str,
    /// Whether a hub vouches for its reading.
    shared_topic: Option<Topic>,
    /// How long the log may hold a read back until a record comes.
    long_poll: Duration,
    /// Pause between two reads.
    read_interval: Duration,
    /// Time for an answer, beside the wait that was asked for.
    answer_timeout: Duration,
    /// Longest pause after calls that failed.
    max_backoff: Duration,
}

const CONFIG: FollowSettings = FollowSettings {
    topic: OPERATOR_TOPIC,
    shared_topic: Some(Topic::Configuration),
    long_poll: Duration::from_millis(1300),
    read_interval: Duration::from_millis(10),
    answer_timeout: ANSWER_TIMEOUT,
    max_backoff: Duration::from_millis(600),
};
const UPSTREAMS: FollowSettings = FollowSettings {
    topic: UPSTREAM_TOPIC,
    shared_topic: Some(Topic::Upstreams),
    long_poll: Duration::from_millis(600),
    read_interval: Duration::from_millis(800),
    answer_timeout: ANSWER_TIMEOUT,
    max_backoff: Duration::from_millis(600),
};
const VMS: FollowSettings = FollowSettings {
    topic: VM_TOPIC,
    shared_topic: None,
    long_poll: Duration::from_secs(10),
    read_interval: Duration::from_millis(1500),
    answer_timeout: Duration::from_secs(4), // the whole list at once, of a log that may be slow
    max_backoff: Duration::from_millis(2500),
};

const ANSWER_TIMEOUT: Duration = Duration::from_millis(1200); // of a log that answers at all
const ANNOUNCE_MAX_BACKOFF: Duration = Duration::from_secs(2); // longest pause until the next try
const SHARED_POLL_INTERVAL: Duration = Duration::from_millis(100); // between two looks at a hub's reading
const HUB_LONG_POLL: Duration = Duration::from_millis(400); // of a hub's read, others rest on its age
const HUB_READ_INTERVAL: Duration = Duration::from_millis(200); // between two reads of a hub
const MEMBER_MAX_BACKOFF: Duration = Duration::from_secs(2); // of a hub's members, after failed calls
const STATUS_GONE: u16 = 410; // the records that were asked for are no longer kept

/// What a follower does with what it reads.
trait RecordSink {
    /// The log answered; what it said follows.
    fn on_answer(&mut self, _edge: &Edge) {}
    /// The newest records of all keys, read whole.
    fn on_snapshot(&mut self, edge: &Edge, records: &[KeyedRecord]);
    /// A record that was added; returns whether it changed anything.
    fn on_record(&mut self, edge: &Edge, record: &KeyedRecord) -> bool;
    /// A read that was sent at `sent` brought everything up to then.
    fn on_confirmed(&mut self, edge: &Edge, sent: Duration);
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

impl FollowSettings {
    /// Whether this vm reads it for others.
    fn is_read_for_others(&self, edge: &Edge) -> bool {
        self.shared_topic.is_some() && edge.hubs.borrow_mut().reads(edge.now())
    }

    /// As a hub reads it: its members rest on the age of what it read.
    fn for_hub(self) -> Self {
        FollowSettings {
            long_poll: self.long_poll.min(HUB_LONG_POLL),
            read_interval: self.read_interval.min(HUB_READ_INTERVAL),
            ..self
        }
    }

    /// Longest pause after calls that failed. The members of a hub hear from it that the log is
    /// back.
    fn max_backoff(&self, edge: &Edge, hub: bool) -> Duration {
        let member = self.shared_topic.is_some() && !hub && edge.hubs.borrow().in_use();
        if member { MEMBER_MAX_BACKOFF } else { self.max_backoff }
    }
}

async fn follow(edge: Rc<Edge>, own: FollowSettings, mut sink: impl RecordSink) {
    let mut next: Option<u64> = None;
    let mut backoff = Backoff::default();
    loop {
        let hub = own.is_read_for_others(&edge);
        let settings = if hub { own.for_hub() } else { own };
        if let Some(shared) = shared_read(&edge, settings, next) {
            next = Some(apply_shared_read(&edge, settings, shared, &mut sink));
            tokio::time::sleep(SHARED_POLL_INTERVAL).await;
            continue;
        }
        let step = match next {
            None => read_snapshot(&edge, settings, &mut sink).await,
            Some(from) => read_records(&edge, settings, from, &mut sink).await,
        };
        match step {
            Ok(offset) => {
                if backoff.answered() {
                    log::info!(target: "follow", topic = settings.topic; "The log answers again.");
                }
                next = Some(offset);
                tokio::time::sleep(settings.read_interval).await;
            }
            Err(StoreError::Status(STATUS_GONE)) => {
                log::info!(target: "follow", topic = settings.topic; "Records expired unread; the newest are read.");
                next = None;
            }
            Err(err) => {
                if backoff.failures() == 0 {
                    log::warn!(target: "follow", topic = settings.topic, error:% = err; "The log does not answer.");
                }
                edge.metrics.record_store_failure(settings.topic);
                edge.hubs.borrow_mut().unread(edge.now());
                let max_backoff = settings.max_backoff(&edge, hub);
                let pause = backoff.failed(max_backoff, rand::rng().random());
                back_off(&edge, settings, next, pause).await;
            }
        }
    }
}

/// Waits after a call that failed, or until another vm vouches for what it would have read.
async fn back_off(edge: &Edge, settings: FollowSettings, next: Option<u64>, pause: Duration) {
    let until = edge.now() + pause;
    while edge.now() < until {
        if shared_read(edge, settings, next).is_some() {
            return;
        }
        tokio::time::sleep(SHARED_POLL_INTERVAL.min(until.saturating_sub(edge.now()))).await;
    }
}

/// A reading of another vm, and the records that changed something since the own one.
struct SharedRead {
    topic: Topic,
    reading: Reading,
    changes: Vec<KeyedRecord>,
}

/// What another vm read, where this one, which read up to `next`, may rest on it.
fn shared_read(edge: &Edge, settings: FollowSettings, next: Option<u64>) -> Option<SharedRead> {
    let (topic, from) = settings.shared_topic.zip(next)?;
    if settings.is_read_for_others(edge) {
        return None;
    }
    let (reading, changes) = edge.view.borrow().shared_since(topic, from, edge.now())?;
    Some(SharedRead { topic, reading, changes })
}

/// Goes on without reading; returns the offset to go on from.
fn apply_shared_read(
    edge: &Edge,
    settings: FollowSettings,
    shared: SharedRead,
    sink: &mut impl RecordSink,
) -> u64 {
    let SharedRead { topic, reading, changes } = shared;
    sink.on_answer(edge);
    for record in &changes {
        apply_record(edge, settings, sink, record);
    }
    sink.on_confirmed(edge, reading.confirmed);
    let readings = &mut edge.view.borrow_mut().readings;
    let own = readings.get(&topic).copied();
    readings.insert(topic, reading.after(own));
    reading.seen
}

/// Takes a record in, and keeps it to be passed on when it changed anything; returns whether.
fn apply_record(
    edge: &Edge,
    settings: FollowSettings,
    sink: &mut impl RecordSink,
    record: &KeyedRecord,
) -> bool {
    let changed = sink.on_record(edge, record);
    if changed && settings.shared_topic == Some(Topic::Upstreams) {
        let changes = &mut edge.view.borrow_mut().changes;
        changes.push(record.offset, record.clone(), edge.now());
    }
    changed
}

/// Notes what was read, for those that this vm vouches to; `confirmed` is none where more is left
/// to be read.
fn record_reading(
    edge: &Edge,
    settings: FollowSettings,
    seen: u64,
    changed: bool,
    confirmed: Option<Duration>,
) {
    let Some(topic) = settings.shared_topic else {
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

async fn read_snapshot(
    edge: &Edge,
    settings: FollowSettings,
    sink: &mut impl RecordSink,
) -> Result<u64, StoreError> {
    let mut records: Vec<KeyedRecord> = Vec::new();
    let mut first = None;
    loop {
        let after = records.last().map(|record| record.key.as_str());
        let response = edge
            .store
            .call(LogRequest::newest(settings.topic, after), settings.answer_timeout)
            .await?;
        edge.metrics.record_store_call(settings.topic);
        let page = decode_newest_page(&response.body)?;
        // Pages are no snapshot: what changed since the first page was made is read again.
        let (end, sent) = *first.get_or_insert((page.end_offset, response.sent_at));
        records.extend(page.records);
        if !page.has_more {
            sink.on_answer(edge);
            sink.on_snapshot(edge, &records);
            sink.on_confirmed(edge, sent);
            if settings.shared_topic == Some(Topic::Upstreams) {
                edge.view.borrow_mut().changes.restart(end);
            }
            record_reading(edge, settings, end, true, Some(sent));
            return Ok(end);
        }
    }
}

async fn read_records(
    edge: &Edge,
    settings: FollowSettings,
    from: u64,
    sink: &mut impl RecordSink,
) -> Result<u64, StoreError> {
    let wait = settings.long_poll.as_millis() as u64;
    let call = LogRequest::read(settings.topic, from, wait);
    let response = edge.store.call(call, settings.long_poll + settings.answer_timeout).await?;
    edge.metrics.record_store_call(settings.topic);
    let read = decode_records(&response.body, from)?;
    sink.on_answer(edge);
    let mut changed = false;
    for record in &read.records {
        changed |= apply_record(edge, settings, sink, record);
    }
    let whole = read.next_offset >= read.end_offset;
    if whole {
        sink.on_confirmed(edge, response.sent_at);
    }
    record_reading(edge, settings, read.next_offset, changed, whole.then_some(response.sent_at));
    Ok(read.next_offset)
}

/// Writes where this vm takes messages, until the log accepts it.
pub async fn announce(edge: Rc<Edge>) {
    let seat = edge.hubs.borrow().seat().clone();
    let entry = VmEntry { address: edge.settings.peer_address(), seat };
    let value = serde_json::to_vec(&entry).unwrap_or_default();
    let mut backoff = Backoff::default();
    loop {
        let record = encode_keyed_record(&edge.settings.vm, &value);
        match edge.store.call(LogRequest::append(VM_TOPIC, record), ANSWER_TIMEOUT).await {
            Ok(_) => return,
            Err(err) => {
                log::debug!(target: "vms", error:% = err; "The vm could not be announced yet.");
                tokio::time::sleep(backoff.failed(ANNOUNCE_MAX_BACKOFF, rand::rng().random()))
                    .await;
            }
        }
    }
}
