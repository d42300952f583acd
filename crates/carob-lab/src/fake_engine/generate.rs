//! Token generation for completion requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use carob_net::{ChunkSender, Reply, Request, lock};
use serde_json::{Value, json};

use super::{FakeEngine, MAX_CACHED_PREFIXES};

impl FakeEngine {
    /// Records where the request contains an API key, which starts with `ck-`; none may reach an
    /// upstream.
    pub(super) fn record_exposed_keys(&self, request: &Request, body: &[u8]) {
        let headers = request.headers().iter();
        let mut places: Vec<String> = headers
            .filter(|(_, value)| value.as_bytes().windows(3).any(|w| w == b"ck-"))
            .map(|(name, _)| name.to_string())
            .collect();
        if request.query().contains("ck-") {
            places.push("query".into());
        }
        if body.windows(3).any(|w| w == b"ck-") {
            places.push("body".into());
        }
        lock(&self.state).exposed_keys.extend(places);
    }

    pub(super) async fn generate(self: Arc<Self>, request: &Request, body: &[u8]) -> Reply {
        self.record_exposed_keys(request, body);
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let text = body.to_string();
        let poison = lock(&self.state).faults.poison.clone();
        if !poison.is_empty() && text.contains(&poison) {
            tokio::time::sleep(Duration::from_millis(30)).await;
            self.crash();
            return Reply::stream(200).1;
        }
        let model = body["model"].as_str().unwrap_or("").to_owned();
        let refused = {
            let state = lock(&self.state);
            !state.report.resident.contains(&model) || state.report.leaving
        };
        if refused {
            return Reply::json(409, &json!({ "error": { "code": "not_loaded" } }));
        }
        let id = request.headers().get("x-request-id").and_then(|v| v.to_str().ok()).unwrap_or("");
        let tokens = body["max_tokens"].as_u64().unwrap_or(16);
        let job = Job {
            incarnation: lock(&self.state).report.incarnation,
            remote_address: request.remote_address(),
            tokens,
            prompt_tokens: text.len() as u64 / 4,
            prefix: text.chars().take(120).collect(),
            id: id.to_owned(),
            model,
        };
        if body["stream"].as_bool().unwrap_or(false) {
            let (tx, reply) = Reply::stream(200);
            let id = job.id.clone();
            tokio::spawn(async move { self.generate_stream(job, tx).await });
            return reply
                .with_header("content-type", "text/event-stream")
                .with_header("x-request-id", &id);
        }
        self.generate_whole(job).await
    }

    pub(super) async fn generate_whole(&self, job: Job) -> Reply {
        self.prefill(&job).await;
        for _ in 0..job.tokens {
            if !self.next_token(&job).await {
                return Reply::stream(200).1;
            }
        }
        self.end_request();
        let words = vec!["word"; job.tokens as usize].join(" ");
        let completion = json!({
            "id": job.id, "object": "chat.completion", "model": job.model,
            "choices": [{ "index": 0, "finish_reason": "stop",
                "message": { "role": "assistant", "content": words } }],
            "usage": job.usage(),
        });
        Reply::json(200, &completion).with_header("x-request-id", &job.id)
    }

    pub(super) async fn generate_stream(&self, job: Job, tx: ChunkSender) {
        self.prefill(&job).await;
        for i in 0..job.tokens {
            if !self.next_token(&job).await {
                return;
            }
            let chunk = json!({
                "id": job.id, "object": "chat.completion.chunk", "model": job.model,
                "choices": [{ "index": 0, "delta": { "content": format!("w{i} ") } }],
            });
            if !tx.send(format!("data: {chunk}\n\n").into()).await {
                self.end_request();
                lock(&self.state).cancelled += 1;
                return;
            }
        }
        let last = json!({ "id": job.id, "choices": [], "usage": job.usage() });
        tx.send(format!("data: {last}\n\ndata: [DONE]\n\n").into()).await;
        self.end_request();
        tx.finish().await;
    }

    /// Counts the request as running and waits for its prefill, which is shorter when the prefix of
    /// the prompt is cached.
    pub(super) async fn prefill(&self, job: &Job) {
        let cached = {
            let mut state = lock(&self.state);
            state.report.running += 1;
            state.requests_run += 1;
            let cached = state.cached_prefixes.contains(&job.prefix);
            if !cached {
                state.cached_prefixes.push_back(job.prefix.clone());
            }
            if state.cached_prefixes.len() > MAX_CACHED_PREFIXES {
                state.cached_prefixes.pop_front();
            }
            cached
        };
        let prefill = if cached { job.prompt_tokens / 20 } else { job.prompt_tokens / 4 };
        tokio::time::sleep(Duration::from_millis(prefill.min(2000))).await;
    }

    /// Waits for the next token. Returns false when the engine crashed since the request started.
    pub(super) async fn next_token(&self, job: &Job) -> bool {
        let (pace, silent) = {
            let state = lock(&self.state);
            let batches = state.report.running.div_ceil(self.options.batch.max(1)).max(1) as u64;
            let slowdown = state.faults.slowdown.max(1);
            (
                self.options.pace * batches * slowdown,
                state.silenced_clients.contains(&job.remote_address),
            )
        };
        if silent {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(Duration::from_millis(pace)).await;
        self.wait_while_paused().await;
        lock(&self.state).report.incarnation == job.incarnation
    }

    /// Counts the request as no longer running.
    pub(super) fn end_request(&self) {
        let mut state = lock(&self.state);
        state.report.running = state.report.running.saturating_sub(1);
    }
}

/// A completion request that is being generated.
pub(super) struct Job {
    incarnation: u64,
    remote_address: SocketAddr,
    tokens: u64,
    prompt_tokens: u64,
    prefix: String,
    id: String,
    model: String,
}

impl Job {
    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens, "completion_tokens": self.tokens,
            "total_tokens": self.prompt_tokens + self.tokens,
        })
    }
}
