//! The operators' configuration file as it is written.

use serde::{Deserialize, Serialize};

/// The whole file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConfigWire {
    /// Tenants.
    pub tenants: Vec<TenantWire>,
    /// Models and adapters.
    pub models: Vec<ModelWire>,
    /// Upstreams, both model engines and plain services.
    pub upstreams: Vec<UpstreamWire>,
    /// Plain services.
    pub services: Vec<ServiceWire>,
    /// Routes to plain services.
    pub routes: Vec<RouteWire>,
}

/// A tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TenantWire {
    /// Name.
    pub name: String,
    /// Default class of the tenant's requests: `interactive` or `batch`.
    pub class: String,
    /// Digests of the tenant's keys, `sha256:` and 64 hexadecimal digits.
    pub keys: Vec<String>,
    /// Tokens per second across all vms, such as `1200/s`.
    pub rate: String,
    /// Maximum number of tokens that may be used at once.
    pub burst: u64,
    /// Names of the models and adapters that the tenant may use.
    pub models: Vec<String>,
}

/// A model, or an adapter when `base` is set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ModelWire {
    /// Name.
    pub name: String,
    /// Accelerator memory that the weights take, such as `14GiB`.
    pub size: String,
    /// The model that an adapter belongs to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub base: Option<String>,
}

/// An upstream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamWire {
    /// Name.
    pub name: String,
    /// Address and port.
    pub address: String,
    /// Data centre.
    pub data_centre: String,
    /// Accelerator memory, such as `64GiB`; absent for a plain service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory: Option<String>,
    /// Number of accelerators.
    pub accelerators: u64,
    /// Whether the upstream refuses an order with an outdated fencing token.
    pub fencing: bool,
    /// Whether the upstream is leaving and takes no new requests or models.
    #[serde(rename = "leaving")]
    pub draining: bool,
}

/// A plain service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceWire {
    /// Name.
    pub name: String,
    /// Names of the upstreams that run it.
    pub upstreams: Vec<String>,
}

/// A route to a plain service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouteWire {
    /// Path prefix, starting and ending with a slash.
    pub prefix: String,
    /// Name of the service.
    pub service: String,
    /// Whether callers need no key.
    #[serde(rename = "open")]
    pub anonymous: bool,
    /// Allowed methods.
    pub methods: Vec<String>,
    /// Methods whose calls may not be repeated.
    pub once: Vec<String>,
    /// Whether a call that may not be repeated must carry an idempotency key.
    pub key_required: bool,
    /// Tenants that may use the route; empty for all.
    pub tenants: Vec<String>,
}
