//! Large requests were served less than half as often as all requests of their kind.

use std::time::Duration;

use carobglade::{
    DispatchCandidate, DispatchDecision, DispatchSettings, LoadTracker, RateLimiter,
    RateLimiterSettings, RecentMaximum, RequestTiming, TenantName, TokenPace, Tokens, UpstreamName,
    dispatch,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::simulated_engine::{EngineEvent, EngineRequest, SimulatedEngine};

/// Least share of the largest tenth of a kind of request that is served, relative to the share of
/// the whole kind.
const MIN_RELATIVE_SHARE: f64 = 0.5;

const DURATION: Duration = Duration::from_secs(60);
const SERVICE: &str = "plans";
const KV_CAPACITY: u64 = 140_000;

/// A kind of request: arrivals a second, prompt and output tokens, and times.
struct Kind {
    rate: f64,
    prompt: std::ops::Range<u64>,
    output: std::ops::Range<u64>,
    goal: Duration,
    timeout: Duration,
}

impl Kind {
    fn token_rate(&self, request: &Request) -> f64 {
        request.output as f64 / (self.timeout - self.goal).as_secs_f64()
    }
}

/// Short responses to long prompts that are wanted soon.
const PLANS: Kind = Kind {
    rate: 9.0,
    prompt: 900..3700,
    output: 2..42,
    goal: Duration::from_millis(800),
    timeout: Duration::from_secs(5),
};

/// Long responses.
const BRIEFS: Kind = Kind {
    rate: 3.0,
    prompt: 800..2100,
    output: 10..430,
    goal: Duration::from_secs(2),
    timeout: Duration::from_secs(15),
};

#[derive(Clone, Copy, Debug)]
struct Request {
    prompt: u64,
    output: u64,
    sent_at: Duration,
    estimate: Duration,
    served: bool,
}

fn relative_share(mut requests: Vec<Request>) -> f64 {
    requests.sort_by_key(|request| request.prompt + 10 * request.output);
    let share = |part: &[Request]| {
        part.iter().filter(|request| request.served).count() as f64 / part.len() as f64
    };
    share(&requests[requests.len() * 9 / 10..]) / share(&requests)
}

/// Decides on a request; returns the expected time to the first token if the request is sent.
fn decide(
    loads: &LoadTracker,
    engine: &UpstreamName,
    needed_rate: f64,
    kind: &Kind,
    request: &Request,
    now: Duration,
) -> Option<Duration> {
    let load = loads.total_load(engine, now);
    let candidate = DispatchCandidate {
        prompt_backlog: load.prompt_backlog,
        prefill_tokens: request.prompt,
        token_rate: load.tokens_per_stream(),
        running: load.running,
        slots: 64,
        memory: (load.tokens, KV_CAPACITY),
        latency_ratio: loads.stats(SERVICE, engine).latency_ratio,
        ..DispatchCandidate::default()
    };
    let timing = RequestTiming {
        latency_goal: kind.goal,
        time_left: kind.timeout,
        output_time: Duration::from_millis(14) * request.output as u32,
        token_rate: kind.token_rate(request),
        needed_rate,
        service_time: Duration::ZERO,
        resumes: false,
    };
    match dispatch(&[candidate], &timing, &DispatchSettings::default(), 0) {
        DispatchDecision::Send(_, estimate) => Some(estimate),
        _ => None,
    }
}

/// An engine always had prompts to read, so that a token of a response took 100 ms, and long
/// responses met their timeout.
#[test]
fn an_engine_with_many_prompts_ends_long_responses_in_time() {
    let mut rng = StdRng::seed_from_u64(502);
    let name: UpstreamName = "engine".parse().unwrap();
    let (mut loads, mut engine) = (LoadTracker::default(), SimulatedEngine::default());
    let mut pace = TokenPace::default();
    let mut requests: Vec<(bool, Request)> = Vec::new();
    while engine.now < DURATION {
        let started = engine.now;
        let events = engine.step();
        loads.record_tokens(&name, engine.running_count() as f64, engine.now);
        for event in events {
            let now = engine.now;
            match event {
                EngineEvent::FirstToken(i) => {
                    let request = requests[i].1;
                    loads.record_first_event(&name, request.prompt);
                    loads.record_stream_start(&name, now);
                    let took = now - request.sent_at;
                    loads.record_latency(SERVICE, &name, took, request.estimate);
                }
                EngineEvent::Ended(i, in_time) => {
                    let request = &mut requests[i].1;
                    request.served = in_time;
                    loads.record_end(&name, 0, request.prompt + request.output);
                    loads.record_stream_end(&name, now);
                }
            }
        }
        let passed = (engine.now - started).as_secs_f64();
        for (is_brief, kind) in [(false, &PLANS), (true, &BRIEFS)] {
            let expected = kind.rate * passed;
            let count = expected as u32 + u32::from(rng.random_bool(expected.fract()));
            for _ in 0..count {
                let request = Request {
                    prompt: rng.random_range(kind.prompt.clone()),
                    output: rng.random_range(kind.output.clone()),
                    sent_at: engine.now,
                    estimate: Duration::ZERO,
                    served: false,
                };
                let now = engine.now;
                let index = requests.len();
                pace.record_request(SERVICE, kind.token_rate(&request));
                let needed_rate = pace.needed_rate(SERVICE);
                let estimate = decide(&loads, &name, needed_rate, kind, &request, now);
                let estimated = estimate.unwrap_or_default();
                requests.push((is_brief, Request { estimate: estimated, ..request }));
                if estimate.is_some() {
                    let tokens = request.prompt + request.output;
                    loads.record_start(&name, request.prompt, tokens);
                    engine.push(EngineRequest {
                        index,
                        prompt: request.prompt as f64,
                        output: request.output,
                        deadline: now + kind.timeout,
                    });
                }
            }
        }
    }
    let briefs: Vec<Request> =
        requests.iter().filter(|(is_brief, _)| *is_brief).map(|(_, request)| *request).collect();
    let served = briefs.iter().filter(|request| request.served).count();
    assert!(served > 0, "no long response was served");
    let share = relative_share(briefs);
    assert!(share >= MIN_RELATIVE_SHARE, "the largest tenth was served {share:.2} as often");
}

/// While the bucket of a tenant was nearly empty, small requests took each refill before it was
/// enough for a large one.
#[test]
fn a_tenant_above_its_rate_gets_its_large_requests_through() {
    let mut rng = StdRng::seed_from_u64(446);
    let tenant: TenantName = "crews".parse().unwrap();
    let mut limiter = RateLimiter::new(RateLimiterSettings::default(), true, Duration::ZERO);
    limiter.set_limits(&tenant, 20_000, 40_000);
    let mut largest = RecentMaximum::default();
    let mut requests = Vec::new();
    for i in 0..6_000u64 {
        let now = Duration::from_millis(10 * i);
        limiter.take_usage();
        if !rng.random_bool(0.4) {
            continue;
        }
        // Sizes spread evenly on a logarithmic scale, from 600 to 6,000 tokens.
        let prompt = (600.0 * rng.random_range(0.0..2.3f64).exp()) as u64;
        let reserve = Tokens(largest.record(prompt as f64, now) as u64);
        let admitted = limiter.admit_with_reserve(&tenant, Tokens(prompt), reserve, now);
        requests.push(Request {
            prompt,
            output: 0,
            sent_at: now,
            estimate: Duration::ZERO,
            served: admitted.is_ok(),
        });
    }
    let share = relative_share(requests);
    assert!(share >= MIN_RELATIVE_SHARE, "the largest tenth was admitted {share:.2} as often");
}
