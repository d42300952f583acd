//! Refuses requests that may not end before the process does.

use std::time::Duration;

use carobglade::{Error, ErrorKind, RequestWork, Result, StopAdmission, StopAdmissionSettings};

use crate::edge::Edge;
use crate::request::CallerRequest;

/// Shortest retry time of a request that another vm can serve.
const OTHER_VM_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time until the load balancer stops sending new callers to a vm that is no longer ready.
const READINESS_DELAY: Duration = Duration::from_millis(2600);

/// Returns the time from SIGTERM until the load balancer sends new callers elsewhere.
pub fn readiness_delay(grace: Duration) -> Duration {
    READINESS_DELAY.min(grace / 3)
}

/// Returns the error of a request that was not sent because the process stops.
pub fn draining_error(edge: &Edge) -> Error {
    let wait = edge.rerouted_at.get().saturating_sub(edge.now());
    let err = Error::new(ErrorKind::Draining, "the process is stopping");
    err.with_retry_after(wait.max(OTHER_VM_RETRY_AFTER))
}

fn admission(edge: &Edge, request: &CallerRequest) -> Option<StopAdmission> {
    let margin = match request.route.kind.is_stream() {
        true => Duration::ZERO,
        false => edge.settings.abort_margin(),
    };
    let end = edge.drain_deadline.get()?.saturating_sub(margin);
    Some(StopAdmission::new(end, edge.rerouted_at.get(), StopAdmissionSettings::default()))
}

/// Checks a request that is about to be sent to an upstream whose first byte is expected after
/// `estimate`, and whose streams get `token_rate` output tokens a second, if that is known.
///
/// # Errors
///
/// Returns an error when the process may stop before the request ends.
pub fn check(
    edge: &Edge,
    request: &CallerRequest,
    estimate: Duration,
    token_rate: Option<f64>,
) -> Result<()> {
    let Some(admission) = admission(edge, request) else {
        return Ok(());
    };
    let work = expected_work(edge, request, estimate, token_rate);
    let admitted = admission.admits(&work, request.deadline, edge.now());
    log_decision(edge, request, &work, admitted);
    if admitted { Ok(()) } else { Err(draining_error(edge)) }
}

fn log_decision(edge: &Edge, request: &CallerRequest, work: &RequestWork, admitted: bool) {
    let now = edge.now();
    let end = edge.drain_deadline.get().unwrap_or_default();
    let (first, tokens, rate) = match *work {
        RequestWork::Plain { time } => (time, 0, None),
        RequestWork::Stream { first_byte, tokens, token_rate } => (first_byte, tokens, token_rate),
    };
    log::info!(target: "request", id = request.caller_headers.request_id.as_str(), admitted = admitted, rerouted = now >= edge.rerouted_at.get(), end = end.saturating_sub(now).as_millis() as u64, left = request.remaining_time(now).as_millis() as u64, first = first.as_millis() as u64, expected = tokens, most = request.max_output(), rate = rate.unwrap_or(0.0).round() as u64; "A stopping process decided on a request.");
}

/// Checks a request before anything is asked or waited for. What arrives when open requests are given
/// up is refused, and so is, once refused callers reach another vm, what may be broken off and cannot
/// be sent again: a stream, or a request that may run once only.
///
/// # Errors
///
/// Returns an error when the process stops, or may stop, before the request ends.
pub fn check_arrival(edge: &Edge, request: &CallerRequest) -> Result<()> {
    if edge.aborting.get() {
        return Err(draining_error(edge));
    }
    let kind = request.route.kind;
    match kind.is_stream() || !kind.is_repeatable() {
        true => check_wait(edge, request),
        false => Ok(()),
    }
}

/// Checks a request that has to wait until an upstream can take it.
///
/// # Errors
///
/// Returns an error when the process may stop before.
pub fn check_wait(edge: &Edge, request: &CallerRequest) -> Result<()> {
    match admission(edge, request) {
        Some(admission) if !admission.admits_wait(request.deadline, edge.now()) => {
            Err(draining_error(edge))
        }
        _ => Ok(()),
    }
}

fn expected_work(
    edge: &Edge,
    request: &CallerRequest,
    estimate: Duration,
    token_rate: Option<f64>,
) -> RequestWork {
    if !request.route.kind.is_stream() {
        let longest = edge.response_times.borrow().longest(&request.service, edge.now());
        let time = estimate.max(longest.unwrap_or(request.route.latency_goal));
        return RequestWork::Plain { time };
    }
    let received = request.caller_headers.last_event.unwrap_or(0);
    let expected = request.expected_output();
    let pace = edge.token_pace.borrow();
    let tokens = pace.remaining_tokens(&request.service, expected, received);
    RequestWork::Stream { first_byte: estimate, tokens, token_rate }
}
