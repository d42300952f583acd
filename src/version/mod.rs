//! Types whose lifetime is one version of the configuration.

mod change;
mod config;
mod difference;
mod key;
mod parse;
mod platform_config;
mod validation;
mod wire;

pub use change::Change;
pub use config::{Config, Model, RateLimit, Route, Service, Tenant, Upstream};
pub use difference::{Difference, DifferenceKind};
pub use key::{KeyDigest, KeyIndex};
pub use platform_config::{
    CallerLimits, Engine, EngineModel, PlatformConfig, PlatformRoute, PlatformService,
    PlatformTenant, RouteKind,
};
pub use validation::{ConfigProblem, validate_config};
pub use wire::{ConfigWire, ModelWire, RouteWire, ServiceWire, TenantWire, UpstreamWire};
