use {
    super::{
        super::{
            Charge, ChargeOutcome, LedgerRecord, OutageNote, OutageNotes, PeerReport,
            STORE_UNAVAILABLE_AFTER, TakeoverInputs, TokenCount,
        },
        *,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom},
};

const IDLE: Duration = Duration::from_secs(60);
const TURN: TokenCount = 100;
const BUDGET: TokenCount = 10 * TURN;
const SEED: u64 = 20_261_204;

fn charge(program: &str, is_first_ranked: bool) -> Charge {
    Charge {
        program: program.into(),
        budget: BUDGET,
        turn_max: TURN,
        idle_max: IDLE,
        is_first_ranked,
        peer_report: PeerReport::Unknown,
        outage_position: None,
        acknowledged_by: Vec::new(),
    }
}

/// Returns an owner in an outage that all ledger hosts have acknowledged, the current time and the
/// outage note.
fn owner_in_outage(now: Instant) -> (Ledger, Instant, OutageNote) {
    let inputs = TakeoverInputs { was_never_owned: true, ..TakeoverInputs::default() };
    let mut ledger = Ledger::take_over(now, 0, ("keeper", 1), inputs, IDLE);
    // This write fails.
    ledger.next_record(now, 0);
    ledger.on_write_failed(now);
    let now = now + STORE_UNAVAILABLE_AFTER;
    let position = ledger.propose_outage_position();
    let acknowledged = Charge {
        peer_report: PeerReport::OutageAcknowledged,
        outage_position: Some(position.clone()),
        ..charge("before", true)
    };
    assert!(matches!(ledger.charge(now, &acknowledged), ChargeOutcome::Granted { .. }));
    (ledger, now, OutageNote { noted_at_ms: 0, position })
}

/// Charges turns of a program until one is refused; returns the number granted.
fn charge_until_refused(ledger: &mut Ledger, now: Instant, charge: &Charge) -> u64 {
    let granted = std::iter::repeat_with(|| ledger.charge(now, charge));
    granted.take_while(|charged| matches!(charged, ChargeOutcome::Granted { .. })).count() as u64
}

fn begin_replica(owner: &mut Ledger, now: Instant) -> LedgerReplica {
    let update = owner.next_update(now).expect("there are accounts to replicate");
    let replica = LedgerReplica::begin(now, update).expect("this is the first update");
    owner.on_update_acknowledged();
    replica
}

#[test]
fn promoted_standby_continues_after_loss_of_the_owner() {
    let (mut owner, now, _) = owner_in_outage(Instant::now());
    assert!(owner.begin_replication(now) && !owner.begin_replication(now));
    let mut replica = begin_replica(&mut owner, now);
    for _ in 0..2 {
        assert!(matches!(owner.charge(now, &charge("p", true)), ChargeOutcome::Granted { .. }));
        assert!(!owner.is_replicated("p") && owner.is_replicated("before"));
        let update = owner.next_update(now).expect("an account has changed");
        assert!(replica.apply(now, update.clone()) && !replica.apply(now, update));
        owner.on_update_acknowledged();
        assert!(owner.is_replicated("p"));
    }
    drop(owner);
    let mut standby = Ledger::promote(now, ("standby", 1), replica);
    assert!(standby.is_promoted_from("keeper@1"));
    // Half of the budget is five turns.
    assert_eq!(charge_until_refused(&mut standby, now, &charge("p", false)), 3);
    assert_eq!(charge_until_refused(&mut standby, now, &charge("new", false)), 5);
    assert!(standby.needs_write());
    let record = standby.next_record(now, 1000);
    standby.on_write_succeeded(now, &record);
    let grant_and_write = |standby: &mut Ledger| {
        let granted = charge_until_refused(standby, now, &charge("p", false));
        let record = standby.next_record(now, 1000);
        standby.on_write_succeeded(now, &record);
        granted
    };
    let rest: u64 = (0..8).map(|_| grant_and_write(&mut standby)).sum();
    assert_eq!(rest, 5, "the remaining half is granted after further writes");
}

#[test]
fn owner_that_continued_alone_replicates_again_after_the_delay() {
    let (mut owner, now, note) = owner_in_outage(Instant::now());
    let mut witness = Witness::default();
    witness.on_note_stored(&note.position);
    owner.begin_replication(now);
    let first = owner.replication().cloned().expect("a replication is in progress");
    assert!(witness.decide_vote(&first, VoteOption::ContinueAlone));
    owner.end_replication(now);
    assert!(!owner.begin_replication(now));
    let later = now + REPLICATION_RETRY_DELAY;
    assert!(owner.begin_replication(later));
    let replica = begin_replica(&mut owner, later);
    assert!(replica.is_usable(later) && replica.id().supersedes(&first));
    assert!(witness.decide_vote(replica.id(), VoteOption::PromoteStandby));
    assert!(!witness.decide_vote(&first, VoteOption::ContinueAlone));
}

#[test]
fn record_stays_possibly_incomplete_until_replication_ends() {
    let (mut owner, now, note) = owner_in_outage(Instant::now());
    owner.begin_replication(now);
    begin_replica(&mut owner, now);
    assert_eq!(owner.replication_ending_since(), None);
    let incomplete = owner.next_record(now, 1000);
    owner.on_write_succeeded(now, &incomplete);
    assert_eq!(owner.replication_ending_since(), Some(now));
    let still_incomplete = owner.next_record(now, 2000);
    owner.end_replication(now);
    let complete = owner.next_record(now, 3000);
    let notes = [OutageNotes::Taken { since_ms: 0, last: Some(note) }];
    let is_possibly_incomplete = |record| {
        let inputs = TakeoverInputs { record: Some(record), notes: &notes, was_never_owned: false };
        let unix_ms = record.written_at_ms;
        Ledger::take_over(now, unix_ms, ("next", 1), inputs, IDLE).is_possibly_incomplete(now)
    };
    assert!(
        is_possibly_incomplete(&incomplete)
            && is_possibly_incomplete(&still_incomplete)
            && !is_possibly_incomplete(&complete)
    );
}

#[test]
fn large_replica_is_complete_after_its_last_update() {
    let (mut owner, now, _) = owner_in_outage(Instant::now());
    for number in 0..2 * UPDATE_ACCOUNTS_MAX {
        owner.charge(now, &charge(&format!("p{number}"), true));
    }
    owner.begin_replication(now);
    let mut replica = begin_replica(&mut owner, now);
    let mut messages = 1;
    while !replica.is_usable(now) {
        let update = owner.next_update(now).expect("there are unsent accounts");
        assert!(update.accounts.len() <= UPDATE_ACCOUNTS_MAX);
        assert!(replica.apply(now, update));
        owner.on_update_acknowledged();
        messages += 1;
    }
    assert_eq!((messages, replica.accounts.len()), (3, owner.len()));
    assert!(owner.next_update(now).is_none());
    assert!(!replica.is_usable(now + REPLICA_MAX_AGE) && REPLICA_MAX_AGE < IDLE);
}

#[test]
fn witness_grants_one_vote_per_replication() {
    let position = LedgerPosition { writer: "keeper@1".into(), sequence: 9 };
    let replication = |generation| {
        let acknowledged_sequence = 8 + generation;
        ReplicationId { writer: "keeper@1".into(), generation, acknowledged_sequence }
    };
    let mut witness = Witness::default();
    assert!(
        !witness.decide_vote(&replication(1), VoteOption::ContinueAlone),
        "the witness has stored no note since it started"
    );
    witness.on_note_stored(&position);
    assert!(witness.decide_vote(&replication(1), VoteOption::PromoteStandby));
    assert!(witness.decide_vote(&replication(1), VoteOption::PromoteStandby));
    assert!(!witness.decide_vote(&replication(1), VoteOption::ContinueAlone));
    assert!(witness.decide_vote(&replication(2), VoteOption::ContinueAlone));
    assert!(!witness.decide_vote(&replication(2), VoteOption::PromoteStandby));
    assert!(
        !witness.decide_vote(&replication(1), VoteOption::PromoteStandby),
        "a later replication was voted on"
    );
    let other = ReplicationId { writer: "another@1".into(), ..replication(1) };
    assert!(!witness.decide_vote(&other, VoteOption::ContinueAlone));
    let mut restarted = Witness::default();
    restarted.on_note_stored(&LedgerPosition { sequence: 21, ..position });
    assert!(
        !restarted.decide_vote(&replication(2), VoteOption::ContinueAlone),
        "the witness may have voted before its restart"
    );
    assert!(restarted.decide_vote(&replication(13), VoteOption::ContinueAlone));
}

/// Simulates one outage with a lossy network between the owner, its standby and the witness.
struct Simulation {
    rng: StdRng,
    now: Instant,
    note: OutageNote,
    owner: Option<Ledger>,
    /// Updates to the standby that are delayed in the network.
    delayed: Vec<ReplicaUpdate>,
    replica: Option<LedgerReplica>,
    standby: Option<Ledger>,
    witness: Witness,
    record: Option<LedgerRecord>,
    granted: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let (mut owner, now, note) = owner_in_outage(Instant::now());
        owner.begin_replication(now);
        let mut witness = Witness::default();
        witness.on_note_stored(&note.position);
        Self {
            rng: StdRng::seed_from_u64(seed),
            now,
            note,
            owner: Some(owner),
            delayed: Vec::new(),
            replica: None,
            standby: None,
            witness,
            record: None,
            granted: 0,
        }
    }

    /// Applies an update as the gateway does.
    fn deliver(&mut self, update: ReplicaUpdate) -> bool {
        if self.standby.is_some() {
            return false;
        }
        match &mut self.replica {
            Some(replica) if *replica.id() == update.replication_id => {
                replica.apply(self.now, update)
            }
            Some(replica) if !update.replication_id.supersedes(replica.id()) => false,
            _ => {
                self.replica = LedgerReplica::begin(self.now, update);
                self.replica.is_some()
            }
        }
    }

    /// Sends the next update to the standby. The update or its answer may be lost, or the update
    /// delayed.
    fn send(&mut self) {
        let now = self.now;
        let Some(update) = self.owner.as_mut().and_then(|owner| owner.next_update(now)) else {
            return;
        };
        let is_acked = match self.rng.random_range(0..4) {
            0 => {
                self.delayed.push(update);
                false
            }
            1 => {
                self.deliver(update);
                false
            }
            _ => self.deliver(update),
        };
        if let Some(owner) = &mut self.owner {
            if is_acked { owner.on_update_acknowledged() } else { owner.on_update_unacknowledged() }
        }
    }

    fn random_action(&mut self) {
        let now = self.now;
        match self.rng.random_range(0..16) {
            0..=5 => {
                let Some(owner) = &mut self.owner else { return };
                if !matches!(owner.charge(now, &charge("p", true)), ChargeOutcome::Granted { .. }) {
                    return;
                }
                self.send();
                match &mut self.owner {
                    Some(owner) if owner.is_replicated("p") => self.granted += 1,
                    Some(owner) => owner.refund(now, "p", TURN),
                    None => {}
                }
            }
            6..=7 => self.send(),
            8 if !self.delayed.is_empty() => {
                let delayed = self.delayed.choose(&mut self.rng).cloned();
                delayed.map(|update| self.deliver(update));
            }
            9 => {
                let Some(owner) = &mut self.owner else { return };
                let replication = owner.replication().cloned();
                if replication
                    .is_some_and(|id| self.witness.decide_vote(&id, VoteOption::ContinueAlone))
                {
                    owner.end_replication(now);
                    if self.rng.random() {
                        assert!(owner.begin_replication(now + REPLICATION_RETRY_DELAY));
                    }
                }
            }
            10 => {
                let Some(held) = self.replica.take_if(|held| held.is_usable(now)) else { return };
                match self.witness.decide_vote(held.id(), VoteOption::PromoteStandby) {
                    true => self.standby = Some(Ledger::promote(now, ("standby", 1), held)),
                    false => self.replica = Some(held),
                }
            }
            11..=13 => {
                let Some(standby) = &mut self.standby else { return };
                let charged = standby.charge(now, &charge("p", false));
                self.granted += u64::from(matches!(charged, ChargeOutcome::Granted { .. }));
            }
            14 if self.rng.random_range(0..8) == 0 => self.owner = None,
            15 if self.rng.random_range(0..4) == 0 => {
                // The owner writes its record, but the answer is lost.
                if let Some(owner) = &mut self.owner {
                    self.record = Some(owner.next_record(now, 1000));
                }
            }
            _ => {}
        }
    }

    /// Ends the outage and charges turns until the budget is spent. The owner is then either the
    /// promoted standby or, if it is lost, a third host that takes over from the record. Returns
    /// the number of turns granted in total, and whether the standby was promoted and kept the
    /// ledger.
    fn recover_store_and_finish(mut self) -> (u64, bool) {
        let now = self.now;
        let notes = OutageNotes::Taken { since_ms: 0, last: Some(self.note.clone()) };
        // In half of the runs a promoted standby is lost too.
        let standby = self.standby.take().filter(|_| self.rng.random());
        let is_promoted = standby.is_some();
        let mut final_owner = match standby {
            Some(mut standby) => {
                if let Some(record) = &self.record {
                    standby.merge(now, record, notes.clone());
                }
                standby
            }
            None => {
                let record = self.record.clone().unwrap_or_else(|| LedgerRecord {
                    writer: self.note.position.writer.clone(),
                    sequence: 1,
                    ..LedgerRecord::default()
                });
                let inputs = TakeoverInputs {
                    record: Some(&record),
                    notes: &[notes],
                    was_never_owned: false,
                };
                Ledger::take_over(now, 1500, ("third", 1), inputs, IDLE)
            }
        };
        for _ in 0..40 {
            let record = final_owner.next_record(now, 2000);
            final_owner.on_write_succeeded(now, &record);
            self.granted += charge_until_refused(&mut final_owner, now, &charge("p", true));
        }
        assert_eq!(final_owner.charge(now, &charge("p", true)), ChargeOutcome::InsufficientBudget);
        (self.granted, is_promoted)
    }
}

#[test]
fn budget_holds_when_messages_between_owner_standby_and_witness_are_lost() {
    let mut promoted = 0;
    for seed in SEED..SEED + 2000 {
        let mut simulation = Simulation::new(seed);
        (0..60).for_each(|_| simulation.random_action());
        let (granted, is_promoted) = simulation.recover_store_and_finish();
        assert!(granted * TURN <= BUDGET + TURN, "{granted} turns, seed {seed}");
        if is_promoted {
            promoted += 1;
            // The standby may have received a charge whose turn the owner did not start.
            assert!(granted * TURN >= BUDGET - TURN, "{granted} turns, seed {seed}");
        }
    }
    assert!(
        promoted > 100,
        "the standby was promoted and kept the ledger in {promoted} of 2000 outages"
    );
}
