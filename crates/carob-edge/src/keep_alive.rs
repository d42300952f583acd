//! How long a connection to an upstream may be kept after a response.

use std::time::Duration;

use http::Response;
use hyper::body::Incoming;

/// Idle timeout of a connection whose upstream sends no `Keep-Alive` timeout.
pub const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Fraction of the upstream's `Keep-Alive` timeout for which a connection is reused.
pub const IDLE_FRACTION: f64 = 0.6;

/// Returns how long the connection may be idle after a response; `None` when it must be closed.
pub fn idle_timeout(response: &Response<Incoming>) -> Option<Duration> {
    let text = |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok());
    if text("connection").is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
        return None;
    }
    let named = text("keep-alive").and_then(|value| {
        let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        seconds.parse::<f64>().ok().filter(|s| s.is_finite() && *s >= 0.0)
    });
    Some(
        named.map_or(DEFAULT_IDLE_TIMEOUT, |s| {
            Duration::from_secs_f64((s * IDLE_FRACTION).min(60.0))
        }),
    )
}
