//! Configuration changes take effect as a whole or not at all, and no vm accepts a revoked key
//! after 5 seconds.

use std::time::Duration;

use carob_bench::config::{api_key, tenant};
use carob_bench::{Client, Fleet, FleetOptions};
use carob_net::{Clock, SystemClock};
use carobglade::ConfigWire;
use http::Method;
use serde_json::json;

const REVOCATION_LIMIT: Duration = Duration::from_secs(5);

fn without_crew_keys(config: &ConfigWire) -> ConfigWire {
    let mut config = config.clone();
    config.tenants[1].keys.clear();
    config
}

async fn read(client: &Client, fleet: &Fleet, i: usize) -> (u16, String) {
    let response = client.send(Method::GET, fleet.caller_address(i), "/gates/1", &[], "").await;
    (response.status, response.code().to_owned())
}

/// Applies a configuration without waiting until it is in force, as some vms are cut off from the
/// log.
async fn apply_without_wait(fleet: &Fleet, config: &ConfigWire) -> (i32, String) {
    let path = fleet.dir.path().join(format!("now-{}.json", rand::random::<u32>()));
    std::fs::write(&path, serde_json::to_string(config).unwrap()).unwrap();
    let (path, log) = (path.display().to_string(), fleet.log_address.to_string());
    fleet.run_program("carobctl", &["apply", &path, "--log", &log]).await.unwrap()
}

/// Checks that no vm accepts the key once 5 seconds have passed since the revocation.
async fn assert_refused_everywhere(fleet: &Fleet, clock: &SystemClock, accepted_at: Duration) {
    tokio::time::sleep((accepted_at + REVOCATION_LIMIT).saturating_sub(clock.now())).await;
    let client = Client::unpooled(&api_key("crew"));
    for i in 0..fleet.vms.len() {
        let (status, code) = read(&client, fleet, i).await;
        assert!([401, 503].contains(&status), "{} answered {status} {code}", fleet.vms[i].name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_cut_off_from_the_log_refuses_a_revoked_key() {
    let options = FleetOptions { log_relays: true, ..FleetOptions::default() };
    let fleet = Fleet::start(options).await.unwrap();
    let client = Client::new(&api_key("crew"));
    assert_eq!(read(&client, &fleet, 1).await.0, 200);
    fleet.post(fleet.vms[1].relay_control.unwrap(), "/cut", "").await.unwrap();
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert_eq!(read(&client, &fleet, 1).await.0, 200, "the vm reads the log through a peer");
    let clock = SystemClock::default();
    assert_eq!(apply_without_wait(&fleet, &without_crew_keys(&fleet.config)).await.0, 0);
    let accepted_at = clock.now();
    assert_refused_everywhere(&fleet, &clock, accepted_at).await;
    assert_eq!(read(&client, &fleet, 1).await, (401, "invalid_key".into()));
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_or_isolated_vm_refuses_a_revoked_key() {
    let options = FleetOptions { log_relays: true, ..FleetOptions::default() };
    let mut fleet = Fleet::start(options).await.unwrap();
    // The first vm loses the log, and its peers are killed or paused.
    fleet.post(fleet.vms[0].relay_control.unwrap(), "/cut", "").await.unwrap();
    fleet.vms[1].process.kill();
    fleet.vms[2].process.signal("STOP");
    let clock = SystemClock::default();
    assert_eq!(apply_without_wait(&fleet, &without_crew_keys(&fleet.config)).await.0, 0);
    let accepted_at = clock.now();
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.restart_vm(1).unwrap();
    tokio::time::sleep(Duration::from_secs(6)).await;
    fleet.vms[2].process.signal("CONT");
    let client = Client::unpooled(&api_key("crew"));
    assert_ne!(read(&client, &fleet, 2).await.0, 200, "right after the vm resumes");
    assert_refused_everywhere(&fleet, &clock, accepted_at).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn log_outage_does_not_stop_service_or_the_start_of_vms() {
    let mut fleet = Fleet::start(FleetOptions::default()).await.unwrap();
    let client = Client::unpooled(&api_key("crew"));
    assert_eq!(client.chat(fleet.caller_address(0), "planner", "warm", 2, false).await.status, 200);
    fleet.set_faults(fleet.log_address, json!({ "outage": true })).await.unwrap();
    tokio::time::sleep(Duration::from_secs(8)).await;
    for i in 0..3 {
        let response = client.chat(fleet.caller_address(i), "planner", "warm", 2, false).await;
        assert_eq!(response.status, 200, "{}", response.body);
    }
    let seeds: Vec<_> = fleet.vms.iter().map(|vm| vm.peer_address).collect();
    let new_vm = fleet.add_vm(&seeds).await.unwrap();
    fleet.wait_ready(new_vm).await.unwrap();
    let served = async || {
        client.chat(fleet.caller_address(new_vm), "planner", "warm", 2, false).await.status == 200
    };
    fleet.wait_until("the new vm to serve in the outage", served).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn of_concurrent_applies_on_one_version_one_is_accepted() {
    let fleet = Fleet::start(FleetOptions { vms: 1, ..FleetOptions::default() }).await.unwrap();
    let version = fleet.status(0).await.unwrap()["version"].to_string();
    let mut paths = Vec::new();
    for i in 0..4u64 {
        let mut config = fleet.config.clone();
        config.tenants[0].burst = 1000 + i;
        let path = fleet.dir.path().join(format!("race-{i}.json"));
        std::fs::write(&path, serde_json::to_string(&config).unwrap()).unwrap();
        paths.push(path.display().to_string());
    }
    let log = fleet.log_address.to_string();
    let apply = async |path: &String| {
        fleet
            .run_program("carobctl", &["apply", path, "--log", &log, "--base", &version])
            .await
            .unwrap()
            .0
    };
    let (a, b, c, d) =
        tokio::join!(apply(&paths[0]), apply(&paths[1]), apply(&paths[2]), apply(&paths[3]));
    let mut codes = vec![a, b, c, d];
    codes.sort_unstable();
    assert_eq!(codes, vec![0, 3, 3, 3]);
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_with_a_lost_response_takes_effect_once() {
    let mut fleet = Fleet::start(FleetOptions { vms: 1, ..FleetOptions::default() }).await.unwrap();
    fleet.set_faults(fleet.log_address, json!({ "lose": 1.0 })).await.unwrap();
    let mut config = fleet.config.clone();
    config.tenants.push(tenant("new", 10, 10, &[]));
    fleet.apply(&config).await.unwrap();
    fleet.set_faults(fleet.log_address, json!({})).await.unwrap();
    let (code, output) = fleet
        .run_program("carobctl", &["show", "--log", &fleet.log_address.to_string()])
        .await
        .unwrap();
    assert_eq!((code, output.matches("\"new\"").count()), (0, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_file_is_rejected_and_each_bad_field_is_named() {
    let fleet = Fleet::start(FleetOptions { vms: 1, ..FleetOptions::default() }).await.unwrap();
    let mut config = fleet.config.clone();
    config.tenants[0].rate = "fast".into();
    config.tenants[1].models.push("ghost".into());
    config.routes[0].prefix = "gates".into();
    let (code, output) = apply_without_wait(&fleet, &config).await;
    assert_eq!(code, 2);
    for part in
        ["$.tenants[0].rate", "\"fast\"", "$.tenants[1].models", "ghost", "$.routes[0].prefix"]
    {
        assert!(output.contains(part), "{part} is not in {output}");
    }
    let settings = fleet.dir.path().join("bad.json");
    std::fs::write(&settings, r#"{ "vm": "a b", "limits": { "body": 3 } }"#).unwrap();
    let settings = settings.display().to_string();
    let (code, output) =
        fleet.run_program("carob-entry", &["--settings", &settings, "--check"]).await.unwrap();
    assert_eq!(code, 2);
    for part in ["$.vm", "\"a b\"", "$.limits.body: 3", "$.tls.ca"] {
        assert!(output.contains(part), "{part} is not in {output}");
    }
}
