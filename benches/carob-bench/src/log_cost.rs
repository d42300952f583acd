//! Cost of the log: claims on idempotency keys and configuration changes.

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
const SEQUENTIAL_CALLS: usize = 200; // of each kind
const CALLERS: usize = 300;
const LOAD_DURATION: Duration = Duration::from_secs(5);
const CONFIG_CHANGES: u64 = 10;

/// Measures added latency, throughput and the time of configuration changes on one fleet.
///
/// # Errors
///
/// Fails if the fleet does not start or a configuration is not applied.
pub async fn run(report: &mut Report) -> Result<()> {
    let mut fleet = Fleet::start(FleetOptions { vms: VMS, ..FleetOptions::default() }).await?;
    measure_added_latency(report, &fleet).await;
    measure_throughput(report, &fleet).await?;
    measure_config_changes(report, &mut fleet).await
}

/// Measures the latency that a claim adds, by alternating GET calls without and POST calls with
/// one.
async fn measure_added_latency(report: &mut Report, fleet: &Fleet) {
    let client = Client::new(&api_key("apron"));
    let (mut without_claim, mut with_claim) = (Vec::new(), Vec::new());
    for i in 0..SEQUENTIAL_CALLS {
        let address = fleet.caller_address(i % VMS);
        let plain_call = client.send(Method::GET, address, "/gates/1", &[], "").await;
        let claimed_call =
            client.post_idempotent(address, "/gates/1", &format!("single-{i}"), "{}").await;
        if plain_call.status == 200 && claimed_call.status == 200 {
            without_claim.push(plain_call.total.as_secs_f64() * 1000.0);
            with_claim.push(claimed_call.total.as_secs_f64() * 1000.0);
        }
    }
    let note =
        format!("{} calls of each kind in turn, 9 vms, an append takes 2 ms", with_claim.len());
    for (name, fraction) in [("once.added_p50", 0.5), ("once.added_p99", 0.99)] {
        report.add(
            name,
            quantile(&mut with_claim, fraction) - quantile(&mut without_claim, fraction),
            "ms",
            &note,
        );
    }
}

/// Returns the number of appends to the log so far.
async fn append_count(fleet: &Fleet) -> Result<f64> {
    Ok(fleet.get(fleet.log_address, "/stats").await?["appends"].as_f64().unwrap_or(0.0))
}

/// Measures calls per second and log appends per call under concurrent calls with claims.
async fn measure_throughput(report: &mut Report, fleet: &Fleet) -> Result<()> {
    let clock = Arc::new(SystemClock::default());
    let (succeeded, failed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let before = append_count(fleet).await?;
    let callers: Vec<_> = (0..CALLERS)
        .map(|c| {
            let (address, clock) = (fleet.caller_address(c % VMS), Arc::clone(&clock));
            let (succeeded, failed) = (Arc::clone(&succeeded), Arc::clone(&failed));
            tokio::spawn(async move {
                let client = Client::new(&api_key("apron"));
                for i in 0.. {
                    if clock.now() >= LOAD_DURATION {
                        return;
                    }
                    let response = client
                        .post_idempotent(address, "/gates/1", &format!("l-{c}-{i}"), "{}")
                        .await;
                    let count = if response.status == 200 { &succeeded } else { &failed };
                    count.fetch_add(1, Ordering::SeqCst);
                }
            })
        })
        .collect();
    for caller in callers {
        caller.await?;
    }
    let seconds = clock.now().as_secs_f64();
    let succeeded = succeeded.load(Ordering::SeqCst) as f64;
    let failed = failed.load(Ordering::SeqCst);
    let appended = append_count(fleet).await? - before;
    let note =
        format!("{CALLERS} callers, {failed} refused, {:.0} appends a second", appended / seconds);
    report.add("once.calls_per_second", succeeded / seconds, "1/s", &note);
    report.add(
        "once.appends_per_call",
        appended / succeeded.max(1.0),
        "1",
        "claims and outcomes together",
    );
    Ok(())
}

/// Measures the time from the start of `carobctl apply` until the change is in force on all vms.
async fn measure_config_changes(report: &mut Report, fleet: &mut Fleet) -> Result<()> {
    let mut times = Vec::new();
    for i in 0..CONFIG_CHANGES {
        let mut config = fleet.config.clone();
        config.tenants[0].burst = 300_000 + i;
        let clock = SystemClock::default();
        fleet.apply(&config).await?;
        times.push(clock.now().as_secs_f64() * 1000.0);
    }
    let worst = quantile(&mut times, 1.0);
    report.add("config.in_force", worst, "ms", "the longest of 10 applies, 9 vms, with carobctl");
    Ok(())
}
