//! Metrics of a process, as Prometheus text.

use opentelemetry::metrics::{Counter, Gauge, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Where a process registers its metrics.
pub struct MetricsRegistry {
    registry: Registry,
    meter: Meter,
    _provider: SdkMeterProvider,
}

impl MetricsRegistry {
    /// An empty registry.
    ///
    /// # Errors
    ///
    /// When the exporter cannot be built.
    pub fn new() -> Result<Self, opentelemetry_sdk::error::OTelSdkError> {
        let registry = Registry::new();
        let reader =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        let meter = provider.meter("carobglade");
        Ok(MetricsRegistry { registry, meter, _provider: provider })
    }

    /// Makes instruments of other kinds.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// A counter.
    pub fn counter(&self, name: &'static str, what: &'static str) -> Counter<u64> {
        self.meter.u64_counter(name).with_description(what).build()
    }

    /// A gauge.
    pub fn gauge(&self, name: &'static str, what: &'static str) -> Gauge<u64> {
        self.meter.u64_gauge(name).with_description(what).build()
    }

    /// All metrics as Prometheus text.
    pub fn encode_text(&self) -> String {
        let mut buf = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            Ok(()) => String::from_utf8_lossy(&buf).into_owned(),
            Err(err) => err.to_string(),
        }
    }
}
