//! Engine of a model in virtual time, which reads prompts between the tokens of its responses.

use std::collections::VecDeque;
use std::time::Duration;

/// Prompt tokens that the engine reads in a millisecond.
const PREFILL_RATE: f64 = 20.4;
/// Most prompt tokens that the engine reads between two tokens of its responses.
const PREFILL_CHUNK: f64 = 2048.0;
/// Time of a step without prompts.
const STEP: Duration = Duration::from_micros(10_100);

/// A request at the engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineRequest {
    /// Index of the request.
    pub index: usize,
    /// Prompt tokens left to read.
    pub prompt: f64,
    /// Output tokens left to generate.
    pub output: u64,
    /// Time by which the response has to end.
    pub deadline: Duration,
}

/// What happened in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// The first token of the response at this index.
    FirstToken(usize),
    /// The response at this index ended in time, or not.
    Ended(usize, bool),
}

/// Engine that runs a batch of requests.
#[derive(Debug, Default)]
pub struct SimulatedEngine {
    /// Time at which the current step ends.
    pub now: Duration,
    queue: VecDeque<EngineRequest>,
    running: Vec<EngineRequest>,
}

impl SimulatedEngine {
    /// Takes a request.
    pub fn push(&mut self, request: EngineRequest) {
        self.queue.push_back(request);
    }

    /// Returns the number of responses that get a token in each step.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Runs one step: reads queued prompts, then generates a token of each response.
    pub fn step(&mut self) -> Vec<EngineEvent> {
        let mut left = PREFILL_CHUNK;
        let mut events = Vec::new();
        while let Some(request) = self.queue.front_mut() {
            let read = request.prompt.min(left);
            request.prompt -= read;
            left -= read;
            if request.prompt > 0.0 {
                break;
            }
            events.push(EngineEvent::FirstToken(request.index));
            self.running.extend(self.queue.pop_front());
        }
        self.now += STEP + Duration::from_secs_f64((PREFILL_CHUNK - left) / PREFILL_RATE / 1000.0);
        let now = self.now;
        for request in &mut self.running {
            request.output = request.output.saturating_sub(1);
        }
        self.running.retain(|request| {
            let late = now > request.deadline;
            if request.output == 0 || late {
                events.push(EngineEvent::Ended(request.index, !late));
            }
            request.output > 0 && !late
        });
        events
    }
}
