//! Handles a caller's request: admission, attempts at upstreams, retries and the response.

use std::rc::Rc;

use carobglade::{AttemptHistory, Error, ErrorKind, Result};
use http::{Request, Response};
use hyper::body::Incoming;

use crate::attempt::{AttemptResponse, FullResponse};
use crate::attempts::{Attempts, FAILED_RETRY_AFTER};
use crate::caller_connection::ServingGuard;
use crate::charge::{charge, refund};
use crate::edge::Edge;
use crate::in_flight::InFlightGuard;
use crate::open_request::OpenRequest;
use crate::origins;
use crate::quarantine;
use crate::relay::relay_stream;
use crate::request::{CallerRequest, discard_body, read_request};
use crate::response::{ResponseBody, error_response, forwarded_response};
use crate::stop_admission::{self, draining_error};

/// Serves a request and returns the response, or an error response when it is refused.
pub async fn handle(
    edge: Rc<Edge>,
    request: Request<Incoming>,
    serving: &ServingGuard,
) -> Response<ResponseBody> {
    let active = edge.active_requests.increment();
    let arrival = edge.now();
    let id = request.headers().get("request-id").cloned();
    let (parts, mut body) = request.into_parts();
    let reading = async {
        tokio::select! {
            biased;
            request = read_request(&edge, parts, &mut body, arrival) => request,
            () = aborted_by_shutdown(&edge) => {
                Err(Error::new(ErrorKind::BodyTimeout, "the process stops before the body is whole"))
            }
        }
    };
    let (size, result) = match reading.await {
        Ok(request) => {
            serving.end_body();
            (Some(request.size()), serve(&edge, request, active).await)
        }
        Err(err) => (None, Err(err)),
    };
    match result {
        Ok(response) => {
            edge.stop_counts.record_response();
            response
        }
        Err(err) => {
            // A body that was late is not waited for again.
            let late = err.kind() == ErrorKind::BodyTimeout;
            let whole = size.is_some() || (!late && discard_body(&mut body).await);
            serving.end_body();
            edge.stop_counts.record_refusal();
            let took = edge.now().saturating_sub(arrival);
            let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
            edge.metrics.record_refusal(err.kind());
            let size = size.unwrap_or_default();
            log::info!(target: "request", id = id, kind = err.kind().response().code, why = err.message(), route = size.route.as_str(), prompt = size.prompt, output = size.output, took = took.as_millis() as u64, retry = err.retry_after().map_or(0, |r| r.as_millis() as u64); "A request was refused.");
            let close = edge.stopping.get() || err.kind() == ErrorKind::NotReady || !whole;
            error_response(&err, close)
        }
    }
}

/// Returns the level of the tenant's token bucket in this process; 0 without a tenant.
fn remaining_tokens(edge: &Edge, request: &CallerRequest) -> i64 {
    let tenant = request.tenant.as_ref();
    tenant.and_then(|tenant| edge.rate_limiter.borrow().level(&tenant.name)).unwrap_or_default()
}

async fn serve(
    edge: &Rc<Edge>,
    request: CallerRequest,
    active: InFlightGuard,
) -> Result<Response<ResponseBody>> {
    edge.deposit_retry(&request.service);
    charge(edge, &request).await?;
    // Requests refused by the tenant's rate are not demand: another replica would not serve them.
    if let Some(model) = &request.caller_headers.model {
        let work = request.prompt_tokens() + request.expected_output();
        edge.demand.borrow_mut().record_request(&request.service, model, work, edge.now());
        let mut pace = edge.token_pace.borrow_mut();
        pace.record_request(&request.service, request.token_rate());
    }
    log::info!(target: "request", id = request.caller_headers.request_id.as_str(), route = request.route.name.as_str(), service = request.service.as_str(), tenant = request.tenant.as_ref().map_or("", |t| t.name.as_str()), model = request.caller_headers.model.as_ref().map_or("", |m| m.as_str()), parts = request.prompt.to_string().as_str(), version = request.config.version, resumes = request.resumes_label(), last = request.caller_headers.last_event.unwrap_or(0), tokens = request.charged_tokens().0, prompt = request.prompt_tokens(), output = request.expected_output(), level = remaining_tokens(edge, &request), left = request.remaining_time(edge.now()).as_millis() as u64; "A request was admitted.");
    let open = OpenRequest::new(edge, &request);
    let attempts = Attempts::new(edge, &request, AttemptHistory::default());
    let limit = request.remaining_time(edge.now());
    let outcome = tokio::select! {
        result = first_response(edge, &request, &attempts) => result,
        () = tokio::time::sleep(limit) => Err(timeout_error(attempts.history())),
        () = aborted_by_shutdown(edge) => Err(attempts.hide_not_run(draining_error(edge))),
        err = quarantine::wait_until_blocked(edge, &request.prompt) => Err(attempts.hide_not_run(err)),
    };
    let history = attempts.history();
    match outcome {
        Ok(AttemptResponse::Full(response)) => {
            open.close();
            record_response(edge, &request, response.status);
            Ok(full_response(response))
        }
        Ok(AttemptResponse::Stream(stream)) => {
            record_response(edge, &request, stream.status);
            Ok(relay_stream(edge, request, open, *stream, history, active))
        }
        Err(err) => {
            open.close();
            if !history.may_have_run() {
                refund(edge, &request);
            }
            Err(err)
        }
    }
}

/// Tries upstreams, those of the version that began the stream if the request resumes one.
async fn first_response(
    edge: &Rc<Edge>,
    request: &CallerRequest,
    attempts: &Attempts<'_>,
) -> Result<AttemptResponse> {
    stop_admission::check_arrival(edge, request)?;
    origins::bind(edge, request).await?;
    attempts.first_response(None).await
}

/// Completes before the process exits, if the request has no response by then.
async fn aborted_by_shutdown(edge: &Edge) {
    loop {
        let changed = edge.shutdown_changed.notified();
        if edge.aborting.get() {
            return;
        }
        changed.await;
    }
}

fn record_response(edge: &Edge, request: &CallerRequest, status: u16) {
    let tenant = request.tenant.as_ref().map_or("", |tenant| tenant.name.as_str());
    let took = edge.now().saturating_sub(request.arrival);
    edge.metrics.record_response(tenant, &request.service, status, took);
}

fn timeout_error(history: AttemptHistory) -> Error {
    let kind = if history.sent() > 0 { ErrorKind::Timeout } else { ErrorKind::UpstreamUnavailable };
    Error::new(kind, "no answer came in time").with_retry_after(FAILED_RETRY_AFTER)
}

fn full_response(response: FullResponse) -> Response<ResponseBody> {
    forwarded_response(response.status, response.headers, ResponseBody::Full(Some(response.body)))
}
