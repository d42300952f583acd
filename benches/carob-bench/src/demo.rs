//! The demo: a small fleet that shows the main job, prints what it saw and ends.

use std::time::Duration;

use carobglade::{ConfigWire, KeyDigest};
use eyre::{Result, bail};

use crate::{Client, Fleet, FleetOptions, Response};

const SAMPLE: &str = include_str!("../../../examples/demo.json");
const APRON: &str = "ck-demo-apron";
const WITHDRAWN: &str = "ck-demo-withdrawn";
const PLAN_TOKENS: u64 = 12;

/// The sample configuration, with the addresses of this run.
fn sample(fleet: &Fleet) -> Result<ConfigWire> {
    let mut wire: ConfigWire = serde_json::from_str(SAMPLE)?;
    let (mut engines, mut services) = (fleet.engines.iter(), fleet.services.iter());
    for upstream in &mut wire.upstreams {
        let addresses = if upstream.memory.is_some() { &mut engines } else { &mut services };
        if let Some(address) = addresses.next() {
            upstream.address = address.to_string();
        }
    }
    Ok(wire)
}

fn expect(what: &str, holds: bool, seen: &str) -> Result<()> {
    println!("  {} {what}: {}", if holds { "ok  " } else { "FAIL" }, seen.trim());
    if !holds {
        bail!("{what}");
    }
    Ok(())
}

fn short(response: &Response) -> String {
    format!("{} in {} ms {}", response.status, response.total.as_millis(), response.code())
}

/// Runs the demo.
///
/// # Errors
///
/// When a step does not show what it should.
pub async fn run() -> Result<()> {
    println!("starting: log, store, two engines, a gate service, three entry processes");
    let mut fleet =
        Fleet::start(FleetOptions { token_interval: 20, ..FleetOptions::default() }).await?;
    fleet.apply(&sample(&fleet)?).await?;
    println!("the sample configuration is in force on {} vms", fleet.vms.len());
    let apron = Client::unpooled(APRON);

    println!("a stand plan, streamed from a cold model");
    let plan = apron
        .chat(fleet.caller_address(0), "stand-planner", "plan the night", PLAN_TOKENS, true)
        .await;
    let words = plan.body.matches("\"delta\"").count();
    let whole = plan.status == 200 && plan.body.contains("[DONE]") && words as u64 == PLAN_TOKENS;
    let seen = format!("{words} tokens, the first after {} ms", plan.first_byte.as_millis());
    expect("the whole plan came", whole, &seen)?;

    println!("a gate command, sent twice through two vms");
    let first =
        apron.post_idempotent(fleet.caller_address(0), "/gates/12/open", "turn-1", "{}").await;
    let again =
        apron.post_idempotent(fleet.caller_address(1), "/gates/12/open", "turn-1", "{}").await;
    let ran = fleet.recorded_calls().await?.len();
    let same = first.status == 200 && again.replayed && first.body == again.body && ran == 1;
    expect("it ran once", same, &format!("{}; {}; {ran} run", short(&first), short(&again)))?;

    println!("a killed vm");
    fleet.vms[2].process.kill();
    let other =
        apron.chat(fleet.caller_address(1), "stand-planner", "plan the night", 3, false).await;
    expect("another serves", other.status == 200, &short(&other))?;
    fleet.restart_vm(2)?;
    fleet.wait_ready(2).await?;

    println!("a withdrawn key");
    let mut wire = fleet.config.clone();
    let withdrawn = KeyDigest::of(WITHDRAWN).to_string();
    wire.tenants[1].keys.retain(|key| *key != withdrawn);
    fleet.apply(&wire).await?;
    let refused = Client::unpooled(WITHDRAWN)
        .chat(fleet.caller_address(0), "stand-planner", "why", 3, false)
        .await;
    expect("it is refused", refused.code() == "invalid_key", &short(&refused))?;

    println!("a rolling replacement under load");
    for i in 0..fleet.vms.len() {
        let address = fleet.caller_address(i);
        let streams: Vec<_> = (0..4)
            .map(|_| {
                let apron = apron.clone();
                tokio::spawn(async move {
                    apron.chat(address, "stand-planner", "revise", 40, true).await
                })
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(200)).await;
        fleet.vms[i].process.signal("TERM");
        let mut whole = 0;
        for stream in streams {
            whole += usize::from(stream.await?.body.contains("[DONE]"));
        }
        let code = fleet.vms[i].process.wait(Duration::from_secs(60)).await;
        let seen = format!("{whole} of 4 streams whole, exit code {code:?}");
        expect(&format!("{} drained", fleet.vms[i].name), whole == 4 && code == Some(0), &seen)?;
        fleet.restart_vm(i)?;
        fleet.wait_ready(i).await?;
    }
    let last =
        apron.chat(fleet.caller_address(0), "stand-planner", "plan the night", 3, false).await;
    expect("the fleet serves on", last.status == 200, &short(&last))?;
    let broken = fleet.exited_fakes();
    expect("no accelerator was overcommitted", broken.is_empty(), &broken.join(" "))?;
    println!("done");
    Ok(())
}
