//! Runs one fake of the platform or of an upstream as a process.

use std::net::SocketAddr;

use carob_lab::fake_engine::{EngineOptions, FakeEngine};
use carob_lab::fake_log::FakeLog;
use carob_lab::fake_service::serve_fake_service;
use carob_lab::fake_store::serve_fake_store;
use carob_lab::relay::run_relay;
use carob_net::{ServeOptions, Server};
use carobglade::ByteSize;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::Result;

fn address_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDRESS")
        .help(help)
        .required(true)
        .value_parser(value_parser!(SocketAddr))
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

fn command() -> Command {
    let listen = || address_arg("listen", "Address to listen on");
    Command::new("carob-standin")
        .about("Runs a fake of the platform or of an upstream, for tests and the demo")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(Command::new("log").about("The platform's append-only log").arg(listen()))
        .subcommand(
            Command::new("store")
                .about("The weight store and the list of vms")
                .arg(listen())
                .arg(number_arg("loads", "2", "Number of sets of weights that load at once")),
        )
        .subcommand(
            Command::new("engine")
                .about("A model engine")
                .arg(listen())
                .arg(address_arg("store", "Address of the weight store"))
                .arg(Arg::new("name").long("name").required(true).help("Name in messages"))
                .arg(
                    Arg::new("memory")
                        .long("memory")
                        .default_value("64GiB")
                        .help("Accelerator memory")
                        .value_parser(|text: &str| text.parse::<ByteSize>()),
                )
                .arg(
                    Arg::new("no-fencing")
                        .long("no-fencing")
                        .action(ArgAction::SetTrue)
                        .help("Accept orders with old fencing tokens"),
                )
                .arg(number_arg("pace", "20", "Milliseconds between two tokens"))
                .arg(number_arg("batch", "16", "Number of requests that run at full speed")),
        )
        .subcommand(Command::new("service").about("A plain service").arg(listen()))
        .subcommand(
            Command::new("relay")
                .about("A TCP relay that can drop connections or stop forwarding")
                .arg(listen())
                .arg(address_arg("to", "Address to relay to"))
                .arg(address_arg("control", "Address that takes /open, /cut and /silent")),
        )
}

fn address_of(args: &ArgMatches, name: &str) -> SocketAddr {
    args.get_one::<SocketAddr>(name)
        .copied()
        .unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn number_of(args: &ArgMatches, name: &str) -> u64 {
    args.get_one::<u64>(name).copied().unwrap_or(0)
}

fn start_fake(name: &str, args: &ArgMatches) -> Result<Option<Server>> {
    let listen =
        ServeOptions { address: address_of(args, "listen"), threads: 1, ..ServeOptions::default() };
    let server = match name {
        "log" => FakeLog::serve(listen)?,
        "store" => serve_fake_store(listen, number_of(args, "loads") as usize)?,
        "engine" => FakeEngine::serve(engine_options(args), listen)?,
        "service" => serve_fake_service(listen)?,
        _ => return Ok(None),
    };
    Ok(Some(server))
}

fn engine_options(args: &ArgMatches) -> EngineOptions {
    EngineOptions {
        name: args.get_one::<String>("name").cloned().unwrap_or_default(),
        memory: args.get_one::<ByteSize>("memory").map_or(0, |size| size.0),
        store: address_of(args, "store"),
        fencing: !args.get_flag("no-fencing"),
        pace: number_of(args, "pace"),
        batch: number_of(args, "batch") as usize,
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let matches = command().get_matches();
    let Some((name, args)) = matches.subcommand() else {
        return Ok(());
    };
    match start_fake(name, args)? {
        Some(_server) => std::future::pending().await,
        None => {
            run_relay(
                address_of(args, "listen"),
                address_of(args, "to"),
                address_of(args, "control"),
            )
            .await?;
            Ok(())
        }
    }
}
