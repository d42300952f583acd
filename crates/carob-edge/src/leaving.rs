//! Upstreams that say in their responses that they are leaving, which the list may tell later or, to a
//! vm that is cut off from the log, not at all.

use carob_platform::server_leaving;
use carobglade::{LeavingNotice, UpstreamEntry};
use http::HeaderMap;

use crate::edge::Edge;

/// Notices of one message, at most; those left out are told by the list.
const MAX_NOTICES: usize = 64;

/// Records whether an upstream says in a response that it is leaving. What cannot be read changes
/// nothing.
pub fn read(edge: &Edge, entry: &UpstreamEntry, headers: &HeaderMap) {
    match server_leaving(headers) {
        Ok(false) => {}
        Ok(true) => {
            let (upstream, started_ms) = (entry.name.clone(), entry.started_ms);
            record(edge, &LeavingNotice { upstream, started_ms }, "upstream");
        }
        Err(err) => {
            log::warn!(target: "upstreams", upstream:% = entry.name, error:% = err; "Whether an upstream is leaving cannot be read.");
        }
    }
}

/// Applies what another vm told.
pub fn apply_notices(edge: &Edge, notices: &[LeavingNotice]) {
    notices.iter().for_each(|notice| record(edge, notice, "vm"));
}

/// Returns what other vms are told.
pub fn notices(edge: &Edge) -> Vec<LeavingNotice> {
    let mut notices = edge.view.borrow().upstreams.leaving_notices();
    notices.truncate(MAX_NOTICES);
    notices
}

fn record(edge: &Edge, notice: &LeavingNotice, source: &str) {
    if !edge.view.borrow_mut().upstreams.record_leaving(notice, edge.now()) {
        return;
    }
    log::info!(target: "upstreams", upstream:% = notice.upstream, source = source; "An upstream says that it is leaving.");
    edge.gossip_wakeup.notify_one();
    edge.on_placement_changed();
}
