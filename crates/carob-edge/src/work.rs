//! The work of requests, learned for each model and told between vms.

use std::time::Duration;

use carobglade::{ModelName, UpstreamName, VmName, WorkReport, WorkTimes};

use crate::choose::Choice;
use crate::edge::Edge;
use crate::peers::{SenderRole, WireTimes, WireWork};
use crate::request::CallerRequest;

/// Returns the work of a prompt token of the request; none where costs are not learned, since all
/// models of the service are alike.
pub fn token_cost(edge: &Edge, request: &CallerRequest) -> Option<f64> {
    let model = learned_model(request)?;
    Some(edge.work.borrow().model_cost(&request.service, model))
}

/// Returns the work of the request's prompt, in tokens of normal cost.
pub fn prompt_work(edge: &Edge, request: &CallerRequest) -> u64 {
    let cost = token_cost(edge, request).unwrap_or(1.0);
    (request.prompt_tokens() as f64 * cost).round() as u64
}

fn learned_model(request: &CallerRequest) -> Option<&ModelName> {
    let engine = request.config.engine(&request.service)?;
    request.caller_headers.model.as_ref().filter(|_| engine.has_unlike_models())
}

/// Records that the first event of a stream came after `observed`.
pub fn record_first_event(
    edge: &Edge,
    request: &CallerRequest,
    choice: &Choice,
    upstream: &UpstreamName,
    observed: Duration,
) {
    let Some((model, expected)) = learned_model(request).zip(choice.work) else {
        return;
    };
    let mut work = edge.work.borrow_mut();
    work.record_first_event(&request.service, model, upstream, observed, &expected);
}

/// Returns what this vm tells in the role `sender`.
pub fn report(edge: &Edge, sender: SenderRole) -> WireWork {
    let work = edge.work.borrow();
    if sender != SenderRole::Hub {
        return work.report(|_| false).into();
    }
    let members = edge.hubs.borrow().members(edge.now());
    work.report(|vm| members.contains(vm)).into()
}

/// Applies what the vm `vm` told.
pub fn apply(edge: &Edge, vm: &VmName, work: &WireWork) {
    edge.work.borrow_mut().apply_report(vm, WorkReport::from(work), edge.now());
}

impl From<WorkReport> for WireWork {
    fn from(report: WorkReport) -> Self {
        let wire = |(name, times): (u32, WorkTimes)| WireTimes(name, times.observed, times.nominal);
        WireWork {
            models: report.models.into_iter().map(wire).collect(),
            upstreams: report.upstreams.into_iter().map(wire).collect(),
        }
    }
}

impl From<&WireWork> for WorkReport {
    fn from(work: &WireWork) -> Self {
        let times = |wire: &WireTimes| {
            let WireTimes(name, observed, nominal) = *wire;
            (name, WorkTimes { observed, nominal })
        };
        WorkReport {
            models: work.models.iter().map(times).collect(),
            upstreams: work.upstreams.iter().map(times).collect(),
        }
    }
}
