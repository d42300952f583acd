//! Command line that measures fleets of real processes and compares the rows with bounds.

use std::path::PathBuf;
use std::process::ExitCode;

use carob_bench::report::{Bounds, Report};
use carob_bench::{demo, log_cost, policies, slopes, workloads};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::{Context, Result};

fn command() -> Command {
    let path = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .global(true)
            .value_name("FILE")
            .help(help)
            .value_parser(value_parser!(PathBuf))
    };
    Command::new("carob-bench")
        .about("Measures carobglade on loopback and compares the results with bounds")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg(path("out", "Write the rows to this file as JSON"))
        .arg(path("bounds", "Compare the rows with the bounds in this file"))
        .subcommand(
            Command::new("slopes").about("Measure how state, time and bytes grow with size").arg(
                Arg::new("parts")
                    .long("parts")
                    .action(ArgAction::SetTrue)
                    .help("Measure only the components that do no I/O"),
            ),
        )
        .subcommand(Command::new("demo").about("Demonstrate the main functions on a small fleet"))
        .subcommand(
            Command::new("duties")
                .about("Measure what claims and configuration changes cost on the log"),
        )
        .subcommand(
            Command::new("policies").about("Compare decision policies with their baselines"),
        )
        .subcommand(
            Command::new("users").about("Run both users' workloads at full size, with faults").arg(
                Arg::new("seconds")
                    .long("seconds")
                    .default_value("20")
                    .help("Duration of each load phase in seconds; the last takes twice as long")
                    .value_parser(value_parser!(u64).range(5..=600)),
            ),
        )
        .after_help("Exit codes:\n  0  all bounds kept\n  1  failed\n  2  a bound was exceeded")
}

async fn run(args: &ArgMatches) -> Result<bool> {
    let mut report = Report::default();
    match args.subcommand() {
        Some(("slopes", sub)) => slopes::run(&mut report, !sub.get_flag("parts")).await?,
        Some(("demo", _)) => demo::run().await?,
        Some(("duties", _)) => log_cost::run(&mut report).await?,
        Some(("policies", _)) => policies::run(&mut report),
        Some(("users", sub)) => {
            let seconds = sub.get_one::<u64>("seconds").copied().unwrap_or(20);
            workloads::run(&mut report, seconds).await?;
        }
        _ => {}
    }
    if let Some(path) = args.get_one::<PathBuf>("out") {
        report.write(path)?;
    }
    let Some(path) = args.get_one::<PathBuf>("bounds") else { return Ok(true) };
    let text = std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
    let bounds: Bounds = serde_json::from_str(&text)?;
    Ok(report.check_bounds(&bounds))
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(&command().get_matches()).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(2),
        Err(err) => {
            eprintln!("carob-bench: {err:#}");
            ExitCode::FAILURE
        }
    }
}
