//! Types whose lifetime is one connection.

mod caller_timeouts;
mod circuit_breaker;
mod connection_table;
mod event_sequence;
mod event_splitter;
mod id_distances;
mod inactivity_timeout;
mod keep_alive_promise;
mod timeout_history;

pub use caller_timeouts::{CallerTimeouts, CallerTimeoutsSettings};
pub use circuit_breaker::{CircuitBreaker, CircuitBreakerSettings};
pub use connection_table::{ConnectionAdmission, ConnectionId, ConnectionStage, ConnectionTable};
pub use event_sequence::{EventCheck, EventSequence, IdStep, NotNext, StreamPoint};
pub use event_splitter::{EventSplitter, EventTooLong, MAX_EVENT_BYTES};
pub use id_distances::{IdDistances, IdSource, IdSources};
pub use inactivity_timeout::{InactivityTimeout, InactivityTimeoutSettings};
pub use keep_alive_promise::KeepAlivePromise;
pub use timeout_history::TimeoutHistory;
