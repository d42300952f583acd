//! Which numbers are the status of a response.

/// Reports whether a number is the HTTP status of a final response: from 200 to 599. Others are those of
/// interim responses or of none, so what bears one is not the response to a request.
///
/// ```
/// use carobglade::is_final_status;
/// assert!(is_final_status(404));
/// assert!(![0, 101, 600].into_iter().any(is_final_status));
/// ```
pub fn is_final_status(status: u16) -> bool {
    (200..600).contains(&status)
}
