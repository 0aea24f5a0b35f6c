//! The end of a takeover: from the first entry to a journal that takes records.

use {
    super::{Owned, Phase, Takeover, TakeoverCommand},
    crate::journal::{Command, Entry, Journal, garbage::Garbage, owner::Start},
    std::{sync::Arc, time::Instant},
};

impl Takeover {
    /// The entry may stand at a position that had been deleted: it counts only as the last.
    pub(super) fn check(&mut self, entry: Arc<Entry>, out: &mut Vec<TakeoverCommand>) {
        out.push(TakeoverCommand::ReadAfter { after: entry.seq });
        self.phase = Phase::Checking { entry };
    }

    pub(super) fn checked(
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
        let missing = self.copies.take().unwrap_or_default();
        self.former_copies = self.recovery.copies();
        let mut garbage = Garbage::default();
        self.recovery.entries.iter().for_each(|entry| garbage.note(entry));
        garbage.note(&entry);
        garbage.keep(&self.recovery.programs());
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

    pub(super) fn adopting(
        &mut self,
        now: Instant,
        commands: Vec<Command>,
        out: &mut Vec<TakeoverCommand>,
    ) {
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
        let Phase::Adopting { mut journal, .. } = phase else { return };
        journal.start_collecting();
        out.extend(self.discards());
        let recovery = std::mem::take(&mut self.recovery);
        out.push(TakeoverCommand::Done(Box::new(Owned { journal: *journal, recovery })));
    }

    /// Lets the former owner's backups drop what is in the journal now.
    fn discards(&self) -> Vec<TakeoverCommand> {
        let Some((owner, backups)) = self.former_copies.clone() else { return Vec::new() };
        let discard = |to| Command::Discard { to, epoch: owner.epoch, seq: u64::MAX };
        backups.into_iter().map(|to| TakeoverCommand::Journal(discard(to))).collect()
    }
}
