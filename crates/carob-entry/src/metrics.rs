//! Metrics in the Prometheus text format.

use std::time::Duration;

use carob_net::MetricsRegistry;
use carobglade::{ErrorKind, Heartbeat, RequestClass};
use eyre::Result;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};

/// Bucket boundaries of the time histograms.
const TIME_BUCKETS_SECONDS: [f64; 14] =
    [0.001, 0.003, 0.01, 0.02, 0.026, 0.04, 0.08, 0.15, 0.3, 0.6, 1.1, 2.5, 5.0, 30.0];

/// Metrics of the process.
pub struct Metrics {
    registry: MetricsRegistry,
    latency: Histogram<f64>,
    first_token: Histogram<f64>,
    token_gap: Histogram<f64>,
    queue_time: Histogram<f64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    tokens: Counter<u64>,
    orders: Counter<u64>,
    peer_bytes: Counter<u64>,
    slots: Gauge<u64>,
    running: Gauge<u64>,
    draining: Gauge<u64>,
}

fn seconds_histogram(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
) -> Histogram<f64> {
    let builder = meter.f64_histogram(name).with_unit("s").with_description(description);
    builder.with_boundaries(TIME_BUCKETS_SECONDS.to_vec()).build()
}

fn labels(tenant: &str, class: RequestClass) -> [KeyValue; 2] {
    [KeyValue::new("tenant", tenant.to_owned()), KeyValue::new("class", class.to_string())]
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be built.
    pub fn new() -> Result<Self> {
        let registry = MetricsRegistry::new()?;
        let meter = registry.meter();
        let counter = |name, description| registry.counter(name, description);
        let gauge = |name, description| registry.gauge(name, description);
        Ok(Metrics {
            slots: gauge("slots", "Slots that this process holds"),
            running: gauge("running", "Requests that run or wait here"),
            draining: gauge("draining", "Whether the process takes no new requests"),
            latency: seconds_histogram(
                meter,
                "request_time",
                "Time from a request to its whole answer",
            ),
            first_token: seconds_histogram(meter, "first_token_time", "Time to the first token"),
            token_gap: seconds_histogram(
                meter,
                "token_gap",
                "Time between two chunks of an answer",
            ),
            queue_time: seconds_histogram(meter, "queue_time", "Time that a request waited"),
            refusals: counter("refusals", "Requests refused, by kind"),
            retries: counter("retries", "Requests sent again"),
            tokens: counter("tokens", "Tokens charged"),
            orders: counter("orders", "Orders sent to upstreams"),
            peer_bytes: counter("peer_bytes", "Bytes to and from other vms"),
            registry,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        self.registry.encode_text()
    }

    /// Sets the gauges from the heartbeat of this process.
    pub fn record_process_state(&self, heartbeat: &Heartbeat) {
        self.slots.record(u64::from(heartbeat.slots), &[]);
        self.running.record(u64::from(heartbeat.running), &[]);
        self.draining.record(u64::from(heartbeat.draining), &[]);
    }

    /// Records the time from a request to its complete response.
    pub fn record_request_time(&self, tenant: &str, class: RequestClass, time: Duration) {
        self.latency.record(time.as_secs_f64(), &labels(tenant, class));
    }

    /// Records the time from a request to its first token.
    pub fn record_first_token(&self, tenant: &str, class: RequestClass, time: Duration) {
        self.first_token.record(time.as_secs_f64(), &labels(tenant, class));
    }

    /// Records the time between two chunks of a response.
    pub fn record_token_gap(&self, tenant: &str, class: RequestClass, time: Duration) {
        self.token_gap.record(time.as_secs_f64(), &labels(tenant, class));
    }

    /// Records the time that a request waited in the queue.
    pub fn record_queue_time(&self, tenant: &str, class: RequestClass, time: Duration) {
        self.queue_time.record(time.as_secs_f64(), &labels(tenant, class));
    }

    /// Counts a refused request.
    pub fn count_refusal(&self, kind: ErrorKind) {
        self.refusals.add(1, &[KeyValue::new("kind", kind.response().code)]);
    }

    /// Counts a retry.
    pub fn count_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Counts tokens charged to a tenant.
    pub fn count_tokens(&self, tenant: &str, tokens: u64) {
        self.tokens.add(tokens, &[KeyValue::new("tenant", tenant.to_owned())]);
    }

    /// Counts an order sent to an upstream.
    pub fn count_order(&self, kind: &'static str) {
        self.orders.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts bytes sent to other vms.
    pub fn count_peer_sent(&self, bytes: u64) {
        self.peer_bytes.add(bytes, &[KeyValue::new("direction", "sent")]);
    }

    /// Counts bytes received from other vms.
    pub fn count_peer_received(&self, bytes: u64) {
        self.peer_bytes.add(bytes, &[KeyValue::new("direction", "received")]);
    }
}
