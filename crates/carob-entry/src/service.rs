//! Calls to plain services, those that may not be repeated among them.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use carob_net::{HttpClient, HttpResponse, Reply};
use carobglade::{
    Claim, ClaimDecision, ClaimDone, ClaimRef, Config, Error, ErrorKind, Fingerprint, Outcome,
    Record, Result, Route, Tenant, TenantName, UpstreamName, check_idempotency_key,
    strip_query_keys,
};
use rand::Rng;

use crate::core::Core;
use crate::forward::{self, Outgoing, Patience, clean_headers};
use crate::incoming::Incoming;
use crate::parts::{InFlight, unavailable};
use crate::settings::millis;

const KEY_HEADER: &str = "idempotency-key";
const TRIES: usize = 3; // of a call that may be repeated
const POLL: Duration = Duration::from_millis(100);
const END_WAIT: Duration = Duration::from_secs(1); // for the end of another attempt
const OPEN_TENANT: &str = "open"; // owner of idempotency keys on routes open to all
const REPLAYED: &str = "idempotent-replayed";

/// Calls a plain service.
pub async fn call(
    core: Arc<Core>,
    config: Arc<Config>,
    route: Route,
    caller: Option<(Tenant, String)>,
    incoming: Incoming,
    _guard: InFlight,
) -> Result<Reply> {
    let key = caller.as_ref().map(|(_, key)| key.as_str());
    let query = strip_query_keys(&incoming.query, key);
    let target =
        if query.is_empty() { incoming.path.clone() } else { format!("{}?{query}", incoming.path) };
    let request = Fingerprint::of(incoming.method.as_str(), &target, &incoming.body);
    let outgoing = Outgoing {
        headers: clean_headers(&incoming.headers, key, &incoming.id),
        method: incoming.method.clone(),
        target,
        body: incoming.body.clone(),
        id: incoming.id.clone(),
        request,
        patience: Patience::Whole(Duration::ZERO),
    };
    let service = config.services.get(&route.service);
    let upstreams = service.map(|service| service.upstreams.clone()).unwrap_or_default();
    let reply = if route.once.contains(incoming.method.as_str()) {
        let tenant = caller.as_ref().map(|(tenant, _)| tenant.name.clone());
        let tenant = tenant.unwrap_or_else(|| OPEN_TENANT.parse().unwrap_or_default());
        call_once(&core, &route, tenant, &incoming, &upstreams, &outgoing).await
    } else {
        call_again(&core, &upstreams, &outgoing).await
    };
    let name = caller.as_ref().map_or(OPEN_TENANT, |(tenant, _)| tenant.name.as_str());
    let class = caller.as_ref().map(|(tenant, _)| tenant.class).unwrap_or_default();
    core.metrics.ended(name, class, core.now() - incoming.started);
    reply
}

/// Upstreams of a service that may be called, the least used first.
fn usable(core: &Core, upstreams: &[UpstreamName]) -> Vec<UpstreamName> {
    let taking = upstreams.iter().filter(|name| core.upstreams.takes_new(&core.streams, name));
    let random = || rand::rng().random::<u32>();
    core.upstreams.order(taking.cloned().collect(), random, core.now())
}

fn no_upstream() -> Error {
    let err = Error::new(ErrorKind::UpstreamUnavailable, "no upstream of the service answers");
    err.with_retry_after(Duration::from_secs(1))
}

/// Calls that may be repeated are tried on several upstreams, within the budget.
async fn call_again(core: &Core, upstreams: &[UpstreamName], outgoing: &Outgoing) -> Result<Reply> {
    core.waiting.earn_retry();
    let mut last = no_upstream();
    for (i, upstream) in usable(core, upstreams).iter().take(TRIES).enumerate() {
        let now = core.now();
        if i > 0 && !core.waiting.take_retry(now) {
            break;
        }
        let caller = core.upstreams.caller(upstream);
        match exchange(core, &caller, upstream, outgoing).await {
            Ok(received) => return Ok(reply(received)),
            Err(err) => last = err,
        }
    }
    Err(last)
}

async fn exchange(
    core: &Core,
    caller: &HttpClient,
    upstream: &UpstreamName,
    outgoing: &Outgoing,
) -> Result<HttpResponse> {
    core.upstreams.enter(upstream);
    let result = match forward::open(core, caller, upstream, outgoing).await {
        Ok(streamed) => streamed.read_to_end(millis(core.settings.times.first)).await,
        Err(err) => Err(err),
    };
    core.upstreams.leave(upstream);
    let end = result.as_ref().map(|_| ()).map_err(Error::kind);
    core.upstreams.note_end(upstream, end, core.now());
    result
}

fn reply(received: HttpResponse) -> Reply {
    let headers = clean_headers(&received.headers, None, "");
    Reply::new(received.status, "application/octet-stream", received.body).with_headers(headers)
}

async fn call_once(
    core: &Arc<Core>,
    route: &Route,
    tenant: TenantName,
    incoming: &Incoming,
    upstreams: &[UpstreamName],
    outgoing: &Outgoing,
) -> Result<Reply> {
    let key = incoming.headers.get(KEY_HEADER).map(|value| value.to_str().unwrap_or(""));
    let Some(key) = key else {
        if route.key_required {
            let message =
                format!("{} on {:?} needs Idempotency-Key", incoming.method, route.prefix);
            return Err(Error::new(ErrorKind::IdempotencyKeyRequired, message));
        }
        return send_once(core, upstreams, outgoing).await.map(reply);
    };
    check_idempotency_key(key)?;
    let attempt = format!("{}-{:016x}", core.me, rand::rng().random::<u64>());
    let claim = ClaimRef { tenant, key: key.to_owned(), attempt };
    let running = Running::enter(core, &claim);
    match wait_for_end(core, &claim, outgoing.request).await {
        ClaimDecision::Append => {}
        decision => return not_sent(decision),
    }
    match win(core, &claim, outgoing.request).await? {
        ClaimDecision::Send => {}
        ClaimDecision::Refuse(err) if err.kind() == ErrorKind::InProgress => {
            return not_sent(wait_for_end(core, &claim, outgoing.request).await);
        }
        decision => return not_sent(decision),
    }
    core.calls.send(&claim.attempt);
    drop(running);
    let result = send_once(core, upstreams, outgoing).await;
    record_end(core, &claim, &result);
    result.map(reply)
}

/// Marks a claim as backed by a request that runs, so that it is not released as an orphan.
struct Running {
    core: Arc<Core>,
    attempt: String,
}

impl Running {
    fn enter(core: &Arc<Core>, claim: &ClaimRef) -> Self {
        core.calls.enter(&claim.attempt);
        Running { core: Arc::clone(core), attempt: claim.attempt.clone() }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.core.calls.leave(&self.attempt);
    }
}

fn decide(core: &Core, claim: &ClaimRef, request: Fingerprint) -> ClaimDecision {
    let now = core.now();
    let alive = |vm: &carobglade::VmRef| *vm == core.me || core.neighbours.alive(vm, now);
    core.streams.claims(|claims| claims.decide(claim, request, alive))
}

/// Decides for an attempt; when another one still runs, waits a little for its end.
async fn wait_for_end(core: &Core, claim: &ClaimRef, request: Fingerprint) -> ClaimDecision {
    let until = core.now() + END_WAIT;
    loop {
        let applied = core.applied.notified();
        let decision = decide(core, claim, request);
        let running =
            matches!(&decision, ClaimDecision::Refuse(err) if err.kind() == ErrorKind::InProgress);
        if !running || core.now() >= until {
            return decision;
        }
        let _ = tokio::time::timeout(POLL, applied).await;
    }
}

fn not_sent(decision: ClaimDecision) -> Result<Reply> {
    match decision {
        ClaimDecision::Replay(Outcome::Answered { status, content, body }) => {
            let body = STANDARD.decode(body).unwrap_or_default();
            Ok(Reply::new(status, &content, body).with_header(REPLAYED, "true"))
        }
        ClaimDecision::Refuse(err) => Err(err),
        _ => Err(Error::new(ErrorKind::Internal, "the claim is in no state to answer from")),
    }
}

/// Appends a claim and waits until the log tells which claim won.
///
/// An attempt that is given up here never sends: its claim, should it turn up later, is released
/// as an orphan.
async fn win(core: &Core, claim: &ClaimRef, request: Fingerprint) -> Result<ClaimDecision> {
    core.claims_log.check(core.now())?;
    let record = Claim { claim: claim.clone(), request, vm: core.me.clone() };
    drop(core.claims_log.add(Record::Claim(record)));
    let until = core.now() + millis(core.settings.times.claim);
    while core.now() < until {
        let applied = core.applied.notified();
        match decide(core, claim, request) {
            ClaimDecision::Append => {}
            decision => return Ok(decision),
        }
        core.claims_log.check(core.now())?;
        let _ = tokio::time::timeout(POLL, applied).await;
    }
    Err(unavailable())
}

/// Sends a call that may not be repeated. Another upstream is tried only after a failure to
/// connect, which proves that nothing was sent.
async fn send_once(
    core: &Core,
    upstreams: &[UpstreamName],
    outgoing: &Outgoing,
) -> Result<HttpResponse> {
    let mut last = no_upstream();
    for upstream in usable(core, upstreams) {
        match exchange(core, &core.fresh, &upstream, outgoing).await {
            Err(err) if err.kind() == ErrorKind::UpstreamUnavailable => last = err,
            result => return result,
        }
    }
    Err(last.with_retry_after(Duration::from_secs(1)))
}

fn record_end(core: &Core, claim: &ClaimRef, result: &Result<HttpResponse>) {
    let outcome = match result {
        Ok(received) if received.body.len() <= core.settings.limits.outcome => {
            let content = received.headers.get("content-type").and_then(|v| v.to_str().ok());
            Outcome::Answered {
                status: received.status,
                content: content.unwrap_or("application/octet-stream").to_owned(),
                body: STANDARD.encode(&received.body),
            }
        }
        Ok(_) => Outcome::Ran,
        Err(err) if err.kind() == ErrorKind::UpstreamUnavailable => {
            drop(core.claims_log.add(Record::Release(claim.clone())));
            return;
        }
        Err(_) => Outcome::Unknown,
    };
    let done = ClaimDone { claim: claim.clone(), outcome };
    drop(core.claims_log.add(Record::Done(done)));
}

/// Releases claims that no request stands behind, until the process ends.
pub async fn release_orphans(core: Arc<Core>) {
    loop {
        tokio::time::sleep(POLL * 10).await;
        core.calls.forget_ended(&core.streams, &core.me);
        for claim in core.calls.release_orphans(&core.streams, &core.me) {
            drop(core.claims_log.add(Record::Release(claim)));
        }
    }
}
