//! Objects with versions, and the order of their changes.

use {
    std::{collections::BTreeMap, ops::Bound, sync::Arc},
    trefoilring_clients::KeyVersion,
};

/// An object.
#[derive(Clone, Debug)]
pub(super) struct Stored {
    /// Invariant: the store's revision at its last change, so that a key that is deleted and made
    /// again never has an old version.
    pub version: u64,
    /// The value.
    pub value: Arc<[u8]>,
}

/// What a conditional change did.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum Change {
    /// It took effect.
    Applied {
        /// The new version; of a deletion, the revision that it made.
        version: u64,
    },
    /// There is no such object, and the change asked for one.
    Absent,
    /// The object has another version.
    Conflict {
        /// Its version.
        present: u64,
    },
}

/// The store.
#[derive(Debug, Default)]
pub(super) struct Store {
    /// Counts changes of the whole store.
    revision: u64,
    bytes: u64,
    objects: BTreeMap<String, Stored>,
    /// The last change of each key: revision to key. Deleted keys stay, for watches.
    log: BTreeMap<u64, String>,
    /// The reverse of `log`.
    changed_at: BTreeMap<String, u64>,
}

impl Store {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of objects and the bytes of their values.
    pub(super) fn size(&self) -> (u64, u64) {
        (self.objects.len() as u64, self.bytes)
    }

    pub(super) fn get(&self, key: &str) -> Option<&Stored> {
        self.objects.get(key)
    }

    pub(super) fn put(&mut self, key: &str, if_version: u64, value: Vec<u8>) -> Change {
        if let Some(refused) = self.check(key, if_version) {
            return refused;
        }
        let version = self.record(key);
        self.bytes += value.len() as u64;
        let old = self.objects.insert(key.into(), Stored { version, value: value.into() });
        self.bytes -= old.map_or(0, |old| old.value.len() as u64);
        Change::Applied { version }
    }

    pub(super) fn delete(&mut self, key: &str, if_version: u64) -> Change {
        if !self.objects.contains_key(key) {
            return Change::Absent;
        }
        if let Some(refused) = self.check(key, if_version) {
            return refused;
        }
        let old = self.objects.remove(key);
        self.bytes -= old.map_or(0, |old| old.value.len() as u64);
        Change::Applied { version: self.record(key) }
    }

    /// Lists keys under a prefix in order.
    pub(super) fn list(&self, prefix: &str, after: &str, limit: usize) -> Vec<KeyVersion> {
        let start = match after >= prefix {
            true => Bound::Excluded(after),
            false => Bound::Included(prefix),
        };
        let from_start = self.objects.range::<str, _>((start, Bound::Unbounded));
        let under = from_start.take_while(|(key, _)| key.starts_with(prefix)).take(limit);
        under
            .map(|(key, object)| KeyVersion { key: key.clone(), version: object.version })
            .collect()
    }

    /// Returns whether anything under the prefix changed after a revision.
    pub(super) fn is_newer(&self, prefix: &str, since: u64) -> bool {
        self.after(since).any(|key| key.starts_with(prefix))
    }

    /// Returns the last change of each key under the prefix after a revision, oldest first.
    pub(super) fn changes(&self, prefix: &str, since: u64) -> Vec<KeyVersion> {
        let keys = self.after(since).filter(|key| key.starts_with(prefix));
        let version_of = |key: &str| self.objects.get(key).map_or(0, |object| object.version);
        keys.map(|key| KeyVersion { key: key.clone(), version: version_of(key) }).collect()
    }

    /// A revision above the store's own is from before its memory was lost: all is newer.
    fn after(&self, since: u64) -> impl Iterator<Item = &String> {
        let since = if since > self.revision { 0 } else { since };
        self.log.range((Bound::Excluded(since), Bound::Unbounded)).map(|(_, key)| key)
    }

    fn check(&self, key: &str, if_version: u64) -> Option<Change> {
        let present = self.objects.get(key).map_or(0, |object| object.version);
        match present {
            _ if present == if_version => None,
            0 => Some(Change::Absent),
            _ => Some(Change::Conflict { present }),
        }
    }

    fn record(&mut self, key: &str) -> u64 {
        self.revision += 1;
        self.log.insert(self.revision, key.into());
        if let Some(old) = self.changed_at.insert(key.into(), self.revision) {
            self.log.remove(&old);
        }
        self.revision
    }
}
