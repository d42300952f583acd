//! Reads, authorizes and charges a caller's request.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use carob_platform::CallerHeaders;
use carobglade::{
    Error, ErrorKind, EvidenceStrength, Fingerprint, PlatformConfig, PlatformRoute, PlatformTenant,
    PromptPart, Result, SharedPrompt, SoftwareVersion, StreamKey, Tokens,
};
use http::request::Parts;
use http::{HeaderMap, Method, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::broken_attempt::BrokenAttempt;
use crate::byte_budget::ReservedBytes;
use crate::edge::Edge;
use crate::head_limit::check_head;
use crate::quarantine::{self, QUARANTINE_RETRY_AFTER};

/// Size up to which a body is small.
const SMALL_BODY_BYTES: usize = 64 << 10;
/// Part of the memory for bodies that large ones leave to small ones.
const SMALL_BODIES_PART: usize = 4;
/// Time in which some of the requests that hold the memory have ended.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_millis(500);
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Maximum size and time of the body of a refused request that is read and dropped.
const MAX_DISCARDED_BYTES: usize = 8 << 20;
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a caller's text in a log line.
const MAX_LABEL_BYTES: usize = 64;
/// Fraction of the route's timeout in which a stream should end.
const STREAM_TIME_FRACTION: f64 = 0.9;

/// An authorized request with its complete body.
pub struct CallerRequest {
    /// The request headers that the platform defines.
    pub caller_headers: CallerHeaders,
    /// The configuration that the request was checked against.
    pub config: Rc<PlatformConfig>,
    /// The route that matched.
    pub route: PlatformRoute,
    /// The service that serves the request.
    pub service: String,
    /// The tenant of the API key; `None` on an open route, or when no tenant has a key.
    pub tenant: Option<PlatformTenant>,
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub target: Uri,
    /// The headers as received.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The memory that the body takes.
    _reserved: ReservedBytes,
    /// The time of arrival.
    pub arrival: Duration,
    /// The arrival plus the caller's timeout or that of the route, whichever is shorter.
    pub deadline: Duration,
    /// Identifies the same request when it is sent again.
    pub fingerprint: Fingerprint,
    /// The parts of the prompt that other requests may share, and the model.
    pub prompt: SharedPrompt,
    /// The version of the upstreams' software that the stream is bound to, once it is.
    pub stream_version: OnceCell<SoftwareVersion>,
}

/// The route and the expected tokens of a request, as log lines tell them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestSize {
    /// Name of the route; empty while no route is known.
    pub route: String,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Expected tokens of the response.
    pub output: u64,
}

impl CallerRequest {
    /// Returns the route and the expected tokens.
    pub fn size(&self) -> RequestSize {
        RequestSize {
            route: self.route.name.clone(),
            prompt: self.prompt_tokens(),
            output: self.expected_output(),
        }
    }

    /// Reports whether the caller takes up a stream of which it has events.
    pub fn is_resumption(&self) -> bool {
        let headers = &self.caller_headers;
        let has_events = headers.last_event.is_some_and(|id| id > 0);
        self.route.kind.is_stream() && (has_events || headers.resumes.is_some())
    }

    /// Returns the key of the stream that the request begins.
    pub fn own_key(&self) -> StreamKey {
        self.stream_key(&self.caller_headers.request_id)
    }

    /// Returns the key of the stream that the request resumes, if it names one.
    pub fn resumed_key(&self) -> Option<StreamKey> {
        self.caller_headers.resumes.as_deref().map(|id| self.stream_key(id))
    }

    fn stream_key(&self, id: &str) -> StreamKey {
        let tenant = self.tenant.as_ref().map_or("", |tenant| tenant.name.as_str());
        StreamKey::new(&self.service, tenant, id)
    }

    /// Returns the start of the id that the request resumes, for log lines; empty if it names none.
    pub fn resumes_label(&self) -> &str {
        let resumes = self.caller_headers.resumes.as_deref().unwrap_or_default();
        &resumes[..resumes.floor_char_boundary(MAX_LABEL_BYTES)]
    }

    /// Returns the time until the deadline.
    pub fn remaining_time(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Returns the number of prompt tokens; 0 when the request has no token usage.
    pub fn prompt_tokens(&self) -> u64 {
        self.caller_headers.token_usage.map_or(0, |(prompt, _)| prompt.0)
    }

    /// Returns the maximum number of output tokens; 0 when the request has no token usage.
    pub fn max_output(&self) -> u64 {
        self.caller_headers.token_usage.map_or(0, |(_, output)| output.0)
    }

    /// Returns the expected number of output tokens: the length hint, limited by the maximum
    /// output.
    pub fn expected_output(&self) -> u64 {
        let max_output = self.max_output();
        self.caller_headers.output_hint.map_or(max_output, |hint| hint.0.min(max_output))
    }

    /// Returns the rate at which the response has to be generated after its first token to end
    /// within the route's timeout, in tokens a second.
    pub fn token_rate(&self) -> f64 {
        let time = self.route.timeout.mul_f64(STREAM_TIME_FRACTION);
        let time = time.saturating_sub(self.route.latency_goal);
        self.expected_output() as f64 / time.max(Duration::from_millis(1)).as_secs_f64()
    }

    /// Describes an attempt of the request whose connection broke.
    pub fn broken_attempt(&self, strength: EvidenceStrength) -> BrokenAttempt {
        let (fingerprint, prompt) = (self.fingerprint, self.prompt.clone());
        BrokenAttempt { fingerprint, prompt, strength }
    }

    /// Returns the tokens charged to the tenant: prompt plus maximum output, or the tenant's fixed
    /// price for a request without token usage.
    pub fn charged_tokens(&self) -> Tokens {
        match (self.caller_headers.token_usage, &self.tenant) {
            (Some((prompt, output)), _) => Tokens(prompt.0 + output.0),
            (None, Some(tenant)) => tenant.default_tokens,
            (None, None) => Tokens(0),
        }
    }

    /// Returns the priority in the upstream's queue.
    pub fn queue_priority(&self) -> u8 {
        self.tenant.as_ref().and_then(|tenant| tenant.priority).unwrap_or(self.route.priority)
    }
}

fn request_error(kind: ErrorKind, message: impl Into<String>) -> Error {
    Error::new(kind, message)
}

fn not_ready(message: &str) -> Error {
    request_error(ErrorKind::NotReady, message).with_retry_after(NOT_READY_RETRY_AFTER)
}

/// Checks a request against the configuration in force and reads its body.
///
/// # Errors
///
/// Returns the reason why the request cannot be sent to an upstream.
pub async fn read_request(
    edge: &Edge,
    parts: Parts,
    body: &mut Incoming,
    arrival: Duration,
) -> Result<CallerRequest> {
    check_head(edge, &parts)?;
    let caller_headers = CallerHeaders::read(&parts.headers)
        .map_err(|err| request_error(ErrorKind::InvalidRequest, err.to_string()))?;
    if caller_headers.request_id.is_empty() {
        return Err(request_error(ErrorKind::InvalidRequest, "the request has no id"));
    }
    if parts.headers.contains_key("content-length")
        && parts.headers.contains_key("transfer-encoding")
    {
        return Err(request_error(ErrorKind::InvalidRequest, "the body has two lengths"));
    }
    let config = edge.config().ok_or_else(|| not_ready("no configuration is known yet"))?;
    let checked = authorize(edge, &config, &parts.headers, &parts.uri, &caller_headers);
    let (route, tenant) = checked.map_err(|err| deny_only_when_fresh(edge, err))?;
    let limit = config.limits.body_bytes;
    let timeout = caller_headers.timeout.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrival + timeout;
    let length = announced_length(&parts.headers);
    let reading = read_body(edge, body, length, limit);
    let body = tokio::time::timeout(deadline.saturating_sub(edge.now()), reading).await;
    let (body, reserved) = body.unwrap_or_else(|_| Err(body_timeout("before the deadline")))?;
    let target = origin_form(&parts.uri)?;
    let hash = xxhash_rust::xxh3::xxh3_64(split_id(&route, &caller_headers).as_bytes());
    let service = route.service(hash).unwrap_or_default().to_owned();
    let fingerprint = fingerprint(&parts, tenant.as_ref(), &target, &caller_headers, &body);
    let prompt = shared_prompt(&caller_headers);
    quarantine::check(edge, &prompt)?;
    if edge.suspects.borrow().is_quarantined(fingerprint) {
        let message = "upstreams crashed each time this request ran";
        return Err(
            request_error(ErrorKind::Quarantined, message).with_retry_after(QUARANTINE_RETRY_AFTER)
        );
    }
    Ok(CallerRequest {
        deadline,
        config,
        route,
        service,
        tenant,
        method: parts.method,
        target,
        headers: parts.headers,
        body,
        _reserved: reserved,
        arrival,
        fingerprint,
        prompt,
        stream_version: OnceCell::new(),
        caller_headers,
    })
}

/// Returns the id that decides which service of a split route a request goes to: that of the request
/// that began its stream, so that a resumption goes to the same service.
fn split_id<'a>(route: &PlatformRoute, caller_headers: &'a CallerHeaders) -> &'a str {
    let resumes = caller_headers.resumes.as_deref().filter(|_| route.kind.is_stream());
    resumes.unwrap_or(&caller_headers.request_id)
}

/// Returns the fingerprint of a request. Requests to one path with one body differ if their prompts,
/// which only headers tell, do.
fn fingerprint(
    parts: &Parts,
    tenant: Option<&PlatformTenant>,
    target: &Uri,
    caller_headers: &CallerHeaders,
    body: &[u8],
) -> Fingerprint {
    let caller = tenant.map_or("", |tenant| tenant.name.as_str());
    let mut path = format!("{caller}\0{target}");
    for segment in &caller_headers.prefix_segments {
        path.push('\0');
        path.push_str(&segment.id);
    }
    Fingerprint::of(parts.method.as_str(), &path, body)
}

/// Returns the parts that other requests may share: all but the last, which belongs to the request.
fn shared_prompt(caller_headers: &CallerHeaders) -> SharedPrompt {
    let segments = caller_headers.prefix_segments.as_slice();
    let shared = segments.split_last().map_or(segments, |(_, shared)| shared);
    let parts = shared.iter().map(|segment| PromptPart::from_id(&segment.id));
    SharedPrompt::new(parts.collect(), caller_headers.model.clone())
}

/// Replaces a denial by `NotReady` when the configuration is stale: a route or key that is unknown
/// here may exist in a newer configuration.
fn deny_only_when_fresh(edge: &Edge, err: Error) -> Error {
    let fresh = edge.view.borrow().freshness.is_ready(edge.now());
    let denied = matches!(
        err.kind(),
        ErrorKind::UnknownRoute | ErrorKind::InvalidApiKey | ErrorKind::Unauthenticated
    );
    if denied && !fresh {
        return not_ready("the configuration in force is not known here");
    }
    err
}

fn authorize(
    edge: &Edge,
    config: &PlatformConfig,
    headers: &HeaderMap,
    uri: &Uri,
    caller_headers: &CallerHeaders,
) -> Result<(PlatformRoute, Option<PlatformTenant>)> {
    let host = headers.get("host").and_then(|value| value.to_str().ok());
    let host = host.or(uri.host()).unwrap_or_default();
    let route = config.route(host, uri.path());
    let route = route.ok_or_else(|| {
        request_error(ErrorKind::UnknownRoute, format!("no route for {:?} on {host:?}", uri.path()))
    })?;
    if route.anonymous || !config.requires_key() {
        return Ok((route.clone(), None));
    }
    if !edge.view.borrow().freshness.accepts_keys(edge.now()) {
        return Err(not_ready("the keys in force are not known here"));
    }
    let key = caller_headers.api_key.as_deref();
    let key =
        key.ok_or_else(|| request_error(ErrorKind::Unauthenticated, "the request has no key"))?;
    let tenant = config.tenant(key);
    let tenant = tenant.ok_or_else(|| {
        request_error(ErrorKind::InvalidApiKey, "the key is unknown or withdrawn")
    })?;
    Ok((route.clone(), Some(tenant.clone())))
}

fn origin_form(uri: &Uri) -> Result<Uri> {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().map_err(|_| {
        request_error(ErrorKind::InvalidRequest, format!("path {path:?} is not valid"))
    })
}

fn too_large(limit: usize) -> Error {
    request_error(ErrorKind::TooLarge, format!("the body is longer than {limit} bytes"))
}

fn body_timeout(when: &str) -> Error {
    request_error(ErrorKind::BodyTimeout, format!("the body did not arrive {when}"))
}

/// Waits until the body has paused for too long, by the configurations in force meanwhile.
async fn pause_ended(edge: &Edge) {
    let since = edge.now();
    loop {
        let until = edge.caller_timeouts.borrow().body_until(since);
        let left = until.saturating_sub(edge.now());
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left).await;
    }
}

/// Returns the length of the body that the head names; 0 if it names none.
fn announced_length(headers: &HeaderMap) -> usize {
    let length = headers.get("content-length").and_then(|value| value.to_str().ok()?.parse().ok());
    length.unwrap_or(0)
}

/// Returns the memory that large bodies leave to small ones.
fn small_bodies_bytes(edge: &Edge) -> usize {
    edge.body_budget.max_bytes() / SMALL_BODIES_PART
}

/// Reserves memory for more bytes of a body. Large bodies leave some to small ones.
fn reserve(edge: &Edge, reserved: &mut ReservedBytes, bytes: usize) -> Result<()> {
    let is_small = reserved.len().saturating_add(bytes) <= SMALL_BODY_BYTES;
    let spare = if is_small { 0 } else { small_bodies_bytes(edge) };
    if reserved.grow_leaving(bytes, spare) {
        return Ok(());
    }
    let message = "the bodies of other requests take the memory for them";
    Err(request_error(ErrorKind::Overloaded, message).with_retry_after(OVERLOADED_RETRY_AFTER))
}

/// Reads a body whose parts come within the idle time of each other. The memory for `length` bytes
/// is reserved at once, so that a body that does not fit is refused before it comes.
async fn read_body(
    edge: &Edge,
    body: &mut Incoming,
    length: usize,
    limit: usize,
) -> Result<(Bytes, ReservedBytes)> {
    // What would not fit into an empty budget is not told to come back.
    let limit = limit.min(edge.body_budget.max_bytes() - small_bodies_bytes(edge));
    if length > limit {
        return Err(too_large(limit));
    }
    let mut reserved = edge.body_budget.reserve();
    reserve(edge, &mut reserved, length)?;
    let mut buf = BytesMut::with_capacity(length);
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = pause_ended(edge) => return Err(body_timeout("without a long pause")),
        };
        let Some(frame) = frame else {
            return Ok((buf.freeze(), reserved));
        };
        let frame = frame.map_err(|err| {
            request_error(ErrorKind::InvalidRequest, format!("the body broke off: {err}"))
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buf.len() + data.len() > limit {
            return Err(too_large(limit));
        }
        let missing = (buf.len() + data.len()).saturating_sub(reserved.len());
        reserve(edge, &mut reserved, missing)?;
        buf.extend_from_slice(&data);
    }
}

/// Reads what is left of the body of a request that is refused, so that the refusal and the next
/// request are not lost with the connection. Returns whether the body was read to its end; otherwise the
/// connection cannot be used again.
pub async fn discard_body(body: &mut Incoming) -> bool {
    let discarding = async {
        let mut left = MAX_DISCARDED_BYTES;
        while let Some(frame) = body.frame().await {
            let len = frame.ok()?.into_data().map_or(0, |data| data.len());
            left = left.checked_sub(len)?;
        }
        Some(())
    };
    matches!(tokio::time::timeout(DISCARD_TIMEOUT, discarding).await, Ok(Some(())))
}
