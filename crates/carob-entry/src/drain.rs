//! Graceful shutdown: requests run to their end, and the rate slots are released.

use std::sync::Arc;
use std::time::Duration;

use carob_net::Server;
use carobglade::Record;

use crate::quota_tasks;
use crate::settings::millis;
use crate::shared_state::SharedState;

const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for the last records to be read back from the log.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Drains the process: reports not ready, then refuses new requests, then waits until every request
/// and stream ends, releases the rate slots, leaves the fleet and waits until no caller may use an
/// idle connection of `servers`, as it was told.
///
/// Returns whether all requests ended before the drain timeout.
pub async fn drain(shared: &Arc<SharedState>, servers: &[Server]) -> bool {
    let until = shared.now() + millis(shared.settings.times.max_drain);
    shared.lifecycle.announce_drain();
    shared.heartbeat_now.notify_one();
    log::info!(
        "drain: reporting not ready; refusing new requests in {} ms",
        shared.settings.times.drain_notice
    );
    tokio::time::sleep(millis(shared.settings.times.drain_notice)).await;
    shared.lifecycle.refuse_requests();
    shared.heartbeat_now.notify_one();
    let ended = wait_for_requests(shared).await;
    quota_tasks::release_all(shared).await;
    leave_fleet(shared).await;
    wait_for_promises(shared, servers, until).await;
    ended
}

async fn wait_for_promises(shared: &SharedState, servers: &[Server], until: Duration) {
    let promised = servers.iter().map(Server::promised_time).max().unwrap_or_default();
    tokio::time::sleep(promised.min(until.saturating_sub(shared.now()))).await;
}

async fn wait_for_requests(shared: &SharedState) -> bool {
    let until = shared.now() + millis(shared.settings.times.max_drain);
    loop {
        let running = shared.lifecycle.running();
        if running == 0 {
            return true;
        }
        if shared.now() >= until {
            log::warn!("drain: timeout with {running} requests still in flight");
            shared.lifecycle.abort_requests();
            return false;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until the outcomes of all sent calls and the released slots are in the log, then appends
/// the record that this process leaves, and waits until it is applied. Both waits time out.
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
    log::info!("drain: left the fleet");
}
