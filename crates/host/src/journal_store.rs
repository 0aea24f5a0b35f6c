//! Executes the commands of [`trefoilring_core::journal`]: journals in the Object API and copies at
//! other hosts.
//!
//! Each function makes one request and converts its result into the event that the state machine
//! expects. Entries are JSON objects at `journal/{id}/{seq}`. The position has twelve digits, so
//! that keys sort in the order of positions.

use {
    crate::shared::Shared,
    std::{sync::Arc, time::Duration},
    trefoilring_clients::{KeyVersion, ReadError, WriteError},
    trefoilring_core::{
        ids::{JournalId, Member},
        journal::{ClaimReply, CopyReply, Entry, Event, FailureKind, Owner, TakeoverEvent},
    },
    trefoilring_proto::{ClaimRequest, CopyRequest, DiscardRequest},
};

/// Prefix of the keys of all journals.
pub(crate) const PREFIX: &str = "journal/";
/// Timeout for sending a copy or a claim.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of keys per page of a list.
const LIST_PAGE_KEYS: usize = 1000;

/// Returns the key of one entry.
pub(crate) fn key(journal: &str, seq: u64) -> String {
    format!("{PREFIX}{journal}/{seq:012}")
}

/// Creates an entry. Also returns the version of the object, which is needed to delete it.
pub(crate) async fn write(shared: &Shared, entry: &Entry) -> (Event, Option<u64>) {
    let seq = entry.seq;
    let Ok(value) = serde_json::to_vec(entry) else {
        return (Event::StoreFailed { seq, kind: FailureKind::NotApplied }, None);
    };
    shared.metrics.count("journal.writes", 1);
    shared.metrics.count("journal.written_bytes", value.len() as i64);
    match shared.objects.put(&key(&entry.journal, seq), 0, value).await {
        Ok(version) => (Event::Stored { seq }, Some(version)),
        Err(WriteError::Conflict { .. }) => (Event::Conflict { seq, found: None }, None),
        Err(WriteError::NotApplied(error)) => {
            log::debug!("journal {}: failed to write entry {seq}: {error}", entry.journal);
            (Event::StoreFailed { seq, kind: FailureKind::NotApplied }, None)
        }
        Err(WriteError::Unknown(error)) => {
            log::debug!(
                "journal {}: unknown whether entry {seq} was written: {error}",
                entry.journal
            );
            (Event::StoreFailed { seq, kind: FailureKind::Unknown }, None)
        }
    }
}

/// Reads the entry at one position.
pub(crate) async fn read(shared: &Shared, journal: &JournalId, seq: u64) -> Event {
    match get(shared, &key(journal, seq)).await {
        Ok(entry) => Event::EntryRead { seq, entry: entry.map(Arc::new) },
        Err(error) => {
            log::debug!("journal {journal}: failed to read entry {seq}: {error}");
            Event::StoreFailed { seq, kind: FailureKind::NotApplied }
        }
    }
}

/// Deletes the entry at one position. `version` is the version of its object, if known.
pub(crate) async fn delete(
    shared: &Shared,
    journal: &JournalId,
    seq: u64,
    version: Option<u64>,
) -> Event {
    let key = key(journal, seq);
    let version = match version {
        Some(version) => version,
        None => match shared.objects.get(&key).await {
            Ok(Some(object)) => object.version,
            Ok(None) => return Event::Deleted { seq },
            Err(_) => return Event::DeleteFailed { seq },
        },
    };
    match shared.objects.delete(&key, version).await {
        Ok(()) | Err(WriteError::Conflict { present: 0 }) => Event::Deleted { seq },
        Err(_) => Event::DeleteFailed { seq },
    }
}

/// Reads all entries after a position.
pub(crate) async fn read_after(shared: &Shared, journal: &JournalId, after: u64) -> TakeoverEvent {
    match try_read_after(shared, journal, after).await {
        Ok(entries) => TakeoverEvent::Entries(entries),
        Err(error) => {
            log::debug!("journal {journal}: failed to read entries: {error}");
            TakeoverEvent::ReadFailed
        }
    }
}

async fn try_read_after(
    shared: &Shared,
    journal: &JournalId,
    after: u64,
) -> Result<Vec<Entry>, ReadError> {
    let prefix = format!("{PREFIX}{journal}/");
    let mut last = key(journal, after);
    let mut entries = Vec::new();
    loop {
        let page = shared.objects.list(&prefix, &last, LIST_PAGE_KEYS).await?;
        let Some(end) = page.last() else { return Ok(entries) };
        last.clone_from(&end.key);
        for KeyVersion { key, .. } in page {
            // Entries are deleted only once they are no longer needed, so an entry deleted since
            // the listing can be skipped.
            entries.extend(get(shared, &key).await?);
        }
    }
}

async fn get(shared: &Shared, key: &str) -> Result<Option<Entry>, ReadError> {
    let Some(object) = shared.objects.get(key).await? else { return Ok(None) };
    serde_json::from_slice(&object.value).map(Some).map_err(|error| {
        let detail = format!("{key} is no journal entry: {error}");
        log::error!("{detail}");
        let kind = trefoilring_clients::ErrorKind::Malformed;
        ReadError(trefoilring_clients::CallError::may_have_run(kind, detail))
    })
}

/// Returns whether a journal has any entry.
pub(crate) async fn exists(shared: &Shared, journal: &JournalId) -> Result<bool, ReadError> {
    let page = shared.objects.list(&format!("{PREFIX}{journal}/"), "", 1).await?;
    Ok(!page.is_empty())
}

/// Deletes all entries of a journal, in the order of their positions.
pub(crate) async fn delete_all(shared: &Shared, journal: &JournalId) -> Result<(), String> {
    let prefix = format!("{PREFIX}{journal}/");
    loop {
        let page = shared.objects.list(&prefix, "", LIST_PAGE_KEYS).await;
        let page = page.map_err(|error| error.to_string())?;
        if page.is_empty() {
            return Ok(());
        }
        for KeyVersion { key, version } in page {
            match shared.objects.delete(&key, version).await {
                Ok(()) | Err(WriteError::Conflict { present: 0 }) => (),
                Err(error) => return Err(error.to_string()),
            }
        }
    }
}

/// Lists all journals. Skips from one journal to the next, so the cost is one request per journal.
pub(crate) async fn list(shared: &Shared) -> Result<Vec<JournalId>, ReadError> {
    let mut journals = Vec::new();
    let mut after = String::new();
    loop {
        let page = shared.objects.list(PREFIX, &after, 1).await?;
        let Some(first) = page.first() else { return Ok(journals) };
        let rest = first.key.strip_prefix(PREFIX).unwrap_or(&first.key);
        let journal = rest.split('/').next().unwrap_or(rest);
        journals.push(journal.into());
        // '0' follows '/' in ASCII, so this key sorts after all entries of the journal.
        after = format!("{PREFIX}{journal}0");
    }
}

/// Sends a copy of an entry to a backup.
pub(crate) async fn copy(shared: &Shared, address: &str, to: Member, entry: &Entry) -> Event {
    let (seq, backup) = (entry.seq, to.clone());
    let request = CopyRequest { to, entry: entry.clone() };
    let reply = match address.parse() {
        Ok(address) => {
            let link = shared.peers.link(address);
            let send = |client: trefoilring_proto::PeerClient, context| async move {
                client.copy_entry(context, request).await
            };
            link.call(PEER_TIMEOUT, send).await.ok().and_then(|reply: Option<CopyReply>| reply)
        }
        Err(_) => None,
    };
    match reply {
        Some(reply) => Event::CopyReplied { seq, backup, reply },
        None => Event::CopyFailed { seq, backup },
    }
}

/// Claims a journal at a backup.
pub(crate) async fn claim(
    shared: &Shared,
    address: &str,
    backup: Member,
    journal: JournalId,
    by: Owner,
) -> TakeoverEvent {
    let request = ClaimRequest { to: backup.clone(), journal, by };
    let Ok(address) = address.parse() else { return TakeoverEvent::ClaimFailed { backup } };
    let link = shared.peers.link(address);
    let send = |client: trefoilring_proto::PeerClient, context| async move {
        client.claim_journal(context, request).await
    };
    match link.call(PEER_TIMEOUT, send).await {
        Ok(Some::<ClaimReply>(reply)) => TakeoverEvent::ClaimReplied { backup, reply },
        _ => TakeoverEvent::ClaimFailed { backup },
    }
}

/// Allows a backup to drop copies. A lost message only costs memory at the backup.
pub(crate) async fn discard(shared: &Shared, address: &str, request: DiscardRequest) {
    let Ok(address) = address.parse() else { return };
    let link = shared.peers.link(address);
    let send = |client: trefoilring_proto::PeerClient, context| async move {
        client.discard_copies(context, request).await
    };
    let _ = link.call(PEER_TIMEOUT, send).await;
}
