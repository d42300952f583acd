//! What a vm takes in from the messages of others.

use std::net::SocketAddr;
use std::rc::Rc;

use carobglade::{NewsSource, short_name};
use tokio::net::UdpSocket;

use super::message::{Message, Sender, VERSION};
use super::{MESSAGE_MAX, URGENT, answer, tell_one};
use crate::edge::Edge;
use crate::view::PeerVm;

/// Takes messages.
pub async fn listen(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MESSAGE_MAX];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => receive(&edge, &socket, &buf[..len], from),
            Err(err) => {
                log::debug!(target: "peers", error:% = err; "A message could not be received.");
                tokio::time::sleep(URGENT).await;
            }
        }
    }
}

fn receive(edge: &Edge, socket: &UdpSocket, bytes: &[u8], from: SocketAddr) {
    let mut message: Message = match postcard::from_bytes(bytes) {
        Ok(message) => message,
        Err(err) => {
            log::debug!(target: "peers", from:% = from, error:% = err; "A message cannot be read.");
            return;
        }
    };
    if message.version != VERSION || message.vm == edge.vm {
        return;
    }
    hear_neighbour(edge, &message, from);
    hear_tokens(edge, &mut message);
    if matches!(message.sender, Sender::HubTokens | Sender::DigestTokens) {
        return;
    }
    hear_readings(edge, &message);
    if message.sender == Sender::Readings {
        return;
    }
    hear_work(edge, &message);
    reply(edge, socket, &message);
    hear_placement(edge, message);
}

fn hear_neighbour(edge: &Edge, message: &Message, from: SocketAddr) {
    let now = edge.now();
    let mut hubs = edge.hubs.borrow_mut();
    let mut view = edge.view.borrow_mut();
    if message.leaving {
        view.peers.remove(&message.vm);
        hubs.gone(&message.vm);
        return;
    }
    view.peers.entry(message.vm.clone()).or_insert(PeerVm { address: from });
    hubs.heard(&message.vm, now);
    match message.sender {
        Sender::Member => hubs.reported(&message.vm, now),
        Sender::Hub | Sender::Digest => hubs.answered(&message.vm),
        Sender::Readings if message.is_fresh(now) => hubs.answered(&message.vm),
        _ => {}
    }
}

/// Tokens that a hub passed on stand for the vms that told them.
fn hear_tokens(edge: &Edge, message: &mut Message) {
    let now = edge.now();
    let told = message.take_tokens().into_iter();
    for tokens in told.filter(|tokens| tokens.vm != edge.vm) {
        let teller = tokens.teller;
        edge.meter.borrow_mut().hear(&tokens.vm, tokens.incarnation, &tokens.usage, teller, now);
        match tokens.leaving {
            true => edge.hubs.borrow_mut().gone(&tokens.vm),
            false => edge.hubs.borrow_mut().heard(&tokens.vm, now),
        }
        match message.sender {
            Sender::Member => edge.token_relay.borrow_mut().pass_to_all(tokens),
            Sender::HubTokens => edge.token_relay.borrow_mut().pass_to_members(tokens),
            _ => continue,
        }
        edge.relay_wakeup.notify_one();
    }
}

fn hear_work(edge: &Edge, message: &Message) {
    let now = edge.now();
    edge.loads.borrow_mut().hear(&message.vm, message.incarnation, message.loads(), now);
    let demand = message.demand.iter().copied().collect();
    edge.demand.borrow_mut().hear(&message.vm, demand, now);
    for (request, crash) in &message.suspects {
        edge.suspects.borrow_mut().suspect(*request, crash, edge.clock.unix_millis());
    }
}

fn hear_readings(edge: &Edge, message: &Message) {
    let answers = matches!(message.sender, Sender::Digest | Sender::Readings);
    let Some(asked) = message.asked.filter(|_| answers) else {
        return;
    };
    let mut view = edge.view.borrow_mut();
    let told = message.changes();
    message
        .readings
        .iter()
        .for_each(|wire| view.accept_reading(wire.topic, wire.reading(asked), &told));
}

/// A report is answered; so is a sum of a hub that this vm would not tell its own. Answers are
/// not answered.
fn reply(edge: &Edge, socket: &UdpSocket, message: &Message) {
    match message.sender {
        Sender::Member => answer(edge, socket, &message.vm, message.asked, message.since),
        Sender::Peer if message.reader == Some(short_name(edge.vm.as_str())) => {
            let readings = Message::readings(edge, message.asked, message.since);
            tell_one(edge, socket, &message.vm, &readings);
        }
        Sender::Hub if message.asked.is_some() => {
            let now = edge.now();
            let mut hubs = edge.hubs.borrow_mut();
            let hub = hubs.place(&message.vm).and_then(|place| hubs.hub(&place, now));
            let told = hubs.is_hub(now) && hub.as_ref() == Some(&message.vm);
            drop(hubs);
            if !told {
                let sum = Message::of(edge, Sender::Hub).without_question();
                tell_one(edge, socket, &message.vm, &sum);
            }
        }
        _ => {}
    }
}

fn hear_placement(edge: &Edge, message: Message) {
    let now = edge.now();
    let source = match message.sender {
        Sender::Member => NewsSource::Member,
        Sender::Hub => NewsSource::Hub,
        _ => NewsSource::Peer,
    };
    let mut board = edge.board.borrow_mut();
    board.touched(message.used, source, now);
    let mut asked = false;
    for name in message.wanted {
        asked |= board.want(name, source, now);
    }
    let mut told = false;
    for item in message.news {
        told |= board.learn(item, source, now);
    }
    drop(board);
    if asked {
        edge.planner_wakeup.notify_one();
    }
    if told {
        edge.capacity_changed.notify_waiters();
    }
    if (asked || told) && source != NewsSource::Peer {
        edge.gossip_wakeup.notify_one();
    }
}
