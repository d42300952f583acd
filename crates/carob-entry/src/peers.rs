//! Handles requests of other vms and sends them heartbeats.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use carobglade::{Heartbeat, Offset, is_large_fleet};
use rand::Rng;

use crate::peer_transport::{MAX_MESSAGE_BYTES, PeerReply, PeerRequest, decode, encode};
use crate::planning::PLANNER_DUTY;
use crate::settings::millis;
use crate::shared_state::SharedState;
use crate::state::LogStream;

/// Heartbeats that the planner receives in each round of a large fleet.
const PLANNER_HEARTBEATS_PER_ROUND: usize = 16;

/// Maximum entries in a page of the log that is read for a peer.
const MAX_PAGE_ENTRIES: usize = 500;

/// Accepts connections of other vms until the process ends.
pub async fn listen(shared: Arc<SharedState>) {
    while let Some(incoming) = shared.peer_transport.accept().await {
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            match incoming.await {
                Ok(connection) => serve_connection(shared, connection).await,
                Err(err) => log::debug!("peer: incoming connection failed: {err}"),
            }
        });
    }
}

async fn serve_connection(shared: Arc<SharedState>, connection: quinn::Connection) {
    while let Ok((mut send, mut receive)) = connection.accept_bi().await {
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let Ok(bytes) = receive.read_to_end(MAX_MESSAGE_BYTES).await else {
                return;
            };
            let reply = match decode::<PeerRequest>(&bytes) {
                Ok(request) => handle_request(&shared, request).await,
                Err(err) => PeerReply::Refused(err.to_string()),
            };
            match encode(&reply, reply.is_frequent()) {
                Ok(bytes) => {
                    if send.write_all(&bytes).await.is_err() || send.finish().is_err() {
                        log::debug!("peer: connection closed before the reply was sent");
                    }
                }
                Err(err) => log::error!("peer: reply could not be serialized: {err}"),
            }
        });
    }
}

async fn handle_request(shared: &SharedState, request: PeerRequest) -> PeerReply {
    let now = shared.now();
    match request {
        PeerRequest::Heartbeats(heartbeats) => {
            for (i, heartbeat) in heartbeats
                .into_iter()
                .enumerate()
                .filter(|(_, heartbeat)| heartbeat.vm != shared.me)
            {
                let cold = heartbeat.demand.iter().any(|(_, demand)| demand.waiting > 0);
                if shared.fleet.apply_heartbeat(heartbeat, i > 0, now) && cold {
                    shared.replan.notify_one();
                }
            }
            PeerReply::Accepted
        }
        PeerRequest::RequestLoans { vm, loan_requests } => {
            PeerReply::Loans { loans: shared.quota.lend(&vm, &loan_requests, now) }
        }
        PeerRequest::ReadLog { claims, from } => read_for_peer(shared, claims, from).await,
        PeerRequest::GetSnapshots => {
            let confirmed = shared.log_state.confirmed_at(LogStream::Control);
            let age =
                confirmed.map_or(u64::MAX / 2, |at| now.saturating_sub(at).as_millis() as u64);
            PeerReply::Snapshots {
                control: shared.log_state.snapshot(LogStream::Control),
                claims: shared.log_state.snapshot(LogStream::Claims),
                age,
                heartbeats: shared.fleet.live_heartbeats(now),
            }
        }
    }
}

/// Reads a page of the log for a peer that cannot read the log itself.
async fn read_for_peer(shared: &SharedState, claims: bool, from: Offset) -> PeerReply {
    let stream = if claims { LogStream::Claims } else { LogStream::Control };
    let started = shared.now();
    let page = shared.batcher(stream).client().read(from, Duration::ZERO).await;
    match page {
        Ok(mut page) => {
            page.entries.truncate(MAX_PAGE_ENTRIES);
            let age = shared.now().saturating_sub(started).as_millis() as u64;
            PeerReply::Page { page, age }
        }
        Err(err) => PeerReply::Refused(err.to_string()),
    }
}

/// Sends heartbeats until the process ends.
pub async fn send_heartbeats(shared: Arc<SharedState>) {
    loop {
        let members = shared.log_state.with_control(|state| state.members().len());
        let large = is_large_fleet(members);
        let pause = millis(shared.settings.times.heartbeat_interval) * if large { 2 } else { 1 };
        let urgent = tokio::time::timeout(pause, shared.heartbeat_now.notified()).await.is_ok();
        shared.request_queue.update_mean_running();
        let own = shared.heartbeat(shared.lifecycle.next_heartbeat(), shared.now());
        shared.metrics.record_process_state(&own);
        let (addresses, heartbeats) = recipients(&shared, own, large, urgent);
        for address in addresses {
            let (shared, request) =
                (Arc::clone(&shared), PeerRequest::Heartbeats(heartbeats.clone()));
            tokio::spawn(async move {
                if let Err(err) =
                    shared.peer_transport.call(&shared.metrics, address, &request).await
                {
                    log::debug!("peer: heartbeat to {address} failed: {err}");
                }
            });
        }
    }
}

/// Returns the recipients of the `own` heartbeat, and the heartbeats to send: the own one first,
/// then those to relay.
fn recipients(
    shared: &SharedState,
    own: Heartbeat,
    large: bool,
    urgent: bool,
) -> (Vec<SocketAddr>, Vec<Heartbeat>) {
    let now = shared.now();
    let members = shared.log_state.other_members(&shared.me);
    shared.fleet.retain(&members);
    let mut random = |n: usize| rand::rng().random_range(0..n);
    let (mut targets, mut heartbeats) = shared.fleet.gossip(&members, now, &mut random);
    // In a large fleet the processes take turns to send their demand to the planner, and send it
    // without delay when a request waits for a model that is not loaded.
    let turn = members.len().div_ceil(PLANNER_HEARTBEATS_PER_ROUND) as u64;
    if large && (urgent || own.sequence.is_multiple_of(turn)) {
        targets.extend(shared.fleet.ring(&shared.me, now).owner(PLANNER_DUTY).cloned());
    }
    heartbeats.insert(0, own);
    let addresses = targets.iter().filter_map(|vm| shared.log_state.member(vm));
    (addresses.map(|member| member.peer).collect(), heartbeats)
}
