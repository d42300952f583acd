//! The history checks accept valid histories and report each kind of violation.

use std::time::Duration;

use carob_bench::history::{
    ATTEMPT_HEADER, Charge, IdempotentCall, check_idempotent_calls, check_rate_limit,
};
use carob_lab::fake_service::RecordedCall;

fn ran(key: &str, attempt: &str) -> RecordedCall {
    let headers =
        vec![("idempotency-key".into(), key.into()), (ATTEMPT_HEADER.into(), attempt.into())];
    RecordedCall { method: "POST".into(), target: "/".into(), headers, body: String::new() }
}

fn call(key: &str, attempt: &str, status: u16, run: &str, body: &str) -> IdempotentCall {
    IdempotentCall {
        key: key.into(),
        attempt: attempt.into(),
        status,
        run: run.into(),
        body: body.into(),
    }
}

#[test]
fn valid_history_passes() {
    let calls = [
        call("k", "a", 200, "", "1"),
        call("k", "b", 200, "", "1"),
        call("j", "c", 503, "not_run", ""),
    ];
    assert!(check_idempotent_calls(&calls, &[ran("k", "a")]).is_empty());
}

#[test]
fn invalid_histories_are_detected() {
    let double_run = [ran("k", "a"), ran("k", "b")];
    assert_eq!(check_idempotent_calls(&[], &double_run).len(), 1, "a double run");
    let false_not_run = [call("k", "a", 503, "not_run", "")];
    assert_eq!(
        check_idempotent_calls(&false_not_run, &[ran("k", "a")]).len(),
        1,
        "a false not_run"
    );
    let response_without_run = [call("k", "a", 200, "", "1")];
    assert_eq!(
        check_idempotent_calls(&response_without_run, &[]).len(),
        1,
        "a response without a run"
    );
    let different_responses = [call("k", "a", 200, "", "1"), call("k", "b", 200, "", "2")];
    assert_eq!(
        check_idempotent_calls(&different_responses, &[ran("k", "a")]).len(),
        1,
        "two responses for one key"
    );
}

fn charge(tokens: u64, sent: u64, answered: u64) -> Charge {
    let (sent_at, answered_at) = (Duration::from_millis(sent), Duration::from_millis(answered));
    Charge { tenant: "t".into(), tokens, sent_at, answered_at }
}

#[test]
fn rate_violation_is_detected() {
    let allowed = [charge(100, 0, 10), charge(50, 500, 510)];
    assert!(check_rate_limit(&allowed, 100, 100).is_empty());
    let above = [charge(100, 0, 10), charge(60, 400, 410)];
    assert_eq!(check_rate_limit(&above, 100, 100).len(), 1);
}
