//! A caller's request, checked and read whole.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use carob_platform::CallerHeaders;
use carobglade::{Error, ErrorKind, Fingerprint, Result, Site, SiteRoute, SiteTenant, Tokens};
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::edge::Edge;

const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500); // to a process that cannot serve yet
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(60); // until a refused request may try again
const MAX_QUOTA_WAIT: Duration = Duration::from_millis(250); // longest wait for a tenant's tokens

/// A caller's request.
pub struct CallerRequest {
    /// What its headers say.
    pub head: CallerHeaders,
    /// The configuration that it was checked against.
    pub site: Rc<Site>,
    /// Its route.
    pub route: SiteRoute,
    /// The service that it goes to.
    pub service: String,
    /// The tenant whose key came with it.
    pub tenant: Option<SiteTenant>,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Headers as they came.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When it came.
    pub arrival: Duration,
    /// When the caller, or the route, gives up.
    pub deadline: Duration,
    /// Identifies it when it comes again.
    pub fingerprint: Fingerprint,
}

impl CallerRequest {
    /// Time that is left.
    pub fn remaining_time(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Tokens of the prompt.
    pub fn prompt_tokens(&self) -> u64 {
        self.head.token_usage.map_or(0, |(prompt, _)| prompt.0)
    }

    /// Tokens that the answer probably has.
    pub fn expected_output(&self) -> u64 {
        let most = self.head.token_usage.map_or(0, |(_, output)| output.0);
        self.head.output_hint.map_or(most, |hint| hint.0.min(most))
    }

    /// Tokens that the tenant is charged.
    pub fn charged_tokens(&self) -> Tokens {
        match (self.head.token_usage, &self.tenant) {
            (Some((prompt, output)), _) => Tokens(prompt.0 + output.0),
            (None, Some(tenant)) => tenant.plain,
            (None, None) => Tokens(0),
        }
    }

    /// The rank for the upstream's queue.
    pub fn rank(&self) -> u8 {
        self.tenant.as_ref().and_then(|tenant| tenant.rank).unwrap_or(self.route.rank)
    }
}

fn request_error(kind: ErrorKind, message: impl Into<String>) -> Error {
    Error::new(kind, message)
}

fn not_ready(message: &str) -> Error {
    request_error(ErrorKind::NotReady, message).with_retry(NOT_READY_RETRY_AFTER)
}

/// Checks a request against the configuration in force, and reads it whole.
///
/// # Errors
///
/// Whatever makes the request one that is not sent to an upstream.
pub async fn read_request(
    edge: &Edge,
    request: Request<Incoming>,
    arrival: Duration,
) -> Result<CallerRequest> {
    let (parts, body) = request.into_parts();
    let head = CallerHeaders::read(&parts.headers)
        .map_err(|err| request_error(ErrorKind::InvalidRequest, err.to_string()))?;
    if head.request_id.is_empty() {
        return Err(request_error(ErrorKind::InvalidRequest, "the request has no id"));
    }
    if parts.headers.contains_key("content-length")
        && parts.headers.contains_key("transfer-encoding")
    {
        return Err(request_error(ErrorKind::InvalidRequest, "the body has two lengths"));
    }
    let site = edge.site().ok_or_else(|| not_ready("no configuration is known yet"))?;
    let checked = authorize(edge, &site, &parts.headers, &parts.uri, &head);
    let (route, tenant) = checked.map_err(|err| deny_only_when_fresh(edge, err))?;
    let limit = site.limits.body;
    let body = read_body(body, limit, site.limits.idle).await?;
    let target = origin_form(&parts.uri)?;
    let timeout = head.timeout.unwrap_or(route.timeout).min(route.timeout);
    let hash = xxhash_rust::xxh3::xxh3_64(head.request_id.as_bytes());
    let service = route.service(hash).unwrap_or_default().to_owned();
    let caller = tenant.as_ref().map_or("", |tenant| tenant.name.as_str());
    let path = format!("{caller}\0{target}");
    let fingerprint = Fingerprint::of(parts.method.as_str(), &path, &body);
    if edge.suspects.borrow().quarantined(fingerprint) {
        let message = "upstreams crashed each time this request ran";
        return Err(
            request_error(ErrorKind::Quarantined, message).with_retry(QUARANTINE_RETRY_AFTER)
        );
    }
    Ok(CallerRequest {
        deadline: arrival + timeout,
        site,
        route,
        service,
        tenant,
        method: parts.method,
        target,
        headers: parts.headers,
        body,
        arrival,
        fingerprint,
        head,
    })
}

/// A process whose knowledge is old does not say that something does not exist.
fn deny_only_when_fresh(edge: &Edge, err: Error) -> Error {
    let fresh = edge.view.borrow().freshness.ready(edge.now());
    let denied = matches!(
        err.kind(),
        ErrorKind::UnknownRoute | ErrorKind::KeyRefused | ErrorKind::Unauthenticated
    );
    if denied && !fresh {
        return not_ready("the configuration in force is not known here");
    }
    err
}

fn authorize(
    edge: &Edge,
    site: &Site,
    headers: &HeaderMap,
    uri: &Uri,
    head: &CallerHeaders,
) -> Result<(SiteRoute, Option<SiteTenant>)> {
    let host = headers.get("host").and_then(|value| value.to_str().ok());
    let host = host.or(uri.host()).unwrap_or_default();
    let route = site.route(host, uri.path());
    let route = route.ok_or_else(|| {
        request_error(ErrorKind::UnknownRoute, format!("no route for {:?} on {host:?}", uri.path()))
    })?;
    if route.open || !site.keyed() {
        return Ok((route.clone(), None));
    }
    if !edge.view.borrow().freshness.keys_hold(edge.now()) {
        return Err(not_ready("the keys in force are not known here"));
    }
    let key = head.api_key.as_deref();
    let key =
        key.ok_or_else(|| request_error(ErrorKind::Unauthenticated, "the request has no key"))?;
    let tenant = site.tenant(key);
    let tenant = tenant
        .ok_or_else(|| request_error(ErrorKind::KeyRefused, "the key is unknown or withdrawn"))?;
    Ok((route.clone(), Some(tenant.clone())))
}

fn origin_form(uri: &Uri) -> Result<Uri> {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().map_err(|_| {
        request_error(ErrorKind::InvalidRequest, format!("path {path:?} is not valid"))
    })
}

async fn read_body(mut body: Incoming, limit: usize, within: Duration) -> Result<Bytes> {
    let reading = async {
        let mut buf = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|err| {
                request_error(ErrorKind::InvalidRequest, format!("the body broke off: {err}"))
            })?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if buf.len() + data.len() > limit {
                let message = format!("the body is longer than {limit} bytes");
                return Err(request_error(ErrorKind::TooLarge, message));
            }
            buf.extend_from_slice(&data);
        }
        Ok(buf.freeze())
    };
    let late = || request_error(ErrorKind::InvalidRequest, "the body did not arrive in time");
    tokio::time::timeout(within, reading).await.unwrap_or_else(|_| Err(late()))
}

/// Takes the tenant's tokens for a request, waiting for a moment if they come soon.
///
/// # Errors
///
/// `RateExceeded` with the time until they could be there.
pub async fn charge(edge: &Edge, request: &CallerRequest) -> Result<()> {
    let Some(tenant) = &request.tenant else {
        return Ok(());
    };
    let mut wait = Duration::ZERO;
    loop {
        let taken =
            edge.meter.borrow_mut().admit(&tenant.name, request.charged_tokens(), edge.now());
        let Err(missing) = taken else {
            return Ok(());
        };
        if edge.meter.borrow().report_due() {
            edge.gossip_wakeup.notify_one();
        }
        let most = MAX_QUOTA_WAIT.min(request.route.goal / 4);
        if wait + missing > most {
            let message = format!("tenant {} used up its rate", tenant.name);
            return Err(request_error(ErrorKind::RateExceeded, message).with_retry(missing));
        }
        wait += missing.max(Duration::from_millis(5));
        tokio::time::sleep(missing.max(Duration::from_millis(5))).await;
    }
}

/// Takes the tokens again for a request that runs once more.
pub fn charge_retry(edge: &Edge, request: &CallerRequest) {
    if let Some(tenant) = &request.tenant {
        edge.meter.borrow_mut().debit(&tenant.name, request.charged_tokens());
    }
}

/// Gives the tokens back for a request that did not run.
pub fn refund(edge: &Edge, request: &CallerRequest) {
    if let Some(tenant) = &request.tenant {
        edge.meter.borrow_mut().refund(&tenant.name, request.charged_tokens());
    }
}
