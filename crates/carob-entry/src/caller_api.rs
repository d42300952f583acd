//! Handles the requests of callers: authentication, routing and error responses.

use std::sync::Arc;
use std::time::Duration;

use carob_net::{Reply, Request};
use carobglade::{
    Config, Error, ErrorKind, KeyIndex, MAX_LOG_AGE, Result, Route, ServingStatus, Tenant,
    extract_api_key,
};
use http::{HeaderMap, Method};
use rand::Rng;
use serde_json::json;

use crate::caller_request::CallerRequest;
use crate::forward::{REQUEST_ID_HEADER, contains_bytes};
use crate::settings::millis;
use crate::shared_state::SharedState;
use crate::state::InFlight;
use crate::{model_calls, service_calls};

const MAX_REQUEST_ID_BYTES: usize = 64;

/// Handles a caller's request; errors become error responses.
pub async fn handle(
    shared: Arc<SharedState>,
    runtime: tokio::runtime::Handle,
    mut request: Request,
) -> Reply {
    let started = shared.now();
    let id = request_id(request.headers());
    let outcome = tokio::select! {
        biased;
        outcome = admit(&shared, &runtime, &mut request, &id, started) => outcome,
        () = shared.lifecycle.aborted() => {
            Err(Error::new(ErrorKind::UpstreamFailed, "the process stops before the request ends"))
        }
    };
    let reply = outcome.unwrap_or_else(|err| {
        shared.metrics.count_refusal(err.kind());
        log::info!("front: request {id} refused: {err}");
        error_reply(&err)
    });
    reply.with_header(REQUEST_ID_HEADER, &id)
}

/// Reads a request and runs it, unless the process refuses it.
async fn admit(
    shared: &Arc<SharedState>,
    runtime: &tokio::runtime::Handle,
    request: &mut Request,
    id: &str,
    started: Duration,
) -> Result<Reply> {
    match shared.lifecycle.begin_request() {
        Ok(guard) if headers_within_limit(shared, request.headers()) => {
            let limits =
                (shared.settings.limits.body_bytes, millis(shared.settings.times.body_timeout));
            let mut reserved = shared.body_budget.reserve();
            match request.read_body_within(limits.0, limits.1, &mut reserved).await {
                Ok(body) => {
                    let incoming = CallerRequest {
                        method: request.method().clone(),
                        path: request.path().to_owned(),
                        query: request.query().to_owned(),
                        headers: request.headers().clone(),
                        body,
                        _reserved: Arc::new(reserved),
                        id: id.to_owned(),
                        started,
                    };
                    run_detached(shared, runtime, incoming, guard).await
                }
                Err(err) => Err(err),
            }
        }
        Ok(_) => {
            let message =
                format!("headers are longer than {} bytes", shared.settings.limits.header_bytes);
            Err(Error::new(ErrorKind::HeadersTooLarge, message))
        }
        Err(err) => Err(err),
    }
}

fn headers_within_limit(shared: &SharedState, headers: &HeaderMap) -> bool {
    let bytes: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    bytes <= shared.settings.limits.header_bytes
}

/// Runs a request on the runtime of the process, so that the request continues when the caller
/// closes the connection.
async fn run_detached(
    shared: &Arc<SharedState>,
    runtime: &tokio::runtime::Handle,
    incoming: CallerRequest,
    guard: InFlight,
) -> Result<Reply> {
    let shared = Arc::clone(shared);
    let task = runtime.spawn(async move { route_request(shared, incoming, guard).await });
    task.await.unwrap_or_else(|err| Err(Error::new(ErrorKind::Internal, err.to_string())))
}

async fn route_request(
    shared: Arc<SharedState>,
    incoming: CallerRequest,
    guard: InFlight,
) -> Result<Reply> {
    let (config, keys) = shared
        .log_state
        .with_control(|state| (Arc::clone(state.config()), Arc::clone(state.keys())));
    match incoming.path.as_str() {
        "/v1/models" => {
            let tenant = authenticate(&shared, &config, &keys, &incoming)?.0;
            expect_method(&incoming, &Method::GET)?;
            Ok(model_calls::list_models(tenant))
        }
        "/v1/chat/completions" | "/v1/completions" => {
            let (tenant, key) = authenticate(&shared, &config, &keys, &incoming)?;
            expect_method(&incoming, &Method::POST)?;
            let tenant = tenant.clone();
            model_calls::handle_completion(shared, config, tenant, key, incoming, guard).await
        }
        path => {
            let route = config.route(path).cloned().ok_or_else(|| {
                Error::new(ErrorKind::UnknownRoute, format!("no route for path {path:?}"))
            })?;
            let caller = match route.anonymous {
                true => None,
                false => Some(authenticate(&shared, &config, &keys, &incoming)?),
            };
            let caller = caller.map(|(tenant, key)| (tenant.clone(), key));
            check_route(&route, caller.as_ref().map(|(tenant, _)| tenant), &incoming)?;
            service_calls::call_service(shared, config, route, caller, incoming, guard).await
        }
    }
}

fn expect_method(incoming: &CallerRequest, method: &Method) -> Result<()> {
    if incoming.method == *method {
        return Ok(());
    }
    let message = format!("{} is not allowed on {:?}", incoming.method, incoming.path);
    Err(Error::new(ErrorKind::MethodNotAllowed, message))
}

fn check_route(route: &Route, tenant: Option<&Tenant>, incoming: &CallerRequest) -> Result<()> {
    if !route.methods.contains(incoming.method.as_str()) {
        let message = format!("{} is not allowed on {:?}", incoming.method, route.prefix);
        return Err(Error::new(ErrorKind::MethodNotAllowed, message));
    }
    let Some(tenant) = tenant.filter(|_| !route.tenants.is_empty()) else {
        return Ok(());
    };
    if !route.tenants.contains(&tenant.name) {
        let message = format!("tenant {} may not use {:?}", tenant.name, route.prefix);
        return Err(Error::new(ErrorKind::Forbidden, message));
    }
    Ok(())
}

/// Returns the tenant that the API key of the request belongs to, and the key.
fn authenticate<'a>(
    shared: &SharedState,
    config: &'a Config,
    keys: &KeyIndex,
    incoming: &CallerRequest,
) -> Result<(&'a Tenant, String)> {
    let now = shared.now();
    if shared.serving_status(now) == ServingStatus::Isolated {
        let message = "the keys in force are not known here";
        return Err(Error::new(ErrorKind::NotReady, message).with_retry_after(MAX_LOG_AGE));
    }
    let headers = incoming.headers.iter();
    let pairs = headers.filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)));
    let key = extract_api_key(pairs)?;
    let tenant = keys.tenant(&key).and_then(|name| config.tenants.get(name));
    let tenant = tenant
        .ok_or_else(|| Error::new(ErrorKind::InvalidApiKey, "the key is unknown or withdrawn"))?;
    let in_path = contains_bytes(incoming.path.as_bytes(), key.as_bytes());
    if in_path || contains_bytes(&incoming.body, key.as_bytes()) {
        let message = "the key must stand in a header only, not in the path or body";
        return Err(Error::new(ErrorKind::InvalidRequest, message));
    }
    Ok((tenant, key))
}

/// Returns the caller's request id if it is valid and not an API key, or else a new one.
fn request_id(headers: &HeaderMap) -> String {
    let given = headers.get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
    let plain = |id: &&str| {
        let chars = id.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
        !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES && chars && !id.starts_with("ck-")
    };
    match given.filter(plain) {
        Some(id) => id.to_owned(),
        None => format!("r-{:016x}", rand::rng().random::<u64>()),
    }
}

/// Returns the response for an error, in the format that clients of model APIs expect.
pub fn error_reply(err: &Error) -> Reply {
    let response = err.kind().response();
    let body = json!({
        "error": {
            "message": err.message(),
            "type": response.error_type,
            "code": response.code,
            "run": response.execution.as_str(),
            "retry_after": err.retry_after_seconds(),
        }
    });
    let reply = Reply::json(response.status, &body);
    match err.retry_after_seconds() {
        Some(seconds) => reply.with_header("retry-after", &seconds.to_string()),
        None => reply,
    }
}
