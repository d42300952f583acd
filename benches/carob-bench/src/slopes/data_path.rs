//! Data path of an entry process: tokens per core, added latency and memory per stream.

use std::net::SocketAddr;
use std::time::Duration;

use carob_net::{Clock, SystemClock};
use eyre::Result;

use super::{cpu_seconds_of, resident_bytes_of};
use crate::config::api_key;
use crate::report::{Report, quantile};
use crate::{Client, Fleet, FleetOptions};

const STREAM_COUNTS: [usize; 3] = [50, 100, 200];
const LATENCY_CALLS: usize = 400; // of each kind

fn options() -> FleetOptions {
    FleetOptions {
        vms: 1,
        engines: 4,
        token_interval: 20,
        batch_size: 1000,
        settings: serde_json::json!({ "limits": { "upstream": 1000 } }),
        ..FleetOptions::default()
    }
}

/// Runs concurrent streams; returns the number of tokens and the gaps between chunks in
/// milliseconds.
async fn run_streams(address: SocketAddr, count: usize, tokens: u64) -> (u64, Vec<f64>) {
    let tasks = (0..count).map(|i| {
        tokio::spawn(async move {
            let client = Client::unpooled(&api_key("apron"));
            client.chat(address, "planner", &format!("stream {i}"), tokens, true).await
        })
    });
    let tasks: Vec<_> = tasks.collect();
    let (mut total, mut gaps) = (0, Vec::new());
    for task in tasks {
        if let Ok(response) = task.await {
            total += response.body.matches("\"delta\"").count() as u64;
            gaps.extend(response.chunk_gaps.iter().map(|gap| gap.as_secs_f64() * 1000.0));
        }
    }
    (total, gaps)
}

/// Measures one vm with several numbers of concurrent streams, then its added latency.
///
/// # Errors
///
/// Fails if the fleet does not start.
pub async fn run(report: &mut Report) -> Result<()> {
    let fleet = Fleet::start(options()).await?;
    let (address, id) = (fleet.caller_address(0), fleet.vms[0].process.id());
    run_streams(address, 100, 10).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let (mut rate, mut memory, mut gap_p95) = (Vec::new(), Vec::new(), 0.0);
    for count in STREAM_COUNTS {
        let clock = SystemClock::default();
        let before = cpu_seconds_of(id);
        let load = tokio::spawn(run_streams(address, count, 250));
        tokio::time::sleep(Duration::from_millis(2500)).await;
        memory.push((count as f64, resident_bytes_of(id)));
        let (tokens, mut gaps) = load.await?;
        let cpu_seconds = (cpu_seconds_of(id) - before).max(0.01);
        rate.push(tokens as f64 / cpu_seconds);
        gap_p95 = quantile(&mut gaps, 0.95);
        let note = format!("{count} streams, {tokens} tokens in {:?}", clock.now());
        report.add("path.tokens_per_core", tokens as f64 / cpu_seconds, "1/s", &note);
    }
    report.add("path.gap_p95", gap_p95, "ms", "200 streams; the engine's own pace is 20 ms");
    report.add_slope("path.memory_per_stream", &memory, "B");
    measure_added_latency(report, &fleet).await;
    Ok(())
}

/// Measures the latency that the entry process adds, by alternating direct and proxied calls of one
/// token.
async fn measure_added_latency(report: &mut Report, fleet: &Fleet) {
    let client = Client::new(&api_key("apron"));
    let (mut direct, mut proxied) = (Vec::new(), Vec::new());
    let mut loaded_engine = fleet.engine_addresses[0];
    for engine in &fleet.engine_addresses {
        let response = client.chat(*engine, "planner", "direct", 1, false).await;
        if response.status == 200 {
            loaded_engine = *engine;
        }
    }
    for _ in 0..LATENCY_CALLS {
        let direct_response = client.chat(loaded_engine, "planner", "same", 1, false).await;
        let proxied_response =
            client.chat(fleet.caller_address(0), "planner", "same", 1, false).await;
        if direct_response.status == 200 && proxied_response.status == 200 {
            direct.push(direct_response.total.as_secs_f64() * 1000.0);
            proxied.push(proxied_response.total.as_secs_f64() * 1000.0);
        }
    }
    for (name, fraction) in [("path.added_p50", 0.5), ("path.added_p99", 0.99)] {
        let added = quantile(&mut proxied, fraction) - quantile(&mut direct, fraction);
        report.add(name, added, "ms", &format!("{} calls of each kind in turn", direct.len()));
    }
}
