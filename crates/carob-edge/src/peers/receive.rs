//! Receives messages from other vms and applies them to the state of the process.

use std::net::SocketAddr;
use std::rc::Rc;

use carobglade::{GossipSource, name_hash};
use tokio::net::UdpSocket;

use super::message::{Decoded, Message, VERSION};
use super::sender_role::SenderRole;
use super::wire_work::WireWork;
use super::{MAX_MESSAGE_BYTES, MIN_SEND_INTERVAL, send_to};
use crate::duty_claims::{self, CLAIM_VERSION};
use crate::edge::Edge;
use crate::event_ids::{self, IDS_VERSION};
use crate::leaving;
use crate::origin_message::ORIGIN_VERSION;
use crate::origins;
use crate::quarantine;
use crate::rooms::{self, ROOM_VERSION};
use crate::turns::{self, TURN_VERSION};
use crate::view::PeerVm;

/// Label of messages that cannot be decoded in metrics.
const MESSAGE_ROLE: &str = "message";
/// Label of datagrams of an unknown kind.
const KIND_ROLE: &str = "kind";
/// Label of parts that follow a message and cannot be decoded.
const PART_ROLE: &str = "message_part";

/// Receives messages until the task is dropped.
pub async fn listen(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_MESSAGE_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) if buf[..len].starts_with(&[TURN_VERSION]) => {
                turns::handle_datagram(&edge, &buf[1..len], from);
            }
            Ok((len, from)) if buf[..len].starts_with(&[ROOM_VERSION]) => {
                rooms::handle_datagram(&edge, &buf[1..len], from);
            }
            Ok((len, from)) if buf[..len].starts_with(&[ORIGIN_VERSION]) => {
                origins::handle_datagram(&edge, &buf[1..len], from);
            }
            Ok((len, from)) if buf[..len].starts_with(&[IDS_VERSION]) => {
                event_ids::handle_datagram(&edge, &buf[1..len], from);
            }
            Ok((len, from)) if buf[..len].starts_with(&[CLAIM_VERSION]) => {
                duty_claims::handle_datagram(&edge, &buf[1..len], from);
            }
            Ok((len, from)) if buf[..len].starts_with(&[VERSION]) => {
                handle_datagram(&edge, &socket, &buf[..len], from);
            }
            Ok((len, from)) => {
                let kind = buf[..len].first().copied().unwrap_or_default();
                edge.report_undecoded(KIND_ROLE, &from.to_string(), &format!("kind {kind}"));
            }
            Err(err) => {
                log::debug!(target: "peers", error:% = err; "Receiving a peer message failed.");
                tokio::time::sleep(MIN_SEND_INTERVAL).await;
            }
        }
    }
}

fn handle_datagram(edge: &Rc<Edge>, socket: &UdpSocket, bytes: &[u8], from: SocketAddr) {
    let Decoded { mut message, lost } = match Message::decode(bytes) {
        Ok(decoded) => decoded,
        Err(err) => {
            edge.report_undecoded(MESSAGE_ROLE, &from.to_string(), &err);
            return;
        }
    };
    if message.vm == edge.vm {
        return;
    }
    if let Some(err) = lost {
        edge.report_undecoded(PART_ROLE, &from.to_string(), &err);
    }
    record_sender(edge, &message, from);
    apply_usage(edge, &mut message);
    if matches!(message.sender, SenderRole::HubTokens | SenderRole::DigestTokens) {
        return;
    }
    apply_readings(edge, &message);
    if message.sender == SenderRole::Readings {
        return;
    }
    apply_loads(edge, &message);
    respond(edge, socket, &message);
    apply_placement(edge, message);
}

fn record_sender(edge: &Edge, message: &Message, from: SocketAddr) {
    let now = edge.now();
    let mut hubs = edge.hubs.borrow_mut();
    let mut view = edge.view.borrow_mut();
    if message.leaving {
        view.peers.remove(&message.vm);
        hubs.remove(&message.vm);
        return;
    }
    view.peers.entry(message.vm.clone()).or_insert(PeerVm { address: from, token: None });
    hubs.record_contact(&message.vm, now);
    match message.sender {
        SenderRole::Member => hubs.record_report(&message.vm, now),
        SenderRole::Hub | SenderRole::Digest => hubs.record_response(&message.vm),
        SenderRole::Readings if message.is_fresh(now) => hubs.record_response(&message.vm),
        _ => {}
    }
}

/// Applies usage reports; each counts for the vm that wrote it, also when a hub relayed it. A hub
/// keeps the reports of its members for all vms, and those of other hubs for its members.
fn apply_usage(edge: &Edge, message: &mut Message) {
    let now = edge.now();
    let reports = message.take_reports().into_iter();
    for report in reports.filter(|report| report.vm != edge.vm) {
        let reporter = report.reporter;
        edge.rate_limiter.borrow_mut().apply_report(
            &report.vm,
            report.incarnation,
            &report.usage,
            reporter,
            now,
        );
        match report.leaving {
            true => edge.hubs.borrow_mut().remove(&report.vm),
            false => edge.hubs.borrow_mut().record_contact(&report.vm, now),
        }
        match message.sender {
            SenderRole::Member => edge.usage_relay.borrow_mut().relay_to_all(report),
            SenderRole::HubTokens => edge.usage_relay.borrow_mut().relay_to_members(report),
            _ => continue,
        }
        edge.relay_wakeup.notify_one();
    }
}

fn apply_loads(edge: &Rc<Edge>, message: &Message) {
    let now = edge.now();
    edge.loads.borrow_mut().apply_report(&message.vm, message.incarnation, message.loads(), now);
    let demand = message.demand.iter().copied().collect();
    edge.demand.borrow_mut().apply_report(&message.vm, demand, now);
    turns::apply_notices(edge, &message.limits);
    leaving::apply_notices(edge, &message.leaving_upstreams);
    // A crash is judged by what its upstream rejected before.
    rooms::apply_notices(edge, &message.rooms);
    if let Some(claim) = &message.duties {
        duty_claims::apply(edge, &message.vm, claim);
    }
    if let Some(work) = &message.work {
        edge.work.borrow_mut().apply_report(&message.vm, work.into(), edge.now());
    }
    quarantine::apply_report(edge, &message.quarantine);
    quarantine::apply_suspects(edge, &message.suspects);
}

fn apply_readings(edge: &Edge, message: &Message) {
    let is_response = matches!(message.sender, SenderRole::Digest | SenderRole::Readings);
    let now = edge.now();
    // A reading that was asked for later than now would count as fresh for good.
    let request_time = message.request_time.filter(|at| is_response && *at <= now);
    let Some(request_time) = request_time else {
        return;
    };
    let mut view = edge.view.borrow_mut();
    let changes = message.changes();
    for (topic, era, wire) in message.known_readings() {
        view.accept_reading(topic, wire.reading(era, request_time), &changes);
    }
}

/// Responds to a member's report with a digest, to a message that names this vm as responder with
/// its reads of the log, and to the sums of a hub with the sums of this vm, unless this vm sends
/// them to that hub anyway. A response gets no response.
fn respond(edge: &Edge, socket: &UdpSocket, message: &Message) {
    match message.sender {
        SenderRole::Member => {
            let work = message.work.as_ref().map(|_| WireWork::for_member(edge, &message.vm));
            let digest = Message::digest(edge, &message.vm, message.request_time, message.since);
            send_to(edge, socket, &message.vm, &digest.with_work(work));
        }
        SenderRole::Peer if message.responder == Some(name_hash(edge.vm.as_str())) => {
            let readings = Message::readings(edge, message.request_time, message.since);
            send_to(edge, socket, &message.vm, &readings);
        }
        SenderRole::Hub if message.request_time.is_some() => {
            let now = edge.now();
            let mut hubs = edge.hubs.borrow_mut();
            let hub = hubs
                .data_centre_of(&message.vm)
                .and_then(|data_centre| hubs.hub_of(&data_centre, now));
            let already_sent = hubs.is_hub(now) && hub.as_ref() == Some(&message.vm);
            drop(hubs);
            if !already_sent {
                let sums = Message::new(edge, SenderRole::Hub).without_request();
                send_to(edge, socket, &message.vm, &sums);
            }
        }
        _ => {}
    }
}

fn apply_placement(edge: &Edge, message: Message) {
    let now = edge.now();
    let source = match message.sender {
        SenderRole::Member => GossipSource::Member,
        SenderRole::Hub => GossipSource::Hub,
        _ => GossipSource::Peer,
    };
    let mut placement = edge.placement.borrow_mut();
    placement.apply_uses(message.used, source, now);
    let mut adapter_wanted = false;
    for name in message.adapter_requests {
        adapter_wanted |= placement.record_adapter_request(name, source, now);
    }
    let mut placement_changed = false;
    for update in message.updates {
        placement_changed |= placement.apply_update(update, source, now);
    }
    drop(placement);
    if adapter_wanted {
        edge.planner_wakeup.notify_one();
    }
    if placement_changed {
        edge.capacity_changed.notify_waiters();
    }
    if (adapter_wanted || placement_changed) && source != GossipSource::Peer {
        edge.gossip_wakeup.notify_one();
    }
}
