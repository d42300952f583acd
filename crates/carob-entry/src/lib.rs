//! The reverse proxy that runs on every entry vm, between callers and upstreams.
//!
//! The modules in `state` hold the state, and `shared_state` combines them. The other modules are
//! the tasks and request handlers that work on this state.

mod active_call;
mod admin;
mod append;
mod attempts;
mod caller_api;
mod caller_request;
mod dispatch;
mod drain;
mod forward;
mod log_follower;
mod logging;
mod metrics;
mod model_calls;
mod orders;
mod peer_transport;
mod peers;
mod permit;
mod planning;
mod process;
mod quota_tasks;
mod reservation;
mod service_calls;
mod settings;
mod shared_state;
mod state;
mod token_counter;

pub use logging::start_logging;
pub use process::run;
pub use settings::Settings;
