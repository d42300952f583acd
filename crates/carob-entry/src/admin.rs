//! What operators and the balancer reach: health, metrics, status and drain.

use std::collections::BTreeMap;
use std::sync::Arc;

use carob_net::{Reply, Request};
use carobglade::{ControlState, Heartbeat, ModelPhase, SLOTS, ServingStatus};
use serde_json::{Value, json};

use crate::core::Core;

/// Answers a request on the operators' address.
pub async fn handle(core: Arc<Core>, request: Request) -> Reply {
    match (request.method().as_str(), request.path()) {
        ("GET", "/healthz") => Reply::text(200, "ok"),
        ("GET", "/readyz") => ready(&core),
        ("GET", "/metrics") => Reply::new(200, "text/plain; version=0.0.4", core.metrics.text()),
        ("GET", "/status") => Reply::json(200, &status(&core)),
        ("POST", "/drain") => {
            core.stop.notify_one();
            Reply::text(202, "draining")
        }
        _ => Reply::text(404, "no such path"),
    }
}

fn ready(core: &Core) -> Reply {
    let now = core.now();
    match (core.life.stopping(), core.standing(now)) {
        (true, _) => Reply::text(503, "draining"),
        (false, ServingStatus::Isolated) => Reply::text(503, "isolated"),
        (false, _) if !core.has_heard(now) => Reply::text(503, "starting"),
        (false, _) => Reply::text(200, "ready"),
    }
}

fn status(core: &Core) -> Value {
    let now = core.now();
    let own = core.heartbeat(0, now);
    let standing = format!("{:?}", core.standing(now)).to_lowercase();
    let tokens = core.holdings.levels(now);
    let claims = core.streams.claims(carobglade::ClaimState::len);
    let living = core.neighbours.living(now);
    core.streams.control(|state| json!({
        "vm": core.me.to_string(), "version": state.version(), "standing": standing,
        "log_age_ms": own.log_age, "running": own.running, "waiting": core.waiting.len(),
        "draining": own.draining, "claims": claims,
        "suspects": state.suspects().len(),
        "slots": { "held": state.slots().held_count(), "of": SLOTS, "own": own.slots },
        "tokens": tokens, "members": members(state, &living, &own), "upstreams": upstreams(state),
    }))
}

fn members(state: &ControlState, living: &[Heartbeat], own: &Heartbeat) -> Vec<Value> {
    let members = state.members().values().map(|member| {
        let heard = living.iter().chain([own]).find(|beat| beat.vm == member.vm);
        json!({
            "vm": member.vm.vm, "incarnation": member.vm.incarnation,
            "data_centre": member.data_centre, "alive": heard.is_some(),
            "admin": member.admin, "peer": member.peer,
            "version": heard.map(|beat| beat.version), "draining": heard.map(|b| b.draining),
            "running": heard.map(|b| b.running),
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
