//! Versions in the platform's log: at which version streams began, against the loss of all vms at
//! once, and which versions a service has, for vms that have just started.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use carob_platform::{
    LogRequest, STREAM_TOPIC, VM_TOPIC, decode_expired, decode_plain_records, encode_keyed_record,
    encode_plain_record,
};
use carobglade::{
    Backoff, LogEra, LogPosition, OriginSource, RecordsEra, StreamKey, StreamOrigin, VersionRecord,
    VmName,
};
use rand::Rng;

use crate::edge::Edge;
use crate::origin_message::{self, MAX_TOLD, OriginMessage};
use crate::origin_state::UnkeptOrigin;
use crate::store::StoreError;

/// Label of records of streams in metrics.
const ROLE: &str = "stream_record";
/// Time limit for a call to the log.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time for which a vm that writes for others gathers streams.
const GATHER_TIME: Duration = Duration::from_millis(10);
/// Minimum time between the starts of two writes of such a vm.
const WRITER_INTERVAL: Duration = Duration::from_millis(40);
/// Time after which another vm writes a stream itself that the log does not keep yet, in a small
/// fleet.
const OWN_WRITE_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of vms in a fleet in which some write for others. In a larger one, the streams of
/// all would exceed what one vm can receive.
const MAX_WRITER_FLEET: usize = 100;
/// Writes a second of all vms together, at most; a quarter of what the platform allows.
const MAX_WRITE_RATE: f64 = 100.0;
const WRITE_MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum number of streams in a record of the log.
const MAX_RECORD_STREAMS: usize = 2000;
/// Minimum time between two reads, so that requests that name unknown streams cost no more, in a
/// small fleet.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(250);
/// Reads a second of all vms together, at most; a quarter of what the platform allows.
const MAX_READ_RATE: f64 = 500.0;
/// Records that are read at most: those of the time for which streams are remembered.
const MAX_READ_RECORDS: u64 = 10_000;
/// Interval at which the versions of services are compared with the log.
const VERSION_INTERVAL: Duration = Duration::from_secs(1);
/// HTTP status of a read whose records are no longer kept.
const STATUS_GONE: u16 = 410;

/// Writes streams to the log until the task is dropped.
pub async fn run_writer(edge: Rc<Edge>) {
    let mut backoff = Backoff::default();
    let mut last_write = Duration::ZERO;
    loop {
        let added = edge.origins.unkept_added.notified();
        let Some(due) = next_write(&edge, last_write) else {
            added.await;
            continue;
        };
        let wait = due.saturating_sub(edge.now());
        if !wait.is_zero() {
            // The role of the vm may change, and the stream that is due may be kept meanwhile.
            tokio::time::sleep(wait).await;
            continue;
        }
        last_write = edge.now();
        if let Err(err) = write_streams(&edge).await {
            log::debug!(target: "versions", error:% = err; "Writing streams failed; retrying.");
            edge.metrics.record_store_failure(STREAM_TOPIC);
            let pause = backoff.record_failure(WRITE_MAX_BACKOFF, rand::rng().random());
            tokio::time::sleep(pause).await;
        } else {
            backoff.record_success();
        }
    }
}

/// Returns when the next write is due, after the one that started at `last_write`; none while the
/// log keeps all streams.
fn next_write(edge: &Edge, last_write: Duration) -> Option<Duration> {
    let oldest = edge.origins.unkept.borrow().front()?.added_at;
    if is_writer(edge) {
        return Some((oldest + GATHER_TIME).max(last_write + writer_interval(edge)));
    }
    let fleet_interval = Duration::from_secs_f64(edge.fleet_size() as f64 / MAX_WRITE_RATE);
    Some(oldest.max(last_write) + OWN_WRITE_DELAY.max(fleet_interval))
}

fn writer_interval(edge: &Edge) -> Duration {
    let writers = edge.hubs.borrow().log_writers();
    WRITER_INTERVAL.max(Duration::from_secs_f64(writers as f64 / MAX_WRITE_RATE))
}

/// Reports whether this vm writes the streams of others.
pub fn is_writer(edge: &Edge) -> bool {
    writer(edge).is_some_and(|vm| vm == edge.vm)
}

/// Returns the address of the vm that writes the streams of this one; none if it does so itself.
pub fn writer_address(edge: &Edge) -> Option<SocketAddr> {
    let writer = writer(edge)?;
    Some(edge.view.borrow().peers.get(&writer)?.address)
}

fn writer(edge: &Edge) -> Option<VmName> {
    if edge.fleet_size() > MAX_WRITER_FLEET {
        return None;
    }
    edge.hubs.borrow_mut().log_writer(edge.now())
}

/// Encodes a record of streams.
///
/// # Errors
///
/// Returns an error when the streams cannot be encoded.
pub fn encode_streams(origins: &[StreamOrigin]) -> postcard::Result<Vec<u8>> {
    postcard::to_allocvec(origins)
}

/// Decodes a record of streams. What a newer version appends is ignored.
///
/// # Errors
///
/// Returns an error when the bytes do not begin with a list of streams.
pub fn decode_streams(record: &[u8]) -> postcard::Result<Vec<StreamOrigin>> {
    postcard::from_bytes(record)
}

async fn write_streams(edge: &Edge) -> Result<(), StoreError> {
    let batch: Vec<UnkeptOrigin> = {
        let unkept = edge.origins.unkept.borrow();
        unkept.iter().take(MAX_RECORD_STREAMS).cloned().collect()
    };
    let now = edge.now();
    let origins: Vec<StreamOrigin> = batch.iter().map(|origin| written(origin, now)).collect();
    let content = encode_streams(&origins).unwrap_or_default();
    let call = LogRequest::append(STREAM_TOPIC, encode_plain_record(&content));
    edge.store.call(call, CALL_TIMEOUT).await?;
    edge.metrics.record_store_call(STREAM_TOPIC);
    // Others may have been added or left out in the meantime.
    let written: HashSet<StreamKey> = batch.iter().map(|origin| origin.key).collect();
    edge.origins.remove_kept(&written);
    confirm_kept(edge, &batch);
    Ok(())
}

/// Tells the vms that asked for streams to be written that the log keeps them.
fn confirm_kept(edge: &Edge, kept: &[UnkeptOrigin]) {
    let mut told: BTreeMap<SocketAddr, Vec<StreamKey>> = BTreeMap::new();
    for origin in kept {
        if let Some(address) = origin.told_by {
            told.entry(address).or_default().push(origin.key);
        }
    }
    for (address, keys) in told {
        for part in keys.chunks(MAX_TOLD) {
            origin_message::send(edge, address, &OriginMessage::Kept(part.to_vec()));
        }
    }
}

fn written(origin: &UnkeptOrigin, now: Duration) -> StreamOrigin {
    let age = now.saturating_sub(origin.began_at).as_millis();
    let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
    StreamOrigin { key: origin.key, version: origin.version.clone(), age_ms }
}

/// Reads all streams that the log holds at the time of the call; reports whether it did. One request
/// reads at a time, for all that wait.
pub async fn read_to_end(edge: &Edge) -> bool {
    let asked_at = edge.now();
    let reading = &edge.origins.reading;
    let _guard = reading.lock.lock().await;
    let last = reading.complete_at.get();
    if last.is_some_and(|at| at >= asked_at) {
        return true;
    }
    if let Some(at) = last {
        let fleet_interval = Duration::from_secs_f64(edge.fleet_size() as f64 / MAX_READ_RATE);
        let pause = (at + MIN_READ_INTERVAL.max(fleet_interval)).saturating_sub(edge.now());
        tokio::time::sleep(pause).await;
    }
    let started = edge.now();
    let result = read_pages(edge).await;
    // A failed read counts too, so that it is not repeated for each request that waits.
    reading.complete_at.set(Some(started));
    match result {
        Ok(()) => true,
        Err(err) => {
            log::warn!(target: "versions", error:% = err; "Reading streams from the log failed.");
            edge.metrics.record_store_failure(STREAM_TOPIC);
            false
        }
    }
}

async fn read_pages(edge: &Edge) -> Result<(), StoreError> {
    let next = &edge.origins.reading.next;
    loop {
        let era = edge.store.era();
        let from = next.get().filter(|next| next.era == era).map_or(0, |next| next.offset);
        let call = LogRequest::read(STREAM_TOPIC, from, 0);
        let (status, response) = edge.store.call_any(call, CALL_TIMEOUT).await?;
        edge.metrics.record_store_call(STREAM_TOPIC);
        if response.era != era {
            // The offset says nothing in the new era; the first call may have learned its number.
            next.set(Some(LogPosition { era: response.era, offset: 0 }));
            continue;
        }
        if status == STATUS_GONE {
            let offset = decode_expired(&response.body)?.max(from + 1);
            next.set(Some(LogPosition { era, offset }));
            continue;
        }
        if status != 200 {
            return Err(StoreError::Status(status));
        }
        let page = decode_plain_records(&response.body, from)?;
        page.records.iter().for_each(|record| apply_streams(edge, record));
        let offset = page.next_offset.max(page.end_offset.saturating_sub(MAX_READ_RECORDS));
        next.set(Some(LogPosition { era, offset }));
        if page.next_offset >= page.end_offset || page.records.is_empty() {
            return Ok(());
        }
    }
}

fn apply_streams(edge: &Edge, record: &[u8]) {
    match decode_streams(record) {
        Ok(origins) => {
            let mut streams = edge.origins.streams.borrow_mut();
            let now = edge.now();
            for origin in &origins {
                streams.record(origin, OriginSource::Log, now);
            }
        }
        Err(err) => {
            edge.report_undecoded(ROLE, STREAM_TOPIC, &err);
        }
    }
}

/// Writes the versions of services to the log, if this vm reads the log for others.
pub async fn keep_versions(edge: Rc<Edge>) {
    let mut era = edge.store.era();
    loop {
        tokio::time::sleep(VERSION_INTERVAL).await;
        let before = std::mem::replace(&mut era, edge.store.era());
        if before != era && before != LogEra::default() {
            edge.origins.versions.borrow_mut().record_older_copy(edge.now());
            // The copy may lack the streams that began since; they are told of again.
            edge.origins.told_services.borrow_mut().clear();
        }
        let writes = edge.view.borrow().vms_known && edge.hubs.borrow_mut().reads_log(edge.now());
        if !writes {
            continue;
        }
        let missing = edge.origins.versions.borrow().missing_records(edge.now());
        for record in missing {
            write_versions(&edge, record).await;
        }
        let missing_era = edge.origins.versions.borrow().missing_records_era(edge.now());
        if let Some(kept) = missing_era {
            write_records_era(&edge, kept).await;
        }
    }
}

async fn write_versions(edge: &Edge, record: VersionRecord) {
    let Some(key) = record.key() else {
        return;
    };
    let value = serde_json::to_vec(&record).unwrap_or_default();
    match append_keyed(edge, &key, &value).await {
        Ok(()) => {
            let versions: Vec<String> = record.versions.iter().map(ToString::to_string).collect();
            log::info!(target: "versions", service = record.service.as_str(), versions = versions.join(",").as_str(); "The versions of a service were written to the log.");
            edge.origins.versions.borrow_mut().apply_record(record, edge.now());
        }
        Err(err) => {
            log::debug!(target: "versions", error:% = err; "Writing the versions of a service failed; retrying.");
        }
    }
}

/// Writes that the records of versions are complete in the present era of the log.
async fn write_records_era(edge: &Edge, kept: RecordsEra) {
    let value = serde_json::to_vec(&kept).unwrap_or_default();
    match append_keyed(edge, RecordsEra::KEY, &value).await {
        Ok(()) => {
            log::info!(target: "versions", era:% = kept.era; "The records of versions are complete in this era of the log.");
            edge.origins.versions.borrow_mut().apply_records_era(kept);
        }
        Err(err) => {
            log::debug!(target: "versions", error:% = err; "Writing the era of the version records failed; retrying.");
        }
    }
}

/// Writes a record beside the list of vms.
async fn append_keyed(edge: &Edge, key: &str, value: &[u8]) -> Result<(), StoreError> {
    let call = LogRequest::append(VM_TOPIC, encode_keyed_record(key, value));
    let written = edge.store.call(call, CALL_TIMEOUT).await;
    match &written {
        Ok(_) => edge.metrics.record_store_call(VM_TOPIC),
        Err(_) => edge.metrics.record_store_failure(VM_TOPIC),
    }
    written.map(|_| ())
}
