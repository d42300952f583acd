//! Handles the requests of operators and the load balancer: health, metrics, status and drain.

use std::collections::BTreeMap;
use std::sync::Arc;

use carob_net::{Reply, Request};
use carobglade::{ControlState, Heartbeat, ModelPhase, SLOTS, ServingStatus};
use serde_json::{Value, json};

use crate::shared_state::SharedState;

/// Handles a request on the admin address.
pub async fn handle(shared: Arc<SharedState>, request: Request) -> Reply {
    match (request.method().as_str(), request.path()) {
        ("GET", "/healthz") => Reply::text(200, "ok"),
        ("GET", "/readyz") => readiness(&shared),
        ("GET", "/metrics") => Reply::new(200, "text/plain; version=0.0.4", shared.metrics.text()),
        ("GET", "/status") => Reply::json(200, &status(&shared)),
        ("POST", "/drain") => {
            shared.stop_requested.notify_one();
            Reply::text(202, "draining")
        }
        _ => Reply::text(404, "no such path"),
    }
}

fn readiness(shared: &SharedState) -> Reply {
    let now = shared.now();
    match (shared.lifecycle.is_stopping(), shared.serving_status(now)) {
        (true, _) => Reply::text(503, "draining"),
        (false, ServingStatus::Isolated) => Reply::text(503, "isolated"),
        (false, _) if !shared.is_discovery_done(now) => Reply::text(503, "starting"),
        (false, _) => Reply::text(200, "ready"),
    }
}

fn status(shared: &SharedState) -> Value {
    let now = shared.now();
    let own = shared.heartbeat(0, now);
    let serving_status = format!("{:?}", shared.serving_status(now)).to_lowercase();
    let tokens = shared.quota.levels(now);
    let claims = shared.log_state.with_claims(carobglade::ClaimState::len);
    let live = shared.fleet.live_heartbeats(now);
    shared.log_state.with_control(|state| json!({
        "vm": shared.me.to_string(), "version": state.version(), "standing": serving_status,
        "log_age_ms": own.log_age_ms, "running": own.running, "waiting": shared.request_queue.len(),
        "draining": own.draining, "claims": claims,
        "suspects": state.suspects().len(),
        "slots": { "held": state.slots().held_count(), "of": SLOTS, "own": own.slots },
        "tokens": tokens, "members": members(state, &live, &own), "upstreams": upstreams(state),
    }))
}

fn members(state: &ControlState, live: &[Heartbeat], own: &Heartbeat) -> Vec<Value> {
    let members = state.members().values().map(|member| {
        let last = live.iter().chain([own]).find(|heartbeat| heartbeat.vm == member.vm);
        json!({
            "vm": member.vm.vm, "incarnation": member.vm.incarnation,
            "data_centre": member.data_centre, "alive": last.is_some(),
            "admin": member.admin, "peer": member.peer,
            "version": last.map(|heartbeat| heartbeat.version),
            "draining": last.map(|heartbeat| heartbeat.draining),
            "running": last.map(|heartbeat| heartbeat.running),
            "slots": state.slots().held_by(&member.vm).count(),
        })
    });
    members.collect()
}

fn upstreams(state: &ControlState) -> BTreeMap<String, Value> {
    let accounts = state.ledger().accounts().map(|(name, account)| {
        let charges = account.charges.iter();
        let models: Vec<Value> = charges
            .map(|(model, charge)| json!({ "model": model, "phase": phase(charge.phase) }))
            .collect();
        let value = json!({
            "memory": account.capacity, "charged": account.charged_memory(),
            "incarnation": account.incarnation, "models": models,
        });
        (name.to_string(), value)
    });
    accounts.collect()
}

fn phase(phase: ModelPhase) -> &'static str {
    match phase {
        ModelPhase::Loading => "loading",
        ModelPhase::Loaded => "loaded",
        ModelPhase::Evicting => "evicting",
        ModelPhase::MayReload => "ghost",
        ModelPhase::Purging => "purging",
    }
}
