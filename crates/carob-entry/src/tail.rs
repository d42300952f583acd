//! Follows the streams of the log, through a peer where the log itself does not answer.

use std::sync::Arc;
use std::time::Duration;

use carob_net::{Clock, LogPage};
use carobglade::{Entry, Record, ReplayPage};

use crate::core::Core;
use crate::links::{PeerReply, PeerRequest};
use crate::parts::Stream;

const READ_WAIT: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(200); // after a failed read

/// Follows a stream until the process ends.
pub async fn follow(core: Arc<Core>, stream: Stream) {
    loop {
        let started = core.now();
        let from = core.streams.next(stream);
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
    let page = ReplayPage { first: page.first, next: page.next, entries: page.entries };
    let applied = core.streams.take_in(stream, &page, started, own, now);
    if stream == Stream::Control {
        after_control(core, &applied, now);
    }
    core.batcher(stream).applied(applied.iter().map(|entry| entry.id.as_str()));
    if !applied.is_empty() {
        core.applied.notify_waiters();
        core.room.notify_one();
    }
}

fn after_control(core: &Core, applied: &[Entry], now: Duration) {
    for record in applied.iter().flat_map(|entry| &entry.records) {
        match record {
            Record::Renew(vm) if *vm == core.me => core.holdings.renewed(),
            Record::SlotTake(take) if take.vm == core.me => core.holdings.renewed(),
            _ => {}
        }
    }
    core.holdings.refresh(&core.streams, &core.me, now);
}

/// Reads a page through a peer that reads the log itself.
async fn read_from_peer(core: &Arc<Core>, stream: Stream, started: Duration) -> bool {
    let reader = core.neighbours.reader(started).and_then(|vm| core.streams.member(&vm));
    let Some(reader) = reader else { return false };
    let from = core.streams.next(stream);
    let request = PeerRequest::Read { claims: stream == Stream::Claims, from };
    let reply = core.links.call(&core.metrics, reader.peer, &request).await;
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
    let unread = |core: &Core| core.streams.confirmed(Stream::Control).is_none();
    let mut addresses = core.settings.peers.clone();
    while unread(core) && !addresses.is_empty() {
        tokio::time::sleep(PAUSE * 5).await;
        for address in &addresses {
            if unread(core) {
                install_from(core, *address).await;
            }
        }
        let members: Vec<_> =
            core.streams.control(|state| state.members().values().map(|m| m.peer).collect());
        addresses.extend(members);
        addresses.sort();
        addresses.dedup();
    }
}

async fn install_from(core: &Arc<Core>, address: std::net::SocketAddr) {
    let started = core.now();
    let reply = core.links.call(&core.metrics, address, &PeerRequest::State).await;
    let Ok(PeerReply::State { control, claims, age, beats }) = reply else {
        return;
    };
    for beat in beats {
        core.neighbours.hear(beat, true, started);
    }
    let confirmed = started.saturating_sub(Duration::from_millis(age));
    if core.streams.install(control, claims, confirmed) {
        core.holdings.refresh(&core.streams, &core.me, core.now());
        log::info!("tail: The state was taken from peer {address}.");
    }
}

/// Appends a snapshot when the stream has grown; the process in charge does it.
fn maybe_snapshot(core: &Core, stream: Stream) {
    let now = core.now();
    if !core.streams.is_snapshot_due(stream, core.settings.limits.snapshot, now) {
        return;
    }
    if !core.neighbours.in_charge(&format!("snapshot:{stream:?}"), &core.me, now) {
        return;
    }
    core.streams.note_snapshot(stream, now);
    if let Some(snapshot) = core.streams.snapshot(stream) {
        drop(core.batcher(stream).add_solo(Record::Snapshot(snapshot)));
    }
}

/// Joins the fleet once the state is known.
pub fn join(core: &Core, record: Record) {
    drop(core.control_log.add(record));
    let time = core.clock.unix_millis();
    log::info!("tail: Joining as {} at {time}.", core.me);
}
