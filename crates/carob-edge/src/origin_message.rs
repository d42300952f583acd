//! Datagrams about the versions at which streams began.

use std::net::SocketAddr;

use carobglade::{StreamKey, StreamOrigin};
use serde::{Deserialize, Serialize};

use crate::datagram;
use crate::edge::Edge;

/// First byte of a datagram about streams, which no other message between vms begins with.
pub const ORIGIN_VERSION: u8 = 65;
/// Label of these datagrams in metrics.
pub const ROLE: &str = "stream";
/// Maximum number of streams in a datagram, which fits into one packet.
pub const MAX_TOLD: usize = 32;

/// Vms that know of a stream in a fleet with hubs; in a smaller one, all do.
const OWNERS: usize = 3;

/// A datagram from one vm to another, after its first byte.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OriginMessage {
    /// Tells at which versions streams began.
    Tell(Vec<StreamOrigin>),
    /// Asks for a stream; a vm that does not know it does not answer.
    Ask(StreamKey),
    /// Tells which streams the log keeps, to a vm that told of them.
    Kept(Vec<StreamKey>),
}

/// Sends a message to another vm.
pub fn send(edge: &Edge, address: SocketAddr, message: &OriginMessage) {
    datagram::send(edge, address, ORIGIN_VERSION, ROLE, message);
}

/// Returns the addresses of the vms that know of a stream, other than this one.
pub fn addresses(edge: &Edge, key: StreamKey) -> Vec<SocketAddr> {
    let view = edge.view.borrow();
    let mut hubs = edge.hubs.borrow_mut();
    if !hubs.uses_hubs() {
        return view.peers.values().map(|peer| peer.address).collect();
    }
    let owners = hubs.owners_of(&key.to_string(), OWNERS, edge.now());
    owners.iter().filter_map(|vm| Some(view.peers.get(vm)?.address)).collect()
}
