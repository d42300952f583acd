//! Learns how far apart the ids of events are in the streams of a model, and lets other vms know, so
//! that whoever takes up a stream can tell its next event from a gap.

use std::net::SocketAddr;

use carobglade::{IdDistances, IdSource, IdStep, SoftwareVersion, StreamKey};
use serde::{Deserialize, Serialize};

use crate::datagram;
use crate::edge::Edge;
use crate::origin_message;
use crate::request::CallerRequest;

/// First byte of a datagram about ids, which no other message between vms begins with.
pub const IDS_VERSION: u8 = 69;
/// Label of these datagrams in metrics.
const ROLE: &str = "event_ids";

/// A datagram from one vm to another, after its first byte.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum IdsMessage {
    /// Tells the distances between the ids of a source.
    Tell(IdSource, IdDistances),
    /// Asks for them; a vm that does not know them does not answer.
    Ask(IdSource),
}

/// Returns what numbers the events of a request's stream at an upstream of this version.
pub fn source(request: &CallerRequest, version: &SoftwareVersion) -> IdSource {
    IdSource::new(&request.service, version, request.caller_headers.model.as_ref())
}

/// Records distances between the ids of a stream's events, and tells other vms of a step that is new.
pub fn record(edge: &Edge, source: IdSource, distances: IdDistances) {
    if distances.is_empty() {
        return;
    }
    let changed = edge.id_sources.borrow_mut().record(source, distances, edge.now());
    if let Some(known) = changed {
        let step = known.step();
        log::info!(target: "event_ids", source:% = source, step:? = step; "The step between the ids of events changed.");
        send_to_owners(edge, source, &IdsMessage::Tell(source, known));
    }
}

/// Asks other vms for the step between the ids of a stream that a caller takes up, unless it is known
/// here. Their answers come before the next event as a rule; the stream does not wait for them.
pub fn ask_if_unknown(edge: &Edge, request: &CallerRequest, version: &SoftwareVersion) {
    let source = source(request, version);
    if edge.id_sources.borrow().step(source) == IdStep::Unknown {
        send_to_owners(edge, source, &IdsMessage::Ask(source));
    }
}

fn send_to_owners(edge: &Edge, source: IdSource, message: &IdsMessage) {
    for address in origin_message::addresses(edge, StreamKey::from(source)) {
        send(edge, address, message);
    }
}

fn send(edge: &Edge, address: SocketAddr, message: &IdsMessage) {
    datagram::send(edge, address, IDS_VERSION, ROLE, message);
}

/// Handles a datagram about ids without its first byte.
pub fn handle_datagram(edge: &Edge, bytes: &[u8], from: SocketAddr) {
    match datagram::decode(bytes) {
        Ok(IdsMessage::Tell(source, told)) => {
            edge.id_sources.borrow_mut().adopt(source, told, edge.now());
        }
        Ok(IdsMessage::Ask(source)) => {
            let known = edge.id_sources.borrow().distances(source);
            if let Some(known) = known.filter(|known| known.step() != IdStep::Unknown) {
                send(edge, from, &IdsMessage::Tell(source, known));
            }
        }
        Err(err) => {
            edge.report_undecoded(ROLE, &from.to_string(), &err);
        }
    }
}
