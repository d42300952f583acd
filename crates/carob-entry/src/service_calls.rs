//! Calls to plain services, including calls that must run at most once.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use carob_net::{HttpClient, HttpResponse, Reply, watch_silence};
use carobglade::{
    Claim, ClaimDecision, ClaimOutcome, ClaimRef, Config, Error, ErrorKind, Fingerprint, Record,
    RequestOutcome, Result, Route, Tenant, TenantName, UpstreamName, strip_query_keys,
    validate_idempotency_key,
};
use rand::Rng;

use crate::attempts::{AttemptEvent, Attempts, FailedAttempt};
use crate::caller_request::CallerRequest;
use crate::forward::{self, HeadTimeout, UpstreamRequest, forwarded_headers};
use crate::settings::millis;
use crate::shared_state::SharedState;
use crate::state::{InFlight, log_unavailable};

const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Maximum attempts of a call that may be repeated, including the first.
const MAX_ATTEMPTS: usize = 3;
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout for the outcome of another attempt with the same idempotency key.
const OTHER_ATTEMPT_WAIT: Duration = Duration::from_secs(1);

/// Tenant that owns the idempotency keys on routes without authentication.
const OPEN_TENANT: &str = "open";
const REPLAYED_HEADER: &str = "idempotent-replayed";

/// Forwards a request to a plain service.
pub async fn call_service(
    shared: Arc<SharedState>,
    config: Arc<Config>,
    route: Route,
    caller: Option<(Tenant, String)>,
    incoming: CallerRequest,
    _guard: InFlight,
) -> Result<Reply> {
    let key = caller.as_ref().map(|(_, key)| key.as_str());
    let query = strip_query_keys(&incoming.query, key);
    let target =
        if query.is_empty() { incoming.path.clone() } else { format!("{}?{query}", incoming.path) };
    let request = Fingerprint::of(incoming.method.as_str(), &target, &incoming.body);
    let outgoing = UpstreamRequest {
        headers: forwarded_headers(&incoming.headers, key, &incoming.id),
        method: incoming.method.clone(),
        target,
        body: incoming.body.clone(),
        id: incoming.id.clone(),
        request,
        head_timeout: HeadTimeout::Buffered(Duration::ZERO),
    };
    let service = config.services.get(&route.service);
    let upstreams = service.map(|service| service.upstreams.clone()).unwrap_or_default();
    let reply = if route.once.contains(incoming.method.as_str()) {
        let tenant = caller.as_ref().map(|(tenant, _)| tenant.name.clone());
        let tenant = tenant.unwrap_or_else(|| OPEN_TENANT.parse().unwrap_or_default());
        call_at_most_once(&shared, &route, tenant, &incoming, &upstreams, &outgoing).await
    } else {
        call_with_retries(&shared, &upstreams, &outgoing).await
    };
    let name = caller.as_ref().map_or(OPEN_TENANT, |(tenant, _)| tenant.name.as_str());
    let class = caller.as_ref().map(|(tenant, _)| tenant.class).unwrap_or_default();
    shared.metrics.record_request_time(name, class, shared.now() - incoming.started);
    reply
}

/// Returns the upstreams that accept new requests, in the order in which to try them.
fn usable_upstreams(shared: &SharedState, upstreams: &[UpstreamName]) -> Vec<UpstreamName> {
    let accepting = upstreams
        .iter()
        .filter(|name| shared.upstreams.accepts_new_requests(&shared.log_state, name));
    let random = || rand::rng().random::<u32>();
    shared.upstreams.order_by_load(accepting.cloned().collect(), random, shared.now())
}

fn no_upstream() -> Error {
    let err = Error::new(ErrorKind::UpstreamUnavailable, "no upstream of the service answers");
    err.with_retry_after(Duration::from_secs(1))
}

/// Calls up to `MAX_ATTEMPTS` upstreams until one responds, within the retry budget. A silent one
/// goes on beside the next until one of them responds.
async fn call_with_retries(
    shared: &Arc<SharedState>,
    upstreams: &[UpstreamName],
    outgoing: &UpstreamRequest,
) -> Result<Reply> {
    shared.request_queue.deposit_retry();
    let mut last = no_upstream();
    let mut untried = usable_upstreams(shared, upstreams).into_iter().take(MAX_ATTEMPTS);
    let mut attempts = Attempts::default();
    if let Some(upstream) = untried.next() {
        start_attempt(shared, upstream, outgoing, &mut attempts);
    }
    while let Some(event) = attempts.next().await {
        match event {
            AttemptEvent::Answered(received) => return Ok(reply(received)),
            AttemptEvent::Failed(failed) => last = failed.error,
            AttemptEvent::Silent(_) => {}
        }
        if untried.len() > 0
            && shared.request_queue.withdraw_retry(shared.now())
            && let Some(upstream) = untried.next()
        {
            start_attempt(shared, upstream, outgoing, &mut attempts);
        }
    }
    Err(last)
}

fn start_attempt(
    shared: &Arc<SharedState>,
    upstream: UpstreamName,
    outgoing: &UpstreamRequest,
    attempts: &mut Attempts<HttpResponse>,
) {
    let (shared, outgoing) = (Arc::clone(shared), outgoing.clone());
    let client = shared.upstreams.client(&upstream);
    let silence = attempts.silence_sender();
    attempts.start(async move {
        // The receiver is gone only if the request ended.
        let on_silence = || drop(silence.send(upstream.clone()));
        let result = call_upstream(&shared, &client, &upstream, &outgoing, on_silence).await;
        result.map_err(|error| FailedAttempt { upstream: Some(upstream.clone()), error })
    });
}

/// Counts a request on an upstream until the guard is dropped.
struct RunningRequest<'a> {
    shared: &'a SharedState,
    upstream: &'a UpstreamName,
}

impl<'a> RunningRequest<'a> {
    fn begin(shared: &'a SharedState, upstream: &'a UpstreamName) -> Self {
        shared.upstreams.begin_request(upstream);
        RunningRequest { shared, upstream }
    }
}

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        self.shared.upstreams.end_request(self.upstream);
    }
}

/// Calls an upstream and reads its whole response. `on_silence` is called when the upstream first
/// sends nothing for longer than expected.
async fn call_upstream(
    shared: &SharedState,
    client: &HttpClient,
    upstream: &UpstreamName,
    outgoing: &UpstreamRequest,
    on_silence: impl Fn(),
) -> Result<HttpResponse> {
    let running = RunningRequest::begin(shared, upstream);
    let silent = AtomicBool::new(false);
    let result = receive_whole(shared, client, upstream, outgoing, || {
        if !silent.swap(true, Ordering::Relaxed) {
            let expected = millis(shared.settings.times.first_byte);
            forward::record_silence(shared, upstream, &outgoing.id, expected);
            on_silence();
        }
    });
    let result = result.await;
    drop(running);
    let result_kind = result.as_ref().map(|_| ()).map_err(Error::kind);
    shared.upstreams.record_result(upstream, result_kind, shared.now());
    result
}

async fn receive_whole(
    shared: &SharedState,
    client: &HttpClient,
    upstream: &UpstreamName,
    outgoing: &UpstreamRequest,
    on_silence: impl Fn(),
) -> Result<HttpResponse> {
    let expected = millis(shared.settings.times.first_byte);
    let head = forward::open(shared, client, upstream, outgoing);
    let response = watch_silence(head, expected, &on_silence).await?;
    let longest = forward::longest_wait(shared, expected);
    response.read_to_end_watched(expected, longest, on_silence).await
}

fn reply(received: HttpResponse) -> Reply {
    let headers = forwarded_headers(&received.headers, None, "");
    Reply::new(received.status, "application/octet-stream", received.body).with_headers(headers)
}

/// Calls a service at most once for each idempotency key. Without a key the call is sent once,
/// unless the route requires a key.
async fn call_at_most_once(
    shared: &Arc<SharedState>,
    route: &Route,
    tenant: TenantName,
    incoming: &CallerRequest,
    upstreams: &[UpstreamName],
    outgoing: &UpstreamRequest,
) -> Result<Reply> {
    let key =
        incoming.headers.get(IDEMPOTENCY_KEY_HEADER).map(|value| value.to_str().unwrap_or(""));
    let Some(key) = key else {
        if route.key_required {
            let message =
                format!("{} on {:?} needs Idempotency-Key", incoming.method, route.prefix);
            return Err(Error::new(ErrorKind::IdempotencyKeyRequired, message));
        }
        return send_once(shared, upstreams, outgoing).await.map(reply);
    };
    validate_idempotency_key(key)?;
    let attempt = format!("{}-{:016x}", shared.me, rand::rng().random::<u64>());
    let claim = ClaimRef { tenant, key: key.to_owned(), attempt };
    let guard = ClaimGuard::enter(shared, &claim);
    match wait_for_outcome(shared, &claim, outgoing.request).await {
        ClaimDecision::Append => {}
        decision => return decision_reply(decision),
    }
    match acquire_claim(shared, &claim, outgoing.request).await? {
        ClaimDecision::Send => {}
        ClaimDecision::Refuse(err) if err.kind() == ErrorKind::InProgress => {
            return decision_reply(wait_for_outcome(shared, &claim, outgoing.request).await);
        }
        decision => return decision_reply(decision),
    }
    shared.claim_tracker.mark_sent(&claim.attempt);
    drop(guard);
    let result = send_once(shared, upstreams, outgoing).await;
    record_outcome(shared, &claim, &result);
    result.map(reply)
}

/// Guard that marks a claim as backed by a running request, so that the claim is not released as an
/// orphan.
struct ClaimGuard {
    shared: Arc<SharedState>,
    attempt: String,
}

impl ClaimGuard {
    fn enter(shared: &Arc<SharedState>, claim: &ClaimRef) -> Self {
        shared.claim_tracker.begin_wait(&claim.attempt);
        ClaimGuard { shared: Arc::clone(shared), attempt: claim.attempt.clone() }
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        self.shared.claim_tracker.end_wait(&self.attempt);
    }
}

/// Returns what the attempt in `claim` may do, according to the claims read so far.
fn decide(shared: &SharedState, claim: &ClaimRef, request: Fingerprint) -> ClaimDecision {
    let now = shared.now();
    let alive = |vm: &carobglade::VmRef| *vm == shared.me || shared.fleet.is_alive(vm, now);
    shared.log_state.with_claims(|claims| claims.decide(claim, request, alive))
}

/// Decides what an attempt may do. If another attempt still runs, waits for its outcome, at most
/// for `OTHER_ATTEMPT_WAIT`.
async fn wait_for_outcome(
    shared: &SharedState,
    claim: &ClaimRef,
    request: Fingerprint,
) -> ClaimDecision {
    let until = shared.now() + OTHER_ATTEMPT_WAIT;
    loop {
        let applied = shared.entry_applied.notified();
        let decision = decide(shared, claim, request);
        let running =
            matches!(&decision, ClaimDecision::Refuse(err) if err.kind() == ErrorKind::InProgress);
        if !running || shared.now() >= until {
            return decision;
        }
        let _ = tokio::time::timeout(POLL_INTERVAL, applied).await;
    }
}

/// Returns the reply for a decision by which the call is not sent: the stored response or an error.
fn decision_reply(decision: ClaimDecision) -> Result<Reply> {
    match decision {
        ClaimDecision::Replay(RequestOutcome::Answered { status, content_type, body }) => {
            let body = STANDARD.decode(body).unwrap_or_default();
            Ok(Reply::new(status, &content_type, body).with_header(REPLAYED_HEADER, "true"))
        }
        ClaimDecision::Refuse(err) => Err(err),
        _ => Err(Error::new(ErrorKind::Internal, "the claim is in no state to answer from")),
    }
}

/// Appends a claim and waits until the order of the log decides which claim wins.
///
/// An attempt that times out here never sends its call; if its claim is read back later, the claim
/// is released as an orphan.
async fn acquire_claim(
    shared: &SharedState,
    claim: &ClaimRef,
    request: Fingerprint,
) -> Result<ClaimDecision> {
    shared.claims_batcher.check_available(shared.now())?;
    let record = Claim { claim: claim.clone(), request, vm: shared.me.clone() };
    drop(shared.claims_batcher.add(Record::Claim(record)));
    let until = shared.now() + millis(shared.settings.times.claim_wait);
    while shared.now() < until {
        let applied = shared.entry_applied.notified();
        match decide(shared, claim, request) {
            ClaimDecision::Append => {}
            decision => return Ok(decision),
        }
        shared.claims_batcher.check_available(shared.now())?;
        let _ = tokio::time::timeout(POLL_INTERVAL, applied).await;
    }
    Err(log_unavailable())
}

/// Sends a call that must run at most once. Another upstream is tried only after a failure to
/// connect, which proves that nothing was sent.
async fn send_once(
    shared: &SharedState,
    upstreams: &[UpstreamName],
    outgoing: &UpstreamRequest,
) -> Result<HttpResponse> {
    let mut last = no_upstream();
    for upstream in usable_upstreams(shared, upstreams) {
        let client = &shared.unpooled_client;
        match call_upstream(shared, client, &upstream, outgoing, || {}).await {
            Err(err) if err.kind() == ErrorKind::UpstreamUnavailable => last = err,
            result => return result,
        }
    }
    Err(last.with_retry_after(Duration::from_secs(1)))
}

/// Appends the outcome of a call to the claims stream, or releases the claim if nothing was sent.
fn record_outcome(shared: &SharedState, claim: &ClaimRef, result: &Result<HttpResponse>) {
    let outcome = match result {
        Ok(received) if received.body.len() <= shared.settings.limits.outcome_bytes => {
            let content_type = received.headers.get("content-type").and_then(|v| v.to_str().ok());
            RequestOutcome::Answered {
                status: received.status,
                content_type: content_type.unwrap_or("application/octet-stream").to_owned(),
                body: STANDARD.encode(&received.body),
            }
        }
        Ok(_) => RequestOutcome::Ran,
        Err(err) if err.kind() == ErrorKind::UpstreamUnavailable => {
            drop(shared.claims_batcher.add(Record::ClaimRelease(claim.clone())));
            return;
        }
        Err(_) => RequestOutcome::Unknown,
    };
    let record = ClaimOutcome { claim: claim.clone(), outcome };
    drop(shared.claims_batcher.add(Record::ClaimOutcome(record)));
}

/// Releases the claims without a request behind them until the process ends.
pub async fn release_orphans(shared: Arc<SharedState>) {
    loop {
        tokio::time::sleep(POLL_INTERVAL * 10).await;
        shared.claim_tracker.forget_completed(&shared.log_state, &shared.me);
        for claim in shared.claim_tracker.take_orphans(&shared.log_state, &shared.me) {
            drop(shared.claims_batcher.add(Record::ClaimRelease(claim)));
        }
    }
}
