//! Sends datagrams to other vms.

use std::net::SocketAddr;

use serde::Serialize;

use crate::edge::Edge;

/// Sends `message` after the byte `kind`, which tells the receiver what the datagram holds; `role` is
/// its label in metrics. A datagram that cannot be sent is treated like one lost on the network.
pub fn send<T: Serialize>(
    edge: &Edge,
    address: SocketAddr,
    kind: u8,
    role: &'static str,
    message: &T,
) {
    let Some(socket) = edge.peer_socket.get() else {
        return;
    };
    match postcard::to_extend(message, vec![kind]) {
        Ok(bytes) => {
            edge.metrics.record_message(role, bytes.len());
            if let Err(err) = socket.try_send_to(&bytes, address) {
                log::debug!(target: "peers", role = role, to:% = address, error:% = err; "Sending a datagram failed.");
            }
        }
        Err(err) => {
            log::error!(target: "peers", role = role, error:% = err; "A datagram cannot be encoded.");
        }
    }
}
