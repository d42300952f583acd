//! Reserves tokens for a request, borrowing from other vms when this vm holds too few.

use std::sync::Arc;
use std::time::Duration;

use carobglade::{Error, ErrorKind, Reservation, Result, Tenant, Tokens};
use tokio::task::JoinSet;

use crate::quota_tasks;
use crate::shared_state::SharedState;

/// Rounds of loan requests; true if each lender is asked for all missing tokens.
const REQUEST_ALL_BY_ROUND: [bool; 3] = [false, true, true];
/// Timeout for the lenders' responses in one round.
const LOAN_TIMEOUT: Duration = Duration::from_millis(300);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Reserves `tokens` for a request of `tenant`.
///
/// # Errors
///
/// `RateExceeded`, with the delay after which to retry, if all vms together hold too few tokens.
pub async fn reserve(
    shared: &Arc<SharedState>,
    tenant: &Tenant,
    tokens: Tokens,
) -> Result<Reservation> {
    let mut wait = None;
    for all in REQUEST_ALL_BY_ROUND {
        let missing = match try_reserve(shared, tenant, tokens) {
            Ok(reservation) => return Ok(reservation),
            Err(missing) => missing,
        };
        let now = shared.now();
        if let Some(wait) = shared.quota.shortage_wait(&tenant.name, tokens, now) {
            return Err(rate_exceeded(tenant, missing, wait));
        }
        match borrow_missing(shared, tenant, tokens, missing, all).await {
            LoanOutcome::Reserved(reservation) => return Ok(reservation),
            LoanOutcome::Insufficient(shortest) => wait = shortest.or(wait),
        }
    }
    let missing = match try_reserve(shared, tenant, tokens) {
        Ok(reservation) => return Ok(reservation),
        Err(missing) => missing,
    };
    let refill = Duration::from_secs_f64(missing.0 as f64 / tenant.rate_limit.rate.0.max(1) as f64);
    let wait = wait.unwrap_or(refill).min(refill).max(MIN_RETRY_AFTER);
    shared.quota.record_shortage(&tenant.name, tokens, wait, shared.now());
    Err(rate_exceeded(tenant, missing, wait))
}

fn rate_exceeded(tenant: &Tenant, missing: Tokens, wait: Duration) -> Error {
    let message = format!(
        "tenant {} has used its rate of {} and burst of {}; {missing} tokens are missing",
        tenant.name, tenant.rate_limit.rate, tenant.rate_limit.burst
    );
    Error::new(ErrorKind::RateExceeded, message).with_retry_after(wait)
}

fn try_reserve(
    shared: &SharedState,
    tenant: &Tenant,
    tokens: Tokens,
) -> std::result::Result<Reservation, Tokens> {
    let now = shared.now();
    shared.quota.reserve(&tenant.name, tokens, now)
}

/// Result of a round of loan requests.
enum LoanOutcome {
    /// The reservation, made with the borrowed tokens.
    Reserved(Reservation),
    /// The loans do not suffice; the shortest wait that a lender returned.
    Insufficient(Option<Duration>),
}

/// Requests loans from the next lender, or from all lenders at once if `all` is set, and reserves
/// the tokens as soon as the loans suffice.
async fn borrow_missing(
    shared: &Arc<SharedState>,
    tenant: &Tenant,
    tokens: Tokens,
    missing: Tokens,
    all: bool,
) -> LoanOutcome {
    let holders = shared.slot_holders(&tenant.name, shared.now());
    let name = (tenant.name.clone(), tenant.rate_limit.created);
    let loan_requests = shared.quota.request_missing(&name, missing, &holders, all);
    let mut calls = JoinSet::new();
    for (lender, loan_request) in loan_requests {
        let shared = Arc::clone(shared);
        calls.spawn(async move {
            quota_tasks::request_loans(&shared, lender, vec![loan_request]).await
        });
    }
    let mut shortest: Option<Duration> = None;
    let responses = async {
        while let Some(response) = calls.join_next().await {
            let wait = response.ok().flatten();
            shortest = [shortest, wait].into_iter().flatten().min();
            if let Ok(reservation) = try_reserve(shared, tenant, tokens) {
                return Some(reservation);
            }
        }
        None
    };
    let enough = tokio::time::timeout(LOAN_TIMEOUT, responses).await.ok().flatten();
    calls.detach_all();
    enough.map_or(LoanOutcome::Insufficient(shortest), LoanOutcome::Reserved)
}
