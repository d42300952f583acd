//! Histories of concurrent calls, and checks that they keep the guarantees of the system.

use std::collections::BTreeMap;
use std::time::Duration;

use carob_lab::fake_service::RecordedCall;
use serde::{Deserialize, Serialize};

/// One attempt at a call that must not run twice, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IdempotentCall {
    /// Idempotency key.
    pub key: String,
    /// Unique id of this attempt, sent in [`ATTEMPT_HEADER`].
    pub attempt: String,
    /// HTTP status; 0 if there was no response.
    pub status: u16,
    /// What the error says of the run: `not_run`, `ran` or `unknown`; empty without an error.
    pub run: String,
    /// Body of the response.
    pub body: String,
}

/// Header that carries [`IdempotentCall::attempt`] to the service.
pub const ATTEMPT_HEADER: &str = "x-attempt";

/// Checks the calls of callers against the calls that the services ran, and returns the violations.
///
/// No key runs twice, no attempt that was answered `not_run` ran, every key answered with status
/// 200 ran, and all bodies of status 200 for one key are equal.
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
                "attempt {} of key {} was answered not_run, but ran",
                call.attempt, call.key
            ));
        }
        if call.status == 200 && attempts.is_empty() {
            violations.push(format!("key {} was answered with 200, but never ran", call.key));
        }
        if call.status == 200 {
            let first = bodies.entry(&call.key).or_insert(&call.body);
            if *first != call.body {
                violations.push(format!(
                    "key {} was answered with different bodies: {first} and {}",
                    call.key, call.body
                ));
            }
        }
    }
    violations
}

/// Tokens charged for one request, and the earliest and latest time of its admission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Charge {
    /// Name of the tenant.
    pub tenant: String,
    /// Charged tokens.
    pub tokens: u64,
    /// Time at which the request was sent: the earliest time of admission.
    #[serde(rename = "sent")]
    pub sent_at: Duration,
    /// Time of the first byte of the response: the latest time of admission.
    #[serde(rename = "answered")]
    pub answered_at: Duration,
}

/// Checks `charged <= burst + rate * (t - s)` for every interval from a time `s` at which a request
/// was sent to a time `t` at which a response began, and returns the violations.
///
/// A request counts in an interval only if it was certainly admitted in it, that is, if it was sent
/// and its response began within the interval. One token of rounding is tolerated.
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
                    "{total} tokens charged from {start:?} to {:?}, but {allowed:.0} are allowed",
                    charge.answered_at
                ));
                break;
            }
        }
    }
    violations
}
