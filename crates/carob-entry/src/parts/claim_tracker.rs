//! Calls that may not be repeated, as this process makes them.

use std::collections::BTreeSet;
use std::sync::Mutex;

use carob_net::lock;
use carobglade::{ClaimRef, VmRef};

use super::LogState;

#[derive(Default)]
struct State {
    /// Attempts that wait for their claim.
    waiting: BTreeSet<String>,
    /// Attempts whose call was sent and whose end was not applied yet.
    sent: BTreeSet<String>,
    /// Claims that were given up and whose release is under way.
    releasing: BTreeSet<String>,
}

/// Calls that may not be repeated, as this process makes them.
#[derive(Default)]
pub struct ClaimTracker(Mutex<State>);

impl ClaimTracker {
    /// An attempt waits for its claim.
    pub fn begin_wait(&self, attempt: &str) {
        lock(&self.0).waiting.insert(attempt.to_owned());
    }

    /// An attempt does not wait any more.
    pub fn end_wait(&self, attempt: &str) {
        lock(&self.0).waiting.remove(attempt);
    }

    /// The call of an attempt is sent.
    pub fn mark_sent(&self, attempt: &str) {
        lock(&self.0).sent.insert(attempt.to_owned());
    }

    /// Forgets sent calls whose end is in the log; returns whether none is left.
    pub fn forget_completed(&self, log_state: &LogState, me: &VmRef) -> bool {
        let mut state = lock(&self.0);
        // Read under the lock: a call is marked as sent after its claim was applied.
        let open = open_claims(log_state, me);
        state.sent.retain(|attempt| open.iter().any(|claim| claim.attempt == *attempt));
        state.sent.is_empty()
    }

    /// Claims of this process that no request stands behind and that are not being released yet;
    /// they count as being released from now on.
    pub fn take_orphans(&self, log_state: &LogState, me: &VmRef) -> Vec<ClaimRef> {
        let mut state = lock(&self.0);
        let open = open_claims(log_state, me);
        let State { waiting, sent, releasing } = &mut *state;
        let orphan =
            |claim: &ClaimRef| !waiting.contains(&claim.attempt) && !sent.contains(&claim.attempt);
        let orphans: Vec<ClaimRef> = open.into_iter().filter(orphan).collect();
        releasing.retain(|attempt| orphans.iter().any(|claim| claim.attempt == *attempt));
        orphans.into_iter().filter(|claim| releasing.insert(claim.attempt.clone())).collect()
    }
}

fn open_claims(log_state: &LogState, me: &VmRef) -> Vec<ClaimRef> {
    log_state.claims(|state| state.unfinished_claims(me).collect())
}
