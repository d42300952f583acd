//! Watches waits that a silence does not end.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

/// Waits for `step`, and calls `on_silence` if that takes longer than `expected`.
pub async fn watch_silence<T>(
    step: impl Future<Output = T>,
    expected: Duration,
    on_silence: impl FnOnce(),
) -> T {
    let mut step = pin!(step);
    match tokio::time::timeout(expected, &mut step).await {
        Ok(done) => done,
        Err(_) => {
            on_silence();
            step.await
        }
    }
}
