//! Makes a host the owner of a journal.

mod adopt;
mod port;

pub use port::{TakeoverCommand, TakeoverEvent, TakeoverResult};

use {
    super::owner::Journal,
    crate::{
        ids::{Epoch, JournalId, Member},
        journal::{ClaimReply, Command, Entry, Event, Opening, Owner, Recovery, Settings, recover},
    },
    std::{collections::BTreeSet, sync::Arc, time::Instant},
};

/// Phase of a takeover.
#[derive(Debug)]
enum Phase {
    /// Reads the entries after the last known position.
    Reading,
    /// Requests a claim at the backups, which returns their copies and fences the previous owner.
    Claiming,
    /// Writes the opening entry.
    Opening { entry: Arc<Entry>, is_reading: bool },
    /// Verifies that the opening entry is the last entry of the journal.
    Verifying { entry: Arc<Entry> },
    /// The new owner adopts the copied entries, then replaces the backups.
    Adopting { journal: Box<Journal>, has_replaced_backups: bool },
    /// Finished or superseded.
    Ended,
}

/// The takeover of one journal by one member. Also opens a new journal.
///
/// A takeover claims the journal at one backup, writes the opening entry, and then verifies that no
/// entry follows the opening entry. Only after that does the takeover adopt the copied entries.
#[derive(Debug)]
pub struct Takeover {
    settings: Settings,
    journal: JournalId,
    me: Member,
    backups: Vec<Member>,
    /// First free position, as reported by an owner that handed the journal over.
    handover_seq: Option<u64>,
    epoch: Epoch,
    recovery: Recovery,
    /// The previous ownership, once its opening entry has been read.
    previous_owner: Option<Owner>,
    has_read_entries: bool,
    /// Copies from the claimed backup whose records are not in the journal as read so far. `None`
    /// before a claim is granted.
    copies: Option<Vec<Entry>>,
    /// The owner whose copies were adopted, and its backups, for the discards at the end.
    previous_copy_source: Option<(Owner, Vec<Member>)>,
    pending_claim: Option<Member>,
    lost_backups: BTreeSet<Member>,
    tried_backups: BTreeSet<Member>,
    retry_at: Option<Instant>,
    phase: Phase,
}

impl Takeover {
    /// Prepares a takeover by `me`. `backups` are its own backups: two members in other failure
    /// domains. `handover_seq` is the position that the previous owner gave in [`Command::Closed`],
    /// for a planned handover.
    pub fn new(
        settings: Settings,
        journal: JournalId,
        me: Member,
        backups: Vec<Member>,
        handover_seq: Option<u64>,
    ) -> Self {
        Self {
            settings,
            journal,
            me,
            backups,
            handover_seq,
            epoch: 0,
            recovery: Recovery::default(),
            previous_owner: None,
            has_read_entries: false,
            copies: None,
            previous_copy_source: None,
            pending_claim: None,
            lost_backups: BTreeSet::new(),
            tried_backups: BTreeSet::new(),
            retry_at: None,
            phase: Phase::Reading,
        }
    }

    /// Returns the first commands to execute.
    pub fn start(&mut self) -> Vec<TakeoverCommand> {
        let mut out = Vec::new();
        self.read(&mut out);
        out
    }

    /// Handles an event and returns the commands to execute.
    pub fn handle(&mut self, now: Instant, event: TakeoverEvent) -> Vec<TakeoverCommand> {
        let mut out = Vec::new();
        match event {
            TakeoverEvent::Entries(entries) => self.on_entries_read(now, entries, &mut out),
            TakeoverEvent::ReadFailed => self.schedule_retry(now, &mut out),
            TakeoverEvent::ClaimReplied { backup, reply } => {
                self.on_claim_reply(now, backup, reply, &mut out);
            }
            TakeoverEvent::ClaimFailed { backup }
                if self.pending_claim.as_ref() == Some(&backup) =>
            {
                self.pending_claim = None;
                self.tried_backups.insert(backup);
                self.claim(now, &mut out);
            }
            TakeoverEvent::ClaimFailed { .. } => {}
            TakeoverEvent::BackupLost { backup } => {
                self.lost_backups.insert(backup);
                if matches!(self.phase, Phase::Claiming) && self.pending_claim.is_none() {
                    self.claim(now, &mut out);
                }
            }
            TakeoverEvent::Journal(event) => self.on_journal_event(now, event, &mut out),
        }
        out
    }

    fn read(&mut self, out: &mut Vec<TakeoverCommand>) {
        self.phase = Phase::Reading;
        self.retry_at = None;
        out.push(TakeoverCommand::ReadAfter { after: self.last_seq() });
    }

    fn last_seq(&self) -> u64 {
        self.recovery.next_seq() - 1
    }

    fn schedule_retry(&mut self, now: Instant, out: &mut Vec<TakeoverCommand>) {
        let at = now + self.settings.retry_delay;
        self.retry_at = Some(at);
        out.push(TakeoverCommand::Journal(Command::WakeAt(at)));
    }

    fn end_superseded(&mut self, by_epoch: Epoch, out: &mut Vec<TakeoverCommand>) {
        self.phase = Phase::Ended;
        out.push(TakeoverCommand::Superseded { by_epoch });
    }

    fn on_entries_read(&mut self, now: Instant, read: Vec<Entry>, out: &mut Vec<TakeoverCommand>) {
        if let Phase::Verifying { entry } = &self.phase {
            let entry = entry.clone();
            self.on_verification_read(now, entry, read, out);
            return;
        }
        if !matches!(self.phase, Phase::Reading) {
            return;
        }
        let is_first = !self.has_read_entries;
        self.has_read_entries = true;
        // Entries of another journal are not expected here. Ignore them: a stuck takeover is better
        // than one that mixes two journals.
        let read = read.into_iter().filter(|entry| entry.journal == self.journal);
        let known = std::mem::take(&mut self.recovery);
        self.recovery = recover(known.entries.into_iter().chain(read).collect());
        self.recovery.max_epoch = self.recovery.max_epoch.max(known.max_epoch);
        self.copies = self.copies.take().map(|copies| self.recovery.copies_to_adopt(copies));
        let previous_owner = self.recovery.last_opening().map(|(owner, _)| owner);
        if !is_first && previous_owner != self.previous_owner {
            // Another host took over, or the owner replaced its backups, so the claim was made at
            // the wrong backups.
            self.end_superseded(self.recovery.max_epoch, out);
            return;
        }
        self.previous_owner = previous_owner;
        self.epoch = self.epoch.max(self.recovery.max_epoch + 1);
        let is_handed_over = self.handover_seq == Some(self.recovery.next_seq());
        match self.recovery.copy_source() {
            Some(_) if self.copies.is_none() && !is_handed_over => self.claim(now, out),
            _ => self.write_opening(out),
        }
    }

    /// Sends a claim to the next backup. Continues without copies if all backups are lost.
    fn claim(&mut self, now: Instant, out: &mut Vec<TakeoverCommand>) {
        self.phase = Phase::Claiming;
        self.retry_at = None;
        let Some((_, backups)) = self.recovery.copy_source() else { return };
        let remaining: Vec<Member> =
            backups.into_iter().filter(|backup| !self.lost_backups.contains(backup)).collect();
        if remaining.is_empty() {
            self.copies = Some(Vec::new());
            self.write_opening(out);
            return;
        }
        if let Some(next) =
            remaining.into_iter().find(|backup| !self.tried_backups.contains(backup))
        {
            self.pending_claim = Some(next.clone());
            let by = Owner { member: self.me.clone(), epoch: self.epoch };
            out.push(TakeoverCommand::Claim { backup: next, by });
            return;
        }
        self.tried_backups.clear();
        out.push(TakeoverCommand::Blocked);
        self.schedule_retry(now, out);
    }

    fn on_claim_reply(
        &mut self,
        now: Instant,
        backup: Member,
        reply: ClaimReply,
        out: &mut Vec<TakeoverCommand>,
    ) {
        if self.pending_claim.as_ref() != Some(&backup) || !matches!(self.phase, Phase::Claiming) {
            return;
        }
        self.pending_claim = None;
        match reply {
            ClaimReply::Claimed { copies } => {
                self.copies = Some(copies);
                // The owner may have written more since the last read, and the backup may have
                // dropped copies of entries that are now in the store.
                self.read(out);
            }
            ClaimReply::Refused { epoch } => {
                self.epoch = self.epoch.max(epoch + 1);
                self.tried_backups.insert(backup);
                self.claim(now, out);
            }
            ClaimReply::OtherMember => {
                self.lost_backups.insert(backup);
                self.claim(now, out);
            }
        }
    }

    fn write_opening(&mut self, out: &mut Vec<TakeoverCommand>) {
        self.retry_at = None;
        let entry = Arc::new(self.opening_entry());
        out.push(TakeoverCommand::Journal(Command::Write(entry.clone())));
        self.phase = Phase::Opening { entry, is_reading: false };
    }

    fn has_copies_to_adopt(&self) -> bool {
        self.copies.as_ref().is_some_and(|copies| !copies.is_empty())
    }

    fn opening_entry(&self) -> Entry {
        let is_handed_over = self.handover_seq == Some(self.recovery.next_seq());
        let opening = match self.recovery.copy_source() {
            Some((owner, backups)) if self.has_copies_to_adopt() => {
                Opening { backups, is_planned: is_handed_over, adopts: Some(owner) }
            }
            _ => {
                Opening { backups: self.backups.clone(), is_planned: is_handed_over, adopts: None }
            }
        };
        Entry {
            journal: self.journal.clone(),
            seq: self.recovery.next_seq(),
            epoch: self.epoch,
            writer: self.me.clone(),
            stored_seq: 0,
            takeover: Some(opening),
            adopted: None,
            live: None,
            records: Vec::new(),
        }
    }

    fn on_journal_event(&mut self, now: Instant, event: Event, out: &mut Vec<TakeoverCommand>) {
        if let Phase::Adopting { journal, .. } = &mut self.phase {
            let commands = journal.handle(now, event);
            self.run_adoption(now, commands, out);
        } else if event != Event::Tick {
            self.on_opening_event(now, event, out);
        } else if self.retry_at.take_if(|at| *at <= now).is_some() {
            self.retry_phase(now, out);
        }
    }

    fn retry_phase(&mut self, now: Instant, out: &mut Vec<TakeoverCommand>) {
        match &self.phase {
            Phase::Reading => self.read(out),
            Phase::Claiming if self.pending_claim.is_none() => self.claim(now, out),
            Phase::Opening { entry, is_reading: false } => {
                out.push(TakeoverCommand::Journal(Command::Write(entry.clone())));
            }
            Phase::Verifying { entry } => {
                out.push(TakeoverCommand::ReadAfter { after: entry.seq });
            }
            _ => {}
        }
    }

    fn on_opening_event(&mut self, now: Instant, event: Event, out: &mut Vec<TakeoverCommand>) {
        let Phase::Opening { entry, is_reading } = &mut self.phase else { return };
        let entry = entry.clone();
        match event {
            Event::Stored { seq } if seq == entry.seq => self.verify_opening(entry, out),
            Event::Conflict { seq, found: None } if seq == entry.seq => {
                *is_reading = true;
                out.push(TakeoverCommand::Journal(Command::Read { seq }));
            }
            Event::Conflict { seq, found } | Event::EntryRead { seq, entry: found }
                if seq == entry.seq =>
            {
                *is_reading = false;
                match found {
                    Some(found) if *found == *entry => self.verify_opening(entry, out),
                    Some(_) => self.read(out),
                    None => self.schedule_retry(now, out),
                }
            }
            Event::StoreFailed { seq, .. } if seq == entry.seq => {
                *is_reading = false;
                self.schedule_retry(now, out);
            }
            _ => {}
        }
    }
}
