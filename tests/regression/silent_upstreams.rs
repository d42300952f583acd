//! Requests were refused for many seconds after silent upstreams had gone on.

use std::collections::VecDeque;
use std::time::Duration;

use carobglade::{
    DECAY_INTERVAL, DispatchCandidate, DispatchDecision, DispatchSettings, LoadTracker,
    RequestTiming, UpstreamName, dispatch,
};

const SERVICE: &str = "engines";
const STEP: Duration = Duration::from_millis(5);
const UPSTREAMS: usize = 4;
const BASE_LATENCY: Duration = Duration::from_millis(45);
const GOAL: Duration = Duration::from_millis(800);
const SILENCE_START: Duration = Duration::from_secs(10);
const DURATION: Duration = Duration::from_secs(40);

/// Requests that arrive one after the other.
struct Traffic {
    /// Prompt tokens of the requests, which take turns.
    prompts: &'static [u64],
    /// Time between two requests.
    interval: Duration,
}

const SHORT: Traffic = Traffic { prompts: &[400, 1200], interval: Duration::from_millis(25) };
const LONG: Traffic = Traffic { prompts: &[2000], interval: Duration::from_millis(60) };

struct Sent {
    at: Duration,
    estimate: Duration,
    prompt: u64,
    /// Prompt tokens left to read.
    left: f64,
}

struct Upstream {
    name: UpstreamName,
    queue: VecDeque<Sent>,
}

impl Upstream {
    /// Reads prompts for one step, and records the first events.
    fn work(&mut self, loads: &mut LoadTracker, now: Duration) {
        let mut tokens = DispatchSettings::default().prefill_rate * STEP.as_millis() as f64;
        while let Some(front) = self.queue.front_mut() {
            let read = front.left.min(tokens);
            front.left -= read;
            tokens -= read;
            if front.left > 0.0 {
                return;
            }
            if let Some(sent) = self.queue.pop_front() {
                let took = now + BASE_LATENCY - sent.at;
                loads.record_latency(SERVICE, &self.name, took, sent.estimate);
                loads.record_end(&self.name, sent.prompt, sent.prompt);
            }
        }
    }
}

fn candidate(
    loads: &LoadTracker,
    upstream: &Upstream,
    prompt: u64,
    now: Duration,
) -> DispatchCandidate {
    let load = loads.total_load(&upstream.name, now);
    DispatchCandidate {
        prompt_backlog: load.prompt_backlog,
        prefill_tokens: prompt,
        running: load.running,
        slots: 64,
        memory: (load.tokens, 140_000),
        latency_ratio: loads.stats(SERVICE, &upstream.name).latency_ratio,
        ..DispatchCandidate::default()
    }
}

fn timing() -> RequestTiming {
    RequestTiming {
        latency_goal: GOAL,
        time_left: Duration::from_secs(4),
        output_time: Duration::from_millis(300),
        token_rate: 0.0,
        needed_rate: 0.0,
        service_time: Duration::ZERO,
        resumes: false,
    }
}

/// Returns the times at which requests are refused when all upstreams are silent for `silence`.
fn refusals(traffic: &Traffic, silence: Duration) -> Vec<Duration> {
    let mut loads = LoadTracker::default();
    let name = |i| format!("engine-{i}").parse().unwrap();
    let mut upstreams: Vec<Upstream> =
        (0..UPSTREAMS).map(|i| Upstream { name: name(i), queue: VecDeque::new() }).collect();
    let mut refused = Vec::new();
    let mut now = Duration::ZERO;
    while now < DURATION {
        now += STEP;
        let millis = now.as_millis();
        if millis.is_multiple_of(DECAY_INTERVAL.as_millis()) {
            loads.decay_stats();
        }
        if !(SILENCE_START..SILENCE_START + silence).contains(&now) {
            upstreams.iter_mut().for_each(|upstream| upstream.work(&mut loads, now));
        }
        if !millis.is_multiple_of(traffic.interval.as_millis()) {
            continue;
        }
        let number = (millis / traffic.interval.as_millis()) as usize;
        let prompt = traffic.prompts[number % traffic.prompts.len()];
        let candidates: Vec<DispatchCandidate> =
            upstreams.iter().map(|upstream| candidate(&loads, upstream, prompt, now)).collect();
        match dispatch(&candidates, &timing(), &DispatchSettings::default(), number as u64) {
            DispatchDecision::Send(i, estimate) => {
                let upstream = &mut upstreams[i];
                loads.record_start(&upstream.name, prompt, prompt);
                let left = prompt as f64;
                upstream.queue.push_back(Sent { at: now, estimate, prompt, left });
            }
            _ => refused.push(now),
        }
    }
    refused
}

/// After a silence of all upstreams, every request was refused for 12 s though they had gone on.
fn check_refusals_after_a_silence(traffic: &Traffic) {
    assert_eq!(refusals(traffic, Duration::ZERO), []);
    for millis in [500, 1000, 2000, 3000] {
        let silence = Duration::from_millis(millis);
        let refused = refusals(traffic, silence);
        let awake = SILENCE_START + silence;
        let after = refused.iter().filter(|at| **at > awake).count();
        let last = refused.last().copied().unwrap_or_default().saturating_sub(awake);
        println!("silence of {silence:?}: {after} refused after it, until {last:?} after it");
        assert!(last <= Duration::from_secs(1), "{silence:?}: refused until {last:?} after it");
    }
}

#[test]
fn requests_are_accepted_soon_after_a_silence_of_all_upstreams() {
    check_refusals_after_a_silence(&SHORT);
}

#[test]
fn long_prompts_are_accepted_soon_after_a_silence_of_all_upstreams() {
    check_refusals_after_a_silence(&LONG);
}

/// Time between two events of a stream, each of one token.
const EVENT_INTERVAL: Duration = Duration::from_millis(30);
const STREAMS: usize = 8;

/// Returns how long after a silence an engine that runs `STREAMS` streams refuses a short request.
fn refused_as_slow(silence: Duration) -> Duration {
    let name: UpstreamName = "engine".parse().unwrap();
    let mut loads = LoadTracker::default();
    (0..STREAMS).for_each(|_| loads.record_stream_start(&name, Duration::ZERO));
    let awake = SILENCE_START + silence;
    let mut refused = Duration::ZERO;
    let mut now = Duration::ZERO;
    while now < DURATION {
        now += EVENT_INTERVAL;
        if (SILENCE_START..awake).contains(&now) {
            continue;
        }
        loads.record_tokens(&name, STREAMS as f64, now);
        let token_rate = loads.total_load(&name, now).tokens_per_stream();
        let candidate = DispatchCandidate {
            prefill_tokens: 400,
            token_rate,
            slots: 64,
            latency_ratio: 1.0,
            ..DispatchCandidate::default()
        };
        let timing = RequestTiming { needed_rate: 25.0, ..timing() };
        let decision = dispatch(&[candidate], &timing, &DispatchSettings::default(), 0);
        if now >= SILENCE_START && !matches!(decision, DispatchDecision::Send(..)) {
            refused = now - awake;
        }
    }
    refused
}

/// An engine that had been silent counted as one whose responses are slow, and got no short requests
/// for 2.6 s after it had gone on.
#[test]
fn an_engine_that_was_silent_is_not_slow() {
    let silences = [1000, 2000, 3000].map(Duration::from_millis);
    let refused = silences.map(refused_as_slow);
    let longest = Duration::from_millis(300);
    assert!(refused.iter().all(|refused| *refused <= longest), "refused for {refused:?}");
}

/// An engine whose steps take very long is slow, not silent.
#[test]
fn an_engine_with_long_steps_is_slow() {
    let name: UpstreamName = "engine".parse().unwrap();
    let mut loads = LoadTracker::default();
    (0..STREAMS).for_each(|_| loads.record_stream_start(&name, Duration::ZERO));
    let step = EVENT_INTERVAL * 40;
    let mut now = Duration::ZERO;
    for _ in 0..20 {
        now += step;
        loads.record_tokens(&name, STREAMS as f64, now);
    }
    let rate = loads.total_load(&name, now).tokens_per_stream().unwrap();
    assert!(rate < 8.0, "{rate} tokens a second");
}
