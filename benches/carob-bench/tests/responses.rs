//! What callers get: good answers, and the documented answer for each kind of bad input.

use carob_bench::config::{api_key, tenant};
use carob_bench::{Client, Fleet, FleetOptions, Response};
use carobglade::{ConfigWire, KeyDigest};
use http::Method;
use serde_json::{Value, json};

const CHAT: &str = "/v1/chat/completions";

fn body(model: &str) -> String {
    json!({ "model": model, "messages": [{ "role": "user", "content": "hello" }], "max_tokens": 3 })
        .to_string()
}

struct Bad {
    name: &'static str,
    key: String,
    method: Method,
    target: &'static str,
    headers: Vec<(&'static str, String)>,
    body: String,
    status: u16,
    code: &'static str,
    says: &'static str,
}

fn bad(name: &'static str, status: u16, code: &'static str, says: &'static str) -> Bad {
    Bad {
        name,
        key: api_key("apron"),
        method: Method::POST,
        target: CHAT,
        headers: Vec::new(),
        body: body("planner"),
        status,
        code,
        says,
    }
}

fn bad_inputs() -> Vec<Bad> {
    vec![
        Bad { body: "{".into(), ..bad("broken JSON", 400, "invalid_request", "not valid JSON") },
        Bad { body: "[1]".into(), ..bad("JSON list", 400, "invalid_request", "JSON object") },
        Bad {
            body: json!({ "model": 7, "prompt": "x" }).to_string(),
            ..bad("model is a number", 400, "invalid_request", "model 7")
        },
        Bad {
            body: json!({ "model": "planner" }).to_string(),
            ..bad("no prompt", 400, "invalid_request", "\"messages\" or \"prompt\"")
        },
        Bad {
            body: json!({ "model": "planner", "prompt": "x", "max_tokens": -1 }).to_string(),
            ..bad("negative max_tokens", 400, "invalid_request", "max_tokens -1")
        },
        Bad {
            body: json!({ "model": "planner", "prompt": "x".repeat(2 << 20) }).to_string(),
            ..bad("long body", 413, "too_large", "longer than")
        },
        Bad { body: body("nothing"), ..bad("unknown model", 404, "model_not_found", "nothing") },
        Bad {
            key: api_key("limited"),
            ..bad("model of another tenant", 403, "forbidden", "may not use model")
        },
        Bad { key: String::new(), ..bad("no key", 401, "missing_key", "Authorization") },
        Bad { key: "ck-wrong".into(), ..bad("unknown key", 401, "invalid_key", "unknown") },
        Bad { key: api_key("gone"), ..bad("withdrawn key", 401, "invalid_key", "withdrawn") },
        Bad {
            headers: vec![("x-api-key", "ck-other".into())],
            ..bad("two keys", 400, "invalid_request", "two different keys")
        },
        Bad {
            headers: vec![("x-padding", "x".repeat(20_000))],
            ..bad("long headers", 431, "headers_too_large", "16384 bytes")
        },
        Bad {
            headers: vec![("x-request-class", "urgent".into())],
            ..bad("unknown class", 400, "invalid_request", "class \"urgent\"")
        },
        Bad {
            body: json!({ "model": "planner", "prompt": api_key("apron") }).to_string(),
            ..bad("key in the body", 400, "invalid_request", "header only")
        },
        Bad { method: Method::GET, ..bad("wrong method", 405, "method_not_allowed", "GET") },
        Bad { target: "/nowhere", ..bad("unknown route", 404, "unknown_route", "/nowhere") },
        Bad {
            target: "/gates/1",
            ..bad("no idempotency key", 400, "idempotency_key_required", "Idempotency-Key")
        },
        Bad {
            target: "/gates/1",
            headers: vec![("idempotency-key", "a b".into())],
            ..bad("bad idempotency key", 400, "invalid_request", "a b")
        },
        Bad {
            target: "/gates/1",
            method: Method::DELETE,
            ..bad("method not taken", 405, "method_not_allowed", "DELETE")
        },
    ]
}

async fn send(fleet: &Fleet, bad: &Bad) -> Response {
    let headers: Vec<(&str, &str)> = bad.headers.iter().map(|(k, v)| (*k, v.as_str())).collect();
    let client = Client::unpooled(&bad.key);
    client
        .send(bad.method.clone(), fleet.caller_address(0), bad.target, &headers, bad.body.clone())
        .await
}

fn with_tenants(wire: &ConfigWire) -> ConfigWire {
    let mut wire = wire.clone();
    wire.tenants.push(tenant("limited", 1000, 1000, &[]));
    let withdrawn = KeyDigest::of(&api_key("gone")).to_string();
    wire.tenants[0].keys.retain(|key| *key != withdrawn);
    wire
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_gets_its_documented_answer() {
    let mut fleet = Fleet::start(FleetOptions { vms: 1, ..FleetOptions::default() }).await.unwrap();
    let mut wire = with_tenants(&fleet.config);
    wire.tenants[0].keys.push(KeyDigest::of(&api_key("gone")).to_string());
    fleet.apply(&wire).await.unwrap();
    let wire = with_tenants(&fleet.config);
    fleet.apply(&ConfigWire { tenants: wire.tenants[..3].to_vec(), ..wire }).await.unwrap();
    for bad in bad_inputs() {
        let response = send(&fleet, &bad).await;
        assert_eq!((response.status, response.code()), (bad.status, bad.code), "{}", bad.name);
        let message = response.error["message"].as_str().unwrap_or("");
        assert!(message.contains(bad.says), "{}: {message:?}", bad.name);
        assert_eq!(response.run_state(), "not_run", "{}", bad.name);
    }
    let huge = "x".repeat(100_000);
    let response = Client::unpooled(&api_key("apron"))
        .send(Method::POST, fleet.caller_address(0), CHAT, &[("x-padding", &huge)], body("planner"))
        .await;
    assert!([0, 431].contains(&response.status), "a huge header got {}", response.status);
    assert!(fleet.recorded_calls().await.unwrap().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_are_whole_and_no_key_goes_on() {
    let mut fleet = Fleet::start(FleetOptions::default()).await.unwrap();
    let client = Client::new(&api_key("apron"));
    let response = client.chat(fleet.caller_address(0), "planner", "draft", 7, false).await;
    assert_eq!(response.status, 200, "{}", response.body);
    let parsed: Value = serde_json::from_str(&response.body).unwrap();
    assert_eq!(parsed["usage"]["completion_tokens"], 7);

    let response = client.chat(fleet.caller_address(1), "planner", "draft", 9, true).await;
    assert!(response.complete && response.body.trim_end().ends_with("[DONE]"), "{}", response.body);
    assert_eq!(response.body.matches("\"delta\"").count(), 9);

    let key = api_key("apron");
    let places = [("x-api-key", key.as_str()), ("cookie", "a=b"), ("x-note", key.as_str())];
    let target = format!("/gates/7?api_key={key}&x=1");
    let response = client.send(Method::GET, fleet.caller_address(2), &target, &places, "").await;
    assert_eq!(response.status, 200, "{}", response.body);
    let open = Client::unpooled("")
        .send(Method::GET, fleet.caller_address(0), "/notices/today", &[], "")
        .await;
    assert_eq!(open.status, 200, "{}", open.body);

    let ran = fleet.recorded_calls().await.unwrap();
    assert_eq!(ran.len(), 2);
    let received = serde_json::to_string(&ran).unwrap();
    assert!(!received.contains("ck-"), "{received}");
    assert!(received.contains("x=1"));
    for engine in &fleet.engines {
        let stats = fleet.get(*engine, "/stats").await.unwrap();
        assert_eq!(stats["keys_seen"], json!([]));
    }
    for vm in &fleet.vms {
        assert!(!vm.process.read_output().contains("ck-"), "a key is in the log of {}", vm.name);
    }
    let models = client.send(Method::GET, fleet.caller_address(0), "/v1/models", &[], "").await;
    assert!(models.body.contains("planner"), "{}", models.body);
    assert_eq!(fleet.exited_fakes(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_process_is_replaced_by_another() {
    let mut fleet = Fleet::start(FleetOptions::default()).await.unwrap();
    let client = Client::unpooled(&api_key("crew"));
    assert_eq!(client.chat(fleet.caller_address(0), "planner", "a", 2, false).await.status, 200);
    fleet.vms[0].process.kill();
    assert_eq!(client.chat(fleet.caller_address(0), "planner", "a", 2, false).await.status, 0);
    let response = client.chat(fleet.caller_address(1), "planner", "a", 2, false).await;
    assert_eq!(response.status, 200, "{}", response.body);
}
