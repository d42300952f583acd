//! Follows the topics of the platform's log: the configuration, the upstreams and the other vms.

mod settings;
mod sinks;

use std::rc::Rc;
use std::time::Duration;

use carob_platform::{
    KeyedRecord, LogRequest, VM_TOPIC, decode_newest_page, decode_records, encode_keyed_record,
};
use carobglade::{Backoff, LogEra, LogPosition, LogReading};
use rand::Rng;

use self::settings::{CONFIG, FollowSettings, RESPONSE_TIMEOUT, UPSTREAMS, VMS};
pub use self::sinks::VmEntry;
use self::sinks::{ConfigSink, UpstreamSink, VmSink};
use crate::edge::Edge;
use crate::store::StoreError;
use crate::view::Topic;

const ANNOUNCE_MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Writes a second of all vms together when each writes its address again; a quarter of what the
/// platform allows.
const MAX_ANNOUNCE_RATE: f64 = 100.0;
/// Interval between two checks for a read that another vm shared.
const SHARED_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// HTTP status of a read whose records are no longer kept.
const STATUS_GONE: u16 = 410;

/// Applies the records of a topic.
trait RecordSink {
    /// Called when the log responded or another vm shared a read, before the records are applied.
    fn on_response(&mut self, _edge: &Edge) {}
    /// Applies a complete snapshot: the newest record of every key.
    fn on_snapshot(&mut self, edge: &Edge, records: &[KeyedRecord]);
    /// Applies an added record; reports whether it changed anything.
    fn on_record(&mut self, edge: &Edge, record: &KeyedRecord) -> bool;
    /// Called when every record that the log held at the time `confirmed_at` was applied.
    fn on_confirmed(&mut self, edge: &Edge, confirmed_at: Duration);
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

async fn follow(edge: Rc<Edge>, own_settings: FollowSettings, mut sink: impl RecordSink) {
    let mut next: Option<LogPosition> = None;
    let mut backoff = Backoff::default();
    loop {
        let reads_for_others = own_settings.reads_for_others(&edge);
        let settings = own_settings.for_fleet(&edge);
        let settings = if reads_for_others { settings.for_hub() } else { settings };
        let settings = settings.for_start(&edge).for_recovery(&edge);
        next = next.filter(|next| next.era == edge.store.era());
        if let Some(shared) = shared_read(&edge, settings, next) {
            next = Some(apply_shared_read(&edge, settings, shared, &mut sink));
            tokio::time::sleep(SHARED_POLL_INTERVAL).await;
            continue;
        }
        let result = match next {
            None => read_snapshot(&edge, settings, &mut sink).await,
            Some(from) => read_records(&edge, settings, from, &mut sink).await,
        };
        match result {
            Ok(position) => {
                if backoff.record_success() {
                    log::info!(target: "follow", topic = settings.topic; "The log responds again.");
                }
                next = Some(position);
                tokio::time::sleep(settings.read_interval).await;
            }
            Err(StoreError::Status(STATUS_GONE)) => {
                log::info!(target: "follow", topic = settings.topic; "Records expired before they were read; reading a snapshot.");
                next = None;
            }
            // Without a position, the response was of an older era: repeated after a pause.
            Err(StoreError::EraChanged) if next.is_some() => {
                log::info!(target: "follow", topic = settings.topic, era:% = edge.store.era(); "The log came back from an older copy; reading a snapshot.");
                next = None;
            }
            Err(err) => {
                if backoff.failures() == 0 {
                    log::warn!(target: "follow", topic = settings.topic, error:% = err; "Reading the log failed.");
                }
                edge.metrics.record_store_failure(settings.topic);
                edge.hubs.borrow_mut().record_read_failure(edge.now());
                if matches!(err, StoreError::Unreadable(_)) {
                    next = None; // The same read may fail again; a snapshot holds what it held.
                }
                let max_backoff = settings.max_backoff(&edge, reads_for_others);
                let pause = backoff.record_failure(max_backoff, rand::rng().random());
                back_off(&edge, settings, next, pause).await;
            }
        }
    }
}

/// Waits for `pause` after a failed read, or until another vm shares a read of the topic.
async fn back_off(
    edge: &Edge,
    settings: FollowSettings,
    next: Option<LogPosition>,
    pause: Duration,
) {
    let until = edge.now() + pause;
    while edge.now() < until {
        if shared_read(edge, settings, next).is_some() {
            return;
        }
        tokio::time::sleep(SHARED_POLL_INTERVAL.min(until.saturating_sub(edge.now()))).await;
    }
}

/// A read by another vm, and the changes since this vm's own read.
struct SharedRead {
    topic: Topic,
    reading: LogReading,
    changes: Vec<KeyedRecord>,
}

/// Returns what another vm read, if this vm, which read up to `next`, can use that instead of
/// reading by itself.
fn shared_read(
    edge: &Edge,
    settings: FollowSettings,
    next: Option<LogPosition>,
) -> Option<SharedRead> {
    let (topic, from) = settings.shared_topic.zip(next)?;
    if settings.reads_for_others(edge) {
        return None;
    }
    let (reading, changes) = edge.view.borrow().shared_since(topic, from, edge.now())?;
    Some(SharedRead { topic, reading, changes })
}

/// Applies a shared read; returns the position to continue from.
fn apply_shared_read(
    edge: &Edge,
    settings: FollowSettings,
    shared: SharedRead,
    sink: &mut impl RecordSink,
) -> LogPosition {
    let SharedRead { topic, reading, changes } = shared;
    sink.on_response(edge);
    for record in &changes {
        apply_record(edge, settings, sink, record);
    }
    sink.on_confirmed(edge, reading.confirmed_at);
    let readings = &mut edge.view.borrow_mut().readings;
    let own = readings.get(&topic).copied();
    readings.insert(topic, reading.keeping_change(own));
    LogPosition { era: reading.era, offset: reading.read_to }
}

/// Applies a record and, if it changed anything, keeps it to be shared with other vms. Reports
/// whether it changed anything.
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

/// Records up to where this vm read, to share it with other vms. `confirmed_at` is the time up to
/// which the read is complete, or `None` when more records are left to read.
fn record_reading(
    edge: &Edge,
    settings: FollowSettings,
    position: LogPosition,
    changed: bool,
    confirmed_at: Option<Duration>,
) {
    let Some(topic) = settings.shared_topic else {
        return;
    };
    let readings = &mut edge.view.borrow_mut().readings;
    let LogPosition { era, offset: read_to } = position;
    let before = readings.get(&topic).copied().filter(|before| before.era == era);
    let before = before.unwrap_or(LogReading { era, changed_to: read_to, ..LogReading::default() });
    let changed_to = if changed { read_to } else { before.changed_to };
    let confirmed_at = confirmed_at.unwrap_or(before.confirmed_at);
    readings.insert(topic, LogReading { era, read_to, changed_to, confirmed_at });
    if changed_to != before.changed_to {
        edge.gossip_wakeup.notify_one();
    }
}

async fn read_snapshot(
    edge: &Edge,
    settings: FollowSettings,
    sink: &mut impl RecordSink,
) -> Result<LogPosition, StoreError> {
    let mut records: Vec<KeyedRecord> = Vec::new();
    let mut first: Option<(LogPosition, Duration)> = None;
    let mut after: Option<String> = None;
    loop {
        let call = LogRequest::newest(settings.topic, after.as_deref());
        let response = edge.store.call(call, settings.response_timeout).await?;
        edge.metrics.record_store_call(settings.topic);
        let page = decode_newest_page(&response.body)?;
        // The pages are not from one moment, so reading continues from the end of the first page.
        let end = LogPosition { era: response.era, offset: page.end_offset };
        let (end, sent) = *first.get_or_insert((end, response.sent_at));
        check_era(end.era, response.era)?;
        after = page.next_after(after.as_deref())?;
        records.extend(page.records);
        if after.is_none() {
            sink.on_response(edge);
            sink.on_snapshot(edge, &records);
            sink.on_confirmed(edge, sent);
            if settings.shared_topic == Some(Topic::Upstreams) {
                edge.view.borrow_mut().changes.reset(end.offset);
            }
            record_reading(edge, settings, end, true, Some(sent));
            return Ok(end);
        }
    }
}

async fn read_records(
    edge: &Edge,
    settings: FollowSettings,
    from: LogPosition,
    sink: &mut impl RecordSink,
) -> Result<LogPosition, StoreError> {
    let wait = settings.long_poll.as_millis() as u64;
    let call = LogRequest::read(settings.topic, from.offset, wait);
    let response = edge.store.call(call, settings.long_poll + settings.response_timeout).await?;
    edge.metrics.record_store_call(settings.topic);
    check_era(from.era, response.era)?;
    let read = decode_records(&response.body, from.offset)?;
    sink.on_response(edge);
    let mut changed = false;
    for record in &read.records {
        changed |= apply_record(edge, settings, sink, record);
    }
    let complete = read.next_offset >= read.end_offset;
    if complete {
        sink.on_confirmed(edge, response.sent_at);
    }
    let next = LogPosition { era: from.era, offset: read.next_offset };
    record_reading(edge, settings, next, changed, complete.then_some(response.sent_at));
    Ok(next)
}

/// Refuses a response whose offsets are not those of the era `expected`.
fn check_era(expected: LogEra, told: LogEra) -> Result<(), StoreError> {
    if told == expected { Ok(()) } else { Err(StoreError::EraChanged) }
}

/// Keeps the address of this vm in the list of vms: writes it at the start, and again when the log
/// came back from a copy that may lack it. Then all vms write, each after a random pause.
pub async fn announce(edge: Rc<Edge>) {
    loop {
        let era = write_address(&edge).await;
        edge.store.wait_for_older_copy(era).await;
        let spread = Duration::from_secs_f64(edge.fleet_size() as f64 / MAX_ANNOUNCE_RATE);
        tokio::time::sleep(spread.mul_f64(rand::rng().random())).await;
    }
}

/// Writes the address of this vm to the list of vms; retries until the log accepts it. Returns the era
/// of the log that did.
async fn write_address(edge: &Edge) -> LogEra {
    let profile = edge.hubs.borrow().profile().clone();
    let token = Some(edge.paths.token.clone());
    let entry = VmEntry { address: edge.settings.peer_address(), seat: profile, token };
    let value = serde_json::to_vec(&entry).unwrap_or_default();
    let mut backoff = Backoff::default();
    loop {
        let record = encode_keyed_record(&edge.settings.vm, &value);
        match edge.store.call(LogRequest::append(VM_TOPIC, record), RESPONSE_TIMEOUT).await {
            Ok(response) => return response.era,
            Err(err) => {
                log::debug!(target: "vms", error:% = err; "Announcing this vm failed; retrying.");
                tokio::time::sleep(
                    backoff.record_failure(ANNOUNCE_MAX_BACKOFF, rand::rng().random()),
                )
                .await;
            }
        }
    }
}
