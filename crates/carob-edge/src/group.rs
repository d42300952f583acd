//! Membership in the group of the platform's log that assigns duties.

use std::rc::Rc;
use std::time::Duration;

use carob_platform::{DUTY_GROUP, DUTY_TOPIC, GroupMembership, LogRequest, decode_membership};
use carobglade::{DutyChange, GroupAssignment};

use crate::duty_claims;
use crate::edge::Edge;
use crate::orders::{ORDER_TIMEOUT, holds_engine_duty};
use crate::store::StoreError;

const JOIN_INTERVAL: Duration = Duration::from_millis(450);
/// Interval after a failed join while this process holds duties.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);
const LEAVE_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval at which a leaving vm looks for orders in flight.
const ORDER_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Joins the group periodically as long as this vm is a candidate; leaves when it is no longer one.
pub async fn maintain_membership(edge: Rc<Edge>) {
    let mut failing = false;
    let mut joined = false;
    loop {
        if !is_candidate(&edge) {
            if std::mem::take(&mut joined) {
                leave(&edge).await;
            }
            tokio::time::sleep(JOIN_INTERVAL).await;
            continue;
        }
        joined = true;
        let pause = match join(&edge).await {
            Ok(()) => {
                failing = false;
                JOIN_INTERVAL
            }
            Err(err) => {
                if !std::mem::replace(&mut failing, true) {
                    log::warn!(target: "duty", error:% = err; "Joining the duty group failed.");
                }
                let changes = edge.duty_leases.borrow_mut().expire(edge.now());
                handle_duty_changes(&edge, &changes);
                if edge.duty_leases.borrow().held_count(edge.now()) > 0 {
                    RETRY_INTERVAL
                } else {
                    JOIN_INTERVAL
                }
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Reports whether this vm joins the group. In a large fleet only vms that read the log join: hubs,
/// vms that send orders to engines, and members whose hub no longer shares its reads. A vm that is cut
/// off from upstreams cannot order: an order counts as that of the vm from which it arrives.
fn is_candidate(edge: &Edge) -> bool {
    let now = edge.now();
    if edge.paths.table.borrow().is_cut_off(now) {
        return false;
    }
    let mut hubs = edge.hubs.borrow_mut();
    if !hubs.uses_hubs() || hubs.is_hub(now) || holds_engine_duty(edge) {
        return true;
    }
    !edge.view.borrow().is_hub_reading(now)
}

async fn join(edge: &Rc<Edge>) -> Result<(), StoreError> {
    let generation = edge.duty_leases.borrow().join_generation(edge.store.era());
    let ttl = edge.duty_leases.borrow().ttl();
    let millis = ttl.as_millis() as u64;
    let call = LogRequest::join(DUTY_GROUP, edge.vm.as_str(), DUTY_TOPIC, millis, generation);
    let join_timeout = edge.duty_leases.borrow().join_timeout();
    edge.duty_leases.borrow_mut().record_join(ttl, edge.now());
    let response = edge.store.call(call, join_timeout).await.inspect_err(|_| {
        edge.metrics.record_store_failure(DUTY_GROUP);
        edge.duty_leases.borrow_mut().record_timeout();
    })?;
    edge.metrics.record_store_call(DUTY_GROUP);
    let group = decode_membership(&response.body)?;
    let GroupMembership { generation, partitions: duties } = group;
    let assignment = GroupAssignment { era: response.era, generation, duties, ttl };
    let changes =
        edge.duty_leases.borrow_mut().apply_assignment(&assignment, response.sent_at, edge.now());
    handle_duty_changes(edge, &changes);
    Ok(())
}

fn handle_duty_changes(edge: &Rc<Edge>, changes: &[DutyChange]) {
    for change in changes {
        let leases = edge.duty_leases.borrow();
        let (era, generation) = (leases.era(), leases.generation());
        log::info!(target: "duty", change:? = change, era:% = era, generation = generation; "Duty assignment changed.");
    }
    duty_claims::announce(edge, changes);
    if !changes.is_empty() {
        edge.planner_wakeup.notify_one();
    }
}

/// Leaves the group, so that another vm takes over the duties at once. Before that, this vm stops
/// giving orders and waits for those in flight, since the next holder does not wait for them.
pub async fn leave(edge: &Rc<Edge>) {
    let changes = edge.duty_leases.borrow_mut().release_all(edge.now());
    handle_duty_changes(edge, &changes);
    let until = edge.now() + ORDER_TIMEOUT;
    while edge.orders_in_flight.get() > 0 && edge.now() < until {
        tokio::time::sleep(ORDER_POLL_INTERVAL).await;
    }
    let call = LogRequest::leave(DUTY_GROUP, edge.vm.as_str());
    if let Err(err) = edge.store.call(call, LEAVE_TIMEOUT).await {
        log::warn!(target: "duty", error:% = err; "Leaving the duty group failed; the duties expire on their own.");
    }
}
