//! `trefoil-load`: measures scheduling policies.

use {
    error_stack::Report,
    trefoilring_load::cli::{self, CliError},
};

fn main() -> Result<(), Report<CliError>> {
    cli::run(&cli::command().get_matches())
}
