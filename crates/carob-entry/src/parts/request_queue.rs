//! Requests that wait for an upstream, and the use of models.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::time::Duration;

use carob_net::lock;
use carobglade::{
    Demand, FairQueue, Fingerprint, ModelName, RequestClass, RetryBudget, RetrySettings,
    TenantName, Tokens, UpstreamName,
};
use tokio::sync::oneshot;

const MEAN_WEIGHT: f32 = 0.3; // of the present in the mean of running requests
const MIN_ACTIVE_MEAN: f32 = 0.01; // running requests from which on a model counts as asked for

/// What a request wants of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRequirements {
    /// The tenant.
    pub tenant: TenantName,
    /// The class.
    pub class: RequestClass,
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

/// A request in the queue, and where it waits for the upstream that it is granted.
#[derive(Debug)]
pub struct Ticket<P> {
    /// What it wants.
    pub requirements: UpstreamRequirements,
    /// Where the leave to send it goes.
    pub permit_sender: oneshot::Sender<P>,
}

/// Use of one model by this process.
#[derive(Debug, Default)]
struct ModelUsage {
    /// Requests that run.
    running: u32,
    /// When requests that wait began to, by ticket.
    waiting: BTreeMap<u64, Duration>,
    /// Moving mean of `running`.
    mean_running: f32,
    /// When it was last asked for.
    last_used: Duration,
}

/// Requests that wait for an upstream, and the use of models.
pub struct RequestQueue<P> {
    queue: Mutex<FairQueue<Ticket<P>>>,
    models: Mutex<BTreeMap<ModelName, ModelUsage>>,
    budget: Mutex<RetryBudget>,
}

impl<P> Default for RequestQueue<P> {
    fn default() -> Self {
        RequestQueue {
            queue: Mutex::new(FairQueue::default()),
            models: Mutex::default(),
            budget: Mutex::new(RetryBudget::new(RetrySettings::default())),
        }
    }
}

impl<P> RequestQueue<P> {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        lock(&self.queue).len()
    }

    /// Works on the queue; models may be looked at meanwhile.
    pub fn with_queue<T>(&self, work: impl FnOnce(&mut FairQueue<Ticket<P>>) -> T) -> T {
        work(&mut lock(&self.queue))
    }

    /// A request begins to wait for a model.
    pub fn record_waiting(&self, model: &ModelName, ticket: u64, now: Duration) {
        let mut models = lock(&self.models);
        let used = models.entry(model.clone()).or_default();
        used.last_used = now;
        used.waiting.insert(ticket, now);
    }

    /// It does not wait any more.
    pub fn remove_waiting(&self, model: &ModelName, ticket: u64) {
        if let Some(used) = lock(&self.models).get_mut(model) {
            used.waiting.remove(&ticket);
        }
    }

    /// A request for a model begins to run.
    pub fn record_start(&self, model: &ModelName) {
        lock(&self.models).entry(model.clone()).or_default().running += 1;
    }

    /// It ended.
    pub fn record_end(&self, model: &ModelName, now: Duration) {
        let mut models = lock(&self.models);
        let used = models.entry(model.clone()).or_default();
        used.running = used.running.saturating_sub(1);
        used.last_used = now;
    }

    /// Updates the means; called with each heartbeat.
    pub fn update_mean_running(&self) {
        for used in lock(&self.models).values_mut() {
            used.mean_running += (used.running as f32 - used.mean_running) * MEAN_WEIGHT;
        }
    }

    /// Demand of this process for each model.
    pub fn demand(&self, now: Duration) -> BTreeMap<ModelName, Demand> {
        let models = lock(&self.models);
        let asked =
            |used: &ModelUsage| used.mean_running > MIN_ACTIVE_MEAN || !used.waiting.is_empty();
        let demand = models.iter().filter(|(_, used)| asked(used)).map(|(model, used)| {
            let since = used.waiting.values().min().copied().unwrap_or(now);
            let demand = Demand {
                running: used.mean_running,
                waiting: used.waiting.len() as u32,
                oldest: now.saturating_sub(since).as_millis() as u32,
            };
            (model.clone(), demand)
        });
        demand.collect()
    }

    /// When each model was last asked for.
    pub fn last_used(&self) -> BTreeMap<ModelName, Duration> {
        let models = lock(&self.models);
        models.iter().map(|(model, used)| (model.clone(), used.last_used)).collect()
    }

    /// A request came; it earns a part of a retry.
    pub fn deposit_retry(&self) {
        lock(&self.budget).deposit();
    }

    /// Takes a retry; false when all are used up.
    pub fn withdraw_retry(&self, now: Duration) -> bool {
        lock(&self.budget).withdraw(now)
    }
}
