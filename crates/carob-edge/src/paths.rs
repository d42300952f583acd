//! Sends requests to upstreams, directly or through another vm that reaches them.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use carob_platform::set_remaining_time;
use carobglade::{
    AttemptOutcome, ConnectPlan, Error, ErrorKind, PathChange, UpstreamEntry, UpstreamName,
};
use rand::Rng;

use crate::connect::{ConnectFailure, ConnectionSource, FreshConnection, Tunnel, connect};
use crate::edge::Edge;
use crate::outgoing_request::OutgoingRequest;
use crate::pool::IncomingResponse;
use crate::tunnel::{self, Refusals};

/// Time for the check of a path without a request, in which any vm may answer.
const CHECK_TIME: Duration = Duration::from_secs(3);
/// Number of other upstreams whose paths are checked when one is lost.
const MAX_CHECKS: usize = 3;
/// Time over which callers of an upstream that no vm reaches are spread when they come back.
const RETRY_SPREAD: Duration = Duration::from_millis(250);

/// Sends a request to an upstream and waits for the status and headers. It goes over an idle connection
/// only if it `may_reuse` one. The upstream is told the time until `deadline` as it is when the request
/// is sent. `source` tells how its connection came about, also if the request is given up.
///
/// # Errors
///
/// Returns `Unsent` when no byte was sent, and `TransportError` when the upstream may have received
/// some.
pub async fn send(
    edge: &Rc<Edge>,
    entry: &UpstreamEntry,
    may_reuse: bool,
    request: OutgoingRequest,
    deadline: Duration,
    source: &mut ConnectionSource,
) -> Result<IncomingResponse, AttemptOutcome> {
    let (name, address) = (&entry.name, entry.address);
    let mut request = request.build().ok_or(AttemptOutcome::Unsent)?;
    let plan = edge.paths.table.borrow().plan(name);
    if plan.reuse_idle && may_reuse {
        match edge.pool.send_idle(name, address, request, source).await {
            Ok(response) => return response,
            Err(unsent) => request = *unsent,
        }
    }
    let connection = open_connection(edge, entry, plan, deadline).await.map_err(|failure| {
        *source = ConnectionSource::Failed(failure);
        AttemptOutcome::Unsent
    })?;
    *source = match &connection {
        FreshConnection::Direct(_) => ConnectionSource::New,
        FreshConnection::Tunnel(tunnel) => ConnectionSource::Via(tunnel.vm().clone()),
    };
    let time_left = deadline.saturating_sub(edge.now());
    set_remaining_time(request.headers_mut(), time_left);
    edge.pool.send_over(name, address, connection, request).await
}

/// Opens a connection to an upstream: a direct one, or one through another vm if that is first.
///
/// # Errors
///
/// Returns why the direct connection failed when there is no other way either.
async fn open_connection(
    edge: &Rc<Edge>,
    entry: &UpstreamEntry,
    plan: ConnectPlan,
    deadline: Duration,
) -> Result<FreshConnection, ConnectFailure> {
    let mut direct = pin!(connect(entry.address, plan.timeout));
    let early = tokio::time::timeout(plan.head_start, &mut direct).await;
    let mut failure = match early {
        Ok(Ok(stream)) => {
            record_direct(edge, &entry.name);
            return Ok(FreshConnection::Direct(stream));
        }
        Ok(Err(failure)) => Some(failure),
        Err(_) => None,
    };
    let time_left = deadline.saturating_sub(edge.now());
    let mut tunnel = pin!(tunnel::open(edge, entry, time_left));
    let mut refusals = None;
    loop {
        if let (Some(failure), Some(refusals)) = (failure, refusals) {
            record_unreachable(edge, &entry.name, failure, refusals);
            return Err(failure);
        }
        tokio::select! {
            biased;
            connected = &mut direct, if failure.is_none() => match connected {
                Ok(stream) => {
                    record_direct(edge, &entry.name);
                    return Ok(FreshConnection::Direct(stream));
                }
                Err(err) => failure = Some(err),
            },
            opened = &mut tunnel, if refusals.is_none() => match opened {
                Ok(tunnel) => {
                    record_indirect(edge, &entry.name, failure, &tunnel);
                    return Ok(FreshConnection::Tunnel(tunnel));
                }
                Err(refused) => refusals = Some(refused),
            },
        }
    }
}

fn record_direct(edge: &Edge, name: &UpstreamName) {
    let change = edge.paths.table.borrow_mut().record_direct(name, edge.now());
    if let Some(PathChange::Restored(after)) = change {
        edge.metrics.record_path_change("restored");
        log::info!(target: "paths", upstream:% = name, after = after.as_millis() as u64; "The direct path to an upstream works again.");
    }
}

fn record_indirect(
    edge: &Rc<Edge>,
    name: &UpstreamName,
    failure: Option<ConnectFailure>,
    tunnel: &Tunnel,
) {
    let failed = failure.is_some();
    let mut table = edge.paths.table.borrow_mut();
    let change = table.record_indirect(name, failed, edge.now());
    let lost = table.lost_count();
    drop(table);
    if change == Some(PathChange::Lost) {
        edge.pool.close_idle(name);
        edge.paths.lost.notify_waiters();
        edge.metrics.record_path_change("lost");
        let direct = failure.map_or("slow", ConnectFailure::as_str);
        log::warn!(target: "paths", upstream:% = name, direct = direct, via:% = tunnel.vm(), lost = lost; "The direct path to an upstream is lost; another vm reaches it.");
        check_others(edge, name);
    }
}

/// Checks the paths to a few other upstreams, since a cut mostly concerns several.
fn check_others(edge: &Rc<Edge>, lost: &UpstreamName) {
    let view = edge.view.borrow();
    let table = edge.paths.table.borrow();
    let others = view.upstreams.entries().map(|entry| &entry.name).filter(|name| *name != lost);
    let doubted = others.filter(|name| !table.is_lost(name) && !table.plan(name).reuse_idle);
    let checked: Vec<UpstreamName> = doubted.take(MAX_CHECKS).cloned().collect();
    drop((view, table));
    checked.iter().for_each(|name| check(edge, name));
}

fn record_unreachable(
    edge: &Edge,
    name: &UpstreamName,
    failure: ConnectFailure,
    refusals: Refusals,
) {
    if !refusals.is_verdict() {
        return;
    }
    let refused = failure == ConnectFailure::Refused;
    let change = edge.paths.table.borrow_mut().record_unreachable(name, refused, edge.now());
    if let Some(PathChange::Unreachable(pause)) = change {
        edge.metrics.record_path_change("unreachable");
        log::info!(target: "paths", upstream:% = name, direct = failure.as_str(), pause = pause.as_millis() as u64, unreachable = refusals.unreachable, declined = refusals.declined, late = refusals.late; "No vm reached an upstream; it takes no requests for a while.");
    }
}

/// Returns the upstreams that requests may be sent to now, and the time until one of the others is
/// tried again.
pub fn reachable_upstreams(
    edge: &Edge,
    mut entries: Vec<UpstreamEntry>,
) -> (Vec<UpstreamEntry>, Option<Duration>) {
    let mut next_trial: Option<Duration> = None;
    entries.retain(|entry| match pause_left(edge, entry) {
        None => true,
        Some(wait) => {
            next_trial = Some(next_trial.map_or(wait, |next| next.min(wait)));
            false
        }
    });
    (entries, next_trial)
}

/// Returns the time until an upstream that no vm reached is tried again. One with an idle connection
/// whose path is not in doubt takes requests meanwhile.
pub fn pause_left(edge: &Edge, entry: &UpstreamEntry) -> Option<Duration> {
    let table = edge.paths.table.borrow();
    let wait = table.pause_left(&entry.name, edge.now())?;
    let has_idle =
        table.plan(&entry.name).reuse_idle && edge.pool.has_idle(&entry.name, entry.address);
    (!has_idle).then_some(wait)
}

/// Returns the error for a request whose upstreams no vm reaches for at least `wait`.
pub fn unreachable_error(wait: Duration) -> Error {
    let message =
        format!("no vm reaches an upstream; the next trial is in {} ms", wait.as_millis());
    let spread = RETRY_SPREAD.mul_f64(rand::rng().random());
    Error::new(ErrorKind::UpstreamUnavailable, message).with_retry_after(wait + spread)
}

/// Checks the direct path to an upstream that is silent or did not take an order, in the background.
pub fn check(edge: &Rc<Edge>, name: &UpstreamName) {
    let entry = edge.view.borrow().upstreams.entry(name).cloned();
    let Some(entry) = entry else {
        return;
    };
    if !edge.paths.table.borrow_mut().begin_check(name, edge.now()) {
        return;
    }
    let edge = Rc::clone(edge);
    tokio::task::spawn_local(async move { check_path(&edge, &entry).await });
}

/// Checks the direct path to an upstream whose connection broke, and reports whether it is lost while
/// another vm reaches the upstream.
pub async fn is_cut(edge: &Rc<Edge>, name: &UpstreamName) -> bool {
    let entry = edge.view.borrow().upstreams.entry(name).cloned();
    let Some(entry) = entry else {
        return false;
    };
    check_path(edge, &entry).await;
    edge.paths.table.borrow().is_lost(name)
}

async fn check_path(edge: &Rc<Edge>, entry: &UpstreamEntry) {
    let timeout = edge.paths.table.borrow().plan(&entry.name).timeout;
    match connect(entry.address, timeout).await {
        Ok(stream) => {
            record_direct(edge, &entry.name);
            edge.pool.add_idle(&entry.name, entry.address, stream).await;
        }
        Err(failure) => record_failed_check(edge, entry, failure).await,
    }
}

/// Finds out whether another vm reaches an upstream that this one does not, unless that is known.
async fn record_failed_check(edge: &Rc<Edge>, entry: &UpstreamEntry, failure: ConnectFailure) {
    if edge.paths.table.borrow_mut().record_still_lost(&entry.name, edge.now()) {
        return;
    }
    match tunnel::open(edge, entry, CHECK_TIME).await {
        Ok(tunnel) => record_indirect(edge, &entry.name, Some(failure), &tunnel),
        Err(refusals) => record_unreachable(edge, &entry.name, failure, refusals),
    }
}

/// Logs when this vm starts or stops to count as cut off from upstreams, and checks a lost path:
/// a vm without requests and orders would not learn that it works again.
pub fn maintain(edge: &Rc<Edge>) {
    let table = edge.paths.table.borrow();
    let cut_off = table.is_cut_off(edge.now());
    let unchecked = table.oldest_lost().cloned();
    let tunnels = edge.paths.vms.borrow().open_count();
    edge.metrics.record_tunnels(
        table.lost_count() as u64,
        tunnels.into(),
        edge.paths.carried.get(),
    );
    if edge.paths.cut_off.replace(cut_off) != cut_off {
        log::warn!(target: "paths", cut_off = cut_off, lost = table.lost_count(), tunnels = tunnels; "The process changed whether it counts as cut off from upstreams.");
    }
    drop(table);
    if let Some(name) = unchecked {
        check(edge, &name);
    }
}
