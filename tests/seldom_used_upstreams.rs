//! Guards against: in a large fleet each vm uses each engine so seldom that it never learns how fast
//! they are, and refuses large prompts as if idle engines were busy.

use std::time::Duration;

use carobglade::{
    DECAY_INTERVAL, DispatchCandidate, DispatchDecision, DispatchSettings, LoadTracker,
    RequestTiming, UpstreamName, dispatch,
};

const SERVICE: &str = "engines";
const ENGINES: u64 = 140;
const REQUEST_INTERVAL: Duration = Duration::from_millis(175); // one vm of 87, 500 requests a second
const PREFILL_RATE: f64 = 38.4; // prompt tokens a millisecond
const FIRST_STEP: Duration = Duration::from_millis(10);
const GOAL: Duration = Duration::from_millis(800);

/// Prompts of a kind of request; the last one is of its largest tenth.
const PROMPTS: [u64; 10] =
    [5_700, 6_100, 6_500, 7_000, 7_600, 8_300, 9_200, 10_200, 12_000, 18_500];

fn first_event_time(prompt: u64) -> Duration {
    Duration::from_secs_f64(prompt as f64 / PREFILL_RATE / 1000.0) + FIRST_STEP
}

fn decide(loads: &LoadTracker, engine: &UpstreamName, prompt: u64) -> DispatchDecision {
    let candidate = DispatchCandidate {
        prefill_tokens: prompt,
        slots: 32,
        memory: (0, 219_266),
        latency_ratio: loads.stats(SERVICE, engine).latency_ratio,
        ..DispatchCandidate::default()
    };
    let timing = RequestTiming {
        latency_goal: GOAL,
        time_left: Duration::from_secs(5),
        output_time: Duration::from_millis(700),
        token_rate: 0.0,
        needed_rate: 0.0,
        service_time: Duration::ZERO,
        resumes: false,
    };
    dispatch(&[candidate], &timing, &DispatchSettings::default(), 0)
}

/// Returns the shares of the largest prompts and of all that are sent within `time`, on idle engines
/// each of which is used in turn.
fn shares_sent(time: Duration) -> (f64, f64) {
    let mut loads = LoadTracker::default();
    let (mut sent, mut asked) = ([0_u32; PROMPTS.len()], [0_u32; PROMPTS.len()]);
    let mut decayed = Duration::ZERO;
    for i in 0..time.as_millis() as u64 / REQUEST_INTERVAL.as_millis() as u64 {
        let now = REQUEST_INTERVAL * i as u32;
        while decayed + DECAY_INTERVAL <= now {
            decayed += DECAY_INTERVAL;
            loads.decay_stats();
        }
        let size = i as usize % PROMPTS.len();
        let engine = format!("engine-{}", i * 37 % ENGINES).parse().unwrap();
        asked[size] += 1;
        if let DispatchDecision::Send(_, estimate) = decide(&loads, &engine, PROMPTS[size]) {
            sent[size] += 1;
            loads.record_latency(SERVICE, &engine, first_event_time(PROMPTS[size]), estimate);
        }
    }
    let share = |sent: &[u32], asked: &[u32]| {
        f64::from(sent.iter().sum::<u32>()) / f64::from(asked.iter().sum::<u32>())
    };
    (share(&sent[9..], &asked[9..]), share(&sent, &asked))
}

#[test]
fn large_prompts_are_sent_to_idle_engines_that_were_not_used_before() {
    let (largest, all) = shares_sent(Duration::from_secs(20));
    assert!(largest >= 0.9, "{largest} of the largest prompts were sent, {all} of all");
}

/// A few slow upstreams do not make others look slow.
#[test]
fn an_engine_that_was_not_used_counts_as_fast_as_most() {
    let mut loads = LoadTracker::default();
    for i in 0..60 {
        let engine = format!("engine-{}", i % 12).parse().unwrap();
        let slow = if i % 4 == 0 { 8.0 } else { 1.0 };
        let observed = Duration::from_millis(50).mul_f64(slow);
        let estimate =
            Duration::from_millis(100).mul_f64(loads.stats(SERVICE, &engine).latency_ratio);
        loads.record_latency(SERVICE, &engine, observed, estimate);
        if i % 6 == 5 {
            loads.decay_stats();
        }
    }
    let ratio = loads.stats(SERVICE, &"engine-99".parse().unwrap()).latency_ratio;
    assert!((0.3..0.8).contains(&ratio), "{ratio}");
    let other = loads.stats("desks", &"desk-1".parse().unwrap()).latency_ratio;
    assert_eq!(other, 1.0, "another service");
}

/// Guards against: one late response to a vm that had just started made it refuse requests as if all
/// upstreams were busy.
#[test]
fn one_late_response_does_not_make_the_service_slow() {
    let mut loads = LoadTracker::default();
    let (used, other) = ("engine-1".parse().unwrap(), "engine-2".parse().unwrap());
    loads.record_latency(SERVICE, &used, Duration::from_secs(1), Duration::from_millis(67));
    loads.decay_stats();
    let ratio = loads.stats(SERVICE, &other).latency_ratio;
    assert!(ratio < 1.5, "{ratio}");
}
