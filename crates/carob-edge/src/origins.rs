//! Keeps a stream at the version of the upstreams' software that began it: binds resumptions to
//! that version, and tells other vms at which version streams began.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use carobglade::{
    Error, ErrorKind, OriginSource, Result, SoftwareVersion, StreamKey, StreamOrigin,
};

use crate::datagram;
use crate::edge::Edge;
use crate::event_ids;
use crate::origin_log;
use crate::origin_message::{MAX_TOLD, OriginMessage, ROLE, addresses, send};
use crate::origin_state::UnkeptOrigin;
use crate::request::CallerRequest;

/// Time within which other vms answer the question for a stream.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which a resumption waits for the list of vms, where that alone may tell the version.
const VM_LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which such a resumption looks again.
const VM_LIST_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which the log answers the question for a stream.
const LOG_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest time for which a resumption waits until the list is whole again after the log came back from
/// an older copy.
const MAX_RECOVERY_WAIT: Duration = Duration::from_secs(4);
/// Part of the time left that such a wait may take; the rest of the stream needs the remainder.
const RECOVERY_WAIT_PART: f64 = 0.75;
/// Retry time of a resumption that is refused.
const RESUME_RETRY_AFTER: Duration = Duration::from_millis(600);

/// Binds a request that resumes a stream to the version that began the stream.
///
/// # Errors
///
/// Returns `StreamNotResumable` when that version is not known, or no upstream has it.
pub async fn bind(edge: &Rc<Edge>, request: &CallerRequest) -> Result<()> {
    if !request.is_resumption() {
        return Ok(());
    }
    let (version, source) = look_up(edge, request).await;
    let serving = serving_versions(edge, &request.service);
    let outcome = match &version {
        Some(version) if serving.contains(version) => "bound",
        Some(_) => "no_upstream",
        None => "unknown",
    };
    edge.metrics.record_resumption(source.as_str(), outcome);
    log_resumption(request, version.as_ref(), &serving, source, outcome);
    match version.filter(|_| outcome == "bound") {
        Some(version) => {
            event_ids::ask_if_unknown(edge, request, &version);
            // Nothing has bound the request before.
            let _ = request.stream_version.set(version);
            Ok(())
        }
        None => {
            let message = "no upstream can go on with the stream";
            let err = Error::new(ErrorKind::StreamNotResumable, message);
            let until_known = recovery_time(edge, request).unwrap_or_default();
            Err(err.with_retry_after(RESUME_RETRY_AFTER.max(until_known)))
        }
    }
}

fn log_resumption(
    request: &CallerRequest,
    version: Option<&SoftwareVersion>,
    serving: &BTreeSet<SoftwareVersion>,
    source: OriginSource,
    outcome: &str,
) {
    let version = version.map(ToString::to_string).unwrap_or_default();
    let serving: Vec<String> = serving.iter().map(ToString::to_string).collect();
    log::info!(target: "request", id = request.caller_headers.request_id.as_str(), resumes = request.resumes_label(), source = source.as_str(), version = version.as_str(), serving = serving.join(",").as_str(), outcome = outcome; "A caller takes up a stream.");
}

/// Returns the versions of the upstreams that accept requests to a service.
fn serving_versions(edge: &Edge, service: &str) -> BTreeSet<SoftwareVersion> {
    let view = edge.view.borrow();
    let versions: BTreeSet<&SoftwareVersion> =
        view.upstreams.accepting(service).map(|entry| &entry.version).collect();
    versions.into_iter().cloned().collect()
}

async fn look_up(
    edge: &Rc<Edge>,
    request: &CallerRequest,
) -> (Option<SoftwareVersion>, OriginSource) {
    if let Some((version, source)) = look_up_here(edge, request) {
        return (Some(version), source);
    }
    if !edge.view.borrow().vms_known {
        wait_for_vms(edge).await;
        if let Some((version, source)) = look_up_here(edge, request) {
            return (Some(version), source);
        }
    }
    let Some(key) = request.resumed_key() else {
        return (None, OriginSource::Unknown);
    };
    let mut found = ask(edge, key).await;
    if found.is_none() {
        let read = tokio::time::timeout(LOG_TIMEOUT, origin_log::read_to_end(edge)).await;
        found = read.is_ok_and(|whole| whole).then(|| edge.origins.version(key)).flatten();
    }
    if found.is_none() && wait_for_list(edge, request).await {
        found = look_up_here(edge, request);
    }
    match found {
        Some((version, source)) => (Some(version), source),
        None => (None, OriginSource::Unknown),
    }
}

/// Returns the time until the list may tell at which version the stream of a resumption began, while it
/// is not whole again since the log came back from an older copy.
fn recovery_time(edge: &Edge, request: &CallerRequest) -> Option<Duration> {
    edge.origins.versions.borrow().recovery_time(&request.service, edge.now())
}

/// Waits until the list is whole again after the log came back from an older copy, if the caller has
/// time for that and the list can tell the version then. Reports whether it waited to the end.
async fn wait_for_list(edge: &Edge, request: &CallerRequest) -> bool {
    let time_left = request.remaining_time(edge.now());
    let until = edge.now() + MAX_RECOVERY_WAIT.min(time_left.mul_f64(RECOVERY_WAIT_PART));
    let mut waited = false;
    while let Some(left) = recovery_time(edge, request) {
        if edge.now() + left >= until {
            return false;
        }
        tokio::time::sleep(VM_LIST_INTERVAL).await;
        waited = true;
    }
    waited
}

/// Returns the version of a stream by what this process knows.
fn look_up_here(edge: &Edge, request: &CallerRequest) -> Option<(SoftwareVersion, OriginSource)> {
    let known = request.resumed_key().and_then(|key| edge.origins.version(key));
    known.or_else(|| {
        let single = edge.origins.versions.borrow().single(&request.service, edge.now());
        single.map(|version| (version, OriginSource::Single))
    })
}

/// Waits until the list of vms was read, which also holds the versions of services.
async fn wait_for_vms(edge: &Edge) {
    let until = edge.now() + VM_LIST_TIMEOUT;
    while !edge.view.borrow().vms_known && edge.now() < until {
        tokio::time::sleep(VM_LIST_INTERVAL).await;
    }
}

/// Asks other vms for a stream.
async fn ask(edge: &Rc<Edge>, key: StreamKey) -> Option<(SoftwareVersion, OriginSource)> {
    for address in addresses(edge, key) {
        send(edge, address, &OriginMessage::Ask(key));
    }
    let answered = async {
        loop {
            let told = edge.origins.told.notified();
            if let Some(found) = edge.origins.version(key) {
                return found;
            }
            told.await;
        }
    };
    tokio::time::timeout(ANSWER_TIMEOUT, answered).await.ok()
}

/// Binds a request to the version of the upstream that sends its first events, and tells other vms
/// unless one version alone can begin streams of the service.
pub fn record_start(edge: &Edge, request: &CallerRequest, version: &SoftwareVersion) {
    let bound_before = request.stream_version.set(version.clone()).is_err();
    // A stream that may not be resumed is bound, but nobody will ask for it.
    if bound_before || !request.route.kind.is_repeatable() {
        return;
    }
    let now = edge.now();
    let key = request.own_key();
    let origin = edge.origins.streams.borrow_mut().record_start(key, version, now);
    if edge.origins.versions.borrow().single(&request.service, now).is_none() {
        spread(edge, vec![origin]);
    }
}

/// Tells other vms and the log of streams.
fn spread(edge: &Edge, origins: Vec<StreamOrigin>) {
    let writer = origin_log::writer_address(edge);
    let mut told: BTreeMap<SocketAddr, Vec<StreamOrigin>> = BTreeMap::new();
    for origin in &origins {
        let addresses: BTreeSet<SocketAddr> =
            addresses(edge, origin.key).into_iter().chain(writer).collect();
        for address in addresses {
            told.entry(address).or_default().push(origin.clone());
        }
    }
    for (address, origins) in told {
        for part in origins.chunks(MAX_TOLD) {
            send(edge, address, &OriginMessage::Tell(part.to_vec()));
        }
    }
    origins.into_iter().for_each(|origin| add_unkept(edge, origin, None));
}

fn add_unkept(edge: &Edge, origin: StreamOrigin, told_by: Option<SocketAddr>) {
    let StreamOrigin { key, version, age_ms } = origin;
    let added_at = edge.now();
    let began_at = added_at.saturating_sub(Duration::from_millis(u64::from(age_ms)));
    edge.origins.add_unkept(UnkeptOrigin { key, version, began_at, added_at, told_by });
}

/// Handles a datagram about streams without its first byte.
pub fn handle_datagram(edge: &Edge, bytes: &[u8], from: SocketAddr) {
    match datagram::decode(bytes) {
        Ok(OriginMessage::Tell(origins)) => record_told(edge, origins, from),
        Ok(OriginMessage::Ask(key)) => {
            let origin = edge.origins.streams.borrow().origin(key, edge.now());
            if let Some(origin) = origin {
                send(edge, from, &OriginMessage::Tell(vec![origin]));
            }
        }
        Ok(OriginMessage::Kept(keys)) => edge.origins.remove_kept(&HashSet::from_iter(keys)),
        Err(err) => {
            edge.report_undecoded(ROLE, &from.to_string(), &err);
        }
    }
}

/// Records streams that another vm tells of, and has the new ones written to the log if this vm
/// writes for others.
fn record_told(edge: &Edge, origins: Vec<StreamOrigin>, from: SocketAddr) {
    let now = edge.now();
    let writes = origin_log::is_writer(edge);
    for origin in origins {
        let is_new = edge.origins.streams.borrow_mut().record(&origin, OriginSource::Peer, now);
        if is_new && writes {
            add_unkept(edge, origin, Some(from));
        }
    }
    edge.origins.told.notify_waiters();
}

/// Forgets streams and versions that no longer matter. Once no single version is known to have begun
/// the streams of a service, other vms are told of all streams that began here.
pub fn maintain(edge: &Edge) {
    let now = edge.now();
    edge.origins.streams.borrow_mut().expire(now);
    edge.origins.versions.borrow_mut().expire(now);
    if !edge.view.borrow().vms_known {
        return;
    }
    log_recovery(edge);
    let uncertain = edge.origins.versions.borrow().uncertain_services(now);
    let before = edge.origins.told_services.replace(uncertain.clone());
    let added: Vec<&String> = uncertain.difference(&before).collect();
    if added.is_empty() {
        return;
    }
    for service in added {
        log::info!(target: "versions", service = service.as_str(); "Streams of a service may have begun at several versions.");
    }
    let own = edge.origins.streams.borrow().own(now);
    spread(edge, own);
}

/// Tells in the log when the versions of services cease to be known since the log came back from an
/// older copy, and when they are known again.
fn log_recovery(edge: &Edge) {
    let recovering = edge.origins.versions.borrow().is_recovering();
    if edge.origins.recovering.replace(recovering) != recovering {
        let era = edge.store.era();
        log::info!(target: "versions", era:% = era, recovering = recovering; "Whether the list may lack versions, since the log came back from an older copy, changed.");
    }
}

/// Records the versions of all listed upstreams again.
pub fn refresh_versions(edge: &Edge) {
    let view = edge.view.borrow();
    let mut versions = edge.origins.versions.borrow_mut();
    for entry in view.upstreams.entries() {
        versions.record_listed(&entry.service, &entry.version, edge.now());
    }
}
