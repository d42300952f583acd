//! The longest head of a request that the configuration in force allows.

use carobglade::{Error, ErrorKind, Result};
use http::request::Parts;

use crate::edge::Edge;

/// Head that is read whatever the configuration says.
const MIN_HEAD_BYTES: usize = 16 << 10;
/// Bytes of a request line without its method and target: two spaces, the version and the line end.
const REQUEST_LINE_BYTES: usize = 12;
/// Bytes of a header line without its name and value: a colon, a space and the line end.
const HEADER_LINE_BYTES: usize = 4;

/// Returns the longest head of a request in bytes.
pub fn head_limit(edge: &Edge) -> usize {
    let limits = edge.config().map(|config| config.limits).unwrap_or_default();
    limits.header_bytes.max(MIN_HEAD_BYTES)
}

/// Returns the error of a request whose head is too long.
pub fn too_long_error(edge: &Edge) -> Error {
    let message = format!("the head is longer than {} bytes", head_limit(edge));
    Error::new(ErrorKind::HeadersTooLarge, message)
}

/// Checks the head of a request that has arrived whole.
///
/// # Errors
///
/// Returns `HeadersTooLarge` if it is longer than the limit in force.
pub fn check_head(edge: &Edge, parts: &Parts) -> Result<()> {
    if head_bytes(parts) >= head_limit(edge) { Err(too_long_error(edge)) } else { Ok(()) }
}

fn head_bytes(parts: &Parts) -> usize {
    let target = parts.uri.path_and_query().map_or(1, |target| target.as_str().len());
    let lines = parts
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_BYTES);
    parts.method.as_str().len() + target + REQUEST_LINE_BYTES + lines.sum::<usize>()
}
