//! Reserving tokens for a request, borrowed from other vms when this one has too few.

use std::sync::Arc;
use std::time::Duration;

use carobglade::{Error, ErrorKind, Reservation, Result, Tenant, Tokens};

use crate::core::Core;
use crate::shares;

const ROUNDS: [bool; 3] = [false, true, true]; // whether each lender is asked for all that is missing
const WAIT_FLOOR: Duration = Duration::from_millis(100);

/// Reserves `tokens` for a request of `tenant`.
///
/// # Errors
///
/// `RateExceeded`, with the delay after which to come back, when the vms together hold too few.
pub async fn reserve(core: &Arc<Core>, tenant: &Tenant, tokens: Tokens) -> Result<Reservation> {
    let mut wait = None;
    for all in ROUNDS {
        let now = core.now();
        let missing = match core.lock().pool.reserve(&tenant.name, tokens, now) {
            Ok(reservation) => return Ok(reservation),
            Err(missing) => missing,
        };
        wait = borrow(core, tenant, missing, all).await.or(wait);
    }
    let now = core.now();
    let mut inner = core.lock();
    let missing = match inner.pool.reserve(&tenant.name, tokens, now) {
        Ok(reservation) => return Ok(reservation),
        Err(missing) => missing,
    };
    inner.pool.give_up(&tenant.name, now);
    let rate = tenant.grant.rate.0.max(1);
    let refill = Duration::from_secs_f64(missing.0 as f64 / rate as f64);
    let wait = wait.unwrap_or(refill).min(refill).max(WAIT_FLOOR);
    let message = format!(
        "tenant {} has used its rate of {} and burst of {}; {missing} tokens are missing",
        tenant.name, tenant.grant.rate, tenant.grant.burst
    );
    Err(Error::new(ErrorKind::RateExceeded, message).with_retry(wait))
}

/// Asks all other holders at once; returns the shortest wait that one names.
async fn borrow(core: &Arc<Core>, tenant: &Tenant, missing: Tokens, all: bool) -> Option<Duration> {
    let asks = {
        let inner = core.lock();
        let homes = inner.homes(&tenant.name, &core.me);
        let name = (tenant.name.clone(), tenant.grant.created);
        inner.pool.urgent_asks(&name, missing, &homes, all)
    };
    let calls = asks.into_iter().map(|(lender, ask)| {
        let core = Arc::clone(core);
        tokio::spawn(async move { shares::ask(&core, lender, vec![ask]).await })
    });
    let calls: Vec<_> = calls.collect();
    let mut shortest = None;
    for call in calls {
        let wait = call.await.ok().flatten();
        shortest = match (shortest, wait) {
            (Some(a), Some(b)) => Some(std::cmp::min(a, b)),
            (a, b) => a.or(b),
        };
    }
    shortest
}
