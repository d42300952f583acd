//! Queues requests until an upstream has the model loaded and capacity for another request.

use std::sync::Arc;
use std::time::Duration;

use carobglade::{
    Error, ErrorKind, ModelName, QueuedRequest, Result, RoutingPolicy, UpstreamCandidate,
    UpstreamName, choose_upstream,
};
use rand::Rng;
use tokio::sync::oneshot;

use crate::permit::Permit;
use crate::shared_state::SharedState;
use crate::state::{Ticket, UpstreamRequirements};

const DISPATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Delay after which callers may retry while the model is being loaded.
const LOADING_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Delay after which callers may retry while the queue or all upstreams are full.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Queues a request and waits for a permit to send it to an upstream.
///
/// # Errors
///
/// `ModelLoading` or `UpstreamUnavailable`, with the delay after which to retry, if the queue is
/// full or no upstream accepts the request in time.
pub async fn acquire_permit(
    shared: &Arc<SharedState>,
    requirements: UpstreamRequirements,
) -> Result<Permit> {
    let started = shared.now();
    let (class, tenant, model) =
        (requirements.class, requirements.tenant.clone(), requirements.model.clone());
    let (id, granted) = enqueue(shared, requirements)?;
    shared.capacity_freed.notify_one();
    let granted = granted.await;
    let now = shared.now();
    shared.request_queue.remove_waiting(&model, id);
    shared.metrics.record_queue_time(tenant.as_str(), class, now - started);
    granted.map_err(|_| no_permit_error(shared, &model))
}

/// Adds a request to the queue and returns its ticket number and the receiver of its permit. If the
/// model is not loaded anywhere, a heartbeat and a new plan are triggered.
fn enqueue(
    shared: &Arc<SharedState>,
    requirements: UpstreamRequirements,
) -> Result<(u64, oneshot::Receiver<Permit>)> {
    let now = shared.now();
    let (permit_sender, granted) = oneshot::channel();
    let id = rand::rng().random();
    let waiting = shared.request_queue.len();
    if waiting >= shared.settings.limits.queued_requests {
        let message = format!("{waiting} requests wait already");
        let err = Error::new(ErrorKind::UpstreamUnavailable, message);
        return Err(err.with_retry_after(BUSY_RETRY_AFTER));
    }
    shared.request_queue.record_waiting(&requirements.model, id, now);
    if loaded_on(shared, &requirements.model).is_empty() {
        shared.heartbeat_now.notify_one();
        shared.replan.notify_one();
    }
    let request = QueuedRequest {
        tenant: requirements.tenant.clone(),
        class: requirements.class,
        cost: requirements.cost,
        deadline: now + requirements.class.max_queue_time(),
        item: Ticket { requirements, permit_sender },
    };
    shared.request_queue.with_queue(|queue| queue.push(request));
    Ok((id, granted))
}

/// Returns the upstreams that have a model loaded and accept new requests.
fn loaded_on(shared: &SharedState, model: &ModelName) -> Vec<UpstreamName> {
    let mut loaded = shared.log_state.loaded_on(model);
    loaded.retain(|name| shared.upstreams.accepts_new_requests(&shared.log_state, name));
    loaded
}

/// Returns the error for a request that timed out in the queue.
fn no_permit_error(shared: &SharedState, model: &ModelName) -> Error {
    let cold = loaded_on(shared, model).is_empty();
    if cold {
        let message = format!("model {:?} is not loaded yet", model.as_str());
        return Error::new(ErrorKind::ModelLoading, message).with_retry_after(LOADING_RETRY_AFTER);
    }
    let message = format!("no upstream with model {:?} has room", model.as_str());
    Error::new(ErrorKind::UpstreamUnavailable, message).with_retry_after(BUSY_RETRY_AFTER)
}

/// Grants permits to queued requests until the process ends.
pub async fn run(shared: Arc<SharedState>) {
    loop {
        let _ = tokio::time::timeout(DISPATCH_INTERVAL, shared.capacity_freed.notified()).await;
        let now = shared.now();
        let loads = shared.fleet.upstream_loads(now);
        let unused_permits = shared.request_queue.with_queue(|queue| {
            drop(queue.expire(now));
            let mut unused_permits = Vec::new();
            while let Some(waiting) = queue.pop(|ticket| {
                ticket.permit_sender.is_closed()
                    || !candidates(&shared, &loads, &ticket.requirements, now).is_empty()
            }) {
                unused_permits.extend(grant(&shared, &loads, waiting.item, now));
            }
            unused_permits
        });
        drop(unused_permits);
    }
}

/// Requests of the other processes on each upstream.
type Loads = std::collections::BTreeMap<UpstreamName, u32>;

/// Returns the upstreams that may receive a request now. Upstreams on which the request failed are
/// included only if no other upstream has the model, and silent ones only if all with room are.
fn candidates(
    shared: &SharedState,
    loads: &Loads,
    requirements: &UpstreamRequirements,
    now: Duration,
) -> Vec<UpstreamCandidate> {
    let config = shared.log_state.config();
    let limit = shared.settings.limits.upstream_requests;
    let mut loaded = loaded_on(shared, &requirements.model);
    let untried = |name: &UpstreamName| !requirements.tried.contains(name);
    if loaded.iter().any(untried) {
        loaded.retain(untried);
    }
    let remote = |name: &UpstreamName| {
        let data_centre = config.upstreams.get(name).map(|upstream| upstream.data_centre.as_str());
        data_centre != Some(shared.settings.data_centre.as_str())
    };
    let mut candidates = shared.upstreams.candidates(loaded, loads, remote, now);
    candidates.retain(|candidate| candidate.local_requests + candidate.peer_requests < limit);
    shared.upstreams.prefer_active(&mut candidates, now);
    candidates
}

/// Grants a permit to a queued request. Returns the permit if the request stopped waiting
/// meanwhile.
fn grant(
    shared: &SharedState,
    loads: &Loads,
    ticket: Ticket<Permit>,
    now: Duration,
) -> Option<Permit> {
    if ticket.permit_sender.is_closed() {
        return None;
    }
    let mut list = candidates(shared, loads, &ticket.requirements, now);
    if shared.log_state.crash_count(ticket.requirements.request) > 0 {
        keep_least_loaded(&mut list);
    }
    let random = |n: usize| rand::rng().random_range(0..n);
    let at = choose_upstream(RoutingPolicy::Affinity, &list, &ticket.requirements.prefix, random)?;
    let upstream = list[at].name.clone();
    let parts = (Arc::clone(&shared.upstreams), Arc::clone(&shared.request_queue));
    let capacity_freed = Arc::clone(&shared.capacity_freed);
    let permit =
        Permit::acquire(upstream, ticket.requirements.model, shared.clock, parts, capacity_freed);
    ticket.permit_sender.send(permit).err()
}

/// Keeps only the candidates with the fewest requests in flight, so that a request suspected of
/// crashing upstreams affects few others.
fn keep_least_loaded(list: &mut Vec<UpstreamCandidate>) {
    let least =
        list.iter().map(|candidate| candidate.local_requests + candidate.peer_requests).min();
    list.retain(|candidate| Some(candidate.local_requests + candidate.peer_requests) == least);
}
