//! Proposes orders: the process in charge of planning appends their intents.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use carobglade::{
    Intent, IntentKind, PlacementSettings, PlanInput, Record, UpstreamName, Verdict, plan,
};

use crate::core::Core;
use crate::parts::Stream;

/// The duty of planning placement.
pub const PLANNER: &str = "planner";

const PLAN_EVERY: Duration = Duration::from_millis(250);
const INTENT_WAIT: Duration = Duration::from_secs(3); // for an intent to come back from the log
const INTENT_POLL: Duration = Duration::from_millis(100);

/// Plans placement until the process ends; only the process in charge proposes orders.
pub async fn place(core: Arc<Core>) {
    let store = &core.settings.store;
    let settings = PlacementSettings {
        max_loads: store.loads,
        max_adapter_loads: store.adapters,
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
    let unread = core.streams.confirmed(Stream::Control).is_none();
    if unread || !core.neighbours.in_charge(PLANNER, &core.me, now) {
        return Vec::new();
    }
    let mut demand = core.neighbours.demand(now);
    for (model, own) in core.waiting.demand(now) {
        demand.entry(model).or_default().add(&own);
    }
    let log_time = core.streams.log_time(now);
    let used = core.waiting.used().into_iter().map(|(model, at)| {
        let ago = now.saturating_sub(at).as_millis() as u64;
        (model, log_time.saturating_sub(ago))
    });
    let used = used.collect();
    let reachable = reachable(core, now);
    core.streams.control(|state| {
        let input = PlanInput {
            config: state.config(),
            ledger: state.ledger(),
            demand: &demand,
            last_used: &used,
            reachable: &|name: &UpstreamName| reachable.contains(name),
            now_ms: log_time,
        };
        plan(&input, settings)
    })
}

/// The engines that take new requests and answer.
fn reachable(core: &Core, now: Duration) -> BTreeSet<UpstreamName> {
    let config = core.streams.config();
    let engines = config.engines().map(|upstream| &upstream.name);
    let taking = engines.filter(|name| core.upstreams.takes_new(&core.streams, name));
    let answering = taking.filter(|name| core.upstreams.reachable(&core.neighbours, name, now));
    answering.cloned().collect()
}

/// Waits for the verdict on an intent, so that the next plan sees it.
async fn settle(core: &Core, intent: &Intent, id: &str) {
    let until = core.now() + INTENT_WAIT;
    while core.now() < until {
        let applied = core.applied.notified();
        let verdict = core.streams.control(|state| state.verdict(id).cloned());
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
