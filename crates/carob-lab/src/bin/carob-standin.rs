//! Stand-ins for what carobglade meets, each as a process of its own.

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

fn address(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDRESS")
        .help(help)
        .required(true)
        .value_parser(value_parser!(SocketAddr))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

fn command() -> Command {
    let listen = || address("listen", "Address to listen on");
    Command::new("carob-standin")
        .about("Small stand-ins of the platform and of upstreams, for tests and the demo")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(Command::new("log").about("The platform's append-only log").arg(listen()))
        .subcommand(
            Command::new("store")
                .about("The weight store and the list of vms")
                .arg(listen())
                .arg(number("loads", "2", "Weights served at once")),
        )
        .subcommand(
            Command::new("engine")
                .about("A model engine")
                .arg(listen())
                .arg(address("store", "Address of the weight store"))
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
                        .help("Take orders with old fencing numbers"),
                )
                .arg(number("pace", "20", "Milliseconds between two tokens"))
                .arg(number("batch", "16", "Requests that run at full pace")),
        )
        .subcommand(Command::new("service").about("A plain service").arg(listen()))
        .subcommand(
            Command::new("relay")
                .about("A TCP relay that can be cut or go silent")
                .arg(listen())
                .arg(address("to", "Address to relay to"))
                .arg(address("control", "Address that takes /open, /cut and /silent")),
        )
}

fn get(args: &ArgMatches, name: &str) -> SocketAddr {
    args.get_one::<SocketAddr>(name)
        .copied()
        .unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn count(args: &ArgMatches, name: &str) -> u64 {
    args.get_one::<u64>(name).copied().unwrap_or(0)
}

fn start(name: &str, args: &ArgMatches) -> Result<Option<Server>> {
    let listen =
        ServeOptions { address: get(args, "listen"), threads: 1, ..ServeOptions::default() };
    let server = match name {
        "log" => FakeLog::serve(listen)?,
        "store" => serve_fake_store(listen, count(args, "loads") as usize)?,
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
        store: get(args, "store"),
        fencing: !args.get_flag("no-fencing"),
        pace: count(args, "pace"),
        batch: count(args, "batch") as usize,
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let matches = command().get_matches();
    let Some((name, args)) = matches.subcommand() else {
        return Ok(());
    };
    match start(name, args)? {
        Some(_server) => std::future::pending().await,
        None => {
            run_relay(get(args, "listen"), get(args, "to"), get(args, "control")).await?;
            Ok(())
        }
    }
}
