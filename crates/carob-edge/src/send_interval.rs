//! How often a vm tells the others its state.

use std::time::Duration;

use crate::edge::Edge;

/// Interval between two messages to a vm when there is no news.
pub const SEND_INTERVAL: Duration = Duration::from_millis(200);
/// Messages per second that a vm without news sends to all peers together, at most, in a fleet
/// without hubs.
const MAX_SEND_RATE: f64 = 40.0;

/// Returns the longest time between two messages of this vm.
pub fn longest(edge: &Edge) -> Duration {
    if edge.hubs.borrow().uses_hubs() {
        return SEND_INTERVAL;
    }
    let min_interval = Duration::from_secs_f64(edge.fleet_size() as f64 / MAX_SEND_RATE);
    SEND_INTERVAL.max(min_interval)
}
