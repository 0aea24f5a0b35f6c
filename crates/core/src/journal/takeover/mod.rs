//! How a host becomes the owner of a journal.

mod adopt;
mod port;

pub use port::{Owned, TakeoverCommand, TakeoverEvent};

use {
    super::owner::Journal,
    crate::{
        ids::{Epoch, JournalId, Member},
        journal::{ClaimReply, Command, Entry, Event, Opening, Owner, Recovery, Settings, recover},
    },
    std::{collections::BTreeSet, sync::Arc, time::Instant},
};

/// How far a takeover has come.
#[derive(Debug)]
enum Phase {
    /// Reads the entries after the last known one.
    Reading,
    /// Asks backups for copies and for fencing.
    Claiming,
    /// Creates its first entry.
    Opening { entry: Arc<Entry>, is_reading: bool },
    /// Looks whether its first entry is the last of all.
    Checking { entry: Arc<Entry> },
    /// Repeats copies as own entries and names its own backups.
    Adopting { journal: Box<Journal>, has_renamed: bool },
    /// Done or lost.
    Ended,
}

/// The takeover of one journal by one member; also opens a new journal.
///
/// A journal is taken over by a claim at one backup, then by the first entry, then by a look
/// whether anything stands after it. Only then copies are read into the journal.
#[derive(Debug)]
pub struct Takeover {
    settings: Settings,
    journal: JournalId,
    me: Member,
    backups: Vec<Member>,
    /// First free position as told by an owner that handed over.
    handed_over: Option<u64>,
    epoch: Epoch,
    recovery: Recovery,
    /// The start of the ownership that is taken over, once read.
    former: Option<Owner>,
    has_read: bool,
    /// Copies whose records aren't in the journal as read so far, once claimed.
    copies: Option<Vec<Entry>>,
    /// The former owner and its backups, for the discards at the end.
    former_copies: Option<(Owner, Vec<Member>)>,
    asking: Option<Member>,
    gone: BTreeSet<Member>,
    asked: BTreeSet<Member>,
    retry_at: Option<Instant>,
    phase: Phase,
}

impl Takeover {
    /// Prepares a takeover by `me`, which will name `backups`: two members in other failure
    /// domains. `handed_over` is the position that the former owner gave in
    /// [`Command::Closed`], for a planned handover.
    pub fn new(
        settings: Settings,
        journal: JournalId,
        me: Member,
        backups: Vec<Member>,
        handed_over: Option<u64>,
    ) -> Self {
        Self {
            settings,
            journal,
            me,
            backups,
            handed_over,
            epoch: 0,
            recovery: Recovery::default(),
            former: None,
            has_read: false,
            copies: None,
            former_copies: None,
            asking: None,
            gone: BTreeSet::new(),
            asked: BTreeSet::new(),
            retry_at: None,
            phase: Phase::Reading,
        }
    }

    /// Starts.
    pub fn start(&mut self) -> Vec<TakeoverCommand> {
        let mut out = Vec::new();
        self.read(&mut out);
        out
    }

    /// Takes in an event.
    pub fn handle(&mut self, now: Instant, event: TakeoverEvent) -> Vec<TakeoverCommand> {
        let mut out = Vec::new();
        match event {
            TakeoverEvent::Entries(entries) => self.entries_read(now, entries, &mut out),
            TakeoverEvent::ReadFailed => self.retry(now, &mut out),
            TakeoverEvent::ClaimAnswered { backup, reply } => {
                self.claim_answered(now, backup, reply, &mut out);
            }
            TakeoverEvent::ClaimFailed { backup } if self.asking.as_ref() == Some(&backup) => {
                self.asking = None;
                self.asked.insert(backup);
                self.claim(now, &mut out);
            }
            TakeoverEvent::ClaimFailed { .. } => {}
            TakeoverEvent::BackupGone { backup } => {
                self.gone.insert(backup);
                if matches!(self.phase, Phase::Claiming) && self.asking.is_none() {
                    self.claim(now, &mut out);
                }
            }
            TakeoverEvent::Journal(event) => self.journal_event(now, event, &mut out),
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

    fn retry(&mut self, now: Instant, out: &mut Vec<TakeoverCommand>) {
        let at = now + self.settings.retry_after;
        self.retry_at = Some(at);
        out.push(TakeoverCommand::Journal(Command::WakeAt(at)));
    }

    fn lose(&mut self, by_epoch: Epoch, out: &mut Vec<TakeoverCommand>) {
        self.phase = Phase::Ended;
        out.push(TakeoverCommand::Lost { by_epoch });
    }

    fn entries_read(&mut self, now: Instant, read: Vec<Entry>, out: &mut Vec<TakeoverCommand>) {
        if let Phase::Checking { entry } = &self.phase {
            let entry = entry.clone();
            self.checked(now, entry, read, out);
            return;
        }
        if !matches!(self.phase, Phase::Reading) {
            return;
        }
        let is_first = !self.has_read;
        self.has_read = true;
        // Another journal's entry can't be here; should it be, better stuck than mixed.
        let read = read.into_iter().filter(|entry| entry.journal == self.journal);
        let known = std::mem::take(&mut self.recovery);
        self.recovery = recover(known.entries.into_iter().chain(read).collect());
        self.recovery.max_epoch = self.recovery.max_epoch.max(known.max_epoch);
        self.copies = self.copies.take().map(|copies| self.recovery.missing(copies));
        let former = self.recovery.takeover().map(|(owner, _)| owner);
        if !is_first && former != self.former {
            // The owner changed, or named other backups: the claim was made at the wrong ones.
            self.lose(self.recovery.max_epoch, out);
            return;
        }
        self.former = former;
        self.epoch = self.epoch.max(self.recovery.max_epoch + 1);
        let is_handed_over = self.handed_over == Some(self.recovery.next_seq());
        match self.recovery.copies() {
            Some(_) if self.copies.is_none() && !is_handed_over => self.claim(now, out),
            _ => self.open(out),
        }
    }

    /// Asks the next backup, or goes on without copies when all are gone.
    fn claim(&mut self, now: Instant, out: &mut Vec<TakeoverCommand>) {
        self.phase = Phase::Claiming;
        self.retry_at = None;
        let Some((_, backups)) = self.recovery.copies() else { return };
        let living: Vec<Member> =
            backups.into_iter().filter(|backup| !self.gone.contains(backup)).collect();
        if living.is_empty() {
            self.copies = Some(Vec::new());
            self.open(out);
            return;
        }
        if let Some(next) = living.into_iter().find(|backup| !self.asked.contains(backup)) {
            self.asking = Some(next.clone());
            let by = Owner { member: self.me.clone(), epoch: self.epoch };
            out.push(TakeoverCommand::Claim { backup: next, by });
            return;
        }
        self.asked.clear();
        out.push(TakeoverCommand::Blocked);
        self.retry(now, out);
    }

    fn claim_answered(
        &mut self,
        now: Instant,
        backup: Member,
        reply: ClaimReply,
        out: &mut Vec<TakeoverCommand>,
    ) {
        if self.asking.as_ref() != Some(&backup) || !matches!(self.phase, Phase::Claiming) {
            return;
        }
        self.asking = None;
        match reply {
            ClaimReply::Claimed { copies } => {
                self.copies = Some(copies);
                // The owner may have written since: what it flushed is no longer at the backup.
                self.read(out);
            }
            ClaimReply::Refused { epoch } => {
                self.epoch = self.epoch.max(epoch + 1);
                self.asked.insert(backup);
                self.claim(now, out);
            }
            ClaimReply::OtherMember => {
                self.gone.insert(backup);
                self.claim(now, out);
            }
        }
    }

    fn open(&mut self, out: &mut Vec<TakeoverCommand>) {
        self.retry_at = None;
        let entry = Arc::new(self.first_entry());
        out.push(TakeoverCommand::Journal(Command::Write(entry.clone())));
        self.phase = Phase::Opening { entry, is_reading: false };
    }

    fn has_missing(&self) -> bool {
        self.copies.as_ref().is_some_and(|copies| !copies.is_empty())
    }

    fn first_entry(&self) -> Entry {
        let is_planned = self.handed_over == Some(self.recovery.next_seq());
        let opening = match self.recovery.copies() {
            Some((owner, backups)) if self.has_missing() => {
                Opening { backups, is_planned, adopts: Some(owner) }
            }
            _ => Opening { backups: self.backups.clone(), is_planned, adopts: None },
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

    fn journal_event(&mut self, now: Instant, event: Event, out: &mut Vec<TakeoverCommand>) {
        if let Phase::Adopting { journal, .. } = &mut self.phase {
            let commands = journal.handle(now, event);
            self.adopting(now, commands, out);
        } else if event != Event::Tick {
            self.opening_event(now, event, out);
        } else if self.retry_at.take_if(|at| *at <= now).is_some() {
            self.try_again(now, out);
        }
    }

    fn try_again(&mut self, now: Instant, out: &mut Vec<TakeoverCommand>) {
        match &self.phase {
            Phase::Reading => self.read(out),
            Phase::Claiming if self.asking.is_none() => self.claim(now, out),
            Phase::Opening { entry, is_reading: false } => {
                out.push(TakeoverCommand::Journal(Command::Write(entry.clone())));
            }
            Phase::Checking { entry } => {
                out.push(TakeoverCommand::ReadAfter { after: entry.seq });
            }
            _ => {}
        }
    }

    fn opening_event(&mut self, now: Instant, event: Event, out: &mut Vec<TakeoverCommand>) {
        let Phase::Opening { entry, is_reading } = &mut self.phase else { return };
        let entry = entry.clone();
        match event {
            Event::Stored { seq } if seq == entry.seq => self.check(entry, out),
            Event::Conflict { seq, found: None } if seq == entry.seq => {
                *is_reading = true;
                out.push(TakeoverCommand::Journal(Command::Read { seq }));
            }
            Event::Conflict { seq, found } | Event::Found { seq, entry: found }
                if seq == entry.seq =>
            {
                *is_reading = false;
                match found {
                    Some(found) if *found == *entry => self.check(entry, out),
                    Some(_) => self.read(out),
                    None => self.retry(now, out),
                }
            }
            Event::StoreFailed { seq, .. } if seq == entry.seq => {
                *is_reading = false;
                self.retry(now, out);
            }
            _ => {}
        }
    }
}
