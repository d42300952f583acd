//! Regression tests, one file for each fault.

#[path = "../support/mod.rs"]
mod support;

mod base_with_adapters;
mod closed_loans;
mod empty_stream;
mod unfenced_restart;
