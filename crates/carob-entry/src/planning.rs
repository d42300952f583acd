//! Plans placement: the process that owns the planner duty appends intents to load and evict
//! models.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use carobglade::{
    OrderIntent, OrderKind, PlacementSettings, PlanInput, Record, UpstreamName, Verdict,
    plan_placement,
};

use crate::shared_state::SharedState;
use crate::state::LogStream;

/// Duty of planning placement.
pub const PLANNER_DUTY: &str = "planner";

const PLAN_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for reading an appended intent back from the log.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(3);
const VERDICT_POLL: Duration = Duration::from_millis(100);

/// Plans placement until the process ends. Only the owner of the planner duty appends intents.
pub async fn run(shared: Arc<SharedState>) {
    let store = &shared.settings.store;
    let settings = PlacementSettings {
        max_loads: store.model_loads,
        max_adapter_loads: store.adapter_loads,
        ..PlacementSettings::default()
    };
    loop {
        let _ = tokio::time::timeout(PLAN_INTERVAL, shared.replan.notified()).await;
        let mut pending = Vec::new();
        for intent in plan_intents(&shared, &settings) {
            let id = shared.control_batcher.add_separate(Record::OrderIntent(intent.clone()));
            pending.push((intent, id));
        }
        for (intent, id) in pending {
            if let Ok(id) = id.await {
                wait_for_verdict(&shared, &intent, &id).await;
            }
        }
    }
}

fn plan_intents(shared: &SharedState, settings: &PlacementSettings) -> Vec<OrderIntent> {
    let now = shared.now();
    let unread = shared.log_state.confirmed_at(LogStream::Control).is_none();
    if unread || !shared.fleet.owns_duty(PLANNER_DUTY, &shared.me, now) {
        return Vec::new();
    }
    let mut demand = shared.fleet.model_demand(now);
    for (model, own) in shared.request_queue.demand(now) {
        demand.entry(model).or_default().add(&own);
    }
    let log_time = shared.log_state.to_log_time(now);
    let used = shared.request_queue.last_used().into_iter().map(|(model, at)| {
        let ago = now.saturating_sub(at).as_millis() as u64;
        (model, log_time.saturating_sub(ago))
    });
    let used = used.collect();
    let reachable = reachable_engines(shared, now);
    shared.log_state.with_control(|state| {
        let input = PlanInput {
            config: state.config(),
            ledger: state.ledger(),
            demand: &demand,
            last_used: &used,
            reachable: &|name: &UpstreamName| reachable.contains(name),
            now_ms: log_time,
        };
        plan_placement(&input, settings)
    })
}

/// Returns the engines that accept new requests and respond.
fn reachable_engines(shared: &SharedState, now: Duration) -> BTreeSet<UpstreamName> {
    let config = shared.log_state.config();
    let engines = config.engines().map(|upstream| &upstream.name);
    let accepting =
        engines.filter(|name| shared.upstreams.accepts_new_requests(&shared.log_state, name));
    let responding =
        accepting.filter(|name| shared.upstreams.is_reachable(&shared.fleet, name, now));
    responding.cloned().collect()
}

/// Waits for the verdict on an intent, so that the next plan takes it into account.
async fn wait_for_verdict(shared: &SharedState, intent: &OrderIntent, id: &str) {
    let until = shared.now() + VERDICT_TIMEOUT;
    while shared.now() < until {
        let applied = shared.entry_applied.notified();
        let verdict = shared.log_state.with_control(|state| state.verdict(id).cloned());
        match verdict {
            Some(Verdict::Accepted(offset)) => {
                let kind = if intent.kind == OrderKind::Load { "load" } else { "evict" };
                log::info!(
                    "orders: intent {offset} accepted: {kind} {} on {}",
                    intent.model,
                    intent.upstream
                );
                return;
            }
            Some(Verdict::Rejected(reason)) => {
                log::info!("orders: intent for model {} rejected: {reason}", intent.model);
                return;
            }
            None => {
                let _ = tokio::time::timeout(VERDICT_POLL, applied).await;
            }
        }
    }
}
