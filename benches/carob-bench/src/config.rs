//! Configurations for fleets.

use std::net::SocketAddr;

use carobglade::{
    ConfigWire, KeyDigest, ModelWire, RouteWire, ServiceWire, TenantWire, UpstreamWire,
};

/// The key of a tenant in tests.
pub fn api_key(tenant: &str) -> String {
    format!("ck-test-{tenant}")
}

/// A tenant with every model.
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

/// A model.
pub fn model(name: &str, size: &str) -> ModelWire {
    ModelWire { name: name.into(), size: size.into(), base: None }
}

/// An adapter.
pub fn adapter(name: &str, base: &str) -> ModelWire {
    ModelWire { name: name.into(), size: "256MiB".into(), base: Some(base.into()) }
}

/// A model engine.
pub fn engine(name: &str, address: SocketAddr, memory: &str, fencing: bool) -> UpstreamWire {
    UpstreamWire {
        name: name.into(),
        address: address.to_string(),
        data_centre: "rennes".into(),
        memory: Some(memory.into()),
        accelerators: 1,
        fencing,
        leaving: false,
    }
}

/// The plain service of the gate application, with a route that is open to all.
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
        open: true,
        methods: vec!["GET".into()],
        ..RouteWire::default()
    };
    (upstreams, service, vec![route, public_route])
}

/// Joins the parts.
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
