//! Upstreams that turned a request away and said for how long they want none.

use std::time::Duration;

use carob_platform::quiet_time;
use carobglade::UpstreamEntry;
use http::HeaderMap;
use rand::Rng;

use crate::edge::Edge;

const SERVICE_UNAVAILABLE: u16 = 503;

/// Records whether an upstream that turned a request away says for how long it wants none. What
/// cannot be read counts as not said.
pub fn read(edge: &Edge, entry: &UpstreamEntry, status: u16, headers: &HeaderMap) {
    if status != SERVICE_UNAVAILABLE {
        return;
    }
    match quiet_time(headers) {
        Ok(None) => {}
        Ok(Some(time)) => record(edge, entry, time),
        Err(err) => {
            log::warn!(target: "upstreams", upstream:% = entry.name, error:% = err; "For how long an upstream wants no requests cannot be read.");
        }
    }
}

fn record(edge: &Edge, entry: &UpstreamEntry, time: Duration) {
    let spread = rand::rng().random();
    if edge.quiet_times.borrow_mut().record(&entry.name, time, spread, edge.now()) {
        edge.metrics.record_quiet_time();
        log::info!(target: "upstreams", upstream:% = entry.name, wait = time.as_millis() as u64; "An upstream wants no requests for a while.");
    }
}

/// Returns the upstreams that want requests, and the time until one of the others does.
pub fn open_upstreams(
    edge: &Edge,
    mut entries: Vec<UpstreamEntry>,
) -> (Vec<UpstreamEntry>, Option<Duration>) {
    let (quiet_times, now) = (edge.quiet_times.borrow(), edge.now());
    let waits = entries.iter().filter_map(|entry| quiet_times.left(&entry.name, now));
    let next = waits.min();
    entries.retain(|entry| quiet_times.left(&entry.name, now).is_none());
    (entries, next)
}

/// Reports whether an upstream wants no requests now.
pub fn is_quiet(edge: &Edge, entry: &UpstreamEntry) -> bool {
    edge.quiet_times.borrow().left(&entry.name, edge.now()).is_some()
}
