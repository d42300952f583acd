//! Follows the streams of the log, through a peer where the log itself does not answer.

use std::sync::Arc;
use std::time::Duration;

use carob_net::{Clock, LogPage};
use carobglade::{Entry, Page, Record, ReplayStatus, Snapshot};

use crate::append::Stream;
use crate::core::{Core, Inner};
use crate::peers::{self, PeerReply, PeerRequest};
use crate::shares;

const READ_WAIT: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(200); // after a failed read
const SNAPSHOT_PAUSE: Duration = Duration::from_secs(5); // for a snapshot to come back

/// Follows a stream until the process ends.
pub async fn follow(core: Arc<Core>, stream: Stream) {
    loop {
        let started = core.now();
        let from = match stream {
            Stream::Control => core.lock().control.next(),
            Stream::Claims => core.lock().claims.next(),
        };
        match core.batcher(stream).client().read(from, READ_WAIT).await {
            Ok(page) => take_in(&core, stream, page, started, true),
            Err(err) => {
                log::debug!("tail: Reading the log failed: {err}.");
                if !read_from_peer(&core, stream, started).await {
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
        maybe_snapshot(&core, stream);
    }
}

fn take_in(core: &Core, stream: Stream, page: LogPage, started: Duration, own: bool) {
    let now = core.now();
    let page = Page { first: page.first, next: page.next, entries: page.entries };
    let mut inner = core.lock();
    let applied = match stream {
        Stream::Control => {
            let applied = inner.control.page(&page);
            if caught_up(inner.control.status(), inner.control.next() >= page.next) {
                inner.confirmed = inner.confirmed.max(Some(started));
                inner.own_read = if own { Some(started) } else { inner.own_read };
            }
            after_control(core, &mut inner, &applied, now);
            applied
        }
        Stream::Claims => {
            let applied = inner.claims.page(&page);
            if caught_up(inner.claims.status(), inner.claims.next() >= page.next) {
                inner.claims_read = inner.claims_read.max(Some(started));
            }
            applied
        }
    };
    note_log_time(&mut inner, &applied, now);
    drop(inner);
    core.batcher(stream).applied(applied.iter().map(|entry| entry.id.as_str()));
    if !applied.is_empty() {
        core.applied.notify_waiters();
        core.room.notify_one();
    }
}

fn caught_up(status: ReplayStatus, at_end: bool) -> bool {
    status == ReplayStatus::Current && at_end
}

/// An entry is read after it was stamped, so the largest difference is the closest.
fn note_log_time(inner: &mut Inner, applied: &[Entry], now: Duration) {
    for entry in applied {
        let offset = entry.time as i64 - now.as_millis() as i64;
        if inner.log_offset == 0 || offset > inner.log_offset {
            inner.log_offset = offset;
        }
    }
}

fn after_control(core: &Core, inner: &mut Inner, applied: &[Entry], now: Duration) {
    for record in applied.iter().flat_map(|entry| &entry.records) {
        match record {
            Record::Renew(vm) if *vm == core.me => shares::renewed(inner),
            Record::SlotTake(take) if take.vm == core.me => shares::renewed(inner),
            _ => {}
        }
    }
    shares::refresh(inner, &core.me, now);
}

/// Reads a page through a peer that reads the log itself.
async fn read_from_peer(core: &Arc<Core>, stream: Stream, started: Duration) -> bool {
    let (reader, from) = {
        let inner = core.lock();
        let reader = inner.fleet.reader(started).and_then(|vm| inner.member(vm)).cloned();
        let from = match stream {
            Stream::Control => inner.control.next(),
            Stream::Claims => inner.claims.next(),
        };
        (reader, from)
    };
    let Some(reader) = reader else { return false };
    let request = PeerRequest::Read { claims: stream == Stream::Claims, from };
    let reply = peers::call(core, reader.peer, &request).await;
    let Ok(PeerReply::Page { page, age }) = reply else {
        return false;
    };
    let confirmed = started.saturating_sub(Duration::from_millis(age));
    take_in(core, stream, page, confirmed, false);
    tokio::time::sleep(PAUSE).await;
    true
}

/// Takes the state from a peer while the log does not answer.
pub async fn bootstrap(core: &Arc<Core>) {
    let unread = |core: &Core| core.lock().confirmed.is_none();
    let mut addresses = core.settings.peers.clone();
    while unread(core) && !addresses.is_empty() {
        tokio::time::sleep(PAUSE * 5).await;
        for address in &addresses {
            if unread(core) {
                install_from(core, *address).await;
            }
        }
        let members: Vec<_> =
            core.lock().control.state().members().values().map(|m| m.peer).collect();
        addresses.extend(members);
        addresses.sort();
        addresses.dedup();
    }
}

async fn install_from(core: &Arc<Core>, address: std::net::SocketAddr) {
    let started = core.now();
    let reply = peers::call(core, address, &PeerRequest::State).await;
    let Ok(PeerReply::State { control, claims, age, beats }) = reply else {
        return;
    };
    let mut inner = core.lock();
    for beat in beats {
        inner.fleet.hear(beat, true, started);
    }
    if install(&mut inner, control, claims) {
        inner.confirmed = Some(started.saturating_sub(Duration::from_millis(age)));
        let now = core.now();
        shares::refresh(&mut inner, &core.me, now);
        log::info!("tail: The state was taken from peer {address}.");
    }
}

fn install(inner: &mut Inner, control: Option<Snapshot>, claims: Option<Snapshot>) -> bool {
    let installed = control.is_some_and(|snapshot| inner.control.install(&snapshot).is_ok());
    if let Some(snapshot) = claims {
        let _ = inner.claims.install(&snapshot);
    }
    installed
}

/// Appends a snapshot when the stream has grown; the process in charge does it.
fn maybe_snapshot(core: &Core, stream: Stream) {
    let now = core.now();
    let mut inner = core.lock();
    let grown = match stream {
        Stream::Control => inner.control.since_snapshot(),
        Stream::Claims => inner.claims.since_snapshot(),
    };
    let duty = format!("snapshot:{stream:?}");
    if grown < core.settings.limits.snapshot {
        inner.snapshots.remove(&duty);
        return;
    }
    let due = inner.snapshots.get(&duty).is_none_or(|at| now > *at);
    if !due || !inner.fleet.in_charge(&duty, &core.me, now) {
        return;
    }
    inner.snapshots.insert(duty, now + SNAPSHOT_PAUSE);
    let snapshot = match stream {
        Stream::Control => inner.control.snapshot(),
        Stream::Claims => inner.claims.snapshot(),
    };
    drop(inner);
    if let Some(snapshot) = snapshot {
        drop(core.batcher(stream).add_solo(Record::Snapshot(snapshot)));
    }
}

/// Joins the fleet once the state is known.
pub fn join(core: &Core, record: Record) {
    drop(core.control_log.add(record));
    let time = core.clock.unix_millis();
    log::info!("tail: Joining as {} at {time}.", core.me);
}
