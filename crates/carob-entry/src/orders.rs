//! Polls engines, sends them orders and records the outcomes.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use carob_net::HttpClient;
use carobglade::{
    Config, HashRing, Incarnation, MemoryAccount, MemoryCharge, ModelName, ModelPhase,
    ORDER_TTL_MS, Offset, OrderIntent, OrderKind, OrderResolution, Record, Upstream, UpstreamName,
    UpstreamRestart, is_large_fleet,
};
use serde::{Deserialize, Serialize};

use crate::shared_state::SharedState;
use crate::state::{LogStream, PollResult};

/// Time between polls of an engine with orders in progress.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time between polls of an engine without orders in progress.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Addition to the idle poll interval for each vm of a large fleet.
const IDLE_POLL_INTERVAL_PER_VM: Duration = Duration::from_millis(5);

const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time after which an order that is not reported as done is sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(2);

/// Report of an engine on its state.
#[derive(Clone, Debug, Deserialize)]
struct EngineReport {
    incarnation: Incarnation,
    done: Vec<Offset>,
    resident: BTreeSet<ModelName>,
    leaving: bool,
}

/// Body of an order as it is sent to an engine.
#[derive(Serialize)]
struct OrderWire<'a> {
    order: Offset,
    incarnation: Incarnation,
    kind: &'a str,
    model: &'a ModelName,
    size: u64,
    adapter: bool,
}

/// Polls the engines that this process monitors and sends them orders until the process ends.
pub async fn run(shared: Arc<SharedState>) {
    let client = HttpClient::pooled();
    let mut polled: BTreeMap<UpstreamName, Duration> = BTreeMap::new();
    let mut sent: BTreeMap<Offset, Duration> = BTreeMap::new();
    let mut monitored = MonitoredEngines::default();
    loop {
        tokio::time::sleep(BUSY_POLL_INTERVAL).await;
        let now = shared.now();
        sent.retain(|_, at| now.saturating_sub(*at) < RESEND_INTERVAL);
        for (upstream, account) in engines_due(&shared, &mut monitored, &polled, now) {
            polled.insert(upstream.name.clone(), now);
            let log_time = shared.log_state.to_log_time(now);
            let orders = orders_to_send(&account, &mut sent, log_time, now);
            let incarnation = account.incarnation;
            let (shared, client) = (Arc::clone(&shared), client.clone());
            tokio::spawn(async move {
                for order in orders {
                    send_order(&shared, &client, &upstream, incarnation, order).await;
                }
                poll(&shared, &client, &upstream).await;
            });
        }
    }
}

/// The engines that this process monitors, computed again only when the ring or the configuration
/// changes.
#[derive(Default)]
struct MonitoredEngines {
    ring: Option<Arc<HashRing>>,
    config: Option<Arc<Config>>,
    names: Vec<UpstreamName>,
}

impl MonitoredEngines {
    fn update(&mut self, shared: &SharedState, now: Duration) {
        let me = &shared.me;
        let ring = shared.fleet.ring(me, now);
        let config = shared.log_state.config();
        let same_ring = self.ring.as_ref().is_some_and(|known| Arc::ptr_eq(known, &ring));
        let same_config = self.config.as_ref().is_some_and(|known| Arc::ptr_eq(known, &config));
        if same_ring && same_config {
            return;
        }
        let mine = |name: &UpstreamName| ring.owner(&format!("upstream:{name}")) == Some(me);
        self.names = config.engines().map(|upstream| upstream.name.clone()).filter(mine).collect();
        shared.upstreams.reset_polls_except(mine);
        (self.ring, self.config) = (Some(ring), Some(config));
    }
}

/// Returns the monitored engines to poll now; none before the control stream was read.
fn engines_due(
    shared: &SharedState,
    monitored: &mut MonitoredEngines,
    polled: &BTreeMap<UpstreamName, Duration>,
    now: Duration,
) -> Vec<(Upstream, MemoryAccount)> {
    if shared.log_state.confirmed_at(LogStream::Control).is_none() {
        return Vec::new();
    }
    monitored.update(shared, now);
    shared.log_state.with_control(|state| {
        let members = state.members().len();
        let fleet_addition = if is_large_fleet(members) {
            IDLE_POLL_INTERVAL_PER_VM * members as u32
        } else {
            Duration::ZERO
        };
        let accounts = monitored.names.iter().filter_map(|name| {
            let upstream = state.config().upstreams.get(name)?;
            let account = state.ledger().account(name)?;
            let busy = account.charges.values().any(in_progress);
            let pause = if busy { BUSY_POLL_INTERVAL } else { IDLE_POLL_INTERVAL + fleet_addition };
            let due = polled.get(name).is_none_or(|at| now.saturating_sub(*at) >= pause);
            due.then(|| (upstream.clone(), account.clone()))
        });
        accounts.collect()
    })
}

fn in_progress(charge: &MemoryCharge) -> bool {
    charge.phase.is_in_progress()
}

/// Returns the orders of `account` to send now. An engine without fencing receives a load only
/// within the first half of the lifetime of its intent.
fn orders_to_send(
    account: &MemoryAccount,
    sent: &mut BTreeMap<Offset, Duration>,
    log_time: u64,
    now: Duration,
) -> Vec<(ModelName, MemoryCharge)> {
    let in_time = |charge: &MemoryCharge| {
        let late = log_time >= charge.time_ms + ORDER_TTL_MS / 2;
        account.fencing || charge.phase != ModelPhase::Loading || !late
    };
    let mut orders = Vec::new();
    for (model, charge) in account.charges.iter().filter(|(_, c)| in_progress(c) && in_time(c)) {
        if let Entry::Vacant(slot) = sent.entry(charge.order) {
            slot.insert(now);
            orders.push((model.clone(), charge.clone()));
        }
    }
    orders
}

async fn send_order(
    shared: &SharedState,
    client: &HttpClient,
    upstream: &Upstream,
    incarnation: Incarnation,
    (model, charge): (ModelName, MemoryCharge),
) {
    let kind = if charge.phase == ModelPhase::Loading { "load" } else { "evict" };
    let config = shared.log_state.config();
    let adapter = config.models.get(&model).is_some_and(|model| model.base.is_some());
    let order = OrderWire {
        order: charge.order,
        incarnation,
        kind,
        model: &model,
        size: charge.size.0,
        adapter,
    };
    let Ok(body) = serde_json::to_vec(&order) else {
        return;
    };
    shared.metrics.count_order(kind);
    log::info!("orders: sending order {}: {kind} {model} on {}", charge.order, upstream.name);
    let url = format!("http://{}/control/orders", upstream.address);
    if let Err(err) = client.post(&url, body.into(), CALL_TIMEOUT).await {
        log::warn!("orders: sending order {} to {} failed: {err}", charge.order, upstream.name);
    }
}

async fn poll(shared: &SharedState, client: &HttpClient, upstream: &Upstream) {
    let url = format!("http://{}/control/report", upstream.address);
    let response = client.get(&url, CALL_TIMEOUT).await;
    let report = response.ok().filter(|response| response.status == 200);
    let report =
        report.and_then(|response| serde_json::from_slice::<EngineReport>(&response.body).ok());
    match report {
        Some(report) => apply_report(shared, &upstream.name, &report),
        None => shared.upstreams.record_poll(&upstream.name, PollResult::NoResponse),
    }
}

/// Applies a report: appends records of a restart, of completed orders and of missing models.
fn apply_report(shared: &SharedState, name: &UpstreamName, report: &EngineReport) {
    let now = shared.now();
    shared.upstreams.record_poll(
        name,
        if report.leaving { PollResult::Draining } else { PollResult::Accepting },
    );
    let Some(account) =
        shared.log_state.with_control(|state| state.ledger().account(name).cloned())
    else {
        return;
    };
    if report.incarnation > account.incarnation {
        let restarted = UpstreamRestart { upstream: name.clone(), incarnation: report.incarnation };
        shared.add_deduplicated(Record::UpstreamRestart(restarted), now);
        return;
    }
    if report.incarnation < account.incarnation {
        return;
    }
    evict_missing_models(shared, name, &account, report, now);
    for charge in account.charges.values().filter(|charge| in_progress(charge)) {
        if report.done.contains(&charge.order) {
            let (upstream, incarnation) = (name.clone(), report.incarnation);
            let resolution = OrderResolution { upstream, incarnation, order: charge.order };
            shared.add_deduplicated(Record::OrderResolution(resolution), now);
        }
    }
}

/// Appends an intent to evict each model that counts as loaded but is missing from every report for
/// some time, so that the model can be loaded again.
fn evict_missing_models(
    shared: &SharedState,
    name: &UpstreamName,
    account: &MemoryAccount,
    report: &EngineReport,
    now: Duration,
) {
    for (model, charge) in &account.charges {
        let missing = charge.phase == ModelPhase::Loaded && !report.resident.contains(model);
        if !shared.upstreams.track_missing_model(name, model, missing, now) {
            continue;
        }
        log::warn!("orders: evicting model {model}: missing from the reports of {name}");
        let (upstream, incarnation) = (name.clone(), account.incarnation);
        let (kind, model, size) = (OrderKind::Evict, model.clone(), charge.size);
        let intent = OrderIntent { upstream, incarnation, kind, model, size };
        drop(shared.control_batcher.add_separate(Record::OrderIntent(intent)));
    }
}

/// Reads the leaving upstreams from the platform's list until the process ends.
pub async fn watch_platform_list(shared: Arc<SharedState>) {
    let Some(list) = shared.settings.platform_list else {
        return;
    };
    let client = HttpClient::pooled();
    let url = format!("http://{list}/vms");
    loop {
        tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        let Ok(response) = client.get(&url, CALL_TIMEOUT).await else {
            continue;
        };
        let Ok(states) = serde_json::from_slice::<BTreeMap<String, String>>(&response.body) else {
            continue;
        };
        let leaving = states.into_iter().filter(|(_, state)| state == "leaving");
        shared
            .upstreams
            .set_listed_draining(leaving.filter_map(|(name, _)| name.parse().ok()).collect());
    }
}
