//! How a response tells where its body ends.

use std::fmt::{self, Display};

use carobglade::is_final_status;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode};

/// Why the head of a response cannot be that of a response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OddHead {
    /// Its status is not that of a final response.
    Status,
    /// It does not tell how its body ends: a coding other than chunks, or another protocol.
    BodyEnd,
}

impl Display for OddHead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            OddHead::Status => "the response has a status that is none",
            OddHead::BodyEnd => "the response does not tell how its body ends",
        })
    }
}

impl std::error::Error for OddHead {}

/// How a response tells where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// By a length, by chunks, or because it has no body.
    Told,
    /// By the end of its connection.
    Connection,
}

impl BodyEnd {
    /// Returns how the response with this head to a request with this method ends.
    ///
    /// # Errors
    ///
    /// When the head is not that of a response to any request of ours.
    pub fn of(method: &Method, status: StatusCode, headers: &HeaderMap) -> Result<Self, OddHead> {
        if status == StatusCode::SWITCHING_PROTOCOLS || has_other_coding(headers) {
            return Err(OddHead::BodyEnd);
        }
        if !is_final_status(status.as_u16()) {
            return Err(OddHead::Status);
        }
        let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&status);
        let has = |name| headers.contains_key(name);
        if bodiless || method == Method::HEAD || has(CONTENT_LENGTH) || has(TRANSFER_ENCODING) {
            return Ok(BodyEnd::Told);
        }
        Ok(BodyEnd::Connection)
    }

    /// Reports whether the end of a success without a single byte of a body may as well be that of an
    /// upstream that stopped behind the head.
    pub fn is_doubtful(self, status: StatusCode, empty: bool) -> bool {
        self == BodyEnd::Connection && empty && status.is_success()
    }
}

/// Reports whether a body is coded otherwise than in chunks alone.
fn has_other_coding(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let first = codings.next();
    let is_chunked =
        first.is_none_or(|coding| coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked"));
    !is_chunked || codings.next().is_some()
}
