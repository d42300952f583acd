//! Regression tests, one file for each fault.

#[path = "../support/mod.rs"]
mod support;

mod base_with_adapters;
mod closed_loans;
mod empty_stream;
mod grown_fleet;
mod silent_upstreams;
mod simulated_engine;
mod starved_large_requests;
mod unfenced_restart;
