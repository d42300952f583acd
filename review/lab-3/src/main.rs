//! Runs one case of the review: exit code 1 if its rule was broken, 0 if it held, 2 if it could not run.

mod deadly_part;
mod fleet;
mod record;
mod resumed_streams;
mod stream_client;
mod withdrawn_key;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use eyre::{Result, bail, eyre};
use tokio::signal::unix::{SignalKind, signal};

use crate::record::Record;

/// Longest time of a run.
const MAX_TIME: Duration = Duration::from_secs(110);

/// Runs a case; returns whether its rule held.
async fn run(case: &str, trouble: bool, record: &mut Record) -> Result<bool> {
    match case {
        "resumed-streams" => resumed_streams::run(trouble, record).await,
        "withdrawn-key" => withdrawn_key::run(trouble, record).await,
        "deadly-part" => deadly_part::run(trouble, record).await,
        _ => bail!("there is no case {case}"),
    }
}

/// Completes when the run is asked to end. All processes that it started end with it.
async fn ended() {
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => drop(terminate.recv().await),
        Err(_) => std::future::pending().await,
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(mut record) = record::Record::create(&PathBuf::from(folder).join("record.txt")) else {
        return ExitCode::from(2);
    };
    let held = tokio::select! {
        held = run(&case, trouble, &mut record) => held,
        () = ended() => Err(eyre!("the run was ended")),
        () = tokio::time::sleep(MAX_TIME) => Err(eyre!("the run took too long")),
    };
    match held {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(err) => {
            record.line(format!("the case could not run: {err:#}"));
            ExitCode::from(2)
        }
    }
}
