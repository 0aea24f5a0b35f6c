//! Opens, takes over and announces the journals of this host, and limits their write rate to this
//! host's share of the site-wide limit.

mod driver;
mod handover;
mod takeover;

use {
    crate::{
        control::{
            Control,
            home::{Pending, WaitingCall},
        },
        journal_store,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    takeover::ActiveTakeover,
    trefoilring_core::{
        ids::{JournalId, Member, ProgramId},
        journal::{Event, Journal, TakeoverEvent, Token},
        membership::OwnedJournal,
        program::Programs,
    },
};

/// Time for which a journal that was not found in the store is not looked up again.
const ABSENT_RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum writes per second to the store by all journals of a site. The store handles several
/// hundred; rosters and declarations need the rest.
const SITE_WRITES_PER_S: u32 = 250;

/// A journal that this host owns.
pub(crate) struct JournalState {
    pub(in crate::control) journal: Journal,
    pub(in crate::control) programs: Programs,
    pub(in crate::control) pending: BTreeMap<Token, Pending>,
    /// Calls queued behind an earlier call of their program, by program.
    pub(in crate::control) waiting: BTreeMap<ProgramId, Vec<WaitingCall>>,
    pub(super) wake_at: Option<Instant>,
    /// Versions of the objects that this host wrote, by position. They are needed to delete the
    /// objects.
    pub(super) versions: BTreeMap<u64, u64>,
    /// Hosts, with their incarnations, that hold backups of the journal.
    pub(super) backups: Vec<Member>,
    /// Set while the journal is being closed. Used to send the first free position.
    pub(in crate::control) close_reply: Option<smol::channel::Sender<u64>>,
    /// Time since which the journal has had no programs.
    pub(in crate::control) empty_since: Option<Instant>,
}

impl JournalState {
    /// Returns whether the journal has no programs, pending operations or queued calls.
    pub(in crate::control) fn is_empty(&self) -> bool {
        self.programs.ids().next().is_none() && self.pending.is_empty() && self.waiting.is_empty()
    }
}

/// Active takeovers, and cached lookups of journals that this host does not own.
#[derive(Default)]
pub(crate) struct Journals {
    pub(super) takeovers: BTreeMap<JournalId, ActiveTakeover>,
    pub(super) running_existence_checks: BTreeSet<JournalId>,
    pub(super) absent: BTreeMap<JournalId, Instant>,
    /// Number of own journals opened so far, used in the name of the next one. A name can't be
    /// reused, because another host may have taken over the journal with that name.
    pub(super) opened: u32,
}

impl Journals {
    pub(in crate::control) fn is_taking_over(&self, journal: &JournalId) -> bool {
        self.takeovers.contains_key(journal)
    }

    /// Returns whether a recent lookup found no entry of the journal in the store.
    pub(in crate::control) fn is_absent(&self, journal: &JournalId, now: Instant) -> bool {
        self.absent.get(journal).is_some_and(|at| now < *at + ABSENT_RETRY_INTERVAL)
    }

    /// Records that the store has no entry of a journal.
    pub(in crate::control) fn mark_absent(&mut self, journal: &JournalId, now: Instant) {
        self.absent.retain(|_, at| now < *at + ABSENT_RETRY_INTERVAL);
        self.absent.insert(journal.clone(), now);
    }

    /// Returns when the next takeover is due.
    pub(in crate::control) fn next_wake(&self) -> Option<Instant> {
        self.takeovers.values().filter_map(|active| active.wake_at).min()
    }
}

/// Returns the spacing and the burst of writes for each journal of this host. All journals of the
/// site together then stay within [`SITE_WRITES_PER_S`], averaged over one or two seconds because
/// bursts are allowed.
fn write_limits(min_spacing: Duration, hosts: usize, journals_per_host: usize) -> (Duration, u32) {
    let journals = u32::try_from(hosts * journals_per_host).unwrap_or(u32::MAX).max(1);
    let spacing =
        (Duration::from_secs(1) / SITE_WRITES_PER_S).saturating_mul(journals).max(min_spacing);
    let writes_per_s = Duration::from_secs(1).as_nanos() / spacing.as_nanos().max(1);
    (spacing, u32::try_from(writes_per_s).unwrap_or(u32::MAX))
}

impl Control {
    /// Opens this host's own journal once it has a lease.
    pub(in crate::control) fn open_own_journal(&mut self, now: Instant) {
        if self.homes.own_journal.is_some() || !self.membership.may_act(now) {
            return;
        }
        let member = &self.shared.member;
        let number = self.journals.opened;
        let journal: JournalId =
            format!("{}-{:x}-{number}", member.host, member.incarnation).into();
        if !self.journals.is_taking_over(&journal) {
            self.take_over(now, journal, None, true);
        }
    }

    /// Checks whether a journal without an owner exists in the store, and if so takes it over.
    pub(crate) fn take_over_if_exists(&mut self, now: Instant, journal: JournalId) {
        let is_held =
            self.homes.owned.contains_key(&journal) || self.journals.is_taking_over(&journal);
        if is_held || self.journals.is_absent(&journal, now) || !self.membership.may_act(now) {
            return;
        }
        if !self.journals.running_existence_checks.insert(journal.clone()) {
            return;
        }
        let shared = self.shared.clone();
        self.shared.spawn(async move {
            let found = journal_store::exists(&shared, &journal).await;
            shared
                .control
                .submit(move |control| control.on_existence_checked(&journal, found.ok()));
        });
    }

    fn on_existence_checked(&mut self, journal: &JournalId, found: Option<bool>) {
        let now = Instant::now();
        self.journals.running_existence_checks.remove(journal);
        match found {
            Some(true) => self.take_over(now, journal.clone(), None, false),
            Some(false) => {
                self.journals.mark_absent(journal, now);
                self.sweeper.remove_journal(journal);
            }
            None => (),
        }
    }

    fn write_limits(&self) -> (Duration, u32) {
        let hosts = self.membership.live_hosts().count().max(1);
        let journals = self.homes.owned.len().max(1);
        write_limits(self.shared.settings.store_write_spacing, hosts, journals)
    }

    /// Recomputes the write limits of each journal after the number of hosts or journals has
    /// changed.
    pub(in crate::control) fn update_write_limits(&mut self) {
        let (spacing, burst_writes) = self.write_limits();
        for owned in self.homes.owned.values_mut() {
            owned.journal.set_write_rate(spacing, burst_writes);
        }
    }

    /// Announces to the other hosts which journals this host owns.
    pub(in crate::control) fn announce_journals(&mut self) {
        let announce = |owned: &JournalState| OwnedJournal {
            journal: owned.journal.id().clone(),
            epoch: owned.journal.epoch(),
        };
        let journals = self.homes.owned.values().map(announce).collect();
        self.membership.set_journals(journals);
        self.update_write_limits();
    }

    /// Replaces lost backups, so that each journal has two when an outage of the store begins.
    pub(in crate::control) fn replace_lost_backups(&mut self, now: Instant) {
        let domain = self.shared.settings.domain.clone();
        let journals: Vec<JournalId> = self.homes.owned.keys().cloned().collect();
        for journal in journals {
            let chosen = self.membership.backups_for(&journal, &domain);
            let chosen: Vec<Member> = chosen.into_iter().map(|e| e.member.clone()).collect();
            let Some(owned) = self.homes.owned.get_mut(&journal) else { continue };
            let lost: Vec<Member> = owned
                .backups
                .iter()
                .filter(|backup| {
                    let entry = self.membership.host(&backup.host);
                    entry.is_none_or(|entry| entry.member != **backup)
                })
                .cloned()
                .collect();
            lost.iter().for_each(|backup| owned.journal.backup_lost(backup));
            let has_too_few = !lost.is_empty() || owned.backups.len() < chosen.len();
            if has_too_few && self.membership.is_store_up() {
                owned.backups.clone_from(&chosen);
                let commands = owned.journal.replace_backups(now, chosen);
                self.homes.execute_journal_commands(&journal, commands);
                self.announce_journals();
            }
        }
    }

    /// Runs the timers of journals and takeovers that are due, and ends programs that are due.
    pub(in crate::control) fn tick_journals(&mut self, now: Instant) {
        let is_due = |wake: Option<Instant>| wake.is_some_and(|wake| wake <= now);
        let takeovers = self.journals.takeovers.iter_mut();
        let mut due = Vec::new();
        for (journal, active) in takeovers.filter(|(_, active)| is_due(active.wake_at)) {
            active.wake_at = None;
            due.push(journal.clone());
        }
        for journal in due {
            self.on_takeover_event(&journal, TakeoverEvent::Journal(Event::Tick));
        }
        self.homes.tick_journals(now);
        self.homes.sweep(now);
    }
}
