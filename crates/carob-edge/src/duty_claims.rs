//! Tells other vms which duties this vm holds, so that the next holder of a duty waits for the one
//! before, and the one before stops at once.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use carobglade::{DutyChange, DutyClaim, VmName};
use serde::{Deserialize, Serialize};

use crate::datagram;
use crate::edge::Edge;
use crate::send_interval;

/// First byte of a datagram about duties, which no other message between vms begins with.
pub const CLAIM_VERSION: u8 = 67;

/// Label of these datagrams in metrics.
const ROLE: &str = "duties";
/// Interval at which a vm asks the others while a duty settles.
const QUESTION_INTERVAL: Duration = Duration::from_millis(100);
/// Questions for one change of the duties.
const MAX_QUESTIONS: usize = 20;

/// A datagram from one vm to another, after its first byte.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimMessage {
    /// The sender.
    pub vm: VmName,
    /// The duties of the sender.
    pub claim: DutyClaim,
    /// Whether the receiver responds with its own claim.
    pub is_question: bool,
}

/// Returns what this vm tells the others of its duties.
pub fn own_claim(edge: &Edge) -> DutyClaim {
    edge.duty_leases.borrow().claim(send_interval::longest(edge), edge.now())
}

/// Applies what another vm tells of its duties.
pub fn apply(edge: &Edge, vm: &VmName, claim: &DutyClaim) {
    let changes = edge.duty_leases.borrow_mut().apply_claim(vm, claim, edge.now());
    if changes.is_empty() {
        return;
    }
    log::info!(target: "duty", vm:% = vm, generation = claim.generation, changes:? = changes; "Another vm was assigned duties of this one.");
    tell_all(edge, false);
    edge.planner_wakeup.notify_one();
}

/// Tells the others of changed duties, and asks them for theirs until the new ones have settled.
pub fn announce(edge: &Rc<Edge>, changes: &[DutyChange]) {
    if changes.iter().any(|change| matches!(change, DutyChange::Lost(_))) {
        tell_all(edge, false);
    }
    if changes.iter().any(|change| matches!(change, DutyChange::Gained(_))) {
        tokio::task::spawn_local(ask_until_settled(Rc::clone(edge)));
    }
}

async fn ask_until_settled(edge: Rc<Edge>) {
    for _ in 0..MAX_QUESTIONS {
        if !edge.duty_leases.borrow().is_settling(edge.now()) {
            return;
        }
        tell_all(&edge, true);
        tokio::time::sleep(QUESTION_INTERVAL).await;
    }
}

fn tell_all(edge: &Edge, is_question: bool) {
    let message = ClaimMessage { vm: edge.vm.clone(), claim: own_claim(edge), is_question };
    for peer in edge.view.borrow().peers.values() {
        datagram::send(edge, peer.address, CLAIM_VERSION, ROLE, &message);
    }
}

/// Handles a datagram about duties. Only a vm that has joined the group responds to a question.
pub fn handle_datagram(edge: &Edge, bytes: &[u8], from: SocketAddr) {
    let message: ClaimMessage = match datagram::decode(bytes) {
        Ok(message) => message,
        Err(err) => {
            edge.report_undecoded(ROLE, &from.to_string(), &err);
            return;
        }
    };
    if message.vm == edge.vm {
        return;
    }
    apply(edge, &message.vm, &message.claim);
    let has_joined = edge.duty_leases.borrow().has_joined();
    if message.is_question && has_joined {
        let answer =
            ClaimMessage { vm: edge.vm.clone(), claim: own_claim(edge), is_question: false };
        datagram::send(edge, from, CLAIM_VERSION, ROLE, &answer);
    }
}
