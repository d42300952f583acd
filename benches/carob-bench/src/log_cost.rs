//! What the log costs: claims on idempotency keys, and changes of configuration.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use carob_net::{Clock, SystemClock};
use eyre::Result;
use http::Method;

use crate::config::api_key;
use crate::report::{Report, quantile};
use crate::{Client, Fleet, FleetOptions};

const VMS: usize = 9;
const SINGLE: usize = 200; // calls one after the other
const CALLERS: usize = 300;
const LOAD: Duration = Duration::from_secs(5);
const CHANGES: u64 = 10;

/// Measures.
///
/// # Errors
///
/// When the fleet does not start.
pub async fn run(report: &mut Report) -> Result<()> {
    let mut fleet = Fleet::start(FleetOptions { vms: VMS, ..FleetOptions::default() }).await?;
    added(report, &fleet).await;
    load(report, &fleet).await?;
    changes(report, &mut fleet).await
}

/// Calls with a claim against the same calls without one, in turn.
async fn added(report: &mut Report, fleet: &Fleet) {
    let client = Client::new(&api_key("apron"));
    let (mut plain, mut once) = (Vec::new(), Vec::new());
    for i in 0..SINGLE {
        let address = fleet.caller_address(i % VMS);
        let read = client.send(Method::GET, address, "/gates/1", &[], "").await;
        let call = client.post_idempotent(address, "/gates/1", &format!("single-{i}"), "{}").await;
        if read.status == 200 && call.status == 200 {
            plain.push(read.total.as_secs_f64() * 1000.0);
            once.push(call.total.as_secs_f64() * 1000.0);
        }
    }
    let note = format!("{} calls of each kind in turn, 9 vms, log takes 2 ms", once.len());
    for (name, part) in [("once.added_p50", 0.5), ("once.added_p99", 0.99)] {
        report.add(name, quantile(&mut once, part) - quantile(&mut plain, part), "ms", &note);
    }
}

async fn appends(fleet: &Fleet) -> Result<f64> {
    Ok(fleet.get(fleet.log, "/stats").await?["appends"].as_f64().unwrap_or(0.0))
}

async fn load(report: &mut Report, fleet: &Fleet) -> Result<()> {
    let clock = Arc::new(SystemClock::default());
    let (good, bad) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let before = appends(fleet).await?;
    let callers: Vec<_> = (0..CALLERS)
        .map(|c| {
            let (address, clock) = (fleet.caller_address(c % VMS), Arc::clone(&clock));
            let (good, bad) = (Arc::clone(&good), Arc::clone(&bad));
            tokio::spawn(async move {
                let client = Client::new(&api_key("apron"));
                for i in 0.. {
                    if clock.now() >= LOAD {
                        return;
                    }
                    let response = client
                        .post_idempotent(address, "/gates/1", &format!("l-{c}-{i}"), "{}")
                        .await;
                    let count = if response.status == 200 { &good } else { &bad };
                    count.fetch_add(1, Ordering::SeqCst);
                }
            })
        })
        .collect();
    for caller in callers {
        caller.await?;
    }
    let seconds = clock.now().as_secs_f64();
    let good = good.load(Ordering::SeqCst) as f64;
    let bad = bad.load(Ordering::SeqCst);
    let made = appends(fleet).await? - before;
    let note = format!("{CALLERS} callers, {bad} refused, {:.0} appends a second", made / seconds);
    report.add("once.calls_per_second", good / seconds, "1/s", &note);
    report.add("once.appends_per_call", made / good.max(1.0), "1", "claims and ends together");
    Ok(())
}

/// Time from the start of an apply until the change is in force on all vms.
async fn changes(report: &mut Report, fleet: &mut Fleet) -> Result<()> {
    let mut times = Vec::new();
    for i in 0..CHANGES {
        let mut wire = fleet.config.clone();
        wire.tenants[0].burst = 300_000 + i;
        let clock = SystemClock::default();
        fleet.apply(&wire).await?;
        times.push(clock.now().as_secs_f64() * 1000.0);
    }
    let worst = quantile(&mut times, 1.0);
    report.add("config.in_force", worst, "ms", "the longest of 10 applies, 9 vms, with carobctl");
    Ok(())
}
