//! Notifies waiting and streaming requests that their key has been withdrawn.

use {
    smol::channel::{Receiver, Sender},
    std::{
        collections::BTreeMap,
        sync::{Mutex, PoisonError},
    },
    trefoilring_core::ids::KeyId,
};

/// Both ends of a channel that carries no messages and is only ever closed.
type Signal = (Sender<()>, Receiver<()>);

/// One channel per key in use. Closing the channel is the signal, because it reaches every clone of
/// the receiver at once.
#[derive(Default)]
pub(crate) struct Withdrawals {
    by_key: Mutex<BTreeMap<KeyId, Signal>>,
}

impl Withdrawals {
    /// Completes when the key is withdrawn, or at once if it no longer `is_valid`. The caller must
    /// make a key invalid before it calls [`Self::withdraw`], so that no withdrawal between two
    /// waits is missed.
    pub(crate) async fn wait(&self, key: &KeyId, is_valid: impl FnOnce() -> bool) {
        let receiver = {
            let mut by_key = self.by_key.lock().unwrap_or_else(PoisonError::into_inner);
            by_key.entry(key.clone()).or_insert_with(|| smol::channel::bounded(1)).1.clone()
        };
        if !is_valid() {
            return;
        }
        // `recv` returns an error once the channel is closed.
        let _ = receiver.recv().await;
    }

    /// Completes all waits for a key.
    pub(crate) fn withdraw(&self, key: &KeyId) {
        let mut by_key = self.by_key.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((sender, _)) = by_key.remove(key) {
            sender.close();
        }
    }
}

#[cfg(test)]
mod tests;
