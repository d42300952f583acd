//! Parses single items of the operators' file and reports invalid fields.

use crate::version::validation::Checker;
use crate::version::{
    Model, ModelWire, RateLimit, Route, RouteWire, Service, ServiceWire, Tenant, TenantWire,
    Upstream, UpstreamWire,
};
use crate::{Offset, Tokens};

pub(crate) fn model(checker: &mut Checker, path: &str, wire: &ModelWire) -> Option<Model> {
    let name = checker.parse(&format!("{path}.name"), &wire.name);
    let size = checker.parse(&format!("{path}.size"), &wire.size);
    let base = wire.base.as_ref();
    let base = base.and_then(|base| checker.parse(&format!("{path}.base"), base));
    Some(Model { name: name?, size: size?, base })
}

pub(crate) fn tenant(
    checker: &mut Checker,
    path: &str,
    wire: &TenantWire,
    created: Offset,
) -> Option<Tenant> {
    let name = checker.parse(&format!("{path}.name"), &wire.name);
    let class = checker.parse(&format!("{path}.class"), &wire.class);
    let keys = checker.parse_all(&format!("{path}.keys"), &wire.keys);
    let rate = checker.parse(&format!("{path}.rate"), &wire.rate);
    if wire.burst == 0 {
        checker.report(format!("{path}.burst"), "0 must be at least 1");
    }
    let models = checker.parse_all(&format!("{path}.models"), &wire.models);
    let rate_limit = RateLimit { rate: rate?, burst: Tokens(wire.burst), created };
    let (keys, models) = (keys.into_iter().collect(), models.into_iter().collect());
    Some(Tenant { name: name?, class: class?, keys, rate_limit, models })
}

pub(crate) fn upstream(checker: &mut Checker, path: &str, wire: &UpstreamWire) -> Option<Upstream> {
    let name = checker.parse(&format!("{path}.name"), &wire.name);
    let address = checker.parse(&format!("{path}.address"), &wire.address);
    let data_centre = checker.parse(&format!("{path}.data_centre"), &wire.data_centre);
    let memory = wire.memory.as_ref();
    let memory = memory.and_then(|text| checker.parse(&format!("{path}.memory"), text));
    Some(Upstream {
        name: name?,
        address: address?,
        data_centre: data_centre?,
        memory,
        accelerators: wire.accelerators,
        fencing: wire.fencing,
        draining: wire.draining,
    })
}

pub(crate) fn service(checker: &mut Checker, path: &str, wire: &ServiceWire) -> Option<Service> {
    let upstreams = checker.parse_all(&format!("{path}.upstreams"), &wire.upstreams);
    Some(Service { name: wire.name.clone(), upstreams })
}

pub(crate) fn route(checker: &mut Checker, path: &str, wire: &RouteWire) -> Option<Route> {
    let prefix = &wire.prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        let message = format!("{prefix:?} must start and end with a slash");
        checker.report(format!("{path}.prefix"), message);
    }
    if prefix.starts_with("/v1/") {
        let message = format!("{prefix:?} belongs to the model interface");
        checker.report(format!("{path}.prefix"), message);
    }
    let methods = checker.methods(&format!("{path}.methods"), &wire.methods);
    let once = checker.methods(&format!("{path}.once"), &wire.once);
    for method in once.difference(&methods) {
        checker.report(format!("{path}.once"), format!("{method:?} is not in methods"));
    }
    let tenants = checker.parse_all(&format!("{path}.tenants"), &wire.tenants);
    Some(Route {
        prefix: prefix.clone(),
        service: wire.service.clone(),
        anonymous: wire.anonymous,
        methods,
        once,
        key_required: wire.key_required,
        tenants: tenants.into_iter().collect(),
    })
}
