//! The state of the process, in parts. Each part has its own lock behind a narrow face.
//!
//! A part may look at the streams and at the fleet while it is locked, and the queue at the
//! upstreams; those never look at another part. So locks are always taken in one order.

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
