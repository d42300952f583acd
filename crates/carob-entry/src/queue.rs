//! Waiting for an upstream that has the model loaded and room for a request.

use std::sync::Arc;
use std::time::Duration;

use carobglade::{
    Error, ErrorKind, ModelName, QueuedRequest, Result, RoutingPolicy, UpstreamCandidate,
    UpstreamName, choose_upstream,
};
use rand::Rng;
use tokio::sync::oneshot;

use crate::core::Core;
use crate::parts::{Ticket, Wanted};
use crate::permit::Permit;

const TICK: Duration = Duration::from_millis(20);
const COLD_RETRY: Duration = Duration::from_secs(2);
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// Waits for leave to send a request.
///
/// # Errors
///
/// `ModelLoading` or `UpstreamUnavailable`, with the delay after which to come back, when no
/// upstream takes the request in time.
pub async fn wait(core: &Arc<Core>, wanted: Wanted) -> Result<Permit> {
    let started = core.now();
    let (class, tenant, model) = (wanted.class, wanted.tenant.clone(), wanted.model.clone());
    let (id, granted) = enter(core, wanted)?;
    core.room.notify_one();
    let granted = granted.await;
    let now = core.now();
    core.waiting.waited(&model, id);
    core.metrics.queued(tenant.as_str(), class, now - started);
    granted.map_err(|_| given_up(core, &model))
}

fn enter(core: &Arc<Core>, wanted: Wanted) -> Result<(u64, oneshot::Receiver<Permit>)> {
    let now = core.now();
    let (grant, granted) = oneshot::channel();
    let id = rand::rng().random();
    let waiting = core.waiting.len();
    if waiting >= core.settings.limits.waiting {
        let message = format!("{waiting} requests wait already");
        let err = Error::new(ErrorKind::UpstreamUnavailable, message);
        return Err(err.with_retry_after(BUSY_RETRY));
    }
    core.waiting.wait(&wanted.model, id, now);
    if loaded_on(core, &wanted.model).is_empty() {
        core.urgent.notify_one();
        core.planning.notify_one();
    }
    let waiting = QueuedRequest {
        tenant: wanted.tenant.clone(),
        class: wanted.class,
        cost: wanted.cost,
        deadline: now + wanted.class.max_queue_time(),
        item: Ticket { wanted, grant },
    };
    core.waiting.with_queue(|queue| queue.push(waiting));
    Ok((id, granted))
}

/// The upstreams on which a model is loaded and that take new requests.
fn loaded_on(core: &Core, model: &ModelName) -> Vec<UpstreamName> {
    let mut loaded = core.streams.loaded_on(model);
    loaded.retain(|name| core.upstreams.takes_new(&core.streams, name));
    loaded
}

fn given_up(core: &Core, model: &ModelName) -> Error {
    let cold = loaded_on(core, model).is_empty();
    if cold {
        let message = format!("model {:?} is not loaded yet", model.as_str());
        return Error::new(ErrorKind::ModelLoading, message).with_retry_after(COLD_RETRY);
    }
    let message = format!("no upstream with model {:?} has room", model.as_str());
    Error::new(ErrorKind::UpstreamUnavailable, message).with_retry_after(BUSY_RETRY)
}

/// Grants leave to waiting requests until the process ends.
pub async fn dispatch(core: Arc<Core>) {
    loop {
        let _ = tokio::time::timeout(TICK, core.room.notified()).await;
        let now = core.now();
        let loads = core.neighbours.loads(now);
        let unclaimed = core.waiting.with_queue(|queue| {
            drop(queue.expire(now));
            let mut unclaimed = Vec::new();
            while let Some(waiting) = queue.pop(|ticket| {
                ticket.grant.is_closed()
                    || !candidates(&core, &loads, &ticket.wanted, now).is_empty()
            }) {
                unclaimed.extend(grant(&core, &loads, waiting.item, now));
            }
            unclaimed
        });
        drop(unclaimed);
    }
}

type Loads = std::collections::BTreeMap<UpstreamName, u32>;

fn candidates(
    core: &Core,
    loads: &Loads,
    wanted: &Wanted,
    now: Duration,
) -> Vec<UpstreamCandidate> {
    let config = core.streams.config();
    let limit = core.settings.limits.upstream;
    let mut loaded = loaded_on(core, &wanted.model);
    let untried = |name: &UpstreamName| !wanted.tried.contains(name);
    if loaded.iter().any(untried) {
        loaded.retain(untried);
    }
    let remote = |name: &UpstreamName| {
        let place = config.upstreams.get(name).map(|upstream| upstream.data_centre.as_str());
        place != Some(core.settings.data_centre.as_str())
    };
    let mut candidates = core.upstreams.candidates(loaded, loads, remote, now);
    candidates.retain(|candidate| candidate.own_requests + candidate.other_requests < limit);
    candidates
}

/// Grants a request leave to be sent; returns the permit when the request has left meanwhile.
fn grant(core: &Core, loads: &Loads, ticket: Ticket<Permit>, now: Duration) -> Option<Permit> {
    if ticket.grant.is_closed() {
        return None;
    }
    let mut list = candidates(core, loads, &ticket.wanted, now);
    if core.streams.crashes(ticket.wanted.request) > 0 {
        isolate(&mut list);
    }
    let random = |n: usize| rand::rng().random_range(0..n);
    let at = choose_upstream(RoutingPolicy::Affinity, &list, &ticket.wanted.prefix, random)?;
    let upstream = list[at].name.clone();
    let parts = (Arc::clone(&core.upstreams), Arc::clone(&core.waiting));
    let room = Arc::clone(&core.room);
    let permit = Permit::take(upstream, ticket.wanted.model, core.clock, parts, room);
    ticket.grant.send(permit).err()
}

/// A request under suspicion goes where the fewest others run.
fn isolate(list: &mut Vec<UpstreamCandidate>) {
    let least =
        list.iter().map(|candidate| candidate.own_requests + candidate.other_requests).min();
    list.retain(|candidate| Some(candidate.own_requests + candidate.other_requests) == least);
}
