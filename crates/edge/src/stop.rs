//! A signal that many tasks wait for and that is given once.

use {smol::channel, std::convert::Infallible};

/// Gives the signal, by [`Stopper::stop`] or by being dropped.
#[derive(Debug)]
pub struct Stopper(channel::Sender<Infallible>);

/// Waits for the signal. Clones wait for the same one.
#[derive(Clone, Debug)]
pub struct Stop(channel::Receiver<Infallible>);

/// Makes a signal and what waits for it.
pub fn stop_signal() -> (Stopper, Stop) {
    let (sender, receiver) = channel::bounded(1);
    (Stopper(sender), Stop(receiver))
}

impl Stopper {
    /// Gives the signal. A second call has no effect.
    pub fn stop(&self) {
        self.0.close();
    }
}

impl Stop {
    /// Completes when the signal was given.
    pub async fn wait(&self) {
        // The channel carries no values, so that the only answer is that it was closed.
        let _ = self.0.recv().await;
    }

    /// Returns whether the signal was given.
    pub fn is_stopped(&self) -> bool {
        self.0.is_closed()
    }
}
