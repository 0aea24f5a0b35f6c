use {
    super::{
        super::{
            Charge, ChargeOutcome, FenceReply, LedgerRecord, STORE_UNAVAILABLE_AFTER, Settlement,
            TakeoverInputs, TokenCount, TurnId, may_lack_overdraft,
        },
        *,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom},
};

const IDLE: Duration = Duration::from_secs(60);
const TURN: TokenCount = 100;
const BUDGET: TokenCount = 10 * TURN;
const SEED: u64 = 20_261_204;

/// Source of turn ids.
#[derive(Default)]
struct Turns(TurnId);

impl Turns {
    fn charge(&mut self, program: &str) -> Charge {
        self.0 += 1;
        Charge {
            program: program.into(),
            turn: self.0,
            budget: BUDGET,
            turn_max: TURN,
            idle_max: IDLE,
            longest_idle_max: IDLE,
        }
    }

    /// Charges turns of a program until one is refused; returns the number granted.
    fn charge_all(&mut self, ledger: &mut Ledger, now: Instant, program: &str) -> u64 {
        let charged = std::iter::repeat_with(|| ledger.charge(now, &self.charge(program)));
        charged.take_while(is_granted).count() as u64
    }
}

fn is_granted(outcome: &ChargeOutcome) -> bool {
    matches!(outcome, ChargeOutcome::Granted { .. })
}

fn note_hosts() -> Vec<NoteHost> {
    (1..=3).map(|id| NoteHost { host: format!("host-{id}"), notes_id: id }).collect()
}

/// An owner in an outage that the note hosts have noted.
struct Outage {
    owner: Ledger,
    now: Instant,
    position: LedgerPosition,
    /// The record in the store.
    record: LedgerRecord,
}

impl Outage {
    fn begin(turns: &mut Turns) -> Self {
        let now = Instant::now();
        let inputs =
            TakeoverInputs { record: None, may_lack_overdraft: false, note_hosts: note_hosts() };
        let mut owner = Ledger::take_over(now, "keeper@1".into(), inputs, IDLE);
        let record = owner.next_record(now, 0).expect("a record");
        owner.on_write_succeeded(now, &record);
        let failed = owner.next_record(now, 0).expect("a record");
        owner.on_write_failed(now, &failed, false);
        let now = now + STORE_UNAVAILABLE_AFTER;
        let position = owner.propose_outage_position().expect("there are note hosts");
        assert!(owner.on_outage_noted(position, &note_hosts()));
        assert!(is_granted(&owner.charge(now, &turns.charge("before"))));
        Self { owner, now, position, record }
    }
}

/// Charges turns until one is refused, and writes the record whenever one waits.
fn write_and_charge_all(turns: &mut Turns, ledger: &mut Ledger, now: Instant) -> u64 {
    let mut granted = 0;
    let mut turn = turns.charge("p");
    loop {
        match ledger.charge(now, &turn) {
            ChargeOutcome::Granted { .. } => {
                granted += 1;
                turn = turns.charge("p");
            }
            ChargeOutcome::WriteRequired => {
                let record = ledger.next_record(now, 0).expect("a record");
                ledger.on_write_succeeded(now, &record);
            }
            _ => return granted,
        }
    }
}

fn begin_replica(owner: &mut Ledger, now: Instant) -> LedgerReplica {
    let update = owner.next_update(now).expect("there are accounts to replicate");
    let replica = LedgerReplica::begin(now, update).expect("this is the first update");
    owner.on_update_acknowledged();
    replica
}

#[test]
fn promoted_standby_continues_after_loss_of_the_owner() {
    let mut turns = Turns::default();
    let Outage { mut owner, now, record, .. } = Outage::begin(&mut turns);
    assert!(owner.begin_replication(now) && !owner.begin_replication(now));
    let mut replica = begin_replica(&mut owner, now);
    for _ in 0..2 {
        assert!(is_granted(&owner.charge(now, &turns.charge("p"))));
        assert!(!owner.is_replicated("p") && owner.is_replicated("before"));
        let update = owner.next_update(now).expect("an account has changed");
        assert!(replica.apply(now, update.clone()) && !replica.apply(now, update));
        owner.on_update_acknowledged();
        assert!(owner.is_replicated("p"));
    }
    drop(owner);
    let mut standby = Ledger::promote(now, "standby@1".into(), replica);
    assert!(standby.is_promoted_from("keeper@1") && standby.must_claim());
    // Half of the budget is five turns.
    assert_eq!(turns.charge_all(&mut standby, now, "p"), 3);
    assert_eq!(turns.charge_all(&mut standby, now, "new"), 5);
    assert!(standby.needs_write() && standby.next_record(now, 1000).is_none());
    standby.claim(record.epoch, note_hosts());
    assert_eq!(turns.charge_all(&mut standby, now, "other"), 0, "its record is not stored yet");
    let claimed = standby.next_record(now, 1000).expect("a record");
    assert_eq!(claimed.epoch, record.epoch + 1);
    standby.on_write_succeeded(now, &claimed);
    assert_eq!(write_and_charge_all(&mut turns, &mut standby, now), 5, "the remaining half");
}

#[test]
fn owner_that_continued_alone_replicates_again_after_the_delay() {
    let mut turns = Turns::default();
    let Outage { mut owner, now, position, .. } = Outage::begin(&mut turns);
    let mut witness = Witness::default();
    witness.on_note_stored(position);
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

/// A record that is stored while the standby may be promoted would list turns that the standby
/// frees as well, and would seem complete.
#[test]
fn no_record_is_written_until_the_replication_has_ended() {
    let mut turns = Turns::default();
    let Outage { mut owner, now, position, record } = Outage::begin(&mut turns);
    let replies = [FenceReply {
        note_host: note_hosts()[0].clone(),
        noted: Some(position),
        fenced_before: 0,
    }];
    owner.begin_replication(now);
    begin_replica(&mut owner, now);
    assert_eq!(owner.replication_ending_since(), None);
    assert!(owner.needs_write() && owner.next_record(now, 1000).is_none());
    owner.on_store_reached(now);
    assert_eq!(owner.replication_ending_since(), Some(now));
    assert!(owner.next_record(now, 2000).is_none());
    assert_eq!(may_lack_overdraft(&record, &replies), Some(true));
    owner.end_replication(now);
    let first = owner.next_record(now, 3000).expect("a record");
    assert_eq!(may_lack_overdraft(&first, &replies), Some(true));
    owner.on_write_succeeded(now, &first);
    let complete = owner.next_record(now, 4000).expect("a record");
    let replies: Vec<FenceReply> = note_hosts()
        .into_iter()
        .map(|note_host| FenceReply { note_host, noted: Some(position), fenced_before: 0 })
        .collect();
    assert_eq!(may_lack_overdraft(&complete, &replies), Some(false));
}

/// Guards against a write that began before the replication and succeeds late.
#[test]
fn standby_stays_within_records_that_may_be_stored_late() {
    let mut turns = Turns::default();
    let Outage { mut owner, now, .. } = Outage::begin(&mut turns);
    let mut granted = turns.charge_all(&mut owner, now, "p");
    let late_record = owner.next_record(now, 0).expect("a record");
    owner.on_write_failed(now, &late_record, true);
    owner.begin_replication(now);
    let replica = begin_replica(&mut owner, now);
    drop(owner);
    let mut standby = Ledger::promote(now, "standby@1".into(), replica);
    granted += turns.charge_all(&mut standby, now, "p");
    let inputs = TakeoverInputs {
        record: Some(&late_record),
        may_lack_overdraft: true,
        note_hosts: note_hosts(),
    };
    let mut third = Ledger::take_over(now, "third@1".into(), inputs, IDLE);
    granted += write_and_charge_all(&mut turns, &mut third, now);
    assert!(granted * TURN <= BUDGET + TURN, "{granted} turns were granted");
}

#[test]
fn large_replica_is_complete_after_its_last_update() {
    let mut turns = Turns::default();
    let Outage { mut owner, now, .. } = Outage::begin(&mut turns);
    for number in 0..2 * UPDATE_ACCOUNTS_MAX {
        owner.charge(now, &turns.charge(&format!("p{number}")));
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
    let position = LedgerPosition { epoch: 3, sequence: 9 };
    let replication = |generation| {
        let noted_sequence = 8 + generation;
        ReplicationId { writer: "keeper@1".into(), epoch: 3, generation, noted_sequence }
    };
    let mut witness = Witness::default();
    assert!(
        !witness.decide_vote(&replication(1), VoteOption::ContinueAlone),
        "the witness has stored no note since it started"
    );
    witness.on_note_stored(position);
    assert!(witness.decide_vote(&replication(1), VoteOption::PromoteStandby));
    assert!(witness.decide_vote(&replication(1), VoteOption::PromoteStandby));
    assert!(!witness.decide_vote(&replication(1), VoteOption::ContinueAlone));
    assert!(witness.decide_vote(&replication(2), VoteOption::ContinueAlone));
    assert!(!witness.decide_vote(&replication(2), VoteOption::PromoteStandby));
    assert!(
        !witness.decide_vote(&replication(1), VoteOption::PromoteStandby),
        "a later replication was voted on"
    );
    let other = ReplicationId { writer: "another@1".into(), epoch: 4, ..replication(1) };
    assert!(!witness.decide_vote(&other, VoteOption::ContinueAlone));
    let mut restarted = Witness::default();
    restarted.on_note_stored(LedgerPosition { sequence: 21, ..position });
    assert!(
        !restarted.decide_vote(&replication(2), VoteOption::ContinueAlone),
        "the witness may have voted before its restart"
    );
    assert!(restarted.decide_vote(&replication(13), VoteOption::ContinueAlone));
}

/// A standby with a replica of the owner's ledger.
fn standby_of(owner: &mut Ledger, now: Instant) -> (Standby, ReplicationId) {
    assert!(owner.begin_replication(now));
    let update = owner.next_update(now).expect("there are accounts to replicate");
    let id = update.replication_id.clone();
    let mut standby = Standby::default();
    assert_eq!(standby.apply(now, false, update), Some(ReplicaStatus::Kept));
    owner.on_update_acknowledged();
    (standby, id)
}

/// Returns the next update of an owner that charges a turn.
fn update_after_charge(owner: &mut Ledger, now: Instant, turns: &mut Turns) -> ReplicaUpdate {
    assert!(is_granted(&owner.charge(now, &turns.charge("p"))));
    owner.next_update(now).expect("an account has changed")
}

/// Guards against a former owner that was suspended in one outage, wakes in the next one, and is told
/// that there is no replica, because its standby has claimed the ledger meanwhile.
#[test]
fn promoted_standby_says_so_after_it_has_claimed_and_lost_the_ledger() {
    let mut turns = Turns::default();
    let Outage { mut owner, now, record, .. } = Outage::begin(&mut turns);
    let (mut standby, id) = standby_of(&mut owner, now);
    let mut promoted = standby.promote(now, &id, "standby@1".into()).expect("it has a replica");
    promoted.claim(record.epoch, note_hosts());
    let claimed = promoted.next_record(now, 1000).expect("a record");
    promoted.on_write_succeeded(now, &claimed);
    for owns_ledger in [true, false] {
        let update = update_after_charge(&mut owner, now, &mut turns);
        let status = standby.apply(now, owns_ledger, update);
        assert_eq!(status, Some(ReplicaStatus::StandsIn), "{owns_ledger}");
        owner.on_update_unacknowledged();
    }
    assert_eq!(standby.end(id), Some(ReplicaStatus::StandsIn));
}

/// Guards against a standby that was promoted, and restarts before the former owner wakes.
#[test]
fn standby_that_has_lost_its_memory_does_not_end_a_replication() {
    let mut turns = Turns::default();
    let Outage { mut owner, now, position, .. } = Outage::begin(&mut turns);
    let (mut standby, id) = standby_of(&mut owner, now);
    let mut witness = Witness::default();
    witness.on_note_stored(position);
    assert!(witness.decide_vote(&id, VoteOption::PromoteStandby));
    assert!(standby.promote(now, &id, "standby@1".into()).is_some());
    let mut restarted = Standby::default();
    let update = update_after_charge(&mut owner, now, &mut turns);
    for owns_ledger in [true, false] {
        assert_eq!(restarted.apply(now, owns_ledger, update.clone()), None, "{owns_ledger}");
    }
    // Repeated, as the owner does until it has an answer.
    assert_eq!(restarted.end(id.clone()), None);
    assert_eq!(restarted.end(id.clone()), None);
    assert_eq!(restarted.apply(now, false, update), None);
    assert!(!witness.decide_vote(&id, VoteOption::ContinueAlone));
}

#[test]
fn standby_that_drops_its_replica_unpromoted_ends_the_replication() {
    let mut turns = Turns::default();
    let Outage { mut owner, now, .. } = Outage::begin(&mut turns);
    let (mut standby, id) = standby_of(&mut owner, now);
    let late = update_after_charge(&mut owner, now, &mut turns);
    assert_eq!(standby.end(id.clone()), Some(ReplicaStatus::NotKept));
    assert!(standby.promote(now, &id, "standby@1".into()).is_none());
    assert_eq!(standby.end(id.clone()), Some(ReplicaStatus::NotKept), "the answer was lost");
    assert_eq!(standby.apply(now, false, late), Some(ReplicaStatus::NotKept));
}

/// Simulates one outage with a lossy network between the owner, its standby and the witness.
struct Simulation {
    rng: StdRng,
    now: Instant,
    turns: Turns,
    owner: Option<Ledger>,
    /// Updates to the standby that are delayed in the network.
    delayed: Vec<ReplicaUpdate>,
    replica: Option<LedgerReplica>,
    standby: Option<Ledger>,
    witness: Witness,
    /// The record in the store.
    record: LedgerRecord,
    granted: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let (mut rng, mut turns) = (StdRng::seed_from_u64(seed), Turns::default());
        let Outage { mut owner, now, position, mut record } = Outage::begin(&mut turns);
        if rng.random() {
            // A write that began before the replication, and succeeds although its answer is lost.
            record = owner.next_record(now, 0).expect("a record");
            owner.on_write_failed(now, &record, true);
        }
        owner.begin_replication(now);
        let mut witness = Witness::default();
        witness.on_note_stored(position);
        Self {
            rng,
            now,
            turns,
            owner: Some(owner),
            delayed: Vec::new(),
            replica: None,
            standby: None,
            witness,
            record,
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
                let charge = self.turns.charge("p");
                let Some(owner) = &mut self.owner else { return };
                if !is_granted(&owner.charge(now, &charge)) {
                    return;
                }
                self.send();
                let Some(owner) = &mut self.owner else { return };
                match owner.is_replicated("p") {
                    true => self.granted += 1,
                    false => {
                        let cancelled =
                            Settlement { program: "p".into(), turn: charge.turn, used: 0 };
                        owner.settle(now, &cancelled);
                    }
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
                    true => self.standby = Some(Ledger::promote(now, "standby@1".into(), held)),
                    false => self.replica = Some(held),
                }
            }
            11..=13 => {
                let charge = self.turns.charge("p");
                let Some(standby) = &mut self.standby else { return };
                self.granted += u64::from(is_granted(&standby.charge(now, &charge)));
            }
            14 if self.rng.random_range(0..8) == 0 => self.owner = None,
            _ => {}
        }
    }

    /// Ends the outage and charges turns until the budget is spent. The owner is then either the
    /// promoted standby or, if it is lost, a third host that takes over from the record. Returns
    /// the number of turns granted in total, and whether the standby was promoted and kept the
    /// ledger.
    fn recover_store_and_finish(mut self) -> (u64, bool) {
        let now = self.now;
        // In half of the runs a promoted standby is lost too.
        let standby = self.standby.take().filter(|_| self.rng.random());
        let is_promoted = standby.is_some();
        let mut final_owner = match standby {
            Some(mut standby) => {
                standby.claim(self.record.epoch, note_hosts());
                standby
            }
            None => {
                let inputs = TakeoverInputs {
                    record: Some(&self.record),
                    may_lack_overdraft: true,
                    note_hosts: note_hosts(),
                };
                Ledger::take_over(now, "third@1".into(), inputs, IDLE)
            }
        };
        let record = final_owner.next_record(now, 2000).expect("a record");
        final_owner.on_write_succeeded(now, &record);
        self.granted += write_and_charge_all(&mut self.turns, &mut final_owner, now);
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
