//! The command line of `trefoilctl`.

use {
    super::error::EXIT_CODES,
    clap::{Arg, ArgAction, Command, builder::PossibleValuesParser, value_parser},
    clap_complete::Shell,
    std::path::PathBuf,
};

/// Returns the command with all subcommands. The global flags with a value can also be set by
/// environment variables.
pub fn command() -> Command {
    Command::new("trefoilctl")
        .about("Manages declarations, keys and hosts of trefoilring, and merges event logs.")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(EXIT_CODES)
        .args(global_args())
        .subcommand(
            Command::new("check")
                .about("Validates declarations without a connection")
                .arg(file_arg("Declarations in TOML")),
        )
        .subcommand(
            Command::new("diff")
                .about("Shows what applying declarations would change")
                .arg(file_arg("Declarations in TOML")),
        )
        .subcommand(apply())
        .subcommand(
            Command::new("status").about("Shows hosts, configuration and store").arg(value(
                "host-list",
                "IP:PORT",
                "The platform's host list, to show upstreams too",
            )),
        )
        .subcommand(key())
        .subcommand(
            Command::new("drain")
                .about("Stops a host gracefully; a restarted host accepts work again")
                .arg(Arg::new("host").value_name("HOST").required(true).help("The host's name"))
                .args(wait_args()),
        )
        .subcommand(
            Command::new("programs")
                .about("Lists programs from the journals in the store")
                .arg(switch("all", "Show ended programs too"))
                .arg(value("team", "NAME", "Show only programs of this team")),
        )
        .subcommand(
            Command::new("export")
                .about("Writes the configuration in force as declarations")
                .arg(value("version", "N", "Earlier version to write instead of the one in force"))
                .arg(
                    Arg::new("file")
                        .value_name("FILE")
                        .help("Output file; standard output by default")
                        .value_parser(value_parser!(PathBuf)),
                ),
        )
        .subcommand(
            Command::new("rollback")
                .about("Applies the content of an earlier version as a new version")
                .arg(
                    Arg::new("version")
                        .value_name("VERSION")
                        .required(true)
                        .help("Version whose content to apply")
                        .value_parser(value_parser!(u64)),
                )
                .args(wait_args()),
        )
        .subcommand(timeline())
        .subcommand(
            Command::new("completions")
                .about("Prints completions for a shell")
                .arg(Arg::new("shell").required(true).value_parser(value_parser!(Shell))),
        )
        .subcommand(Command::new("man").about("Prints the manual page"))
}

fn global_args() -> [Arg; 4] {
    [
        value("object-api", "IP:PORT", "The platform's Object API")
            .env("TREFOILRING_OBJECT_API")
            .global(true),
        value("output", "FORMAT", "Format of reports")
            .env("TREFOILRING_OUTPUT")
            .value_parser(PossibleValuesParser::new(["text", "json"]))
            .default_value("text")
            .global(true),
        value("author", "NAME", "Author recorded with a change [default: $USER]")
            .env("TREFOILRING_AUTHOR")
            .global(true),
        switch("yes", "Skip the confirmation before something is removed, withdrawn or drained")
            .short('y')
            .global(true),
    ]
}

fn apply() -> Command {
    Command::new("apply")
        .about("Applies declarations, unless another change is accepted first")
        .arg(file_arg("Declarations in TOML"))
        .arg(
            value(
                "if-version",
                "N",
                "Apply only if this version is in force; 0 if there is no configuration yet",
            )
            .value_parser(value_parser!(u64)),
        )
        .args(wait_args())
}

fn key() -> Command {
    let name = || Arg::new("name").value_name("NAME").required(true).help("The key's name");
    Command::new("key")
        .about("Grants, withdraws and lists keys")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("grant")
                .about("Creates a key and prints its secret once")
                .arg(name())
                .arg(value("team", "NAME", "Team of the key").required(true))
                .args(wait_args()),
        )
        .subcommand(
            Command::new("withdraw")
                .about("Withdraws a key; also takes effect for connected callers")
                .arg(name())
                .args(wait_args()),
        )
        .subcommand(Command::new("list").about("Lists keys, without secrets"))
        .subcommand(
            Command::new("hash")
                .about("Prints the hash of a secret read from a file or standard input")
                .arg(
                    Arg::new("file")
                        .value_name("FILE")
                        .help("Input file; standard input by default")
                        .value_parser(value_parser!(PathBuf)),
                ),
        )
}

fn timeline() -> Command {
    Command::new("timeline")
        .about("Merges the event logs of all hosts into one timeline")
        .arg(
            Arg::new("logs")
                .value_name("LOG")
                .required(true)
                .num_args(1..)
                .help("Event logs, as written by trefoilring serve --event-log")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(value(
            "program",
            "ID",
            "Show only this program, and host events in the same time span",
        ))
        .arg(value("request", "ID", "Show only this request"))
        .arg(value("step", "KEY", "Show only this step"))
        .arg(value("upstream", "NAME", "Show only this upstream"))
        .arg(value("team", "NAME", "Show only this team"))
        .arg(value("host", "NAME", "Show only events of this host"))
        .arg(value("from", "TIME", "Start time, such as 2026-01-31T08:00:00Z"))
        .arg(value("to", "TIME", "End time"))
        .arg(
            value("last-ms", "MS", "Show only the last MS milliseconds before the last event")
                .value_parser(value_parser!(u64))
                .conflicts_with("from"),
        )
        .arg(
            value("format", "FORMAT", "json: JSON lines; trace: for trace viewers; html: a page")
                .value_parser(PossibleValuesParser::new(["text", "json", "trace", "html"])),
        )
        .arg(
            value("write", "FILE", "Output file; standard output by default")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn wait_args() -> [Arg; 2] {
    [
        switch("wait", "Wait until the change is in force on every host, or the host has drained"),
        value("wait-ms", "MS", "Maximum time to wait")
            .value_parser(value_parser!(u64))
            .default_value("30000"),
    ]
}

fn file_arg(help: &'static str) -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .help(help)
        .value_parser(value_parser!(PathBuf))
}

fn value(name: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value_name).help(help)
}

fn switch(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).action(ArgAction::SetTrue)
}

#[cfg(test)]
mod tests;
