//! Starts fleets of real processes on loopback for tests, load runs and measurements.

pub mod client;
pub mod config;
pub mod demo;
pub mod fleet;
pub mod history;
pub mod kept_connection;
pub mod log_cost;
pub mod policies;
pub mod process;
pub mod report;
pub mod slopes;
pub mod workloads;

pub use client::{Client, Response};
pub use fleet::{Fleet, FleetOptions};
pub use kept_connection::{KeptConnection, KeptResponse};
pub use process::{Process, free_address};
