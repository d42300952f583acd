//! Chooses an upstream for a request, waiting while its model or adapter is being loaded.

use std::rc::Rc;
use std::time::Duration;

use carobglade::{
    AdapterId, DispatchCandidate, DispatchDecision, DispatchSettings, Error, ErrorKind,
    ExpectedWork, GossipSource, RequestTiming, Result, RouteKind, SoftwareVersion, UpstreamEntry,
    UpstreamName, dispatch,
};
use rand::Rng;

use crate::edge::Edge;
use crate::paths;
use crate::quiet;
use crate::request::CallerRequest;
use crate::rooms::{self, RoomGuard};
use crate::stop_admission;
use crate::turns;
use crate::work;

/// Time between two output tokens of a busy engine.
const TIME_PER_TOKEN: Duration = Duration::from_millis(14);
/// Interval at which a waiting request looks for an upstream with its model or adapter.
const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Fraction of the remaining time for which a request waits for its model or adapter.
const MAX_WAIT_FRACTION: f64 = 0.5;
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(600);

/// The upstream chosen for a request.
pub struct Choice {
    /// The upstream's entry in the registry.
    pub entry: UpstreamEntry,
    /// The expected time to the first byte.
    pub estimate: Duration,
    /// What was expected of an upstream of normal speed, where costs are learned.
    pub work: Option<ExpectedWork>,
    /// Requests that ran at the upstream when it was chosen, as far as this process knows.
    pub running: u32,
    /// Tokens of these requests.
    pub load_tokens: u64,
    /// Output tokens that each stream of the upstream gets, in tokens a second, if known.
    pub token_rate: Option<f64>,
    /// The place of the request at a brittle upstream.
    pub room: Option<Rc<RoomGuard>>,
    /// Whether the request goes over a new connection, since an earlier attempt failed or is silent.
    pub fresh: bool,
}

/// Chooses an upstream that is not among `tried`, for the events of a stream after `last_id`.
///
/// # Errors
///
/// Returns an error when no upstream can serve the request in time.
pub async fn choose_upstream(
    edge: &Rc<Edge>,
    request: &CallerRequest,
    tried: &[UpstreamName],
    last_id: Option<u64>,
) -> Result<Choice> {
    let until = edge.now() + request.remaining_time(edge.now()).mul_f64(MAX_WAIT_FRACTION);
    loop {
        let changed = edge.capacity_changed.notified();
        let eligible = eligible_upstreams(edge, request, tried);
        let (reachable, _) = paths::reachable_upstreams(edge, eligible);
        if !reachable.is_empty() {
            if let Some(choice) = take_turn(edge, request, reachable, last_id).await? {
                return Ok(choice);
            }
            continue;
        }
        if let Some(wait) = unreachable_time(edge, request, tried) {
            return Err(paths::unreachable_error(wait));
        }
        if request.caller_headers.model.is_none()
            || !has_bound_version(edge, request, tried)
            || edge.now() >= until
            || !is_model_configured(request)
        {
            return Err(unavailable_error(edge, request));
        }
        if tried.is_empty() {
            stop_admission::check_wait(edge, request)?;
        }
        request_adapter(edge, request);
        if tokio::time::timeout(POLL_INTERVAL, changed).await.is_err() {
            log::trace!(target: "request", id = request.caller_headers.request_id.as_str(); "Waiting for the model or adapter to be loaded.");
        }
    }
}

/// Chooses one of `eligible` and waits for its turn there if the upstream names a limit. Returns
/// `None` when there was no turn, so that the others are considered.
///
/// # Errors
///
/// Returns an error when no upstream can take the request in time.
async fn take_turn(
    edge: &Rc<Edge>,
    request: &CallerRequest,
    eligible: Vec<UpstreamEntry>,
    last_id: Option<u64>,
) -> Result<Option<Choice>> {
    let (eligible, next_open) = quiet::open_upstreams(edge, eligible);
    if let (true, Some(wait)) = (eligible.is_empty(), next_open) {
        if wait > max_turn_wait(edge, request) {
            return Err(refused_for(wait));
        }
        tokio::time::sleep(wait).await;
        return Ok(None);
    }
    let max_wait = match turns::has_unlimited(edge, &eligible) {
        true => Duration::ZERO,
        false => max_turn_wait(edge, request),
    };
    let (open, next_turn) = turns::open_upstreams(edge, eligible, max_wait);
    if let (true, Some(wait)) = (open.is_empty(), next_turn) {
        return Err(refused_for(wait));
    }
    let mut choice = dispatch_request(edge, request, open, last_id)?;
    edge.paths.table.borrow_mut().record_trial(&choice.entry.name, edge.now());
    let mut has_turn = turns::wait_for_turn(edge, &choice.entry, max_wait).await;
    if has_turn {
        match rooms::enter(edge, &choice.entry, request.remaining_time(edge.now())).await {
            Ok(room) => choice.room = room,
            Err(_) => has_turn = false,
        }
    }
    // The upstream may have announced in the meantime that it is leaving or wants no requests, or
    // started again, or its data centre is evacuated.
    let view = edge.view.borrow();
    let (name, started_ms) = (&choice.entry.name, choice.entry.started_ms);
    let accepts = view.upstreams.accepting_run(name, started_ms).is_some();
    let wants = accepts && !quiet::is_quiet(edge, &choice.entry);
    Ok((has_turn && wants).then_some(choice))
}

fn refused_for(wait: Duration) -> Error {
    let message = format!("upstreams take no more requests for {} ms", wait.as_millis());
    Error::new(ErrorKind::UpstreamUnavailable, message).with_retry_after(wait)
}

/// Returns how long a request waits for a turn where no other upstream can take it.
fn max_turn_wait(edge: &Edge, request: &CallerRequest) -> Duration {
    let half = request.remaining_time(edge.now()).mul_f64(MAX_WAIT_FRACTION);
    half.min(request.route.latency_goal)
}

fn is_model_configured(request: &CallerRequest) -> bool {
    let engine = request.config.engine(&request.service);
    let model = request.caller_headers.model.as_ref();
    engine.zip(model).is_some_and(|(engine, model)| engine.models.contains_key(model))
}

/// Returns the time until one of the upstreams that could take the request is tried again, if no vm
/// reaches them. The request itself does not try those among `tried` again.
fn unreachable_time(
    edge: &Edge,
    request: &CallerRequest,
    tried: &[UpstreamName],
) -> Option<Duration> {
    let holders = eligible_upstreams(edge, request, &[]);
    let names: Vec<UpstreamName> = holders.iter().map(|entry| entry.name.clone()).collect();
    let (open, next_trial) = paths::reachable_upstreams(edge, holders);
    let table = edge.paths.table.borrow();
    let all_failed =
        open.iter().all(|entry| tried.contains(&entry.name) && table.has_failed(&entry.name));
    if names.is_empty() || !all_failed {
        return None;
    }
    // One whose pause has ended may be tried by the next request.
    let wait = next_trial.filter(|_| open.is_empty()).unwrap_or_default();
    let view = edge.view.borrow();
    let accepting = view.upstreams.accepting(&request.service);
    let service: Vec<UpstreamName> = accepting.map(|entry| entry.name.clone()).collect();
    table.is_unreachable(&names, &service, edge.now()).then_some(wait)
}

fn unavailable_error(edge: &Edge, request: &CallerRequest) -> Error {
    let loading =
        request.caller_headers.model.is_some() && eligible_upstreams(edge, request, &[]).is_empty();
    let kind = if loading { ErrorKind::ModelLoading } else { ErrorKind::UpstreamUnavailable };
    Error::new(kind, "no upstream can take the request now")
        .with_retry_after(UNAVAILABLE_RETRY_AFTER)
}

/// Returns which upstreams a request may go to by the version of their software: a stream that has
/// begun only to those of its version, a new one that may be resumed not to a version that other vms
/// may not know yet, unless no other has its model.
fn version_filter<'a>(
    edge: &Edge,
    request: &'a CallerRequest,
) -> impl Fn(&UpstreamEntry) -> bool + 'a {
    let held_back = held_back_versions(edge, request);
    move |entry| match request.stream_version.get() {
        Some(version) => entry.version == *version,
        None => !held_back.contains(&entry.version),
    }
}

fn held_back_versions(edge: &Edge, request: &CallerRequest) -> Vec<SoftwareVersion> {
    let RouteKind::Stream { resumable: true } = request.route.kind else {
        return Vec::new();
    };
    let held_back = edge.origins.versions.borrow().held_back(&request.service, edge.now());
    if held_back.is_empty() {
        return held_back;
    }
    let view = edge.view.borrow();
    let mut holding = view.upstreams.accepting(&request.service);
    let has_other = holding
        .any(|entry| !held_back.contains(&entry.version) && is_eligible(edge, request, &[], entry));
    if has_other { held_back } else { Vec::new() }
}

/// Reports whether an upstream that is not among `tried` has the version that a stream is bound to,
/// so that a wait for its model makes sense; true for a request that is not bound.
pub fn has_bound_version(edge: &Edge, request: &CallerRequest, tried: &[UpstreamName]) -> bool {
    let Some(version) = request.stream_version.get() else {
        return true;
    };
    let view = edge.view.borrow();
    let mut accepting = view.upstreams.accepting(&request.service);
    accepting.any(|entry| entry.version == *version && !tried.contains(&entry.name))
}

/// Returns the usable upstreams that are not among `tried` and have loaded the model and adapter of
/// the request, if it names any.
fn eligible_upstreams(
    edge: &Edge,
    request: &CallerRequest,
    tried: &[UpstreamName],
) -> Vec<UpstreamEntry> {
    let view = edge.view.borrow();
    let fits = version_filter(edge, request);
    let accepting = view.upstreams.accepting(&request.service).filter(|entry| fits(entry));
    accepting.filter(|entry| is_eligible(edge, request, tried, entry)).cloned().collect()
}

/// Reports whether an upstream that is not among `tried` could take the request without a wait for
/// its model or adapter.
pub fn has_candidate(edge: &Edge, request: &CallerRequest, tried: &[UpstreamName]) -> bool {
    let view = edge.view.borrow();
    let fits = version_filter(edge, request);
    let mut accepting = view.upstreams.accepting(&request.service).filter(|entry| fits(entry));
    accepting.any(|entry| {
        is_eligible(edge, request, tried, entry) && paths::pause_left(edge, entry).is_none()
    })
}

fn is_eligible(
    edge: &Edge,
    request: &CallerRequest,
    tried: &[UpstreamName],
    entry: &UpstreamEntry,
) -> bool {
    if tried.contains(&entry.name) {
        return false;
    }
    let Some(model) = &request.caller_headers.model else {
        return true;
    };
    let adapter = request.caller_headers.adapter.as_deref();
    edge.placement.borrow().can_serve(entry, model, adapter, edge.now())
}

fn request_adapter(edge: &Edge, request: &CallerRequest) {
    let (Some(model), Some(adapter)) =
        (&request.caller_headers.model, &request.caller_headers.adapter)
    else {
        return;
    };
    let name = AdapterId {
        service: request.service.clone(),
        model: model.clone(),
        adapter: adapter.clone(),
    };
    if let Some(version) = request.stream_version.get() {
        edge.demand.borrow_mut().record_adapter_wait(&name, version, edge.now());
    }
    if edge.placement.borrow_mut().record_adapter_request(name, GossipSource::Local, edge.now()) {
        edge.planner_wakeup.notify_one();
        edge.gossip_wakeup.notify_one();
    }
}

fn dispatch_candidate(
    edge: &Edge,
    request: &CallerRequest,
    entry: &UpstreamEntry,
) -> DispatchCandidate {
    let now = edge.now();
    let loads = edge.loads.borrow();
    let total = loads.total_load(&entry.name, now);
    let stats = loads.stats(&request.service, &entry.name);
    let engine = request.config.engine(&request.service);
    let cost = work::token_cost(edge, request);
    let latency_ratio = match cost {
        Some(_) => edge.work.borrow().slowness(&entry.name, stats.latency_ratio),
        None => stats.latency_ratio,
    };
    DispatchCandidate {
        prompt_backlog: total.prompt_backlog,
        prefill_tokens: request.prompt_tokens(),
        token_cost: cost,
        backlog_left: cost.map(|_| edge.work.borrow().backlog_left(&request.service)),
        token_rate: total.tokens_per_stream(),
        running: total.running,
        slots: entry.slots,
        memory: engine.map_or((0, 0), |engine| (total.tokens, engine.kv_capacity.0)),
        latency_ratio,
        failure_rate: stats.failure_rate,
        remote: entry.data_centre.as_str() != edge.settings.data_centre,
    }
}

/// Returns the timing of what is left of a response after the event `last_id`.
fn request_timing(edge: &Edge, request: &CallerRequest, last_id: Option<u64>) -> RequestTiming {
    let last_id = last_id.or(request.caller_headers.last_event);
    let events = if request.route.kind.is_stream() { last_id.unwrap_or(0) } else { 0 };
    let expected = request.expected_output();
    let tokens = edge.token_pace.borrow().remaining_tokens(&request.service, expected, events);
    let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
    RequestTiming {
        latency_goal: request.route.latency_goal,
        time_left: request.remaining_time(edge.now()),
        output_time: if request.route.kind.is_stream() {
            TIME_PER_TOKEN * tokens
        } else {
            Duration::ZERO
        },
        token_rate: request.token_rate(),
        needed_rate: edge.token_pace.borrow().needed_rate(&request.service),
        service_time: Duration::from_millis(20),
        resumes: events > 0,
    }
}

fn dispatch_request(
    edge: &Edge,
    request: &CallerRequest,
    eligible: Vec<UpstreamEntry>,
    last_id: Option<u64>,
) -> Result<Choice> {
    let dispatch_candidates: Vec<DispatchCandidate> =
        eligible.iter().map(|entry| dispatch_candidate(edge, request, entry)).collect();
    let timing = request_timing(edge, request, last_id);
    let tie_breaker = rand::rng().random::<u32>();
    match dispatch(
        &dispatch_candidates,
        &timing,
        &DispatchSettings::default(),
        u64::from(tie_breaker),
    ) {
        DispatchDecision::Send(index, estimate) => {
            let entry =
                eligible.into_iter().nth(index).ok_or_else(|| unavailable_error(edge, request))?;
            let candidate = dispatch_candidates[index];
            let expected = candidate.expected_work(&timing, &DispatchSettings::default());
            Ok(Choice {
                entry,
                estimate,
                work: candidate.token_cost.map(|_| expected),
                running: candidate.running,
                load_tokens: candidate.memory.0,
                token_rate: candidate.token_rate,
                room: None,
                fresh: false,
            })
        }
        DispatchDecision::RetryLater(after) => {
            let message = format!("upstreams are busy for {} ms more", after.as_millis());
            Err(Error::new(ErrorKind::UpstreamUnavailable, message).with_retry_after(after))
        }
        DispatchDecision::NoUpstream => Err(unavailable_error(edge, request)),
    }
}
