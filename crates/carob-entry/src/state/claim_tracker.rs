//! Claims of this process on idempotency keys, which keep a call from running more than once.

use std::collections::BTreeSet;
use std::sync::Mutex;

use carob_net::lock;
use carobglade::{ClaimRef, VmRef};

use super::LogState;

#[derive(Default)]
struct State {
    /// Attempts that wait for their claim to be decided.
    waiting: BTreeSet<String>,
    /// Attempts whose call was sent and whose outcome is not applied yet.
    sent: BTreeSet<String>,
    /// Attempts whose claim was abandoned and whose release is not applied yet.
    releasing: BTreeSet<String>,
}

/// Tracks the attempts behind the claims of this process.
#[derive(Default)]
pub struct ClaimTracker(Mutex<State>);

impl ClaimTracker {
    /// Records that an attempt waits for its claim.
    pub fn begin_wait(&self, attempt: &str) {
        lock(&self.0).waiting.insert(attempt.to_owned());
    }

    /// Records that an attempt stopped waiting for its claim.
    pub fn end_wait(&self, attempt: &str) {
        lock(&self.0).waiting.remove(attempt);
    }

    /// Records that the call of an attempt is about to be sent.
    pub fn mark_sent(&self, attempt: &str) {
        lock(&self.0).sent.insert(attempt.to_owned());
    }

    /// Forgets sent calls whose outcome is in the log, and reports whether none is left.
    pub fn forget_completed(&self, log_state: &LogState, me: &VmRef) -> bool {
        let mut state = lock(&self.0);
        // Claims are read under the lock, because a call is marked as sent only after its claim was
        // applied. An earlier read could miss the claim, and the call would be forgotten.
        let open = open_claims(log_state, me);
        state.sent.retain(|attempt| open.iter().any(|claim| claim.attempt == *attempt));
        state.sent.is_empty()
    }

    /// Returns the open claims of this process without a request behind them, and marks them as
    /// being released. Claims that are being released already are left out.
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
    log_state.with_claims(|state| state.unfinished_claims(me).collect())
}
