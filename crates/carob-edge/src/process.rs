//! Starts the tasks of the process, handles signals, and shuts down without dropping requests.

use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use carob_net::{BootClock, Reply, Request, ServeOptions, Server, serve};
use carobglade::DECAY_INTERVAL;
use eyre::{Result, WrapErr};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{JoinHandle, LocalSet};

use crate::edge::Edge;
use crate::listener::{self, Phase};
use crate::metrics::{Metrics, ProcessState};
use crate::settings::Settings;
use crate::stop_admission::readiness_delay;
use crate::{
    evacuation, follow, group, orders, origin_log, origins, paths, peers, quarantine, readiness,
    tunnel_server,
};

const STATE_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Runs the process until SIGTERM or SIGINT; returns whether every request was finished.
///
/// # Errors
///
/// Returns an error when an address cannot be bound.
pub fn run(settings: Settings, path: PathBuf) -> Result<bool> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, async { run_local(settings, path).await })
}

async fn run_local(settings: Settings, path: PathBuf) -> Result<bool> {
    let metrics = Arc::new(Metrics::new()?);
    let edge = Edge::new(settings, Rc::new(BootClock), Arc::clone(&metrics));
    let listener = listener::bind(&edge)?;
    let socket = peers::open(&edge).await?;
    let tunnels = tunnel_server::bind(&edge).await?;
    let (phase, phase_receiver) = watch::channel(Phase::Serving);
    let readiness = readiness::bind(&edge)?;
    let metrics_server = serve_metrics(&edge, metrics)?;
    log::info!(target: "main", vm = edge.settings.vm.as_str(), data_centre = edge.settings.data_centre.as_str(), first = edge.settings.first, incarnation = edge.incarnation.0; "The process started.");
    let accepting =
        tokio::task::spawn_local(listener::accept(Rc::clone(&edge), listener, phase_receiver));
    tokio::task::spawn_local(readiness::accept(Rc::clone(&edge), readiness));
    tokio::task::spawn_local(follow::configuration(Rc::clone(&edge)));
    tokio::task::spawn_local(follow::upstreams(Rc::clone(&edge)));
    tokio::task::spawn_local(follow::announce(Rc::clone(&edge)));
    tokio::task::spawn_local(follow::vms(Rc::clone(&edge)));
    let membership = tokio::task::spawn_local(group::maintain_membership(Rc::clone(&edge)));
    tokio::task::spawn_local(orders::run_planner(Rc::clone(&edge)));
    tokio::task::spawn_local(peers::listen(Rc::clone(&edge), Rc::clone(&socket)));
    tokio::task::spawn_local(peers::run_sender(Rc::clone(&edge), Rc::clone(&socket)));
    tokio::task::spawn_local(peers::relay_usage(Rc::clone(&edge), socket));
    tokio::task::spawn_local(tunnel_server::accept(Rc::clone(&edge), tunnels));
    tokio::task::spawn_local(origin_log::run_writer(Rc::clone(&edge)));
    tokio::task::spawn_local(origin_log::keep_versions(Rc::clone(&edge)));
    tokio::task::spawn_local(quarantine::restore_verdicts(Rc::clone(&edge)));
    tokio::task::spawn_local(maintain(Rc::clone(&edge)));
    wait_for_stop(&edge, &path).await?;
    metrics_server.announce_stop();
    membership.abort();
    let all_finished = shut_down(&edge, &phase, &accepting).await;
    edge.stopped.set(true);
    let counts = &edge.stop_counts;
    log::info!(target: "main", whole = all_finished, active = edge.active_requests.get(), carried = edge.paths.carried.get(), connections = edge.open_connections.get(), responses = counts.responses(), refusals = counts.refusals(), idle = counts.idle_closes(), lost = counts.lost(); "The process stopped.");
    metrics_server.stop();
    Ok(all_finished)
}

fn serve_metrics(edge: &Edge, metrics: Arc<Metrics>) -> Result<Server> {
    let address = edge.settings.metrics_address();
    let options = ServeOptions { address, threads: 1, ..ServeOptions::default() };
    let handler = move |_: Request| {
        let metrics = Arc::clone(&metrics);
        async move { Reply::new(200, "text/plain; version=0.0.4", metrics.text()) }
    };
    serve(options, handler).wrap_err_with(|| format!("address of metrics {address}"))
}

/// Logs the state of the process and the calls and messages since the last such line.
fn log_state(edge: &Edge) {
    let now = edge.now();
    let state = process_state(edge);
    let hub = edge.hubs.borrow_mut().is_hub(now);
    let vms = edge.fleet_size();
    log::info!(target: "state", active = state.active_requests, connections = state.connections, age = state.config_age.as_millis() as u64, duties = state.duties, hub = hub, vms = vms, calls = edge.metrics.take_counts().as_str(); "Process state.");
}

async fn maintain(edge: Rc<Edge>) {
    let mut logged_at = edge.now();
    loop {
        tokio::time::sleep(DECAY_INTERVAL).await;
        if edge.now().saturating_sub(logged_at) >= STATE_LOG_INTERVAL {
            logged_at = edge.now();
            log_state(&edge);
            origins::refresh_versions(&edge);
        }
        edge.update_ready();
        edge.metrics.record_state(process_state(&edge));
        edge.pool.close_expired();
        edge.loads.borrow_mut().decay_stats();
        edge.work.borrow_mut().decay(edge.now());
        edge.suspects.borrow_mut().expire(edge.clock.unix_millis());
        quarantine::maintain(&edge);
        evacuation::update(&edge);
        origins::maintain(&edge);
        edge.id_sources.borrow_mut().expire(edge.now());
        paths::maintain(&edge);
        edge.limits.borrow_mut().expire(edge.now());
        edge.rooms.borrow_mut().expire(edge.now());
        edge.quiet_times.borrow_mut().expire(edge.now());
        edge.rate_limiter.borrow_mut().settle_if_known(edge.now());
    }
}

fn process_state(edge: &Edge) -> ProcessState {
    let now = edge.now();
    ProcessState {
        config_age: edge.view.borrow().freshness.age(now).unwrap_or_default(),
        active_requests: edge.active_requests.get(),
        connections: edge.open_connections.get(),
        duties: edge.duty_leases.borrow().held_count(now),
        blocked_parts: edge.quarantine.borrow().blocked_count(now) as u64,
    }
}

async fn wait_for_stop(edge: &Edge, path: &std::path::Path) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => report_settings_change(edge, path),
        }
    }
    Ok(())
}

/// Logs whether the settings file changed. The process keeps the settings that it read at startup.
fn report_settings_change(edge: &Edge, path: &std::path::Path) {
    match Settings::read(path) {
        Ok(settings) if settings == edge.settings => {
            log::info!(target: "main", same = true; "Settings file is unchanged.");
        }
        Ok(_) => {
            log::warn!(target: "main", same = false; "Settings file changed; the changes apply after a restart.");
        }
        Err(err) => {
            log::error!(target: "main", error:% = format!("{err:#}"); "Settings file cannot be read; the settings from startup stay in force.");
        }
    }
}

/// Withdraws readiness, hands over the duties and waits for every request, at most until the drain
/// deadline; then stops accepting connections. Reports whether every request was finished.
async fn shut_down(
    edge: &Rc<Edge>,
    phase: &watch::Sender<Phase>,
    accepting: &JoinHandle<()>,
) -> bool {
    let started = edge.now();
    log::info!(target: "main", active = edge.active_requests.get(); "The process is stopping.");
    edge.stopping.set(true);
    edge.stop_counts.reset();
    let end = started + edge.settings.stop_time();
    let (abort_margin, interval) = (edge.settings.abort_margin(), edge.settings.stop_interval());
    let rerouted_at = started + readiness_delay(edge.settings.grace());
    edge.rerouted_at.set(rerouted_at);
    edge.drain_deadline.set(Some(end));
    phase.send_replace(Phase::Stopping);
    edge.update_ready();
    leave_group(edge, rerouted_at).await;
    tokio::time::sleep(rerouted_at.saturating_sub(edge.now())).await;
    // Requests that wait for a model look for another vm.
    edge.capacity_changed.notify_waiters();
    while has_callers(edge) && edge.now() < end {
        if edge.now() + abort_margin >= end {
            abort_requests(edge, phase);
        }
        tokio::time::sleep(interval).await;
    }
    // Connections in the backlog were not read, so their callers can retry at another vm.
    accepting.abort();
    if edge.now() + abort_margin >= end {
        // The process may have been suspended until now.
        abort_requests(edge, phase);
    }
    phase.send_replace(Phase::Closing);
    // Responses that were aborted just now are still to be written.
    let end = end.max(edge.now() + interval);
    while edge.open_connections.get() > 0 && edge.now() < end {
        tokio::time::sleep(interval).await;
    }
    edge.active_requests.get() == 0
}

/// Leaves the duty group, at most until `until`: a stop does not wait for the log.
async fn leave_group(edge: &Rc<Edge>, until: Duration) {
    let time = until.saturating_sub(edge.now());
    if tokio::time::timeout(time, group::leave(edge)).await.is_err() {
        log::warn!(target: "duty", limit = time.as_millis() as u64; "Leaving the duty group took too long; the duties expire on their own.");
    }
}

/// Ends requests without a response with an error response, and heads that have arrived in part.
fn abort_requests(edge: &Edge, phase: &watch::Sender<Phase>) {
    if !edge.aborting.replace(true) {
        edge.shutdown_changed.notify_waiters();
        phase.send_replace(Phase::Aborting);
    }
}

/// Reports whether a request is in progress or arriving, here or on a connection that is carried for
/// another vm, or a caller may use its idle connection.
fn has_callers(edge: &Edge) -> bool {
    edge.active_requests.get() > 0
        || edge.partial_heads.get() > 0
        || edge.paths.carried.get() > 0
        || edge.now() < edge.promised_until.get()
}
