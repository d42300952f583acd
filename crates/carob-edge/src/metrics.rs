//! Metrics, scraped as Prometheus text.

use std::time::Duration;

use carobglade::ErrorKind;
use eyre::Result;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

const SECONDS: [f64; 12] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 5.0, 8.0, 15.0];

/// The metrics of the process.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    latency: Histogram<f64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    orders: Counter<u64>,
    calls: Counter<u64>,
    failures: Counter<u64>,
    version: Gauge<u64>,
    age: Gauge<f64>,
    active: Gauge<u64>,
    connections: Gauge<u64>,
    duties: Gauge<u64>,
}

/// What the process is doing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessState {
    /// Age of the last confirmed reading of the configuration.
    pub age: Duration,
    /// Requests under way.
    pub active: u64,
    /// Connections of callers.
    pub connections: u64,
    /// Duties that it holds.
    pub duties: u64,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// When the exporter cannot be built.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let reader =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        let meter = provider.meter("carobglade");
        let counter = |name: &'static str, what: &'static str| {
            meter.u64_counter(name).with_description(what).build()
        };
        let gauge = |name: &'static str, what: &'static str| {
            meter.u64_gauge(name).with_description(what).build()
        };
        let latency = meter.f64_histogram("request_time").with_unit("s");
        let latency = latency.with_description("Time to an answer, or to a stream's first event");
        Ok(Metrics {
            latency: latency.with_boundaries(SECONDS.to_vec()).build(),
            refusals: counter("refusals", "Requests refused, by kind"),
            retries: counter("retries", "Requests sent again"),
            orders: counter("orders", "Orders sent to engines"),
            calls: counter("store_calls", "Calls to the platform's log"),
            failures: counter("store_failures", "Calls to the platform's log without an answer"),
            version: gauge("config_version", "Version of the configuration in force"),
            age: meter
                .f64_gauge("config_age")
                .with_unit("s")
                .with_description("Age of the last confirmed reading of the configuration")
                .build(),
            active: gauge("active_requests", "Requests under way"),
            connections: gauge("caller_connections", "Connections of callers"),
            duties: gauge("duties", "Duties that the process holds"),
            registry,
            _provider: provider,
        })
    }

    /// All metrics as Prometheus text.
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            Ok(()) => String::from_utf8_lossy(&buf).into_owned(),
            Err(err) => err.to_string(),
        }
    }

    /// A request of a tenant for a service was answered with an upstream's answer.
    pub fn answered(&self, tenant: &str, service: &str, status: u16, took: Duration) {
        let labels = [
            KeyValue::new("tenant", tenant.to_owned()),
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("status", i64::from(status)),
        ];
        self.latency.record(took.as_secs_f64(), &labels);
    }

    /// What the process is doing now.
    pub fn state(&self, state: ProcessState) {
        self.age.record(state.age.as_secs_f64(), &[]);
        self.active.record(state.active, &[]);
        self.connections.record(state.connections, &[]);
        self.duties.record(state.duties, &[]);
    }

    /// A request was refused.
    pub fn refused(&self, kind: ErrorKind) {
        self.refusals.add(1, &[KeyValue::new("kind", kind.answer().code)]);
    }

    /// A request was sent again.
    pub fn retried(&self) {
        self.retries.add(1, &[]);
    }

    /// An order was sent.
    pub fn ordered(&self, kind: &'static str) {
        self.orders.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// The log answered a call.
    pub fn store_called(&self, topic: &'static str) {
        self.calls.add(1, &[KeyValue::new("topic", topic)]);
    }

    /// The log did not answer a call.
    pub fn store_failed(&self, topic: &'static str) {
        self.failures.add(1, &[KeyValue::new("topic", topic)]);
    }

    /// A configuration is in force.
    pub fn version(&self, version: u64) {
        self.version.record(version, &[]);
    }
}
