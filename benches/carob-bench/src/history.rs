//! Histories of concurrent runs, and the checks on them.

use std::collections::BTreeMap;
use std::time::Duration;

use carob_lab::fake_service::RecordedCall;
use serde::{Deserialize, Serialize};

/// One call that may not be repeated, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IdempotentCall {
    /// The idempotency key.
    pub key: String,
    /// Unique text of this attempt, sent in a header.
    pub attempt: String,
    /// Status of the answer; 0 for none.
    pub status: u16,
    /// `not_run`, `ran`, `unknown`, or nothing.
    pub run: String,
    /// Body of a good answer.
    pub body: String,
}

/// The header that carries [`OnceCall::attempt`] to the service.
pub const ATTEMPT_HEADER: &str = "x-attempt";

/// Checks that no key ran twice, that every "not run" is true, that every good answer stands for
/// a run, and that all good answers to one key are the same.
pub fn check_idempotent_calls(calls: &[IdempotentCall], ran: &[RecordedCall]) -> Vec<String> {
    let mut violations = Vec::new();
    let header = |ran: &RecordedCall, name: &str| {
        ran.headers.iter().find(|(k, _)| k == name).map(|(_, v)| v.clone()).unwrap_or_default()
    };
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for call in ran.iter().filter(|call| call.method == "POST") {
        let key = header(call, "idempotency-key");
        runs.entry(key).or_default().push(header(call, ATTEMPT_HEADER));
    }
    for (key, attempts) in runs.iter().filter(|(_, attempts)| attempts.len() > 1) {
        violations.push(format!("key {key} ran {} times: {attempts:?}", attempts.len()));
    }
    let mut bodies: BTreeMap<&str, &str> = BTreeMap::new();
    for call in calls {
        let attempts = runs.get(&call.key).cloned().unwrap_or_default();
        if call.run == "not_run" && attempts.contains(&call.attempt) {
            violations.push(format!(
                "attempt {} of {} was told not_run, but ran",
                call.attempt, call.key
            ));
        }
        if call.status == 200 && attempts.is_empty() {
            violations.push(format!("key {} was answered, but never ran", call.key));
        }
        if call.status == 200 {
            let first = bodies.entry(&call.key).or_insert(&call.body);
            if *first != call.body {
                violations
                    .push(format!("key {} was answered with {first} and {}", call.key, call.body));
            }
        }
    }
    violations
}

/// Tokens that one request was charged, and when it was admitted at the latest and the earliest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Charge {
    /// The tenant.
    pub tenant: String,
    /// Tokens.
    pub tokens: u64,
    /// When the request was sent.
    #[serde(rename = "sent")]
    pub sent_at: Duration,
    /// When its answer began.
    #[serde(rename = "answered")]
    pub answered_at: Duration,
}

/// Checks `charged <= burst + rate * (t - s)` for every interval whose ends are ends of charges.
///
/// A request counts in an interval only when it was surely admitted in it: when it was sent and
/// its answer began inside.
pub fn check_rate_limit(charges: &[Charge], rate: u64, burst: u64) -> Vec<String> {
    let mut starts: Vec<Duration> = charges.iter().map(|charge| charge.sent_at).collect();
    starts.sort();
    starts.dedup();
    let mut by_end: Vec<&Charge> = charges.iter().collect();
    by_end.sort_by_key(|charge| charge.answered_at);
    let mut violations = Vec::new();
    for start in starts {
        let mut total = 0;
        for charge in by_end.iter().filter(|charge| charge.sent_at >= start) {
            total += charge.tokens;
            let allowed = burst as f64 + rate as f64 * (charge.answered_at - start).as_secs_f64();
            if total as f64 > allowed + 1.0 {
                violations.push(format!(
                    "{total} tokens from {start:?} to {:?}, but {allowed:.0} are allowed",
                    charge.answered_at
                ));
                break;
            }
        }
    }
    violations
}
