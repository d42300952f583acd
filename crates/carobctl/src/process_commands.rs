//! Commands that show the state of entry processes, stop a process or remove a vm.

use std::net::SocketAddr;
use std::time::Duration;

use carob_net::HttpClient;
use carobglade::Record;
use clap::ArgMatches;
use eyre::{Result, eyre};
use serde_json::Value;

use crate::CommandOutcome;
use crate::config_commands::LogFollower;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

fn admin_address(args: &ArgMatches) -> Result<SocketAddr> {
    args.get_one::<SocketAddr>("admin").copied().ok_or_else(|| eyre!("no --admin"))
}

/// Prints the status of all vms as the process at `--admin` sees them.
pub async fn status(args: &ArgMatches) -> Result<CommandOutcome> {
    let url = format!("http://{}/status", admin_address(args)?);
    let answer = match HttpClient::pooled().get(&url, REQUEST_TIMEOUT).await {
        Ok(answer) => answer,
        Err(err) => {
            eprintln!("{err}");
            return Ok(CommandOutcome::Unreachable);
        }
    };
    let status: Value = serde_json::from_slice(&answer.body)?;
    if args.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&status)?);
    } else {
        print_status(&status);
    }
    Ok(CommandOutcome::Done)
}

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

fn print_status(status: &Value) {
    println!(
        "version {}  standing {}  slots {} of {}  claims {}  suspects {}",
        text(&status["version"]),
        text(&status["standing"]),
        text(&status["slots"]["held"]),
        text(&status["slots"]["of"]),
        text(&status["claims"]),
        text(&status["suspects"]),
    );
    println!(
        "\n{:<16} {:<14} {:>6} {:>8} {:>8} {:>6}",
        "VM", "DATA CENTRE", "ALIVE", "VERSION", "RUNNING", "SLOTS"
    );
    for member in status["members"].as_array().into_iter().flatten() {
        println!(
            "{:<16} {:<14} {:>6} {:>8} {:>8} {:>6}",
            text(&member["vm"]),
            text(&member["data_centre"]),
            text(&member["alive"]),
            text(&member["version"]),
            text(&member["running"]),
            text(&member["slots"]),
        );
    }
    println!("\n{:<16} {:>10} {:>10}  MODELS", "UPSTREAM", "MEMORY", "CHARGED");
    for (name, upstream) in status["upstreams"].as_object().into_iter().flatten() {
        let models = upstream["models"].as_array().into_iter().flatten();
        let models: Vec<String> =
            models.map(|m| format!("{} ({})", text(&m["model"]), text(&m["phase"]))).collect();
        println!(
            "{:<16} {:>10} {:>10}  {}",
            name,
            text(&upstream["memory"]),
            text(&upstream["charged"]),
            models.join(", ")
        );
    }
}

/// Asks an entry process to drain and stop.
pub async fn drain(args: &ArgMatches) -> Result<CommandOutcome> {
    let url = format!("http://{}/drain", admin_address(args)?);
    match HttpClient::pooled().post(&url, "{}".into(), REQUEST_TIMEOUT).await {
        Ok(answer) if answer.status == 202 => {
            println!("draining");
            Ok(CommandOutcome::Done)
        }
        Ok(answer) => Err(eyre!("the process answered {}", answer.status)),
        Err(err) => {
            eprintln!("{err}");
            Ok(CommandOutcome::Unreachable)
        }
    }
}

/// Appends to the log that a vm is gone, which frees the resources that the vm held.
pub async fn declare_gone(args: &ArgMatches) -> Result<CommandOutcome> {
    let log = args.get_one::<SocketAddr>("log").copied().ok_or_else(|| eyre!("no --log"))?;
    let name = args.get_one::<String>("vm").cloned().unwrap_or_default();
    let mut follower = LogFollower::open(log).await?;
    let members = follower.state().members().values();
    let Some(vm) = members.map(|member| &member.vm).find(|vm| vm.vm.as_str() == name).cloned()
    else {
        eprintln!("vm {name:?} is not a member");
        return Ok(CommandOutcome::Invalid);
    };
    let (_, offset) = follower.append(Record::ForceLeave(vm.clone())).await?;
    println!("{vm} is gone as of {offset}");
    Ok(CommandOutcome::Done)
}
