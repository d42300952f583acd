//! Answers other vms, and tells them of this one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use carobglade::{Heartbeat, Offset, is_large_fleet};
use rand::Rng;

use crate::core::Core;
use crate::links::{MESSAGE_MAX, PeerReply, PeerRequest, decode, encode};
use crate::parts::Stream;
use crate::planning::PLANNER;
use crate::settings::millis;

const PAGE_MAX: usize = 500; // entries read through a peer at once

/// Answers other vms until the process ends.
pub async fn listen(core: Arc<Core>) {
    while let Some(incoming) = core.links.accept().await {
        let core = Arc::clone(&core);
        tokio::spawn(async move {
            match incoming.await {
                Ok(connection) => serve_connection(core, connection).await,
                Err(err) => log::debug!("peer: A connection was refused: {err}."),
            }
        });
    }
}

async fn serve_connection(core: Arc<Core>, connection: quinn::Connection) {
    while let Ok((mut send, mut receive)) = connection.accept_bi().await {
        let core = Arc::clone(&core);
        tokio::spawn(async move {
            let Ok(bytes) = receive.read_to_end(MESSAGE_MAX).await else {
                return;
            };
            let reply = match decode::<PeerRequest>(&bytes) {
                Ok(request) => answer(&core, request).await,
                Err(err) => PeerReply::Refused(err.to_string()),
            };
            match encode(&reply, reply.is_frequent()) {
                Ok(bytes) => {
                    if send.write_all(&bytes).await.is_err() || send.finish().is_err() {
                        log::debug!("peer: The sender of a message left before its answer.");
                    }
                }
                Err(err) => log::error!("peer: An answer cannot be written: {err}."),
            }
        });
    }
}

async fn answer(core: &Core, request: PeerRequest) -> PeerReply {
    let now = core.now();
    match request {
        PeerRequest::Beats(beats) => {
            for (i, beat) in beats.into_iter().enumerate().filter(|(_, beat)| beat.vm != core.me) {
                let cold = beat.demand.iter().any(|(_, demand)| demand.waiting > 0);
                if core.neighbours.hear(beat, i > 0, now) && cold {
                    core.planning.notify_one();
                }
            }
            PeerReply::Taken
        }
        PeerRequest::Ask { vm, asks } => {
            PeerReply::Lent { loans: core.holdings.lend(&vm, &asks, now) }
        }
        PeerRequest::Read { claims, from } => read_for_peer(core, claims, from).await,
        PeerRequest::State => {
            let confirmed = core.streams.confirmed(Stream::Control);
            let age =
                confirmed.map_or(u64::MAX / 2, |at| now.saturating_sub(at).as_millis() as u64);
            PeerReply::State {
                control: core.streams.snapshot(Stream::Control),
                claims: core.streams.snapshot(Stream::Claims),
                age,
                beats: core.neighbours.living(now),
            }
        }
    }
}

async fn read_for_peer(core: &Core, claims: bool, from: Offset) -> PeerReply {
    let stream = if claims { Stream::Claims } else { Stream::Control };
    let started = core.now();
    let page = core.batcher(stream).client().read(from, Duration::ZERO).await;
    match page {
        Ok(mut page) => {
            page.entries.truncate(PAGE_MAX);
            let age = core.now().saturating_sub(started).as_millis() as u64;
            PeerReply::Page { page, age }
        }
        Err(err) => PeerReply::Refused(err.to_string()),
    }
}

/// Sends heartbeats until the process ends.
pub async fn beat(core: Arc<Core>) {
    loop {
        let members = core.streams.control(|state| state.members().len());
        let large = is_large_fleet(members);
        let pause = millis(core.settings.times.heartbeat) * if large { 2 } else { 1 };
        let urgent = tokio::time::timeout(pause, core.urgent.notified()).await.is_ok();
        core.waiting.update_means();
        let own = core.heartbeat(core.life.next_beat(), core.now());
        core.metrics.state(&own);
        let (addresses, beats) = recipients(&core, own, large, urgent);
        for address in addresses {
            let (core, request) = (Arc::clone(&core), PeerRequest::Beats(beats.clone()));
            tokio::spawn(async move {
                if let Err(err) = core.links.call(&core.metrics, address, &request).await {
                    log::debug!("peer: Heartbeat to {address} failed: {err}.");
                }
            });
        }
    }
}

/// Whom to send the `own` heartbeat, with those that are passed on.
fn recipients(
    core: &Core,
    own: Heartbeat,
    large: bool,
    urgent: bool,
) -> (Vec<SocketAddr>, Vec<Heartbeat>) {
    let now = core.now();
    let members = core.streams.others(&core.me);
    core.neighbours.retain(&members);
    let mut random = |n: usize| rand::rng().random_range(0..n);
    let (mut targets, mut beats) = core.neighbours.gossip(&members, now, &mut random);
    // In a large fleet the planner hears of demand in turn, and at once when one waits.
    let turn = members.len().div_ceil(PLANNER_EACH) as u64;
    if large && (urgent || own.count.is_multiple_of(turn)) {
        targets.extend(core.neighbours.ring(&core.me, now).owner(PLANNER).cloned());
    }
    beats.insert(0, own);
    let addresses = targets.iter().filter_map(|vm| core.streams.member(vm));
    (addresses.map(|member| member.peer).collect(), beats)
}

const PLANNER_EACH: usize = 16; // heartbeats to the planner in each round of a large fleet
