//! Complete responses to valid requests, and the documented error for each kind of invalid request.

use carob_bench::config::{api_key, tenant};
use carob_bench::{Client, Fleet, FleetOptions, Response};
use carobglade::{ConfigWire, KeyDigest};
use http::Method;
use serde_json::{Value, json};

const CHAT: &str = "/v1/chat/completions";

fn chat_body(model: &str) -> String {
    json!({ "model": model, "messages": [{ "role": "user", "content": "hello" }], "max_tokens": 3 })
        .to_string()
}

/// Request that is rejected, with the status, the error code and a part of the message it gets.
struct InvalidRequest {
    name: &'static str,
    key: String,
    method: Method,
    target: &'static str,
    headers: Vec<(&'static str, String)>,
    body: String,
    status: u16,
    code: &'static str,
    message_part: &'static str,
}

/// Returns a valid chat request with an expected error; callers replace the part that is invalid.
fn invalid(
    name: &'static str,
    status: u16,
    code: &'static str,
    message_part: &'static str,
) -> InvalidRequest {
    InvalidRequest {
        name,
        key: api_key("apron"),
        method: Method::POST,
        target: CHAT,
        headers: Vec::new(),
        body: chat_body("planner"),
        status,
        code,
        message_part,
    }
}

fn invalid_requests() -> Vec<InvalidRequest> {
    vec![
        InvalidRequest {
            body: "{".into(),
            ..invalid("broken JSON", 400, "invalid_request", "not valid JSON")
        },
        InvalidRequest {
            body: "[1]".into(),
            ..invalid("JSON list", 400, "invalid_request", "JSON object")
        },
        InvalidRequest {
            body: json!({ "model": 7, "prompt": "x" }).to_string(),
            ..invalid("model is a number", 400, "invalid_request", "model 7")
        },
        InvalidRequest {
            body: json!({ "model": "planner" }).to_string(),
            ..invalid("no prompt", 400, "invalid_request", "\"messages\" or \"prompt\"")
        },
        InvalidRequest {
            body: json!({ "model": "planner", "prompt": "x", "max_tokens": -1 }).to_string(),
            ..invalid("negative max_tokens", 400, "invalid_request", "max_tokens -1")
        },
        InvalidRequest {
            body: json!({ "model": "planner", "prompt": "x".repeat(2 << 20) }).to_string(),
            ..invalid("long body", 413, "too_large", "longer than")
        },
        InvalidRequest {
            body: chat_body("nothing"),
            ..invalid("unknown model", 404, "model_not_found", "nothing")
        },
        InvalidRequest {
            key: api_key("limited"),
            ..invalid("model of another tenant", 403, "forbidden", "may not use model")
        },
        InvalidRequest {
            key: String::new(),
            ..invalid("no key", 401, "missing_key", "Authorization")
        },
        InvalidRequest {
            key: "ck-wrong".into(),
            ..invalid("unknown key", 401, "invalid_key", "unknown")
        },
        InvalidRequest {
            key: api_key("gone"),
            ..invalid("withdrawn key", 401, "invalid_key", "withdrawn")
        },
        InvalidRequest {
            headers: vec![("x-api-key", "ck-other".into())],
            ..invalid("two keys", 400, "invalid_request", "two different keys")
        },
        InvalidRequest {
            headers: vec![("x-padding", "x".repeat(20_000))],
            ..invalid("long headers", 431, "headers_too_large", "16384 bytes")
        },
        InvalidRequest {
            headers: vec![("x-request-class", "urgent".into())],
            ..invalid("unknown class", 400, "invalid_request", "class \"urgent\"")
        },
        InvalidRequest {
            body: json!({ "model": "planner", "prompt": api_key("apron") }).to_string(),
            ..invalid("key in the body", 400, "invalid_request", "header only")
        },
        InvalidRequest {
            method: Method::GET,
            ..invalid("wrong method", 405, "method_not_allowed", "GET")
        },
        InvalidRequest {
            target: "/nowhere",
            ..invalid("unknown route", 404, "unknown_route", "/nowhere")
        },
        InvalidRequest {
            target: "/gates/1",
            ..invalid("no idempotency key", 400, "idempotency_key_required", "Idempotency-Key")
        },
        InvalidRequest {
            target: "/gates/1",
            headers: vec![("idempotency-key", "a b".into())],
            ..invalid("bad idempotency key", 400, "invalid_request", "a b")
        },
        InvalidRequest {
            target: "/gates/1",
            method: Method::DELETE,
            ..invalid("method not allowed on the route", 405, "method_not_allowed", "DELETE")
        },
    ]
}

async fn send(fleet: &Fleet, request: &InvalidRequest) -> Response {
    let headers: Vec<(&str, &str)> =
        request.headers.iter().map(|(k, v)| (*k, v.as_str())).collect();
    let client = Client::unpooled(&request.key);
    client
        .send(
            request.method.clone(),
            fleet.caller_address(0),
            request.target,
            &headers,
            request.body.clone(),
        )
        .await
}

/// Adds a tenant without models and revokes the key `gone` of the first tenant.
fn add_tenant_and_revoke_key(config: &ConfigWire) -> ConfigWire {
    let mut config = config.clone();
    config.tenants.push(tenant("limited", 1000, 1000, &[]));
    let revoked_digest = KeyDigest::of(&api_key("gone")).to_string();
    config.tenants[0].keys.retain(|key| *key != revoked_digest);
    config
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_get_the_documented_error() {
    let mut fleet = Fleet::start(FleetOptions { vms: 1, ..FleetOptions::default() }).await.unwrap();
    let mut config = add_tenant_and_revoke_key(&fleet.config);
    config.tenants[0].keys.push(KeyDigest::of(&api_key("gone")).to_string());
    fleet.apply(&config).await.unwrap();
    let config = add_tenant_and_revoke_key(&fleet.config);
    fleet.apply(&ConfigWire { tenants: config.tenants[..3].to_vec(), ..config }).await.unwrap();
    for request in invalid_requests() {
        let response = send(&fleet, &request).await;
        assert_eq!(
            (response.status, response.code()),
            (request.status, request.code),
            "{}",
            request.name
        );
        let message = response.error["message"].as_str().unwrap_or("");
        assert!(message.contains(request.message_part), "{}: {message:?}", request.name);
        assert_eq!(response.run_state(), "not_run", "{}", request.name);
    }
    let oversized_value = "x".repeat(100_000);
    let response = Client::unpooled(&api_key("apron"))
        .send(
            Method::POST,
            fleet.caller_address(0),
            CHAT,
            &[("x-padding", &oversized_value)],
            chat_body("planner"),
        )
        .await;
    assert!(
        [0, 431].contains(&response.status),
        "a header of 100000 bytes got status {}",
        response.status
    );
    assert!(fleet.recorded_calls().await.unwrap().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn responses_are_complete_and_api_keys_are_not_forwarded() {
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
    let headers = [("x-api-key", key.as_str()), ("cookie", "a=b"), ("x-note", key.as_str())];
    let target = format!("/gates/7?api_key={key}&x=1");
    let response = client.send(Method::GET, fleet.caller_address(2), &target, &headers, "").await;
    assert_eq!(response.status, 200, "{}", response.body);
    let public_response = Client::unpooled("")
        .send(Method::GET, fleet.caller_address(0), "/notices/today", &[], "")
        .await;
    assert_eq!(public_response.status, 200, "{}", public_response.body);

    let calls = fleet.recorded_calls().await.unwrap();
    assert_eq!(calls.len(), 2);
    let received = serde_json::to_string(&calls).unwrap();
    assert!(!received.contains("ck-"), "{received}");
    assert!(received.contains("x=1"));
    for engine in &fleet.engine_addresses {
        let stats = fleet.get(*engine, "/stats").await.unwrap();
        assert_eq!(stats["keys_seen"], json!([]));
    }
    for vm in &fleet.vms {
        assert!(
            !vm.process.read_output().contains("ck-"),
            "the log of {} contains an API key",
            vm.name
        );
    }
    let models = client.send(Method::GET, fleet.caller_address(0), "/v1/models", &[], "").await;
    assert!(models.body.contains("planner"), "{}", models.body);
    assert_eq!(fleet.exited_fakes(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn another_vm_serves_after_a_vm_is_killed() {
    let mut fleet = Fleet::start(FleetOptions::default()).await.unwrap();
    let client = Client::unpooled(&api_key("crew"));
    assert_eq!(client.chat(fleet.caller_address(0), "planner", "a", 2, false).await.status, 200);
    fleet.vms[0].process.kill();
    assert_eq!(client.chat(fleet.caller_address(0), "planner", "a", 2, false).await.status, 0);
    let response = client.chat(fleet.caller_address(1), "planner", "a", 2, false).await;
    assert_eq!(response.status, 200, "{}", response.body);
}
