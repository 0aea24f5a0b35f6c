//! Wakes all tasks that wait for a change.

use {
    smol::channel::{Receiver, Sender, bounded},
    std::sync::{Mutex, PoisonError},
};

/// Notifies listeners of one kind of change. Each listener is woken once.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    listeners: Mutex<Vec<Sender<()>>>,
}

impl Signal {
    /// Returns a receiver that completes at the next notification. To miss no change, call this
    /// before checking the state.
    pub(crate) fn listen(&self) -> Receiver<()> {
        let (sender, receiver) = bounded(1);
        let mut listeners = self.listeners.lock().unwrap_or_else(PoisonError::into_inner);
        // Drops closed listeners, which would otherwise accumulate while there are no changes.
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
