//! Memory figures. Each is measured in a new process, because memory freed by an earlier
//! measurement would be reused and hide the growth.

use {
    super::{
        CapacityError, config, design_size, dispatch,
        figure::{FigureKind, Figures},
        home, limiter, members, site,
    },
    error_stack::{Report, ResultExt},
    std::{env, process},
};

/// Number of processes that measure each figure.
const RUNS: usize = 3;

/// Ids and descriptions of the memory figures.
const FIGURES: [(&str, &str); 9] = [
    ("config.memory.8000", "a host's catalog and shards, 8,000 teams"),
    ("config.memory.32000", "a host's catalog and shards, 32,000 teams"),
    ("home.program", "a program of 200 turns and 230,000 tokens"),
    ("home.program.empty", "a program before its first turn"),
    ("limiter.bucket", "a bucket, without the team's name"),
    ("dispatch.memory", "a dispatcher of 18 upstreams with the weights of 32,000 teams"),
    ("dispatch.program", "a program in a dispatcher's cache map"),
    ("member.memory.350", "a host's membership state machine in a cluster of 350 hosts"),
    ("process.alone", "a process with one idle host, including the platform stand-ins"),
];

/// Measures one figure. Must be called in a process started for this purpose.
pub fn measure_in_this_process(id: &str) -> Result<f64, Report<CapacityError>> {
    match id {
        "config.memory.8000" => config::memory(8_000),
        "config.memory.32000" => config::memory(design_size::TEAMS),
        "home.program" => home::memory(),
        "home.program.empty" => home::memory_empty(),
        "limiter.bucket" => limiter::memory(),
        "dispatch.memory" => dispatch::memory(),
        "dispatch.program" => dispatch::program_memory(),
        "member.memory.350" => members::memory(350),
        "process.alone" => site::memory(),
        _ => Err(Report::new(CapacityError).attach(format!("unknown memory figure {id}"))),
    }
}

/// Measures all memory figures, each by running this program in new processes.
pub fn measure(figures: &mut Figures) -> Result<(), Report<CapacityError>> {
    for (id, description) in FIGURES {
        let samples =
            (0..RUNS).map(|_| measure_in_new_process(id)).collect::<Result<Vec<_>, _>>()?;
        figures.add(FigureKind::Memory, id, "B", format!("memory of {description}"), samples);
    }
    Ok(())
}

fn measure_in_new_process(id: &str) -> Result<f64, Report<CapacityError>> {
    let program = env::current_exe().change_context(CapacityError)?;
    let output = process::Command::new(program).args(["capacity", "--memory", id]).output();
    let output = output.change_context(CapacityError)?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let bytes: Option<f64> = text.trim().parse().ok();
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    let bytes = bytes.filter(|bytes| *bytes > 0.0 && output.status.success());
    bytes.ok_or_else(|| {
        Report::new(CapacityError)
            .attach(format!("memory measurement of {id} failed: {text}{errors}"))
    })
}
