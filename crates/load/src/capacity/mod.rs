//! Resource use of each role at the design size (`docs/CAPACITY.md`).
//!
//! The costs per program, team or host are measured on one machine: by driving the state machines
//! with many of them, by the sizes of encoded messages, and by running hosts in this process. The
//! tables are computed from these measured values, which are called figures.

mod cluster;
mod compare;
mod config;
mod design_size;
mod dispatch;
mod figure;
mod home;
mod limiter;
mod members;
mod memory;
mod platform;
mod print;
mod roles;
mod site;
#[cfg(test)]
mod tests;
mod wire;

use {
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    derive_more::{Display, Error},
    error_stack::{Report, ResultExt},
    figure::Figures,
    std::{fs, path::PathBuf},
};

/// The measurement failed, or a figure differs from the file given by `--against` by more than its
/// tolerance.
#[derive(Debug, Display, Error)]
#[display("the capacity measurement failed")]
pub struct CapacityError;

/// Results of one run.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Capacity {
    /// Build profile: `release` or `debug`.
    pub profile: &'static str,
    /// Number of processors available to this process.
    pub processors: usize,
    /// Measured costs and counts.
    pub figures: Figures,
    /// Resource use of each role.
    pub roles: Vec<roles::Role>,
    /// Totals and their limits.
    pub totals: Vec<roles::Total>,
}

/// Builds the subcommand.
pub fn command() -> Command {
    Command::new("capacity")
        .about("Measures the resource use of each role and prints the tables of docs/CAPACITY.md")
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON"))
        .arg(
            Arg::new("memory")
                .long("memory")
                .value_name("FIGURE")
                .hide(true)
                .help("Measure one memory figure in this process and print it in bytes"),
        )
        .arg(
            Arg::new("against")
                .long("against")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Fail if a figure differs from that in FILE by more than its tolerance"),
        )
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if a measurement fails, or if a figure differs from the file given by `--against` by more
/// than its tolerance.
pub fn run(matches: &ArgMatches) -> Result<(), Report<CapacityError>> {
    if let Some(id) = matches.get_one::<String>("memory") {
        println!("{}", memory::measure_in_this_process(id)?);
        return Ok(());
    }
    let recorded_text = matches.get_one::<PathBuf>("against");
    let recorded_text =
        recorded_text.map(|path| fs::read_to_string(path).change_context(CapacityError));
    let recorded_text = recorded_text.transpose()?;
    let capacity = measure()?;
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string(&capacity).change_context(CapacityError)?);
    } else {
        print::print(&capacity);
    }
    let Some(recorded_text) = recorded_text else { return Ok(()) };
    let differences = compare::differences(&recorded_text, &capacity.figures);
    let attach = |report: Report<CapacityError>, text| report.attach(text);
    match differences.is_empty() {
        true => Ok(()),
        false => Err(differences.into_iter().fold(Report::new(CapacityError), attach)),
    }
}

/// Measures all figures. This takes about a minute.
///
/// # Errors
///
/// Fails if a state machine, a stand-in or a host returns an unexpected result.
pub fn measure() -> Result<Capacity, Report<CapacityError>> {
    let mut figures = Figures::default();
    memory::measure(&mut figures)?;
    let catalog = config::measure(&mut figures)?;
    home::measure(&mut figures)?;
    limiter::measure(&mut figures)?;
    dispatch::measure(&mut figures, &catalog)?;
    members::measure(&mut figures)?;
    platform::measure(&mut figures)?;
    site::measure(&mut figures)?;
    let roles = roles::roles(&figures)?;
    let totals = roles::totals(&figures, &roles)?;
    Ok(Capacity {
        profile: if cfg!(debug_assertions) { "debug" } else { "release" },
        processors: std::thread::available_parallelism().map_or(0, usize::from),
        figures,
        roles,
        totals,
    })
}
