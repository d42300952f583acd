//! Follows the streams of the log, through a peer while the log itself is unavailable.

use std::sync::Arc;
use std::time::Duration;

use carob_net::{Clock, LogPage};
use carobglade::{LogEntry, Record, ReplayPage};

use crate::peer_transport::{PeerReply, PeerRequest};
use crate::shared_state::SharedState;
use crate::state::LogStream;

/// Time for which the log may hold a read open until a new entry arrives.
const LONG_POLL_TIME: Duration = Duration::from_secs(1);
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Follows a stream until the process ends.
pub async fn follow(shared: Arc<SharedState>, stream: LogStream) {
    loop {
        let started = shared.now();
        let from = shared.log_state.next_offset(stream);
        match shared.batcher(stream).client().read(from, LONG_POLL_TIME).await {
            Ok(page) => apply_page(&shared, stream, page, started, true),
            Err(err) => {
                log::debug!("tail: reading the log failed: {err}");
                if !read_from_peer(&shared, stream, started).await {
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
        append_snapshot_if_due(&shared, stream);
    }
}

/// Applies a page that was requested at `started`, and notifies the waiting tasks of new entries.
fn apply_page(
    shared: &SharedState,
    stream: LogStream,
    page: LogPage,
    started: Duration,
    own: bool,
) {
    let now = shared.now();
    let page = ReplayPage { first: page.first, next: page.next, entries: page.entries };
    let applied = shared.log_state.apply_page(stream, &page, started, own, now);
    if stream == LogStream::Control {
        update_quota(shared, &applied, now);
    }
    shared.batcher(stream).confirm_applied(applied.iter().map(|entry| entry.id.as_str()));
    if !applied.is_empty() {
        shared.entry_applied.notify_waiters();
        shared.capacity_freed.notify_one();
    }
}

/// Extends the lease if a renewal or claim of this process was applied, and updates the quota.
fn update_quota(shared: &SharedState, applied: &[LogEntry], now: Duration) {
    for record in applied.iter().flat_map(|entry| &entry.records) {
        match record {
            Record::Renew(vm) if *vm == shared.me => shared.quota.confirm_renewal(),
            Record::SlotAcquire(change) if change.vm == shared.me => shared.quota.confirm_renewal(),
            _ => {}
        }
    }
    shared.quota.update_shares(&shared.log_state, &shared.me, now);
}

/// Reads a page through the peer that read the log most recently. Reports whether a page was
/// applied.
async fn read_from_peer(shared: &Arc<SharedState>, stream: LogStream, started: Duration) -> bool {
    let reader = shared.fleet.freshest_reader(started).and_then(|vm| shared.log_state.member(&vm));
    let Some(reader) = reader else { return false };
    let from = shared.log_state.next_offset(stream);
    let request = PeerRequest::ReadLog { claims: stream == LogStream::Claims, from };
    let reply = shared.peer_transport.call(&shared.metrics, reader.peer, &request).await;
    let Ok(PeerReply::Page { page, age }) = reply else {
        return false;
    };
    let confirmed = started.saturating_sub(Duration::from_millis(age));
    apply_page(shared, stream, page, confirmed, false);
    tokio::time::sleep(RETRY_INTERVAL).await;
    true
}

/// Requests snapshots from the bootstrap peers until one installs a control snapshot or the control
/// stream is read from the log, so that the process can start while the log is unavailable. Returns
/// at once if no bootstrap peers are configured.
pub async fn bootstrap(shared: &Arc<SharedState>) {
    let unread = |shared: &SharedState| shared.log_state.confirmed_at(LogStream::Control).is_none();
    let mut addresses = shared.settings.bootstrap_peers.clone();
    while unread(shared) && !addresses.is_empty() {
        tokio::time::sleep(RETRY_INTERVAL * 5).await;
        for address in &addresses {
            if unread(shared) {
                install_snapshots_from(shared, *address).await;
            }
        }
        let members: Vec<_> = shared
            .log_state
            .with_control(|state| state.members().values().map(|m| m.peer).collect());
        addresses.extend(members);
        addresses.sort();
        addresses.dedup();
    }
}

async fn install_snapshots_from(shared: &Arc<SharedState>, address: std::net::SocketAddr) {
    let started = shared.now();
    let reply =
        shared.peer_transport.call(&shared.metrics, address, &PeerRequest::GetSnapshots).await;
    let Ok(PeerReply::Snapshots { control, claims, age, heartbeats }) = reply else {
        return;
    };
    for heartbeat in heartbeats {
        shared.fleet.apply_heartbeat(heartbeat, true, started);
    }
    let confirmed = started.saturating_sub(Duration::from_millis(age));
    if shared.log_state.install_snapshots(control, claims, confirmed) {
        shared.quota.update_shares(&shared.log_state, &shared.me, shared.now());
        log::info!("tail: snapshots installed from peer {address}");
    }
}

/// Appends a snapshot if the stream has grown enough and this process owns the duty.
fn append_snapshot_if_due(shared: &SharedState, stream: LogStream) {
    let now = shared.now();
    if !shared.log_state.is_snapshot_due(stream, shared.settings.limits.snapshot_entries, now) {
        return;
    }
    if !shared.fleet.owns_duty(&format!("snapshot:{stream:?}"), &shared.me, now) {
        return;
    }
    shared.log_state.record_snapshot(stream, now);
    if let Some(snapshot) = shared.log_state.snapshot(stream) {
        drop(shared.batcher(stream).add_separate(Record::Snapshot(snapshot)));
    }
}

/// Appends the record by which this process joins the fleet.
pub fn join(shared: &SharedState, record: Record) {
    drop(shared.control_batcher.add(record));
    let time = shared.clock.unix_millis();
    log::info!("tail: joining as {} at {time} ms", shared.me);
}
