//! A configuration as the platform's operator writes it: routes by host and path, services with
//! their engines, tenants with their keys.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{KeyDigest, ModelName, TenantName, Tokens};

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    Once,
    /// The answer is a stream of events; runs at most once unless it may be resumed.
    Stream {
        /// Whether another upstream may go on after the last event that arrived.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformRoute {
    /// Its name.
    pub name: String,
    /// The host that it belongs to.
    pub host: String,
    /// The start of the paths that it takes; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or to the first event, that callers want.
    pub latency_goal: Duration,
    /// Longest pause between two events that callers want.
    pub gap_goal: Duration,
    /// Rank, 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights.
    pub services: Vec<(String, u32)>,
    /// Most upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Whether no key is asked for.
    pub anonymous: bool,
}

impl PlatformRoute {
    /// The service for a request, by a number that is spread evenly.
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
    /// Its name.
    pub name: ModelName,
    /// Memory for its weights, in MB.
    pub weights_mb: f64,
    /// Memory for one of its adapters, in MB.
    pub adapter_mb: f64,
    /// Time to load it from the weight store.
    pub load_time: Duration,
}

/// The engines behind a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that an engine batches.
    pub slots: u32,
    /// Tokens that an engine's memory holds.
    pub kv_capacity: Tokens,
    /// Memory for weights and adapters of one engine, in MB.
    pub weights_mb: f64,
    /// Adapters that one engine holds.
    pub adapter_slots: usize,
    /// Loads that the weight store allows each second, over all engines.
    pub loads_per_second: f64,
    /// The models, by name.
    pub models: BTreeMap<ModelName, EngineModel>,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformService {
    /// Its name.
    pub name: String,
    /// Connections that one of its upstreams takes, from all callers.
    pub max_connections: u32,
    /// Its engines; none for a plain service.
    pub engine: Option<Engine>,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformTenant {
    /// Its name.
    pub name: TenantName,
    /// Rank of its requests; goes before the route's.
    pub priority: Option<u8>,
    /// Tokens each second over the whole fleet; 0 is no limit.
    pub rate: u64,
    /// Tokens that may come at once.
    pub burst: u64,
    /// Tokens of a request that does not name any.
    pub default_tokens: Tokens,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a header section.
    pub header_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Time for a request's header section to arrive.
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

/// A configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlatformConfig {
    /// Its version; a larger one replaces a smaller one.
    pub version: u64,
    /// Routes by host, the longest prefix first.
    pub routes: BTreeMap<String, Vec<PlatformRoute>>,
    /// Services by name.
    pub services: BTreeMap<String, PlatformService>,
    /// Tenants by name.
    pub tenants: BTreeMap<TenantName, PlatformTenant>,
    /// The tenant of each key.
    pub keys: BTreeMap<KeyDigest, TenantName>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

impl PlatformConfig {
    /// A configuration without routes.
    pub fn new(version: u64) -> Self {
        PlatformConfig { version, ..PlatformConfig::default() }
    }

    /// Adds a route, keeping the longest prefix of a host first.
    pub fn add_route(&mut self, route: PlatformRoute) {
        let routes = self.routes.entry(route.host.clone()).or_default();
        routes.push(route);
        routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
    }

    /// The route for a path on a host.
    pub fn route(&self, host: &str, path: &str) -> Option<&PlatformRoute> {
        let routes = self.routes.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The services that have engines, by name.
    pub fn engines(&self) -> impl Iterator<Item = (&String, &Engine)> {
        self.services.values().filter_map(|service| Some((&service.name, service.engine.as_ref()?)))
    }

    /// The engine of a service.
    pub fn engine(&self, service: &str) -> Option<&Engine> {
        self.services.get(service)?.engine.as_ref()
    }

    /// The tenant that holds `key`.
    pub fn tenant(&self, key: &str) -> Option<&PlatformTenant> {
        let name = self.keys.get(&KeyDigest::of(key))?;
        self.tenants.get(name)
    }

    /// Whether requests must carry a key.
    pub fn requires_key(&self) -> bool {
        !self.tenants.is_empty()
    }
}
