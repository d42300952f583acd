//! At-most-once execution: claims on idempotency keys, decided by the order of the log.
//!
//! A process appends a claim before it sends a call that may not be repeated. The first claim on
//! a tenant's key in the stream wins. Only the winner may send the call. Only the winner may
//! release the claim, and it does so only when it sent nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::final_status::is_final_status;
use crate::process::{
    ClaimOutcome, ClaimRef, Fingerprint, LogEntry, Record, RequestOutcome, StateMachine, VmRef,
};
use crate::{Claim, Error, ErrorKind, Result, TenantName};

/// Time for which a key is remembered, on the log's clock.
pub const KEY_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Time for which a response is kept for retries, on the log's clock. A later retry is only told
/// that the call ran.
pub const RESPONSE_RETENTION: Duration = Duration::from_secs(3600);

const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimPhase {
    /// The winner may have sent the call.
    Held,
    /// The call ended with this outcome.
    Ended(RequestOutcome),
}

/// The first claim on a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WinningClaim {
    /// Id of the attempt that made the claim; empty once the call ended.
    pub attempt: String,
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// The process that made the claim; the default once the call ended.
    pub vm: VmRef,
    /// State of the claim.
    pub phase: ClaimPhase,
    /// Time of the claim on the log's clock, in milliseconds.
    #[serde(rename = "time")]
    pub time_ms: u64,
}

/// What an attempt may do with its call.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimDecision {
    /// No claim on the key is known: append one.
    Append,
    /// The claim of this attempt won: send the call.
    Send,
    /// The call already ended: respond with its outcome.
    Replay(RequestOutcome),
    /// Respond with this error.
    Refuse(Error),
}

/// State replayed from the claims stream.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClaimState {
    claims: BTreeMap<TenantName, BTreeMap<String, WinningClaim>>,
    ages: BTreeMap<u64, Vec<(TenantName, String)>>,
    time: u64,
    /// Responses of claims made before this time, in milliseconds, were dropped.
    trimmed: u64,
}

impl ClaimState {
    /// Returns the claim on a tenant's key.
    pub fn claim(&self, tenant: &TenantName, key: &str) -> Option<&WinningClaim> {
        self.claims.get(tenant)?.get(key)
    }

    /// Returns the number of remembered keys.
    pub fn len(&self) -> usize {
        self.claims.values().map(BTreeMap::len).sum()
    }

    /// Reports whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the claims of `vm` whose calls have not ended.
    pub fn unfinished_claims<'a>(&'a self, vm: &'a VmRef) -> impl Iterator<Item = ClaimRef> + 'a {
        self.claims.iter().flat_map(move |(tenant, keys)| {
            let open = keys.iter().filter(|(_, claim)| claim.phase == ClaimPhase::Held);
            let mine = open.filter(move |(_, claim)| claim.vm == *vm);
            mine.map(|(key, claim)| ClaimRef {
                tenant: tenant.clone(),
                key: key.clone(),
                attempt: claim.attempt.clone(),
            })
        })
    }

    /// Decides what the attempt in `claim` may do. `alive` reports whether the process that made
    /// the winning claim still runs.
    pub fn decide(
        &self,
        claim: &ClaimRef,
        request: Fingerprint,
        alive: impl Fn(&VmRef) -> bool,
    ) -> ClaimDecision {
        let Some(held) = self.claim(&claim.tenant, &claim.key) else {
            return ClaimDecision::Append;
        };
        if held.request != request {
            let message = format!("idempotency key {:?} was used with another request", claim.key);
            return ClaimDecision::Refuse(Error::new(ErrorKind::IdempotencyKeyReused, message));
        }
        match &held.phase {
            ClaimPhase::Held if held.attempt == claim.attempt => ClaimDecision::Send,
            ClaimPhase::Held if alive(&held.vm) => ClaimDecision::Refuse(in_progress(&claim.key)),
            ClaimPhase::Held => ClaimDecision::Refuse(outcome_unknown(&claim.key)),
            ClaimPhase::Ended(RequestOutcome::Unknown) => {
                ClaimDecision::Refuse(outcome_unknown(&claim.key))
            }
            ClaimPhase::Ended(RequestOutcome::Ran) => {
                ClaimDecision::Refuse(response_not_kept(&claim.key))
            }
            // An older build may have kept bytes that were no response.
            ClaimPhase::Ended(RequestOutcome::Answered { status, .. })
                if !is_final_status(*status) =>
            {
                ClaimDecision::Refuse(outcome_unknown(&claim.key))
            }
            ClaimPhase::Ended(outcome) => ClaimDecision::Replay(outcome.clone()),
        }
    }

    fn apply_claim(&mut self, claim: &Claim, time: u64) {
        let keys = self.claims.entry(claim.claim.tenant.clone()).or_default();
        if keys.contains_key(&claim.claim.key) {
            return;
        }
        let held = WinningClaim {
            attempt: claim.claim.attempt.clone(),
            request: claim.request,
            vm: claim.vm.clone(),
            phase: ClaimPhase::Held,
            time_ms: time,
        };
        keys.insert(claim.claim.key.clone(), held);
        let name = (claim.claim.tenant.clone(), claim.claim.key.clone());
        self.ages.entry(time).or_default().push(name);
    }

    fn held_mut(&mut self, claim: &ClaimRef) -> Option<&mut WinningClaim> {
        let held = self.claims.get_mut(&claim.tenant)?.get_mut(&claim.key)?;
        (held.attempt == claim.attempt && held.phase == ClaimPhase::Held).then_some(held)
    }

    fn apply_outcome(&mut self, outcome: &ClaimOutcome) {
        if let Some(held) = self.held_mut(&outcome.claim) {
            held.phase = ClaimPhase::Ended(outcome.outcome.clone());
            // Attempt and process are needed only while the call has not ended.
            held.attempt = String::new();
            held.vm = VmRef::default();
        }
    }

    fn apply_release(&mut self, claim: &ClaimRef) {
        if self.held_mut(claim).is_some() {
            self.remove(&claim.tenant, &claim.key);
        }
    }

    fn remove(&mut self, tenant: &TenantName, key: &str) {
        let Some(keys) = self.claims.get_mut(tenant) else {
            return;
        };
        keys.remove(key);
        if keys.is_empty() {
            self.claims.remove(tenant);
        }
    }

    /// Drops responses older than [`RESPONSE_RETENTION`].
    fn drop_old_responses(&mut self) {
        let oldest = self.time.saturating_sub(RESPONSE_RETENTION.as_millis() as u64);
        if oldest <= self.trimmed {
            return;
        }
        for (tenant, key) in self.ages.range(self.trimmed..oldest).flat_map(|(_, names)| names) {
            let held = self.claims.get_mut(tenant).and_then(|keys| keys.get_mut(key));
            if let Some(WinningClaim { phase: ClaimPhase::Ended(outcome), .. }) = held
                && matches!(outcome, RequestOutcome::Answered { .. })
            {
                *outcome = RequestOutcome::Ran;
            }
        }
        self.trimmed = oldest;
    }

    fn drop_expired_keys(&mut self) {
        let oldest = self.time.saturating_sub(KEY_RETENTION.as_millis() as u64);
        let kept = self.ages.split_off(&oldest);
        let expired = std::mem::replace(&mut self.ages, kept);
        for (time, names) in expired {
            for (tenant, key) in names {
                if self.claim(&tenant, &key).is_some_and(|held| held.time_ms == time) {
                    self.remove(&tenant, &key);
                }
            }
        }
    }
}

impl StateMachine for ClaimState {
    fn apply(&mut self, entry: &LogEntry) {
        self.time = self.time.max(entry.time_ms);
        self.drop_expired_keys();
        self.drop_old_responses();
        let time = self.time;
        for record in &entry.records {
            match record {
                Record::Claim(claim) => self.apply_claim(claim, time),
                Record::ClaimOutcome(outcome) => self.apply_outcome(outcome),
                Record::ClaimRelease(claim) => self.apply_release(claim),
                _ => {}
            }
        }
    }
}

/// Validates an idempotency key.
///
/// # Errors
///
/// `InvalidRequest` when the key is empty, longer than 128 bytes or has characters other than
/// printable ASCII without space.
pub fn validate_idempotency_key(key: &str) -> Result<()> {
    let plain = key.bytes().all(|b| b.is_ascii_graphic());
    if key.is_empty() || key.len() > 128 || !plain {
        let message =
            format!("Idempotency-Key {key:?} must be 1 to 128 printable characters without space");
        return Err(Error::new(ErrorKind::InvalidRequest, message));
    }
    Ok(())
}

fn in_progress(key: &str) -> Error {
    let message = format!("a request with idempotency key {key:?} is still running");
    Error::new(ErrorKind::InProgress, message).with_retry_after(IN_PROGRESS_RETRY_AFTER)
}

fn outcome_unknown(key: &str) -> Error {
    let message = format!("the end of the request with idempotency key {key:?} is not known");
    Error::new(ErrorKind::OutcomeUnknown, message)
}

fn response_not_kept(key: &str) -> Error {
    let message = format!("the request with idempotency key {key:?} ran; its answer was not kept");
    Error::new(ErrorKind::ResponseNotKept, message)
}
