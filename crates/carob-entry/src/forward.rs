//! Sends a request to an upstream and waits for the head of the response.

use std::time::Duration;

use bytes::Bytes;
use carob_net::{HttpClient, StreamingResponse, watch_silence};
use carobglade::{
    Error, ErrorKind, Fingerprint, InactivityTimeout, InactivityTimeoutSettings, Record, Result,
    Suspicion, UpstreamName, is_credential_header,
};
use http::header::{CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

use crate::settings::millis;
use crate::shared_state::SharedState;

/// Header that carries the request id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Headers that belong to one connection or are set anew for each message.
const UNFORWARDED_HEADERS: [HeaderName; 4] = [CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING];
/// Timeout for the first byte, to which a multiple of the mean time is added.
const MIN_FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Multiple of the mean time to the first byte that is added to the minimum timeout.
const FIRST_BYTE_MEAN_FACTOR: f64 = 8.0;

/// A request as it is sent to an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers, without API keys.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Request id.
    pub id: String,
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Time for the head of the response, after which the upstream counts as silent.
    pub head_timeout: HeadTimeout,
}

/// Time for the head of a response, after which the upstream counts as silent.
#[derive(Clone, Copy, Debug)]
pub enum HeadTimeout {
    /// For a streamed response: the time follows the upstream's mean time to the first byte, and
    /// grows with the number of prompt tokens, which the variant holds.
    Streamed(u64),
    /// For a response sent only when it is complete: the longest time that its generation may take,
    /// which is added to the time of the settings.
    Buffered(Duration),
}

/// Returns the headers to forward: without connection headers, credential headers and values that
/// contain `key`, and with the request id `id`.
pub fn forwarded_headers(headers: &HeaderMap, key: Option<&str>, id: &str) -> HeaderMap {
    let mut kept = HeaderMap::new();
    for (name, value) in headers {
        let holds_key = key.is_some_and(|key| contains_bytes(value.as_bytes(), key.as_bytes()));
        if !is_credential_header(name.as_str()) && !UNFORWARDED_HEADERS.contains(name) && !holds_key
        {
            kept.append(name.clone(), value.clone());
        }
    }
    if let Ok(id) = HeaderValue::from_str(id) {
        kept.insert(REQUEST_ID_HEADER, id);
    }
    kept
}

/// Reports whether `text` contains `part`; false if `part` is empty.
pub fn contains_bytes(text: &[u8], part: &[u8]) -> bool {
    !part.is_empty() && text.windows(part.len()).any(|window| window == part)
}

/// Returns the inactivity timeout for a request to `upstream` with a prompt of `prompt` tokens.
pub fn inactivity_timeout(
    shared: &SharedState,
    upstream: &UpstreamName,
    prompt: u64,
) -> InactivityTimeout {
    let times = &shared.settings.times;
    let longest = millis(times.first_byte);
    let mean = shared.upstreams.mean_first_byte(upstream);
    let first = mean.map_or(longest, |mean| {
        (MIN_FIRST_BYTE_TIMEOUT + Duration::from_secs_f64(mean * FIRST_BYTE_MEAN_FACTOR))
            .min(longest)
    });
    let settings = InactivityTimeoutSettings {
        first_byte: first,
        between_chunks: millis(times.between_chunks),
        ..InactivityTimeoutSettings::default()
    };
    InactivityTimeout::new(settings, prompt)
}

/// Returns the time for the head of a response of `upstream`, after which it counts as silent.
pub fn head_timeout(
    shared: &SharedState,
    upstream: &UpstreamName,
    head_timeout: HeadTimeout,
) -> Duration {
    match head_timeout {
        HeadTimeout::Streamed(prompt) => inactivity_timeout(shared, upstream, prompt).limit(),
        HeadTimeout::Buffered(work) => millis(shared.settings.times.first_byte) + work,
    }
}

/// Returns the time after which a wait is given up, for one after which an upstream counts as silent.
pub fn longest_wait(shared: &SharedState, expected: Duration) -> Duration {
    expected + millis(shared.settings.times.max_silence)
}

/// Records that `upstream` sends nothing on a request, although it should have within `expected`.
pub fn record_silence(
    shared: &SharedState,
    upstream: &UpstreamName,
    request_id: &str,
    expected: Duration,
) {
    let millis = expected.as_millis();
    log::info!("forward: upstream {upstream} silent for {millis} ms on request {request_id}");
    shared.upstreams.record_silence(upstream, shared.now());
}

/// Waits for the next chunk of a response that no other upstream can continue. A silence longer
/// than `expected` makes other requests prefer other upstreams, but does not end the wait.
///
/// # Errors
///
/// The errors of [`StreamingResponse::next_chunk`].
pub async fn next_chunk(
    shared: &SharedState,
    upstream: &UpstreamName,
    request_id: &str,
    response: &mut StreamingResponse,
    expected: Duration,
) -> Result<Option<Bytes>> {
    let mut silent = false;
    let next = response.next_chunk(longest_wait(shared, expected));
    let chunk = watch_silence(next, expected, || {
        silent = true;
        record_silence(shared, upstream, request_id, expected);
    });
    let chunk = chunk.await;
    if silent && chunk.is_ok() {
        shared.upstreams.record_progress(upstream);
    }
    chunk
}

/// Records that a request was in flight when `upstream` failed, and waits until the record is
/// applied, so that the decision to retry takes it into account.
pub async fn record_suspicion(shared: &SharedState, upstream: &UpstreamName, request: Fingerprint) {
    let incarnation = shared.log_state.with_control(|state| {
        let account = state.ledger().account(upstream);
        account.map(|account| account.incarnation).unwrap_or_default()
    });
    let upstream = upstream.clone();
    let suspicion = Suspicion { upstream, incarnation, requests: vec![request] };
    let before = shared.log_state.crash_count(request);
    drop(shared.control_batcher.add(Record::Suspicion(suspicion)));
    let until = shared.now() + SUSPICION_TIMEOUT;
    while shared.now() < until {
        let applied = shared.entry_applied.notified();
        if shared.log_state.crash_count(request) > before {
            return;
        }
        let _ = tokio::time::timeout(SUSPICION_POLL, applied).await;
    }
}

const SUSPICION_TIMEOUT: Duration = Duration::from_secs(1);
const SUSPICION_POLL: Duration = Duration::from_millis(50);

/// Sends a request and waits for the head of the response.
///
/// # Errors
///
/// `UpstreamUnavailable` if nothing was sent; `Timeout` or `UpstreamFailed` otherwise.
pub async fn open(
    shared: &SharedState,
    client: &HttpClient,
    upstream: &UpstreamName,
    outgoing: &UpstreamRequest,
) -> Result<StreamingResponse> {
    let config = shared.log_state.config();
    let address = config.upstreams.get(upstream).map(|upstream| upstream.address);
    let Some(address) = address else {
        let message = format!("upstream {:?} does not exist", upstream.as_str());
        return Err(Error::new(ErrorKind::UpstreamUnavailable, message));
    };
    let started = shared.now();
    let url = format!("http://{address}{}", outgoing.target);
    let expected = head_timeout(shared, upstream, outgoing.head_timeout);
    let (method, headers, body) =
        (outgoing.method.clone(), outgoing.headers.clone(), outgoing.body.clone());
    let longest = longest_wait(shared, expected);
    let response = client.send(method, &url, headers, body, longest).await?;
    let took = shared.now() - started;
    // The time of a silence tells nothing about the speed of the upstream.
    if matches!(outgoing.head_timeout, HeadTimeout::Streamed(_)) && took <= expected {
        shared.upstreams.record_first_byte(upstream, took);
    }
    check_request_id(&response, &outgoing.id)?;
    Ok(response)
}

/// Fails if the response carries the id of another request.
fn check_request_id(response: &StreamingResponse, id: &str) -> Result<()> {
    let given = response.headers.get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
    match given {
        Some(given) if given != id => {
            let message = format!("the answer belongs to request {given:?}");
            Err(Error::new(ErrorKind::UpstreamFailed, message))
        }
        _ => Ok(()),
    }
}
