//! Plans which models and adapters engines hold, and sends the orders, one at a time to each
//! engine.

mod adapters;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use carob_platform::{
    EngineOrder, REPORT_PATH, UpstreamHeaders, decode_order_status, decode_report, encode_order,
    order_path,
};
use carobglade::{
    AttemptOutcome, Engine, EngineState, GossipSource, ModelName, ModelOrder, OrderOutcome,
    OrderTarget, OrderTracker, PlacementUpdate, ReplicaPlanner, ReplicaPlannerSettings,
    UpstreamEntry, UpstreamName, name_hash,
};
use http::{HeaderValue, Method, Uri};

use self::adapters::plan_adapters;
use crate::edge::Edge;
use crate::outgoing_request::OutgoingRequest;
use crate::paths;
use crate::rooms;
use crate::turns;

/// Maximum time between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit for the response to an order or a request for a report.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(700);
const MAX_REPORT_BYTES: usize = 1 << 20;
/// Time from the announcement of an eviction to its order, so that vms stop routing requests there.
const EVICTION_NOTICE: Duration = Duration::from_millis(150);
/// Maximum age of an engine's report.
const MAX_REPORT_AGE: Duration = Duration::from_millis(400);
/// Time in which all upstreams write to a new list.
const FIRST_LISTING_TIME: Duration = Duration::from_millis(3500);
/// Time in which upstreams that were lost from the list write to it again.
const RELISTING_TIME: Duration = Duration::from_secs(1);

#[derive(Default)]
struct PlannerState {
    order_trackers: BTreeMap<UpstreamName, OrderTracker>,
    replica_planners: BTreeMap<String, ReplicaPlanner>,
    /// Time when the registry first held an upstream.
    first_seen: Option<Duration>,
}

type SharedPlanner = Rc<RefCell<PlannerState>>;

/// Returns the number of the duty that covers a service.
fn duty_of(edge: &Edge, service: &str) -> u32 {
    name_hash(service) % edge.settings.store.parts
}

/// Reports whether this process holds the duty of a service that has engines.
pub fn holds_engine_duty(edge: &Edge) -> bool {
    let config = edge.config();
    let mut engines = config.iter().flat_map(|config| config.engines());
    let duties = edge.duty_leases.borrow();
    engines.any(|(service, _)| duties.holds(duty_of(edge, service), edge.now()))
}

/// Plans and sends orders until the task is dropped.
pub async fn run_planner(edge: Rc<Edge>) {
    let planner = SharedPlanner::default();
    loop {
        let wait = tokio::time::timeout(PLAN_INTERVAL, edge.planner_wakeup.notified());
        if wait.await.is_ok() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        plan_services(&edge, &planner);
    }
}

fn plan_services(edge: &Rc<Edge>, planner: &SharedPlanner) {
    let Some(config) = edge.config() else {
        return;
    };
    if !is_registry_complete(edge, planner) {
        return;
    }
    let load_share = 1.0 / config.engines().count().max(1) as f64;
    for (service, engine) in config.engines() {
        let number = duty_of(edge, service);
        if !edge.duty_leases.borrow().holds(number, edge.now()) {
            planner.borrow_mut().replica_planners.remove(service);
            continue;
        }
        // Reports are requested before orders are allowed, so that the first order is sent at once.
        let upstreams = engine_states(edge, planner, service);
        request_missing_reports(edge, planner, &upstreams);
        let Some(token) = edge.duty_leases.borrow().fencing_token(number, edge.now()) else {
            continue;
        };
        let duty = HeldDuty { number, token, service: service.clone(), load_share };
        plan_models(edge, planner, &duty, engine, &upstreams);
        plan_adapters(edge, planner, &duty, engine, &upstreams);
    }
}

/// Reports whether every upstream had time to write to the list since the first one appeared. The
/// time is longer when the whole system starts than when only this process does.
fn is_registry_complete(edge: &Edge, planner: &SharedPlanner) -> bool {
    if edge.view.borrow().upstreams.entries().next().is_none() {
        return false;
    }
    let now = edge.now();
    let first_seen = *planner.borrow_mut().first_seen.get_or_insert(now);
    let needed = if edge.settings.first { FIRST_LISTING_TIME } else { RELISTING_TIME };
    now.saturating_sub(first_seen) >= needed
}

/// The duty of a service, held by this process.
#[derive(Clone)]
struct HeldDuty {
    number: u32,
    token: u64,
    service: String,
    /// Share of the load rate of the weight store, which all services use.
    load_share: f64,
}

/// Returns the usable engines of a service with the models that they hold according to their order
/// trackers.
fn engine_states(edge: &Edge, planner: &SharedPlanner, service: &str) -> Vec<UpstreamEntry> {
    let now = edge.now();
    let view = edge.view.borrow();
    let mut planner_state = planner.borrow_mut();
    planner_state.order_trackers.retain(|name, _| view.upstreams.entry(name).is_some());
    let known = view.upstreams.accepting(service).map(|entry| {
        let tracker = planner_state.order_trackers.entry(entry.name.clone()).or_default();
        tracker.apply_entry(entry, now);
        tracker.expected_state(entry)
    });
    known.collect()
}

/// Requests the reports of the engines whose order sequence is not known.
fn request_missing_reports(edge: &Rc<Edge>, planner: &SharedPlanner, upstreams: &[UpstreamEntry]) {
    let now = edge.now();
    for upstream in upstreams {
        let report_missing = with_order_tracker(planner, &upstream.name, |tracker| {
            let report_missing = tracker.sequence().is_none() && !tracker.is_busy(now);
            if report_missing {
                tracker.record_exchange_start(None);
            }
            report_missing
        });
        if report_missing {
            let (edge, planner, upstream) = (Rc::clone(edge), Rc::clone(planner), upstream.clone());
            tokio::task::spawn_local(async move {
                fetch_report(&edge, &planner, &upstream).await;
                with_order_tracker(&planner, &upstream.name, OrderTracker::record_exchange_end);
                edge.planner_wakeup.notify_one();
            });
        }
    }
}

fn plan_models(
    edge: &Rc<Edge>,
    planner: &SharedPlanner,
    duty: &HeldDuty,
    engine: &Engine,
    upstreams: &[UpstreamEntry],
) {
    let now = edge.now();
    let mut planner_state = planner.borrow_mut();
    let states: Vec<EngineState> = upstreams
        .iter()
        .map(|upstream| engine_state(edge, &planner_state.order_trackers[&upstream.name], upstream))
        .collect();
    let demand = edge.demand.borrow();
    let rate = |model: &ModelName| (model.clone(), demand.total_rate(&duty.service, model, now));
    let rates: BTreeMap<ModelName, f64> = engine.models.keys().map(rate).collect();
    let replica_planner = planner_state.replica_planners.entry(duty.service.clone());
    let replica_planner =
        replica_planner.or_insert_with(|| ReplicaPlanner::new(replica_settings(duty.load_share)));
    let orders = replica_planner.plan(engine, &states, &rates, now);
    for order in orders {
        let Some(upstream) = upstreams.iter().find(|entry| entry.name == order.upstream) else {
            continue;
        };
        let tracker = planner_state.order_trackers.entry(upstream.name.clone()).or_default();
        tracker.record_exchange_start(order.load.then(|| order.model.clone()));
        let copied = upstream.cached_models.contains(&order.model);
        log::info!(target: "orders", upstream:% = order.upstream, model:% = order.model, load = order.load, copied = copied, demand = rates.get(&order.model).copied().unwrap_or(0.0), token = duty.token; "Model order planned.");
        let (edge, planner, duty) = (Rc::clone(edge), Rc::clone(planner), duty.clone());
        let upstream = upstream.clone();
        tokio::task::spawn_local(async move {
            execute_model_order(&edge, &planner, &duty, &upstream, order).await
        });
    }
}

fn replica_settings(load_share: f64) -> ReplicaPlannerSettings {
    let defaults = ReplicaPlannerSettings::default();
    ReplicaPlannerSettings { store_share: defaults.store_share * load_share, ..defaults }
}

fn engine_state(edge: &Edge, tracker: &OrderTracker, entry: &UpstreamEntry) -> EngineState {
    let now = edge.now();
    let held = entry.models.iter().map(|held| (held.name.clone(), held.adapters.len()));
    let models: BTreeMap<ModelName, usize> = held.collect();
    EngineState {
        name: entry.name.clone(),
        models,
        cached_models: entry.cached_models.clone(),
        busy: tracker.is_busy(now),
    }
}

/// Announces to all vms whether requests for a model or an adapter may be routed to an engine.
fn announce_placement(
    edge: &Edge,
    upstream: &UpstreamEntry,
    target: &OrderTarget,
    available: bool,
    sequence: u64,
) {
    let (model, adapter) = (target.model.clone(), target.adapter.clone());
    let update =
        PlacementUpdate { upstream: upstream.name.clone(), model, adapter, available, sequence };
    edge.placement.borrow_mut().apply_update(update, GossipSource::Local, edge.now());
    edge.gossip_wakeup.notify_one();
}

async fn execute_model_order(
    edge: &Rc<Edge>,
    planner: &SharedPlanner,
    duty: &HeldDuty,
    upstream: &UpstreamEntry,
    order: ModelOrder,
) {
    let target = OrderTarget { model: order.model.clone(), adapter: None, load: order.load };
    // Computed before the order is sent: the sequence is forgotten when a response is lost, and
    // updates with a lower sequence are ignored.
    let sequence = known_sequence(planner, &upstream.name) + 1;
    if !order.load {
        announce_placement(edge, upstream, &target, false, sequence);
        tokio::time::sleep(EVICTION_NOTICE).await;
    }
    let end = send_order(edge, planner, duty, upstream, &target).await;
    // Requests may be routed to the engine after a fulfilled load or an unfulfilled eviction.
    if end.is_fulfilled() == order.load {
        let after = known_sequence(planner, &upstream.name) + 1;
        announce_placement(edge, upstream, &target, true, after.max(sequence));
    }
    with_order_tracker(planner, &upstream.name, OrderTracker::record_exchange_end);
}

fn with_order_tracker<T>(
    planner: &SharedPlanner,
    name: &UpstreamName,
    act: impl FnOnce(&mut OrderTracker) -> T,
) -> T {
    act(planner.borrow_mut().order_trackers.entry(name.clone()).or_default())
}

fn known_sequence(planner: &SharedPlanner, name: &UpstreamName) -> u64 {
    with_order_tracker(planner, name, |tracker| tracker.sequence().unwrap_or(0))
}

/// Sends an order if the duty is still held with the same fencing token and the order sequence of
/// the engine is known; returns `Refused` otherwise. The engine refuses the order if its sequence
/// differs.
async fn send_order(
    edge: &Rc<Edge>,
    planner: &SharedPlanner,
    duty: &HeldDuty,
    upstream: &UpstreamEntry,
    target: &OrderTarget,
) -> OrderOutcome {
    let held = edge.duty_leases.borrow().fencing_token(duty.number, edge.now());
    let Some(expect) = with_order_tracker(planner, &upstream.name, |tracker| tracker.sequence())
    else {
        return OrderOutcome::Refused;
    };
    if held != Some(duty.token) {
        return OrderOutcome::Refused;
    }
    let order = EngineOrder {
        target: target.clone(),
        expected_sequence: expect,
        holder: edge.vm.to_string(),
        fencing_token: duty.token,
    };
    let _in_flight = edge.orders_in_flight.increment();
    let sent = tokio::time::timeout(ORDER_TIMEOUT, post_order(edge, upstream, &order)).await;
    let end = match sent {
        Ok(Ok(status)) => decode_order_status(status),
        Ok(Err(AttemptOutcome::Unsent)) => OrderOutcome::Refused,
        Ok(Err(_)) | Err(_) => OrderOutcome::Unknown,
    };
    if !matches!(sent, Ok(Ok(_))) {
        paths::check(edge, &upstream.name);
    }
    edge.metrics.record_order(if target.load { "load" } else { "unload" });
    log::info!(target: "orders", upstream:% = upstream.name, model:% = target.model, adapter = target.adapter.as_deref().unwrap_or(""), load = target.load, expect = expect, token = duty.token, end:? = end; "Order sent to an engine.");
    with_order_tracker(planner, &upstream.name, |tracker| {
        tracker.record_outcome(target, expect, end, edge.now())
    });
    if end == OrderOutcome::Fenced {
        edge.duty_leases.borrow_mut().record_fenced(duty.number, edge.now());
    }
    end
}

async fn post_order(
    edge: &Rc<Edge>,
    upstream: &UpstreamEntry,
    order: &EngineOrder,
) -> Result<u16, AttemptOutcome> {
    let mut headers = UpstreamHeaders::expect_instance(upstream.name.as_str());
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    let request = OutgoingRequest {
        method: Method::POST,
        target: Uri::from_static(order_path()),
        headers,
        body: encode_order(order).into(),
    };
    turns::count_request(edge, &upstream.name);
    let mut response = edge.pool.send_alone(&upstream.name, upstream.address, request).await?;
    turns::read_limit(edge, upstream, &response.headers);
    rooms::record_unticketed(edge, upstream, response.status, &response.headers);
    response.read_to_end(MAX_REPORT_BYTES, &edge.response_budget).await?;
    Ok(response.status)
}

/// Fetches the report of an engine and stores it in the order tracker.
async fn fetch_report(edge: &Rc<Edge>, planner: &SharedPlanner, upstream: &UpstreamEntry) {
    // After this wait a report includes every order up to now, even if it has the maximum age.
    tokio::time::sleep(MAX_REPORT_AGE).await;
    let request = OutgoingRequest {
        method: Method::GET,
        target: Uri::from_static(REPORT_PATH),
        headers: UpstreamHeaders::expect_instance(upstream.name.as_str()),
        body: bytes::Bytes::new(),
    };
    let read = async {
        turns::count_request(edge, &upstream.name);
        let mut response = edge.pool.send_alone(&upstream.name, upstream.address, request).await?;
        turns::read_limit(edge, upstream, &response.headers);
        rooms::record_unticketed(edge, upstream, response.status, &response.headers);
        let body = response.read_to_end(MAX_REPORT_BYTES, &edge.response_budget).await?;
        Ok::<_, AttemptOutcome>((response.status, body))
    };
    let Ok(Ok((200, body))) = tokio::time::timeout(ORDER_TIMEOUT, read).await else {
        paths::check(edge, &upstream.name);
        return;
    };
    match decode_report(&body) {
        Ok(report) => {
            log::info!(target: "orders", upstream:% = upstream.name, sequence = report.sequence, busy = report.busy; "Engine report received.");
            with_order_tracker(planner, &upstream.name, |tracker| {
                tracker.apply_report(report, edge.now())
            });
        }
        Err(err) => {
            log::warn!(target: "orders", upstream:% = upstream.name, error:% = err; "Engine report cannot be decoded.");
        }
    }
}
