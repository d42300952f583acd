//! Sending a request to an upstream and reading its answer.

use std::time::Duration;

use bytes::Bytes;
use carob_net::{HttpClient, StreamingResponse};
use carobglade::{
    Error, ErrorKind, Fingerprint, InactivitySettings, InactivityTimeout, Record, Result,
    Suspicion, UpstreamName, is_credential_header,
};
use http::header::{CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

use crate::core::Core;
use crate::settings::millis;

/// The header that names a request.
pub const REQUEST_ID: &str = "x-request-id";

const HOP_HEADERS: [HeaderName; 4] = [CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING];
const FIRST_FLOOR: Duration = Duration::from_millis(1500); // silence allowed before any answer
const FIRST_FACTOR: f64 = 8.0; // times the mean that a first byte may take

/// A request as it is sent on.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers, without keys.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Its id.
    pub id: String,
    /// Its fingerprint.
    pub request: Fingerprint,
    /// How long its upstream may be silent before the head of the answer.
    pub patience: Patience,
}

/// How long an upstream may be silent before the head of an answer.
#[derive(Clone, Copy, Debug)]
pub enum Patience {
    /// The answer is streamed: by the upstream's mean, and longer for a prompt of so many tokens.
    Streamed(u64),
    /// The answer comes at once when its work is done, which may take so long beyond the setting.
    Whole(Duration),
}

/// The headers that go on: no key, nothing that belongs to the connection.
pub fn clean_headers(headers: &HeaderMap, key: Option<&str>, id: &str) -> HeaderMap {
    let mut kept = HeaderMap::new();
    for (name, value) in headers {
        let holds_key = key.is_some_and(|key| contains(value.as_bytes(), key.as_bytes()));
        if !is_credential_header(name.as_str()) && !HOP_HEADERS.contains(name) && !holds_key {
            kept.append(name.clone(), value.clone());
        }
    }
    if let Ok(id) = HeaderValue::from_str(id) {
        kept.insert(REQUEST_ID, id);
    }
    kept
}

/// Whether `text` holds `part`.
pub fn contains(text: &[u8], part: &[u8]) -> bool {
    !part.is_empty() && text.windows(part.len()).any(|window| window == part)
}

/// The bounds of silence for a request to `upstream`.
pub fn progress(core: &Core, upstream: &UpstreamName, prompt: u64) -> InactivityTimeout {
    let times = &core.settings.times;
    let longest = millis(times.first);
    let mean = core.upstreams.first_byte(upstream);
    let first = mean.map_or(longest, |mean| {
        (FIRST_FLOOR + Duration::from_secs_f64(mean * FIRST_FACTOR)).min(longest)
    });
    let settings = InactivitySettings {
        first_byte: first,
        between_chunks: millis(times.between),
        ..InactivitySettings::default()
    };
    InactivityTimeout::new(settings, prompt)
}

/// How long `upstream` may be silent before the head of an answer.
pub fn silence(core: &Core, upstream: &UpstreamName, patience: Patience) -> Duration {
    match patience {
        Patience::Streamed(prompt) => progress(core, upstream, prompt).limit(),
        Patience::Whole(work) => millis(core.settings.times.first) + work,
    }
}

/// Records that a request was in flight when `upstream` broke off, and waits until the record
/// is applied, so that its resend is judged by it.
pub async fn suspect(core: &Core, upstream: &UpstreamName, request: Fingerprint) {
    let incarnation = core.streams.control(|state| {
        let account = state.ledger().account(upstream);
        account.map(|account| account.incarnation).unwrap_or_default()
    });
    let upstream = upstream.clone();
    let suspicion = Suspicion { upstream, incarnation, requests: vec![request] };
    let before = core.streams.crashes(request);
    drop(core.control_log.add(Record::Suspicion(suspicion)));
    let until = core.now() + SUSPECT_WAIT;
    while core.now() < until {
        let applied = core.applied.notified();
        if core.streams.crashes(request) > before {
            return;
        }
        let _ = tokio::time::timeout(SUSPECT_POLL, applied).await;
    }
}

const SUSPECT_WAIT: Duration = Duration::from_secs(1);
const SUSPECT_POLL: Duration = Duration::from_millis(50);

/// Sends a request and waits for the head of the answer.
///
/// # Errors
///
/// `UpstreamUnavailable` when nothing was sent; `Timeout` or `UpstreamFailed` otherwise.
pub async fn open(
    core: &Core,
    caller: &HttpClient,
    upstream: &UpstreamName,
    outgoing: &Outgoing,
) -> Result<StreamingResponse> {
    let config = core.streams.config();
    let address = config.upstreams.get(upstream).map(|upstream| upstream.address);
    let Some(address) = address else {
        let message = format!("upstream {:?} does not exist", upstream.as_str());
        return Err(Error::new(ErrorKind::UpstreamUnavailable, message));
    };
    let started = core.now();
    let url = format!("http://{address}{}", outgoing.target);
    let patience = silence(core, upstream, outgoing.patience);
    let (method, headers, body) =
        (outgoing.method.clone(), outgoing.headers.clone(), outgoing.body.clone());
    let streamed = caller.send(method, &url, headers, body, patience).await?;
    if matches!(outgoing.patience, Patience::Streamed(_)) {
        core.upstreams.note_first(upstream, core.now() - started);
    }
    check_id(&streamed, &outgoing.id)?;
    Ok(streamed)
}

/// An answer that carries another request's id is not passed on.
fn check_id(streamed: &StreamingResponse, id: &str) -> Result<()> {
    let given = streamed.headers.get(REQUEST_ID).and_then(|value| value.to_str().ok());
    match given {
        Some(given) if given != id => {
            let message = format!("the answer belongs to request {given:?}");
            Err(Error::new(ErrorKind::UpstreamFailed, message))
        }
        _ => Ok(()),
    }
}
