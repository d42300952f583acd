//! Both users' workloads at the brief's sizes, on real processes: first warm, then with a fault,
//! then a rolling replacement of all vms under load.

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
const PACE: u64 = 20; // milliseconds between tokens of an engine

struct User {
    name: &'static str,
    vms: usize,
    engines: usize,
    services: usize,
    parallel_loads: u64,
}

const USERS: [User; 2] = [
    User { name: "syndicat", vms: 9, engines: 9, services: 4, parallel_loads: 2 },
    User { name: "derwent", vms: 6, engines: 9, services: 3, parallel_loads: 3 },
];

fn models() -> Vec<ModelWire> {
    let models = (0..20).map(|i| model(&format!("m{i}"), "20GiB"));
    models.chain((0..40).map(|i| adapter(&format!("a{i}"), &format!("m{}", i % 20)))).collect()
}

/// Five tenants, two of them large; the last sends five times its rate.
fn tenants(models: &[ModelWire]) -> Vec<TenantWire> {
    let rates = [40_000, 40_000, 8_000, 4_000, 300];
    let each = rates.iter().enumerate();
    each.map(|(i, rate)| tenant(&format!("t{i}"), *rate, rate * 4, models)).collect()
}

#[derive(Default)]
struct Outcome {
    first: Vec<f64>,
    gaps: Vec<f64>,
    calls: [u64; 5],
    attained: [u64; 5],
    refused_inside: u64,
    broken: u64,
    failed: BTreeMap<String, u64>,
    elsewhere: u64,
}

impl Outcome {
    fn take(&mut self, tenant: usize, response: &Response) {
        self.calls[tenant] += 1;
        let first = response.first_byte.as_secs_f64() * 1000.0;
        if response.status == 200 && response.complete {
            self.first.push(first);
            self.gaps.extend(response.chunk_gaps.iter().map(|gap| gap.as_secs_f64() * 1000.0));
            self.attained[tenant] += u64::from(first <= 1100.0);
        } else if response.status == 429 && tenant < 4 {
            self.refused_inside += 1;
        } else if response.status == 200 {
            self.broken += 1;
        } else if response.status != 429 {
            let kind = format!("{} {}", response.status, response.code());
            *self.failed.entry(kind).or_insert(0) += 1;
        }
    }

    fn add(&mut self, other: Outcome) {
        self.first.extend(other.first);
        self.gaps.extend(other.gaps);
        for i in 0..5 {
            self.calls[i] += other.calls[i];
            self.attained[i] += other.attained[i];
        }
        self.refused_inside += other.refused_inside;
        self.broken += other.broken;
        for (kind, count) in other.failed {
            *self.failed.entry(kind).or_insert(0) += count;
        }
        self.elsewhere += other.elsewhere;
    }
}

async fn caller(
    addresses: Arc<Vec<std::net::SocketAddr>>,
    seed: u64,
    until: Duration,
    clock: Arc<SystemClock>,
) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let mut outcome = Outcome::default();
    let clients: Vec<Client> = (0..5).map(|i| Client::new(&api_key(&format!("t{i}")))).collect();
    while clock.now() < until {
        let tenant = [0, 0, 1, 1, 2, 3, 4][random.random_range(0..7)];
        let rank = (random.random::<f64>().powi(3) * 60.0) as usize;
        let name = if rank < 20 { format!("m{rank}") } else { format!("a{}", rank - 20) };
        let address = addresses[random.random_range(0..addresses.len())];
        let prompt = format!("prompt {}", random.random_range(0..20));
        let response = clients[tenant].chat(address, &name, &prompt, 25, true).await;
        // As behind a balancer: a vm that is down or stopping costs another try elsewhere.
        if response.status == 0 || response.code() == "draining" {
            outcome.elsewhere += 1;
            continue;
        }
        outcome.take(tenant, &response);
        tokio::time::sleep(Duration::from_millis(random.random_range(50..250))).await;
    }
    outcome
}

/// Measures.
///
/// # Errors
///
/// When a fleet does not start.
pub async fn run(report: &mut Report, seconds: u64) -> Result<()> {
    for user in USERS {
        run_user(report, &user, seconds).await?;
    }
    Ok(())
}

async fn run_user(report: &mut Report, user: &User, seconds: u64) -> Result<()> {
    let models = models();
    let options = FleetOptions {
        vms: user.vms,
        engines: user.engines,
        services: user.services,
        parallel_loads: user.parallel_loads,
        token_interval: PACE,
        tenants: tenants(&models),
        models,
        settings: json!({ "store": { "loads": user.parallel_loads } }),
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(options).await?;
    let length = Duration::from_secs(seconds);
    let warm = start_load(&fleet, length, 1);
    summarise(report, user, "warming", &mut join(warm).await?);

    let faulty = start_load(&fleet, length, 2);
    tokio::time::sleep(length / 2).await;
    fleet.vms[0].process.kill();
    fleet.set_faults(fleet.engines[1], json!({ "slow": 3 })).await?;
    summarise(report, user, "faulty", &mut join(faulty).await?);

    fleet.set_faults(fleet.engines[1], json!({})).await?;
    fleet.restart_vm(0)?;
    fleet.wait_ready(0).await?;
    let rolling = start_load(&fleet, length * 2, 3);
    let clock = SystemClock::default();
    let mut cut = 0;
    for i in 0..fleet.vms.len() {
        fleet.vms[i].process.signal("TERM");
        let code = fleet.vms[i].process.wait(Duration::from_secs(60)).await;
        cut += u32::from(code != Some(0));
        fleet.restart_vm(i)?;
        fleet.wait_ready(i).await?;
    }
    let note = format!("{} vms replaced in {:?}", fleet.vms.len(), clock.now());
    report.add(&format!("{}.cut_drains", user.name), f64::from(cut), "drains", &note);
    summarise(report, user, "rolling", &mut join(rolling).await?);
    let broken = fleet.exited_fakes();
    report.add(&format!("{}.broken", user.name), broken.len() as f64, "engines", &broken.join(" "));
    Ok(())
}

fn start_load(fleet: &Fleet, length: Duration, seed: u64) -> Vec<tokio::task::JoinHandle<Outcome>> {
    let clock = Arc::new(SystemClock::default());
    let addresses: Arc<Vec<_>> = Arc::new(fleet.vms.iter().map(|vm| vm.caller_address).collect());
    let each = (0..CALLERS as u64).map(|i| {
        tokio::spawn(caller(Arc::clone(&addresses), seed * 1000 + i, length, Arc::clone(&clock)))
    });
    each.collect()
}

async fn join(callers: Vec<tokio::task::JoinHandle<Outcome>>) -> Result<Outcome> {
    let mut total = Outcome::default();
    for caller in callers {
        total.add(caller.await?);
    }
    Ok(total)
}

fn summarise(report: &mut Report, user: &User, phase: &str, total: &mut Outcome) {
    let name = |part: &str| format!("{}.{phase}.{part}", user.name);
    let calls: u64 = total.calls.iter().sum();
    let share = |i: usize| total.attained[i] as f64 / total.calls[i].max(1) as f64 * 100.0;
    let note = format!("{calls} calls, {} tried elsewhere", total.elsewhere);
    let attained = total.attained.iter().sum::<u64>() as f64 / calls.max(1) as f64 * 100.0;
    report.add(&name("attained"), attained, "%", &format!("{note}; {} accelerators", user.engines));
    let worst = (0..4).map(share).fold(100.0, f64::min);
    report.add(&name("worst_tenant"), worst, "%", "of the four tenants inside their rates");
    let refused = total.refused_inside as f64 / calls.max(1) as f64 * 1000.0;
    report.add(&name("wrongful"), refused, "per 1000", "429 to a tenant inside its rate");
    report.add(&name("incomplete"), total.broken as f64, "answers", "begun and not whole");
    let failed: u64 = total.failed.values().sum();
    report.add(&name("failed"), failed as f64, "answers", &format!("{:?}", total.failed));
    report.add(&name("first_p95"), quantile(&mut total.first, 0.95), "ms", "first token");
    report.add(
        &name("gap_p95"),
        quantile(&mut total.gaps, 0.95),
        "ms",
        "the engines' pace is 20 ms",
    );
}
