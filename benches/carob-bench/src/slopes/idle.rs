//! Idle fleets of real processes: processor time, memory and traffic of each process.

use std::time::Duration;

use eyre::Result;

use super::{cpu_seconds_of, resident_bytes_of};
use crate::report::Report;
use crate::{Fleet, FleetOptions};

const SETTLE_TIME: Duration = Duration::from_secs(6);
const MEASURE_TIME: Duration = Duration::from_secs(10);

/// Returns the bytes that all vms have exchanged with peers, from their metrics.
async fn peer_bytes(fleet: &Fleet) -> f64 {
    let mut sum = 0.0;
    for vm in &fleet.vms {
        let url = format!("http://{}/metrics", vm.admin_address);
        let response = carob_net::HttpClient::unpooled().get(&url, Duration::from_secs(3)).await;
        let text =
            response.map(|a| String::from_utf8_lossy(&a.body).into_owned()).unwrap_or_default();
        let lines = text.lines().filter(|line| line.starts_with("peer_bytes_total"));
        sum += lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum::<f64>();
    }
    sum
}

/// Measures idle fleets of several sizes.
///
/// # Errors
///
/// Fails if a fleet does not start.
pub async fn run(report: &mut Report) -> Result<()> {
    let (mut cpu_percent, mut peer_kilobytes, mut memory, mut appends) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for vms in [3, 6, 9] {
        let fleet = Fleet::start(FleetOptions { vms, ..FleetOptions::default() }).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let cpu_seconds = |fleet: &Fleet| -> f64 {
            fleet.vms.iter().map(|vm| cpu_seconds_of(vm.process.id())).sum()
        };
        let append_count = async |fleet: &Fleet| -> Result<f64> {
            Ok(fleet.get(fleet.log_address, "/stats").await?["appends"].as_f64().unwrap_or(0.0))
        };
        let before = (cpu_seconds(&fleet), peer_bytes(&fleet).await, append_count(&fleet).await?);
        tokio::time::sleep(MEASURE_TIME).await;
        let after = (cpu_seconds(&fleet), peer_bytes(&fleet).await, append_count(&fleet).await?);
        let (size, seconds) = (vms as f64, MEASURE_TIME.as_secs_f64());
        cpu_percent.push((size, (after.0 - before.0) / seconds / size * 100.0));
        peer_kilobytes.push((size, (after.1 - before.1) / seconds / size / 1000.0));
        appends.push((size, (after.2 - before.2) / seconds));
        let resident: f64 =
            fleet.vms.iter().map(|vm| resident_bytes_of(vm.process.id())).sum::<f64>() / size;
        memory.push((size, resident / 1e6));
    }
    report.add("idle.processor", cpu_percent[2].1, "% core", "each of 9 vms");
    report.add_slope("idle.processor_per_vm", &cpu_percent, "% core");
    report.add("idle.peer_bytes", peer_kilobytes[2].1, "KB/s", "each of 9 vms, sent and received");
    report.add_slope("idle.peer_bytes_per_vm", &peer_kilobytes, "KB/s");
    report.add("idle.memory", memory[2].1, "MB", "each of 9 vms");
    report.add_slope("idle.memory_per_vm", &memory, "MB");
    report.add("idle.appends", appends[2].1, "1/s", "the whole fleet of 9 vms");
    Ok(())
}
