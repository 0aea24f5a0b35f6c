//! Wakes all that wait for a change.

use {
    smol::channel::{Receiver, Sender, bounded},
    std::sync::{Mutex, PoisonError},
};

/// Listeners of one kind of change.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    listeners: Mutex<Vec<Sender<()>>>,
}

impl Signal {
    /// Returns what completes at the next notification. Listen first and look at the state then, so
    /// that no change is missed.
    pub(crate) fn listen(&self) -> Receiver<()> {
        let (sender, receiver) = bounded(1);
        let mut listeners = self.listeners.lock().unwrap_or_else(PoisonError::into_inner);
        // Listeners that went away are dropped here, so that quiet times don't pile them up.
        if listeners.len().is_power_of_two() {
            listeners.retain(|listener| !listener.is_closed());
        }
        listeners.push(sender);
        receiver
    }

    /// Wakes all listeners.
    pub(crate) fn notify(&self) {
        let mut listeners = self.listeners.lock().unwrap_or_else(PoisonError::into_inner);
        for listener in listeners.drain(..) {
            listener.try_send(()).ok();
        }
    }
}
