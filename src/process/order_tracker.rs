//! Tracks the orders that a process gives to an engine, and the state of the engine.
//!
//! Each order names the engine's count of accepted orders that it expects, and the engine refuses
//! an order if the count differs. So an order whose response was lost and the order after it cannot
//! both be carried out, as long as each is planned on the state that belongs to the expected count.
//! The platform's list is at least seconds old; an engine's own report holds count and state of one
//! moment.

use std::time::Duration;

use crate::{LoadedModel, ModelName, UpstreamEntry};

/// The model or adapter that an order changes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrderTarget {
    /// The model.
    pub model: ModelName,
    /// The adapter; none if the order concerns the model itself.
    pub adapter: Option<String>,
    /// Whether the order loads the target; otherwise it evicts the target.
    pub load: bool,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine carries out the order.
    Accepted,
    /// The engine is already in the state that the order asks for.
    Holds,
    /// Another order is in progress, or the count of orders differs from the expected one.
    Conflict,
    /// The engine accepted a higher fencing token from another process.
    Fenced,
    /// The order will not be carried out.
    Refused,
    /// No response came; the order may still be carried out.
    Unknown,
}

impl OrderOutcome {
    /// Reports whether the engine is, or soon will be, in the state that the order asks for.
    pub fn is_fulfilled(self) -> bool {
        matches!(self, OrderOutcome::Accepted | OrderOutcome::Holds)
    }
}

/// An engine's report of its own state at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// The models that the engine holds, with adapters that are loaded or loading.
    pub models: Vec<LoadedModel>,
    /// Whether the engine is carrying out an order on a model.
    pub busy: bool,
    /// Number of orders that the engine accepted since its start.
    pub sequence: u64,
}

/// Settings of an [`OrderTracker`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderTrackerSettings {
    /// Time after which an accepted order on a model counts as lost.
    pub load_timeout: Duration,
    /// Wait before the next order after one that was not carried out.
    pub retry_delay: Duration,
}

impl Default for OrderTrackerSettings {
    fn default() -> Self {
        OrderTrackerSettings {
            load_timeout: Duration::from_secs(15),
            retry_delay: Duration::from_millis(400),
        }
    }
}

/// Orders and state of one engine, as known to the process that gives the orders.
#[derive(Clone, Debug, Default)]
pub struct OrderTracker {
    settings: OrderTrackerSettings,
    started_ms: u64,
    /// Number of orders that the engine accepted since its start; none if the number is uncertain.
    sequence: Option<u64>,
    /// Models that the engine last reported, with the effects of later orders; the list may be
    /// many seconds older.
    reported: Option<Vec<LoadedModel>>,
    under_way: Option<(OrderTarget, Duration)>,
    retry_at: Duration,
    exchange: Option<Exchange>,
}

/// An exchange with the engine that is in progress.
#[derive(Clone, Debug)]
struct Exchange {
    /// The model that the orders load, if any.
    model: Option<ModelName>,
}

impl OrderTracker {
    /// Applies the engine's entry in the list. Resets the state if the engine restarted.
    pub fn apply_entry(&mut self, entry: &UpstreamEntry, now: Duration) {
        if entry.started_ms != self.started_ms {
            let settings = self.settings;
            *self =
                OrderTracker { settings, started_ms: entry.started_ms, ..OrderTracker::default() };
        }
        let done = self.under_way.as_ref().is_some_and(|(target, until)| {
            now >= *until || entry.holds(&target.model, None) == target.load
        });
        if done {
            self.under_way = None;
        }
    }

    /// Applies the engine's own report. Returns whether orders can be planned on it.
    pub fn apply_report(&mut self, report: EngineReport, now: Duration) -> bool {
        if report.busy {
            // The order in progress may be one whose response was lost.
            self.sequence = None;
            self.retry_at = now + self.settings.retry_delay;
            return false;
        }
        self.sequence = Some(report.sequence);
        self.reported = Some(report.models);
        true
    }

    /// Returns the engine's entry with the models of the last report and the effects of the orders
    /// since then.
    pub fn expected_state(&self, entry: &UpstreamEntry) -> UpstreamEntry {
        let mut state = entry.clone();
        if let Some(reported) = &self.reported {
            state.models.clone_from(reported);
        }
        if let Some(model) = self.exchange.as_ref().and_then(|exchange| exchange.model.as_ref()) {
            add_model(&mut state.models, model);
        }
        match &self.under_way {
            Some((target, _)) if target.load => add_model(&mut state.models, &target.model),
            Some((target, _)) if !target.load => {
                state.models.retain(|held| held.name != target.model);
            }
            _ => {}
        }
        state
    }

    /// Reports whether no order should be planned at `now`.
    pub fn is_busy(&self, now: Duration) -> bool {
        self.exchange.is_some() || self.under_way.is_some() || now < self.retry_at
    }

    /// Returns the count that the next order expects; none until a report or a response gives it.
    pub fn sequence(&self) -> Option<u64> {
        self.sequence
    }

    /// Records the start of an exchange with the engine, whose orders load `model`, if given.
    pub fn record_exchange_start(&mut self, model: Option<ModelName>) {
        self.exchange = Some(Exchange { model });
    }

    /// Records the end of the exchange with the engine.
    pub fn record_exchange_end(&mut self) {
        self.exchange = None;
    }

    /// Records the outcome of an order that expected the count `expected`.
    pub fn record_outcome(
        &mut self,
        target: &OrderTarget,
        expected: u64,
        outcome: OrderOutcome,
        now: Duration,
    ) {
        match outcome {
            OrderOutcome::Accepted | OrderOutcome::Holds => {
                // The engine evicts an adapter before it responds, and counts the order. The engine
                // does not count an order whose state held before.
                let counted =
                    outcome == OrderOutcome::Accepted || (target.adapter.is_some() && !target.load);
                self.sequence = counted.then_some(expected + 1);
                self.record_effect(target, outcome, now);
            }
            OrderOutcome::Conflict | OrderOutcome::Unknown => {
                self.sequence = None;
                self.retry_at = now + self.settings.retry_delay;
            }
            OrderOutcome::Fenced | OrderOutcome::Refused => {
                self.retry_at = now + self.settings.retry_delay
            }
        }
    }

    /// Applies the effect of an accepted order to the known state.
    fn record_effect(&mut self, target: &OrderTarget, outcome: OrderOutcome, now: Duration) {
        if target.adapter.is_none() && outcome == OrderOutcome::Accepted {
            self.under_way = Some((target.clone(), now + self.settings.load_timeout));
        }
        let Some(reported) = &mut self.reported else {
            return;
        };
        match &target.adapter {
            None if target.load => add_model(reported, &target.model),
            None => reported.retain(|held| held.name != target.model),
            Some(adapter) => {
                for held in reported.iter_mut().filter(|held| held.name == target.model) {
                    held.adapters.retain(|known| known != adapter);
                    if target.load {
                        held.adapters.push(adapter.clone());
                    }
                }
            }
        }
    }
}

/// Adds a model unless it is already in the list.
fn add_model(models: &mut Vec<LoadedModel>, model: &ModelName) {
    if !models.iter().any(|held| held.name == *model) {
        models.push(LoadedModel { name: model.clone(), adapters: Vec::new() });
    }
}
