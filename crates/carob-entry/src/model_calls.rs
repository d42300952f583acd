//! Calls to the model API.

use std::collections::BTreeSet;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use carob_net::{ChunkSender, Reply, StreamingResponse, watch_silence};
use carobglade::{
    Config, Error, ErrorKind, Fingerprint, InactivityTimeout, ModelCall, RequestClass, Result,
    Tenant, Tokens, UpstreamName,
};
use serde_json::{Value, json};
use tokio::sync::mpsc::UnboundedSender;

use crate::active_call::ActiveCall;
use crate::attempts::{AttemptEvent, Attempts, FailedAttempt};
use crate::caller_request::CallerRequest;
use crate::dispatch;
use crate::forward::{self, HeadTimeout, UpstreamRequest, forwarded_headers};
use crate::permit::Permit;
use crate::reservation;
use crate::settings::millis;
use crate::shared_state::SharedState;
use crate::state::InFlight;
use crate::token_counter::TokenCounter;

/// Maximum attempts of a request, including the first.
const MAX_ATTEMPTS: u32 = 4;

/// Delay after which callers may retry a request that failed on its upstreams.
const RETRY_AFTER: Duration = Duration::from_secs(1);

const CLASS_HEADER: &str = "x-request-class";
const PRIORITY_HEADER: &str = "x-priority";

/// Maximum time that an engine takes for each token.
const MAX_TIME_PER_TOKEN: Duration = Duration::from_millis(100);

/// Status with which an engine responds if the model is not loaded.
const MODEL_NOT_LOADED_STATUS: u16 = 409;

/// Returns the models that a tenant may use.
pub fn list_models(tenant: &Tenant) -> Reply {
    let models = tenant.models.iter();
    let data: Vec<Value> = models.map(|m| json!({ "id": m.as_str(), "object": "model" })).collect();
    Reply::json(200, &json!({ "object": "list", "data": data }))
}

/// Handles a completion request.
pub async fn handle_completion(
    shared: Arc<SharedState>,
    config: Arc<Config>,
    tenant: Tenant,
    key: String,
    incoming: CallerRequest,
    guard: InFlight,
) -> Result<Reply> {
    let body: Value = serde_json::from_slice(&incoming.body).map_err(|err| {
        Error::new(ErrorKind::InvalidRequest, format!("body is not valid JSON: {err}"))
    })?;
    let call = ModelCall::parse(&body)?;
    check_model(&config, &tenant, &call)?;
    let class = request_class(&tenant, &incoming)?;
    let request = Fingerprint::of("POST", &incoming.path, &incoming.body);
    check_not_quarantined(&shared, request)?;
    let reservation = reservation::reserve(&shared, &tenant, call.max_charge()).await?;
    let mut headers = forwarded_headers(&incoming.headers, Some(&key), &incoming.id);
    headers.insert(PRIORITY_HEADER, http::HeaderValue::from(u16::from(class.priority())));
    let outgoing = UpstreamRequest {
        method: incoming.method,
        target: incoming.path,
        headers,
        body: incoming.body,
        id: incoming.id,
        request,
        head_timeout: head_timeout(&call),
    };
    let started = incoming.started;
    let reservation = Some(reservation);
    let call = ActiveCall {
        shared,
        tenant,
        class,
        model_call: call,
        outgoing,
        started,
        reservation,
        _guard: guard,
    };
    call_with_retries(call).await
}

/// Returns the timeout for the head of the response. Without streaming, an engine sends nothing
/// before it has generated the last token.
fn head_timeout(call: &ModelCall) -> HeadTimeout {
    if call.stream {
        return HeadTimeout::Streamed(call.prompt_tokens.0);
    }
    let tokens = u32::try_from(call.max_charge().0).unwrap_or(u32::MAX);
    HeadTimeout::Buffered(MAX_TIME_PER_TOKEN * tokens)
}

fn check_model(config: &Config, tenant: &Tenant, call: &ModelCall) -> Result<()> {
    let name = call.model.as_str();
    if !config.models.contains_key(&call.model) {
        return Err(Error::new(ErrorKind::ModelNotFound, format!("model {name:?} does not exist")));
    }
    if !tenant.models.contains(&call.model) {
        let message = format!("tenant {} may not use model {name:?}", tenant.name);
        return Err(Error::new(ErrorKind::Forbidden, message));
    }
    if call.max_charge() > tenant.rate_limit.burst {
        let message = format!(
            "the request may use {} tokens, but the burst of tenant {} is {}",
            call.max_charge(),
            tenant.name,
            tenant.rate_limit.burst
        );
        return Err(Error::new(ErrorKind::InvalidRequest, message));
    }
    Ok(())
}

fn request_class(tenant: &Tenant, incoming: &CallerRequest) -> Result<RequestClass> {
    match incoming.headers.get(CLASS_HEADER) {
        // A request may have a lower priority than the class of its tenant, but not a higher one.
        Some(value) => Ok(RequestClass::from_str(value.to_str().unwrap_or(""))?.max(tenant.class)),
        None => Ok(tenant.class),
    }
}

fn check_not_quarantined(shared: &SharedState, request: Fingerprint) -> Result<()> {
    if shared.log_state.is_quarantined(request) {
        let message = "the request was in flight on several upstreams when they crashed";
        return Err(Error::new(ErrorKind::Quarantined, message));
    }
    Ok(())
}

/// An upstream's answer up to its first chunk.
struct Answer {
    permit: Permit,
    response: StreamingResponse,
    first: Option<Bytes>,
}

/// Sends the request until an upstream responds, a retry is not allowed, or `MAX_ATTEMPTS` is
/// reached. An attempt at a silent upstream goes on beside the next one until one of them responds.
async fn call_with_retries(call: ActiveCall) -> Result<Reply> {
    let shared = Arc::clone(&call.shared);
    shared.request_queue.deposit_retry();
    let mut tried = BTreeSet::new();
    let mut last: Option<Error> = None;
    let mut attempts = Attempts::default();
    start_attempt(&call, &mut attempts, &tried);
    let mut started = 1;
    while let Some(event) = attempts.next().await {
        let upstream = match event {
            AttemptEvent::Answered(answer) => {
                drop(attempts);
                return forward_response(call, answer).await;
            }
            AttemptEvent::Failed(FailedAttempt { upstream: Some(upstream), error }) => {
                last = Some(error);
                upstream
            }
            AttemptEvent::Failed(FailedAttempt { upstream: None, error }) => {
                last = Some(last.unwrap_or(error));
                started = MAX_ATTEMPTS;
                continue;
            }
            // The second attempt there uses a new connection; a third would tell nothing more.
            AttemptEvent::Silent(upstream) if tried.contains(&upstream) => continue,
            AttemptEvent::Silent(upstream) => upstream,
        };
        tried.insert(upstream);
        if started < MAX_ATTEMPTS && may_retry(&shared, &call) {
            start_attempt(&call, &mut attempts, &tried);
            started += 1;
        }
    }
    let err = last.unwrap_or_else(|| Error::new(ErrorKind::UpstreamUnavailable, "no upstream"));
    Err(match err.retry_after() {
        Some(_) => err,
        None => err.with_retry_after(RETRY_AFTER),
    })
}

/// Starts an attempt that waits for a permit and then for the first chunk of the response.
fn start_attempt(
    call: &ActiveCall,
    attempts: &mut Attempts<Answer>,
    tried: &BTreeSet<UpstreamName>,
) {
    let (shared, outgoing) = (Arc::clone(&call.shared), call.outgoing.clone());
    let requirements = call.requirements(tried);
    let silence = attempts.silence_sender();
    attempts.start(async move {
        let permit = dispatch::acquire_permit(&shared, requirements).await;
        let permit = permit.map_err(|error| FailedAttempt { upstream: None, error })?;
        match call_upstream(&shared, &outgoing, &permit, &silence).await {
            Ok((response, first)) => Ok(Answer { permit, response, first }),
            Err(error) => {
                record_failure(&shared, &outgoing, &permit, &error).await;
                Err(FailedAttempt { upstream: Some(permit.upstream.clone()), error })
            }
        }
    });
}

fn may_retry(shared: &SharedState, call: &ActiveCall) -> bool {
    let refused = shared.log_state.is_quarantined(call.outgoing.request);
    let allowed = !refused && shared.request_queue.withdraw_retry(shared.now());
    if allowed {
        shared.metrics.count_retry();
    }
    allowed
}

/// Calls the upstream of a permit and waits for the first chunk of the response, so that a failure
/// before the first chunk can be retried. Tells `silence` if the upstream takes longer than expected.
async fn call_upstream(
    shared: &SharedState,
    outgoing: &UpstreamRequest,
    permit: &Permit,
    silence: &UnboundedSender<UpstreamName>,
) -> Result<(StreamingResponse, Option<Bytes>)> {
    let upstream = &permit.upstream;
    let expected = forward::head_timeout(shared, upstream, outgoing.head_timeout);
    let mut silent = false;
    let answer =
        watch_silence(receive_first(shared, outgoing, upstream, expected), expected, || {
            silent = true;
            forward::record_silence(shared, upstream, &outgoing.id, expected);
            // The receiver is gone only if the request ended.
            let _ = silence.send(upstream.clone());
        });
    let answer = answer.await;
    if silent && answer.is_ok() {
        shared.upstreams.record_progress(upstream);
    }
    answer
}

async fn receive_first(
    shared: &SharedState,
    outgoing: &UpstreamRequest,
    upstream: &UpstreamName,
    expected: Duration,
) -> Result<(StreamingResponse, Option<Bytes>)> {
    let client = shared.upstreams.client(upstream);
    let mut response = forward::open(shared, &client, upstream, outgoing).await?;
    if response.status == MODEL_NOT_LOADED_STATUS {
        return Err(Error::new(ErrorKind::UpstreamUnavailable, "the model is not loaded"));
    }
    if response.status >= 500 {
        let message = format!("upstream answered {}", response.status);
        return Err(Error::new(ErrorKind::UpstreamFailed, message));
    }
    let first = response.next_chunk(forward::longest_wait(shared, expected)).await?;
    Ok((response, first))
}

async fn record_failure(
    shared: &SharedState,
    outgoing: &UpstreamRequest,
    permit: &Permit,
    err: &Error,
) {
    log::warn!("model: request {} failed on upstream {}: {err}", outgoing.id, permit.upstream);
    shared.upstreams.record_result(&permit.upstream, Err(err.kind()), shared.now());
    if err.kind() == ErrorKind::UpstreamFailed {
        forward::record_suspicion(shared, &permit.upstream, outgoing.request).await;
    }
}

/// Forwards a response whose first chunk has arrived: a stream in a task of its own, other
/// responses as a whole.
async fn forward_response(mut call: ActiveCall, answer: Answer) -> Result<Reply> {
    let Answer { permit, mut response, first } = answer;
    let shared = Arc::clone(&call.shared);
    let waited = shared.now() - call.started;
    shared.metrics.record_first_token(call.tenant.name.as_str(), call.class, waited);
    let headers = forwarded_headers(&response.headers, None, &call.outgoing.id);
    let status = response.status;
    if call.model_call.stream && status == 200 {
        let (tx, reply) = Reply::stream(status);
        tokio::spawn(async move { relay_stream(call, permit, response, first, tx).await });
        return Ok(reply.with_headers(headers));
    }
    let mut body = first.unwrap_or_default().to_vec();
    let timeout = millis(shared.settings.times.between_chunks);
    loop {
        let next = forward::next_chunk(
            &shared,
            &permit.upstream,
            &call.outgoing.id,
            &mut response,
            timeout,
        );
        match next.await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => break,
            Err(err) => {
                record_failure(&shared, &call.outgoing, &permit, &err).await;
                return Err(err.with_retry_after(RETRY_AFTER));
            }
        }
    }
    let mut counter = TokenCounter::default();
    counter.add_chunk(&body);
    let used = if status == 200 { call.model_call.prompt_tokens.0 + counter.tokens() } else { 0 };
    call.finish(&permit, Tokens(used));
    Ok(Reply::new(status, "application/json", body).with_headers(headers))
}

/// Forwards a stream chunk by chunk. The stream to the caller is aborted if the upstream ends
/// without the last event or the caller stops reading.
async fn relay_stream(
    mut call: ActiveCall,
    permit: Permit,
    mut response: StreamingResponse,
    first: Option<Bytes>,
    tx: ChunkSender,
) {
    let shared = Arc::clone(&call.shared);
    let mut inactivity: InactivityTimeout =
        forward::inactivity_timeout(&shared, &permit.upstream, call.model_call.prompt_tokens.0);
    let mut counter = TokenCounter::default();
    let mut next = Ok(first);
    let mut last = shared.now();
    while let Ok(Some(chunk)) = next {
        counter.add_chunk(&chunk);
        inactivity.record_chunk();
        let sending =
            tokio::time::timeout(millis(shared.settings.times.caller_stall), tx.send(chunk));
        if !matches!(sending.await, Ok(true)) {
            let used = Tokens(call.model_call.prompt_tokens.0 + counter.tokens());
            log::info!(
                "model: caller of request {} closed the connection or stopped reading",
                call.outgoing.id
            );
            return call.finish(&permit, used);
        }
        let waiting = forward::next_chunk(
            &shared,
            &permit.upstream,
            &call.outgoing.id,
            &mut response,
            inactivity.limit(),
        );
        next = tokio::select! {
            chunk = waiting => chunk,
            () = tx.closed() => Ok(None),
        };
        let now = shared.now();
        shared.metrics.record_token_gap(call.tenant.name.as_str(), call.class, now - last);
        last = now;
    }
    let used = Tokens(call.model_call.prompt_tokens.0 + counter.tokens());
    if let Err(err) = next {
        record_failure(&shared, &call.outgoing, &permit, &err).await;
        call.settle(used);
        return;
    }
    call.finish(&permit, used);
    if counter.is_complete() {
        tx.finish().await;
    }
}
