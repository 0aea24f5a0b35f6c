//! The binary `trefoilctl`, the operators' command-line tool.

mod ctl;

use std::process::ExitCode;

fn main() -> ExitCode {
    ctl::run(std::env::args_os())
}
