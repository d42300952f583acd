//! `carob-edge`: the process on every entry vm of the users' platform.

use std::path::PathBuf;
use std::process::ExitCode;

use carob_edge::Settings;
use clap::{Arg, ArgAction, Command, value_parser};

const EXIT_SETTINGS: u8 = 2;
const EXIT_START: u8 = 3;
const EXIT_CUT: u8 = 4;

fn command() -> Command {
    Command::new("carob-edge")
        .about("Serves callers of the platform, beside the other entry vms")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("Settings in JSON; by default the file that the platform names")
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
        eprintln!("carob-edge: --settings is missing and the platform names no file");
        return ExitCode::from(EXIT_SETTINGS);
    };
    let settings = match Settings::read(&path) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("carob-edge: {err:#}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.get_flag("check") {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    carob_edge::start_logging(&settings.vm);
    match carob_edge::run(settings, path) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_CUT),
        Err(err) => {
            log::error!(target: "main", error:% = format!("{err:#}"); "The process could not start.");
            eprintln!("carob-edge: {err:#}");
            ExitCode::from(EXIT_START)
        }
    }
}
