//! Configuration written by the platform's operator: routes by host and path, services with their
//! engines, and tenants with their API keys.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{KeyDigest, ModelName, RequestRate, TenantName, Tokens};

/// Whether requests of a route may run more than once, and whether their response is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// A request runs at most once.
    Once,
    /// The response is a stream of events; the request runs at most once unless it is resumable.
    Stream {
        /// Whether another upstream may continue after the last event that arrived.
        resumable: bool,
    },
}

impl RouteKind {
    /// Reports whether a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Stream { resumable: true })
    }

    /// Reports whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A route to one or more services.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformRoute {
    /// Name.
    pub name: String,
    /// Host that the route belongs to.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may be repeated, and whether the response is a stream.
    pub kind: RouteKind,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Target time to the response or to the first event of a stream.
    pub latency_goal: Duration,
    /// Target for the longest gap between two events.
    pub gap_goal: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights.
    pub services: Vec<(String, u32)>,
    /// Maximum number of upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no API key.
    pub anonymous: bool,
}

impl PlatformRoute {
    /// Reports whether a request that may have run can be sent to another upstream.
    pub fn allows_retries(&self) -> bool {
        self.kind.is_repeatable() && self.max_attempts > 1
    }

    /// Returns the service for a request in proportion to the weights; `spread` is uniformly
    /// distributed over requests. `None` when all weights are 0 or no service is set.
    pub fn service(&self, spread: u64) -> Option<&str> {
        let total: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut left = spread % total.max(1);
        for (service, weight) in &self.services {
            if left < u64::from(*weight) {
                return Some(service);
            }
            left -= u64::from(*weight);
        }
        None
    }
}

/// A model that the engines of a service can load.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// Name of the model.
    pub name: ModelName,
    /// Memory for its weights, in MB.
    pub weights_mb: f64,
    /// Memory for one adapter of the model, in MB.
    pub adapter_mb: f64,
    /// Time to load the model from the weight store.
    pub load_time: Duration,
}

/// Properties of the engines behind a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that one engine runs in a batch.
    pub slots: u32,
    /// Tokens that fit in the KV cache of one engine.
    pub kv_capacity: Tokens,
    /// Memory for weights and adapters of one engine, in MB.
    pub weights_mb: f64,
    /// Maximum number of adapters on one engine.
    pub adapter_slots: usize,
    /// Model loads per second that the weight store allows for all engines together.
    pub loads_per_second: f64,
    /// Models by name.
    pub models: BTreeMap<ModelName, EngineModel>,
}

impl Engine {
    /// Reports whether models differ in size, so that their requests may differ in cost.
    pub fn has_unlike_models(&self) -> bool {
        let mut sizes = self.models.values().map(|model| model.weights_mb);
        let first = sizes.next();
        sizes.any(|size| Some(size) != first)
    }
}

/// A service and the limits of its upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformService {
    /// Name.
    pub name: String,
    /// Maximum number of connections that one upstream accepts from all callers.
    pub max_connections: u32,
    /// Engine properties; `None` for a plain service.
    pub engine: Option<Engine>,
    /// Time for which an upstream is cold after its start or its return.
    pub cold_time: Duration,
    /// Requests a second that a cold upstream takes; `None` if it takes as many as a warm one.
    pub cold_rate: Option<RequestRate>,
}

/// A tenant with its priority and rate limit.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformTenant {
    /// Name of the tenant.
    pub name: TenantName,
    /// Priority of the tenant's requests; overrides the priority of the route.
    pub priority: Option<u8>,
    /// Tokens per second across the fleet; 0 means no limit.
    pub rate: u64,
    /// Maximum number of tokens that may be used at once.
    pub burst: u64,
    /// Tokens charged for a request that states no number.
    pub default_tokens: Tokens,
}

/// Size and time limits for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a header section, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// Time within which the header section of a request must arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection may be closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A version of the platform configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlatformConfig {
    /// Version number; a larger version replaces a smaller one.
    pub version: u64,
    /// Routes by host, the longest prefix first.
    pub routes: BTreeMap<String, Vec<PlatformRoute>>,
    /// Services by name.
    pub services: BTreeMap<String, PlatformService>,
    /// Tenants by name.
    pub tenants: BTreeMap<TenantName, PlatformTenant>,
    /// Tenant of each API key.
    pub keys: BTreeMap<KeyDigest, TenantName>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

impl PlatformConfig {
    /// Creates a configuration without routes.
    pub fn new(version: u64) -> Self {
        PlatformConfig { version, ..PlatformConfig::default() }
    }

    /// Adds a route and keeps the routes of each host sorted by prefix length, longest first.
    pub fn add_route(&mut self, route: PlatformRoute) {
        let routes = self.routes.entry(route.host.clone()).or_default();
        routes.push(route);
        routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
    }

    /// Returns the route for a path on a host.
    pub fn route(&self, host: &str, path: &str) -> Option<&PlatformRoute> {
        let routes = self.routes.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the engines of all services that have them, with the service name.
    pub fn engines(&self) -> impl Iterator<Item = (&String, &Engine)> {
        self.services.values().filter_map(|service| Some((&service.name, service.engine.as_ref()?)))
    }

    /// Returns the engine properties of a service.
    pub fn engine(&self, service: &str) -> Option<&Engine> {
        self.services.get(service)?.engine.as_ref()
    }

    /// Returns the tenant that owns `key`.
    pub fn tenant(&self, key: &str) -> Option<&PlatformTenant> {
        let name = self.keys.get(&KeyDigest::of(key))?;
        self.tenants.get(name)
    }

    /// Reports whether routes that are not anonymous require an API key, which is the case once the
    /// configuration has a tenant.
    pub fn requires_key(&self) -> bool {
        !self.tenants.is_empty()
    }
}
