//! `trefoilctl`: the program by which operators steer the system and learn what happened.
//!
//! Changes go through the Object API by one conditional update, and hosts take them from there.
//! No command talks to a host. What takes something away asks first.

mod apply;
mod args;
mod changes;
mod context;
mod drain;
mod fault;
mod history;
mod hosts;
mod keys;
mod programs;
mod store;
mod timeline;

use {
    args::command,
    clap::ArgMatches,
    context::{Context, write_out},
    fault::CtlError,
    std::{ffi::OsString, process::ExitCode},
};

/// Exit code of `diff` when it found something.
const EXIT_DIFFERENT: u8 = 8;

/// Runs one command line, without the program's name checked, and returns its exit code.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            // Help and version come as errors too, with an exit code of 0.
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
        return Err(CtlError::Usage("a command has to be given".into()));
    };
    let context = Context::try_from(innermost(matches))?;
    match name {
        "check" => apply::check(&context, matches)?,
        "diff" if smol::block_on(apply::diff(&context, matches))? => {
            return Ok(ExitCode::from(EXIT_DIFFERENT));
        }
        "diff" => {}
        "apply" => smol::block_on(apply::apply(&context, matches))?,
        "status" => smol::block_on(hosts::status(&context, matches))?,
        "drain" => smol::block_on(drain::drain(&context, matches))?,
        "key" => key(&context, matches)?,
        "programs" => smol::block_on(programs::list(&context, matches))?,
        "export" => smol::block_on(history::export(&context, matches))?,
        "rollback" => smol::block_on(history::rollback(&context, matches))?,
        "timeline" => timeline::run(&context, matches)?,
        "completions" => completions(matches)?,
        "man" => manual()?,
        other => return Err(CtlError::Usage(format!("unknown command {other}"))),
    }
    Ok(ExitCode::SUCCESS)
}

/// Global flags may be given after any subcommand and are found in the innermost one.
fn innermost(matches: &ArgMatches) -> &ArgMatches {
    match matches.subcommand() {
        Some((_, inner)) => innermost(inner),
        None => matches,
    }
}

fn key(context: &Context, matches: &ArgMatches) -> Result<(), CtlError> {
    match matches.subcommand() {
        Some(("grant", matches)) => smol::block_on(keys::grant(context, matches)),
        Some(("withdraw", matches)) => smol::block_on(keys::withdraw(context, matches)),
        Some(("list", _)) => smol::block_on(keys::list(context)),
        Some(("hash", matches)) => keys::hash(matches),
        _ => Err(CtlError::Usage("a command for keys has to be given".into())),
    }
}

fn completions(matches: &ArgMatches) -> Result<(), CtlError> {
    let Some(shell) = matches.get_one::<clap_complete::Shell>("shell") else {
        return Err(CtlError::Usage("a shell has to be given".into()));
    };
    let mut script = Vec::new();
    clap_complete::generate(*shell, &mut command(), "trefoilctl", &mut script);
    write_out(&script)
}

fn manual() -> Result<(), CtlError> {
    let mut page = Vec::new();
    let rendered = clap_mangen::Man::new(command()).render(&mut page);
    rendered.map_err(|error| CtlError::File { name: "manual".into(), error })?;
    write_out(&page)
}
