//! The last phases of a takeover: from the stored opening entry to a journal that accepts records.

use {
    super::{Phase, Takeover, TakeoverCommand, TakeoverResult},
    crate::journal::{Command, Entry, Journal, garbage::GarbageCollector, owner::InitialState},
    std::{sync::Arc, time::Instant},
};

impl Takeover {
    /// Reads the entries after the opening entry. If there are any, the opening entry was written
    /// at a deleted position and is invalid.
    pub(super) fn verify_opening(&mut self, entry: Arc<Entry>, out: &mut Vec<TakeoverCommand>) {
        out.push(TakeoverCommand::ReadAfter { after: entry.seq });
        self.phase = Phase::Verifying { entry };
    }

    pub(super) fn on_verification_read(
        &mut self,
        now: Instant,
        entry: Arc<Entry>,
        later: Vec<Entry>,
        out: &mut Vec<TakeoverCommand>,
    ) {
        if let Some(epoch) = later.iter().map(|entry| entry.epoch).max() {
            self.end_superseded(epoch, out);
            return;
        }
        let missing_copies = self.copies.take().unwrap_or_default();
        self.previous_copy_source = self.recovery.copy_source();
        let mut garbage = GarbageCollector::default();
        self.recovery.entries.iter().for_each(|entry| garbage.add_entry(entry));
        garbage.add_entry(&entry);
        garbage.retain_programs(&self.recovery.programs());
        let is_adopting = !missing_copies.is_empty();
        let mut journal = Journal::new(InitialState {
            settings: self.settings.clone(),
            journal: self.journal.clone(),
            me: self.me.clone(),
            epoch: self.epoch,
            next_seq: entry.seq + 1,
            // While copies of the previous owner are being adopted, the journal has no backups. A
            // second opening entry names the new ones.
            backups: if is_adopting { Vec::new() } else { self.backups.clone() },
            garbage,
        });
        self.extend_recovery(&entry, &missing_copies);
        let commands = journal.adopt(now, missing_copies);
        self.phase =
            Phase::Adopting { journal: Box::new(journal), has_replaced_backups: !is_adopting };
        self.run_adoption(now, commands, out);
    }

    /// Adds the opening entry and the adopted entries to the recovery.
    fn extend_recovery(&mut self, opening: &Entry, missing_copies: &[Entry]) {
        self.recovery.entries.push(opening.clone());
        let adopted = missing_copies.iter().zip(opening.seq + 1..).map(|(copy, seq)| Entry {
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

    pub(super) fn run_adoption(
        &mut self,
        now: Instant,
        commands: Vec<Command>,
        out: &mut Vec<TakeoverCommand>,
    ) {
        for command in commands {
            match command {
                Command::Fenced { by_epoch } => self.end_superseded(by_epoch, out),
                other => out.push(TakeoverCommand::Journal(other)),
            }
        }
        let Phase::Adopting { journal, has_replaced_backups } = &mut self.phase else { return };
        if !journal.is_idle() {
            return;
        }
        if !*has_replaced_backups {
            *has_replaced_backups = true;
            let backups = self.backups.clone();
            let commands = journal.replace_backups(now, backups);
            self.run_adoption(now, commands, out);
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
        out.push(TakeoverCommand::Done(Box::new(TakeoverResult { journal: *journal, recovery })));
    }

    /// Requests that the previous owner's backups drop the copies that are now in the journal.
    fn discards(&self) -> Vec<TakeoverCommand> {
        let Some((owner, backups)) = self.previous_copy_source.clone() else { return Vec::new() };
        let discard = |to| Command::Discard { to, epoch: owner.epoch, seq: u64::MAX };
        backups.into_iter().map(|to| TakeoverCommand::Journal(discard(to))).collect()
    }
}
