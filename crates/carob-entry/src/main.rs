//! `carob-entry`: the reverse proxy that runs on every entry vm, between callers and upstreams.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use carob_entry::Settings;
use carob_net::{exit_code, report_invalid_settings};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::Result;

const PROGRAM: &str = "carob-entry";

fn command() -> Command {
    let address = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("ADDRESS")
            .help(help)
            .value_parser(value_parser!(SocketAddr))
    };
    Command::new(PROGRAM)
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
            "Exit codes:\n  0  stopped after every request was finished\n  2  bad settings\n  \
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
    settings.log_address = address("log").unwrap_or(settings.log_address);
    settings.check()?;
    Ok(settings)
}

fn main() -> ExitCode {
    let args = command().get_matches();
    let settings = match read_settings(&args) {
        Ok(settings) => settings,
        Err(err) => return report_invalid_settings(PROGRAM, &err),
    };
    if args.get_flag("check") {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    carob_entry::start_logging(&settings.log_format);
    exit_code(PROGRAM, carob_entry::run(settings))
}
