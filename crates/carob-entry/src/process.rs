//! Starts the servers and tasks of the process, handles signals, and drains on shutdown.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use carob_net::{ServeOptions, Server, SystemClock, serve};
use carobglade::{DataCentre, Join, Record, VmName};
use eyre::{Result, eyre};
use tokio::signal::unix::{SignalKind, signal};

use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::shared_state::{self, SharedState};
use crate::state::LogStream;
use crate::{
    admin, append, caller_api, dispatch, drain, log_follower, orders, peers, planning, quota_tasks,
    service_calls,
};

/// Time for which a server that refuses connections answers requests on its last ones.
const STOP_DELAY: Duration = Duration::from_millis(300);

/// Runs the process until it is stopped. Returns whether every request ended before the drain
/// timeout.
///
/// # Errors
///
/// Fails if a server, the peer endpoint or the metrics cannot be started.
pub fn run(settings: Settings) -> Result<bool> {
    let _ = rustls::crypto::ring::default_provider().install_default();
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let clock = SystemClock::default();
    let vm = VmName::from_str(&settings.vm).map_err(|err| eyre!("{err}"))?;
    let me = shared_state::new_vm_ref(vm, &clock);
    let shared = Arc::new(SharedState::new(settings, me, clock, Metrics::new()?));
    runtime.block_on(async {
        shared.peer_transport.open(shared.settings.listen.peers, &shared.settings.tls)?;
        let servers = start_servers(&shared, &runtime)?;
        start_tasks(&shared)?;
        wait_for_stop(&shared).await?;
        servers.iter().for_each(Server::announce_stop);
        let drained = tokio::select! {
            drained = drain::drain(&shared, &servers) => drained,
            () = second_signal() => false,
        };
        shared.peer_transport.close();
        tokio::task::spawn_blocking(move || {
            servers.into_iter().for_each(|server| server.stop_after(STOP_DELAY));
        })
        .await?;
        Ok(drained)
    })
}

fn start_servers(
    shared: &Arc<SharedState>,
    runtime: &tokio::runtime::Runtime,
) -> Result<Vec<Server>> {
    let callers = ServeOptions {
        address: shared.settings.listen.callers,
        threads: shared.settings.limits.threads,
        announces_idle_time: true,
        ..ServeOptions::default()
    };
    let admin = ServeOptions {
        address: shared.settings.listen.admin,
        threads: 1,
        ..ServeOptions::default()
    };
    let (caller_state, handle) = (Arc::clone(shared), runtime.handle().clone());
    let callers = serve(callers, move |request| {
        let (shared, handle) = (Arc::clone(&caller_state), handle.clone());
        async move { caller_api::handle(shared, handle, request).await }
    });
    let admin_state = Arc::clone(shared);
    let admin = serve(admin, move |request| {
        let shared = Arc::clone(&admin_state);
        async move { admin::handle(shared, request).await }
    });
    Ok(vec![callers?, admin?])
}

fn start_tasks(shared: &Arc<SharedState>) -> Result<()> {
    let data_centre =
        DataCentre::from_str(&shared.settings.data_centre).map_err(|err| eyre!("{err}"))?;
    let join = Join {
        vm: shared.me.clone(),
        data_centre,
        peer: shared.settings.listen.peers,
        admin: shared.settings.listen.admin,
    };
    log_follower::join(shared, Record::Join(join));
    for stream in [LogStream::Control, LogStream::Claims] {
        tokio::spawn(append::run(Arc::clone(shared), stream));
        tokio::spawn(log_follower::follow(Arc::clone(shared), stream));
    }
    let bootstrapping = Arc::clone(shared);
    tokio::spawn(async move { log_follower::bootstrap(&bootstrapping).await });
    tokio::spawn(peers::listen(Arc::clone(shared)));
    tokio::spawn(peers::send_heartbeats(Arc::clone(shared)));
    tokio::spawn(quota_tasks::maintain(Arc::clone(shared)));
    tokio::spawn(quota_tasks::borrow_tokens(Arc::clone(shared)));
    tokio::spawn(dispatch::run(Arc::clone(shared)));
    tokio::spawn(orders::run(Arc::clone(shared)));
    tokio::spawn(planning::run(Arc::clone(shared)));
    tokio::spawn(orders::watch_platform_list(Arc::clone(shared)));
    tokio::spawn(service_calls::release_orphans(Arc::clone(shared)));
    Ok(())
}

async fn wait_for_stop(shared: &SharedState) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => log::info!("main: stopping on SIGTERM"),
        _ = interrupt.recv() => log::info!("main: stopping on SIGINT"),
        () = shared.stop_requested.notified() => log::info!("main: stopping on request of an operator"),
    }
    Ok(())
}

/// Waits for a SIGINT during the drain, which ends the drain at once; a second SIGTERM does not.
async fn second_signal() {
    match signal(SignalKind::interrupt()) {
        Ok(mut interrupt) => {
            interrupt.recv().await;
        }
        Err(_) => std::future::pending().await,
    }
}
