//! Reserving tokens for a request, borrowed from other vms when this one has too few.

use std::sync::Arc;
use std::time::Duration;

use carobglade::{Error, ErrorKind, Reservation, Result, Tenant, Tokens};

use tokio::task::JoinSet;

use crate::core::Core;
use crate::shares;

const ROUNDS: [bool; 3] = [false, true, true]; // whether each lender is asked for all that is missing
const ROUND_TIME: Duration = Duration::from_millis(300); // for lenders to answer
const WAIT_FLOOR: Duration = Duration::from_millis(100);

/// Reserves `tokens` for a request of `tenant`.
///
/// # Errors
///
/// `RateExceeded`, with the delay after which to come back, when the vms together hold too few.
pub async fn reserve(core: &Arc<Core>, tenant: &Tenant, tokens: Tokens) -> Result<Reservation> {
    let mut wait = None;
    for all in ROUNDS {
        let missing = match take(core, tenant, tokens) {
            Ok(reservation) => return Ok(reservation),
            Err(missing) => missing,
        };
        let now = core.now();
        if let Some(wait) = core.holdings.dry(&tenant.name, tokens, now) {
            return Err(exceeded(tenant, missing, wait));
        }
        match borrow(core, tenant, tokens, missing, all).await {
            Borrowed::Enough(reservation) => return Ok(reservation),
            Borrowed::TooFew(shortest) => wait = shortest.or(wait),
        }
    }
    let missing = match take(core, tenant, tokens) {
        Ok(reservation) => return Ok(reservation),
        Err(missing) => missing,
    };
    let refill = Duration::from_secs_f64(missing.0 as f64 / tenant.grant.rate.0.max(1) as f64);
    let wait = wait.unwrap_or(refill).min(refill).max(WAIT_FLOOR);
    core.holdings.give_up(&tenant.name, tokens, wait, core.now());
    Err(exceeded(tenant, missing, wait))
}

fn exceeded(tenant: &Tenant, missing: Tokens, wait: Duration) -> Error {
    let message = format!(
        "tenant {} has used its rate of {} and burst of {}; {missing} tokens are missing",
        tenant.name, tenant.grant.rate, tenant.grant.burst
    );
    Error::new(ErrorKind::RateExceeded, message).with_retry_after(wait)
}

fn take(core: &Core, tenant: &Tenant, tokens: Tokens) -> std::result::Result<Reservation, Tokens> {
    let now = core.now();
    core.holdings.reserve(&tenant.name, tokens, now)
}

enum Borrowed {
    Enough(Reservation),
    TooFew(Option<Duration>),
}

/// Asks all other holders at once, and reserves as soon as enough has come. Returns the shortest
/// wait that one names when it does not suffice.
async fn borrow(
    core: &Arc<Core>,
    tenant: &Tenant,
    tokens: Tokens,
    missing: Tokens,
    all: bool,
) -> Borrowed {
    let homes = core.homes(&tenant.name, core.now());
    let name = (tenant.name.clone(), tenant.grant.created);
    let asks = core.holdings.urgent_asks(&name, missing, &homes, all);
    let mut calls = JoinSet::new();
    for (lender, ask) in asks {
        let core = Arc::clone(core);
        calls.spawn(async move { shares::ask(&core, lender, vec![ask]).await });
    }
    let mut shortest: Option<Duration> = None;
    let answers = async {
        while let Some(answer) = calls.join_next().await {
            let wait = answer.ok().flatten();
            shortest = [shortest, wait].into_iter().flatten().min();
            if let Ok(reservation) = take(core, tenant, tokens) {
                return Some(reservation);
            }
        }
        None
    };
    let enough = tokio::time::timeout(ROUND_TIME, answers).await.ok().flatten();
    calls.detach_all();
    enough.map_or(Borrowed::TooFew(shortest), Borrowed::Enough)
}
