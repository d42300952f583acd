//! The reverse proxy that runs on every entry vm, between callers and upstreams.

mod attempt;
mod attempts;
mod byte_budget;
mod caller_connection;
mod caller_timer;
mod charge;
mod choose;
mod connect;
mod crash_check;
mod datagram;
mod duty_claims;
mod edge;
mod event_stream;
mod follow;
mod group;
mod handle;
mod head_limit;
mod in_flight;
mod keep_alive;
mod leaving;
mod listener;
mod load_guard;
mod logging;
mod metrics;
mod open_request;
mod open_upstream;
mod orders;
mod origin_log;
mod origin_message;
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
mod undecoded;
mod view;
pub mod wire;

pub use logging::start as start_logging;
pub use process::run;
pub use settings::{
    DeploymentLimits, ListenAddresses, PortRange, Processor, Settings, StoreSettings,
};
