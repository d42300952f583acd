//! The state of the process, divided into parts that each have a lock of their own.
//!
//! While a part is locked, it may read the log state and the fleet, and the request queue may also
//! read the upstreams. The log state, the fleet and the upstreams never lock another part, so locks
//! are always taken in the same order and cannot deadlock.

mod batcher;
mod claim_tracker;
mod fleet;
mod lifecycle;
mod log_state;
mod quota;
mod request_queue;
mod upstream_tracker;

pub use batcher::{Batcher, log_unavailable};
pub use claim_tracker::ClaimTracker;
pub use fleet::FleetView;
pub use lifecycle::{InFlight, Lifecycle};
pub use log_state::{LogState, LogStream};
pub use quota::Quota;
pub use request_queue::{RequestQueue, Ticket, UpstreamRequirements};
pub use upstream_tracker::{PollResult, UpstreamTracker};
