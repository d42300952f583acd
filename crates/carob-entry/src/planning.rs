//! Proposes orders: the process in charge of planning appends their intents.

use std::sync::Arc;
use std::time::Duration;

use carobglade::{
    Intent, IntentKind, PlacementSettings, PlanInput, Record, UpstreamName, Verdict, plan,
};

use crate::core::Core;

/// The duty of planning placement.
pub const PLANNER: &str = "planner";

const PLAN_EVERY: Duration = Duration::from_millis(250);
const INTENT_WAIT: Duration = Duration::from_secs(3); // for an intent to come back from the log
const INTENT_POLL: Duration = Duration::from_millis(100);

/// Plans placement until the process ends; only the process in charge proposes orders.
pub async fn place(core: Arc<Core>) {
    let store = &core.settings.store;
    let settings = PlacementSettings {
        loads: store.loads,
        adapters: store.adapters,
        ..PlacementSettings::default()
    };
    loop {
        let _ = tokio::time::timeout(PLAN_EVERY, core.planning.notified()).await;
        let mut pending = Vec::new();
        for intent in propose(&core, &settings) {
            let id = core.control_log.add_solo(Record::Intent(intent.clone()));
            pending.push((intent, id));
        }
        for (intent, id) in pending {
            if let Ok(id) = id.await {
                settle(&core, &intent, &id).await;
            }
        }
    }
}

fn propose(core: &Core, settings: &PlacementSettings) -> Vec<Intent> {
    let now = core.now();
    let mut inner = core.lock();
    if inner.confirmed.is_none() || !inner.fleet.in_charge(PLANNER, &core.me, now) {
        return Vec::new();
    }
    let state = inner.control.state();
    let mut demand = inner.fleet.demand(now);
    for (model, own) in inner.own_demand(now) {
        demand.entry(model).or_default().add(&own);
    }
    let log_time = inner.log_time(now);
    let used = inner.models.iter().map(|(model, used)| {
        let ago = now.saturating_sub(used.used).as_millis() as u64;
        (model.clone(), log_time.saturating_sub(ago))
    });
    let used = used.collect();
    let reachable = |name: &UpstreamName| inner.takes_new(name) && inner.reachable(name, now);
    let input = PlanInput {
        config: state.config(),
        ledger: state.ledger(),
        demand: &demand,
        used: &used,
        reachable: &reachable,
        time: log_time,
    };
    plan(&input, settings)
}

/// Waits for the verdict on an intent, so that the next plan sees it.
async fn settle(core: &Core, intent: &Intent, id: &str) {
    let until = core.now() + INTENT_WAIT;
    while core.now() < until {
        let applied = core.applied.notified();
        let verdict = core.lock().control.state().verdict(id).cloned();
        match verdict {
            Some(Verdict::Accepted(offset)) => {
                let kind = if intent.kind == IntentKind::Load { "load" } else { "evict" };
                log::info!(
                    "orders: Intent {offset}: {kind} {} on {}.",
                    intent.model,
                    intent.upstream
                );
                return;
            }
            Some(Verdict::Void(reason)) => {
                log::info!("orders: Intent for {} is void: {reason}.", intent.model);
                return;
            }
            None => {
                let _ = tokio::time::timeout(INTENT_POLL, applied).await;
            }
        }
    }
}
