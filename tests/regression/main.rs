//! One file for each fault that was found.

#[path = "../support/mod.rs"]
mod support;

mod base_with_adapters;
mod closed_loan;
mod first_offset;
mod unfenced_restart;
