//! What the process that gives orders to an engine knows of it.
//!
//! An engine refuses an order that expects another count of orders than it has accepted. So an
//! order whose answer was lost, and the next one, cannot both be carried out, as long as each is
//! planned on the state that belongs to the count that it expects. The platform's list is
//! seconds old or more; an engine's own report holds count and state of one moment.

use std::time::Duration;

use crate::{LoadedModel, ModelName, UpstreamEntry};

/// What an order changes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrderTarget {
    /// The model.
    pub model: ModelName,
    /// The adapter of it, if the order concerns only that.
    pub adapter: Option<String>,
    /// Whether it is loaded or unloaded.
    pub load: bool,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// What it asks for holds already.
    Holds,
    /// Another order is under way, or the count of orders differs.
    Conflict,
    /// A process with a higher fencing number gives orders there.
    Fenced,
    /// It will not be carried out.
    Refused,
    /// No answer came; it may be carried out yet.
    Unknown,
}

impl OrderOutcome {
    /// Whether the engine holds, or soon will hold, what the order asks for.
    pub fn is_fulfilled(self) -> bool {
        matches!(self, OrderOutcome::Accepted | OrderOutcome::Holds)
    }
}

/// What an engine reports of one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// The models that it holds, with adapters that are there or on their way.
    pub models: Vec<LoadedModel>,
    /// Whether it carries out an order on a model.
    pub busy: bool,
    /// Orders that it accepted since its start.
    pub sequence: u64,
}

/// Settings of an [`OrderTracker`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderSettings {
    /// Time after which a load is taken for lost.
    pub load_timeout: Duration,
    /// Rest after an order that was not carried out.
    pub retry_delay: Duration,
}

impl Default for OrderSettings {
    fn default() -> Self {
        OrderSettings {
            load_timeout: Duration::from_secs(15),
            retry_delay: Duration::from_millis(400),
        }
    }
}

/// What is known of one engine.
#[derive(Clone, Debug, Default)]
pub struct OrderTracker {
    settings: OrderSettings,
    started_ms: u64,
    sequence: Option<u64>,
    /// What the engine held at that count; the list may be many seconds older.
    reported: Option<Vec<LoadedModel>>,
    under_way: Option<(OrderTarget, Duration)>,
    retry_at: Duration,
    sending: Option<Sending>,
}

/// Orders that are being sent.
#[derive(Clone, Debug)]
struct Sending {
    /// The model that they load, if they do.
    model: Option<ModelName>,
}

impl OrderTracker {
    /// Takes in what the list says of the engine.
    pub fn observe_entry(&mut self, entry: &UpstreamEntry, now: Duration) {
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

    /// Takes in the engine's own report. Returns whether orders can be planned on it.
    pub fn apply_report(&mut self, report: EngineReport, now: Duration) -> bool {
        if report.busy {
            // The order that is under way may be one whose answer was lost.
            self.sequence = None;
            self.retry_at = now + self.settings.retry_delay;
            return false;
        }
        self.sequence = Some(report.sequence);
        self.reported = Some(report.models);
        true
    }

    /// The engine as far as it is known: the list's entry, with the models of the last report and
    /// of the orders since then.
    pub fn expected_state(&self, entry: &UpstreamEntry) -> UpstreamEntry {
        let mut state = entry.clone();
        if let Some(reported) = &self.reported {
            state.models.clone_from(reported);
        }
        if let Some(model) = self.sending.as_ref().and_then(|sending| sending.model.as_ref()) {
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

    /// Whether no order should be planned at `now`.
    pub fn is_busy(&self, now: Duration) -> bool {
        self.sending.is_some() || self.under_way.is_some() || now < self.retry_at
    }

    /// The count that the next order expects, once it is known.
    pub fn sequence(&self) -> Option<u64> {
        self.sequence
    }

    /// Orders are being sent, which load `model` if there is one.
    pub fn begin_sending(&mut self, model: Option<ModelName>) {
        self.sending = Some(Sending { model });
    }

    /// No more orders are being sent.
    pub fn finish_sending(&mut self) {
        self.sending = None;
    }

    /// An order that expected `expected` ended.
    pub fn record_outcome(
        &mut self,
        target: &OrderTarget,
        expected: u64,
        outcome: OrderOutcome,
        now: Duration,
    ) {
        match outcome {
            OrderOutcome::Accepted | OrderOutcome::Holds => {
                // An engine answers at once to the eviction of an adapter, and counts it; it does
                // not count what held before.
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

    /// Notes the effect of an order that the engine accepted.
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

/// Adds a model, if it is not held already.
fn add_model(models: &mut Vec<LoadedModel>, model: &ModelName) {
    if !models.iter().any(|held| held.name == *model) {
        models.push(LoadedModel { name: model.clone(), adapters: Vec::new() });
    }
}
