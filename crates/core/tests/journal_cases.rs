//! Journal tests, each with one specific failure scenario.

mod journal_sim;

use {
    expect_test::expect,
    journal_sim::{Disabled, Message, OwnershipState, Simulation, created, intended},
    std::time::{Duration, Instant},
    trefoilring_core::{
        ids::Member,
        journal::{
            AppendError, Backup, ClaimReply, Command, CopyReply, DurableBy, Entry, Event,
            FailureKind, Journal, Owner, Settings, Takeover, TakeoverCommand, TakeoverEvent,
        },
    },
};

fn never(_: &Message) -> bool {
    false
}

fn is_write(call: &Message) -> bool {
    matches!(call, Message::Write(..))
}

/// Returns a simulation in which host 0 owns the journal and has created one program.
fn sim_with_owner(disabled: Disabled) -> Simulation {
    let mut sim = Simulation::new(disabled);
    sim.take_over(0, 0);
    sim.run(5);
    sim.create(0);
    sim.run(5);
    assert!(matches!(sim.hosts[0].ownership, OwnershipState::Owning(_)));
    sim
}

fn is_owner(sim: &Simulation, host: usize) -> bool {
    matches!(sim.hosts[host].ownership, OwnershipState::Owning(_))
}

/// A successor writes its opening entry late, at a position that was deleted in the meantime. It
/// must detect the later entries and not become a second owner.
#[test]
fn a_slow_successor_at_a_deleted_position_gives_up() {
    for (disabled, becomes_owner) in
        [(Disabled::Nothing, false), (Disabled::VerifyAfterOpening, true)]
    {
        let mut sim = sim_with_owner(disabled);
        sim.take_over(1, 0);
        assert!(sim.run_host(1, 20, is_write), "the successor writes");
        let program = sim.create(0);
        sim.run_host(0, 5, never);
        sim.create(0);
        sim.release(0, &program);
        sim.run_host(0, 60, never);
        assert!(!sim.store.contains_key(&3), "the position is deleted");
        sim.run_host(1, 20, never);
        assert_eq!(is_owner(&sim, 1), becomes_owner, "{disabled:?}");
        assert!(is_owner(&sim, 0));
    }
}

/// A previous owner retries a write whose reply it never got, after its successor has deleted all
/// obsolete entries. The position of that write must still be occupied, so that the retry fences
/// the previous owner.
#[test]
fn a_previous_owner_never_finds_its_position_deleted() {
    for is_applied in [true, false] {
        let mut sim = sim_with_owner(Disabled::Nothing);
        let program = sim.hosts[0].created.first().cloned().expect("host 0 has created a program");
        sim.step(0, &program, 1);
        let write = sim.in_flight.iter().position(is_write).expect("a write is in flight");
        if is_applied {
            sim.deliver(write);
        }
        sim.take_over(1, 0);
        sim.run_host(1, 20, never);
        let successor_program = sim.create(1);
        sim.run_host(1, 5, never);
        sim.create(1);
        sim.release(1, &program);
        sim.release(1, &successor_program);
        sim.run_host(1, 60, never);
        assert!(sim.deletions > 0, "the successor deletes");
        assert!(sim.store.contains_key(&3), "the entry whose write got no reply is not deleted");
        // Resume host 0. Its write in flight fails first.
        let call_count = sim.in_flight.len();
        sim.fail(call_count - 1, true);
        sim.run_host(0, 20, never);
        sim.create(0);
        sim.run_host(0, 20, never);
        assert!(!is_owner(&sim, 0));
        assert_eq!(sim.sent.values().sum::<u32>(), u32::from(is_applied));
        assert_eq!(sim.violations, Vec::<String>::new());
    }
}

#[test]
fn records_copied_during_a_store_outage_are_flushed_in_order() {
    let mut sim = sim_with_owner(Disabled::Nothing);
    let program = sim.hosts[0].created.first().cloned().expect("host 0 has created a program");
    sim.is_store_down = true;
    for step in 0..3 {
        sim.step(0, &program, step);
        sim.run(20);
    }
    assert_eq!((sim.durable_by_backups, sim.acked.len()), (3, 4), "all are durable at the backups");
    assert_eq!(sim.store.len(), 2);
    sim.is_store_down = false;
    sim.run(60);
    let seqs: Vec<u64> = sim.store.keys().copied().collect();
    assert_eq!(seqs, [1, 2, 3, 4, 5], "the entries are flushed in order");
    assert!(sim.backups.iter().all(|(_, backup)| backup.held_bytes() == 0), "copies are dropped");
}

/// The backlog must shrink even if new records arrive continuously.
#[test]
fn a_backlog_is_flushed_under_load() {
    let mut sim = sim_with_owner(Disabled::Nothing);
    let backlog = |sim: &Simulation| match &sim.hosts[0].ownership {
        OwnershipState::Owning(journal) => journal.backlog_len(),
        _ => panic!("host 0 is not the owner"),
    };
    let run = |sim: &mut Simulation, rounds: u32| {
        let mut lowest = usize::MAX;
        for _ in 0..rounds {
            sim.create(0);
            sim.run(1);
            lowest = lowest.min(backlog(sim));
        }
        lowest
    };
    sim.is_store_down = true;
    run(&mut sim, 60);
    assert!(backlog(&sim) > 20, "{}", backlog(&sim));
    sim.is_store_down = false;
    assert_eq!(run(&mut sim, 200), 0);
}

#[test]
fn one_backup_does_not_make_records_durable() {
    let mut sim = sim_with_owner(Disabled::Nothing);
    let program = sim.hosts[0].created.first().cloned().expect("host 0 has created a program");
    sim.restart_backup(1);
    sim.is_store_down = true;
    sim.step(0, &program, 0);
    sim.run(100);
    assert_eq!((sim.durable_by_backups, sim.acked.len()), (0, 1), "the record is not acknowledged");
    let OwnershipState::Owning(journal) = &mut sim.hosts[0].ownership else {
        panic!("host 0 is not the owner")
    };
    assert!(journal.needs_backups());
    let members = [sim.backups[1].0.clone(), sim.backups[2].0.clone()];
    let commands = journal.replace_backups(sim.now, members.into());
    assert!(commands.iter().all(|command| matches!(command, Command::WakeAt(_))), "{commands:?}");
    sim.is_store_down = false;
    sim.run(60);
    assert_eq!(sim.acked.len(), 2, "durable after the store recovers");
    let OwnershipState::Owning(journal) = &sim.hosts[0].ownership else {
        panic!("host 0 is not the owner")
    };
    assert!(!journal.needs_backups());
    assert_eq!(journal.epoch(), 2);
}

#[test]
fn a_planned_handover_needs_no_claim() {
    let mut sim = sim_with_owner(Disabled::Nothing);
    let OwnershipState::Owning(journal) = &mut sim.hosts[0].ownership else {
        panic!("host 0 is not the owner")
    };
    let commands = journal.handle(sim.now, Event::Close);
    assert_eq!(commands, [Command::Closed { next_seq: 3 }]);
    let error = journal.append(sim.now, vec![], 9).expect_err("a closed journal refuses entries");
    assert_eq!(error, AppendError::Fenced);
    let entries: Vec<Entry> = sim.store.values().map(|entry| Entry::clone(entry)).collect();
    for (handover_seq, expects_claim) in [(Some(3), false), (Some(2), true), (None, true)] {
        let me = Member { host: "b".into(), incarnation: 1 };
        let journal = sim.journal.clone();
        let mut takeover = Takeover::new(Settings::default(), journal, me, vec![], handover_seq);
        takeover.start();
        let out = takeover.handle(sim.now, TakeoverEvent::Entries(entries.clone()));
        let has_claimed = matches!(out[..], [TakeoverCommand::Claim { .. }]);
        assert_eq!(has_claimed, expects_claim, "{handover_seq:?}: {out:?}");
    }
}

/// A retry left over from a blocked claim must not consume the tick that the journal needs to
/// continue the adoption.
#[test]
fn adoption_continues_after_a_blocked_claim() {
    let mut sim = sim_with_owner(Disabled::Nothing);
    let program = sim.hosts[0].created.first().cloned().expect("host 0 has created a program");
    sim.is_store_down = true;
    for step in 0..3 {
        sim.step(0, &program, step);
        sim.run(20);
    }
    sim.restart_host(0);
    sim.deliver_all();
    sim.is_store_down = false;
    sim.take_over(1, 1);
    let is_claim = |call: &Message| matches!(call, Message::Claim(..));
    for _ in 0..2 {
        assert!(sim.run_host(1, 5, is_claim), "a claim is sent to each backup");
        let claim = sim.in_flight.iter().position(is_claim).expect("a claim is in flight");
        sim.fail(claim, false);
    }
    let OwnershipState::TakingOver(takeover) = &mut sim.hosts[1].ownership else {
        panic!("the takeover has ended")
    };
    let backup = sim.backups[1].0.clone();
    let commands = takeover.handle(sim.now, TakeoverEvent::BackupLost { backup });
    assert!(matches!(commands[..], [TakeoverCommand::Claim { .. }]), "{commands:?}");
    sim.run_takeover(1, commands);
    sim.run(60);
    assert!(is_owner(&sim, 1));
    assert_eq!(sim.adoptions, 3);
    assert_eq!(sim.violations, Vec::<String>::new());
}

/// Returns an owner without backups, for tests that send the store's replies themselves.
fn owner_without_backups(settings: Settings, now: Instant) -> Journal {
    let me = Member { host: "a".into(), incarnation: 1 };
    let mut takeover = Takeover::new(settings, "j".into(), me, vec![], None);
    takeover.start();
    takeover.handle(now, TakeoverEvent::Entries(vec![]));
    takeover.handle(now, TakeoverEvent::Journal(Event::Stored { seq: 1 }));
    let out = takeover.handle(now, TakeoverEvent::Entries(vec![]));
    let owned = out.into_iter().find_map(|command| match command {
        TakeoverCommand::Done(owned) => Some(owned),
        _ => None,
    });
    owned.expect("the journal is owned").journal
}

fn written_entry(commands: &[Command]) -> Option<&Entry> {
    commands.iter().find_map(|command| match command {
        Command::Write(entry) => Some(entry.as_ref()),
        _ => None,
    })
}

#[test]
fn records_are_grouped_and_spaced() {
    let now = Instant::now();
    let mut journal = owner_without_backups(Settings::default(), now);
    let record = || vec![created(&"p".into())];
    let first = journal.append(now, record(), 1).expect("the entry is accepted");
    assert_eq!(
        written_entry(&first).map(|entry| entry.records.len()),
        Some(1),
        "an idle journal writes at once"
    );
    for token in 2..10 {
        let more = journal.append(now, record(), token).expect("the entry is accepted");
        assert_eq!(written_entry(&more), None, "one write at a time");
    }
    let early = now + Duration::from_millis(5);
    let stored = journal.handle(early, Event::Stored { seq: 2 });
    let durable = Command::Durable { tokens: vec![1], by: DurableBy::Store };
    assert!(stored.contains(&durable));
    assert_eq!(written_entry(&stored), None, "not before the spacing is over");
    let at = now + Settings::default().spacing;
    assert!(stored.contains(&Command::WakeAt(at)), "{stored:?}");
    let second = journal.handle(at, Event::Tick);
    assert_eq!(written_entry(&second).map(|entry| entry.records.len()), Some(8));
}

#[test]
fn a_late_record_is_reported_once_and_may_still_become_durable() {
    let now = Instant::now();
    let settings = Settings::default();
    let mut journal = owner_without_backups(settings.clone(), now);
    journal.append(now, vec![created(&"p".into())], 1).expect("the entry is accepted");
    journal.append(now, vec![created(&"q".into())], 2).expect("the entry is accepted");
    let late = now + settings.late_after;
    let reported = journal.handle(late, Event::Tick);
    assert!(reported.contains(&Command::Late { tokens: vec![1, 2] }), "{reported:?}");
    let failed = Event::StoreFailed { seq: 2, kind: FailureKind::Unknown };
    let repeated = journal.handle(late, failed);
    assert!(
        !repeated.iter().any(|command| matches!(command, Command::Late { .. })),
        "{repeated:?}"
    );
    let retried = journal.handle(late + settings.retry_delay, Event::Tick);
    let entry = written_entry(&retried).expect("the write is retried").clone();
    // The first write took effect, so the retry finds its own entry.
    let found = Some(std::sync::Arc::new(entry));
    let done = journal.handle(late + settings.retry_delay, Event::Conflict { seq: 2, found });
    assert!(done.contains(&Command::Durable { tokens: vec![1], by: DurableBy::Store }), "{done:?}");
}

#[test]
fn append_is_refused_if_too_large_full_closing_or_fenced() {
    let now = Instant::now();
    let settings = Settings { max_entry_bytes: 4096, max_queue_bytes: 1500, ..Settings::default() };
    let mut journal = owner_without_backups(settings, now);
    let step = |bytes| vec![intended(&"p".into(), &"x".repeat(bytes).into())];
    let large =
        journal.append(now, step(3000), 1).expect_err("records that are too large are refused");
    expect!["the records have 3070 bytes, an entry holds 2048"].assert_eq(&large.to_string());
    journal.append(now, step(1000), 2).expect("the entry is in flight");
    journal.append(now, step(1000), 3).expect("the entry is queued");
    assert_eq!(
        journal.append(now, step(1000), 4).expect_err("a full queue refuses entries"),
        AppendError::Full
    );
    journal.handle(now, Event::Close);
    assert_eq!(
        journal.append(now, step(1), 5).expect_err("a closing journal refuses entries"),
        AppendError::Closing
    );
    let foreign = Entry { epoch: 9, ..empty_entry(2) };
    let found = Some(std::sync::Arc::new(foreign));
    let fenced = journal.handle(now, Event::Conflict { seq: 2, found });
    let expected = [
        Command::OutcomeUnknown { tokens: vec![2] },
        Command::Dropped { tokens: vec![3] },
        Command::Fenced { by_epoch: 9 },
    ];
    assert_eq!(fenced, expected);
    assert_eq!(
        journal.append(now, step(1), 6).expect_err("a fenced journal refuses entries"),
        AppendError::Fenced
    );
}

fn empty_entry(seq: u64) -> Entry {
    let writer = Member { host: "b".into(), incarnation: 1 };
    let json = serde_json::json!({ "journal": "j", "seq": seq, "epoch": 1, "writer": writer });
    serde_json::from_value(json).expect("an entry without the optional fields is valid")
}

#[test]
fn a_backup_checks_member_claim_and_journal() {
    let me = Member { host: "d".into(), incarnation: 2 };
    let mut backup = Backup::new(me.clone(), 1000);
    let other = Member { host: "d".into(), incarnation: 1 };
    let owner =
        |host: &str, epoch| Owner { member: Member { host: host.into(), incarnation: 1 }, epoch };
    let entry = |journal: &str, seq| Entry { journal: journal.into(), ..empty_entry(seq) };
    assert_eq!(backup.copy(&other, entry("j", 1)), CopyReply::OtherMember);
    assert_eq!(backup.copy(&me, entry("j", 1)), CopyReply::Acked);
    assert_eq!(backup.copy(&me, entry("j", 1)), CopyReply::Acked, "a repeated copy");
    assert_eq!(backup.copy(&me, entry("k", 1)), CopyReply::Acked);
    let (j, k) = ("j".into(), "k".into());
    assert_eq!(backup.claim(&other, &j, &owner("c", 2)), ClaimReply::OtherMember);
    assert_eq!(backup.claim(&me, &j, &owner("c", 1)), ClaimReply::Refused { epoch: 1 });
    let claimed = ClaimReply::Claimed { copies: vec![entry("j", 1)] };
    for _ in 0..2 {
        assert_eq!(
            backup.claim(&me, &j, &owner("c", 2)),
            claimed,
            "a repeated claim gets the same reply"
        );
    }
    assert_eq!(backup.claim(&me, &j, &owner("a", 2)), ClaimReply::Refused { epoch: 2 });
    assert_eq!(backup.copy(&me, entry("j", 2)), CopyReply::Refused { epoch: 2 });
    assert_eq!(backup.copy(&me, entry("k", 2)), CopyReply::Acked, "another journal");
    let own = Entry { epoch: 2, writer: owner("c", 2).member, ..entry("j", 3) };
    assert_eq!(backup.copy(&me, own), CopyReply::Acked, "a copy from the claimant");
    backup.discard(&j, 2, 3);
    backup.discard(&k, 1, 1);
    let large = Entry { records: vec![created(&"p".repeat(900).into())], ..entry("k", 3) };
    assert_eq!(backup.copy(&me, large), CopyReply::Full);
    let remaining = ClaimReply::Claimed { copies: vec![entry("k", 2)] };
    assert_eq!(backup.claim(&me, &k, &owner("c", 2)), remaining);
}

/// Entries without newer fields, and entries with unknown fields, must be readable.
#[test]
fn an_older_entry_is_read() {
    let json = r#"{"journal":"j","seq":1,"epoch":1,"writer":{"host":"a","incarnation":7},
        "takeover":{},"records":[
        {"created":{"program":"p","parent":null,"team":"t","class":"c",
            "budget":{"turns":1,"tokens":2,"wall_ms":3},"step":null,"created_ms":4}},
        {"turn_ended":{"program":"p","step":"s","request_hash":5,
            "messages":[{"role":"user","content":0.1,"a_later_field":true}],
            "usage":{"prompt_tokens":1,"cached_tokens":0,"completion_tokens":1},
            "upstream":"u","result":{"status":200,"headers":[]},"a_later_field":1}},
        {"not_run":{"program":"p","step":"s"}},
        {"ended":{"program":"p","why":"done"}}],"a_later_field":2}"#;
    let entry: Entry = serde_json::from_str(json).expect("an older entry is read");
    expect![[r#"{"journal":"j","seq":1,"epoch":1,"writer":{"host":"a","incarnation":7},"stored_seq":0,"takeover":{"backups":[],"is_planned":false},"records":[{"created":{"program":"p","parent":null,"team":"t","class":"c","budget":{"turns":1,"tokens":2,"wall_ms":3},"step":null,"created_ms":4}},{"turn_ended":{"program":"p","step":"s","request_hash":5,"messages":[{"role":"user","content":0.1,"a_later_field":true}],"usage":{"prompt_tokens":1,"cached_tokens":0,"completion_tokens":1},"upstream":"u","result":{"status":200,"headers":[],"text":""}}},{"not_run":{"program":"p","step":"s"}},{"ended":{"program":"p","why":"done"}}]}"#]]
        .assert_eq(&serde_json::to_string(&entry).expect("an entry is JSON"));
}
