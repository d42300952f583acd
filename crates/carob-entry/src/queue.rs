//! Waiting for an upstream that has the model loaded and room for a request.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use carobglade::{
    Candidate, Class, Error, ErrorKind, Fingerprint, ModelName, Policy, Result, TenantName, Tokens,
    UpstreamName, Waiting, choose,
};
use rand::Rng;
use tokio::sync::oneshot;

use crate::core::{Core, Inner};

const TICK: Duration = Duration::from_millis(20);
const COLD_RETRY: Duration = Duration::from_secs(2);
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// What a request wants of an upstream.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// The tenant.
    pub tenant: TenantName,
    /// The class.
    pub class: Class,
    /// The model.
    pub model: ModelName,
    /// The start of the prompt.
    pub prefix: String,
    /// Most tokens.
    pub cost: Tokens,
    /// The request.
    pub request: Fingerprint,
    /// Upstreams that failed it, which get it again only when no other has the model.
    pub tried: BTreeSet<UpstreamName>,
}

/// A request in the queue.
#[derive(Debug)]
pub struct Ticket {
    wanted: Wanted,
    grant: oneshot::Sender<Permit>,
}

/// Leave to send a request to an upstream; gives the room back when dropped.
pub struct Permit {
    /// The upstream.
    pub upstream: UpstreamName,
    model: ModelName,
    core: Arc<Core>,
}

impl std::fmt::Debug for Permit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Permit({})", self.upstream)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut inner = self.core.lock();
        let used = inner.upstream(&self.upstream);
        used.running = used.running.saturating_sub(1);
        used.health.release();
        let now = self.core.now();
        let model = inner.models.entry(self.model.clone()).or_default();
        model.running = model.running.saturating_sub(1);
        model.used = now;
        drop(inner);
        self.core.room.notify_one();
    }
}

/// Waits for leave to send a request.
///
/// # Errors
///
/// `ModelCold` or `UpstreamUnavailable`, with the delay after which to come back, when no
/// upstream takes the request in time.
pub async fn wait(core: &Arc<Core>, wanted: Wanted) -> Result<Permit> {
    let started = core.now();
    let (class, tenant, model) = (wanted.class, wanted.tenant.clone(), wanted.model.clone());
    let (id, granted) = enter(core, wanted)?;
    core.room.notify_one();
    let granted = granted.await;
    let now = core.now();
    if let Some(used) = core.lock().models.get_mut(&model) {
        used.waiting.remove(&id);
    }
    core.metrics.queued(tenant.as_str(), class, now - started);
    granted.map_err(|_| given_up(core, &model))
}

fn enter(core: &Arc<Core>, wanted: Wanted) -> Result<(u64, oneshot::Receiver<Permit>)> {
    let now = core.now();
    let (grant, granted) = oneshot::channel();
    let id = rand::rng().random();
    let mut inner = core.lock();
    if inner.queue.len() >= core.settings.limits.waiting {
        let message = format!("{} requests wait already", inner.queue.len());
        let err = Error::new(ErrorKind::UpstreamUnavailable, message);
        return Err(err.with_retry(BUSY_RETRY));
    }
    let cold = inner.loaded_on(&wanted.model).is_empty();
    let used = inner.models.entry(wanted.model.clone()).or_default();
    used.used = now;
    used.waiting.insert(id, now);
    if cold {
        core.urgent.notify_one();
        core.planning.notify_one();
    }
    let waiting = Waiting {
        tenant: wanted.tenant.clone(),
        class: wanted.class,
        cost: wanted.cost,
        until: now + wanted.class.queue_time(),
        item: Ticket { wanted, grant },
    };
    inner.queue.push(waiting);
    Ok((id, granted))
}

fn given_up(core: &Core, model: &ModelName) -> Error {
    let cold = core.lock().loaded_on(model).is_empty();
    if cold {
        let message = format!("model {:?} is not loaded yet", model.as_str());
        return Error::new(ErrorKind::ModelCold, message).with_retry(COLD_RETRY);
    }
    let message = format!("no upstream with model {:?} has room", model.as_str());
    Error::new(ErrorKind::UpstreamUnavailable, message).with_retry(BUSY_RETRY)
}

/// Grants leave to waiting requests until the process ends.
pub async fn dispatch(core: Arc<Core>) {
    loop {
        let _ = tokio::time::timeout(TICK, core.room.notified()).await;
        let now = core.now();
        let mut inner = core.lock();
        if inner.queue.is_empty() {
            continue;
        }
        let mut queue = std::mem::take(&mut inner.queue);
        drop(queue.expire(now));
        let loads = inner.fleet.loads(now);
        while let Some(waiting) = queue.pop(|ticket| {
            ticket.grant.is_closed() || !candidates(&core, &inner, &loads, ticket, now).is_empty()
        }) {
            grant(&core, &mut inner, &loads, waiting.item, now);
        }
        inner.queue = queue;
    }
}

type Loads = std::collections::BTreeMap<UpstreamName, u32>;

fn candidates(
    core: &Core,
    inner: &Inner,
    loads: &Loads,
    ticket: &Ticket,
    now: Duration,
) -> Vec<Candidate> {
    let config = inner.control.state().config();
    let limit = core.settings.limits.upstream;
    let mut loaded = inner.loaded_on(&ticket.wanted.model);
    let untried = |name: &UpstreamName| !ticket.wanted.tried.contains(name);
    if loaded.iter().any(untried) {
        loaded.retain(untried);
    }
    let candidates = loaded.into_iter().filter_map(|name| {
        let used = inner.upstreams.get(&name);
        if used.is_some_and(|used| !used.health.usable(now)) {
            return None;
        }
        let place = config.upstreams.get(&name).map(|upstream| upstream.data_centre.as_str());
        Some(Candidate {
            own: used.map_or(0, |used| used.running),
            others: loads.get(&name).copied().unwrap_or(0),
            remote: place != Some(core.settings.data_centre.as_str()),
            name,
        })
    });
    candidates.filter(|candidate| candidate.own + candidate.others < limit).collect()
}

fn grant(core: &Arc<Core>, inner: &mut Inner, loads: &Loads, ticket: Ticket, now: Duration) {
    if ticket.grant.is_closed() {
        return;
    }
    let mut list = candidates(core, inner, loads, &ticket, now);
    let suspect = inner.control.state().suspects().crashes(ticket.wanted.request) > 0;
    if suspect {
        isolate(&mut list);
    }
    let random = |n: usize| rand::rng().random_range(0..n);
    let Some(at) = choose(Policy::Affinity, &list, &ticket.wanted.prefix, random) else {
        return;
    };
    let upstream = list[at].name.clone();
    let used = inner.upstream(&upstream);
    used.running += 1;
    used.health.start();
    inner.models.entry(ticket.wanted.model.clone()).or_default().running += 1;
    let permit = Permit { upstream, model: ticket.wanted.model, core: Arc::clone(core) };
    // The room is given back when the waiting request has left meanwhile; the lock is held here,
    // so that happens in a task of its own.
    if let Err(permit) = ticket.grant.send(permit) {
        tokio::spawn(async move { drop(permit) });
    }
}

/// A request under suspicion goes where the fewest others run.
fn isolate(list: &mut Vec<Candidate>) {
    let least = list.iter().map(|candidate| candidate.own + candidate.others).min();
    list.retain(|candidate| Some(candidate.own + candidate.others) == least);
}
