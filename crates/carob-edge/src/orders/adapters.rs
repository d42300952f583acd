//! Orders for adapters, which are loaded when a request waits for one.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use carobglade::{
    AdapterId, Engine, ModelName, OrderOutcome, OrderTarget, OrderTracker, SoftwareVersion,
    UpstreamEntry,
};

use super::{
    HeldDuty, SharedPlanner, announce_placement, known_sequence, send_order, with_order_tracker,
};
use crate::edge::Edge;

/// Time from an accepted order until the adapter can be used.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(25);

/// Loads the adapters that requests wait for, one at a time on each engine.
pub(super) fn plan_adapters(
    edge: &Rc<Edge>,
    planner: &SharedPlanner,
    duty: &HeldDuty,
    engine: &Engine,
    upstreams: &[UpstreamEntry],
) {
    let now = edge.now();
    let wanted = edge.placement.borrow_mut().requested_adapters(now);
    for name in wanted.into_iter().filter(|name| name.service == duty.service) {
        let hosts: Vec<&UpstreamEntry> = {
            let placement = edge.placement.borrow();
            upstreams
                .iter()
                .filter(|entry| placement.can_serve(entry, &name.model, None, now))
                .collect()
        };
        let hosts = hosts_without(edge, &name, hosts);
        if hosts.is_empty() {
            edge.placement.borrow_mut().clear_request(&name);
            continue;
        }
        let Some((upstream, victim)) = choose_adapter_host(edge, planner, engine, &hosts) else {
            continue;
        };
        with_order_tracker(planner, &upstream.name, |tracker| tracker.record_exchange_start(None));
        edge.placement.borrow_mut().clear_request(&name);
        let (edge, planner, duty) = (Rc::clone(edge), Rc::clone(planner), duty.clone());
        tokio::task::spawn_local(async move {
            execute_adapter_order(&edge, &planner, &duty, &upstream, name, victim).await;
        });
    }
}

/// Returns the engines of which one is to load an adapter: those of a version at which streams wait for
/// it and no engine has it, or all if none has it.
fn hosts_without<'a>(
    edge: &Edge,
    name: &AdapterId,
    mut hosts: Vec<&'a UpstreamEntry>,
) -> Vec<&'a UpstreamEntry> {
    let now = edge.now();
    let placement = edge.placement.borrow();
    let has_it =
        |entry: &&UpstreamEntry| placement.can_serve(entry, &name.model, Some(&name.adapter), now);
    let holding: BTreeSet<&SoftwareVersion> =
        hosts.iter().filter(|entry| has_it(entry)).map(|entry| &entry.version).collect();
    let demand = edge.demand.borrow();
    let awaited = hosts
        .iter()
        .map(|entry| &entry.version)
        .find(|version| !holding.contains(version) && demand.awaits_adapter(name, version, now));
    match awaited.cloned() {
        Some(version) => hosts.retain(|entry| entry.version == version),
        None if !holding.is_empty() => hosts.clear(),
        None => {}
    }
    hosts
}

fn loaded_adapters(entry: &UpstreamEntry) -> Vec<(ModelName, String)> {
    let held = entry
        .models
        .iter()
        .flat_map(|held| held.adapters.iter().map(|adapter| (held.name.clone(), adapter.clone())));
    held.collect()
}

/// Returns the idle engine for an adapter, and the adapter to evict there when the engine is full.
/// Engines with room come first, then those whose evicted adapter was used least recently; of equal
/// engines, the one with the fewest running requests is chosen.
fn choose_adapter_host(
    edge: &Edge,
    planner: &SharedPlanner,
    engine: &Engine,
    hosts: &[&UpstreamEntry],
) -> Option<(UpstreamEntry, Option<(ModelName, String)>)> {
    let now = edge.now();
    let planner_state = planner.borrow();
    let placement = edge.placement.borrow();
    let loads = edge.loads.borrow();
    let idle_hosts = hosts.iter().filter(|entry| {
        planner_state.order_trackers.get(&entry.name).is_none_or(|tracker| !tracker.is_busy(now))
    });
    let options = idle_hosts.map(|entry| {
        let held = loaded_adapters(entry);
        let full = held.len() >= engine.adapter_slots;
        let last_used = |(model, adapter): &(ModelName, String)| {
            placement.last_used(&entry.name, model, adapter)
        };
        let victim = if full { held.into_iter().min_by_key(last_used) } else { None };
        let victim_last_used = victim.as_ref().map(last_used);
        (victim_last_used, loads.total_load(&entry.name, now).running, *entry, victim)
    });
    let best = options.min_by(|(a, n, _, _), (b, m, _, _)| a.cmp(b).then(n.cmp(m)));
    best.map(|(_, _, entry, victim)| (entry.clone(), victim))
}

async fn execute_adapter_order(
    edge: &Rc<Edge>,
    planner: &SharedPlanner,
    duty: &HeldDuty,
    upstream: &UpstreamEntry,
    name: AdapterId,
    victim: Option<(ModelName, String)>,
) {
    let mut has_room = true;
    if let Some((model, adapter)) = victim {
        let target = OrderTarget { model, adapter: Some(adapter), load: false };
        has_room = send_adapter_order(edge, planner, duty, upstream, target).await;
    }
    if has_room {
        let adapter = Some(name.adapter.clone());
        let target = OrderTarget { model: name.model.clone(), adapter, load: true };
        send_adapter_order(edge, planner, duty, upstream, target).await;
    }
    with_order_tracker(planner, &upstream.name, OrderTracker::record_exchange_end);
    edge.planner_wakeup.notify_one();
}

async fn send_adapter_order(
    edge: &Rc<Edge>,
    planner: &SharedPlanner,
    duty: &HeldDuty,
    upstream: &UpstreamEntry,
    target: OrderTarget,
) -> bool {
    let end = send_order(edge, planner, duty, upstream, &target).await;
    if !end.is_fulfilled() {
        return false;
    }
    if end == OrderOutcome::Accepted {
        tokio::time::sleep(ADAPTER_LOAD_TIME).await;
    }
    announce_placement(
        edge,
        upstream,
        &target,
        target.load,
        known_sequence(planner, &upstream.name),
    );
    edge.capacity_changed.notify_waiters();
    true
}
