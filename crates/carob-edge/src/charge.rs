//! Charges requests to the token buckets of their tenants.

use std::time::Duration;

use carobglade::{Error, ErrorKind, PlatformTenant, Result, Tokens, Urgency, UrgencyClass};

use crate::edge::Edge;
use crate::request::CallerRequest;

/// Maximum time for which a request waits for its tenant's tokens before it is refused.
const MAX_QUOTA_WAIT: Duration = Duration::from_millis(250);

/// Charges a request to the tenant, waiting for at most `MAX_QUOTA_WAIT` for its tokens.
///
/// # Errors
///
/// Returns `RateExceeded` with the time until the tokens may be available.
pub async fn charge(edge: &Edge, request: &CallerRequest) -> Result<()> {
    let Some(tenant) = &request.tenant else {
        return Ok(());
    };
    let mut wait = Duration::ZERO;
    let reserve = edge.largest_charge(&request.route.name, request.charged_tokens());
    let urgency = record_demand(edge, request, tenant);
    loop {
        let admitted = edge.rate_limiter.borrow_mut().admit_in_order(
            &tenant.name,
            request.charged_tokens(),
            reserve,
            urgency,
            edge.now(),
        );
        let Err(missing) = admitted else {
            return Ok(());
        };
        if edge.rate_limiter.borrow().is_report_due() {
            edge.gossip_wakeup.notify_one();
        }
        let max_wait = MAX_QUOTA_WAIT.min(request.route.latency_goal / 4);
        if wait + missing > max_wait {
            log_exceeded_rate(edge, request, tenant, reserve, urgency);
            let message = format!("tenant {} used up its rate", tenant.name);
            return Err(Error::new(ErrorKind::RateExceeded, message).with_retry_after(missing));
        }
        wait += missing.max(Duration::from_millis(5));
        tokio::time::sleep(missing.max(Duration::from_millis(5))).await;
    }
}

/// Records what a request asks for; returns where it stands among those of its tenant. The priority of
/// a tenant is that of all its requests, so those of the routes count.
fn record_demand(edge: &Edge, request: &CallerRequest, tenant: &PlatformTenant) -> Urgency {
    let now = edge.now();
    let (priority, latency_goal) = (request.route.priority, request.route.latency_goal);
    let class = UrgencyClass { priority, latency_goal };
    let mut demand = edge.urgent_demand.borrow_mut();
    demand.record(&tenant.name, class, request.charged_tokens(), now);
    demand.urgency(&tenant.name, class, now)
}

/// Logs what this process knew of the tenant's bucket when it refused a request.
fn log_exceeded_rate(
    edge: &Edge,
    request: &CallerRequest,
    tenant: &PlatformTenant,
    reserve: Tokens,
    urgency: Urgency,
) {
    let bucket = edge.rate_limiter.borrow().bucket(&tenant.name).unwrap_or_default();
    log::info!(
        target: "request",
        id = request.caller_headers.request_id.as_str(),
        tenant = tenant.name.as_str(),
        tokens = request.charged_tokens().0,
        reserve = reserve.0,
        above = (urgency.above * 100.0) as u64,
        rate = bucket.rate,
        burst = bucket.burst,
        level = bucket.level,
        silent = bucket.silent as u64,
        age = bucket.age.as_millis() as u64,
        version = request.config.version;
        "A request exceeded the rate of its tenant."
    );
}

/// Charges a request again for a retry after an attempt that may have run.
pub fn charge_retry(edge: &Edge, request: &CallerRequest) {
    if let Some(tenant) = &request.tenant {
        edge.rate_limiter.borrow_mut().debit(&tenant.name, request.charged_tokens());
    }
}

/// Refunds the tokens of a request that did not run.
pub fn refund(edge: &Edge, request: &CallerRequest) {
    if let Some(tenant) = &request.tenant {
        edge.rate_limiter.borrow_mut().refund(&tenant.name, request.charged_tokens());
    }
}
