//! Which requests brittle upstreams are asked to take, across all vms.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use carob_platform::{ResponseKind, server_brittle};
use carobglade::{
    RejectionLimit, RoomEvent, RoomNotice, RoomRequest, RoomTicket, Turn, UpstreamCrash,
    UpstreamEntry, UpstreamName, VmName,
};
use http::HeaderMap;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::datagram;
use crate::edge::Edge;
use crate::quarantine;

/// First byte of a datagram about rooms, which no other message between vms begins with.
pub const ROOM_VERSION: u8 = 66;

/// Label of these datagrams in metrics.
const ROLE: &str = "room";

/// Time within which another vm answers a request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Time without requests after one that was not answered, or while the vms are not known.
const UNKNOWN_WAIT: Duration = Duration::from_millis(300);
/// Part by which the times are spread after which callers come back.
const RETURN_SPREAD: f64 = 0.5;

/// A datagram from one vm to another, after its first byte.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RoomMessage {
    /// Asks to let a request in.
    Request {
        /// Identifies the request at the sender.
        number: u64,
        /// What the sender knows of the upstream.
        room: RoomNotice,
        /// Start of the upstream's run, in Unix milliseconds.
        started_ms: u64,
        /// The ticket that the request gets if it is let in.
        ticket: RoomTicket,
        /// Time after which the request has ended.
        #[serde(deserialize_with = "carobglade::deserialize_told_time")]
        max_time: Duration,
    },
    /// Answers a request.
    Answer {
        /// The number of the request.
        number: u64,
        /// Whether the request is let in.
        turn: Turn,
    },
    /// Tells what became of a request.
    Event {
        /// What the sender knows of the upstream.
        room: RoomNotice,
        /// The ticket of the request, if it has one.
        ticket: Option<RoomTicket>,
        /// What became of it.
        event: RoomEvent,
    },
}

/// A request that was let in, until its end.
pub struct RoomGuard {
    edge: Rc<Edge>,
    name: UpstreamName,
    owner: VmName,
    ticket: RoomTicket,
    ended: Cell<bool>,
}

impl RoomGuard {
    fn new(edge: &Rc<Edge>, name: &UpstreamName, owner: VmName) -> Self {
        let ticket = RoomTicket(rand::rng().random());
        RoomGuard {
            edge: Rc::clone(edge),
            name: name.clone(),
            owner,
            ticket,
            ended: Cell::default(),
        }
    }

    fn record(&self, event: RoomEvent) {
        if event != RoomEvent::Accepted && self.ended.replace(true) {
            return;
        }
        tell(&self.edge, &self.owner, &self.name, Some(self.ticket), event);
    }
}

impl Drop for RoomGuard {
    fn drop(&mut self) {
        self.record(RoomEvent::Ended);
    }
}

fn owner_of(edge: &Edge, name: &UpstreamName) -> VmName {
    edge.hubs.borrow_mut().owner_of(name.as_str(), edge.now())
}

/// Tells the owner of the schedule of an upstream what became of a request.
fn tell(
    edge: &Edge,
    owner: &VmName,
    name: &UpstreamName,
    ticket: Option<RoomTicket>,
    event: RoomEvent,
) {
    let Some(room) = edge.rooms.borrow().notice(name, edge.now()) else {
        return;
    };
    if *owner == edge.vm {
        record_event(edge, name, ticket, event);
    } else {
        send_to_vm(edge, owner, &RoomMessage::Event { room, ticket, event });
    }
}

fn record_event(edge: &Edge, name: &UpstreamName, ticket: Option<RoomTicket>, event: RoomEvent) {
    let mut rooms = edge.rooms.borrow_mut();
    rooms.record_event(name, ticket, event, edge.now());
    if event == RoomEvent::Rejected {
        edge.metrics.record_room_verdict("rejected");
        let (running, room) = rooms.room(name).unwrap_or_default();
        let number = rooms.rejections(name).map(|number| number.to_string()).unwrap_or_default();
        log::info!(target: "rooms", upstream:% = name, rejections = number.as_str(), running = running, room = room; "An upstream had no room for a request.");
    }
}

/// Records whether an upstream says in a response that it is brittle. A number that cannot be read
/// changes nothing.
pub fn read_brittle(edge: &Edge, entry: &UpstreamEntry, headers: &HeaderMap) {
    let rejections = match server_brittle(headers) {
        Ok(rejections) => rejections,
        Err(err) => {
            log::warn!(target: "rooms", upstream:% = entry.name, error:% = err; "What an upstream says of its rejections cannot be read.");
            return;
        }
    };
    let mut rooms = edge.rooms.borrow_mut();
    if rooms.record(&entry.name, entry.started_ms, rejections, edge.now()) {
        drop(rooms);
        report_change(edge, &entry.name, rejections, "upstream");
    }
}

fn report_change(
    edge: &Edge,
    name: &UpstreamName,
    rejections: Option<RejectionLimit>,
    source: &str,
) {
    edge.metrics.record_room_verdict(if rejections.is_some() { "brittle" } else { "sound" });
    let number = rejections.map(|number| number.to_string()).unwrap_or_default();
    log::info!(target: "rooms", upstream:% = name, rejections = number.as_str(), source = source; "An upstream changed whether it is brittle.");
    edge.gossip_wakeup.notify_one();
    edge.capacity_changed.notify_waiters();
}

/// Applies what another vm told of brittle upstreams.
pub fn apply_notices(edge: &Rc<Edge>, notices: &[RoomNotice]) {
    for notice in notices {
        record_rejecting(edge, notice);
        if edge.rooms.borrow_mut().apply(notice, edge.now()) {
            report_change(edge, &notice.upstream, notice.rejections, "vm");
        }
    }
}

/// Records when the run of an upstream last rejected a request, as far as a vm knows.
fn record_rejecting(edge: &Rc<Edge>, notice: &RoomNotice) {
    if let Some(age) = notice.rejected_age {
        let (upstream, started_ms) = (notice.upstream.clone(), notice.started_ms);
        let at = edge.now().saturating_sub(age);
        quarantine::record_rejection(edge, &UpstreamCrash { upstream, started_ms }, at);
    }
}

/// Takes upstreams that have said nothing for as brittle as the others of `entries`.
pub fn presume_brittle(edge: &Edge, entries: &[UpstreamEntry]) {
    let mut rooms = edge.rooms.borrow_mut();
    let named = entries.iter().filter_map(|entry| rooms.rejections(&entry.name)).min();
    for entry in named.iter().flat_map(|_| entries) {
        rooms.presume(&entry.name, entry.started_ms, named.unwrap_or_default(), edge.now());
    }
}

/// Returns after which time a caller may come back for whom an upstream has no room, as far as this
/// vm knows; none if the upstream may be asked.
pub fn known_wait(edge: &Edge, name: &UpstreamName) -> Option<Duration> {
    let wait = edge.rooms.borrow().known_wait(name, edge.now())?;
    Some(spread(wait))
}

fn spread(wait: Duration) -> Duration {
    wait.mul_f64(1.0 + RETURN_SPREAD * rand::rng().random::<f64>())
}

/// Lets a request in that takes `max_time` at most.
///
/// # Errors
///
/// Returns the time after which the caller may come back when there is no room.
pub async fn enter(
    edge: &Rc<Edge>,
    entry: &UpstreamEntry,
    max_time: Duration,
) -> Result<Option<Rc<RoomGuard>>, Duration> {
    let Some(room) = edge.rooms.borrow().notice(&entry.name, edge.now()) else {
        return Ok(None);
    };
    let guard = RoomGuard::new(edge, &entry.name, owner_of(edge, &entry.name));
    match request_turn(edge, &guard, room, entry.started_ms, max_time).await {
        Turn::After(_) => Ok(Some(Rc::new(guard))),
        Turn::Refused(wait) => {
            let (now, share) = (edge.now(), rand::rng().random::<f64>());
            edge.rooms.borrow_mut().record_refusal(&entry.name, wait, share, now);
            edge.metrics.record_room_refusal();
            log::debug!(target: "rooms", upstream:% = entry.name, wait = wait.as_millis() as u64; "An upstream has no room for a request.");
            Err(wait)
        }
    }
}

async fn request_turn(
    edge: &Rc<Edge>,
    guard: &RoomGuard,
    room: RoomNotice,
    started_ms: u64,
    max_time: Duration,
) -> Turn {
    if !edge.view.borrow().vms_known {
        guard.ended.set(true);
        return Turn::Refused(UNKNOWN_WAIT);
    }
    let (owner, ticket) = (&guard.owner, guard.ticket);
    if *owner == edge.vm {
        let turn = take_turn(edge, &guard.name, started_ms, ticket, max_time);
        guard.ended.set(matches!(turn, Turn::Refused(_)));
        return turn;
    }
    let (number, answer) = edge.turn_requests.open();
    edge.hubs.borrow_mut().record_request(owner, edge.now());
    send_to_vm(edge, owner, &RoomMessage::Request { number, room, started_ms, ticket, max_time });
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
    edge.turn_requests.close(number);
    match answer {
        Ok(Ok(turn)) => {
            edge.hubs.borrow_mut().record_response(owner);
            guard.ended.set(matches!(turn, Turn::Refused(_)));
            turn
        }
        _ => {
            log::debug!(target: "rooms", upstream:% = guard.name, vm:% = owner; "A request to be let in was not answered.");
            Turn::Refused(UNKNOWN_WAIT)
        }
    }
}

/// Lets a request in or not, as the owner of the schedule.
fn take_turn(
    edge: &Edge,
    name: &UpstreamName,
    started_ms: u64,
    ticket: RoomTicket,
    max_time: Duration,
) -> Turn {
    let now = edge.now();
    let reported = edge.loads.borrow().total_load(name, now).running;
    let request = RoomRequest { started_ms, ticket, max_time, reported };
    edge.rooms.borrow_mut().take_turn(name, request, now)
}

/// Records what the head of a response tells of the room of a brittle upstream. `guard` is that of a
/// request that was let in.
pub fn record_head(
    edge: &Rc<Edge>,
    entry: &UpstreamEntry,
    guard: Option<&RoomGuard>,
    status: u16,
    kind: ResponseKind,
) {
    let name = &entry.name;
    let rejected = status == 503 && kind == ResponseKind::NotExecuted;
    if rejected {
        let now = edge.now();
        edge.rooms.borrow_mut().record_rejection(name, entry.started_ms, now);
        let notice = edge.rooms.borrow().notice(name, now);
        notice.iter().for_each(|notice| record_rejecting(edge, notice));
    }
    match guard {
        Some(guard) => {
            guard.record(if rejected { RoomEvent::Rejected } else { RoomEvent::Accepted });
        }
        None if rejected => tell(edge, &owner_of(edge, name), name, None, RoomEvent::Rejected),
        None => {}
    }
}

/// Records whether an upstream had no room for an order, or for the request for a report.
pub fn record_unticketed(edge: &Rc<Edge>, entry: &UpstreamEntry, status: u16, headers: &HeaderMap) {
    let kind = ResponseKind::of_call(status, headers);
    record_head(edge, entry, None, status, kind);
}

/// Returns the brittle upstreams of `service`.
pub fn brittle_upstreams(edge: &Edge, service: &str) -> Vec<UpstreamName> {
    let rooms = edge.rooms.borrow();
    if rooms.is_empty() {
        return Vec::new();
    }
    let view = edge.view.borrow();
    let names = view.upstreams.accepting(service).map(|entry| entry.name.clone());
    names.filter(|name| rooms.rejections(name).is_some()).collect()
}

/// Returns the time after which a caller may come back whom a brittle upstream rejected.
pub fn rejected_retry_after() -> Duration {
    spread(UNKNOWN_WAIT * 2)
}

fn send_to_vm(edge: &Edge, vm: &VmName, message: &RoomMessage) {
    let address = edge.view.borrow().peers.get(vm).map(|peer| peer.address);
    if let Some(address) = address {
        send(edge, address, message);
    }
}

fn send(edge: &Edge, address: SocketAddr, message: &RoomMessage) {
    datagram::send(edge, address, ROOM_VERSION, ROLE, message);
}

/// Handles a datagram about rooms without its first byte.
pub fn handle_datagram(edge: &Rc<Edge>, bytes: &[u8], from: SocketAddr) {
    let message = match datagram::decode(bytes) {
        Ok(message) => message,
        Err(err) => {
            edge.report_undecoded(ROLE, &from.to_string(), &err);
            return;
        }
    };
    match message {
        RoomMessage::Request { number, room, started_ms, ticket, max_time } => {
            apply_notices(edge, std::slice::from_ref(&room));
            let turn = take_turn(edge, &room.upstream, started_ms, ticket, max_time);
            send(edge, from, &RoomMessage::Answer { number, turn });
        }
        RoomMessage::Answer { number, turn } => edge.turn_requests.answer(number, turn),
        RoomMessage::Event { room, ticket, event } => {
            apply_notices(edge, std::slice::from_ref(&room));
            record_event(edge, &room.upstream, ticket, event);
        }
    }
}
