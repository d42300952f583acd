//! The process on every entry vm of the users' platform, between callers and upstreams.

mod attempt;
mod choose;
mod edge;
mod follow;
mod front;
mod group;
mod handle;
mod logs;
mod metrics;
mod orders;
mod peers;
mod pool;
mod process;
mod reply;
mod request;
mod settings;
mod store;
mod view;

pub use logs::start as start_logging;
pub use process::run;
pub use settings::{Bounds, Listen, Ports, Processor, Settings, Store};
