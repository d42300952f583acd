//! Whether an upstream whose connection broke has ended.

use std::time::Duration;

use carobglade::UpstreamRegistry;

use crate::broken_attempt::UpstreamRun;
use crate::edge::Edge;

/// Times from the break at which the upstream is asked for a connection. A process that ends may
/// close its connections before the address at which it listens.
const CONNECTION_CHECKS: [Duration; 5] = [
    Duration::ZERO,
    Duration::from_millis(30),
    Duration::from_millis(100),
    Duration::from_millis(300),
    Duration::from_millis(1000),
];
/// Time from the break in which the list may name a later run at the address. Where a supervisor
/// keeps the listener, an address never refuses connections.
const LIST_TIME: Duration = Duration::from_secs(3);
const LIST_INTERVAL: Duration = Duration::from_millis(250);

/// Reports whether a run of an upstream ends: it refuses connections at one of the checks, or the
/// list names a later run soon.
pub async fn ends(edge: &Edge, run: &UpstreamRun) -> bool {
    let started = edge.now();
    for check in CONNECTION_CHECKS {
        if is_replaced_by(edge, run, started + check).await {
            return true;
        }
        if edge.pool.is_refused(run.address).await {
            return true;
        }
    }
    is_replaced_by(edge, run, started + LIST_TIME).await
}

/// Waits until the list names a later run; returns false if it does not by `end`.
async fn is_replaced_by(edge: &Edge, run: &UpstreamRun, end: Duration) -> bool {
    loop {
        if is_replaced(&edge.view.borrow().upstreams, run) {
            return true;
        }
        let left = end.saturating_sub(edge.now());
        if left.is_zero() {
            return false;
        }
        tokio::time::sleep(left.min(LIST_INTERVAL)).await;
    }
}

/// Reports whether the list names a later run of the upstream, or of another one at its address.
fn is_replaced(upstreams: &UpstreamRegistry, run: &UpstreamRun) -> bool {
    upstreams.entries().any(|entry| {
        let same_place = entry.name == run.crash.upstream || entry.address == run.address;
        same_place && entry.started_ms > run.crash.started_ms
    })
}
