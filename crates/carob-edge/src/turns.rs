//! Turns of requests at upstreams that name a limit, across all vms.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use carob_platform::server_limit;
use carobglade::{
    ColdLimit, DataCentre, LimitNotice, RequestRate, Turn, UpstreamEntry, UpstreamName, VmName,
};
use http::HeaderMap;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::datagram;
use crate::edge::Edge;
use crate::leaving;
use crate::rooms;

/// First byte of a datagram about turns, which no other message between vms begins with.
pub const TURN_VERSION: u8 = 64;

/// Label of these datagrams in metrics.
const ROLE: &str = "turn";

/// Time within which another vm answers a request for a turn.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Time without turns after a request for one that was not answered, or while the vms are not known.
const UNKNOWN_TURN_WAIT: Duration = Duration::from_millis(300);
/// Intervals between turns, for each vm of the fleet, within which vms ask again.
const SPREAD_FACTOR: f64 = 0.25;

/// A datagram from one vm to another, after its first byte.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TurnMessage {
    /// Asks for a turn of a request that can wait for `max_wait`.
    Request {
        /// Identifies the request at the sender.
        number: u64,
        /// What the sender knows of the limit.
        limit: LimitNotice,
        /// Time for which the request can wait.
        #[serde(deserialize_with = "carobglade::deserialize_told_time")]
        max_wait: Duration,
    },
    /// Answers a request.
    Answer {
        /// The number of the request.
        number: u64,
        /// Whether and when the request may be sent.
        turn: Turn,
    },
    /// Tells of a request that needed no turn.
    Sent {
        /// What the sender knows of the limit.
        limit: LimitNotice,
    },
}

/// Records the limit that an upstream names in a response, or that it names none, whether it is
/// brittle, and whether it is leaving. What cannot be read changes nothing.
pub fn read_limit(edge: &Edge, entry: &UpstreamEntry, headers: &HeaderMap) -> Option<RequestRate> {
    rooms::read_brittle(edge, entry, headers);
    leaving::read(edge, entry, headers);
    let rate = match server_limit(headers) {
        Ok(rate) => rate,
        Err(err) => {
            log::warn!(target: "limits", upstream:% = entry.name, error:% = err; "The limit of an upstream cannot be read.");
            return None;
        }
    };
    if edge.limits.borrow_mut().record(&entry.name, entry.started_ms, rate, edge.now()) {
        report_change(edge, &entry.name, rate, "upstream");
    }
    rate
}

/// Records that an upstream is cold for `time` longer; nothing changes if its service takes it for
/// warm at once.
pub fn record_cold(edge: &Edge, entry: &UpstreamEntry, time: Duration) {
    let config = edge.config();
    let service = config.as_ref().and_then(|config| config.services.get(&entry.service));
    let Some(rate) = service.and_then(|service| service.cold_rate) else {
        return;
    };
    let cold = ColdLimit { rate, until: edge.now() + time };
    let mut limits = edge.limits.borrow_mut();
    if limits.record_cold(&entry.name, entry.started_ms, cold, edge.now()) {
        drop(limits);
        report_change(edge, &entry.name, Some(rate), "cold");
    }
}

/// Records that the upstreams of data centres whose evacuation ended come back cold.
pub fn record_return(edge: &Edge, data_centres: &BTreeSet<DataCentre>) {
    let Some(config) = edge.config() else {
        return;
    };
    let view = edge.view.borrow();
    let back: Vec<UpstreamEntry> = view
        .upstreams
        .entries()
        .filter(|entry| data_centres.contains(&entry.data_centre))
        .cloned()
        .collect();
    drop(view);
    for entry in &back {
        let service = config.services.get(&entry.service);
        record_cold(edge, entry, service.map_or(Duration::ZERO, |service| service.cold_time));
    }
}

fn report_change(edge: &Edge, name: &UpstreamName, rate: Option<RequestRate>, source: &str) {
    let limit = rate.map(|rate| rate.to_string()).unwrap_or_default();
    log::info!(target: "limits", upstream:% = name, limit = limit.as_str(), source = source; "The limit of an upstream changed.");
    edge.gossip_wakeup.notify_one();
    edge.capacity_changed.notify_waiters();
}

/// Applies what another vm told of limits.
pub fn apply_notices(edge: &Edge, notices: &[LimitNotice]) {
    for notice in notices {
        if edge.limits.borrow_mut().apply(notice, edge.now()) {
            report_change(edge, &notice.upstream, notice.rate, "vm");
        }
    }
}

/// Returns the upstreams that may have a turn for a request that can wait for `max_wait`, and the
/// time until the next turn of the others.
pub fn open_upstreams(
    edge: &Edge,
    mut entries: Vec<UpstreamEntry>,
    max_wait: Duration,
) -> (Vec<UpstreamEntry>, Option<Duration>) {
    rooms::presume_brittle(edge, &entries);
    let (limits, now) = (edge.limits.borrow(), edge.now());
    let known_wait = |name: &UpstreamName| {
        limits.known_wait(name, max_wait, now).max(rooms::known_wait(edge, name))
    };
    let mut next_turn: Option<Duration> = None;
    entries.retain(|entry| match known_wait(&entry.name) {
        None => true,
        Some(wait) => {
            next_turn = Some(next_turn.map_or(wait, |next| next.min(wait)));
            false
        }
    });
    (entries, next_turn)
}

/// Reports whether one of `entries` names no limit.
pub fn has_unlimited(edge: &Edge, entries: &[UpstreamEntry]) -> bool {
    let (limits, now) = (edge.limits.borrow(), edge.now());
    entries.iter().any(|entry| limits.rate(&entry.name, now).is_none())
}

/// Waits for the turn of a request that can wait for `max_wait`; returns whether it has one.
pub async fn wait_for_turn(edge: &Rc<Edge>, entry: &UpstreamEntry, max_wait: Duration) -> bool {
    match request_turn(edge, &entry.name, max_wait).await {
        Turn::After(wait) => {
            if !wait.is_zero() {
                tokio::time::sleep(wait).await;
            }
            true
        }
        Turn::Refused(wait) => {
            let spread = rand::rng().random::<f64>() * edge.fleet_size() as f64 * SPREAD_FACTOR;
            edge.limits.borrow_mut().record_refusal(&entry.name, wait, spread, edge.now());
            if wait <= max_wait {
                // The owner of the schedule is not known yet; it may be after this time.
                tokio::time::sleep(wait).await;
            }
            false
        }
    }
}

async fn request_turn(edge: &Rc<Edge>, name: &UpstreamName, max_wait: Duration) -> Turn {
    let now = edge.now();
    let Some(limit) = edge.limits.borrow().notice(name, now) else {
        return Turn::After(Duration::ZERO);
    };
    if !edge.view.borrow().vms_known {
        return Turn::Refused(UNKNOWN_TURN_WAIT);
    }
    let owner = edge.hubs.borrow_mut().owner_of(name.as_str(), now);
    if owner == edge.vm {
        return edge.limits.borrow_mut().take_turn(name, max_wait, now);
    }
    let (number, answer) = edge.turn_requests.open();
    edge.hubs.borrow_mut().record_request(&owner, now);
    send_to_vm(edge, &owner, &TurnMessage::Request { number, limit, max_wait });
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
    edge.turn_requests.close(number);
    match answer {
        Ok(Ok(turn)) => {
            edge.hubs.borrow_mut().record_response(&owner);
            turn
        }
        _ => {
            log::debug!(target: "limits", upstream:% = name, vm:% = owner; "A request for a turn was not answered.");
            Turn::Refused(UNKNOWN_TURN_WAIT)
        }
    }
}

/// Counts a request to an upstream that needs no turn, such as an order.
pub fn count_request(edge: &Edge, name: &UpstreamName) {
    let now = edge.now();
    let Some(limit) = edge.limits.borrow().notice(name, now) else {
        return;
    };
    let owner = edge.hubs.borrow_mut().owner_of(name.as_str(), now);
    if owner == edge.vm {
        edge.limits.borrow_mut().count(name, now);
    } else {
        send_to_vm(edge, &owner, &TurnMessage::Sent { limit });
    }
}

fn send_to_vm(edge: &Edge, vm: &VmName, message: &TurnMessage) {
    let address = edge.view.borrow().peers.get(vm).map(|peer| peer.address);
    if let Some(address) = address {
        send(edge, address, message);
    }
}

fn send(edge: &Edge, address: SocketAddr, message: &TurnMessage) {
    datagram::send(edge, address, TURN_VERSION, ROLE, message);
}

/// Handles a datagram about turns without its first byte.
pub fn handle_datagram(edge: &Edge, bytes: &[u8], from: SocketAddr) {
    let message = match datagram::decode(bytes) {
        Ok(message) => message,
        Err(err) => {
            edge.report_undecoded(ROLE, &from.to_string(), &err);
            return;
        }
    };
    match message {
        TurnMessage::Request { number, limit, max_wait } => {
            apply_notices(edge, std::slice::from_ref(&limit));
            let turn = edge.limits.borrow_mut().take_turn(&limit.upstream, max_wait, edge.now());
            send(edge, from, &TurnMessage::Answer { number, turn });
        }
        TurnMessage::Answer { number, turn } => edge.turn_requests.answer(number, turn),
        TurnMessage::Sent { limit } => {
            apply_notices(edge, std::slice::from_ref(&limit));
            edge.limits.borrow_mut().count(&limit.upstream, edge.now());
        }
    }
}
