//! Calls to the model interface.

use std::collections::BTreeSet;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use carob_net::{ChunkSender, Reply, StreamingResponse};
use carobglade::{
    Config, Error, ErrorKind, Fingerprint, InactivityTimeout, ModelCall, Record, RequestClass,
    Reservation, Result, Tenant, Tokens,
};
use serde_json::{Value, json};

use crate::core::Core;
use crate::forward::{self, Outgoing, Patience, clean_headers};
use crate::incoming::Incoming;
use crate::parts::{InFlight, Wanted};
use crate::permit::Permit;
use crate::queue;
use crate::settings::millis;
use crate::tokens;
use crate::usage::Usage;

const TRIES: u32 = 4; // of one request, the first included
const COME_BACK: Duration = Duration::from_secs(1); // after a failure of upstreams
const CLASS_HEADER: &str = "x-request-class";
const PRIORITY_HEADER: &str = "x-priority";
const TOKEN_TIME: Duration = Duration::from_millis(100); // at most, for each token
const NOT_LOADED: u16 = 409; // answer of an engine that does not have the model

/// The models that a tenant may use.
pub fn list(tenant: &Tenant) -> Reply {
    let models = tenant.models.iter();
    let data: Vec<Value> = models.map(|m| json!({ "id": m.as_str(), "object": "model" })).collect();
    Reply::json(200, &json!({ "object": "list", "data": data }))
}

struct Call {
    core: Arc<Core>,
    tenant: Tenant,
    class: RequestClass,
    call: ModelCall,
    outgoing: Outgoing,
    started: Duration,
    reservation: Option<Reservation>,
    _guard: InFlight,
}

impl Drop for Call {
    fn drop(&mut self) {
        self.settle(Tokens(0));
    }
}

impl Call {
    /// Charges what was used and returns the rest.
    fn settle(&mut self, used: Tokens) {
        let Some(reservation) = self.reservation.take() else {
            return;
        };
        let now = self.core.now();
        self.core.holdings.settle(reservation, used, now);
        self.core.metrics.charged(self.tenant.name.as_str(), used.0);
    }

    fn wanted(&self, tried: &BTreeSet<carobglade::UpstreamName>) -> Wanted {
        Wanted {
            tenant: self.tenant.name.clone(),
            class: self.class,
            model: self.call.model.clone(),
            prefix: self.call.prefix.clone(),
            cost: self.call.max_charge(),
            request: self.outgoing.request,
            tried: tried.clone(),
        }
    }

    fn ended(&self) {
        let time = self.core.now() - self.started;
        self.core.metrics.ended(self.tenant.name.as_str(), self.class, time);
    }
}

/// Runs a completion.
pub async fn complete(
    core: Arc<Core>,
    config: Arc<Config>,
    tenant: Tenant,
    key: String,
    incoming: Incoming,
    guard: InFlight,
) -> Result<Reply> {
    let body: Value = serde_json::from_slice(&incoming.body).map_err(|err| {
        Error::new(ErrorKind::InvalidRequest, format!("body is not valid JSON: {err}"))
    })?;
    let call = ModelCall::parse(&body)?;
    check_model(&config, &tenant, &call)?;
    let class = class_of(&tenant, &incoming)?;
    let request = Fingerprint::of("POST", &incoming.path, &incoming.body);
    refuse_quarantined(&core, request)?;
    let reservation = tokens::reserve(&core, &tenant, call.max_charge()).await?;
    let mut headers = clean_headers(&incoming.headers, Some(&key), &incoming.id);
    headers.insert(PRIORITY_HEADER, http::HeaderValue::from(u16::from(class.priority())));
    let outgoing = Outgoing {
        method: incoming.method,
        target: incoming.path,
        headers,
        body: incoming.body,
        id: incoming.id,
        request,
        patience: patience(&call),
    };
    let started = incoming.started;
    let reservation = Some(reservation);
    let call = Call { core, tenant, class, call, outgoing, started, reservation, _guard: guard };
    answer(call).await
}

/// Without streaming nothing comes before the last token is made.
fn patience(call: &ModelCall) -> Patience {
    if call.stream {
        return Patience::Streamed(call.prompt_tokens.0);
    }
    let tokens = u32::try_from(call.max_charge().0).unwrap_or(u32::MAX);
    Patience::Whole(TOKEN_TIME * tokens)
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
    if call.max_charge() > tenant.grant.burst {
        let message = format!(
            "the request may use {} tokens, but the burst of tenant {} is {}",
            call.max_charge(),
            tenant.name,
            tenant.grant.burst
        );
        return Err(Error::new(ErrorKind::InvalidRequest, message));
    }
    Ok(())
}

fn class_of(tenant: &Tenant, incoming: &Incoming) -> Result<RequestClass> {
    match incoming.headers.get(CLASS_HEADER) {
        // A request may be less urgent than its tenant, but not more.
        Some(value) => Ok(RequestClass::from_str(value.to_str().unwrap_or(""))?.max(tenant.class)),
        None => Ok(tenant.class),
    }
}

fn refuse_quarantined(core: &Core, request: Fingerprint) -> Result<()> {
    if core.streams.quarantined(request) {
        let message = "the request was in flight on several upstreams when they crashed";
        return Err(Error::new(ErrorKind::Quarantined, message));
    }
    Ok(())
}

/// Sends the request until an upstream answers, a try is not allowed, or nothing is left to try.
async fn answer(call: Call) -> Result<Reply> {
    let core = Arc::clone(&call.core);
    core.waiting.earn_retry();
    let mut tried = BTreeSet::new();
    let mut last = None;
    for attempt in 0..TRIES {
        if attempt > 0 && !may_retry(&core, &call) {
            break;
        }
        let permit = match queue::wait(&core, call.wanted(&tried)).await {
            Ok(permit) => permit,
            Err(err) => {
                return Err(last.map_or(err, |last: Error| last.with_retry_after(COME_BACK)));
            }
        };
        let upstream = permit.upstream.clone();
        match first_answer(&call, &permit).await {
            Ok((streamed, first)) => return pass_on(call, permit, streamed, first).await,
            Err(err) => {
                note_failure(&core, &call, &permit, &err).await;
                tried.insert(upstream);
                last = Some(err);
            }
        }
    }
    let err = last.unwrap_or_else(|| Error::new(ErrorKind::UpstreamUnavailable, "no upstream"));
    Err(err.with_retry_after(COME_BACK))
}

fn may_retry(core: &Core, call: &Call) -> bool {
    let refused = core.streams.quarantined(call.outgoing.request);
    let allowed = !refused && core.waiting.take_retry(core.now());
    if allowed {
        core.metrics.retried();
    }
    allowed
}

/// Waits for the first byte of an answer, so that a failure before it can be tried elsewhere.
async fn first_answer(call: &Call, permit: &Permit) -> Result<(StreamingResponse, Option<Bytes>)> {
    let core = &call.core;
    let caller = core.upstreams.caller(&permit.upstream);
    let mut streamed = forward::open(core, &caller, &permit.upstream, &call.outgoing).await?;
    if streamed.status == NOT_LOADED {
        return Err(Error::new(ErrorKind::UpstreamUnavailable, "the model is not loaded"));
    }
    if streamed.status >= 500 {
        let message = format!("upstream answered {}", streamed.status);
        return Err(Error::new(ErrorKind::UpstreamFailed, message));
    }
    let silence = forward::silence(core, &permit.upstream, call.outgoing.patience);
    let first = streamed.next_chunk(silence).await?;
    Ok((streamed, first))
}

async fn note_failure(core: &Core, call: &Call, permit: &Permit, err: &Error) {
    log::warn!(
        "model: Request {} failed on upstream {}: {err}.",
        call.outgoing.id,
        permit.upstream
    );
    core.upstreams.note_end(&permit.upstream, Err(err.kind()), core.now());
    if err.kind() == ErrorKind::UpstreamFailed {
        forward::suspect(core, &permit.upstream, call.outgoing.request).await;
    }
}

async fn pass_on(
    mut call: Call,
    permit: Permit,
    mut streamed: StreamingResponse,
    first: Option<Bytes>,
) -> Result<Reply> {
    let core = Arc::clone(&call.core);
    let waited = core.now() - call.started;
    core.metrics.first_token(call.tenant.name.as_str(), call.class, waited);
    let headers = clean_headers(&streamed.headers, None, &call.outgoing.id);
    let status = streamed.status;
    if call.call.stream && status == 200 {
        let (tx, reply) = Reply::stream(status);
        tokio::spawn(async move { relay(call, permit, streamed, first, tx).await });
        return Ok(reply.with_headers(headers));
    }
    let mut body = first.unwrap_or_default().to_vec();
    let silence = millis(core.settings.times.between);
    loop {
        match streamed.next_chunk(silence).await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => break,
            Err(err) => {
                note_failure(&core, &call, &permit, &err).await;
                return Err(err.with_retry_after(COME_BACK));
            }
        }
    }
    let mut usage = Usage::default();
    usage.read(&body);
    let used = if status == 200 { call.call.prompt_tokens.0 + usage.tokens() } else { 0 };
    finish(&mut call, &permit, Tokens(used));
    Ok(Reply::new(status, "application/json", body).with_headers(headers))
}

/// Passes a stream on, chunk by chunk. A stream that ends without its last event, or whose caller
/// stops reading, is broken off.
async fn relay(
    mut call: Call,
    permit: Permit,
    mut streamed: StreamingResponse,
    first: Option<Bytes>,
    tx: ChunkSender,
) {
    let core = Arc::clone(&call.core);
    let mut progress: InactivityTimeout =
        forward::progress(&core, &permit.upstream, call.call.prompt_tokens.0);
    let mut usage = Usage::default();
    let mut next = Ok(first);
    let mut last = core.now();
    while let Ok(Some(chunk)) = next {
        usage.read(&chunk);
        progress.record_chunk();
        let sending = tokio::time::timeout(millis(core.settings.times.caller), tx.send(chunk));
        if !matches!(sending.await, Ok(true)) {
            let used = Tokens(call.call.prompt_tokens.0 + usage.tokens());
            log::info!("model: The caller of request {} left.", call.outgoing.id);
            return finish(&mut call, &permit, used);
        }
        next = tokio::select! {
            chunk = streamed.next_chunk(progress.limit()) => chunk,
            () = tx.closed() => Ok(None),
        };
        let now = core.now();
        core.metrics.token_gap(call.tenant.name.as_str(), call.class, now - last);
        last = now;
    }
    let used = Tokens(call.call.prompt_tokens.0 + usage.tokens());
    if let Err(err) = next {
        note_failure(&core, &call, &permit, &err).await;
        call.settle(used);
        return;
    }
    finish(&mut call, &permit, used);
    if usage.complete() {
        tx.finish().await;
    }
}

fn finish(call: &mut Call, permit: &Permit, used: Tokens) {
    let core = Arc::clone(&call.core);
    core.upstreams.note_end(&permit.upstream, Ok(()), core.now());
    call.settle(used);
    call.ended();
    let crashes = core.streams.crashes(call.outgoing.request);
    if crashes > 0 {
        drop(core.control_log.add(Record::Cleared(call.outgoing.request)));
    }
}
