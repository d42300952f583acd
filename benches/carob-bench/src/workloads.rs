//! Workloads of both users at full size on real processes, in three phases: warming up, a killed vm
//! with a slow engine, and a rolling replacement of all vms under load.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use carob_net::{Clock, SystemClock};
use carobglade::{ModelWire, TenantWire};
use eyre::Result;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::config::{adapter, api_key, model, tenant};
use crate::report::{Report, quantile};
use crate::{Client, Fleet, FleetOptions, Response};

const CALLERS: usize = 40;
const TOKEN_INTERVAL_MS: u64 = 20; // of each engine

struct Workload {
    name: &'static str,
    vms: usize,
    engines: usize,
    services: usize,
    parallel_loads: u64,
}

const WORKLOADS: [Workload; 2] = [
    Workload { name: "syndicat", vms: 9, engines: 9, services: 4, parallel_loads: 2 },
    Workload { name: "derwent", vms: 6, engines: 9, services: 3, parallel_loads: 3 },
];

fn models() -> Vec<ModelWire> {
    let models = (0..20).map(|i| model(&format!("m{i}"), "20GiB"));
    models.chain((0..40).map(|i| adapter(&format!("a{i}"), &format!("m{}", i % 20)))).collect()
}

/// Five tenants, two of them large; the last sends five times its rate.
fn tenants(models: &[ModelWire]) -> Vec<TenantWire> {
    let rates = [40_000, 40_000, 8_000, 4_000, 300];
    let indexed = rates.iter().enumerate();
    indexed.map(|(i, rate)| tenant(&format!("t{i}"), *rate, rate * 4, models)).collect()
}

#[derive(Default)]
struct LoadResult {
    first_token_ms: Vec<f64>,
    chunk_gaps_ms: Vec<f64>,
    calls: [u64; 5],
    within_target: [u64; 5],
    wrongful_refusals: u64,
    incomplete: u64,
    failures: BTreeMap<String, u64>,
    rerouted: u64,
}

impl LoadResult {
    fn record(&mut self, tenant: usize, response: &Response) {
        self.calls[tenant] += 1;
        let first_token_ms = response.first_byte.as_secs_f64() * 1000.0;
        if response.status == 200 && response.complete {
            self.first_token_ms.push(first_token_ms);
            self.chunk_gaps_ms
                .extend(response.chunk_gaps.iter().map(|gap| gap.as_secs_f64() * 1000.0));
            self.within_target[tenant] += u64::from(first_token_ms <= 1100.0);
        } else if response.status == 429 && tenant < 4 {
            self.wrongful_refusals += 1;
        } else if response.status == 200 {
            self.incomplete += 1;
        } else if response.status != 429 {
            let kind = format!("{} {}", response.status, response.code());
            *self.failures.entry(kind).or_insert(0) += 1;
        }
    }

    fn merge(&mut self, other: LoadResult) {
        self.first_token_ms.extend(other.first_token_ms);
        self.chunk_gaps_ms.extend(other.chunk_gaps_ms);
        for i in 0..5 {
            self.calls[i] += other.calls[i];
            self.within_target[i] += other.within_target[i];
        }
        self.wrongful_refusals += other.wrongful_refusals;
        self.incomplete += other.incomplete;
        for (kind, count) in other.failures {
            *self.failures.entry(kind).or_insert(0) += count;
        }
        self.rerouted += other.rerouted;
    }
}

async fn run_caller(
    addresses: Arc<Vec<std::net::SocketAddr>>,
    seed: u64,
    duration: Duration,
    clock: Arc<SystemClock>,
) -> LoadResult {
    let mut random = StdRng::seed_from_u64(seed);
    let mut result = LoadResult::default();
    let clients: Vec<Client> = (0..5).map(|i| Client::new(&api_key(&format!("t{i}")))).collect();
    while clock.now() < duration {
        let tenant = [0, 0, 1, 1, 2, 3, 4][random.random_range(0..7)];
        let rank = (random.random::<f64>().powi(3) * 60.0) as usize;
        let model = if rank < 20 { format!("m{rank}") } else { format!("a{}", rank - 20) };
        let address = addresses[random.random_range(0..addresses.len())];
        let prompt = format!("prompt {}", random.random_range(0..20));
        let response = clients[tenant].chat(address, &model, &prompt, 25, true).await;
        // Behind a load balancer, a request that a stopped or draining vm refuses goes to another
        // vm.
        if response.status == 0 || response.code() == "draining" {
            result.rerouted += 1;
            continue;
        }
        result.record(tenant, &response);
        tokio::time::sleep(Duration::from_millis(random.random_range(50..250))).await;
    }
    result
}

/// Runs the workloads of both users and adds their rows to the report; each load phase takes
/// `seconds`, the last phase twice as long.
///
/// # Errors
///
/// Fails if a fleet does not start.
pub async fn run(report: &mut Report, seconds: u64) -> Result<()> {
    for workload in WORKLOADS {
        run_workload(report, &workload, seconds).await?;
    }
    Ok(())
}

async fn run_workload(report: &mut Report, workload: &Workload, seconds: u64) -> Result<()> {
    let models = models();
    let options = FleetOptions {
        vms: workload.vms,
        engines: workload.engines,
        services: workload.services,
        parallel_loads: workload.parallel_loads,
        token_interval: TOKEN_INTERVAL_MS,
        tenants: tenants(&models),
        models,
        settings: json!({ "store": { "loads": workload.parallel_loads } }),
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(options).await?;
    let duration = Duration::from_secs(seconds);
    let warming = start_load(&fleet, duration, 1);
    report_phase(report, workload, "warming", &mut join_callers(warming).await?);

    let faulty = start_load(&fleet, duration, 2);
    tokio::time::sleep(duration / 2).await;
    fleet.vms[0].process.kill();
    fleet.set_faults(fleet.engine_addresses[1], json!({ "slow": 3 })).await?;
    report_phase(report, workload, "faulty", &mut join_callers(faulty).await?);

    fleet.set_faults(fleet.engine_addresses[1], json!({})).await?;
    fleet.restart_vm(0)?;
    fleet.wait_ready(0).await?;
    let rolling = start_load(&fleet, duration * 2, 3);
    let clock = SystemClock::default();
    let mut failed_drains = 0;
    for i in 0..fleet.vms.len() {
        fleet.vms[i].process.signal("TERM");
        let code = fleet.vms[i].process.wait(Duration::from_secs(60)).await;
        failed_drains += u32::from(code != Some(0));
        fleet.restart_vm(i)?;
        fleet.wait_ready(i).await?;
    }
    let note = format!("{} vms replaced in {:?}", fleet.vms.len(), clock.now());
    report.add(&format!("{}.cut_drains", workload.name), f64::from(failed_drains), "drains", &note);
    report_phase(report, workload, "rolling", &mut join_callers(rolling).await?);
    let exited = fleet.exited_fakes();
    report.add(
        &format!("{}.broken", workload.name),
        exited.len() as f64,
        "engines",
        &exited.join(" "),
    );
    Ok(())
}

fn start_load(
    fleet: &Fleet,
    duration: Duration,
    seed: u64,
) -> Vec<tokio::task::JoinHandle<LoadResult>> {
    let clock = Arc::new(SystemClock::default());
    let addresses: Arc<Vec<_>> = Arc::new(fleet.vms.iter().map(|vm| vm.caller_address).collect());
    let tasks = (0..CALLERS as u64).map(|i| {
        tokio::spawn(run_caller(
            Arc::clone(&addresses),
            seed * 1000 + i,
            duration,
            Arc::clone(&clock),
        ))
    });
    tasks.collect()
}

async fn join_callers(callers: Vec<tokio::task::JoinHandle<LoadResult>>) -> Result<LoadResult> {
    let mut total = LoadResult::default();
    for caller in callers {
        total.merge(caller.await?);
    }
    Ok(total)
}

fn report_phase(report: &mut Report, workload: &Workload, phase: &str, total: &mut LoadResult) {
    let row_name = |part: &str| format!("{}.{phase}.{part}", workload.name);
    let calls: u64 = total.calls.iter().sum();
    let attained_percent =
        |i: usize| total.within_target[i] as f64 / total.calls[i].max(1) as f64 * 100.0;
    let note = format!("{calls} calls, {} tried elsewhere", total.rerouted);
    let attained = total.within_target.iter().sum::<u64>() as f64 / calls.max(1) as f64 * 100.0;
    report.add(
        &row_name("attained"),
        attained,
        "%",
        &format!("{note}; {} accelerators", workload.engines),
    );
    let worst = (0..4).map(attained_percent).fold(100.0, f64::min);
    report.add(&row_name("worst_tenant"), worst, "%", "of the four tenants inside their rates");
    let wrongful = total.wrongful_refusals as f64 / calls.max(1) as f64 * 1000.0;
    report.add(&row_name("wrongful"), wrongful, "per 1000", "429 to a tenant inside its rate");
    report.add(
        &row_name("incomplete"),
        total.incomplete as f64,
        "answers",
        "begun but not completed",
    );
    let failed: u64 = total.failures.values().sum();
    report.add(&row_name("failed"), failed as f64, "answers", &format!("{:?}", total.failures));
    report.add(
        &row_name("first_p95"),
        quantile(&mut total.first_token_ms, 0.95),
        "ms",
        "first token",
    );
    report.add(
        &row_name("gap_p95"),
        quantile(&mut total.chunk_gaps_ms, 0.95),
        "ms",
        "the engines' pace is 20 ms",
    );
}
