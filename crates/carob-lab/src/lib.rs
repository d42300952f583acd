//! Stand-ins for what carobglade meets, and the harness that drives real processes.

pub mod fake_engine;
pub mod fake_log;
pub mod fake_service;
pub mod fake_store;
pub mod relay;

use std::sync::{Arc, Mutex};

/// A shared value behind a lock.
pub type Shared<T> = Arc<Mutex<T>>;
