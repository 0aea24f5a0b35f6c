//! The binary `trefoilring`. It runs one host or the demo.
//!
//! This crate parses the flags and validates the settings. The library crates implement the rest.

mod demo;
mod serve;

use {clap::Command, std::process::ExitCode, trefoilring_config::settings::serve_command};

fn main() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("serve", matches)) => serve::run(matches),
        Some(("demo", matches)) => demo::run(matches),
        // Unreachable: the command requires a subcommand and has no others.
        _ => ExitCode::FAILURE,
    }
}

fn command() -> Command {
    Command::new("trefoilring")
        .about("A scheduler for agent programs at sites without operations staff.")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(serve_command())
        .subcommand(demo::command())
}
