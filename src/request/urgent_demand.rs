//! Where requests stand among those of their tenant, by what it asks for.
//!
//! Answers the load of a tenant that asks for more than its rate for seconds on end: without an
//! order among its requests, the many that can wait take the tokens of the few that cannot.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{TenantName, Tokens};

/// Time constant of the averages, in seconds: long enough to span many requests of a tenant at one
/// of many vms, short enough to follow a crowd.
const AVERAGING_SECONDS: f64 = 30.0;

/// Tokens that requests of one priority asked for lately, with exponential weights.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    tokens: f64,
    updated_at: Duration,
}

impl Demand {
    fn at(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.tokens * (-passed / AVERAGING_SECONDS).exp()
    }

    fn add(&mut self, tokens: Tokens, now: Duration) {
        self.tokens = self.at(now) + tokens.0 as f64;
        self.updated_at = now;
    }
}

/// What of a route decides which requests of a tenant come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UrgencyClass {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time in which a response has to begin.
    pub latency_goal: Duration,
}

impl UrgencyClass {
    /// Reports whether requests of this class come before those of `other`: they are more urgent, and
    /// can wait no longer.
    fn is_before(self, other: UrgencyClass) -> bool {
        self.priority < other.priority && self.latency_goal <= other.latency_goal
    }
}

/// Where a request stands among those of its tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Urgency {
    /// Fraction of the tenant's tokens that requests before this one ask for.
    pub above: f64,
    /// The same with those of its own class; 1 if the class comes before no other.
    pub within: f64,
}

impl Urgency {
    /// That of requests which are all alike.
    pub const ALIKE: Urgency = Urgency { above: 0.0, within: 1.0 };
}

/// The tokens that each tenant asks for, by the class of routes.
#[derive(Clone, Debug, Default)]
pub struct UrgentDemand {
    tenants: BTreeMap<TenantName, BTreeMap<UrgencyClass, Demand>>,
}

impl UrgentDemand {
    /// Records a request, admitted or not.
    pub fn record(
        &mut self,
        tenant: &TenantName,
        class: UrgencyClass,
        tokens: Tokens,
        now: Duration,
    ) {
        if !self.tenants.contains_key(tenant) {
            self.tenants.insert(tenant.clone(), BTreeMap::new());
        }
        if let Some(demands) = self.tenants.get_mut(tenant) {
            demands.entry(class).or_default().add(tokens, now);
        }
    }

    /// Returns where a request of `class` stands among those of its tenant.
    pub fn urgency(&self, tenant: &TenantName, class: UrgencyClass, now: Duration) -> Urgency {
        let Some(demands) = self.tenants.get(tenant) else {
            return Urgency::ALIKE;
        };
        let sum = |chosen: &dyn Fn(UrgencyClass) -> bool| -> f64 {
            let demands = demands.iter().filter(|(of, _)| chosen(**of));
            demands.map(|(_, demand)| demand.at(now)).sum()
        };
        let all = sum(&|_| true);
        if all <= 0.0 {
            return Urgency::ALIKE;
        }
        let above = sum(&|of| of.is_before(class)) / all;
        let comes_first = demands.keys().any(|of| class.is_before(*of));
        let within = if comes_first { above + sum(&|of| of == class) / all } else { 1.0 };
        Urgency { above, within }
    }

    /// Forgets tenants for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&TenantName) -> bool) {
        self.tenants.retain(|tenant, _| keep(tenant));
    }
}
