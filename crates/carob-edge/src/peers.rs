//! Messages between vms: loads, tokens, demand, adapters. Each is whole, so a lost one costs
//! nothing but time; none is answered.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use carobglade::{Fingerprint, Incarnation, Load, Teller, TenantName, Usage, VmName};
use eyre::Result;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::edge::Edge;
use crate::placement::{AdapterName, PlacementNews, Source};
use crate::view::Neighbour;

const INTERVAL: Duration = Duration::from_millis(200); // between two messages to a vm
const URGENT: Duration = Duration::from_millis(20); // shortest time between two messages
const RATE: f64 = 40.0; // messages a second that a vm sends at the most, whatever the fleet
const NEWS_TIME: Duration = Duration::from_millis(450); // how long news are told again
const MESSAGE_MAX: usize = 8 << 10; // bytes
const VERSION: u8 = 2; // of the messages

/// Load of an upstream.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct LoadWire(u32, u32, u64, u64);

/// Usage of a tenant.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct UsageWire(TenantName, u64, i64);

/// What a vm tells the others.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Message {
    version: u8,
    vm: VmName,
    incarnation: Incarnation,
    loads: Vec<LoadWire>,
    usage: Vec<UsageWire>,
    /// What the vm knows of the tokens that others admitted.
    teller: Teller,
    demand: Vec<(u32, u32)>,
    wanted: Vec<AdapterName>,
    news: Vec<PlacementNews>,
    /// Adapters that were used lately.
    used: Vec<u32>,
    suspects: Vec<(Fingerprint, String)>,
    /// Whether the vm stops.
    leaving: bool,
}

/// Opens the socket for messages.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn open(edge: &Edge) -> Result<Rc<UdpSocket>> {
    Ok(Rc::new(UdpSocket::bind(edge.settings.peer_address()).await?))
}

/// Takes messages.
pub async fn listen(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MESSAGE_MAX];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => receive(&edge, &buf[..len], from),
            Err(err) => {
                log::debug!(target: "peers", error:% = err; "A message could not be received.");
                tokio::time::sleep(URGENT).await;
            }
        }
    }
}

fn receive(edge: &Edge, bytes: &[u8], from: SocketAddr) {
    let message: Message = match postcard::from_bytes(bytes) {
        Ok(message) => message,
        Err(err) => {
            log::debug!(target: "peers", from:% = from, error:% = err; "A message cannot be read.");
            return;
        }
    };
    if message.version != VERSION || message.vm == edge.vm {
        return;
    }
    let now = edge.now();
    if message.leaving {
        edge.view.borrow_mut().neighbours.remove(&message.vm);
    } else {
        let mut view = edge.view.borrow_mut();
        view.neighbours.entry(message.vm.clone()).or_insert(Neighbour { address: from });
    }
    let loads = message.loads.iter().map(|LoadWire(name, running, backlog, memory)| {
        (*name, Load { running: *running, backlog: *backlog, memory: *memory })
    });
    let loads = loads.collect();
    edge.loads.borrow_mut().hear(&message.vm, message.incarnation, loads, now);
    let demand = message.demand.into_iter().collect();
    edge.demand.borrow_mut().hear(&message.vm, demand, now);
    hear_usage(edge, &message.vm, message.incarnation, message.usage, message.teller);
    edge.placement.borrow_mut().touched(message.used, now);
    hear_placement(edge, message.wanted, message.news);
    for (request, crash) in message.suspects {
        edge.suspects.borrow_mut().suspect(request, &crash, edge.clock.unix_millis());
    }
}

fn hear_usage(
    edge: &Edge,
    vm: &VmName,
    incarnation: Incarnation,
    usage: Vec<UsageWire>,
    teller: Teller,
) {
    let mut meter = edge.meter.borrow_mut();
    let usage =
        usage.into_iter().map(|UsageWire(tenant, total, level)| Usage { tenant, total, level });
    let usage: Vec<Usage> = usage.collect();
    meter.hear(vm, incarnation, &usage, teller, edge.now());
}

fn hear_placement(edge: &Edge, wanted: Vec<AdapterName>, news: Vec<PlacementNews>) {
    let now = edge.now();
    let mut board = edge.placement.borrow_mut();
    let mut asked = false;
    for name in wanted {
        asked |= board.want(name, Source::Peer, now);
    }
    let told = !news.is_empty();
    news.into_iter().for_each(|item| board.learn(item, Source::Peer, now));
    drop(board);
    if asked {
        edge.wanted.notify_one();
    }
    if told {
        edge.changed.notify_waiters();
    }
}

fn message(edge: &Edge) -> Message {
    let now = edge.now();
    let loads = edge.loads.borrow().tell();
    edge.expect_fleet();
    let mut meter = edge.meter.borrow_mut();
    meter.advance(now);
    let usage = meter.tell();
    let teller = if edge.stopping.get() { Teller::Leaving } else { meter.teller() };
    let mut board = edge.placement.borrow_mut();
    Message {
        version: VERSION,
        vm: edge.vm.clone(),
        incarnation: edge.incarnation,
        loads: loads.iter().map(|(n, l)| LoadWire(*n, l.running, l.backlog, l.memory)).collect(),
        usage: usage.into_iter().map(|u| UsageWire(u.tenant, u.total, u.level)).collect(),
        teller,
        demand: edge.demand.borrow_mut().tell(now).into_iter().collect(),
        wanted: board.own_wanted(now),
        news: board.recent(now, NEWS_TIME),
        used: board.lately(now, INTERVAL + URGENT),
        suspects: edge.suspects.borrow().recent(edge.clock.unix_millis()),
        leaving: edge.stopping.get() && edge.active.get() == 0,
    }
}

/// Tells the other vms what this one does, at once when there is news.
pub async fn tell(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    loop {
        let fleet = edge.fleet() as f64;
        let interval = INTERVAL.max(Duration::from_secs_f64(fleet / RATE));
        let news = tokio::time::timeout(interval, edge.news.notified());
        if news.await.is_ok() {
            tokio::time::sleep(URGENT).await;
        }
        send(&edge, &socket).await;
    }
}

async fn send(edge: &Edge, socket: &UdpSocket) {
    let message = message(edge);
    let bytes = match postcard::to_allocvec(&message) {
        Ok(bytes) if bytes.len() <= MESSAGE_MAX => bytes,
        Ok(bytes) => {
            log::warn!(target: "peers", bytes = bytes.len(); "A message is too long to be sent.");
            return;
        }
        Err(err) => {
            log::error!(target: "peers", error:% = err; "A message cannot be written.");
            return;
        }
    };
    let neighbours: BTreeMap<VmName, Neighbour> = edge.view.borrow().neighbours.clone();
    for neighbour in neighbours.values() {
        // A message that the socket does not take at once is as good as lost on its way.
        if let Err(err) = socket.try_send_to(&bytes, neighbour.address) {
            log::debug!(target: "peers", to:% = neighbour.address, error:% = err; "A message was not sent.");
        }
    }
}
