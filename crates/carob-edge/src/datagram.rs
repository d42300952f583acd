//! Encodes, sends and decodes datagrams to other vms.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::edge::Edge;

/// Encodes a datagram: `message` after the byte `kind`.
///
/// # Errors
///
/// Returns an error when the message cannot be encoded.
pub fn encode<T: Serialize>(kind: u8, message: &T) -> postcard::Result<Vec<u8>> {
    postcard::to_extend(message, vec![kind])
}

/// Decodes a datagram without its first byte. What a newer version appends is ignored.
///
/// # Errors
///
/// Returns an error when the bytes do not begin with a message.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> postcard::Result<T> {
    postcard::from_bytes(bytes)
}

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
    match encode(kind, message) {
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
