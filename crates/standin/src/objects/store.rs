//! Versioned objects and the order of their changes.

use {
    std::{collections::BTreeMap, ops::Bound, sync::Arc},
    trefoilring_clients::KeyVersion,
};

/// A stored object.
#[derive(Clone, Debug)]
pub(super) struct StoredObject {
    /// The store's revision at the object's last change. A key that is deleted and created again
    /// therefore never gets a previous version.
    pub version: u64,
    pub value: Arc<[u8]>,
}

/// Outcome of a conditional change.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum ChangeOutcome {
    /// The change took effect.
    Applied {
        /// The new version; for a deletion, the revision that it created.
        version: u64,
    },
    /// The change requires an existing object, and there is none.
    Absent,
    /// The object has a version other than the required one.
    Conflict {
        /// The object's current version.
        current: u64,
    },
}

/// A versioned key-value store.
#[derive(Debug, Default)]
pub(super) struct Store {
    /// Number of changes to the store.
    revision: u64,
    bytes: u64,
    objects: BTreeMap<String, StoredObject>,
    /// The last change of each key, by revision. Deleted keys stay, so that watches report them.
    change_log: BTreeMap<u64, String>,
    /// The inverse of `change_log`.
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

    pub(super) fn get(&self, key: &str) -> Option<&StoredObject> {
        self.objects.get(key)
    }

    pub(super) fn put(&mut self, key: &str, if_version: u64, value: Vec<u8>) -> ChangeOutcome {
        if let Some(failure) = self.check_version(key, if_version) {
            return failure;
        }
        let version = self.record_change(key);
        self.bytes += value.len() as u64;
        let old = self.objects.insert(key.into(), StoredObject { version, value: value.into() });
        self.bytes -= old.map_or(0, |old| old.value.len() as u64);
        ChangeOutcome::Applied { version }
    }

    pub(super) fn delete(&mut self, key: &str, if_version: u64) -> ChangeOutcome {
        if !self.objects.contains_key(key) {
            return ChangeOutcome::Absent;
        }
        if let Some(failure) = self.check_version(key, if_version) {
            return failure;
        }
        let old = self.objects.remove(key);
        self.bytes -= old.map_or(0, |old| old.value.len() as u64);
        ChangeOutcome::Applied { version: self.record_change(key) }
    }

    /// Returns up to `limit` keys that start with a prefix and are greater than `after`, in order.
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

    /// Returns whether a key that starts with the prefix changed after a revision.
    pub(super) fn has_changes_since(&self, prefix: &str, since: u64) -> bool {
        self.changed_after(since).any(|key| key.starts_with(prefix))
    }

    /// Returns the keys that start with the prefix and changed after a revision, oldest change
    /// first. Deleted keys have version 0.
    pub(super) fn changes(&self, prefix: &str, since: u64) -> Vec<KeyVersion> {
        let keys = self.changed_after(since).filter(|key| key.starts_with(prefix));
        let version_of = |key: &str| self.objects.get(key).map_or(0, |object| object.version);
        keys.map(|key| KeyVersion { key: key.clone(), version: version_of(key) }).collect()
    }

    /// Returns the keys changed after a revision, oldest change first. If `since` is above the
    /// current revision, the store has lost its data in the meantime, and every key is returned.
    fn changed_after(&self, since: u64) -> impl Iterator<Item = &String> {
        let since = if since > self.revision { 0 } else { since };
        self.change_log.range((Bound::Excluded(since), Bound::Unbounded)).map(|(_, key)| key)
    }

    fn check_version(&self, key: &str, if_version: u64) -> Option<ChangeOutcome> {
        let current = self.objects.get(key).map_or(0, |object| object.version);
        match current {
            _ if current == if_version => None,
            0 => Some(ChangeOutcome::Absent),
            _ => Some(ChangeOutcome::Conflict { current }),
        }
    }

    fn record_change(&mut self, key: &str) -> u64 {
        self.revision += 1;
        self.change_log.insert(self.revision, key.into());
        if let Some(old) = self.changed_at.insert(key.into(), self.revision) {
            self.change_log.remove(&old);
        }
        self.revision
    }
}
