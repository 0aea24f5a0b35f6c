//! Wakes all tasks that wait for a change.

use {
    smol::channel::{Receiver, Sender, bounded},
    std::sync::{Mutex, PoisonError},
};

/// Notifies listeners of one kind of change. Each listener is woken once.
#[derive(Debug, Default)]
pub(crate) struct ChangeNotifier {
    listeners: Mutex<Vec<Sender<()>>>,
}

impl ChangeNotifier {
    /// Returns a receiver that completes at the next notification. Call this before checking the
    /// state, so that no change is missed.
    pub(crate) fn listen(&self) -> Receiver<()> {
        let (sender, receiver) = bounded(1);
        let mut listeners = self.listeners.lock().unwrap_or_else(PoisonError::into_inner);
        // Drops closed listeners, which would otherwise accumulate while there are no changes. Done
        // only at power-of-two lengths, so that the cost is amortized.
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
