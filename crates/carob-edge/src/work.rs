//! The work of requests, learned for each model of a service.

use std::time::Duration;

use carobglade::{ExpectedWork, ModelName, UpstreamName};

use crate::edge::Edge;
use crate::request::CallerRequest;

/// Returns the work of a prompt token of the request; none where costs are not learned, since all
/// models of the service are alike.
pub fn token_cost(edge: &Edge, request: &CallerRequest) -> Option<f64> {
    let model = learned_model(request)?;
    Some(edge.work.borrow().model_cost(&request.service, model))
}

/// Returns the work of the request's prompt, in tokens of normal cost.
pub fn prompt_work(edge: &Edge, request: &CallerRequest) -> u64 {
    let cost = token_cost(edge, request).unwrap_or(1.0);
    (request.prompt_tokens() as f64 * cost).round() as u64
}

fn learned_model(request: &CallerRequest) -> Option<&ModelName> {
    let engine = request.config.engine(&request.service)?;
    request.caller_headers.model.as_ref().filter(|_| engine.has_unlike_models())
}

/// Records that the first event of a stream from `upstream` came after `observed`.
pub fn record_first_event(
    edge: &Edge,
    request: &CallerRequest,
    upstream: &UpstreamName,
    observed: Duration,
    expected: &ExpectedWork,
) {
    if let Some(model) = learned_model(request) {
        let mut work = edge.work.borrow_mut();
        work.record_first_event(&request.service, model, upstream, observed, expected);
    }
}
