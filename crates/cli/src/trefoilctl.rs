//! The control tool; see `trefoilctl --help`.

mod ctl;

use std::process::ExitCode;

fn main() -> ExitCode {
    ctl::run(std::env::args_os())
}
