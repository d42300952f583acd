//! Planned stops: no request is cut off, and what the process holds is handed over.

use std::sync::Arc;
use std::time::Duration;

use carobglade::Record;

use crate::quota_tasks;
use crate::settings::millis;
use crate::shared_state::SharedState;

const POLL_INTERVAL: Duration = Duration::from_millis(50);
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3); // for the last records to reach the log

/// Drains the process: not ready, then no new requests, then every request and stream to its end.
///
/// Returns whether all requests ended within the limit.
pub async fn drain(shared: &Arc<SharedState>) -> bool {
    shared.lifecycle.announce_drain();
    shared.heartbeat_now.notify_one();
    log::info!(
        "drain: Not ready any more; the balancer has {} ms.",
        shared.settings.times.drain_notice
    );
    tokio::time::sleep(millis(shared.settings.times.drain_notice)).await;
    shared.lifecycle.refuse_requests();
    shared.heartbeat_now.notify_one();
    let ended = wait_for_requests(shared).await;
    quota_tasks::release_all(shared).await;
    leave_fleet(shared).await;
    ended
}

async fn wait_for_requests(shared: &SharedState) -> bool {
    let until = shared.now() + millis(shared.settings.times.max_drain);
    loop {
        let running = shared.lifecycle.running();
        if running == 0 {
            return true;
        }
        if shared.now() >= until {
            log::warn!("drain: {running} requests still ran at the limit.");
            return false;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until the ends of all sent calls are in the log, then leaves.
async fn leave_fleet(shared: &SharedState) {
    let until = shared.now() + LEAVE_TIMEOUT;
    loop {
        let ended = shared.claim_tracker.forget_completed(&shared.log_state, &shared.me);
        let settled = ended && !shared.quota.is_releasing();
        if settled || shared.now() >= until {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    drop(shared.control_batcher.add(Record::Leave(shared.me.clone())));
    while shared.log_state.member(&shared.me).is_some() && shared.now() < until + LEAVE_TIMEOUT {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    log::info!("drain: Left the fleet.");
}
