//! Requests that wait, shared fairly between tenants by the tokens they were served.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::request::Class;
use crate::{TenantName, Tokens};

const BATCH_TURN: u32 = 8; // every so many turns belong to batch requests

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Waiting<T> {
    /// Its tenant.
    pub tenant: TenantName,
    /// Its class.
    pub class: Class,
    /// The most tokens that it may use.
    pub cost: Tokens,
    /// When it is given up.
    pub until: Duration,
    /// The request.
    pub item: T,
}

#[derive(Debug)]
struct Lane<T> {
    tenants: BTreeMap<TenantName, VecDeque<Waiting<T>>>,
}

impl<T> Default for Lane<T> {
    fn default() -> Self {
        Lane { tenants: BTreeMap::new() }
    }
}

/// A queue that is fair between tenants: the next request is that of the tenant that was served
/// the fewest tokens. Interactive requests go before batch requests, which get every eighth turn.
#[derive(Debug)]
pub struct FairQueue<T> {
    lanes: BTreeMap<Class, Lane<T>>,
    served: BTreeMap<TenantName, u64>,
    turn: u32,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        FairQueue { lanes: BTreeMap::new(), served: BTreeMap::new(), turn: 0 }
    }
}

impl<T> FairQueue<T> {
    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.lanes.values().flat_map(|lane| lane.tenants.values()).map(VecDeque::len).sum()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.values().all(|lane| lane.tenants.is_empty())
    }

    /// Adds a request. A tenant that waited for nothing starts level with the least served, so
    /// that it saves up no turns.
    pub fn push(&mut self, waiting: Waiting<T>) {
        let tenant = waiting.tenant.clone();
        let busy = |name: &TenantName| self.lanes.values().any(|l| l.tenants.contains_key(name));
        if !busy(&tenant) {
            let floor = self.served.iter().filter(|(name, _)| busy(name)).map(|(_, n)| *n).min();
            let served = self.served.entry(tenant.clone()).or_insert(0);
            *served = (*served).max(floor.unwrap_or(0));
        }
        let lane = self.lanes.entry(waiting.class).or_default();
        lane.tenants.entry(tenant).or_default().push_back(waiting);
    }

    /// Takes the next request that `ready` accepts.
    pub fn pop(&mut self, ready: impl Fn(&T) -> bool) -> Option<Waiting<T>> {
        self.turn = self.turn.wrapping_add(1);
        let batch_first = self.turn.is_multiple_of(BATCH_TURN);
        let classes = if batch_first { [Class::Batch, Class::Interactive] } else { Class::ALL };
        classes.into_iter().find_map(|class| self.pop_class(class, &ready))
    }

    fn pop_class(&mut self, class: Class, ready: &impl Fn(&T) -> bool) -> Option<Waiting<T>> {
        let lane = self.lanes.get_mut(&class)?;
        let served = &self.served;
        let ready_at = |list: &VecDeque<Waiting<T>>| list.iter().position(|w| ready(&w.item));
        let candidates = lane.tenants.iter().filter_map(|(name, list)| {
            ready_at(list).map(|at| (served.get(name).copied().unwrap_or(0), name.clone(), at))
        });
        let (_, tenant, at) = candidates.min()?;
        let list = lane.tenants.get_mut(&tenant)?;
        let waiting = list.remove(at)?;
        if list.is_empty() {
            lane.tenants.remove(&tenant);
        }
        *self.served.entry(tenant).or_insert(0) += waiting.cost.0;
        Some(waiting)
    }

    /// Takes out all requests whose time is over.
    pub fn expire(&mut self, now: Duration) -> Vec<Waiting<T>> {
        let mut expired = Vec::new();
        for lane in self.lanes.values_mut() {
            for list in lane.tenants.values_mut() {
                let (over, kept): (Vec<_>, Vec<_>) =
                    list.drain(..).partition(|waiting| waiting.until <= now);
                list.extend(kept);
                expired.extend(over);
            }
            lane.tenants.retain(|_, list| !list.is_empty());
        }
        expired
    }
}
