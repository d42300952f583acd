//! Requests to upstreams and to the log.

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::Full;

/// A request to an upstream or to the log.
#[derive(Clone)]
pub struct OutgoingRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub target: Uri,
    /// The headers to send.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl OutgoingRequest {
    /// Builds the request; `None` if it is not valid.
    pub fn build(self) -> Option<Request<Full<Bytes>>> {
        let mut built =
            Request::builder().method(self.method).uri(self.target).body(Full::new(self.body));
        if let Ok(built) = &mut built {
            *built.headers_mut() = self.headers;
        }
        built.ok()
    }
}
