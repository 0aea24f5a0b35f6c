//! Tells how long an exchange has made no progress.
//!
//! The total time of an exchange depends on its size and on the link. A peer is in trouble if nothing
//! passes, however long the exchange has taken.

use {
    smol::Timer,
    std::{
        future::Future,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Extension of a request: when bytes of its exchange passed last, in either direction.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    began_at: Instant,
    /// Microseconds from `began_at` to the last progress.
    last_us: Arc<AtomicU64>,
}

impl Progress {
    /// Begins an exchange. Its begin counts as progress.
    pub(crate) fn begin() -> Self {
        Self { began_at: Instant::now(), last_us: Arc::default() }
    }

    /// Records progress.
    pub(crate) fn record(&self) {
        let elapsed_us = self.began_at.elapsed().as_micros() as u64;
        self.last_us.store(elapsed_us, Ordering::Relaxed);
    }

    /// Returns when the last progress was made.
    pub(crate) fn last_at(&self) -> Instant {
        self.began_at + Duration::from_micros(self.last_us.load(Ordering::Relaxed))
    }

    /// Waits for the outcome of the exchange for as long as it makes progress. Returns `None` once it
    /// has made none for `silence_max`.
    pub(crate) async fn wait_for<T>(
        &self,
        silence_max: Duration,
        exchange: impl Future<Output = T>,
    ) -> Option<T> {
        let silence = async {
            loop {
                let silent_at = self.last_at() + silence_max;
                if silent_at <= Instant::now() {
                    return None;
                }
                Timer::at(silent_at).await;
            }
        };
        smol::future::or(async { Some(exchange.await) }, silence).await
    }
}
