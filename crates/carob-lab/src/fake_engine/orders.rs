//! Orders, memory accounting and reports.

use std::sync::Arc;
use std::time::Duration;

use carob_net::{Clock, Reply, lock};
use rand::Rng;

use super::{CRASH_DOWNTIME, FakeEngine, MAX_REPORTED_ORDERS, Order, Report, State};

impl FakeEngine {
    /// Returns the report, delayed by the lag that the faults set.
    pub(super) fn report(&self) -> Reply {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let current = state.report.clone();
        state.report_history.push_back((now, current));
        let lag = Duration::from_millis(state.faults.report_lag);
        while state.report_history.len() > 1 && state.report_history[1].0 + lag <= now {
            state.report_history.pop_front();
        }
        Reply::json(200, &state.report_history[0].1)
    }

    pub(super) fn accept_order(self: &Arc<Self>, body: &[u8]) -> Reply {
        let order: Order = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(err) => return Reply::text(400, &err.to_string()),
        };
        let (delay, lost, duplicated) = {
            let mut state = lock(&self.state);
            let (loss_rate, duplicate_rate) =
                (state.faults.order_loss_rate, state.faults.order_duplicate_rate);
            let lost = state.random.random_bool(loss_rate.clamp(0.0, 1.0));
            let duplicated = state.random.random_bool(duplicate_rate.clamp(0.0, 1.0));
            (Duration::from_millis(state.faults.order_delay), lost, duplicated)
        };
        if lost {
            return Reply::text(504, "lost");
        }
        let times = if duplicated { 2 } else { 1 };
        for i in 0..times {
            let (engine, order) = (Arc::clone(self), order.clone());
            let wait = delay + Duration::from_secs(1) * i;
            tokio::spawn(async move {
                tokio::time::sleep(wait).await;
                engine.execute(order).await;
            });
        }
        Reply::text(202, "taken")
    }

    /// Reports whether `order` may run, and records its fencing token. With fencing, an order runs
    /// at most once, only on its own incarnation of the engine and only if no later order for the
    /// model was accepted.
    pub(super) fn advance_fence(&self, order: &Order) -> bool {
        let mut state = lock(&self.state);
        if !self.options.fencing {
            return true;
        }
        if order.incarnation != state.report.incarnation {
            return false;
        }
        let fence = state.fencing_tokens.entry(order.model.clone()).or_insert(0);
        if order.order < *fence {
            return false;
        }
        *fence = order.order;
        state.accepted_orders.insert(order.order)
    }

    pub(super) async fn execute(&self, order: Order) {
        if !self.advance_fence(&order) {
            return;
        }
        let incarnation = lock(&self.state).report.incarnation;
        if order.kind == "evict" {
            let mut state = lock(&self.state);
            state.report.resident.remove(&order.model);
            state.sizes.remove(&order.model);
            self.record_done(&mut state, order.order);
            return;
        }
        self.reserve(&order);
        let path = if order.adapter { "adapter" } else { "weights" };
        let url = format!("http://{}/{path}", self.options.store);
        loop {
            let loaded = self.store_client.get(&url, Duration::from_secs(60)).await;
            if loaded.is_ok_and(|response| response.status == 200) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        let mut state = lock(&self.state);
        if state.report.incarnation == incarnation && state.sizes.contains_key(&order.model) {
            state.report.resident.insert(order.model.clone());
            self.record_done(&mut state, order.order);
        }
    }

    /// Reserves memory for a model. Aborts the process when the models need more memory than
    /// the engine has.
    pub(super) fn reserve(&self, order: &Order) {
        let mut state = lock(&self.state);
        state.sizes.insert(order.model.clone(), order.size);
        let used: u64 = state.sizes.values().sum();
        if used > self.options.memory {
            let name = &self.options.name;
            eprintln!(
                "OVERCOMMIT {name}: {used} of {} bytes, order {order:?}",
                self.options.memory
            );
            std::process::abort();
        }
    }

    pub(super) fn record_done(&self, state: &mut State, order: u64) {
        if state.report.done.len() == MAX_REPORTED_ORDERS {
            state.report.done.pop_front();
        }
        state.report.done.push_back(order);
    }

    /// Drops the models, orders, reports and cached prefixes, starts a new incarnation and keeps
    /// the engine down for [`CRASH_DOWNTIME`].
    pub(super) fn crash(&self) {
        let mut state = lock(&self.state);
        state.report = Report {
            incarnation: self.clock.unix_millis().max(state.report.incarnation + 1),
            leaving: state.report.leaving,
            ..Report::default()
        };
        state.sizes.clear();
        state.accepted_orders.clear();
        state.fencing_tokens.clear();
        state.report_history.clear();
        state.cached_prefixes.clear();
        state.crashes += 1;
        state.down_until = self.clock.now() + CRASH_DOWNTIME;
    }
}
