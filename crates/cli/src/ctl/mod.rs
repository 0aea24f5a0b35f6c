//! `trefoilctl`: the command-line tool with which operators configure and inspect the system.
//!
//! Each change is one conditional update of an object in the Object API. The hosts read the object
//! from there. No command connects to a host. Commands that remove, withdraw or drain something ask
//! for confirmation.

mod apply;
mod args;
mod changes;
mod context;
mod drain;
mod error;
mod history;
mod keys;
mod programs;
mod status;
mod store;
mod timeline;

use {
    args::command,
    clap::ArgMatches,
    context::{Context, write_stdout},
    error::CtlError,
    std::{ffi::OsString, process::ExitCode},
};

/// Exit code of `diff` if there are differences.
const EXIT_DIFFERENCES: u8 = 8;

/// Runs one command line and returns its exit code. The first argument is the name of the binary,
/// which is not checked.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            // clap returns help and version as errors too, with exit code 0.
            let _ = error.print();
            return ExitCode::from(u8::try_from(error.exit_code()).unwrap_or(1));
        }
    };
    match dispatch(&matches) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("trefoilctl: {error}");
            error.exit_code()
        }
    }
}

fn dispatch(matches: &ArgMatches) -> Result<ExitCode, CtlError> {
    let Some((name, matches)) = matches.subcommand() else {
        return Err(CtlError::Usage("a command is required".into()));
    };
    let context = Context::try_from(innermost_matches(matches))?;
    match name {
        "check" => apply::check(&context, matches)?,
        "diff" if smol::block_on(apply::diff(&context, matches))? => {
            return Ok(ExitCode::from(EXIT_DIFFERENCES));
        }
        "diff" => {}
        "apply" => smol::block_on(apply::apply(&context, matches))?,
        "status" => smol::block_on(status::status(&context, matches))?,
        "drain" => smol::block_on(drain::drain(&context, matches))?,
        "key" => key_command(&context, matches)?,
        "programs" => smol::block_on(programs::list(&context, matches))?,
        "export" => smol::block_on(history::export(&context, matches))?,
        "rollback" => smol::block_on(history::rollback(&context, matches))?,
        "timeline" => timeline::run(&context, matches)?,
        "completions" => completions(matches)?,
        "man" => manual_page()?,
        other => return Err(CtlError::Usage(format!("unknown command {other}"))),
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns the matches of the innermost subcommand. clap stores global flags there, wherever they
/// are given.
fn innermost_matches(matches: &ArgMatches) -> &ArgMatches {
    match matches.subcommand() {
        Some((_, inner)) => innermost_matches(inner),
        None => matches,
    }
}

fn key_command(context: &Context, matches: &ArgMatches) -> Result<(), CtlError> {
    match matches.subcommand() {
        Some(("grant", matches)) => smol::block_on(keys::grant(context, matches)),
        Some(("withdraw", matches)) => smol::block_on(keys::withdraw(context, matches)),
        Some(("list", _)) => smol::block_on(keys::list(context)),
        Some(("hash", matches)) => keys::hash(matches),
        _ => Err(CtlError::Usage("a subcommand of key is required".into())),
    }
}

fn completions(matches: &ArgMatches) -> Result<(), CtlError> {
    let Some(shell) = matches.get_one::<clap_complete::Shell>("shell") else {
        return Err(CtlError::Usage("a shell is required".into()));
    };
    let mut script = Vec::new();
    clap_complete::generate(*shell, &mut command(), "trefoilctl", &mut script);
    write_stdout(&script)
}

fn manual_page() -> Result<(), CtlError> {
    let mut page = Vec::new();
    let rendered = clap_mangen::Man::new(command()).render(&mut page);
    rendered.map_err(|error| CtlError::File { name: "manual".into(), error })?;
    write_stdout(&page)
}
