//! The load that a request puts on its upstream.

use std::rc::Rc;

use carobglade::UpstreamName;

use crate::edge::Edge;
use crate::request::CallerRequest;
use crate::rooms::RoomGuard;
use crate::work;

/// Counts a request in the load of its upstream until the guard is dropped.
pub struct LoadGuard {
    edge: Rc<Edge>,
    name: UpstreamName,
    service: String,
    /// Work of the prompt while it counts in the backlog.
    prompt: u64,
    tokens: u64,
    /// Output tokens in one event, while the progress of the stream is recorded.
    event_tokens: Option<f64>,
    /// Number of a plain request among those whose times are recorded.
    timed: Option<u64>,
    /// The place of the request at a brittle upstream, until the guard is dropped.
    _room: Option<Rc<RoomGuard>>,
}

impl LoadGuard {
    /// Counts `request` at the upstream `name`.
    pub fn new(
        edge: &Rc<Edge>,
        request: &CallerRequest,
        name: &UpstreamName,
        room: Option<Rc<RoomGuard>>,
    ) -> Self {
        let prompt = work::prompt_work(edge, request);
        let tokens = request.prompt_tokens() + request.expected_output();
        edge.loads.borrow_mut().record_start(name, prompt, tokens);
        if let (Some(model), Some(adapter)) =
            (&request.caller_headers.model, &request.caller_headers.adapter)
        {
            edge.placement.borrow_mut().record_use(name, model, adapter, edge.now());
        }
        let timed = (!request.route.kind.is_stream())
            .then(|| edge.response_times.borrow_mut().record_start(&request.service, edge.now()));
        LoadGuard {
            edge: Rc::clone(edge),
            name: name.clone(),
            service: request.service.clone(),
            prompt,
            tokens,
            event_tokens: None,
            timed,
            _room: room,
        }
    }

    /// Removes the prompt from the backlog of the upstream once the first event arrived, and starts
    /// to record the progress of the stream.
    pub fn record_first_event(&mut self) {
        let prompt = std::mem::take(&mut self.prompt);
        let mut loads = self.edge.loads.borrow_mut();
        loads.record_first_event(&self.name, prompt);
        // Without the size of events, the stream would seem to make no progress.
        self.event_tokens = self.edge.token_pace.borrow().tokens_per_event(&self.service);
        if self.event_tokens.is_some() {
            loads.record_stream_start(&self.name, self.edge.now());
        }
    }

    /// Records further events of the stream.
    pub fn record_events(&self, events: u64) {
        if let Some(tokens) = self.event_tokens {
            let mut loads = self.edge.loads.borrow_mut();
            loads.record_tokens(&self.name, tokens * events as f64, self.edge.now());
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        if let Some(number) = self.timed {
            let mut times = self.edge.response_times.borrow_mut();
            times.record_end(&self.service, number, self.edge.now());
        }
        let mut loads = self.edge.loads.borrow_mut();
        loads.record_end(&self.name, self.prompt, self.tokens);
        if self.event_tokens.is_some() {
            loads.record_stream_end(&self.name, self.edge.now());
        }
    }
}
