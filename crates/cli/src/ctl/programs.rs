//! The command `programs`: lists programs from the journals in the store.

use {
    super::{context::Context, error::CtlError, store::Store},
    clap::ArgMatches,
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt,
    },
    trefoilring_core::{
        ids::{JournalId, ProgramId, StepKey},
        journal::{Entry, Record, Recovery, recover},
    },
};

const JOURNAL_PREFIX: &str = "journal/";

/// One row of the list.
#[derive(Debug, serde::Serialize)]
struct ProgramRow {
    program: ProgramId,
    parent: Option<ProgramId>,
    team: String,
    class: String,
    /// The host that owns the program's journal.
    home: Option<String>,
    created_ms: u64,
    turns: usize,
    calls: usize,
    /// Number of messages in the history.
    messages: usize,
    /// Steps with a recorded intent and no recorded end: in progress, or outcome unknown.
    open_steps: BTreeSet<StepKey>,
    ended: Option<String>,
}

#[derive(Debug, serde::Serialize)]
struct ProgramList {
    programs: Vec<ProgramRow>,
}

/// Prints programs. Records that the hosts buffer while the store is unavailable are missing.
pub(super) async fn list(context: &Context, matches: &ArgMatches) -> Result<(), CtlError> {
    let team = matches.get_one::<String>("team");
    let shows_all = matches.get_flag("all");
    let store = context.store()?;
    let mut programs = Vec::new();
    for (_, entries) in journals(&store).await? {
        programs.extend(program_rows(&recover(entries)));
    }
    programs.retain(|row| shows_all || row.ended.is_none());
    programs.retain(|row| team.is_none_or(|team| *team == row.team));
    programs.sort_by_key(|row| row.created_ms);
    context.print(&ProgramList { programs })
}

async fn journals(store: &Store) -> Result<BTreeMap<JournalId, Vec<Entry>>, CtlError> {
    let mut journals: BTreeMap<JournalId, Vec<Entry>> = BTreeMap::new();
    for key in store.list_keys(JOURNAL_PREFIX).await? {
        // Entries are deleted only after all their programs have ended, so a missing entry can be
        // skipped.
        let Some((_, bytes)) = store.get(&key).await? else { continue };
        let entry: Entry = serde_json::from_slice(&bytes)
            .map_err(|error| CtlError::Failed(format!("{key} can't be read: {error}")))?;
        journals.entry(entry.journal.clone()).or_default().push(entry);
    }
    Ok(journals)
}

fn program_rows(recovery: &Recovery) -> Vec<ProgramRow> {
    let home = recovery.owner().map(|owner| owner.member.host.to_string());
    let mut rows: BTreeMap<ProgramId, ProgramRow> = BTreeMap::new();
    for record in recovery.records() {
        if let Record::Created { program, parent, team, class, created_ms, .. } = record {
            let row = ProgramRow {
                program: program.clone(),
                parent: parent.clone(),
                team: team.to_string(),
                class: class.to_string(),
                home: home.clone(),
                created_ms: *created_ms,
                turns: 0,
                calls: 0,
                messages: 0,
                open_steps: BTreeSet::new(),
                ended: None,
            };
            rows.entry(program.clone()).or_insert(row);
        } else if let Some(row) = rows.get_mut(record.program()) {
            row.apply_record(record);
        }
    }
    rows.into_values().collect()
}

impl ProgramRow {
    fn apply_record(&mut self, record: &Record) {
        match record {
            Record::Created { .. } => {}
            Record::Intended { step, .. } | Record::Unknown { step, .. } => {
                self.open_steps.insert(step.clone());
            }
            Record::TurnEnded { step, messages, .. } => {
                self.open_steps.remove(step);
                self.turns += 1;
                self.messages += messages.len();
            }
            Record::CallEnded { step, .. } => {
                self.open_steps.remove(step);
                self.calls += 1;
            }
            Record::NotRun { step, .. } => {
                self.open_steps.remove(step);
            }
            Record::Ended { why, .. } => self.ended = Some(why.clone()),
        }
    }
}

impl fmt::Display for ProgramList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<40} {:<18} {:<12} {:<16} {:>5} {:>5} {:>8}  state",
            "program", "team", "class", "home", "turns", "calls", "messages"
        )?;
        for row in &self.programs {
            let ProgramRow { program, team, class, turns, calls, messages, .. } = row;
            let home = row.home.as_deref().unwrap_or("-");
            let state = match (&row.ended, row.open_steps.len()) {
                (Some(why), _) => format!("ended: {why}"),
                (None, 0) => "runs".to_owned(),
                (None, open) => format!("runs, {open} steps without a recorded end"),
            };
            writeln!(
                f,
                "{program:<40} {team:<18} {class:<12} {home:<16} {turns:>5} {calls:>5} \
                 {messages:>8}  {state}"
            )?;
        }
        Ok(())
    }
}
