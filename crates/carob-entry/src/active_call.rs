//! A call to the model API while it is under way.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use carobglade::{ModelCall, Record, RequestClass, Reservation, Tenant, Tokens, UpstreamName};

use crate::forward::UpstreamRequest;
use crate::permit::Permit;
use crate::shared_state::SharedState;
use crate::state::{InFlight, UpstreamRequirements};

/// A completion request in progress. Dropping the call without settling it refunds its reservation.
pub struct ActiveCall {
    /// State of the process.
    pub shared: Arc<SharedState>,
    /// Tenant of the caller.
    pub tenant: Tenant,
    /// Class of the request.
    pub class: RequestClass,
    /// The call as read from its body.
    pub model_call: ModelCall,
    /// The request to send to upstreams.
    pub outgoing: UpstreamRequest,
    /// Time of arrival.
    pub started: Duration,
    /// Tokens reserved until the call is settled.
    pub reservation: Option<Reservation>,
    /// Counts the request as in flight.
    pub _guard: InFlight,
}

impl Drop for ActiveCall {
    fn drop(&mut self) {
        self.settle(Tokens(0));
    }
}

impl ActiveCall {
    /// Charges the tokens used and refunds the rest of the reservation.
    pub fn settle(&mut self, used: Tokens) {
        let Some(reservation) = self.reservation.take() else {
            return;
        };
        let now = self.shared.now();
        self.shared.quota.settle(reservation, used, now);
        self.shared.metrics.count_tokens(self.tenant.name.as_str(), used.0);
    }

    /// Returns what an upstream has to offer; those in `tried` come last.
    pub fn requirements(&self, tried: &BTreeSet<UpstreamName>) -> UpstreamRequirements {
        UpstreamRequirements {
            tenant: self.tenant.name.clone(),
            class: self.class,
            model: self.model_call.model.clone(),
            prefix: self.model_call.prefix.clone(),
            cost: self.model_call.max_charge(),
            request: self.outgoing.request,
            tried: tried.clone(),
        }
    }

    fn record_time(&self) {
        let time = self.shared.now() - self.started;
        self.shared.metrics.record_request_time(self.tenant.name.as_str(), self.class, time);
    }

    /// Records a success of the upstream, also for a stream that the caller abandoned, charges the
    /// tokens, and clears the request of suspicion if it was in flight during crashes.
    pub fn finish(&mut self, permit: &Permit, used: Tokens) {
        let shared = Arc::clone(&self.shared);
        shared.upstreams.record_result(&permit.upstream, Ok(()), shared.now());
        self.settle(used);
        self.record_time();
        let crashes = shared.log_state.crash_count(self.outgoing.request);
        if crashes > 0 {
            drop(shared.control_batcher.add(Record::SuspicionCleared(self.outgoing.request)));
        }
    }
}
