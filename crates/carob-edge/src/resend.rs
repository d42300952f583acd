//! Sends a request once more to an upstream whose connection broke, where no other one may take it.
//!
//! A vm that loses its path to an upstream loses its connections there, though the upstream goes on.
//! Another path leads there through another vm, and the attempts of a route limit the number of
//! upstreams that a request is sent to.

use std::rc::Rc;

use carobglade::{AttemptHistory, AttemptOutcome, UpstreamName};

use crate::choose::has_candidate;
use crate::edge::Edge;
use crate::paths;
use crate::request::CallerRequest;

/// Reports whether a request with the attempts in `history` may be sent once more to the upstream
/// `name`, whose connection broke with `outcome`: no upstream that is not among `tried` may take it,
/// this vm has lost its path to `name`, and another vm reaches it. Takes a retry from the budget.
pub async fn is_allowed(
    edge: &Rc<Edge>,
    request: &CallerRequest,
    history: AttemptHistory,
    tried: &[UpstreamName],
    name: &UpstreamName,
    outcome: AttemptOutcome,
) -> bool {
    let route = &request.route;
    let has_other = history.sent() < route.max_attempts && has_candidate(edge, request, tried);
    if has_other || !history.allows_resend(route.kind, outcome) {
        return false;
    }
    paths::is_cut(edge, name).await && edge.withdraw_retry(&request.service)
}

/// Returns the upstreams of the request's service but `name`.
pub fn other_upstreams(
    edge: &Edge,
    request: &CallerRequest,
    name: &UpstreamName,
) -> Vec<UpstreamName> {
    let view = edge.view.borrow();
    let names = view.upstreams.accepting(&request.service).map(|entry| &entry.name);
    names.filter(|other| *other != name).cloned().collect()
}
