//! Configuration items for test fleets.

use std::net::SocketAddr;

use carobglade::{
    ConfigWire, KeyDigest, ModelWire, RouteWire, ServiceWire, TenantWire, UpstreamWire,
};

/// Returns the API key of a tenant in tests.
pub fn api_key(tenant: &str) -> String {
    format!("ck-test-{tenant}")
}

/// Returns an interactive tenant with a rate in tokens per second, a burst in tokens and access to
/// the given models.
pub fn tenant(name: &str, rate: u64, burst: u64, models: &[ModelWire]) -> TenantWire {
    TenantWire {
        name: name.into(),
        class: "interactive".into(),
        keys: vec![KeyDigest::of(&api_key(name)).to_string()],
        rate: format!("{rate}/s"),
        burst,
        models: models.iter().map(|model| model.name.clone()).collect(),
    }
}

/// Returns a base model.
pub fn model(name: &str, size: &str) -> ModelWire {
    ModelWire { name: name.into(), size: size.into(), base: None }
}

/// Returns an adapter of 256 MiB for a base model.
pub fn adapter(name: &str, base: &str) -> ModelWire {
    ModelWire { name: name.into(), size: "256MiB".into(), base: Some(base.into()) }
}

/// Returns an upstream with one accelerator that serves models.
pub fn engine(name: &str, address: SocketAddr, memory: &str, fencing: bool) -> UpstreamWire {
    UpstreamWire {
        name: name.into(),
        address: address.to_string(),
        data_centre: "rennes".into(),
        memory: Some(memory.into()),
        accelerators: 1,
        fencing,
        draining: false,
    }
}

/// Returns the upstreams, the plain service and the routes of the gate application: `/gates/`
/// requires an API key and treats each POST as a call that must not run twice; `/notices/` is open
/// to all.
pub fn gate_service(addresses: &[SocketAddr]) -> (Vec<UpstreamWire>, ServiceWire, Vec<RouteWire>) {
    let upstreams: Vec<UpstreamWire> = addresses
        .iter()
        .enumerate()
        .map(|(i, address)| UpstreamWire {
            name: format!("gate-{i}"),
            address: address.to_string(),
            data_centre: "rennes".into(),
            ..UpstreamWire::default()
        })
        .collect();
    let names = upstreams.iter().map(|upstream| upstream.name.clone()).collect();
    let service = ServiceWire { name: "gates".into(), upstreams: names };
    let route = RouteWire {
        prefix: "/gates/".into(),
        service: "gates".into(),
        methods: vec!["GET".into(), "POST".into()],
        once: vec!["POST".into()],
        key_required: true,
        ..RouteWire::default()
    };
    let public_route = RouteWire {
        prefix: "/notices/".into(),
        service: "gates".into(),
        anonymous: true,
        methods: vec!["GET".into()],
        ..RouteWire::default()
    };
    (upstreams, service, vec![route, public_route])
}

/// Returns a configuration with the given items and the gate service.
pub fn fleet_config(
    tenants: Vec<TenantWire>,
    models: Vec<ModelWire>,
    engines: Vec<UpstreamWire>,
    gate_addresses: &[SocketAddr],
) -> ConfigWire {
    let (gate_upstreams, service, routes) = gate_service(gate_addresses);
    ConfigWire {
        tenants,
        models,
        upstreams: [engines, gate_upstreams].concat(),
        services: vec![service],
        routes,
    }
}
