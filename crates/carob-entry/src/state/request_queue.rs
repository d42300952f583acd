//! Requests that wait for an upstream, the use of models, and the retry budget.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::time::Duration;

use carob_net::lock;
use carobglade::{
    Demand, FairQueue, Fingerprint, ModelName, RequestClass, RetryBudget, RetryBudgetSettings,
    TenantName, Tokens, UpstreamName,
};
use tokio::sync::oneshot;

/// Weight of the current value in the moving mean of running requests.
const MEAN_WEIGHT: f32 = 0.3;

/// Mean of running requests above which a model counts as in demand.
const MIN_ACTIVE_MEAN: f32 = 0.01;

/// Requirements of a queued request on its upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRequirements {
    /// Tenant that sent the request.
    pub tenant: TenantName,
    /// Priority class.
    pub class: RequestClass,
    /// Model that must be loaded.
    pub model: ModelName,
    /// Start of the prompt, for cache affinity.
    pub prefix: String,
    /// Maximum tokens that the request may use.
    pub cost: Tokens,
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Upstreams on which the request failed or that have been silent on it. They are tried again only if no other upstream has
    /// the model.
    pub tried: BTreeSet<UpstreamName>,
}

/// A queued request and the channel for its permit.
#[derive(Debug)]
pub struct Ticket<P> {
    /// Requirements on the upstream.
    pub requirements: UpstreamRequirements,
    /// Sends the permit to the waiting request.
    pub permit_sender: oneshot::Sender<P>,
}

/// Use of one model by this process.
#[derive(Debug, Default)]
struct ModelUsage {
    /// Running requests.
    running: u32,
    /// Times at which the waiting requests were queued, by ticket number.
    waiting: BTreeMap<u64, Duration>,
    /// Moving mean of `running`.
    mean_running: f32,
    /// Time of the last request.
    last_used: Duration,
}

/// Requests that wait for an upstream, the use of models, and the retry budget.
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
            budget: Mutex::new(RetryBudget::new(RetryBudgetSettings::default())),
        }
    }
}

impl<P> RequestQueue<P> {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        lock(&self.queue).len()
    }

    /// Runs `work` on the locked queue; the use of models may be accessed meanwhile.
    pub fn with_queue<T>(&self, work: impl FnOnce(&mut FairQueue<Ticket<P>>) -> T) -> T {
        work(&mut lock(&self.queue))
    }

    /// Records that a request waits for a model.
    pub fn record_waiting(&self, model: &ModelName, ticket: u64, now: Duration) {
        let mut models = lock(&self.models);
        let usage = models.entry(model.clone()).or_default();
        usage.last_used = now;
        usage.waiting.insert(ticket, now);
    }

    /// Records that a request stopped waiting.
    pub fn remove_waiting(&self, model: &ModelName, ticket: u64) {
        if let Some(usage) = lock(&self.models).get_mut(model) {
            usage.waiting.remove(&ticket);
        }
    }

    /// Records that a request for a model started.
    pub fn record_start(&self, model: &ModelName) {
        lock(&self.models).entry(model.clone()).or_default().running += 1;
    }

    /// Records that a request for a model ended.
    pub fn record_end(&self, model: &ModelName, now: Duration) {
        let mut models = lock(&self.models);
        let usage = models.entry(model.clone()).or_default();
        usage.running = usage.running.saturating_sub(1);
        usage.last_used = now;
    }

    /// Updates the moving means; called for each heartbeat.
    pub fn update_mean_running(&self) {
        for usage in lock(&self.models).values_mut() {
            usage.mean_running += (usage.running as f32 - usage.mean_running) * MEAN_WEIGHT;
        }
    }

    /// Returns the demand of this process for each model that is in demand.
    pub fn demand(&self, now: Duration) -> BTreeMap<ModelName, Demand> {
        let models = lock(&self.models);
        let in_demand =
            |usage: &ModelUsage| usage.mean_running > MIN_ACTIVE_MEAN || !usage.waiting.is_empty();
        let demand = models.iter().filter(|(_, usage)| in_demand(usage)).map(|(model, usage)| {
            let since = usage.waiting.values().min().copied().unwrap_or(now);
            let demand = Demand {
                running: usage.mean_running,
                waiting: usage.waiting.len() as u32,
                oldest_ms: now.saturating_sub(since).as_millis() as u32,
            };
            (model.clone(), demand)
        });
        demand.collect()
    }

    /// Returns the time of the last request for each model.
    pub fn last_used(&self) -> BTreeMap<ModelName, Duration> {
        let models = lock(&self.models);
        models.iter().map(|(model, usage)| (model.clone(), usage.last_used)).collect()
    }

    /// Adds the share of one request to the retry budget.
    pub fn deposit_retry(&self) {
        lock(&self.budget).deposit();
    }

    /// Takes a retry from the budget; returns false if the budget is used up.
    pub fn withdraw_retry(&self, now: Duration) -> bool {
        lock(&self.budget).withdraw(now)
    }
}
