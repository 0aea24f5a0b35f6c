//! `trefoilring demo`: runs a complete site in one process, with programs of the two example
//! users, kaalachakra and isiyol.

mod agent;
mod report;
mod scenario;

use {
    clap::{Arg, ArgAction, ArgMatches, Command},
    std::process::ExitCode,
};

/// Returns the `demo` command with its flags.
pub(crate) fn command() -> Command {
    Command::new("demo")
        .about(
            "Runs a complete site in this process: simulated platform and upstreams, three hosts, \
             programs of two users.",
        )
        .arg(
            Arg::new("json")
                .long("json")
                .env("TREFOILRING_DEMO_JSON")
                .action(ArgAction::SetTrue)
                .help("Prints the result as JSON"),
        )
        .arg(
            Arg::new("keep")
                .long("keep")
                .env("TREFOILRING_DEMO_KEEP")
                .action(ArgAction::SetTrue)
                .help("Keeps the site running until interrupted, and prints requests to try"),
        )
}

/// Runs the demo. Fails if one of its checks fails.
pub(crate) fn run(matches: &ArgMatches) -> ExitCode {
    let result = smol::block_on(async {
        let (outcome, site) = scenario::run().await?;
        report::print(&outcome, matches.get_flag("json"));
        if matches.get_flag("keep") {
            report::print_addresses(&site);
            scenario::wait_for_interrupt()?;
        }
        site.stop().await;
        Ok::<_, Box<dyn std::error::Error>>(outcome)
    });
    match result {
        Ok(outcome) if outcome.faults.is_empty() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
