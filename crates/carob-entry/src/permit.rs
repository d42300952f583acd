//! Permit to send a request to an upstream.

use std::sync::Arc;

use carob_net::{Clock, SystemClock};
use carobglade::{ModelName, UpstreamName};
use tokio::sync::Notify;

use crate::state::{RequestQueue, UpstreamTracker};

/// Permit to send a request to an upstream. Dropping the permit frees the capacity.
pub struct Permit {
    /// Upstream that may receive the request.
    pub upstream: UpstreamName,
    model: ModelName,
    clock: SystemClock,
    upstreams: Arc<UpstreamTracker>,
    request_queue: Arc<RequestQueue<Permit>>,
    capacity_freed: Arc<Notify>,
}

impl Permit {
    /// Acquires capacity on an upstream for a request for `model`.
    pub fn acquire(
        upstream: UpstreamName,
        model: ModelName,
        clock: SystemClock,
        (upstreams, request_queue): (Arc<UpstreamTracker>, Arc<RequestQueue<Permit>>),
        capacity_freed: Arc<Notify>,
    ) -> Self {
        upstreams.grant_permit(&upstream);
        request_queue.record_start(&model);
        Permit { upstream, model, clock, upstreams, request_queue, capacity_freed }
    }
}

impl std::fmt::Debug for Permit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Permit({})", self.upstream)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.upstreams.return_permit(&self.upstream);
        self.request_queue.record_end(&self.model, self.clock.now());
        self.capacity_freed.notify_one();
    }
}
