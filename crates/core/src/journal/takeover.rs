//! How a host becomes the owner of a journal.

use {
    super::{
        garbage::Garbage,
        owner::{Journal, Start},
    },
    crate::{
        ids::{Epoch, JournalId, Member},
        journal::{ClaimReply, Command, Entry, Event, Opening, Owner, Recovery, Settings, recover},
    },
    std::{collections::BTreeSet, sync::Arc, time::Instant},
};

/// What the driver tells a takeover.
#[derive(Clone, Debug, PartialEq)]
pub enum TakeoverEvent {
    /// All entries after the position that was asked for, in any order.
    Entries(Vec<Entry>),
    /// The entries could not be read.
    ReadFailed,
    /// A backup answered a claim.
    ClaimAnswered {
        /// The backup.
        backup: Member,
        /// The answer.
        reply: ClaimReply,
    },
    /// A backup did not answer a claim.
    ClaimFailed {
        /// The backup.
        backup: Member,
    },
    /// That life of a backup has ended for certain: the host was seen with another incarnation, or
    /// has been out of every roster for a whole lease plus the margin. Its copies are lost.
    BackupGone {
        /// The backup.
        backup: Member,
    },
    /// An answer to a store call of [`TakeoverCommand::Journal`], or its tick.
    Journal(Event),
}

/// What a takeover asks of its driver, or tells it.
#[derive(Debug)]
pub enum TakeoverCommand {
    /// List the journal's keys after this position and read them all. A key that is gone when it
    /// is read is left out. Answer with [`TakeoverEvent::Entries`] or
    /// [`TakeoverEvent::ReadFailed`], always.
    ReadAfter {
        /// The position; 0 for all.
        after: u64,
    },
    /// Claim the journal at a backup. Answer with [`TakeoverEvent::ClaimAnswered`] or
    /// [`TakeoverEvent::ClaimFailed`], always.
    Claim {
        /// The backup, in the life that the journal names.
        backup: Member,
        /// Who claims, under which epoch.
        by: Owner,
    },
    /// A command as of a journal: write, read, discard, wake.
    Journal(Command),
    /// No backup that may hold copies answers. The takeover goes on trying.
    Blocked,
    /// Another host owns the journal or is about to. Start anew if it doesn't go on.
    Lost {
        /// The epoch that was seen.
        by_epoch: Epoch,
    },
    /// The host owns the journal.
    Done(Box<Owned>),
}

/// What a finished takeover hands over.
#[derive(Debug)]
pub struct Owned {
    /// The journal, ready for records.
    pub journal: Journal,
    /// All that is in it, to rebuild the programs from.
    pub recovery: Recovery,
}

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
    entries: Vec<Entry>,
    recovery: Recovery,
    /// The start of the ownership that is taken over, once read.
    former: Option<Owner>,
    has_read: bool,
    copies: Option<Vec<Entry>>,
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
            entries: Vec::new(),
            recovery: Recovery::default(),
            former: None,
            has_read: false,
            copies: None,
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
        out.push(TakeoverCommand::ReadAfter { after: self.last_seq() });
    }

    fn last_seq(&self) -> u64 {
        self.entries.iter().map(|entry| entry.seq).max().unwrap_or(0)
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
        self.entries.extend(read);
        self.recovery = recover(self.entries.clone());
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

    /// Copies whose records aren't in the journal as read so far.
    fn missing(&self) -> Vec<Entry> {
        self.copies.clone().map_or(Vec::new(), |copies| self.recovery.missing(copies))
    }

    fn open(&mut self, out: &mut Vec<TakeoverCommand>) {
        let entry = Arc::new(self.first_entry());
        out.push(TakeoverCommand::Journal(Command::Write(entry.clone())));
        self.phase = Phase::Opening { entry, is_reading: false };
    }

    fn first_entry(&self) -> Entry {
        let is_planned = self.handed_over == Some(self.recovery.next_seq());
        let opening = match self.recovery.copies() {
            Some((owner, backups)) if !self.missing().is_empty() => {
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
        if matches!(event, Event::Tick) && self.retry_at.is_some_and(|at| at <= now) {
            self.retry_at = None;
            self.try_again(now, out);
            return;
        }
        match &mut self.phase {
            Phase::Opening { .. } => self.opening_event(now, event, out),
            Phase::Adopting { journal, .. } => {
                let commands = journal.handle(now, event);
                self.adopting(now, commands, out);
            }
            _ => {}
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

    /// The entry may stand at a position that had been deleted: it counts only as the last.
    fn check(&mut self, entry: Arc<Entry>, out: &mut Vec<TakeoverCommand>) {
        out.push(TakeoverCommand::ReadAfter { after: entry.seq });
        self.phase = Phase::Checking { entry };
    }

    fn checked(
        &mut self,
        now: Instant,
        entry: Arc<Entry>,
        later: Vec<Entry>,
        out: &mut Vec<TakeoverCommand>,
    ) {
        if let Some(epoch) = later.iter().map(|entry| entry.epoch).max() {
            self.lose(epoch, out);
            return;
        }
        let missing = self.missing();
        let mut garbage = Garbage::default();
        self.entries.iter().for_each(|entry| garbage.note(entry));
        garbage.note(&entry);
        garbage.keep(self.recovery.programs());
        let is_adopting = !missing.is_empty();
        let mut journal = Journal::new(Start {
            settings: self.settings.clone(),
            journal: self.journal.clone(),
            me: self.me.clone(),
            epoch: self.epoch,
            next_seq: entry.seq + 1,
            // Until it has its own backups, the journal makes no copies.
            backups: if is_adopting { Vec::new() } else { self.backups.clone() },
            garbage,
        });
        self.keep_adopted(&entry, &missing);
        let commands = journal.adopt(now, missing);
        self.phase = Phase::Adopting { journal: Box::new(journal), has_renamed: !is_adopting };
        self.adopting(now, commands, out);
    }

    /// Adds the own entries to what was recovered.
    fn keep_adopted(&mut self, opening: &Entry, missing: &[Entry]) {
        self.recovery.entries.push(opening.clone());
        let adopted = missing.iter().zip(opening.seq + 1..).map(|(copy, seq)| Entry {
            seq,
            epoch: opening.epoch,
            writer: opening.writer.clone(),
            stored_seq: 0,
            takeover: None,
            adopted: Some(copy.seq),
            live: None,
            ..copy.clone()
        });
        self.recovery.entries.extend(adopted);
        self.recovery.max_epoch = self.recovery.max_epoch.max(opening.epoch);
    }

    fn adopting(&mut self, now: Instant, commands: Vec<Command>, out: &mut Vec<TakeoverCommand>) {
        for command in commands {
            match command {
                Command::Fenced { by_epoch } => self.lose(by_epoch, out),
                other => out.push(TakeoverCommand::Journal(other)),
            }
        }
        let Phase::Adopting { journal, has_renamed } = &mut self.phase else { return };
        if !journal.is_idle() {
            return;
        }
        if !*has_renamed {
            *has_renamed = true;
            let backups = self.backups.clone();
            let commands = journal.rename_backups(now, backups);
            self.adopting(now, commands, out);
            return;
        }
        self.finish(out);
    }

    fn finish(&mut self, out: &mut Vec<TakeoverCommand>) {
        let phase = std::mem::replace(&mut self.phase, Phase::Ended);
        let Phase::Adopting { journal, .. } = phase else { return };
        out.extend(self.discards());
        let recovery = std::mem::take(&mut self.recovery);
        out.push(TakeoverCommand::Done(Box::new(Owned { journal: *journal, recovery })));
    }

    /// Lets the former owner's backups drop what is in the journal now.
    fn discards(&self) -> Vec<TakeoverCommand> {
        let Some((owner, backups)) = recover(self.entries.clone()).copies() else {
            return Vec::new();
        };
        let discard = |to| Command::Discard { to, epoch: owner.epoch, seq: u64::MAX };
        backups.into_iter().map(|to| TakeoverCommand::Journal(discard(to))).collect()
    }
}
