//! A caller's request, read whole.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};

/// A caller's request, read whole.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Query.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Its id.
    pub id: String,
    /// When it came.
    pub started: Duration,
}
