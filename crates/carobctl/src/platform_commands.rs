//! Commands on the users' platform: its configuration, upstreams and vms.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use carob_net::HttpClient;
use carob_platform::{
    CONFIG_KEY, DUTY_GROUP, KeyedRecord, LogRequest, OPERATOR_TOPIC, UPSTREAM_TOPIC, VM_TOPIC,
    decode_config, decode_newest_page, decode_partition_owners, decode_upstream,
    encode_keyed_record, evacuated_data_centre, evacuation_key,
};
use carobglade::{BlockRecord, DataCentre, PlatformConfig, PromptPart, UpstreamEntry, VmName};
use eyre::{Result, WrapErr, eyre};
use http::{HeaderMap, Method};
use serde_json::json;

use crate::CommandOutcome;

const LOG_TIMEOUT: Duration = Duration::from_secs(3); // per request

/// Returns the newest record of each key of `topic`, over all pages.
async fn read_newest(log: SocketAddr, topic: &str) -> Result<Vec<KeyedRecord>> {
    let client = HttpClient::unpooled();
    let mut records: Vec<KeyedRecord> = Vec::new();
    let mut after: Option<String> = None;
    loop {
        let request = LogRequest::newest(topic, after.as_deref());
        let answer = client.get(&format!("http://{log}{}", request.target), LOG_TIMEOUT).await;
        let answer = answer.map_err(|err| eyre!("log {log}: {err}"))?;
        if answer.status != 200 {
            return Err(eyre!("log {log} answered {} for {topic}", answer.status));
        }
        let page = decode_newest_page(&answer.body)?;
        after = page.next_after(after.as_deref())?;
        records.extend(page.records);
        if after.is_none() {
            return Ok(records);
        }
    }
}

/// Returns the configuration that the log holds, if any.
async fn stored_config(log: SocketAddr) -> Result<Option<PlatformConfig>> {
    let records = read_newest(log, OPERATOR_TOPIC).await?;
    let record = records.iter().find(|record| record.key == CONFIG_KEY);
    Ok(record.map(|record| decode_config(&record.value)).transpose()?)
}

/// Returns the duties of each vm according to the log.
async fn duty_holders(log: SocketAddr) -> Result<BTreeMap<String, Vec<u32>>> {
    let request = LogRequest::owners(DUTY_GROUP);
    let answer =
        HttpClient::unpooled().get(&format!("http://{log}{}", request.target), LOG_TIMEOUT).await;
    let answer = answer.map_err(|err| eyre!("log {log}: {err}"))?;
    if answer.status != 200 {
        return Err(eyre!("log {log} answered {} for the holders of duties", answer.status));
    }
    let mut holders: BTreeMap<String, Vec<u32>> = BTreeMap::new();
    for owner in decode_partition_owners(&answer.body)? {
        holders.entry(owner.member).or_default().push(owner.partition);
    }
    Ok(holders)
}

/// Prints the differences between the configuration that the log holds and a file.
///
/// # Errors
///
/// Returns an error when the log does not answer or the file cannot be read.
pub async fn diff(log: SocketAddr, file: &Path) -> Result<CommandOutcome> {
    let text = std::fs::read(file).wrap_err_with(|| file.display().to_string())?;
    let new = match decode_config(&text) {
        Ok(new) => new,
        Err(err) => {
            eprintln!("carobctl: {}: {err}", file.display());
            return Ok(CommandOutcome::Invalid);
        }
    };
    let old = stored_config(log).await?.unwrap_or_default();
    let differences = old.differences(&new);
    differences.iter().for_each(|difference| println!("{difference}"));
    println!("version {} to {}: {} differences", old.version, new.version, differences.len());
    if new.version <= old.version {
        eprintln!("carobctl: version {} would not replace version {}", new.version, old.version);
        return Ok(CommandOutcome::Conflict);
    }
    Ok(CommandOutcome::Done)
}

/// Checks that every service named by a route exists in the configuration that the log holds.
///
/// # Errors
///
/// Returns an error when the log does not answer.
pub async fn check(log: SocketAddr) -> Result<CommandOutcome> {
    let config = match stored_config(log).await {
        Ok(config) => config,
        Err(err) if err.downcast_ref::<carob_platform::DecodeError>().is_some() => {
            eprintln!("carobctl: the configuration cannot be read: {err}");
            return Ok(CommandOutcome::Invalid);
        }
        Err(err) => return Err(err),
    };
    let Some(config) = config else {
        eprintln!("carobctl: the log holds no configuration");
        return Ok(CommandOutcome::Invalid);
    };
    let routes = config.routes.values().flatten();
    let missing: Vec<String> = routes
        .flat_map(|route| route.services.iter().map(move |(service, _)| (route, service)))
        .filter(|(_, service)| !config.services.contains_key(*service))
        .map(|(route, service)| format!("route {}: no service {service}", route.name))
        .collect();
    missing.iter().for_each(|problem| println!("{problem}"));
    println!(
        "version {}: {} routes, {} services, {} tenants",
        config.version,
        config.routes.values().map(Vec::len).sum::<usize>(),
        config.services.len(),
        config.tenants.len()
    );
    Ok(if missing.is_empty() { CommandOutcome::Done } else { CommandOutcome::Invalid })
}

/// Appends a record of a keyed topic.
async fn append(log: SocketAddr, topic: &str, key: &str, value: &[u8]) -> Result<()> {
    let request = LogRequest::append(topic, encode_keyed_record(key, value));
    let url = format!("http://{log}{}", request.target);
    let client = HttpClient::unpooled();
    let sent = client.send(Method::POST, &url, HeaderMap::new(), request.body.into(), LOG_TIMEOUT);
    let answer = sent.await.map_err(|err| eyre!("log {log}: {err}"))?;
    let answer = answer.read_to_end(LOG_TIMEOUT).await.map_err(|err| eyre!("log {log}: {err}"))?;
    if answer.status != 200 {
        return Err(eyre!("log {log} answered {} for {key}", answer.status));
    }
    Ok(())
}

/// Returns the data centres that are evacuated, according to the log.
async fn evacuated_data_centres(log: SocketAddr) -> Result<Vec<DataCentre>> {
    let records = read_newest(log, OPERATOR_TOPIC).await?;
    let live = records.iter().filter(|record| !record.value.is_empty());
    Ok(live.filter_map(|record| evacuated_data_centre(&record.key)).collect())
}

/// Evacuates a data centre, or takes that back. No upstream of the list has to be there: some may be
/// about to start.
///
/// # Errors
///
/// Returns an error when the log does not answer or refuses the record.
pub async fn evacuate(
    log: SocketAddr,
    data_centre: &DataCentre,
    evacuated: bool,
) -> Result<CommandOutcome> {
    if !evacuated && !evacuated_data_centres(log).await?.contains(data_centre) {
        eprintln!("carobctl: data centre {data_centre} is not evacuated");
        return Ok(CommandOutcome::Invalid);
    }
    let value: &[u8] = if evacuated { b"{}" } else { b"" };
    append(log, OPERATOR_TOPIC, &evacuation_key(data_centre), value).await?;
    println!("{}: {data_centre}", if evacuated { "evacuated" } else { "taken back" });
    Ok(CommandOutcome::Done)
}

/// Returns the verdicts on parts of prompts that the log keeps, by their keys.
fn block_records(records: &[KeyedRecord]) -> BTreeMap<String, BlockRecord> {
    let blocks = records.iter().filter(|record| BlockRecord::is_key(&record.key));
    let decoded = blocks.filter_map(|r| Some((r.key.clone(), BlockRecord::decode(&r.value).ok()?)));
    decoded.collect()
}

/// Lifts the blocks of a part of prompts, with any model.
///
/// # Errors
///
/// Returns an error when the log does not answer or refuses the record.
pub async fn lift(log: SocketAddr, id: &str) -> Result<CommandOutcome> {
    let part = PromptPart::from_id(id);
    let records = read_newest(log, VM_TOPIC).await?;
    let blocks = block_records(&records).into_iter();
    let blocks: Vec<_> =
        blocks.filter(|(_, block)| block.suspect.part == part && block.strikes > 0).collect();
    if blocks.is_empty() {
        eprintln!("carobctl: part {id:?} is not blocked");
        return Ok(CommandOutcome::Invalid);
    }
    for (key, block) in blocks {
        append(log, VM_TOPIC, &key, &block.lifted().encode()).await?;
        println!("lifted: {}", block.suspect);
    }
    Ok(CommandOutcome::Done)
}

/// Returns the names of the models of an upstream, each with its number of adapters if any.
fn model_names(entry: &UpstreamEntry) -> String {
    let names = entry.models.iter().map(|loaded| match loaded.adapters.len() {
        0 => loaded.name.to_string(),
        count => format!("{}+{count}", loaded.name),
    });
    names.collect::<Vec<_>>().join(" ")
}

/// Prints the version, vms, duties and upstreams with their models, as the log holds them.
///
/// # Errors
///
/// Returns an error when the log does not answer.
pub async fn status(log: SocketAddr, as_json: bool) -> Result<CommandOutcome> {
    let config = stored_config(log).await?;
    let vms = read_newest(log, VM_TOPIC).await?;
    let entries = read_newest(log, UPSTREAM_TOPIC).await?;
    let decoded = entries.iter().map(|record| decode_upstream(&record.key, &record.value));
    let upstreams: Vec<UpstreamEntry> = decoded.filter_map(|entry| entry.ok()).collect();
    let unreadable = entries.len() - upstreams.len();
    let version = config.as_ref().map(|config| config.version);
    let holders = duty_holders(log).await?;
    let evacuated = evacuated_data_centres(log).await?;
    let evacuated: Vec<&str> = evacuated.iter().map(DataCentre::as_str).collect();
    // Records of other kinds stand beside those of vms, under keys that name no vm.
    let vm_records = vms.iter().filter(|record| record.key.parse::<VmName>().is_ok());
    let names: Vec<&String> = vm_records.map(|record| &record.key).collect();
    let blocked: Vec<String> = block_records(&vms)
        .values()
        .filter(|block| block.strikes > 0)
        .map(|block| block.suspect.to_string())
        .collect();
    if as_json {
        let upstream_values = upstreams.iter().map(|entry| {
            json!({ "name": entry.name.as_str(), "service": entry.service,
                    "data_centre": entry.data_centre.as_str(), "draining": entry.draining,
                    "models": model_names(entry) })
        });
        let upstream_values: Vec<serde_json::Value> = upstream_values.collect();
        let document = json!({ "version": version, "vms": names, "upstreams": upstream_values, "duties": holders,
                               "blocked": blocked, "evacuated": evacuated, "unreadable": unreadable });
        println!("{document}");
        return Ok(CommandOutcome::Done);
    }
    println!("version {}", version.map_or("none".to_owned(), |version| version.to_string()));
    println!(
        "vms that started: {}",
        names.iter().map(|n| n.as_str()).collect::<Vec<_>>().join(" ")
    );
    for (vm, duties) in &holders {
        let duties: Vec<String> = duties.iter().map(u32::to_string).collect();
        println!("duties of {vm}: {}", duties.join(" "));
    }
    blocked.iter().for_each(|suspect| println!("blocked: {suspect}"));
    evacuated.iter().for_each(|name| println!("evacuated: {name}"));
    for entry in &upstreams {
        let state = if entry.draining { "leaves" } else { "ready" };
        println!(
            "{:<16} {:<12} {:<12} {state:<7} {}",
            entry.name,
            entry.service,
            entry.data_centre,
            model_names(entry)
        );
    }
    if unreadable > 0 {
        println!("{unreadable} upstream records cannot be decoded");
    }
    Ok(CommandOutcome::Done)
}
