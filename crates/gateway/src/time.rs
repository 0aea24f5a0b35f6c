//! Timeouts.

use {
    smol::Timer,
    std::{future::Future, time::Instant},
};

/// Waits for a future until a deadline. Returns `None` if the deadline passes first.
pub async fn within<T>(deadline: Instant, future: impl Future<Output = T>) -> Option<T> {
    let timer = async {
        Timer::at(deadline).await;
        None
    };
    smol::future::or(async { Some(future.await) }, timer).await
}
