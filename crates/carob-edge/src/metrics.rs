//! Metrics in the Prometheus text format.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use carob_net::{MetricsRegistry, lock};
use carobglade::ErrorKind;
use eyre::Result;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

const LATENCY_BUCKETS_SECONDS: [f64; 12] =
    [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 5.0, 8.0, 15.0];

/// All metrics of the process.
pub struct Metrics {
    registry: MetricsRegistry,
    latency: Histogram<f64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    hedges: Counter<u64>,
    not_continued: Counter<u64>,
    quiet_times: Counter<u64>,
    room_refusals: Counter<u64>,
    room_verdicts: Counter<u64>,
    idle_closes: Counter<u64>,
    resumptions: Counter<u64>,
    orders: Counter<u64>,
    store_calls: Counter<u64>,
    store_failures: Counter<u64>,
    messages: Counter<u64>,
    undecoded: Counter<u64>,
    message_bytes: Counter<u64>,
    config_version: Gauge<u64>,
    config_age: Gauge<f64>,
    active_requests: Gauge<u64>,
    connections: Gauge<u64>,
    duties: Gauge<u64>,
    blocked_parts: Gauge<u64>,
    block_changes: Counter<u64>,
    path_changes: Counter<u64>,
    tunnels: Counter<u64>,
    lost_paths: Gauge<u64>,
    open_tunnels: Gauge<u64>,
    recent_counts: Mutex<BTreeMap<&'static str, u64>>,
}

/// Values of the gauges at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessState {
    /// Age of the last confirmed read of the configuration.
    pub config_age: Duration,
    /// Requests in flight.
    pub active_requests: u64,
    /// Open connections of callers.
    pub connections: u64,
    /// Duties that the process holds.
    pub duties: u64,
    /// Parts of prompts that are blocked.
    pub blocked_parts: u64,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns an error when the exporter cannot be built.
    pub fn new() -> Result<Self> {
        let registry = MetricsRegistry::new()?;
        let counter = |name, description| registry.counter(name, description);
        let gauge = |name, description| registry.gauge(name, description);
        let latency = registry.meter().f64_histogram("request_time").with_unit("s");
        let latency = latency.with_description("Time to an answer, or to a stream's first event");
        let age = registry.meter().f64_gauge("config_age").with_unit("s");
        let age = age.with_description("Age of the last confirmed reading of the configuration");
        Ok(Metrics {
            latency: latency.with_boundaries(LATENCY_BUCKETS_SECONDS.to_vec()).build(),
            refusals: counter("refusals", "Requests refused, by kind"),
            retries: counter("retries", "Requests sent again"),
            resumptions: counter(
                "resumptions",
                "Streams that callers took up again, by source and outcome",
            ),
            hedges: counter("hedges", "Requests sent to another upstream beside a silent one"),
            not_continued: counter(
                "streams_not_continued",
                "Responses that did not go on with the next event of their stream",
            ),
            quiet_times: counter(
                "upstream_quiet_times",
                "Times for which upstreams that turned a request away wanted none",
            ),
            room_refusals: counter(
                "room_refusals",
                "Requests that a brittle upstream had no room for",
            ),
            room_verdicts: counter(
                "room_verdicts",
                "What was learned of the room of upstreams, by verdict",
            ),
            idle_closes: counter(
                "caller_idle_closes",
                "Connections of callers closed without a request, by reason",
            ),
            orders: counter("orders", "Orders sent to engines"),
            store_calls: counter("store_calls", "Calls to the platform's log"),
            store_failures: counter(
                "store_failures",
                "Calls to the platform's log without an answer",
            ),
            messages: counter("peer_messages", "Messages sent to other vms, by sender's role"),
            undecoded: counter(
                "undecoded_messages",
                "Messages of other vms and records that could not be decoded, by role",
            ),
            message_bytes: counter("peer_bytes", "Bytes sent to other vms, by sender's role"),
            config_version: gauge("config_version", "Version of the configuration in force"),
            config_age: age.build(),
            active_requests: gauge("active_requests", "Requests under way"),
            connections: gauge("caller_connections", "Connections of callers"),
            duties: gauge("duties", "Duties that the process holds"),
            blocked_parts: gauge("blocked_parts", "Parts of prompts that are blocked"),
            block_changes: counter(
                "block_changes",
                "Parts of prompts blocked or lifted, by reason",
            ),
            path_changes: counter(
                "path_changes",
                "Direct paths to upstreams lost or restored, and upstreams that no vm reached",
            ),
            tunnels: counter(
                "tunnels",
                "Vms asked to carry a connection to an upstream, by answer",
            ),
            lost_paths: gauge("lost_paths", "Upstreams that other vms reach and this one does not"),
            open_tunnels: gauge("open_tunnels", "Connections through other vms, and for them"),
            recent_counts: Mutex::default(),
            registry,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        self.registry.encode_text()
    }

    /// Records the response of an upstream and the time since the request arrived.
    pub fn record_response(&self, tenant: &str, service: &str, status: u16, took: Duration) {
        let labels = [
            KeyValue::new("tenant", tenant.to_owned()),
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("status", i64::from(status)),
        ];
        self.latency.record(took.as_secs_f64(), &labels);
    }

    /// Sets the gauges.
    pub fn record_state(&self, state: ProcessState) {
        self.config_age.record(state.config_age.as_secs_f64(), &[]);
        self.active_requests.record(state.active_requests, &[]);
        self.connections.record(state.connections, &[]);
        self.duties.record(state.duties, &[]);
        self.blocked_parts.record(state.blocked_parts, &[]);
    }

    /// Counts a refused request.
    pub fn record_refusal(&self, kind: ErrorKind) {
        self.refusals.add(1, &[KeyValue::new("kind", kind.response().code)]);
    }

    /// Counts a part of prompts that was blocked or lifted.
    pub fn record_block_change(&self, reason: &'static str) {
        self.block_changes.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a stream that a caller took up again: where its version is known from, and the
    /// outcome (`bound`, `no_upstream`, `unknown`).
    pub fn record_resumption(&self, source: &'static str, outcome: &'static str) {
        let labels = [KeyValue::new("source", source), KeyValue::new("outcome", outcome)];
        self.resumptions.add(1, &labels);
    }

    /// Counts a change of what is known of a path: `lost`, `restored` or `unreachable`.
    pub fn record_path_change(&self, change: &'static str) {
        self.path_changes.add(1, &[KeyValue::new("change", change)]);
    }

    /// Counts a vm that was asked to carry a connection: `opened`, `unreachable` or `declined`.
    pub fn record_tunnel(&self, answer: &'static str) {
        self.tunnels.add(1, &[KeyValue::new("answer", answer)]);
    }

    /// Sets the number of lost paths, and of the connections through other vms and for them.
    pub fn record_tunnels(&self, lost: u64, used: u64, carried: u64) {
        self.lost_paths.record(lost, &[]);
        self.open_tunnels.record(used, &[KeyValue::new("side", "used")]);
        self.open_tunnels.record(carried, &[KeyValue::new("side", "carried")]);
    }

    /// Counts a retry.
    pub fn record_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Counts a second attempt beside one whose upstream is silent.
    pub fn record_hedge(&self) {
        self.hedges.add(1, &[]);
    }

    /// Counts a response that did not go on with the next event of its stream.
    pub fn record_not_continued(&self) {
        self.not_continued.add(1, &[]);
    }

    /// Counts a time for which an upstream wants no requests.
    pub fn record_quiet_time(&self) {
        self.quiet_times.add(1, &[]);
    }

    /// Counts a request that was not sent to a brittle upstream for want of room.
    pub fn record_room_refusal(&self) {
        self.room_refusals.add(1, &[]);
    }

    /// Counts what was learned of the room of an upstream.
    pub fn record_room_verdict(&self, verdict: &'static str) {
        self.room_verdicts.add(1, &[KeyValue::new("verdict", verdict)]);
    }

    /// Counts a caller connection that was closed without a request in progress; `lost` says
    /// whether bytes of a request were lost with it.
    pub fn record_idle_close(&self, reason: &'static str, lost: bool) {
        let labels = [KeyValue::new("reason", reason), KeyValue::new("lost", lost)];
        self.idle_closes.add(1, &labels);
    }

    /// Counts an order to an engine; `kind` is `load` or `unload`.
    pub fn record_order(&self, kind: &'static str) {
        self.orders.add(1, &[KeyValue::new("kind", kind)]);
    }

    fn count(&self, name: &'static str) {
        *lock(&self.recent_counts).entry(name).or_default() += 1;
    }

    /// Returns the number of calls to the log by topic and of messages by role since the last call
    /// of this function.
    pub fn take_counts(&self) -> String {
        let counts = std::mem::take(&mut *lock(&self.recent_counts));
        let texts = counts.into_iter().map(|(name, count)| format!("{name} {count}"));
        texts.collect::<Vec<_>>().join(", ")
    }

    /// Counts a successful call to the log.
    pub fn record_store_call(&self, topic: &'static str) {
        self.store_calls.add(1, &[KeyValue::new("topic", topic)]);
        self.count(topic);
    }

    /// Counts a failed call to the log.
    pub fn record_store_failure(&self, topic: &'static str) {
        self.store_failures.add(1, &[KeyValue::new("topic", topic)]);
        self.count("failed calls");
    }

    /// Counts a message of `bytes` bytes to another vm.
    pub fn record_message(&self, role_name: &'static str, bytes: usize) {
        let role = [KeyValue::new("role", role_name)];
        self.messages.add(1, &role);
        self.count(role_name);
        self.message_bytes.add(bytes as u64, &role);
    }

    /// Counts a message or a record that could not be decoded.
    pub fn record_undecoded(&self, role_name: &'static str) {
        self.undecoded.add(1, &[KeyValue::new("role", role_name)]);
    }

    /// Sets the version of the configuration in force.
    pub fn record_version(&self, version: u64) {
        self.config_version.record(version, &[]);
    }
}
