//! The process on every entry vm, between callers and upstreams.

mod admin;
mod append;
mod core;
mod drain;
mod forward;
mod front;
mod metrics;
mod model;
mod orders;
mod peers;
mod planning;
mod queue;
mod service;
mod settings;
mod shares;
mod tail;
mod tokens;
mod usage;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;
use std::sync::Arc;

use carob_net::{ServeOptions, Server, SystemClock, serve};
use carobglade::{DataCentre, Join, Record, VmName};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::{Result, eyre};
use logforth::append::Stderr;
use logforth::filter::env_filter::EnvFilterBuilder;
use logforth::layout::{JsonLayout, TextLayout};
use tokio::signal::unix::{SignalKind, signal};

use crate::append::Stream;
use crate::core::Core;
use crate::metrics::Metrics;
use crate::settings::Settings;

const EXIT_SETTINGS: u8 = 2;
const EXIT_START: u8 = 3;
const EXIT_CUT: u8 = 4;

fn command() -> Command {
    let address = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("ADDRESS")
            .help(help)
            .value_parser(value_parser!(SocketAddr))
    };
    Command::new("carob-entry")
        .about("Serves callers of models and services on an entry vm")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("Settings in JSON")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(Arg::new("vm").long("vm").value_name("NAME").help("Name of the vm"))
        .arg(Arg::new("data-centre").long("data-centre").value_name("NAME").help("Data centre"))
        .arg(address("listen", "Address for callers"))
        .arg(address("admin", "Address for operators"))
        .arg(address("peers", "Address for other vms"))
        .arg(address("log", "Address of the platform's log"))
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
        .after_help(
            "Exit codes:\n  0  stopped after a whole drain\n  2  bad settings\n  \
             3  could not start\n  4  stopped with requests cut off",
        )
}

fn read_settings(args: &ArgMatches) -> Result<Settings> {
    let mut settings = match args.get_one::<PathBuf>("settings") {
        Some(path) => Settings::read(path)?,
        None => Settings::default(),
    };
    if let Some(name) = args.get_one::<String>("vm") {
        settings.vm.clone_from(name);
    }
    if let Some(name) = args.get_one::<String>("data-centre") {
        settings.data_centre.clone_from(name);
    }
    let address = |name: &str| args.get_one::<SocketAddr>(name).copied();
    settings.listen.callers = address("listen").unwrap_or(settings.listen.callers);
    settings.listen.admin = address("admin").unwrap_or(settings.listen.admin);
    settings.listen.peers = address("peers").unwrap_or(settings.listen.peers);
    settings.log = address("log").unwrap_or(settings.log);
    settings.check()?;
    Ok(settings)
}

fn start_logging(format: &str) {
    let filter = EnvFilterBuilder::from_default_env_or("info").build();
    let builder = logforth::starter_log::builder();
    let builder = match format {
        "json" => builder.dispatch(|d| {
            d.filter(filter).append(Stderr::default().with_layout(JsonLayout::default()))
        }),
        _ => builder.dispatch(|d| {
            d.filter(filter).append(Stderr::default().with_layout(TextLayout::default().no_color()))
        }),
    };
    builder.apply();
}

fn main() -> ExitCode {
    let args = command().get_matches();
    let settings = match read_settings(&args) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("carob-entry: {err:#}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.get_flag("check") {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    start_logging(&settings.format);
    match run(settings) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_CUT),
        Err(err) => {
            log::error!("main: The process could not start: {err:#}.");
            eprintln!("carob-entry: {err:#}");
            ExitCode::from(EXIT_START)
        }
    }
}

fn run(settings: Settings) -> Result<bool> {
    let _ = rustls::crypto::ring::default_provider().install_default();
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let clock = SystemClock::default();
    let vm = VmName::from_str(&settings.vm).map_err(|err| eyre!("{err}"))?;
    let me = core::identity(vm, &clock);
    let core = Arc::new(Core::new(settings, me, clock, Metrics::new()?));
    runtime.block_on(async {
        core.links.open(core.settings.listen.peers, &core.settings.tls)?;
        let servers = start_servers(&core, &runtime)?;
        start_tasks(&core)?;
        wait_for_stop(&core).await?;
        let ended = tokio::select! {
            ended = drain::drain(&core) => ended,
            () = second_signal() => false,
        };
        core.links.close();
        tokio::task::spawn_blocking(move || servers.into_iter().for_each(Server::stop)).await?;
        Ok(ended)
    })
}

fn start_servers(core: &Arc<Core>, runtime: &tokio::runtime::Runtime) -> Result<Vec<Server>> {
    let callers = ServeOptions {
        address: core.settings.listen.callers,
        threads: core.settings.limits.threads,
        ..ServeOptions::default()
    };
    let admin =
        ServeOptions { address: core.settings.listen.admin, threads: 1, ..ServeOptions::default() };
    let (front, handle) = (Arc::clone(core), runtime.handle().clone());
    let callers = serve(callers, move |request| {
        let (core, handle) = (Arc::clone(&front), handle.clone());
        async move { front::handle(core, handle, request).await }
    });
    let operators = Arc::clone(core);
    let admin = serve(admin, move |request| {
        let core = Arc::clone(&operators);
        async move { admin::handle(core, request).await }
    });
    Ok(vec![callers?, admin?])
}

fn start_tasks(core: &Arc<Core>) -> Result<()> {
    let data_centre =
        DataCentre::from_str(&core.settings.data_centre).map_err(|err| eyre!("{err}"))?;
    let join = Join {
        vm: core.me.clone(),
        data_centre,
        peer: core.settings.listen.peers,
        admin: core.settings.listen.admin,
    };
    tail::join(core, Record::Join(join));
    for stream in [Stream::Control, Stream::Claims] {
        tokio::spawn(append::run(Arc::clone(core), stream));
        tokio::spawn(tail::follow(Arc::clone(core), stream));
    }
    let starting = Arc::clone(core);
    tokio::spawn(async move { tail::bootstrap(&starting).await });
    tokio::spawn(peers::listen(Arc::clone(core)));
    tokio::spawn(peers::beat(Arc::clone(core)));
    tokio::spawn(shares::keep(Arc::clone(core)));
    tokio::spawn(shares::borrow(Arc::clone(core)));
    tokio::spawn(queue::dispatch(Arc::clone(core)));
    tokio::spawn(orders::direct(Arc::clone(core)));
    tokio::spawn(planning::place(Arc::clone(core)));
    tokio::spawn(orders::watch_list(Arc::clone(core)));
    tokio::spawn(service::release_orphans(Arc::clone(core)));
    Ok(())
}

async fn wait_for_stop(core: &Core) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => log::info!("main: Stopping on SIGTERM."),
        _ = interrupt.recv() => log::info!("main: Stopping on SIGINT."),
        () = core.stop.notified() => log::info!("main: Stopping on an operator's request."),
    }
    Ok(())
}

/// A second SIGINT ends a drain at once; a second SIGTERM does not.
async fn second_signal() {
    match signal(SignalKind::interrupt()) {
        Ok(mut interrupt) => {
            interrupt.recv().await;
        }
        Err(_) => std::future::pending().await,
    }
}
