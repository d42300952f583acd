//! Stand-ins and scenarios of the review's scripts.
//!
//! The store is a stand-in of its own, because it has to come back from a copy. Model servers and
//! clients come from the project where they fit.

pub mod clients;
pub mod dropping_server;
pub mod interim_server;
pub mod machine;
pub mod record;
pub mod site;
pub mod spoiling_server;
pub mod store;
pub mod store_state;
pub mod stream_server;

/// Result of the fallible steps of a scenario.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;
