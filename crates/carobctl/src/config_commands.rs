//! Commands that show, compare and apply configurations. A change is applied by compare-and-set
//! against the version in force.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use carob_net::{Clock, HttpClient, LogClient, SystemClock};
use carobglade::{
    Change, ConfigChange, ConfigWire, ControlState, Offset, Record, Replay, ReplayPage,
    ReplayStatus, Verdict,
};
use clap::ArgMatches;
use eyre::{Result, bail, eyre};
use rand::Rng;

use crate::{CommandOutcome, describe_change, read_config, validate_config};

const APPEND_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_APPEND_ATTEMPTS: u32 = 10; // each appends, then looks for the entry
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Replays the control stream of the log and appends to the stream.
pub struct LogFollower {
    client: LogClient,
    replay: Replay<ControlState>,
}

impl LogFollower {
    /// Connects to the log and reads the stream up to its end.
    pub async fn open(log: SocketAddr) -> Result<Self> {
        let client = LogClient::new(&log.to_string(), "control");
        let mut follower = LogFollower { client, replay: Replay::default() };
        follower.catch_up().await?;
        Ok(follower)
    }

    /// Returns the replayed state.
    pub fn state(&self) -> &ControlState {
        self.replay.state()
    }

    /// Reads the stream up to its end.
    pub async fn catch_up(&mut self) -> Result<()> {
        loop {
            let page = self.client.read(self.replay.next_offset(), Duration::ZERO).await;
            let page = page.map_err(|err| eyre!("{err}"))?;
            let next = page.next;
            self.replay.apply_page(&ReplayPage { first: page.first, next, entries: page.entries });
            if self.replay.next_offset() >= next {
                break;
            }
        }
        match self.replay.status() {
            ReplayStatus::Current => Ok(()),
            ReplayStatus::Searching => {
                bail!("the log holds no snapshot that covers the missing entries")
            }
        }
    }

    /// Appends a record and returns the id of the entry and its offset. When no answer arrives,
    /// looks for the entry in the log before trying again with the same id; the offset is 0 for an
    /// entry that was found that way.
    pub async fn append(&mut self, record: Record) -> Result<(String, Offset)> {
        let id = format!("ctl-{:032x}", rand::rng().random::<u128>());
        for _ in 0..MAX_APPEND_ATTEMPTS {
            let records = std::slice::from_ref(&record);
            match self.client.append(&id, records, APPEND_TIMEOUT).await {
                Ok(offset) => return Ok((id, offset)),
                Err(err) => eprintln!("{err}; looking for the change in the log"),
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
            if self.catch_up().await.is_ok() && self.state().verdict(&id).is_some() {
                return Ok((id, Offset(0)));
            }
        }
        bail!("the log does not answer; what became of the change is not known (id {id})")
    }
}

fn log_address(args: &ArgMatches) -> Result<SocketAddr> {
    args.get_one::<SocketAddr>("log").copied().ok_or_else(|| eyre!("no --log"))
}

fn read_file_arg(args: &ArgMatches) -> Result<ConfigWire> {
    let path = args.get_one::<PathBuf>("file").ok_or_else(|| eyre!("no file"))?;
    read_config(path)
}

/// Prints the configuration in force.
pub async fn show(args: &ArgMatches) -> Result<CommandOutcome> {
    let follower = LogFollower::open(log_address(args)?).await?;
    eprintln!("version {}", follower.state().version());
    println!("{}", serde_json::to_string_pretty(&follower.state().config_wire())?);
    Ok(CommandOutcome::Done)
}

/// Prints the changes between the configuration in force and a file.
pub async fn diff(args: &ArgMatches) -> Result<CommandOutcome> {
    let wire = read_file_arg(args)?;
    if validate_config(&wire).is_none() {
        return Ok(CommandOutcome::Invalid);
    }
    let follower = LogFollower::open(log_address(args)?).await?;
    let changes = Change::diff(&follower.state().config_wire(), &wire);
    println!("against version {}: {} changes", follower.state().version(), changes.len());
    changes.iter().for_each(|change| println!("{}", describe_change(change)));
    Ok(CommandOutcome::Done)
}

/// Applies a configuration file.
pub async fn apply(args: &ArgMatches) -> Result<CommandOutcome> {
    let wire = read_file_arg(args)?;
    if validate_config(&wire).is_none() {
        return Ok(CommandOutcome::Invalid);
    }
    let mut follower = match LogFollower::open(log_address(args)?).await {
        Ok(follower) => follower,
        Err(err) => {
            eprintln!("{err:#}");
            return Ok(CommandOutcome::Unreachable);
        }
    };
    let state = follower.state();
    let base = args.get_one::<u64>("base").copied().map_or(state.version(), Offset);
    let changes = Change::diff(&state.config_wire(), &wire);
    if changes.is_empty() && base == state.version() {
        println!("version {base} is in force already");
        return Ok(CommandOutcome::Done);
    }
    let count = changes.len();
    let (id, _) = follower.append(Record::ConfigChange(ConfigChange { base, changes })).await?;
    follower.catch_up().await?;
    match follower.state().verdict(&id) {
        Some(Verdict::Accepted(version)) => {
            println!("version {version} was accepted: {count} changes");
            if args.get_flag("wait") {
                wait_until_applied(args, &follower, *version).await
            } else {
                Ok(CommandOutcome::Done)
            }
        }
        Some(Verdict::Rejected(reason)) => {
            eprintln!("not applied: {reason}");
            Ok(CommandOutcome::Conflict)
        }
        None => bail!("the log holds no verdict on the change (id {id})"),
    }
}

/// Waits until every member reports `version` or a later version, or the time of `--within` is up.
async fn wait_until_applied(
    args: &ArgMatches,
    follower: &LogFollower,
    version: Offset,
) -> Result<CommandOutcome> {
    let clock = SystemClock::default();
    let within = Duration::from_secs(args.get_one::<u64>("within").copied().unwrap_or(18));
    let members = follower.state().members();
    let client = HttpClient::pooled();
    let mut waiting: Vec<_> = members.values().collect();
    while clock.now() < within {
        let mut remaining = Vec::new();
        for member in waiting {
            let url = format!("http://{}/status", member.admin);
            let answer = client.get(&url, Duration::from_secs(1)).await.ok();
            let body =
                answer.and_then(|a| serde_json::from_slice::<serde_json::Value>(&a.body).ok());
            let seen = body.and_then(|body| body["version"].as_u64());
            if seen.is_none_or(|seen| seen < version.0) {
                remaining.push(member);
            }
        }
        println!("in force on {} of {} vms", members.len() - remaining.len(), members.len());
        if remaining.is_empty() {
            return Ok(CommandOutcome::Done);
        }
        waiting = remaining;
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    let names: Vec<String> = waiting.iter().map(|member| member.vm.to_string()).collect();
    eprintln!("not in force within {} s on: {}", within.as_secs(), names.join(", "));
    Ok(CommandOutcome::NotYetApplied)
}
