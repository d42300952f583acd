//! Metrics of a process in the Prometheus text format.

use opentelemetry::metrics::{Counter, Gauge, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Registry for the metrics of a process.
pub struct MetricsRegistry {
    registry: Registry,
    meter: Meter,
    _provider: SdkMeterProvider,
}

impl MetricsRegistry {
    /// Creates an empty registry.
    ///
    /// # Errors
    ///
    /// Returns an error when the Prometheus exporter cannot be built.
    pub fn new() -> Result<Self, opentelemetry_sdk::error::OTelSdkError> {
        let registry = Registry::new();
        let reader =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        let meter = provider.meter("carobglade");
        Ok(MetricsRegistry { registry, meter, _provider: provider })
    }

    /// Returns the meter, which creates the other kinds of instruments.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Creates a counter with a name and a description.
    pub fn counter(&self, name: &'static str, description: &'static str) -> Counter<u64> {
        self.meter.u64_counter(name).with_description(description).build()
    }

    /// Creates a gauge with a name and a description.
    pub fn gauge(&self, name: &'static str, description: &'static str) -> Gauge<u64> {
        self.meter.u64_gauge(name).with_description(description).build()
    }

    /// Returns all metrics in the Prometheus text format, or the message of the encoding error.
    pub fn encode_text(&self) -> String {
        let mut buf = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            Ok(()) => String::from_utf8_lossy(&buf).into_owned(),
            Err(err) => err.to_string(),
        }
    }
}
