//! The reverse proxy that runs on every entry vm, between callers and upstreams.

mod attempt;
mod attempts;
mod caller_connection;
mod caller_timer;
mod choose;
mod connect;
mod datagram;
mod duty_claims;
mod edge;
mod follow;
mod group;
mod handle;
mod in_flight;
mod keep_alive;
mod listener;
mod load_guard;
mod logging;
mod metrics;
mod open_request;
mod orders;
mod origin_log;
mod origin_state;
mod origins;
mod outgoing_request;
mod path_state;
mod paths;
mod peers;
mod pool;
mod process;
mod quarantine;
mod relay;
mod request;
mod resend;
mod response;
mod response_budget;
mod retry_token;
mod rooms;
mod send_interval;
mod settings;
mod stop_admission;
mod stop_counts;
mod store;
mod tried;
mod tunnel;
mod tunnel_server;
mod turn_requests;
mod turns;
mod view;

pub use logging::start as start_logging;
pub use process::run;
pub use settings::{
    DeploymentLimits, ListenAddresses, PortRange, Processor, Settings, StoreSettings,
};
