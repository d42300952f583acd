//! Polls upstreams, sends orders to them and records their ends.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use carob_net::HttpClient;
use carobglade::{
    Config, HashRing, Incarnation, Intent, IntentKind, MemoryAccount, MemoryCharge, ModelName,
    ModelPhase, ORDER_LIFETIME_MS, Offset, Record, Resolve, Restarted, Upstream, UpstreamName,
    is_large_fleet,
};
use serde::{Deserialize, Serialize};

use crate::core::Core;
use crate::parts::{PollEnd, Stream};

const TICK: Duration = Duration::from_millis(100);
const POLL_IDLE: Duration = Duration::from_millis(500); // polls without orders under way
const POLL_IDLE_EACH: Duration = Duration::from_millis(5); // more, for each vm of a large fleet
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
const RESEND: Duration = Duration::from_secs(2); // of an order that was not reported as done

/// What an upstream reports of itself.
#[derive(Clone, Debug, Deserialize)]
struct Report {
    incarnation: Incarnation,
    done: Vec<Offset>,
    resident: BTreeSet<ModelName>,
    leaving: bool,
}

#[derive(Serialize)]
struct OrderWire<'a> {
    order: Offset,
    incarnation: Incarnation,
    kind: &'a str,
    model: &'a ModelName,
    size: u64,
    adapter: bool,
}

/// Directs the upstreams that this process is in charge of until it ends.
pub async fn direct(core: Arc<Core>) {
    let caller = HttpClient::pooled();
    let mut polled: BTreeMap<UpstreamName, Duration> = BTreeMap::new();
    let mut sent: BTreeMap<Offset, Duration> = BTreeMap::new();
    let mut duties = Duties::default();
    loop {
        tokio::time::sleep(TICK).await;
        let now = core.now();
        sent.retain(|_, at| now.saturating_sub(*at) < RESEND);
        for (upstream, account) in due(&core, &mut duties, &polled, now) {
            polled.insert(upstream.name.clone(), now);
            let log_time = core.streams.log_time(now);
            let orders = unsent(&account, &mut sent, log_time, now);
            let incarnation = account.incarnation;
            let (core, caller) = (Arc::clone(&core), caller.clone());
            tokio::spawn(async move {
                for order in orders {
                    send_order(&core, &caller, &upstream, incarnation, order).await;
                }
                poll(&core, &caller, &upstream).await;
            });
        }
    }
}

/// The upstreams that this process is in charge of, found anew only when the ring or the
/// configuration changes.
#[derive(Default)]
struct Duties {
    ring: Option<Arc<HashRing>>,
    config: Option<Arc<Config>>,
    names: Vec<UpstreamName>,
}

impl Duties {
    fn update(&mut self, core: &Core, now: Duration) {
        let me = &core.me;
        let ring = core.neighbours.ring(me, now);
        let config = core.streams.config();
        let same_ring = self.ring.as_ref().is_some_and(|known| Arc::ptr_eq(known, &ring));
        let same_config = self.config.as_ref().is_some_and(|known| Arc::ptr_eq(known, &config));
        if same_ring && same_config {
            return;
        }
        let mine = |name: &UpstreamName| ring.owner(&format!("upstream:{name}")) == Some(me);
        self.names = config.engines().map(|upstream| upstream.name.clone()).filter(mine).collect();
        core.upstreams.forget_polls(mine);
        (self.ring, self.config) = (Some(ring), Some(config));
    }
}

/// The upstreams to poll now: this process is in charge of them.
fn due(
    core: &Core,
    duties: &mut Duties,
    polled: &BTreeMap<UpstreamName, Duration>,
    now: Duration,
) -> Vec<(Upstream, MemoryAccount)> {
    if core.streams.confirmed(Stream::Control).is_none() {
        return Vec::new();
    }
    duties.update(core, now);
    core.streams.control(|state| {
        let members = state.members().len();
        let more =
            if is_large_fleet(members) { POLL_IDLE_EACH * members as u32 } else { Duration::ZERO };
        let accounts = duties.names.iter().filter_map(|name| {
            let upstream = state.config().upstreams.get(name)?;
            let account = state.ledger().account(name)?;
            let busy = account.charges.values().any(under_way);
            let pause = if busy { TICK } else { POLL_IDLE + more };
            let due = polled.get(name).is_none_or(|at| now.saturating_sub(*at) >= pause);
            due.then(|| (upstream.clone(), account.clone()))
        });
        accounts.collect()
    })
}

fn under_way(charge: &MemoryCharge) -> bool {
    charge.phase.in_progress()
}

/// The orders of `account` to send now. A load for an upstream without fencing is not sent later
/// than half its lifetime after its intent.
fn unsent(
    account: &MemoryAccount,
    sent: &mut BTreeMap<Offset, Duration>,
    log_time: u64,
    now: Duration,
) -> Vec<(ModelName, MemoryCharge)> {
    let in_time = |charge: &MemoryCharge| {
        let late = log_time >= charge.time + ORDER_LIFETIME_MS / 2;
        account.fencing || charge.phase != ModelPhase::Loading || !late
    };
    let mut orders = Vec::new();
    for (model, charge) in account.charges.iter().filter(|(_, c)| under_way(c) && in_time(c)) {
        if let Entry::Vacant(slot) = sent.entry(charge.order) {
            slot.insert(now);
            orders.push((model.clone(), charge.clone()));
        }
    }
    orders
}

async fn send_order(
    core: &Core,
    caller: &HttpClient,
    upstream: &Upstream,
    incarnation: Incarnation,
    (model, charge): (ModelName, MemoryCharge),
) {
    let kind = if charge.phase == ModelPhase::Loading { "load" } else { "evict" };
    let config = core.streams.config();
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
    core.metrics.ordered(kind);
    log::info!("orders: Order {}: {kind} {model} on {}.", charge.order, upstream.name);
    let url = format!("http://{}/control/orders", upstream.address);
    if let Err(err) = caller.post(&url, body.into(), CALL_TIMEOUT).await {
        log::warn!("orders: Order {} to {} failed: {err}.", charge.order, upstream.name);
    }
}

async fn poll(core: &Core, caller: &HttpClient, upstream: &Upstream) {
    let url = format!("http://{}/control/report", upstream.address);
    let answer = caller.get(&url, CALL_TIMEOUT).await;
    let report = answer.ok().filter(|answer| answer.status == 200);
    let report = report.and_then(|answer| serde_json::from_slice::<Report>(&answer.body).ok());
    match report {
        Some(report) => take_report(core, &upstream.name, &report),
        None => core.upstreams.polled(&upstream.name, PollEnd::Missed),
    }
}

/// Records what a report proves: a new incarnation, and the ends of orders that it names.
fn take_report(core: &Core, name: &UpstreamName, report: &Report) {
    let now = core.now();
    core.upstreams.polled(name, if report.leaving { PollEnd::Leaves } else { PollEnd::Stays });
    let Some(account) = core.streams.control(|state| state.ledger().account(name).cloned()) else {
        return;
    };
    if report.incarnation > account.incarnation {
        let restarted = Restarted { upstream: name.clone(), incarnation: report.incarnation };
        core.add_new(Record::Restarted(restarted), now);
        return;
    }
    if report.incarnation < account.incarnation {
        return;
    }
    heal(core, name, &account, report, now);
    for charge in account.charges.values().filter(|charge| under_way(charge)) {
        if report.done.contains(&charge.order) {
            let (upstream, incarnation) = (name.clone(), report.incarnation);
            let resolve = Resolve { upstream, incarnation, order: charge.order };
            core.add_new(Record::Resolve(resolve), now);
        }
    }
}

/// A model that counts as loaded, but is missing from every report for some time, is evicted, so
/// that it can be loaded again.
fn heal(core: &Core, name: &UpstreamName, account: &MemoryAccount, report: &Report, now: Duration) {
    for (model, charge) in &account.charges {
        let missing = charge.phase == ModelPhase::Loaded && !report.resident.contains(model);
        if !core.upstreams.absent(name, model, missing, now) {
            continue;
        }
        log::warn!("orders: Model {model} is missing from {name}.");
        let (upstream, incarnation) = (name.clone(), account.incarnation);
        let (kind, model, size) = (IntentKind::Evict, model.clone(), charge.size);
        let intent = Intent { upstream, incarnation, kind, model, size };
        drop(core.control_log.add_solo(Record::Intent(intent)));
    }
}

/// Reads the platform's list of leaving upstreams until the process ends.
pub async fn watch_list(core: Arc<Core>) {
    let Some(list) = core.settings.list else {
        return;
    };
    let caller = HttpClient::pooled();
    let url = format!("http://{list}/vms");
    loop {
        tokio::time::sleep(POLL_IDLE).await;
        let Ok(answer) = caller.get(&url, CALL_TIMEOUT).await else {
            continue;
        };
        let Ok(states) = serde_json::from_slice::<BTreeMap<String, String>>(&answer.body) else {
            continue;
        };
        let leaving = states.into_iter().filter(|(_, state)| state == "leaving");
        core.upstreams.list(leaving.filter_map(|(name, _)| name.parse().ok()).collect());
    }
}
