//! Demo on a small fleet: runs through the main functions, prints each result and ends.

use std::time::Duration;

use carobglade::{ConfigWire, KeyDigest};
use eyre::{Result, bail};

use crate::{Client, Fleet, FleetOptions, Response};

const SAMPLE: &str = include_str!("../../../examples/demo.json");
const APRON_KEY: &str = "ck-demo-apron";
const REVOKED_KEY: &str = "ck-demo-withdrawn";
const PLAN_TOKENS: u64 = 12;

/// Returns the sample configuration with the addresses of this fleet's upstreams.
fn sample_config(fleet: &Fleet) -> Result<ConfigWire> {
    let mut config: ConfigWire = serde_json::from_str(SAMPLE)?;
    let (mut engines, mut services) =
        (fleet.engine_addresses.iter(), fleet.service_addresses.iter());
    for upstream in &mut config.upstreams {
        let addresses = if upstream.memory.is_some() { &mut engines } else { &mut services };
        if let Some(address) = addresses.next() {
            upstream.address = address.to_string();
        }
    }
    Ok(config)
}

fn check_step(what: &str, passed: bool, observed: &str) -> Result<()> {
    println!("  {} {what}: {}", if passed { "ok  " } else { "FAIL" }, observed.trim());
    if !passed {
        bail!("demo step failed: {what}");
    }
    Ok(())
}

fn summary(response: &Response) -> String {
    format!("{} in {} ms {}", response.status, response.total.as_millis(), response.code())
}

/// Starts a fleet and runs the demo on it.
///
/// # Errors
///
/// Fails if the fleet does not start or a step does not give the expected result.
pub async fn run() -> Result<()> {
    println!("starting: log, store, two engines, a gate service, three entry processes");
    let mut fleet =
        Fleet::start(FleetOptions { token_interval: 20, ..FleetOptions::default() }).await?;
    fleet.apply(&sample_config(&fleet)?).await?;
    println!("the sample configuration is in force on {} vms", fleet.vms.len());
    let client = Client::unpooled(APRON_KEY);

    println!("a stand plan, streamed from a cold model");
    let plan = client
        .chat(fleet.caller_address(0), "stand-planner", "plan the night", PLAN_TOKENS, true)
        .await;
    let token_count = plan.body.matches("\"delta\"").count();
    let complete =
        plan.status == 200 && plan.body.contains("[DONE]") && token_count as u64 == PLAN_TOKENS;
    let observed =
        format!("{token_count} tokens, the first after {} ms", plan.first_byte.as_millis());
    check_step("the whole plan came", complete, &observed)?;

    println!("a gate command, sent twice through two vms");
    let first =
        client.post_idempotent(fleet.caller_address(0), "/gates/12/open", "turn-1", "{}").await;
    let resent =
        client.post_idempotent(fleet.caller_address(1), "/gates/12/open", "turn-1", "{}").await;
    let run_count = fleet.recorded_calls().await?.len();
    let ran_once =
        first.status == 200 && resent.replayed && first.body == resent.body && run_count == 1;
    check_step(
        "it ran once",
        ran_once,
        &format!("{}; {}; {run_count} run", summary(&first), summary(&resent)),
    )?;

    println!("a killed vm");
    fleet.vms[2].process.kill();
    let response =
        client.chat(fleet.caller_address(1), "stand-planner", "plan the night", 3, false).await;
    check_step("another vm serves", response.status == 200, &summary(&response))?;
    fleet.restart_vm(2)?;
    fleet.wait_ready(2).await?;

    println!("a withdrawn key");
    let mut config = fleet.config.clone();
    let key_digest = KeyDigest::of(REVOKED_KEY).to_string();
    config.tenants[1].keys.retain(|key| *key != key_digest);
    fleet.apply(&config).await?;
    let response = Client::unpooled(REVOKED_KEY)
        .chat(fleet.caller_address(0), "stand-planner", "why", 3, false)
        .await;
    check_step("it is refused", response.code() == "invalid_key", &summary(&response))?;

    println!("a rolling replacement under load");
    for i in 0..fleet.vms.len() {
        let address = fleet.caller_address(i);
        let streams: Vec<_> = (0..4)
            .map(|_| {
                let client = client.clone();
                tokio::spawn(async move {
                    client.chat(address, "stand-planner", "revise", 40, true).await
                })
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(200)).await;
        fleet.vms[i].process.signal("TERM");
        let mut complete_streams = 0;
        for stream in streams {
            complete_streams += usize::from(stream.await?.body.contains("[DONE]"));
        }
        let code = fleet.vms[i].process.wait(Duration::from_secs(60)).await;
        let observed = format!("{complete_streams} of 4 streams whole, exit code {code:?}");
        check_step(
            &format!("{} drained", fleet.vms[i].name),
            complete_streams == 4 && code == Some(0),
            &observed,
        )?;
        fleet.restart_vm(i)?;
        fleet.wait_ready(i).await?;
    }
    let response =
        client.chat(fleet.caller_address(0), "stand-planner", "plan the night", 3, false).await;
    check_step("the fleet still serves", response.status == 200, &summary(&response))?;
    let exited = fleet.exited_fakes();
    check_step("no accelerator was overcommitted", exited.is_empty(), &exited.join(" "))?;
    println!("done");
    Ok(())
}
