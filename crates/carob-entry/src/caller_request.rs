//! A caller's request with its whole body.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use carob_net::ReservedBody;
use http::{HeaderMap, Method};

/// A caller's request with its whole body.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: Method,
    /// Path of the URL.
    pub path: String,
    /// Query string of the URL, without the question mark.
    pub query: String,
    /// Headers as received.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The memory that the body takes.
    pub _reserved: Arc<ReservedBody>,
    /// Request id, from the caller or generated.
    pub id: String,
    /// Time of arrival, since the start of the process.
    pub started: Duration,
}
