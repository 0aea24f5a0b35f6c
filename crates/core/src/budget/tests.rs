use {super::*, proptest::prelude::*};

const IDLE: Duration = Duration::from_secs(60);
const TURN: TokenCount = 580;

fn charge(program: &str, budget: TokenCount) -> Charge {
    Charge {
        program: program.into(),
        budget,
        turn_max: TURN,
        idle_max: IDLE,
        is_first_ranked: true,
        peer_report: PeerReport::StoreUnavailable,
        outage_position: None,
        acknowledged_by: Vec::new(),
    }
}

fn new_ledger(now: Instant) -> Ledger {
    let inputs = TakeoverInputs { was_never_owned: true, ..TakeoverInputs::default() };
    Ledger::take_over(now, 0, ("host-1", 1), inputs, IDLE)
}

/// Takes over a ledger from a ledger host that stores no notes.
fn take_over(now: Instant, unix_ms: u64, host: &str, record: Option<&LedgerRecord>) -> Ledger {
    let inputs = TakeoverInputs { record, notes: &[OutageNotes::NotTaken], was_never_owned: false };
    Ledger::take_over(now, unix_ms, (host, 1), inputs, IDLE)
}

/// Fails a write and charges two turns, of which one is granted. Returns the time at which the
/// peers have reported the store as unavailable.
fn begin_outage(ledger: &mut Ledger, now: Instant, charge: &Charge) -> Instant {
    ledger.on_write_failed(now);
    let later = now + STORE_UNAVAILABLE_AFTER;
    assert!(is_granted(ledger, later, charge));
    assert_eq!(ledger.charge(later, charge), ChargeOutcome::WriteRequired);
    later
}

/// Returns the charge with an outage note that all ledger hosts have acknowledged.
fn with_acknowledged_note(ledger: &mut Ledger, charge: Charge) -> Charge {
    Charge {
        peer_report: PeerReport::OutageAcknowledged,
        outage_position: Some(ledger.propose_outage_position()),
        ..charge
    }
}

/// Returns notes that cover the overdrafts of a ledger.
fn notes_of(ledger: &mut Ledger, noted_at_ms: u64) -> OutageNotes {
    let note = OutageNote { noted_at_ms, position: ledger.propose_outage_position() };
    OutageNotes::Taken { since_ms: 0, last: Some(note) }
}

/// Returns notes without an outage, complete since the given time.
fn empty_notes(since_ms: u64) -> OutageNotes {
    OutageNotes::Taken { since_ms, last: None }
}

/// Charges turns until one is refused, writing the record after each; returns the number granted.
fn charge_until_refused(ledger: &mut Ledger, now: Instant, unix_ms: u64, charge: &Charge) -> u64 {
    let mut granted = 0;
    while is_granted(ledger, now, charge) {
        granted += 1;
        write(ledger, now, unix_ms);
    }
    granted
}

fn is_granted(ledger: &mut Ledger, now: Instant, charge: &Charge) -> bool {
    matches!(ledger.charge(now, charge), ChargeOutcome::Granted { .. })
}

fn write(ledger: &mut Ledger, now: Instant, unix_ms: u64) -> LedgerRecord {
    let record = ledger.next_record(now, unix_ms);
    ledger.on_write_succeeded(now, &record);
    record
}

#[test]
fn budget_holds_with_refunds() {
    let now = Instant::now();
    let mut ledger = new_ledger(now);
    let turn = charge("p", 1160);
    assert!(is_granted(&mut ledger, now, &turn));
    write(&mut ledger, now, 0);
    assert!(is_granted(&mut ledger, now, &turn));
    assert_eq!(ledger.charge(now, &turn), ChargeOutcome::InsufficientBudget);
    ledger.refund(now, "p", 400);
    assert_eq!(ledger.charge(now, &turn), ChargeOutcome::InsufficientBudget);
    ledger.refund(now, "p", 400);
    assert!(is_granted(&mut ledger, now, &turn));
}

#[test]
fn second_turn_waits_for_the_record_and_the_third_does_not() {
    let now = Instant::now();
    let mut ledger = new_ledger(now);
    let turn = charge("p", 5300);
    assert!(is_granted(&mut ledger, now, &turn));
    assert!(ledger.needs_write());
    assert_eq!(ledger.charge(now, &turn), ChargeOutcome::WriteRequired);
    write(&mut ledger, now, 0);
    assert!(is_granted(&mut ledger, now, &turn));
    assert!(is_granted(&mut ledger, now, &turn));
}

#[test]
fn crash_exceeds_the_budget_by_at_most_one_turn() {
    let now = Instant::now();
    let mut ledger = new_ledger(now);
    assert!(is_granted(&mut ledger, now, &charge("p", 2320)));
    let record = write(&mut ledger, now, 1000);
    let mut granted = 1;
    while is_granted(&mut ledger, now, &charge("p", 2320)) {
        granted += 1;
    }
    let mut successor = take_over(now, 1500, "host-2", Some(&record));
    granted += charge_until_refused(&mut successor, now, 1500, &charge("p", 2320));
    assert!(
        granted * TURN <= 2320 + TURN,
        "{granted} turns were granted, more than the budget and one turn"
    );
}

#[test]
fn budget_holds_when_owners_are_lost_in_series() {
    let now = Instant::now();
    let turn = charge("p", 2320);
    let mut owner = new_ledger(now);
    let mut granted = 0;
    for host in ["host-2", "host-3", "host-4", "host-5"] {
        let record = write(&mut owner, now, 1000);
        // Each owner is lost before it writes the record again.
        while is_granted(&mut owner, now, &turn) {
            granted += 1;
        }
        owner = take_over(now, 1000, host, Some(&record));
    }
    granted += charge_until_refused(&mut owner, now, 1000, &turn);
    assert!(granted * TURN <= 2320 + TURN, "{} tokens were granted", granted * TURN);
}

#[test]
fn overdraft_is_half_the_budget_and_is_held_back_by_the_successor() {
    let now = Instant::now();
    let budget = 10 * TURN;
    let mut ledger = new_ledger(now);
    let record = write(&mut ledger, now, 1000);
    let later =
        begin_outage(&mut ledger, now, &charge("p", budget)) + UNACKNOWLEDGED_OVERDRAFT_AFTER;
    let mut granted = 1;
    while is_granted(&mut ledger, later, &charge("p", budget)) {
        granted += 1;
    }
    assert_eq!(granted, 5);
    assert!(ledger.is_store_unavailable(later) && !ledger.is_store_unavailable(now));
    let mut successor = take_over(later, 9000, "host-2", Some(&record));
    granted += charge_until_refused(&mut successor, later, 9000, &charge("p", budget));
    assert!(
        granted * TURN <= budget + TURN,
        "{granted} turns were granted, more than the budget and one turn"
    );
    assert!(
        granted >= 10,
        "only {granted} turns were granted; the presumed charge exceeded the overdraft"
    );
}

/// Guards against a successor that again grants the tokens of an overdraft. The time of the record
/// is 100 s.
#[test]
fn acknowledged_overdraft_is_granted_at_once_and_is_held_back_by_the_successor() {
    let now = Instant::now();
    let budget = 10 * TURN;
    for name in ["its notes", "another's notes", "only notes from later on", "no notes"] {
        let mut ledger = new_ledger(now);
        let record = write(&mut ledger, now, 100_000);
        ledger.on_write_failed(now);
        let turn = with_acknowledged_note(&mut ledger, charge("p", budget));
        assert!(is_granted(&mut ledger, now, &turn));
        assert_eq!(
            ledger.charge(now, &turn),
            ChargeOutcome::WriteRequired,
            "the store may be slow"
        );
        let later = now + STORE_UNAVAILABLE_AFTER;
        let mut granted = 1;
        while is_granted(&mut ledger, later, &turn) {
            granted += 1;
        }
        assert_eq!(granted, 5);
        let notes = match name {
            "its notes" => vec![notes_of(&mut ledger, 100_400)],
            "another's notes" => vec![empty_notes(100_900), notes_of(&mut ledger, 100_400)],
            "only notes from later on" => vec![empty_notes(100_900)],
            _ => vec![],
        };
        let inputs =
            TakeoverInputs { record: Some(&record), notes: &notes, was_never_owned: false };
        let mut successor = Ledger::take_over(later, 101_000, ("host-2", 1), inputs, IDLE);
        granted += charge_until_refused(&mut successor, later, 101_000, &charge("p", budget));
        assert!(granted * TURN <= budget + TURN, "{granted} turns granted with {name}");
    }
}

#[test]
fn overdraft_stops_at_the_acknowledged_write() {
    let now = Instant::now();
    let mut ledger = new_ledger(now);
    write(&mut ledger, now, 100_000);
    ledger.on_write_failed(now);
    let later = now + STORE_UNAVAILABLE_AFTER;
    let turn = with_acknowledged_note(&mut ledger, charge("p", 10 * TURN));
    assert!(is_granted(&mut ledger, later, &turn));
    for attempt in 0..NOTE_LOOKAHEAD_WRITES {
        ledger.next_record(later, 100_400);
        let other_charge = charge(&format!("p{attempt}"), 10 * TURN);
        assert!(
            is_granted(&mut ledger, later, &other_charge)
                && is_granted(&mut ledger, later, &other_charge)
        );
    }
    // The notes do not cover this write, so a successor would treat its record as complete.
    ledger.next_record(later, 100_800);
    assert_eq!(ledger.charge(later, &turn), ChargeOutcome::WriteRequired);
    let acknowledged_again = with_acknowledged_note(&mut ledger, charge("p", 10 * TURN));
    assert!(is_granted(&mut ledger, later, &acknowledged_again));
}

/// Guards against turns that wait for a lost ledger host although all ledger hosts have
/// acknowledged the outage note.
#[test]
fn overdraft_continues_when_a_ledger_host_is_lost() {
    let now = Instant::now();
    let mut ledger = new_ledger(now);
    write(&mut ledger, now, 100_000);
    ledger.on_write_failed(now);
    let later = now + STORE_UNAVAILABLE_AFTER;
    let turn = with_acknowledged_note(&mut ledger, charge("p", 10 * TURN));
    assert!(is_granted(&mut ledger, later, &turn));
    ledger.next_record(later, 100_400);
    for peer_report in [PeerReport::StoreUnavailable, PeerReport::Unknown] {
        let turn = Charge { peer_report, ..charge("p", 10 * TURN) };
        assert!(is_granted(&mut ledger, later, &turn), "{peer_report:?}");
    }
    let lower_ranked = Charge { is_first_ranked: false, ..charge("p", 10 * TURN) };
    assert!(!is_granted(&mut ledger, later, &lower_ranked));
}

#[test]
fn record_after_an_acknowledged_outage_is_complete() {
    let now = Instant::now();
    let budget = 10 * TURN;
    let mut ledger = new_ledger(now);
    write(&mut ledger, now, 100_000);
    ledger.on_write_failed(now);
    let later = now + STORE_UNAVAILABLE_AFTER;
    let turn = with_acknowledged_note(&mut ledger, charge("p", budget));
    assert!(is_granted(&mut ledger, later, &turn) && is_granted(&mut ledger, later, &turn));
    let notes = [notes_of(&mut ledger, 100_400)];
    write(&mut ledger, later, 100_500);
    assert!(ledger.needs_write());
    let record = write(&mut ledger, later, 100_600);
    assert!(!ledger.needs_write(), "the second write after the outage is complete");
    let inputs = TakeoverInputs { record: Some(&record), notes: &notes, was_never_owned: false };
    let successor = Ledger::take_over(later, 100_700, ("host-2", 1), inputs, IDLE);
    assert!(!successor.is_possibly_incomplete(later));
}

#[test]
fn successor_grants_the_full_budget_if_no_note_applies() {
    let now = Instant::now();
    let budget = 10 * TURN;
    let mut ledger = new_ledger(now);
    let earlier_notes = notes_of(&mut ledger, 90_000);
    write(&mut ledger, now, 99_000);
    let record = write(&mut ledger, now, 100_000);
    let cases = [
        ("all notes", vec![empty_notes(0)]),
        ("notes since before the record", vec![empty_notes(90_000)]),
        ("a note of an earlier outage", vec![earlier_notes]),
        ("a host that takes none", vec![OutageNotes::NotTaken]),
        ("one that has lost its notes, and another", vec![empty_notes(101_000), empty_notes(0)]),
    ];
    for (name, notes) in cases {
        let inputs =
            TakeoverInputs { record: Some(&record), notes: &notes, was_never_owned: false };
        let mut successor = Ledger::take_over(now, 102_000, ("host-2", 1), inputs, IDLE);
        let granted = charge_until_refused(&mut successor, now, 102_000, &charge("p", budget));
        assert_eq!(granted, 10, "{name}");
    }
}

/// Guards against a second owner that grants an overdraft again after it has merged the record of
/// the first owner.
#[test]
fn merged_record_of_an_acknowledged_outage_is_possibly_incomplete() {
    let now = Instant::now();
    let budget = 10 * TURN;
    let mut successor = new_ledger(now);
    let mut ledger = new_ledger(now);
    let record = write(&mut ledger, now, 100_000);
    ledger.on_write_failed(now);
    let later = now + STORE_UNAVAILABLE_AFTER;
    let turn = with_acknowledged_note(&mut ledger, charge("p", budget));
    let mut granted = 0;
    while is_granted(&mut ledger, later, &turn) {
        granted += 1;
    }
    let notes = notes_of(&mut ledger, 100_300);
    successor.merge(later, &record, notes.clone());
    granted += charge_until_refused(&mut successor, later, 101_000, &charge("p", budget));
    assert!(
        granted * TURN <= budget + TURN,
        "{granted} turns were granted, more than the budget and one turn"
    );
    // The accounts of the first-ranked host include its own charges, so nothing is presumed.
    ledger.merge(later, &record, notes);
    write(&mut ledger, later, 101_000);
    assert!(is_granted(&mut ledger, later, &charge("p", budget)));
}

/// A write that timed out in an outage succeeds late, after the owner granted an overdraft.
#[test]
fn record_of_a_late_write_is_possibly_incomplete() {
    let now = Instant::now();
    let budget = 10 * TURN;
    let mut ledger = new_ledger(now);
    write(&mut ledger, now, 1000);
    let later =
        begin_outage(&mut ledger, now, &charge("p", budget)) + UNACKNOWLEDGED_OVERDRAFT_AFTER;
    let late_record = ledger.next_record(later, 5000);
    let mut granted = 1;
    while is_granted(&mut ledger, later, &charge("p", budget)) {
        granted += 1;
    }
    assert_eq!(granted, 5);
    let mut successor = take_over(later, 5100, "host-2", Some(&late_record));
    granted += charge_until_refused(&mut successor, later, 5100, &charge("p", budget));
    assert!(
        granted * TURN <= budget + TURN,
        "{granted} turns were granted, more than the budget and one turn"
    );
}

/// A write whose outcome is unknown reserves fewer tokens than the record before it, and succeeds
/// after turns were granted from the larger reservation.
#[test]
fn budget_holds_when_a_late_write_lowers_the_reservation() {
    let now = Instant::now();
    let turn = charge("p", 6 * TURN);
    let mut owner = new_ledger(now);
    let mut granted = 0;
    for _ in 0..2 {
        assert!(is_granted(&mut owner, now, &turn));
        granted += 1;
        write(&mut owner, now, 1000);
    }
    // Both turns end without a token, so the next record reserves less than the stored one.
    owner.refund(now, "p", 2 * TURN);
    granted -= 2;
    let late_record = owner.next_record(now, 1000);
    while is_granted(&mut owner, now, &turn) {
        granted += 1;
    }
    let mut successor = take_over(now, 1000, "host-2", Some(&late_record));
    granted += charge_until_refused(&mut successor, now, 1000, &turn);
    assert!(granted * TURN <= 7 * TURN, "{granted} turns were granted");
}

/// Guards against an overdraft that each owner grants anew because the store was away at the loss
/// of the one before.
#[test]
fn budget_holds_when_owners_are_lost_in_one_outage_after_another() {
    let (mut now, mut unix_ms) = (Instant::now(), 100_000);
    let budget = 10 * TURN;
    let mut owner = new_ledger(now);
    let mut record = write(&mut owner, now, unix_ms);
    let mut granted = 0;
    for host in ["host-2", "host-3", "host-4"] {
        owner.on_write_failed(now);
        now += STORE_UNAVAILABLE_AFTER;
        unix_ms += STORE_UNAVAILABLE_AFTER.as_millis() as u64;
        let turn = with_acknowledged_note(&mut owner, charge("p", budget));
        while is_granted(&mut owner, now, &turn) {
            granted += 1;
        }
        let notes = [notes_of(&mut owner, unix_ms)];
        let inputs =
            TakeoverInputs { record: Some(&record), notes: &notes, was_never_owned: false };
        owner = Ledger::take_over(now, unix_ms, (host, 1), inputs, IDLE);
        record = write(&mut owner, now, unix_ms);
    }
    granted += charge_until_refused(&mut owner, now, unix_ms, &charge("p", budget));
    assert!(granted * TURN <= budget + TURN, "{granted} turns were granted");
}

#[test]
fn merge_adds_unrecorded_charges_to_the_other_record() {
    let now = Instant::now();
    let mut ledger = new_ledger(now);
    assert!(is_granted(&mut ledger, now, &charge("p", 2320)));
    let other = LedgerRecord {
        writer: "host-2@1".into(),
        charged: [("p".into(), 1160), ("q".into(), 100)].into(),
        ..LedgerRecord::default()
    };
    assert!(!ledger.is_own(&other));
    ledger.merge(now, &other, OutageNotes::NotTaken);
    write(&mut ledger, now, 0);
    // The account holds 580 tokens charged here and 1160 from the other record.
    assert!(is_granted(&mut ledger, now, &charge("p", 2320)));
    assert_eq!(ledger.charge(now, &charge("p", 2320)), ChargeOutcome::InsufficientBudget);
    assert_eq!(ledger.len(), 2);
}

#[test]
fn reservations_of_alternating_owners_do_not_use_up_the_budget() {
    let now = Instant::now();
    let budget = 9 * 880;
    let mut one = new_ledger(now);
    let mut two = new_ledger(now);
    let mut granted = 0;
    let mut stored = None;
    for turn in 0..9 {
        let owner = if turn % 2 == 0 { &mut one } else { &mut two };
        if let Some(record) = &stored {
            owner.merge(now, record, OutageNotes::NotTaken);
        }
        if is_granted(owner, now, &charge("p", budget)) {
            granted += 1;
            owner.refund(now, "p", 400);
        }
        stored = Some(write(owner, now, 0));
    }
    assert_eq!(granted, 9);
}

#[test]
fn owner_without_peer_reports_grants_one_unreserved_turn() {
    let now = Instant::now();
    let budget = 10 * TURN;
    let mut ledger = new_ledger(now);
    write(&mut ledger, now, 1000);
    let no_peer_report = Charge { peer_report: PeerReport::Unknown, ..charge("p", budget) };
    let later = begin_outage(&mut ledger, now, &no_peer_report) + UNACKNOWLEDGED_OVERDRAFT_AFTER;
    assert_eq!(ledger.charge(later, &no_peer_report), ChargeOutcome::WriteRequired);
    assert_eq!(ledger.charge(later, &no_peer_report), ChargeOutcome::WriteRequired);
    assert!(is_granted(&mut ledger, later, &charge("p", budget)));
}

#[test]
fn lower_ranked_hosts_grant_only_recorded_tokens() {
    let now = Instant::now();
    let budget = 2 * TURN;
    let turn = Charge { is_first_ranked: false, ..charge("p", budget) };
    let mut granted = 0;
    let mut first_ranked = new_ledger(now);
    assert!(is_granted(&mut first_ranked, now, &charge("p", budget)));
    granted += 1;
    let stored = write(&mut first_ranked, now, 0);
    for host in ["two", "three", "four"] {
        // These hosts took the ledger over before the program began.
        let inputs = TakeoverInputs { was_never_owned: true, ..TakeoverInputs::default() };
        let mut owner = Ledger::take_over(now, 0, (host, 1), inputs, IDLE);
        assert_eq!(owner.charge(now, &turn), ChargeOutcome::WriteRequired);
        assert!(owner.needs_write());
        owner.merge(now, &stored, OutageNotes::NotTaken);
        granted += u64::from(is_granted(&mut owner, now, &turn));
    }
    assert!(
        granted * TURN <= budget + TURN,
        "{granted} turns were granted, more than the budget and one turn"
    );
}

#[test]
fn charge_is_the_first_one_until_one_is_not_refunded() {
    let now = Instant::now();
    let mut ledger = new_ledger(now);
    let turn = charge("p", 5300);
    assert_eq!(ledger.charge(now, &turn), ChargeOutcome::Granted { is_new: true });
    ledger.refund(now, "p", TURN);
    assert_eq!(ledger.charge(now, &turn), ChargeOutcome::Granted { is_new: true });
    write(&mut ledger, now, 0);
    assert_eq!(ledger.charge(now, &turn), ChargeOutcome::Granted { is_new: false });
}

#[test]
fn extreme_values_do_not_overflow() {
    let now = Instant::now();
    let mut ledger = new_ledger(now);
    let charge_with = |budget, turn_max| Charge { turn_max, ..charge("p", budget) };
    assert_eq!(
        ledger.charge(now, &charge_with(0, TokenCount::MAX)),
        ChargeOutcome::InsufficientBudget
    );
    assert!(is_granted(&mut ledger, now, &charge_with(TokenCount::MAX, TokenCount::MAX)));
    let record = write(&mut ledger, now, 0);
    ledger.merge(now, &record, OutageNotes::NotTaken);
    assert!(is_granted(&mut ledger, now, &charge_with(TokenCount::MAX, 0)));
    assert_eq!(ledger.charge(now, &charge_with(10, 20)), ChargeOutcome::InsufficientBudget);
    ledger.refund(now, "p", TokenCount::MAX);
    assert!(is_granted(&mut ledger, now, &charge_with(20, 20)));
}

#[test]
fn accounts_expire_after_the_idle_time_and_margin() {
    let now = Instant::now();
    let mut ledger = new_ledger(now);
    assert!(is_granted(&mut ledger, now, &charge("p", 5300)));
    assert_eq!(ledger.next_record(now + IDLE, 0).charged.len(), 1);
    assert!(
        ledger
            .next_record(now + IDLE + RETENTION_MARGIN + Duration::from_secs(1), 0)
            .charged
            .is_empty()
    );
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Turn {
        used: TokenCount,
        peer_report: PeerReport,
    },
    Write,
    FailedWrite,
    Wait {
        wait_ms: u64,
    },
    /// The owner crashes. With `recorded_late` the pending write still succeeds; with `loses_notes`
    /// all notes are lost.
    Crash {
        recorded_late: bool,
        loses_notes: bool,
    },
}

fn peer_report() -> impl Strategy<Value = PeerReport> {
    prop_oneof![
        1 => Just(PeerReport::Unknown),
        1 => Just(PeerReport::StoreUnavailable),
        2 => Just(PeerReport::OutageAcknowledged),
    ]
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        6 => (0..=TURN / 29, peer_report())
            .prop_map(|(events, peer_report)| Action::Turn { used: events * 29, peer_report }),
        3 => Just(Action::Write),
        2 => Just(Action::FailedWrite),
        2 => (1_u64..5000).prop_map(|wait_ms| Action::Wait { wait_ms }),
        1 => any::<(bool, bool)>()
            .prop_map(|(recorded_late, loses_notes)| Action::Crash { recorded_late, loses_notes }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// One crash of the owner at any time, after any failed writes, lets a program exceed its
    /// budget by at most one turn.
    #[test]
    fn any_crash_exceeds_the_budget_by_at_most_one_turn(
        actions in proptest::collection::vec(action(), 1..60),
        turns in 1_u64..14,
    ) {
        let budget = turns * 880;
        let (mut now, mut unix_ms) = (Instant::now(), 1_000_000);
        let mut ledger = new_ledger(now);
        let (mut stored, mut pending) = (None, None);
        let (mut used_tokens, mut is_crashed, mut last_note) = (0, false, None);
        for action in actions {
            match action {
                Action::Turn { used, peer_report } => {
                    let outage_position = (peer_report == PeerReport::OutageAcknowledged)
                        .then(|| ledger.propose_outage_position());
                    if let Some(position) = &outage_position {
                        let position = position.clone();
                        last_note = Some(OutageNote { noted_at_ms: unix_ms, position });
                    }
                    let turn = Charge { peer_report, outage_position, ..charge("p", budget) };
                    if is_granted(&mut ledger, now, &turn) {
                        used_tokens += used;
                        ledger.refund(now, "p", TURN - used);
                    }
                }
                Action::Write => {
                    let record = ledger.next_record(now, unix_ms);
                    ledger.on_write_succeeded(now, &record);
                    (stored, pending) = (Some(record), None);
                }
                Action::FailedWrite => {
                    pending = Some(ledger.next_record(now, unix_ms));
                    ledger.on_write_failed(now);
                }
                Action::Wait { wait_ms } => {
                    now += Duration::from_millis(wait_ms);
                    unix_ms += wait_ms;
                }
                Action::Crash { recorded_late, loses_notes } if !is_crashed => {
                    is_crashed = true;
                    if recorded_late && pending.is_some() {
                        stored = pending.take();
                    }
                    let notes = match loses_notes {
                        true => empty_notes(unix_ms),
                        false => OutageNotes::Taken { since_ms: 0, last: last_note.clone() },
                    };
                    let inputs = TakeoverInputs {
                        record: stored.as_ref(),
                        notes: &[notes],
                        was_never_owned: false,
                    };
                    ledger = Ledger::take_over(now, unix_ms, ("host-2", 1), inputs, IDLE);
                }
                Action::Crash { .. } => {}
            }
            prop_assert!(used_tokens <= budget + TURN, "{used_tokens} of {budget}");
        }
    }
}
