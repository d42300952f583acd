//! Messages between vms: loads, token usage, demand and adapters, over UDP. No message depends on
//! an earlier one, so a lost message only delays the update until the next one.
//!
//! In a small fleet every vm sends its own state to every other vm. In a large fleet every vm
//! reports to the hub of its data centre. The hub responds with the sums of all data centres, and
//! relays the usage reports of single vms and urgent news.

mod message;
mod receive;
mod sender_role;
mod wire_number;
mod wire_work;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use carobglade::{GossipScope, UsageReport, VmName};
use eyre::Result;
use tokio::net::UdpSocket;

use crate::edge::Edge;
use crate::send_interval;
use crate::view::PeerVm;

use message::own_usage_report;
pub use message::{
    Decoded, Extension, Message, OwnUsage, WireLoad, WireProgress, WireReading, WireUsageReport,
};
pub use receive::listen;
pub use sender_role::SenderRole;
pub use wire_number::{UnknownNumber, WireReporter, WireTopic};
pub use wire_work::{WireTimes, WireWork};

/// Minimum interval between two messages.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which every message repeats a placement update.
const UPDATE_REPEAT_TIME: Duration = Duration::from_millis(450);
/// Interval between two usage reports in a fleet with hubs.
const USAGE_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between two reports of the work of requests, and the part of it for each vm of a large
/// fleet, in which a hub answers many.
const WORK_INTERVAL: Duration = Duration::from_secs(2);
const WORK_INTERVAL_PER_VM: Duration = Duration::from_millis(20);
/// Time for which a hub batches usage reports.
const RELAY_INTERVAL: Duration = Duration::from_millis(120);
const MAX_MESSAGE_BYTES: usize = 48 << 10;

/// Binds the socket for messages.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub async fn open(edge: &Edge) -> Result<Rc<UdpSocket>> {
    let socket = Rc::new(UdpSocket::bind(edge.settings.peer_address()).await?);
    let _ = edge.peer_socket.set(Rc::clone(&socket));
    Ok(socket)
}

/// Sends the state of this vm to other vms periodically, and at once when there is news.
pub async fn run_sender(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let mut reported_at = Duration::ZERO;
    let mut work_told_at = Duration::ZERO;
    loop {
        let uses_hubs = edge.hubs.borrow().uses_hubs();
        let news =
            tokio::time::timeout(send_interval::longest(&edge), edge.gossip_wakeup.notified());
        if news.await.is_ok() {
            tokio::time::sleep(MIN_SEND_INTERVAL).await;
        }
        let work_interval = WORK_INTERVAL.max(WORK_INTERVAL_PER_VM * edge.fleet_size() as u32);
        let tells_work = edge.now().saturating_sub(work_told_at) >= work_interval;
        if tells_work {
            work_told_at = edge.now();
        }
        if !uses_hubs {
            send_to_peers(&edge, &socket, tells_work);
            continue;
        }
        let urgent = edge.rate_limiter.borrow().is_report_due();
        let due = urgent || edge.now().saturating_sub(reported_at) >= USAGE_INTERVAL;
        if due {
            reported_at = edge.now();
        }
        send_through_hubs(&edge, &socket, due.then(|| own_usage_report(&edge)), tells_work);
    }
}

fn send_to_peers(edge: &Edge, socket: &UdpSocket, tells_work: bool) {
    let responder = edge.hubs.borrow_mut().log_reader(edge.now());
    edge.hubs.borrow_mut().record_request(&responder, edge.now());
    let message = Message::new(edge, SenderRole::Peer).with_own_usage(Some(own_usage_report(edge)));
    let work = tells_work.then(|| WireWork::new(edge, SenderRole::Peer));
    let message = message.with_responder(&responder).with_work(work);
    let peers: BTreeMap<VmName, PeerVm> = edge.view.borrow().peers.clone();
    let Some(bytes) = encode(&message) else {
        return;
    };
    for peer in peers.values() {
        send_datagram(edge, socket, message.sender, &bytes, peer);
    }
}

/// Sends the report of a member to its hub. A hub instead sends its sums to the hubs of the other
/// data centres, and a digest to its members when there is urgent news.
fn send_through_hubs(
    edge: &Edge,
    socket: &UdpSocket,
    report: Option<UsageReport>,
    tells_work: bool,
) {
    let now = edge.now();
    if !edge.hubs.borrow_mut().is_hub(now) {
        let data_centre = edge.hubs.borrow().profile().data_centre.clone();
        let hub = edge.hubs.borrow_mut().hub_of(&data_centre, now);
        let work = tells_work.then(|| WireWork::new(edge, SenderRole::Member));
        let message = Message::new(edge, SenderRole::Member).with_own_usage(report).with_work(work);
        hub.iter().for_each(|hub| send_request(edge, socket, hub, &message));
        return;
    }
    if let Some(report) = report {
        edge.usage_relay.borrow_mut().relay_to_all(report);
        edge.relay_wakeup.notify_one();
    }
    let work = tells_work.then(|| WireWork::new(edge, SenderRole::Hub));
    let sums = Message::new(edge, SenderRole::Hub).with_work(work);
    let hubs = other_hubs(edge);
    hubs.iter().for_each(|hub| edge.hubs.borrow_mut().record_request(hub, now));
    send_to_each(edge, socket, &hubs, &sums);
    if edge.placement.borrow().has_updates(GossipScope::Members, now, MIN_SEND_INTERVAL * 2) {
        let members = edge.hubs.borrow().members(now);
        members.iter().for_each(|vm| send_digest(edge, socket, vm, None, u64::MAX));
    }
}

fn other_hubs(edge: &Edge) -> Vec<VmName> {
    let now = edge.now();
    let mut hubs = edge.hubs.borrow_mut();
    let data_centres = hubs.other_data_centres();
    data_centres.iter().filter_map(|data_centre| hubs.hub_of(data_centre, now)).collect()
}

/// Relays usage reports to other hubs and to members, when this vm is a hub.
pub async fn relay_usage(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    loop {
        edge.relay_wakeup.notified().await;
        tokio::time::sleep(RELAY_INTERVAL).await;
        let (hubs, members) = edge.usage_relay.borrow_mut().take();
        if !hubs.is_empty() {
            let message = Message::new(&edge, SenderRole::HubTokens).with_relayed_usage(hubs);
            send_to_each(&edge, &socket, &other_hubs(&edge), &message);
        }
        if !members.is_empty() {
            let message = Message::new(&edge, SenderRole::DigestTokens).with_relayed_usage(members);
            let to: Vec<VmName> = edge.hubs.borrow().members(edge.now()).into_iter().collect();
            send_to_each(&edge, &socket, &to, &message);
        }
    }
}

fn send_request(edge: &Edge, socket: &UdpSocket, vm: &VmName, message: &Message) {
    edge.hubs.borrow_mut().record_request(vm, edge.now());
    send_to(edge, socket, vm, message);
}

/// Sends a digest to a member, in response to a report that the member sent at `request_time`. The
/// member knows the upstream list up to the offset `from`.
fn send_digest(
    edge: &Edge,
    socket: &UdpSocket,
    vm: &VmName,
    request_time: Option<Duration>,
    from: u64,
) {
    send_to(edge, socket, vm, &Message::digest(edge, vm, request_time, from));
}

fn send_to(edge: &Edge, socket: &UdpSocket, vm: &VmName, message: &Message) {
    send_to_each(edge, socket, std::slice::from_ref(vm), message);
}

fn send_to_each(edge: &Edge, socket: &UdpSocket, vms: &[VmName], message: &Message) {
    let Some(bytes) = encode(message) else {
        return;
    };
    let view = edge.view.borrow();
    for peer in vms.iter().filter_map(|vm| view.peers.get(vm)) {
        send_datagram(edge, socket, message.sender, &bytes, peer);
    }
}

fn encode(message: &Message) -> Option<Vec<u8>> {
    match message.encode() {
        Ok(bytes) if bytes.len() <= MAX_MESSAGE_BYTES => Some(bytes),
        Ok(bytes) => {
            log::warn!(target: "peers", bytes = bytes.len(); "Peer message exceeds the size limit and was not sent.");
            None
        }
        Err(err) => {
            log::error!(target: "peers", error:% = err; "Peer message cannot be encoded.");
            None
        }
    }
}

fn send_datagram(edge: &Edge, socket: &UdpSocket, sender: SenderRole, bytes: &[u8], peer: &PeerVm) {
    edge.metrics.record_message(sender.as_str(), bytes.len());
    // A message that the socket does not accept at once is treated like one lost on the network.
    if let Err(err) = socket.try_send_to(bytes, peer.address) {
        log::debug!(target: "peers", to:% = peer.address, error:% = err; "Sending a peer message failed.");
    }
}
