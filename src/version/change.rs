//! Changes between two versions of a configuration; a small change needs only a small record.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::version::{ConfigWire, ModelWire, RouteWire, ServiceWire, TenantWire, UpstreamWire};

/// One change of a configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Adds or replaces a tenant.
    Tenant(TenantWire),
    /// Adds or replaces a model.
    Model(ModelWire),
    /// Adds or replaces an upstream.
    Upstream(UpstreamWire),
    /// Adds or replaces a service.
    Service(ServiceWire),
    /// Adds or replaces a route.
    Route(RouteWire),
    /// Removes a tenant.
    RemoveTenant(String),
    /// Removes a model.
    RemoveModel(String),
    /// Removes an upstream.
    RemoveUpstream(String),
    /// Removes a service.
    RemoveService(String),
    /// Removes the route with a prefix.
    RemoveRoute(String),
}

fn upsert<T>(list: &mut Vec<T>, item: &T, name: fn(&T) -> &str)
where
    T: Clone,
{
    match list.iter_mut().find(|old| name(old) == name(item)) {
        Some(old) => *old = item.clone(),
        None => list.push(item.clone()),
    }
}

fn diff_items<T: Clone + PartialEq>(
    old: &[T],
    new: &[T],
    name: fn(&T) -> &str,
    put: fn(T) -> Change,
    remove: fn(String) -> Change,
) -> Vec<Change> {
    let before: BTreeMap<&str, &T> = old.iter().map(|item| (name(item), item)).collect();
    let after: BTreeMap<&str, &T> = new.iter().map(|item| (name(item), item)).collect();
    let gone = before.keys().filter(|key| !after.contains_key(*key));
    let changed = after.iter().filter(|(key, item)| before.get(*key) != Some(item));
    let removals = gone.map(|key| remove((*key).to_owned()));
    removals.chain(changed.map(|(_, item)| put((*item).clone()))).collect()
}

impl Change {
    /// Returns the changes that turn `old` into `new`.
    pub fn diff(old: &ConfigWire, new: &ConfigWire) -> Vec<Change> {
        let tenants = diff_items(
            &old.tenants,
            &new.tenants,
            |t| &t.name,
            Change::Tenant,
            Change::RemoveTenant,
        );
        let models =
            diff_items(&old.models, &new.models, |m| &m.name, Change::Model, Change::RemoveModel);
        let upstreams = diff_items(
            &old.upstreams,
            &new.upstreams,
            |u| &u.name,
            Change::Upstream,
            Change::RemoveUpstream,
        );
        let services = diff_items(
            &old.services,
            &new.services,
            |s| &s.name,
            Change::Service,
            Change::RemoveService,
        );
        let routes =
            diff_items(&old.routes, &new.routes, |r| &r.prefix, Change::Route, Change::RemoveRoute);
        [tenants, models, upstreams, services, routes].concat()
    }

    /// Applies this change to `wire`.
    pub fn apply_to(&self, wire: &mut ConfigWire) {
        match self {
            Change::Tenant(item) => upsert(&mut wire.tenants, item, |t| &t.name),
            Change::Model(item) => upsert(&mut wire.models, item, |m| &m.name),
            Change::Upstream(item) => upsert(&mut wire.upstreams, item, |u| &u.name),
            Change::Service(item) => upsert(&mut wire.services, item, |s| &s.name),
            Change::Route(item) => upsert(&mut wire.routes, item, |r| &r.prefix),
            Change::RemoveTenant(name) => wire.tenants.retain(|t| t.name != *name),
            Change::RemoveModel(name) => wire.models.retain(|m| m.name != *name),
            Change::RemoveUpstream(name) => wire.upstreams.retain(|u| u.name != *name),
            Change::RemoveService(name) => wire.services.retain(|s| s.name != *name),
            Change::RemoveRoute(prefix) => wire.routes.retain(|r| r.prefix != *prefix),
        }
    }
}
