//! Command line tool for operators of carobglade.

mod api_key;
mod certificates;
mod clock_offsets;
mod config_commands;
mod explain;
mod log_lines;
mod platform_commands;
mod process_commands;
mod sizes;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use carobglade::{Change, Config, ConfigWire, DataCentre, Offset};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use eyre::{Context, Result, bail};

const EXIT_INVALID: u8 = 2;
const EXIT_CONFLICT: u8 = 3;
const EXIT_UNREACHABLE: u8 = 4;
const EXIT_NOT_YET_APPLIED: u8 = 5;

/// Outcome of a command, which decides the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The command succeeded.
    Done,
    /// The file or the arguments are not valid.
    Invalid,
    /// Another change was accepted first.
    Conflict,
    /// The log or a process does not answer.
    Unreachable,
    /// The change was accepted but is not in force everywhere within the time given.
    NotYetApplied,
}

impl From<CommandOutcome> for ExitCode {
    fn from(outcome: CommandOutcome) -> Self {
        match outcome {
            CommandOutcome::Done => ExitCode::SUCCESS,
            CommandOutcome::Invalid => ExitCode::from(EXIT_INVALID),
            CommandOutcome::Conflict => ExitCode::from(EXIT_CONFLICT),
            CommandOutcome::Unreachable => ExitCode::from(EXIT_UNREACHABLE),
            CommandOutcome::NotYetApplied => ExitCode::from(EXIT_NOT_YET_APPLIED),
        }
    }
}

fn file_arg() -> Arg {
    Arg::new("file")
        .required(true)
        .value_name("FILE")
        .help("Configuration file")
        .value_parser(value_parser!(PathBuf))
}

fn address_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDRESS")
        .required(true)
        .help(help)
        .value_parser(value_parser!(SocketAddr))
}

fn log_arg() -> Arg {
    address_arg("log", "Address of the platform's log")
}

fn data_centre_arg() -> Arg {
    Arg::new("data_centre")
        .required(true)
        .value_name("DATA_CENTRE")
        .help("Name of the data centre, as the list of upstreams has it")
        .value_parser(value_parser!(DataCentre))
}

fn admin_arg() -> Arg {
    address_arg("admin", "Admin address of any entry process")
}

fn command() -> Command {
    let flag = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
    };
    Command::new("carobctl")
        .about("Operates carobglade")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Check a configuration file and print all problems")
                .arg(file_arg()),
        )
        .subcommand(
            Command::new("diff")
                .about("Show what a file would change")
                .arg(file_arg())
                .arg(log_arg()),
        )
        .subcommand(
            Command::new("apply")
                .about("Apply a configuration file, completely or not at all")
                .arg(file_arg())
                .arg(log_arg())
                .arg(
                    Arg::new("base")
                        .long("base")
                        .value_name("VERSION")
                        .help("Apply only if this version is in force [default: the one in force]")
                        .value_parser(value_parser!(u64)),
                )
                .arg(flag("wait", "Wait until the change is in force everywhere"))
                .arg(
                    Arg::new("within")
                        .long("within")
                        .value_name("SECONDS")
                        .help("Maximum time to wait")
                        .default_value("18")
                        .value_parser(value_parser!(u64)),
                ),
        )
        .subcommand(Command::new("show").about("Print the configuration in force").arg(log_arg()))
        .subcommand(
            Command::new("status")
                .about("Show processes, versions, slots and placement")
                .arg(admin_arg())
                .arg(flag("json", "Print JSON")),
        )
        .subcommand(
            Command::new("key")
                .about("Manage API keys of callers")
                .subcommand_required(true)
                .subcommand(Command::new("new").about("Generate a key and its digest")),
        )
        .subcommand(
            Command::new("cert")
                .about("Generate certificates for the connections between vms")
                .arg(
                    Arg::new("directory")
                        .required(true)
                        .value_name("DIRECTORY")
                        .help("Where ca.pem, vm.pem and vm.key are written")
                        .value_parser(value_parser!(PathBuf)),
                ),
        )
        .subcommand(
            Command::new("drain").about("Drain an entry process and stop it").arg(admin_arg()),
        )
        .subcommand(
            Command::new("gone")
                .about("Declare that a vm was switched off and will not come back")
                .arg(Arg::new("vm").required(true).value_name("VM").help("Name of the vm"))
                .arg(log_arg()),
        )
        .subcommand(
            Command::new("platform")
                .about("Inspect what the users' platform holds")
                .subcommand_required(true)
                .subcommand(
                    Command::new("status")
                        .about("Show the version in force, vms, upstreams and their models")
                        .arg(log_arg())
                        .arg(flag("json", "Print JSON")),
                )
                .subcommand(
                    Command::new("diff")
                        .about("Show what a file would change in the configuration in force")
                        .arg(file_arg())
                        .arg(log_arg()),
                )
                .subcommand(
                    Command::new("check")
                        .about("Check the configuration that the log holds")
                        .arg(log_arg()),
                )
                .subcommand(
                    Command::new("lift")
                        .about("Lift the block of a part of prompts")
                        .arg(
                            Arg::new("part")
                                .required(true)
                                .value_name("PART")
                                .help("Id of the part"),
                        )
                        .arg(log_arg()),
                )
                .subcommand(
                    Command::new("evacuate")
                        .about("Send nothing more to the upstreams of a data centre")
                        .arg(data_centre_arg())
                        .arg(flag("end", "Take the evacuation back"))
                        .arg(log_arg()),
                ),
        )
        .subcommand(
            Command::new("sizes")
                .about("Count how requests ended by their size, from log lines")
                .arg(
                    Arg::new("files")
                        .value_name("FILE")
                        .num_args(0..)
                        .help("Log files of the vms [default: standard input]")
                        .value_parser(value_parser!(PathBuf)),
                ),
        )
        .subcommand(
            Command::new("explain")
                .about("Trace a request through log lines")
                .arg(
                    Arg::new("request")
                        .required(true)
                        .value_name("REQUEST-ID")
                        .help("Id of the request"),
                )
                .arg(
                    Arg::new("files")
                        .value_name("FILE")
                        .num_args(0..)
                        .help("Log files of the vms [default: standard input]")
                        .value_parser(value_parser!(PathBuf)),
                )
                .arg(flag("json", "Print JSON")),
        )
        .subcommand(Command::new("schema").about("Print the JSON Schema of the configuration"))
        .subcommand(
            Command::new("completions")
                .about("Print the completion script for a shell")
                .arg(Arg::new("shell").required(true).value_parser(value_parser!(Shell))),
        )
        .after_help(
            "Exit codes:\n  0  done\n  1  failed\n  2  invalid file or arguments\n  \
             3  another change was accepted first\n  4  log or process not reached\n  \
             5  accepted, but not in force everywhere in time",
        )
}

/// Reads a configuration file.
pub fn read_config(path: &PathBuf) -> Result<ConfigWire> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
    serde_json::from_str(&text).wrap_err_with(|| path.display().to_string())
}

/// Checks a configuration. Prints all problems and returns `None` if there are any.
pub fn validate_config(wire: &ConfigWire) -> Option<Config> {
    match carobglade::validate_config(wire, Offset(0)) {
        Ok(config) => Some(config),
        Err(problems) => {
            for problem in &problems {
                eprintln!("{problem}");
            }
            eprintln!("{} problems", problems.len());
            None
        }
    }
}

fn check_file(args: &ArgMatches) -> Result<CommandOutcome> {
    let Some(path) = args.get_one::<PathBuf>("file") else { bail!("no file") };
    let Some(config) = validate_config(&read_config(path)?) else {
        return Ok(CommandOutcome::Invalid);
    };
    println!(
        "valid: {} tenants, {} models, {} upstreams, {} services, {} routes",
        config.tenants.len(),
        config.models.len(),
        config.upstreams.len(),
        config.services.len(),
        config.routes.len()
    );
    Ok(CommandOutcome::Done)
}

/// Returns a one-line description of a change.
pub fn describe_change(change: &Change) -> String {
    match change {
        Change::Tenant(item) => format!("+ tenant {}", item.name),
        Change::Model(item) => format!("+ model {}", item.name),
        Change::Upstream(item) => format!("+ upstream {}", item.name),
        Change::Service(item) => format!("+ service {}", item.name),
        Change::Route(item) => format!("+ route {}", item.prefix),
        Change::RemoveTenant(name) => format!("- tenant {name}"),
        Change::RemoveModel(name) => format!("- model {name}"),
        Change::RemoveUpstream(name) => format!("- upstream {name}"),
        Change::RemoveService(name) => format!("- service {name}"),
        Change::RemoveRoute(prefix) => format!("- route {prefix}"),
    }
}

fn explain_request(args: &ArgMatches) -> Result<CommandOutcome> {
    let Some(id) = args.get_one::<String>("request") else { bail!("no request id") };
    let files = args.get_many::<PathBuf>("files").unwrap_or_default().cloned();
    explain::explain(id, &files.collect::<Vec<_>>(), args.get_flag("json"))
}

async fn platform(args: &ArgMatches) -> Result<CommandOutcome> {
    let Some((name, args)) = args.subcommand() else { bail!("no command") };
    let Some(log) = args.get_one::<SocketAddr>("log") else { bail!("no log") };
    match name {
        "status" => platform_commands::status(*log, args.get_flag("json")).await,
        "diff" => {
            let Some(path) = args.get_one::<PathBuf>("file") else { bail!("no file") };
            platform_commands::diff(*log, path).await
        }
        "lift" => {
            let Some(part) = args.get_one::<String>("part") else { bail!("no part") };
            platform_commands::lift(*log, part).await
        }
        "evacuate" => {
            let Some(place) = args.get_one::<DataCentre>("data_centre") else {
                bail!("no data centre")
            };
            platform_commands::evacuate(*log, place, !args.get_flag("end")).await
        }
        _ => platform_commands::check(*log).await,
    }
}

async fn run(name: &str, args: &ArgMatches) -> Result<CommandOutcome> {
    match name {
        "check" => check_file(args),
        "diff" => config_commands::diff(args).await,
        "apply" => config_commands::apply(args).await,
        "show" => config_commands::show(args).await,
        "status" => process_commands::status(args).await,
        "drain" => process_commands::drain(args).await,
        "gone" => process_commands::declare_gone(args).await,
        "platform" => platform(args).await,
        "explain" => explain_request(args),
        "sizes" => {
            let files = args.get_many::<PathBuf>("files").unwrap_or_default().cloned();
            sizes::sizes(&files.collect::<Vec<_>>())
        }
        "key" => api_key::generate(),
        "cert" => certificates::write(args),
        "schema" => {
            println!("{}", include_str!("../../../docs/config.schema.json").trim_end());
            Ok(CommandOutcome::Done)
        }
        "completions" => {
            if let Some(shell) = args.get_one::<Shell>("shell") {
                clap_complete::generate(*shell, &mut command(), "carobctl", &mut std::io::stdout());
            }
            Ok(CommandOutcome::Done)
        }
        other => bail!("unknown command {other:?}"),
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    let Some((name, args)) = matches.subcommand() else {
        return ExitCode::FAILURE;
    };
    match run(name, args).await {
        Ok(outcome) => outcome.into(),
        Err(err) => {
            eprintln!("carobctl: {err:#}");
            let invalid_json = err.chain().any(|cause| cause.is::<serde_json::Error>());
            if invalid_json { CommandOutcome::Invalid.into() } else { ExitCode::FAILURE }
        }
    }
}
