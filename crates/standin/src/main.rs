//! Runs one stand-in as a separate process. See `trefoil-standin --help`.

fn main() {
    trefoilring_standin::cli::main();
}
