//! A one-shot stop signal that many tasks can wait for.

use {smol::channel, std::convert::Infallible};

/// Sends the stop signal, by [`Stopper::stop`] or when dropped.
#[derive(Debug)]
pub struct Stopper(channel::Sender<Infallible>);

/// Receives the stop signal. Clones receive the same signal.
#[derive(Clone, Debug)]
pub struct Stop(channel::Receiver<Infallible>);

/// Creates the two ends of a stop signal.
pub fn stop_signal() -> (Stopper, Stop) {
    let (sender, receiver) = channel::bounded(1);
    (Stopper(sender), Stop(receiver))
}

impl Stopper {
    /// Sends the signal. Further calls have no effect.
    pub fn stop(&self) {
        self.0.close();
    }
}

impl Stop {
    /// Completes when the signal is sent, at once if it was sent before.
    pub async fn wait(&self) {
        // No value is ever sent, so `recv` returns only when the channel is closed.
        let _ = self.0.recv().await;
    }

    /// Returns whether the signal was sent.
    pub fn is_stopped(&self) -> bool {
        self.0.is_closed()
    }
}
