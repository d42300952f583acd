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
        let latency = meter.f64_histogram("request_time").with_unit("s");
        let latency = latency.with_description("Time to an answer, or to a stream's first event");
        Ok(Metrics {
            latency: latency.with_boundaries(SECONDS.to_vec()).build(),
            refusals: counter("refusals", "Requests refused, by kind"),
            retries: counter("retries", "Requests sent again"),
            orders: counter("orders", "Orders sent to engines"),
            calls: counter("store_calls", "Calls to the platform's log"),
            failures: counter("store_failures", "Calls to the platform's log without an answer"),
            version: meter
                .u64_gauge("config_version")
                .with_description("Version of the configuration in force")
                .build(),
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

    /// A request was answered with an upstream's answer.
    pub fn answered(&self, status: u16, took: Duration) {
        let label = KeyValue::new("status", i64::from(status));
        self.latency.record(took.as_secs_f64(), &[label]);
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
