//! Attempts whose connection broke, and the runs of upstreams that may have ended with it.

use std::net::SocketAddr;

use carobglade::{EvidenceStrength, Fingerprint, SharedPrompt, UpstreamCrash, UpstreamEntry};

/// A request whose attempt broke.
#[derive(Clone, Debug)]
pub struct BrokenAttempt {
    /// Identifies the same request when it is sent again.
    pub fingerprint: Fingerprint,
    /// The parts of its prompt.
    pub prompt: SharedPrompt,
    /// How clearly a crash would point to the request.
    pub strength: EvidenceStrength,
}

/// The run of an upstream that an attempt went to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRun {
    /// Names the crash that would end the run.
    pub crash: UpstreamCrash,
    /// Address at which it listens.
    pub address: SocketAddr,
}

impl From<&UpstreamEntry> for UpstreamRun {
    fn from(entry: &UpstreamEntry) -> Self {
        let (upstream, started_ms) = (entry.name.clone(), entry.started_ms);
        UpstreamRun { crash: UpstreamCrash { upstream, started_ms }, address: entry.address }
    }
}
