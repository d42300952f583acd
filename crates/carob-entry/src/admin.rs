//! What operators and the balancer reach: health, metrics, status and drain.

use std::collections::BTreeMap;
use std::sync::Arc;

use carob_net::{Reply, Request};
use carobglade::{Phase, SLOTS, Standing};
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
    let inner = core.lock();
    let standing = inner.standing(&core.me, now);
    match (inner.draining || inner.leaving_soon, standing) {
        (true, _) => Reply::text(503, "draining"),
        (false, Standing::Isolated) => Reply::text(503, "isolated"),
        (false, _) if !inner.has_heard(&core.me, now) => Reply::text(503, "starting"),
        (false, _) => Reply::text(200, "ready"),
    }
}

fn status(core: &Core) -> Value {
    let now = core.now();
    let mut inner = core.lock();
    let own = inner.heartbeat(&core.me, now);
    let state = inner.control.state();
    let members = state.members().values().map(|member| {
        let beat = inner.fleet.living(now).find(|beat| beat.vm == member.vm);
        let beat = if member.vm == core.me { Some(&own) } else { beat };
        json!({
            "vm": member.vm.vm, "incarnation": member.vm.incarnation,
            "data_centre": member.data_centre, "alive": beat.is_some(),
            "admin": member.admin, "peer": member.peer,
            "version": beat.map(|beat| beat.version), "draining": beat.map(|b| b.draining),
            "running": beat.map(|b| b.running), "slots": state.slots().held_by(&member.vm).count(),
        })
    });
    let members: Vec<Value> = members.collect();
    let upstreams: BTreeMap<_, _> = state
        .ledger()
        .accounts()
        .map(|(name, account)| {
            let charges: Vec<Value> = account
                .charges
                .iter()
                .map(|(model, charge)| json!({ "model": model, "phase": phase(charge.phase) }))
                .collect();
            let value = json!({
                "memory": account.capacity, "charged": account.charged(),
                "incarnation": account.incarnation, "models": charges,
            });
            (name.to_string(), value)
        })
        .collect();
    let (version, held) = (state.version(), state.slots().held());
    let suspects = state.suspects().len();
    let standing = format!("{:?}", inner.standing(&core.me, now)).to_lowercase();
    let claims = inner.claims.state().len();
    let levels = inner.pool.lender.levels(now);
    json!({
        "vm": core.me.to_string(), "version": version, "standing": standing,
        "log_age_ms": own.log_age, "running": own.running, "waiting": inner.queue.len(),
        "draining": inner.draining, "claims": claims, "suspects": suspects,
        "slots": { "held": held, "of": SLOTS, "own": inner.slots.len() },
        "tokens": levels, "members": members, "upstreams": upstreams,
    })
}

fn phase(phase: Phase) -> &'static str {
    match phase {
        Phase::Loading => "loading",
        Phase::Loaded => "loaded",
        Phase::Evicting => "evicting",
        Phase::Ghost => "ghost",
        Phase::Purging => "purging",
    }
}
