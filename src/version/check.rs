//! Checks of the operators' file: every problem at once, with its path and value.

use std::collections::BTreeSet;
use std::fmt::{self, Display};
use std::str::FromStr;

use crate::version::{Config, ConfigWire, Grant, Model, Route, Service, Tenant, Upstream};
use crate::{Offset, Tokens};

const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// One problem of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// JSON path of the field.
    pub path: String,
    /// What is wrong, with the value.
    pub message: String,
}

impl Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

#[derive(Default)]
struct Checker {
    problems: Vec<Problem>,
}

impl Checker {
    fn report(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.problems.push(Problem { path: path.into(), message: message.into() });
    }

    fn parse<T: FromStr<Err: Display>>(&mut self, path: &str, text: &str) -> Option<T> {
        text.parse().map_err(|err: T::Err| self.report(path, err.to_string())).ok()
    }

    fn parse_all<T: FromStr<Err: Display>>(&mut self, path: &str, texts: &[String]) -> Vec<T> {
        let parsed = texts.iter().enumerate();
        parsed.filter_map(|(i, text)| self.parse(&format!("{path}[{i}]"), text)).collect()
    }

    fn unique(&mut self, path: &str, seen: &mut BTreeSet<String>, value: &str) {
        if !seen.insert(value.to_owned()) {
            self.report(path, format!("{value:?} stands twice"));
        }
    }

    fn methods(&mut self, path: &str, texts: &[String]) -> BTreeSet<String> {
        for (i, text) in texts.iter().enumerate() {
            if !METHODS.contains(&text.as_str()) {
                self.report(format!("{path}[{i}]"), format!("{text:?} is not one of {METHODS:?}"));
            }
        }
        texts.iter().cloned().collect()
    }
}

/// Checks `wire` and returns the configuration, or every problem of the file.
///
/// # Errors
///
/// All problems, in the order of the file.
///
/// ```
/// use carobglade::{ConfigWire, TenantWire, check};
/// let tenant = TenantWire { name: "a b".into(), ..TenantWire::default() };
/// let wire = ConfigWire { tenants: vec![tenant], ..ConfigWire::default() };
/// let problems = check(&wire, Default::default()).unwrap_err();
/// assert_eq!(problems[0].path, "$.tenants[0].name");
/// ```
pub fn check(wire: &ConfigWire, created: Offset) -> Result<Config, Vec<Problem>> {
    let mut checker = Checker::default();
    let mut config = Config::default();
    check_models(&mut checker, wire, &mut config);
    check_tenants(&mut checker, wire, created, &mut config);
    check_upstreams(&mut checker, wire, &mut config);
    check_services(&mut checker, wire, &mut config);
    check_routes(&mut checker, wire, &mut config);
    check_placeable(&mut checker, &config);
    if checker.problems.is_empty() { Ok(config) } else { Err(checker.problems) }
}

fn check_models(checker: &mut Checker, wire: &ConfigWire, config: &mut Config) {
    let mut seen = BTreeSet::new();
    for (i, model) in wire.models.iter().enumerate() {
        let path = format!("$.models[{i}]");
        checker.unique(&format!("{path}.name"), &mut seen, &model.name);
        let name = checker.parse(&format!("{path}.name"), &model.name);
        let size = checker.parse(&format!("{path}.size"), &model.size);
        let base = match &model.base {
            Some(base) => {
                let root = wire.models.iter().find(|m| m.name == *base);
                if root.is_none_or(|m| m.base.is_some()) {
                    checker.report(format!("{path}.base"), format!("{base:?} is not a model"));
                }
                checker.parse(&format!("{path}.base"), base)
            }
            None => None,
        };
        if let (Some(name), Some(size)) = (name, size) {
            let model = Model { name, size, base };
            config.models.insert(model.name.clone(), model);
        }
    }
}

fn check_tenants(checker: &mut Checker, wire: &ConfigWire, created: Offset, config: &mut Config) {
    let mut seen = BTreeSet::new();
    let mut keys = BTreeSet::new();
    for (i, tenant) in wire.tenants.iter().enumerate() {
        let path = format!("$.tenants[{i}]");
        checker.unique(&format!("{path}.name"), &mut seen, &tenant.name);
        let name = checker.parse(&format!("{path}.name"), &tenant.name);
        let class = checker.parse(&format!("{path}.class"), &tenant.class);
        let rate = checker.parse(&format!("{path}.rate"), &tenant.rate);
        for (k, key) in tenant.keys.iter().enumerate() {
            checker.unique(&format!("{path}.keys[{k}]"), &mut keys, key);
        }
        let digests = checker.parse_all(&format!("{path}.keys"), &tenant.keys);
        let models: Vec<crate::ModelName> =
            checker.parse_all(&format!("{path}.models"), &tenant.models);
        for (m, model) in models.iter().enumerate() {
            if !config.models.contains_key(model) {
                let message = format!("model {:?} does not exist", model.as_str());
                checker.report(format!("{path}.models[{m}]"), message);
            }
        }
        if tenant.burst == 0 {
            checker.report(format!("{path}.burst"), "0 must be at least 1");
        }
        if let (Some(name), Some(class), Some(rate)) = (name, class, rate) {
            let grant = Grant { rate, burst: Tokens(tenant.burst), created };
            let keys = digests.into_iter().collect();
            let models = models.into_iter().collect();
            let tenant = Tenant { name, class, keys, grant, models };
            config.tenants.insert(tenant.name.clone(), tenant);
        }
    }
}

fn check_upstreams(checker: &mut Checker, wire: &ConfigWire, config: &mut Config) {
    let mut seen = BTreeSet::new();
    for (i, upstream) in wire.upstreams.iter().enumerate() {
        let path = format!("$.upstreams[{i}]");
        checker.unique(&format!("{path}.name"), &mut seen, &upstream.name);
        let name = checker.parse(&format!("{path}.name"), &upstream.name);
        let address = checker.parse(&format!("{path}.address"), &upstream.address);
        let place = checker.parse(&format!("{path}.data_centre"), &upstream.data_centre);
        let memory = upstream.memory.as_ref();
        let memory = memory.and_then(|text| checker.parse(&format!("{path}.memory"), text));
        if let (Some(name), Some(address), Some(data_centre)) = (name, address, place) {
            let upstream = Upstream {
                name,
                address,
                data_centre,
                memory,
                accelerators: upstream.accelerators,
                fencing: upstream.fencing,
                leaving: upstream.leaving,
            };
            config.upstreams.insert(upstream.name.clone(), upstream);
        }
    }
}

fn check_services(checker: &mut Checker, wire: &ConfigWire, config: &mut Config) {
    let mut seen = BTreeSet::new();
    for (i, service) in wire.services.iter().enumerate() {
        let path = format!("$.services[{i}]");
        checker.unique(&format!("{path}.name"), &mut seen, &service.name);
        let upstreams: Vec<crate::UpstreamName> =
            checker.parse_all(&format!("{path}.upstreams"), &service.upstreams);
        for (u, upstream) in upstreams.iter().enumerate() {
            if !config.upstreams.contains_key(upstream) {
                let message = format!("upstream {:?} does not exist", upstream.as_str());
                checker.report(format!("{path}.upstreams[{u}]"), message);
            }
        }
        let service = Service { name: service.name.clone(), upstreams };
        config.services.insert(service.name.clone(), service);
    }
}

fn check_routes(checker: &mut Checker, wire: &ConfigWire, config: &mut Config) {
    let mut seen = BTreeSet::new();
    for (i, route) in wire.routes.iter().enumerate() {
        let path = format!("$.routes[{i}]");
        checker.unique(&format!("{path}.prefix"), &mut seen, &route.prefix);
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            let message = format!("{:?} must start and end with a slash", route.prefix);
            checker.report(format!("{path}.prefix"), message);
        }
        if route.prefix.starts_with("/v1/") {
            let message = format!("{:?} belongs to the model interface", route.prefix);
            checker.report(format!("{path}.prefix"), message);
        }
        if !config.services.contains_key(&route.service) {
            let message = format!("service {:?} does not exist", route.service);
            checker.report(format!("{path}.service"), message);
        }
        let methods = checker.methods(&format!("{path}.methods"), &route.methods);
        let once = checker.methods(&format!("{path}.once"), &route.once);
        for method in once.difference(&methods) {
            checker.report(format!("{path}.once"), format!("{method:?} is not in methods"));
        }
        let tenants: Vec<crate::TenantName> =
            checker.parse_all(&format!("{path}.tenants"), &route.tenants);
        for (t, tenant) in tenants.iter().enumerate() {
            if !config.tenants.contains_key(tenant) {
                let message = format!("tenant {:?} does not exist", tenant.as_str());
                checker.report(format!("{path}.tenants[{t}]"), message);
            }
        }
        let route = Route {
            prefix: route.prefix.clone(),
            service: route.service.clone(),
            open: route.open,
            methods,
            once,
            key_required: route.key_required,
            tenants: tenants.into_iter().collect(),
        };
        config.routes.insert(route.prefix.clone(), route);
    }
}

/// A model that fits no upstream could never be reached.
fn check_placeable(checker: &mut Checker, config: &Config) {
    let largest = config.engines().filter_map(|upstream| upstream.memory).max();
    let Some(largest) = largest else { return };
    for model in config.models.values() {
        let base = model.base.as_ref().and_then(|base| config.models.get(base));
        let needed = model.size.0 + base.map_or(0, |base| base.size.0);
        if needed > largest.0 {
            let message = format!("model {:?} fits no upstream", model.name.as_str());
            checker.report("$.models", message);
        }
    }
}
