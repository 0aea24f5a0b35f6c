//! Cost of programs, their journals, and copies at backups.

use {
    super::{
        CapacityError,
        cluster::host_name,
        design_size,
        figure::{Figures, memory_per_item},
        limiter::team_id,
    },
    error_stack::{Report, ResultExt},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::BTreeMap,
        hint::black_box,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        catalog::Budget,
        ids::{Member, ProgramId},
        journal::{
            Backup, Command, CopyReply, Entry, Event, Journal, Record, Settings, StepResult,
            Takeover, TakeoverCommand, TakeoverEvent,
        },
        message::{Message, Usage},
        program::{self, Moment, Programs},
    },
};

/// Number of full-length programs in the memory measurement.
const PROGRAMS: usize = 40;
/// Number of programs without turns in the memory measurement.
const EMPTY_PROGRAMS: usize = 20_000;
/// Seed of the random arrivals.
const SEED: u64 = 20_261_203;
/// Duration of one store write.
const STORE_WRITE_TIME: Duration = Duration::from_millis(5);
/// Virtual time over which waits are measured.
const WAIT_WINDOW: Duration = Duration::from_secs(300);
/// Entries per second that all journals of the site write together, as `SITE_WRITES_PER_S` in
/// `host::control::journals`.
const SITE_WRITES_PER_S: f64 = 250.0;
/// Maximum bytes of copies that one host holds for others, as `BACKUP_BYTES` in `host::control`.
pub const BACKUP_BYTES_MAX: f64 = (64 << 20) as f64;

/// Measures programs, journals and backups.
pub fn measure(figures: &mut Figures) -> Result<(), Report<CapacityError>> {
    measure_programs(figures)?;
    measure_append(figures)?;
    measure_copies(figures)?;
    for (name, writes_per_s) in [
        ("host", SITE_WRITES_PER_S / design_size::HOSTS),
        ("domain", SITE_WRITES_PER_S / design_size::DOMAINS as f64),
    ] {
        let requests_per_s = match name {
            "host" => design_size::REQUESTS_PER_S_PER_HOST,
            _ => design_size::REQUESTS_PER_S / design_size::DOMAINS as f64,
        };
        let waits = append_waits(writes_per_s, requests_per_s)?;
        let description = "wait for the store with one journal per";
        let percentile_ms =
            |quantile: f64| waits[((waits.len() - 1) as f64 * quantile) as usize] * 1e3;
        for (id, value) in [
            ("p50", percentile_ms(0.50)),
            ("p95", percentile_ms(0.95)),
            ("p99", percentile_ms(0.99)),
        ] {
            let id = format!("journal.wait.{name}.{id}");
            figures.add_constant(id, "ms", &format!("{description} {name}, virtual time"), value);
        }
    }
    Ok(())
}

/// Measures the memory of a program of full length.
pub fn memory() -> Result<f64, Report<CapacityError>> {
    let records: Vec<Record> = (0..PROGRAMS).flat_map(all_records).collect();
    memory_per_item(PROGRAMS, || Ok(recover(&records)))
}

/// Measures the memory of a program before its first turn.
pub fn memory_empty() -> Result<f64, Report<CapacityError>> {
    let records: Vec<Record> = (0..EMPTY_PROGRAMS).map(created_record).collect();
    memory_per_item(EMPTY_PROGRAMS, || Ok(recover(&records)))
}

fn recover(records: &[Record]) -> Programs {
    Programs::recover(program::Settings::default(), sample_moment(), records)
}

fn measure_programs(figures: &mut Figures) -> Result<(), Report<CapacityError>> {
    let now = sample_moment();
    let estimated = recover(&all_records(0)).estimated_bytes() as f64;
    figures.add_constant(
        "home.program.estimated",
        "B",
        "a program's memory as estimated by the state machine",
        estimated,
    );
    let records = all_records(0);
    figures.measure_cpu_time("home.apply", "apply the record of a turn", || {
        let mut programs = Programs::new(program::Settings::default());
        for record in &records {
            black_box(programs.apply(now, record));
        }
        Ok(records.len() as u64)
    })
}

fn measure_append(figures: &mut Figures) -> Result<(), Report<CapacityError>> {
    let entry = journal_entry(vec![turn_record(&program_id(0), 0)]);
    let bytes = serde_json::to_vec(&entry).change_context(CapacityError)?.len() as f64;
    figures.add_constant("journal.entry", "B", "a stored entry with the record of one turn", bytes);
    let empty = Entry { records: Vec::new(), ..entry.clone() };
    let empty = serde_json::to_vec(&empty).change_context(CapacityError)?.len() as f64;
    figures.add_constant(
        "journal.record",
        "B",
        "size of the record within the entry",
        bytes - empty,
    );
    figures.measure_cpu_time(
        "journal.encode",
        "encode an entry with one turn for the store",
        || {
            for _ in 0..100 {
                black_box(serde_json::to_vec(&entry).change_context(CapacityError)?);
            }
            Ok(100)
        },
    )?;
    let record = turn_record(&program_id(0), 0);
    let mut journal = open_journal(Settings { spacing: Duration::ZERO, ..Settings::default() })?;
    let mut now = Instant::now();
    let mut token = 0;
    figures.measure_cpu_time(
        "journal.append",
        "append a turn's record and handle its completed write",
        || {
            for _ in 0..100 {
                now += Duration::from_millis(1);
                token += 1;
                let appended = journal.append(now, vec![record.clone()], token);
                complete_writes(&mut journal, now, appended.change_context(CapacityError)?)?;
            }
            Ok(100)
        },
    )
}

/// Completes all writes and deletes immediately, including checkpoints. Fails if no record becomes
/// durable.
fn complete_writes(
    journal: &mut Journal,
    now: Instant,
    mut commands: Vec<Command>,
) -> Result<(), Report<CapacityError>> {
    let mut is_durable = false;
    while let Some(command) = commands.pop() {
        match command {
            Command::Write(entry) => {
                commands.extend(journal.handle(now, Event::Stored { seq: entry.seq }));
            }
            Command::Delete { seq } => commands.extend(journal.handle(now, Event::Deleted { seq })),
            Command::Durable { .. } => is_durable = true,
            _ => (),
        }
    }
    let error = || Report::new(CapacityError).attach("an append did not become durable");
    is_durable.then_some(()).ok_or_else(error)
}

fn measure_copies(figures: &mut Figures) -> Result<(), Report<CapacityError>> {
    let entry = journal_entry(vec![turn_record(&program_id(0), 0)]);
    let request = trefoilring_proto::CopyRequest { to: member(1), entry: entry.clone() };
    let bytes = super::wire::request_bytes(trefoilring_proto::PeerRequest::CopyEntry { request })?
        + super::wire::response_bytes(trefoilring_proto::PeerResponse::CopyEntry(Some(
            CopyReply::Acked,
        )))?;
    figures.add_constant(
        "backup.copy.bytes",
        "B",
        "copy of an entry with one turn, and its response",
        bytes,
    );
    let mut backup = Backup::new(member(1), BACKUP_BYTES_MAX as usize);
    let mut seq = 0;
    figures.measure_cpu_time(
        "backup.copy",
        "store and discard a copy of an entry with one turn",
        || {
            for _ in 0..100 {
                seq += 1;
                let reply = backup.copy(&member(1), Entry { seq, ..entry.clone() });
                if reply != CopyReply::Acked {
                    return Err(Report::new(CapacityError).attach(format!("copy: {reply:?}")));
                }
                backup.discard(&entry.journal, entry.epoch, seq);
            }
            Ok(100)
        },
    )
}

/// Returns the sorted times in seconds from append to durability, for a journal that is limited to
/// `writes_per_s`. Arrivals are random with a fixed seed; time is virtual.
pub fn append_waits(
    writes_per_s: f64,
    requests_per_s: f64,
) -> Result<Vec<f64>, Report<CapacityError>> {
    const STEP: Duration = Duration::from_millis(1);
    let spacing = Duration::from_secs_f64(1.0 / writes_per_s);
    // The burst is one second of writes, rounded down.
    let burst_writes = writes_per_s as u32;
    let mut journal = open_journal(Settings { spacing, burst_writes, ..Settings::default() })?;
    let mut rng = StdRng::seed_from_u64(SEED);
    let start = Instant::now();
    let mut now = start;
    let mut arrival = now;
    let mut write_in_flight: Option<(u64, Instant)> = None;
    let mut appended_at: BTreeMap<u64, Instant> = BTreeMap::new();
    let mut waits = Vec::new();
    let record = Record::Ended { program: program_id(0), why: "done".into() };
    while now.duration_since(start) < WAIT_WINDOW {
        now += STEP;
        let mut commands = journal.handle(now, Event::Tick);
        while arrival <= now {
            // Unique: each earlier append is either pending or in `waits`.
            let token = appended_at.len() as u64 + waits.len() as u64;
            appended_at.insert(token, now);
            let appended = journal.append(now, vec![record.clone()], token);
            commands.extend(appended.change_context(CapacityError)?);
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            arrival += Duration::from_secs_f64(-uniform.ln() / requests_per_s);
        }
        if let Some((seq, _)) = write_in_flight.filter(|(_, at)| *at <= now) {
            write_in_flight = None;
            commands.extend(journal.handle(now, Event::Stored { seq }));
        }
        if let Some(seq) = last_written_seq(&commands) {
            write_in_flight = Some((seq, now + STORE_WRITE_TIME));
        }
        for command in commands {
            if let Command::Durable { tokens, .. } = command {
                let durable = tokens.iter().filter_map(|token| appended_at.remove(token));
                waits.extend(durable.map(|at| now.duration_since(at).as_secs_f64()));
            }
        }
    }
    waits.sort_by(f64::total_cmp);
    if waits.is_empty() {
        return Err(Report::new(CapacityError).attach("no append became durable"));
    }
    Ok(waits)
}

fn last_written_seq(commands: &[Command]) -> Option<u64> {
    commands.iter().rev().find_map(|command| match command {
        Command::Write(entry) => Some(entry.seq),
        _ => None,
    })
}

/// Opens a new journal.
fn open_journal(settings: Settings) -> Result<Journal, Report<CapacityError>> {
    let now = Instant::now();
    let backups = vec![member(1), member(2)];
    let mut takeover = Takeover::new(settings, journal_id(), member(0), backups, None);
    let mut commands = takeover.start();
    while let Some(command) = commands.pop() {
        let event = match command {
            TakeoverCommand::ReadAfter { .. } => TakeoverEvent::Entries(Vec::new()),
            TakeoverCommand::Journal(Command::Write(entry)) => {
                TakeoverEvent::Journal(Event::Stored { seq: entry.seq })
            }
            TakeoverCommand::Journal(Command::Read { seq }) => {
                TakeoverEvent::Journal(Event::EntryRead { seq, entry: None })
            }
            TakeoverCommand::Done(owned) => return Ok(owned.journal),
            _ => continue,
        };
        commands.extend(takeover.handle(now, event));
    }
    Err(Report::new(CapacityError).attach("a new journal could not be opened"))
}

fn sample_moment() -> Moment {
    Moment { at: Instant::now(), wall_ms: 1_796_000_000_000 }
}

fn member(number: usize) -> Member {
    Member { host: host_name(number), incarnation: 1_796_000_000_000 }
}

fn journal_id() -> trefoilring_core::ids::JournalId {
    format!("{}-{:x}-0", host_name(0), member(0).incarnation).into()
}

/// Returns the id of a program.
pub fn program_id(number: usize) -> ProgramId {
    format!("{}.{number:016}", journal_id()).into()
}

fn journal_entry(records: Vec<Record>) -> Entry {
    Entry {
        journal: journal_id(),
        seq: 1,
        epoch: 1,
        writer: member(0),
        stored_seq: 0,
        takeover: None,
        adopted: None,
        live: None,
        records,
    }
}

fn created_record(number: usize) -> Record {
    Record::Created {
        program: program_id(number),
        parent: None,
        team: team_id(number),
        class: "interactive".into(),
        budget: Budget::default(),
        step: None,
        created_ms: 1_796_000_000_000,
    }
}

fn all_records(number: usize) -> Vec<Record> {
    let id = program_id(number);
    let records = (0..design_size::TURNS).map(|step| turn_record(&id, step));
    std::iter::once(created_record(number)).chain(records).collect()
}

/// Returns the record of one turn of a long program, with a text prompt and a text answer.
fn turn_record(program: &ProgramId, step: usize) -> Record {
    let answer_bytes = (design_size::TOKENS_PER_REQUEST * 4.0) as usize;
    let text = |bytes: usize| "word ".repeat(bytes / 5);
    let prompt = text(design_size::TURN_BYTES - answer_bytes);
    let answer = text(answer_bytes);
    let completion_tokens = design_size::TOKENS_PER_REQUEST as u64;
    let prompt_tokens = (design_size::HISTORY_TOKENS / design_size::TURNS * (step + 1)) as u64;
    Record::TurnEnded {
        program: program.clone(),
        step: format!("step-{step:03}").into(),
        request_hash: step as u64,
        messages: vec![Message::text("user", &prompt), Message::text("assistant", &answer)],
        usage: Usage { prompt_tokens, cached_tokens: 0, completion_tokens },
        upstream: "worker-001".into(),
        result: StepResult {
            status: 200,
            headers: vec![("content-type".into(), "application/json".into())],
            text: serde_json::json!({
                "choices": [{ "message": { "role": "assistant", "content": answer } }],
            })
            .to_string(),
            bytes: Vec::new(),
        },
    }
}
