//! Validated configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::request::RequestClass;
use crate::version::{
    ConfigWire, KeyDigest, ModelWire, RouteWire, ServiceWire, TenantWire, UpstreamWire,
};
use crate::{ByteSize, DataCentre, ModelName, Offset, TenantName, TokenRate, Tokens, UpstreamName};

/// A tenant and its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: TenantName,
    /// Default class of the tenant's requests.
    pub class: RequestClass,
    /// Digests of the valid API keys.
    pub keys: BTreeSet<KeyDigest>,
    /// Rate limit.
    pub rate_limit: RateLimit,
    /// Models and adapters that the tenant may use.
    pub models: BTreeSet<ModelName>,
}

/// Rate limit of a tenant across all vms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateLimit {
    /// Tokens per second.
    pub rate: TokenRate,
    /// Maximum number of tokens that may be used at once.
    pub burst: Tokens,
    /// The log offset at which the tenant was created.
    pub created: Offset,
}

/// A model or an adapter.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name.
    pub name: ModelName,
    /// Accelerator memory that the weights take.
    pub size: ByteSize,
    /// Base model of an adapter; `None` for a model.
    pub base: Option<ModelName>,
}

/// An upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Name.
    pub name: UpstreamName,
    /// Address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Accelerator memory; `None` for a plain service.
    pub memory: Option<ByteSize>,
    /// Number of accelerators.
    pub accelerators: u64,
    /// Whether the upstream refuses an order with an outdated fencing token.
    pub fencing: bool,
    /// Whether the upstream is leaving and takes no new requests or models.
    pub draining: bool,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Upstreams that run it.
    pub upstreams: Vec<UpstreamName>,
}

/// A route to a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Path prefix.
    pub prefix: String,
    /// Name of the service.
    pub service: String,
    /// Whether callers need no key.
    pub anonymous: bool,
    /// Allowed methods.
    pub methods: BTreeSet<String>,
    /// Methods whose calls may not be repeated.
    pub once: BTreeSet<String>,
    /// Whether calls of the methods in `once` must carry an idempotency key.
    pub key_required: bool,
    /// Tenants that may use the route; empty for all.
    pub tenants: BTreeSet<TenantName>,
}

/// A validated configuration. Clones are cheap because they share their sections.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Tenants by name.
    pub tenants: Arc<BTreeMap<TenantName, Tenant>>,
    /// Models and adapters by name.
    pub models: Arc<BTreeMap<ModelName, Model>>,
    /// Upstreams by name.
    pub upstreams: Arc<BTreeMap<UpstreamName, Upstream>>,
    /// Services by name.
    pub services: Arc<BTreeMap<String, Service>>,
    /// Routes by prefix.
    pub routes: Arc<BTreeMap<String, Route>>,
}

impl Config {
    /// Returns the route whose prefix is the longest that matches `path`.
    pub fn route(&self, path: &str) -> Option<&Route> {
        let matching = self.routes.values().filter(|route| path.starts_with(&route.prefix));
        matching.max_by_key(|route| route.prefix.len())
    }

    /// Returns the upstreams that are model engines.
    pub fn engines(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values().filter(|upstream| upstream.memory.is_some())
    }

    /// Returns the base model of an adapter, or `model` itself when it is no adapter.
    pub fn base_of<'a>(&'a self, model: &'a ModelName) -> &'a ModelName {
        self.models.get(model).and_then(|m| m.base.as_ref()).unwrap_or(model)
    }

    /// Returns the configuration with the offsets at which its tenants were created.
    pub(crate) fn with_created(mut self, created: &BTreeMap<TenantName, Offset>) -> Self {
        for tenant in Arc::make_mut(&mut self.tenants).values_mut() {
            tenant.rate_limit.created = created.get(&tenant.name).copied().unwrap_or_default();
        }
        self
    }

    pub(crate) fn insert_tenant(&mut self, item: Option<Tenant>) {
        if let Some(item) = item {
            Arc::make_mut(&mut self.tenants).insert(item.name.clone(), item);
        }
    }

    pub(crate) fn insert_model(&mut self, item: Option<Model>) {
        if let Some(item) = item {
            Arc::make_mut(&mut self.models).insert(item.name.clone(), item);
        }
    }

    pub(crate) fn insert_upstream(&mut self, item: Option<Upstream>) {
        if let Some(item) = item {
            Arc::make_mut(&mut self.upstreams).insert(item.name.clone(), item);
        }
    }

    pub(crate) fn insert_service(&mut self, item: Option<Service>) {
        if let Some(item) = item {
            Arc::make_mut(&mut self.services).insert(item.name.clone(), item);
        }
    }

    pub(crate) fn insert_route(&mut self, item: Option<Route>) {
        if let Some(item) = item {
            Arc::make_mut(&mut self.routes).insert(item.prefix.clone(), item);
        }
    }
}

fn texts<T: ToString>(items: impl IntoIterator<Item = T>) -> Vec<String> {
    items.into_iter().map(|item| item.to_string()).collect()
}

impl From<&Config> for ConfigWire {
    fn from(config: &Config) -> Self {
        ConfigWire {
            tenants: config.tenants.values().map(TenantWire::from).collect(),
            models: config.models.values().map(ModelWire::from).collect(),
            upstreams: config.upstreams.values().map(UpstreamWire::from).collect(),
            services: config.services.values().map(ServiceWire::from).collect(),
            routes: config.routes.values().map(RouteWire::from).collect(),
        }
    }
}

impl From<&Tenant> for TenantWire {
    fn from(tenant: &Tenant) -> Self {
        TenantWire {
            name: tenant.name.to_string(),
            class: tenant.class.to_string(),
            keys: texts(&tenant.keys),
            rate: tenant.rate_limit.rate.to_string(),
            burst: tenant.rate_limit.burst.0,
            models: texts(&tenant.models),
        }
    }
}

impl From<&Model> for ModelWire {
    fn from(model: &Model) -> Self {
        ModelWire {
            name: model.name.to_string(),
            size: model.size.to_string(),
            base: model.base.as_ref().map(ToString::to_string),
        }
    }
}

impl From<&Upstream> for UpstreamWire {
    fn from(upstream: &Upstream) -> Self {
        UpstreamWire {
            name: upstream.name.to_string(),
            address: upstream.address.to_string(),
            data_centre: upstream.data_centre.to_string(),
            memory: upstream.memory.map(|size| size.to_string()),
            accelerators: upstream.accelerators,
            fencing: upstream.fencing,
            draining: upstream.draining,
        }
    }
}

impl From<&Service> for ServiceWire {
    fn from(service: &Service) -> Self {
        ServiceWire { name: service.name.clone(), upstreams: texts(&service.upstreams) }
    }
}

impl From<&Route> for RouteWire {
    fn from(route: &Route) -> Self {
        RouteWire {
            prefix: route.prefix.clone(),
            service: route.service.clone(),
            anonymous: route.anonymous,
            methods: texts(&route.methods),
            once: texts(&route.once),
            key_required: route.key_required,
            tenants: texts(&route.tenants),
        }
    }
}
