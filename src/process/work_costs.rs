//! Costs of models and slowness of upstreams, as requests show them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::load_tracker::name_hash;
use super::model_demand::model_hash;
use super::{WorkHistory, WorkHistorySettings, WorkTimes};
use crate::{ModelName, UpstreamName, VmName};

/// Time after which an observation of an upstream counts half: an upstream turns slow and fast again.
const UPSTREAM_HALF_LIFE: Duration = Duration::from_secs(3);
/// Time for the prompt alone below which a request says nothing of its model's cost.
const MIN_PROMPT_TIME: Duration = Duration::from_millis(10);

/// Returns the hash that stands for the backlogs of a service among those of its models.
fn backlog_hash(service: &str) -> u32 {
    name_hash(&format!("{service}\0"))
}

/// Slowness below which an upstream counts as this fast.
const MIN_SLOWNESS: f64 = 0.05;

/// What was expected of a request when it was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExpectedWork {
    /// Time to the first event at an upstream of normal speed.
    pub nominal: Duration,
    /// The part of `nominal` that the prompt takes if its model costs as its tokens say.
    pub prompt: Duration,
    /// Cost of the model that was assumed.
    pub cost: f64,
    /// The part of `nominal` that the backlog takes if all of it is still to be done.
    pub backlog: Duration,
    /// Share of the backlog that was assumed to be still to be done.
    pub backlog_left: f64,
    /// Slowness of the upstream that was assumed.
    pub slowness: f64,
}

/// What each process tells the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkReport {
    /// Times of prompts, by hash of service and model, and of the backlogs of services.
    pub models: BTreeMap<u32, WorkTimes>,
    /// Times to the first event, by hash of the upstream.
    pub upstreams: BTreeMap<u32, WorkTimes>,
}

/// Costs of the models of all services, and slowness of all upstreams.
#[derive(Clone, Debug)]
pub struct WorkCosts {
    models: WorkHistory,
    upstreams: WorkHistory,
}

impl Default for WorkCosts {
    fn default() -> Self {
        let defaults = WorkHistorySettings::default();
        let upstreams = WorkHistorySettings { half_life: UPSTREAM_HALF_LIFE, ..defaults };
        WorkCosts { models: WorkHistory::new(defaults), upstreams: WorkHistory::new(upstreams) }
    }
}

impl WorkCosts {
    /// Returns the work of a prompt token of a model, 1 if it costs as its tokens say.
    pub fn model_cost(&self, service: &str, model: &ModelName) -> f64 {
        self.models.ratio(model_hash(service, model), 1.0)
    }

    /// Returns the share of a known backlog that is still to be done when a request arrives: reports
    /// of what was done arrive late, and a prompt counts until it is read to its end.
    pub fn backlog_left(&self, service: &str) -> f64 {
        self.models.ratio(backlog_hash(service), 1.0).min(1.0)
    }

    /// Returns how slow an upstream is now, 1 at normal speed; near `prior` where little was seen.
    pub fn slowness(&self, upstream: &UpstreamName, prior: f64) -> f64 {
        self.upstreams.ratio(name_hash(upstream.as_str()), prior)
    }

    /// Records that the first event of a request for `model` came after `observed`.
    pub fn record_first_event(
        &mut self,
        service: &str,
        model: &ModelName,
        upstream: &UpstreamName,
        observed: Duration,
        expected: &ExpectedWork,
    ) {
        self.upstreams.record(name_hash(upstream.as_str()), observed, expected.nominal);
        let at_normal_speed = observed.div_f64(expected.slowness.max(MIN_SLOWNESS));
        let own = expected.prompt.mul_f64(expected.cost);
        let queued = expected.backlog.mul_f64(expected.backlog_left);
        // What waited behind other work says more of that work than of the model.
        if expected.backlog > own {
            let others = expected.nominal.saturating_sub(queued);
            let observed = at_normal_speed.saturating_sub(others);
            self.models.record(backlog_hash(service), observed, expected.backlog);
        }
        let others = expected.nominal.saturating_sub(own);
        if expected.prompt >= MIN_PROMPT_TIME && others <= expected.prompt {
            let observed = at_normal_speed.saturating_sub(others);
            self.models.record(model_hash(service, model), observed, expected.prompt);
        }
    }

    /// Returns the sums of this process and of the vms that `vms` accepts.
    pub fn report(&self, vms: impl Fn(&VmName) -> bool) -> WorkReport {
        WorkReport { models: self.models.sum_over(&vms), upstreams: self.upstreams.sum_over(&vms) }
    }

    /// Returns the sums of all processes but `vm`.
    pub fn excluding_vm(&self, vm: &VmName) -> WorkReport {
        WorkReport {
            models: self.models.excluding_vm(vm),
            upstreams: self.upstreams.excluding_vm(vm),
        }
    }

    /// Applies what a peer told, in place of what it told before.
    pub fn apply_report(&mut self, vm: &VmName, report: WorkReport, now: Duration) {
        self.models.apply_report(vm, report.models, now);
        self.upstreams.apply_report(vm, report.upstreams, now);
    }

    /// Forgets how slow an upstream was that is gone or has started again.
    pub fn reset_upstream(&mut self, upstream: &UpstreamName) {
        self.upstreams.reset(name_hash(upstream.as_str()));
    }

    /// Lets older observations count less.
    pub fn decay(&mut self, now: Duration) {
        self.models.decay(now);
        self.upstreams.decay(now);
    }
}
