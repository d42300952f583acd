//! Rate and burst of a tenant hold over the request history of a fleet of real processes.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use carob_bench::config::{api_key, tenant};
use carob_bench::history::{Charge, check_rate_limit};
use carob_bench::{Client, Fleet, FleetOptions};
use carob_net::{Clock, SystemClock};
use serde_json::{Value, json};

const RATE: u64 = 400;
const BURST: u64 = 1600;
const OUTPUT_TOKENS: u64 = 20;

type Charges = Arc<Mutex<Vec<Charge>>>;

async fn options() -> FleetOptions {
    let models = FleetOptions::default().models;
    FleetOptions {
        vms: 5,
        tenants: vec![tenant("apron", RATE, BURST, &models)],
        token_interval: 2,
        ..FleetOptions::default()
    }
}

fn prompt_tokens(prompt: &str) -> u64 {
    let messages: Value = json!([{ "role": "user", "content": prompt }]);
    carobglade::estimate_prompt_tokens(messages.to_string().len()).0
}

async fn send_request(
    address: std::net::SocketAddr,
    clock: &SystemClock,
    charges: &Charges,
) -> u16 {
    let client = Client::unpooled(&api_key("apron"));
    let sent_at = clock.now();
    let response = client.chat(address, "planner", "flood", OUTPUT_TOKENS, true).await;
    if response.status == 200 && response.complete {
        charges.lock().unwrap().push(Charge {
            tenant: "apron".into(),
            tokens: prompt_tokens("flood") + OUTPUT_TOKENS,
            sent_at,
            answered_at: sent_at + response.first_byte,
        });
    }
    response.status
}

/// Sends about five times the rate for `time`; `pick_vm` returns the vm for each request.
async fn flood(
    fleet: &Fleet,
    clock: &Arc<SystemClock>,
    charges: &Charges,
    time: Duration,
    pick_vm: impl Fn(usize) -> usize,
) {
    let start = clock.now();
    let mut tasks = Vec::new();
    let mut i = 0;
    while clock.now() - start < time {
        let (address, clock, charges) =
            (fleet.caller_address(pick_vm(i)), Arc::clone(clock), Arc::clone(charges));
        tasks.push(tokio::spawn(async move { send_request(address, &clock, &charges).await }));
        i += 1;
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    for task in tasks {
        task.await.unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn rate_limit_holds_under_skew_kills_pauses_restarts_and_an_outage() {
    let mut fleet = Fleet::start(options().await).await.unwrap();
    let clock = Arc::new(SystemClock::default());
    let charges = Charges::default();
    let phase = Duration::from_millis(1500);
    flood(&fleet, &clock, &charges, phase, |_| 0).await;
    flood(&fleet, &clock, &charges, phase, |i| i % 5).await;
    fleet.vms[1].process.signal("STOP");
    flood(&fleet, &clock, &charges, phase, |_| 2).await;
    fleet.vms[3].process.kill();
    fleet.vms[1].process.signal("CONT");
    fleet.restart_vm(3).unwrap();
    flood(&fleet, &clock, &charges, phase, |i| [0, 1, 2, 4][i % 4]).await;
    fleet.set_faults(fleet.log_address, json!({ "outage": true })).await.unwrap();
    flood(&fleet, &clock, &charges, phase, |i| [0, 1, 2, 4][i % 4]).await;
    fleet.set_faults(fleet.log_address, json!({ "outage": false })).await.unwrap();
    for i in 0..5 {
        fleet.restart_vm(i).unwrap();
    }
    for i in 0..5 {
        fleet.wait_ready(i).await.unwrap();
    }
    flood(&fleet, &clock, &charges, phase, |i| i % 5).await;
    let charges = charges.lock().unwrap().clone();
    assert!(charges.len() > 30, "only {} requests were served", charges.len());
    assert_eq!(check_rate_limit(&charges, RATE, BURST), Vec::<String>::new());
}
