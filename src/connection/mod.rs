//! Types whose lifetime is one connection.

mod circuit_breaker;
mod event_splitter;
mod inactivity_timeout;

pub use circuit_breaker::{CircuitBreaker, CircuitBreakerSettings};
pub use event_splitter::{EventSplitter, EventTooLong, MAX_EVENT_BYTES};
pub use inactivity_timeout::{InactivityTimeout, InactivityTimeoutSettings};
