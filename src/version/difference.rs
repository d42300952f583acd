//! Differences between two platform configurations.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::{KeyDigest, PlatformConfig, PlatformRoute, TenantName};

/// How an item differs between two configurations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DifferenceKind {
    /// Only the new configuration has the item.
    Added,
    /// Only the old configuration has the item.
    Removed,
    /// The item has other values.
    Changed,
}

/// An item that differs between two configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// How the item differs.
    pub kind: DifferenceKind,
    /// Kind of item: `route`, `service`, `tenant`, `keys of tenant` or `limits`.
    pub section: &'static str,
    /// Name of the item; empty for `limits`.
    pub name: String,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.kind {
            DifferenceKind::Added => '+',
            DifferenceKind::Removed => '-',
            DifferenceKind::Changed => '~',
        };
        write!(f, "{}", format!("{sign} {} {}", self.section, self.name).trim_end())
    }
}

fn compare<T: PartialEq>(
    section: &'static str,
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
) -> Vec<Difference> {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let differing = names.into_iter().filter_map(|name| {
        let kind = match (old.get(name), new.get(name)) {
            (None, _) => DifferenceKind::Added,
            (_, None) => DifferenceKind::Removed,
            (Some(old), Some(new)) if old != new => DifferenceKind::Changed,
            _ => return None,
        };
        Some(Difference { kind, section, name: name.clone() })
    });
    differing.collect()
}

fn routes(config: &PlatformConfig) -> BTreeMap<String, &PlatformRoute> {
    let routes = config.routes.values().flatten();
    routes.map(|route| (route.name.clone(), route)).collect()
}

fn keys(config: &PlatformConfig) -> BTreeMap<String, BTreeSet<&KeyDigest>> {
    let mut keys: BTreeMap<String, BTreeSet<&KeyDigest>> = BTreeMap::new();
    for (digest, tenant) in &config.keys {
        keys.entry(tenant.to_string()).or_default().insert(digest);
    }
    keys
}

impl PlatformConfig {
    /// Returns the differences from this configuration to `new`; versions are not compared.
    pub fn differences(&self, new: &PlatformConfig) -> Vec<Difference> {
        let named = |config: &PlatformConfig| -> BTreeMap<String, crate::PlatformTenant> {
            let tenants = config.tenants.iter();
            tenants
                .map(|(name, tenant): (&TenantName, _)| (name.to_string(), tenant.clone()))
                .collect()
        };
        let mut all = compare("route", &routes(self), &routes(new));
        all.extend(compare("service", &self.services, &new.services));
        all.extend(compare("tenant", &named(self), &named(new)));
        all.extend(compare("keys of tenant", &keys(self), &keys(new)));
        if self.limits != new.limits {
            let (kind, section) = (DifferenceKind::Changed, "limits");
            all.push(Difference { kind, section, name: String::new() });
        }
        all
    }
}
