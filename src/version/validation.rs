//! Validates the operators' file and reports all problems at once, each with its path and value.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display};
use std::str::FromStr;
use std::sync::Arc;

use crate::version::{Change, Config, ConfigWire, parse};
use crate::{Offset, TenantName};

const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// A problem in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigProblem {
    /// JSON path of the field.
    pub path: String,
    /// Description of the problem, with the value.
    pub message: String,
}

impl Display for ConfigProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Collects problems while items are parsed.
#[derive(Default)]
pub(crate) struct Checker {
    problems: Vec<ConfigProblem>,
    /// Index of each item in its section; empty when changes are applied without a file.
    positions: BTreeMap<(&'static str, String), usize>,
}

impl Checker {
    pub(crate) fn report(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.problems.push(ConfigProblem { path: path.into(), message: message.into() });
    }

    pub(crate) fn parse<T: FromStr<Err: Display>>(&mut self, path: &str, text: &str) -> Option<T> {
        text.parse().map_err(|err: T::Err| self.report(path, err.to_string())).ok()
    }

    pub(crate) fn parse_all<T: FromStr<Err: Display>>(
        &mut self,
        path: &str,
        texts: &[String],
    ) -> Vec<T> {
        let parsed = texts.iter().enumerate();
        parsed.filter_map(|(i, text)| self.parse(&format!("{path}[{i}]"), text)).collect()
    }

    /// Records the index of an item in its section and returns its path.
    fn register(&mut self, section: &'static str, name: &str, at: usize) -> String {
        let path = format!("$.{section}[{at}]");
        if self.positions.insert((section, name.to_owned()), at).is_some() {
            self.report(format!("{path}.name"), format!("{name:?} is listed twice"));
        }
        path
    }

    /// Returns the path of an item, by its index in the file or else by its name.
    fn path(&self, section: &'static str, name: &str) -> String {
        match self.positions.get(&(section, name.to_owned())) {
            Some(at) => format!("$.{section}[{at}]"),
            None => format!("$.{section}[{name:?}]"),
        }
    }

    pub(crate) fn methods(&mut self, path: &str, texts: &[String]) -> BTreeSet<String> {
        for (i, text) in texts.iter().enumerate() {
            if !METHODS.contains(&text.as_str()) {
                self.report(format!("{path}[{i}]"), format!("{text:?} is not one of {METHODS:?}"));
            }
        }
        texts.iter().cloned().collect()
    }
}

/// Validates `wire` and returns the configuration.
///
/// # Errors
///
/// All problems: first those of single items, in the order in which sections are read, then invalid
/// references between items.
///
/// ```
/// use carobglade::{ConfigWire, TenantWire, validate_config};
/// let tenant = TenantWire { name: "a b".into(), ..TenantWire::default() };
/// let wire = ConfigWire { tenants: vec![tenant], ..ConfigWire::default() };
/// let problems = validate_config(&wire, Default::default()).unwrap_err();
/// assert_eq!(problems[0].path, "$.tenants[0].name");
/// ```
pub fn validate_config(wire: &ConfigWire, created: Offset) -> Result<Config, Vec<ConfigProblem>> {
    let mut checker = Checker::default();
    let mut config = Config::default();
    for (i, model) in wire.models.iter().enumerate() {
        let path = checker.register("models", &model.name, i);
        let model = parse::model(&mut checker, &path, model);
        config.insert_model(model);
    }
    for (i, tenant) in wire.tenants.iter().enumerate() {
        let path = checker.register("tenants", &tenant.name, i);
        let tenant = parse::tenant(&mut checker, &path, tenant, created);
        config.insert_tenant(tenant);
    }
    for (i, upstream) in wire.upstreams.iter().enumerate() {
        let path = checker.register("upstreams", &upstream.name, i);
        let upstream = parse::upstream(&mut checker, &path, upstream);
        config.insert_upstream(upstream);
    }
    for (i, service) in wire.services.iter().enumerate() {
        let path = checker.register("services", &service.name, i);
        let service = parse::service(&mut checker, &path, service);
        config.insert_service(service);
    }
    for (i, route) in wire.routes.iter().enumerate() {
        let path = checker.register("routes", &route.prefix, i);
        let route = parse::route(&mut checker, &path, route);
        config.insert_route(route);
    }
    check_references(&mut checker, &config);
    if checker.problems.is_empty() { Ok(config) } else { Err(checker.problems) }
}

impl Config {
    /// Returns the configuration with `changes` applied. The cost depends on the changes and on the
    /// references between items; unchanged items are not parsed again. New tenants count as created
    /// at `offset`.
    ///
    /// # Errors
    ///
    /// All problems of the result; `self` is unchanged.
    pub fn with_changes(
        &self,
        changes: &[Change],
        offset: Offset,
    ) -> Result<Config, Vec<ConfigProblem>> {
        let mut checker = Checker::default();
        let mut config = self.clone();
        for change in changes {
            config.apply_change(&mut checker, change, offset);
        }
        check_references(&mut checker, &config);
        if checker.problems.is_empty() { Ok(config) } else { Err(checker.problems) }
    }

    fn apply_change(&mut self, checker: &mut Checker, change: &Change, offset: Offset) {
        match change {
            Change::Tenant(wire) => {
                let path = checker.path("tenants", &wire.name);
                let known = wire.name.parse::<TenantName>().ok();
                let known = known.and_then(|name| self.tenants.get(&name));
                let created = known.map_or(offset, |tenant| tenant.rate_limit.created);
                self.insert_tenant(parse::tenant(checker, &path, wire, created));
            }
            Change::Model(wire) => {
                let path = checker.path("models", &wire.name);
                self.insert_model(parse::model(checker, &path, wire));
            }
            Change::Upstream(wire) => {
                let path = checker.path("upstreams", &wire.name);
                self.insert_upstream(parse::upstream(checker, &path, wire));
            }
            Change::Service(wire) => {
                let path = checker.path("services", &wire.name);
                self.insert_service(parse::service(checker, &path, wire));
            }
            Change::Route(wire) => {
                let path = checker.path("routes", &wire.prefix);
                self.insert_route(parse::route(checker, &path, wire));
            }
            Change::RemoveTenant(name) => {
                Arc::make_mut(&mut self.tenants).retain(|known, _| known.as_str() != name);
            }
            Change::RemoveModel(name) => {
                Arc::make_mut(&mut self.models).retain(|known, _| known.as_str() != name);
            }
            Change::RemoveUpstream(name) => {
                Arc::make_mut(&mut self.upstreams).retain(|known, _| known.as_str() != name);
            }
            Change::RemoveService(name) => {
                Arc::make_mut(&mut self.services).remove(name);
            }
            Change::RemoveRoute(prefix) => {
                Arc::make_mut(&mut self.routes).remove(prefix);
            }
        }
    }
}

/// Checks references between items.
fn check_references(checker: &mut Checker, config: &Config) {
    check_models(checker, config);
    check_tenants(checker, config);
    check_services(checker, config);
    check_routes(checker, config);
}

/// Checks that the base of an adapter is a model, and that each model fits on an upstream, because
/// it could never be loaded otherwise.
fn check_models(checker: &mut Checker, config: &Config) {
    let largest = config.engines().filter_map(|upstream| upstream.memory).max();
    for model in config.models.values() {
        let path = checker.path("models", model.name.as_str());
        let base = model.base.as_ref().map(|base| (base, config.models.get(base)));
        if let Some((name, known)) = base
            && known.is_none_or(|base| base.base.is_some())
        {
            checker.report(format!("{path}.base"), format!("{:?} is not a model", name.as_str()));
        }
        let needed = model.size.0 + base.and_then(|(_, base)| base).map_or(0, |base| base.size.0);
        if largest.is_some_and(|largest| needed > largest.0) {
            checker.report(format!("{path}.size"), format!("{} fits no upstream", model.size));
        }
    }
}

fn check_tenants(checker: &mut Checker, config: &Config) {
    let mut keys = BTreeSet::new();
    for tenant in config.tenants.values() {
        let path = checker.path("tenants", tenant.name.as_str());
        for key in &tenant.keys {
            if !keys.insert(*key) {
                checker.report(format!("{path}.keys"), format!("\"{key}\" is listed twice"));
            }
        }
        for model in tenant.models.iter().filter(|model| !config.models.contains_key(*model)) {
            let message = format!("model {:?} does not exist", model.as_str());
            checker.report(format!("{path}.models"), message);
        }
    }
}

fn check_services(checker: &mut Checker, config: &Config) {
    for service in config.services.values() {
        let path = checker.path("services", &service.name);
        for name in service.upstreams.iter().filter(|name| !config.upstreams.contains_key(*name)) {
            let message = format!("upstream {:?} does not exist", name.as_str());
            checker.report(format!("{path}.upstreams"), message);
        }
    }
}

fn check_routes(checker: &mut Checker, config: &Config) {
    for route in config.routes.values() {
        let path = checker.path("routes", &route.prefix);
        if !config.services.contains_key(&route.service) {
            let message = format!("service {:?} does not exist", route.service);
            checker.report(format!("{path}.service"), message);
        }
        for name in route.tenants.iter().filter(|name| !config.tenants.contains_key(*name)) {
            let message = format!("tenant {:?} does not exist", name.as_str());
            checker.report(format!("{path}.tenants"), message);
        }
    }
}
