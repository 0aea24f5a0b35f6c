//! Keeps ledgers of programs' budgets.
//!
//! Any host may keep any ledger; the store's condition on each write sorts out two that do. Callers'
//! hosts agree on one by rendezvous, hosts without callers first. `trefoilring_core::budget` decides.

mod keepers;
mod standby;
mod takeover;
mod writing;

pub(crate) use {
    keepers::{KEEPERS, Keeper, keepers},
    standby::{consent, end as end_copy, take_update as take_copy_update},
    takeover::kept_by,
};

use {
    crate::{
        gateway::Gateway,
        outage_notes::Noted,
        peers::ChargeDecision,
        store::{Revision, StoredObject},
        time::within,
    },
    event_listener::Event,
    serde_json::json,
    standby::StandbyState,
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    takeover::{Loaded, load},
    trefoilring_core::{
        budget::{
            Charge, Charged, CopyId, Ledger, LedgerPosition, LedgerRecord, OthersSay, TokenCount,
        },
        ids::{Incarnation, ProgramId},
        rendezvous::NameHash,
    },
    trefoilring_observe::decisions::Weight,
    writing::write_if_behind,
};

/// Parts into which all programs are split. A part is one object of the store, which takes a
/// megabyte: some 30,000 programs. Must not change while programs run.
pub(crate) const LEDGERS: usize = 4;
/// Pause after a failure of the store. Doubles up to [`PAUSE_MAX`].
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// The longest such pause.
const PAUSE_MAX: Duration = Duration::from_millis(800);

/// One ledger at this host.
#[derive(Default)]
pub(crate) struct Part {
    /// `None` until its record was read: it would know nothing of earlier charges.
    ledger: Option<Ledger>,
    /// The store's revision of the record that the ledger goes on from.
    revision: Option<Revision>,
    is_loading: bool,
    /// The host that keeps it, while it is left to that.
    left_to: Option<SocketAddr>,
    /// Whether the last attempt to read it has failed.
    is_read_failing: bool,
    is_writing: bool,
    /// Turns that wait for a write.
    waiting: usize,
    standby: StandbyState,
    changed: Rc<Event>,
}

impl Part {
    /// Returns as whom this host writes records of a ledger that it takes over now.
    fn writer<'a>(&self, gateway: &'a Gateway) -> (&'a str, Incarnation) {
        (&gateway.settings.host, gateway.incarnation + self.standby.times_left)
    }

    /// Forgets the ledger: another host has what it holds, or its record has.
    fn leave(&mut self) {
        self.ledger = None;
        self.revision = None;
        self.standby.times_left += 1;
    }

    /// Returns whether the store has failed this ledger for a while.
    fn is_store_away(&self) -> bool {
        let is_away = |ledger: &Ledger| ledger.is_store_away(Instant::now());
        self.is_read_failing || self.ledger.as_ref().is_some_and(is_away)
    }
}

/// Returns the part of a program.
pub(crate) fn part_of(program: &str) -> usize {
    (NameHash::new(program).weight(NameHash::new("")) % LEDGERS as u64) as usize
}

/// Charges a turn, if that can be decided in time.
pub(crate) async fn charge(
    gateway: &Rc<Gateway>,
    charge: &Charge,
    deadline: Instant,
) -> ChargeDecision {
    let part = part_of(&charge.program);
    let note = async || match &charge.beyond {
        Some(beyond) => note_outage(gateway, part, beyond).await,
        None => false,
    };
    // The first choice, too, notes what it is to do before it does it.
    let others = match charge.others {
        OthersSay::StoreAwayNoted if !note().await => OthersSay::StoreAway,
        others => others,
    };
    let mut decision = decide(gateway, part, &Charge { others, ..charge.clone() }, deadline).await;
    if let ChargeDecision::StoreAway { is_noted, .. } = &mut decision {
        *is_noted = note().await;
    }
    decision
}

/// Notes that charges may go beyond a write of a ledger. Returns whether that will last.
async fn note_outage(gateway: &Gateway, part: usize, beyond: &LedgerPosition) -> bool {
    let noted = gateway.outage_notes.note(part, beyond).await;
    if noted == Noted::Now {
        gateway.ledgers.borrow_mut()[part].standby.witness.noted(beyond);
        gateway.decisions.note(
            Weight::Rare,
            "ledger",
            json!({"ledger": name(part), "what": "outage noted", "beyond": beyond}),
        );
    }
    noted != Noted::Not
}

/// What a ledger has decided on a charge, and what it takes for it to hold.
enum Decided {
    /// It holds once the standby has it, if the ledger is being copied.
    Granted { is_new: bool, copy: Option<CopyId> },
    /// It can be decided once the ledger has been written.
    AfterWrite(Rc<Event>),
}

async fn decide(
    gateway: &Rc<Gateway>,
    part: usize,
    charge: &Charge,
    deadline: Instant,
) -> ChargeDecision {
    match load(gateway, part, charge.idle_max, deadline).await {
        Loaded::Yes => {}
        Loaded::NotYet => return ChargeDecision::Undecided,
        Loaded::KeptElsewhere { keeper } => return ChargeDecision::KeptElsewhere { keeper },
        Loaded::StoreAway => {
            return ChargeDecision::StoreAway { is_noted: false, beyond: None };
        }
    }
    loop {
        let decided = {
            let mut parts = gateway.ledgers.borrow_mut();
            let state = &mut parts[part];
            let Some(ledger) = state.ledger.as_mut() else { return ChargeDecision::Undecided };
            let now = Instant::now();
            let charged = ledger.charge(now, charge);
            let is_store_away = ledger.is_store_away(now);
            if !charge.noted_by.is_empty() {
                state.standby.noted_by.clone_from(&charge.noted_by);
            }
            if charge.is_first_choice {
                standby::begin(gateway, part, ledger, &state.standby.noted_by);
            }
            match charged {
                Charged::Granted { is_new } => {
                    Decided::Granted { is_new, copy: ledger.copying().cloned() }
                }
                Charged::Spent => return ChargeDecision::Spent,
                Charged::AfterWrite if is_store_away => {
                    let beyond = charge.is_first_choice.then(|| ledger.beyond());
                    drop(parts);
                    write_if_behind(gateway, part);
                    return ChargeDecision::StoreAway { is_noted: false, beyond };
                }
                Charged::AfterWrite => Decided::AfterWrite(state.changed.clone()),
            }
        };
        let changed = match decided {
            Decided::Granted { is_new, copy } => {
                write_if_behind(gateway, part);
                let is_lost = match copy {
                    Some(copy) => !standby::is_copied(gateway, part, &copy, charge, deadline).await,
                    None => false,
                };
                return match is_lost {
                    true => ChargeDecision::Undecided,
                    false => ChargeDecision::Granted { is_new },
                };
            }
            Decided::AfterWrite(changed) => changed,
        };
        let listener = changed.listen();
        gateway.ledgers.borrow_mut()[part].waiting += 1;
        write_if_behind(gateway, part);
        let woken = within(deadline, listener).await;
        gateway.ledgers.borrow_mut()[part].waiting -= 1;
        if woken.is_none() {
            return ChargeDecision::Undecided;
        }
    }
}

/// Takes back what turns did not use.
pub(crate) fn refund(gateway: &Gateway, refunds: &[(ProgramId, TokenCount)]) {
    let now = Instant::now();
    let mut parts = gateway.ledgers.borrow_mut();
    for (program, tokens) in refunds {
        if let Some(ledger) = &mut parts[part_of(program)].ledger {
            ledger.refund(now, program, *tokens);
        }
    }
}

/// The name of a ledger in the store and in notes.
pub(crate) fn name(part: usize) -> String {
    format!("ledger-{part}")
}

fn record_of(stored: &StoredObject) -> Option<LedgerRecord> {
    match serde_json::from_value(stored.content.clone()) {
        Ok(record) => Some(record),
        Err(error) => {
            // Taken as no record: accounts are then opened in doubt.
            log::error!("{}: the record can't be read: {error}", stored.name);
            None
        }
    }
}
