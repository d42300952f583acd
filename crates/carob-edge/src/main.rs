//! `carob-edge`: the reverse proxy that runs on every entry vm.

use std::path::PathBuf;
use std::process::ExitCode;

use carob_edge::Settings;
use carob_net::{exit_code, report_invalid_settings};
use clap::{Arg, ArgAction, Command, value_parser};
use eyre::eyre;

const PROGRAM: &str = "carob-edge";

fn command() -> Command {
    Command::new(PROGRAM)
        .about("Reverse proxy on an entry vm, between callers and upstreams")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("Settings file in JSON; by default the file that the platform names")
                .value_parser(value_parser!(PathBuf)),
        )
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

fn main() -> ExitCode {
    let args = command().get_matches();
    let given = args.get_one::<PathBuf>("settings").cloned();
    let Some(path) = given.or_else(carob_platform::settings_path) else {
        let missing = eyre!("--settings is missing and the platform names no file");
        return report_invalid_settings(PROGRAM, &missing);
    };
    let settings = match Settings::read(&path) {
        Ok(settings) => settings,
        Err(err) => return report_invalid_settings(PROGRAM, &err),
    };
    if args.get_flag("check") {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    carob_edge::start_logging(&settings.vm);
    exit_code(PROGRAM, carob_edge::run(settings, path))
}
