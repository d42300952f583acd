//! The roles in which vms send messages.

use serde::{Deserialize, Serialize};

/// The role of the sender, which determines the content and the receivers of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SenderRole {
    /// Own state, to all vms of a small fleet.
    Peer,
    /// Own state, to the hub of the data centre.
    Member,
    /// Sums over the data centre, to other hubs.
    Hub,
    /// Usage reports of the data centre, to other hubs.
    HubTokens,
    /// Sums over all vms but the receiver, to a member.
    Digest,
    /// Usage reports of all data centres, to a member.
    DigestTokens,
    /// Reads of the log, to a vm of a small fleet that requested them.
    Readings,
}

impl SenderRole {
    /// Returns the value of the label `role` in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            SenderRole::Peer => "peer",
            SenderRole::Member => "member",
            SenderRole::Hub => "hub",
            SenderRole::HubTokens => "hub_tokens",
            SenderRole::Digest => "digest",
            SenderRole::DigestTokens => "digest_tokens",
            SenderRole::Readings => "readings",
        }
    }
}
