//! Tasks that claim, renew and hand over rate slots, and borrow tokens from other processes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use carobglade::{LoanRequest, Record, TenantName, VmRef};

use crate::peer_transport::{PeerReply, PeerRequest};
use crate::shared_state::SharedState;
use crate::state::LogStream;

const BORROW_INTERVAL: Duration = Duration::from_millis(100);
const SLOT_UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// Time to receive heartbeats of other processes before the first slots are claimed.
const DISCOVERY_DELAY: Duration = Duration::from_millis(1200);

/// Claims free slots, renews the lease and hands slots over to new processes until this process
/// ends.
pub async fn maintain(shared: Arc<SharedState>) {
    tokio::time::sleep(DISCOVERY_DELAY).await;
    loop {
        tokio::time::sleep(SLOT_UPDATE_INTERVAL).await;
        let unread = shared.log_state.confirmed_at(LogStream::Control).is_none();
        if unread || shared.lifecycle.is_draining() || shared.log_state.member(&shared.me).is_none()
        {
            continue;
        }
        update_slots(&shared);
    }
}

fn update_slots(shared: &SharedState) {
    let now = shared.now();
    let (log_state, fleet, me) = (&shared.log_state, &shared.fleet, &shared.me);
    if let Some(acquired) = shared.quota.claim_free_slots(log_state, fleet, me, now) {
        drop(shared.control_batcher.add(Record::SlotAcquire(acquired)));
    }
    if shared.quota.begin_renewal(now) {
        drop(shared.control_batcher.add(Record::Renew(me.clone())));
    }
    if let Some(released) = shared.quota.hand_over_slots(log_state, fleet, me, now) {
        drop(shared.control_batcher.add(Record::SlotRelease(released)));
    }
}

/// Releases all slots before the process ends, once no loan made from them can be spent any more.
pub async fn release_all(shared: &SharedState) {
    loop {
        if let Some(released) =
            shared.quota.release_all(&shared.log_state, &shared.me, shared.now())
        {
            drop(shared.control_batcher.add(Record::SlotRelease(released)));
            return;
        }
        tokio::time::sleep(BORROW_INTERVAL).await;
    }
}

/// Borrows tokens ahead of demand and reports the use of loans until the process ends.
pub async fn borrow_tokens(shared: Arc<SharedState>) {
    loop {
        tokio::time::sleep(BORROW_INTERVAL).await;
        let now = shared.now();
        let config = shared.log_state.config();
        let tenants = config.tenants.keys();
        let holders: BTreeMap<TenantName, Vec<(VmRef, u16)>> =
            tenants.map(|tenant| (tenant.clone(), shared.slot_holders(tenant, now))).collect();
        let holders = |tenant: &TenantName| holders.get(tenant).cloned().unwrap_or_default();
        let loan_requests = shared.quota.tick(&shared.log_state, holders, BORROW_INTERVAL, now);
        for (lender, loan_requests) in group_by_lender(loan_requests) {
            let shared = Arc::clone(&shared);
            tokio::spawn(async move { request_loans(&shared, lender, loan_requests).await });
        }
    }
}

fn group_by_lender(loan_requests: Vec<(VmRef, LoanRequest)>) -> BTreeMap<VmRef, Vec<LoanRequest>> {
    let mut grouped: BTreeMap<VmRef, Vec<LoanRequest>> = BTreeMap::new();
    for (lender, loan_request) in loan_requests {
        grouped.entry(lender).or_default().push(loan_request);
    }
    grouped
}

/// Sends loan requests to a lender and records the loans. Returns the shortest wait among the
/// responses, or `None` if the lender is unknown or did not answer.
pub async fn request_loans(
    shared: &Arc<SharedState>,
    lender: VmRef,
    loan_requests: Vec<LoanRequest>,
) -> Option<Duration> {
    let requested_at = shared.now();
    let address = shared.log_state.member(&lender).map(|member| member.peer)?;
    let request =
        PeerRequest::RequestLoans { vm: shared.me.clone(), loan_requests: loan_requests.clone() };
    let reply = shared.peer_transport.call(&shared.metrics, address, &request).await;
    let Ok(PeerReply::Loans { loans }) = reply else {
        return None;
    };
    shared.quota.receive_loans(&lender, &loan_requests, &loans, requested_at, shared.now());
    loans.iter().map(|loan| Duration::from_millis(loan.wait_ms)).min()
}
