//! Fakes of the platform's log, the weight store, model engines and plain services, and a TCP relay
//! that can fail connections, for tests, benches and the demo.

pub mod fake_engine;
pub mod fake_log;
pub mod fake_service;
pub mod fake_store;
pub mod relay;

use std::sync::{Arc, Mutex};

/// A value shared between tasks behind a mutex.
pub type Shared<T> = Arc<Mutex<T>>;
