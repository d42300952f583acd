//! Queue of waiting requests that is fair between tenants by the tokens they were served.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::request::RequestClass;
use crate::{TenantName, Tokens};

const BATCH_INTERVAL: u32 = 8; // every eighth turn serves batch requests first

/// A request in a [`FairQueue`].
#[derive(Clone, Debug)]
pub struct QueuedRequest<T> {
    /// Tenant that sent the request.
    pub tenant: TenantName,
    /// Priority class.
    pub class: RequestClass,
    /// Maximum number of tokens that the request may use.
    pub cost: Tokens,
    /// Time at which the request expires.
    pub deadline: Duration,
    /// The queued value.
    pub item: T,
}

#[derive(Debug)]
struct ClassQueue<T> {
    tenants: BTreeMap<TenantName, VecDeque<QueuedRequest<T>>>,
}

impl<T> Default for ClassQueue<T> {
    fn default() -> Self {
        ClassQueue { tenants: BTreeMap::new() }
    }
}

/// Queue that is fair between tenants: the next request belongs to the tenant that was served the
/// fewest tokens. Interactive requests go before batch requests, except that every eighth turn
/// serves batch requests first.
#[derive(Debug)]
pub struct FairQueue<T> {
    classes: BTreeMap<RequestClass, ClassQueue<T>>,
    served_tokens: BTreeMap<TenantName, u64>,
    turn: u32,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        FairQueue { classes: BTreeMap::new(), served_tokens: BTreeMap::new(), turn: 0 }
    }
}

impl<T> FairQueue<T> {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.classes
            .values()
            .flat_map(|class_queue| class_queue.tenants.values())
            .map(VecDeque::len)
            .sum()
    }

    /// Reports whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.classes.values().all(|class_queue| class_queue.tenants.is_empty())
    }

    /// Adds a request.
    ///
    /// A tenant without waiting requests starts with at least the count of the least served
    /// waiting tenant, so that idle time earns no credit.
    pub fn push(&mut self, request: QueuedRequest<T>) {
        let tenant = request.tenant.clone();
        let busy =
            |name: &TenantName| self.classes.values().any(|queue| queue.tenants.contains_key(name));
        if !busy(&tenant) {
            let floor =
                self.served_tokens.iter().filter(|(name, _)| busy(name)).map(|(_, n)| *n).min();
            let served = self.served_tokens.entry(tenant.clone()).or_insert(0);
            *served = (*served).max(floor.unwrap_or(0));
        }
        let class_queue = self.classes.entry(request.class).or_default();
        class_queue.tenants.entry(tenant).or_default().push_back(request);
    }

    /// Removes and returns the next request that `ready` accepts; `None` when it accepts none.
    pub fn pop(&mut self, ready: impl Fn(&T) -> bool) -> Option<QueuedRequest<T>> {
        self.turn = self.turn.wrapping_add(1);
        let batch_first = self.turn.is_multiple_of(BATCH_INTERVAL);
        let order = if batch_first {
            [RequestClass::Batch, RequestClass::Interactive]
        } else {
            RequestClass::ALL
        };
        order.into_iter().find_map(|class| self.pop_class(class, &ready))
    }

    fn pop_class(
        &mut self,
        class: RequestClass,
        ready: &impl Fn(&T) -> bool,
    ) -> Option<QueuedRequest<T>> {
        let class_queue = self.classes.get_mut(&class)?;
        let served = &self.served_tokens;
        let first_ready = |list: &VecDeque<QueuedRequest<T>>| {
            list.iter().position(|request| ready(&request.item))
        };
        let candidates = class_queue.tenants.iter().filter_map(|(name, list)| {
            first_ready(list).map(|at| (served.get(name).copied().unwrap_or(0), name.clone(), at))
        });
        let (_, tenant, at) = candidates.min()?;
        let list = class_queue.tenants.get_mut(&tenant)?;
        let request = list.remove(at)?;
        if list.is_empty() {
            class_queue.tenants.remove(&tenant);
        }
        *self.served_tokens.entry(tenant).or_insert(0) += request.cost.0;
        Some(request)
    }

    /// Removes and returns all requests whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<QueuedRequest<T>> {
        let mut expired = Vec::new();
        for class_queue in self.classes.values_mut() {
            for list in class_queue.tenants.values_mut() {
                let (over, kept): (Vec<_>, Vec<_>) =
                    list.drain(..).partition(|request| request.deadline <= now);
                list.extend(kept);
                expired.extend(over);
            }
            class_queue.tenants.retain(|_, list| !list.is_empty());
        }
        expired
    }
}
