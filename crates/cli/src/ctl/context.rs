//! Settings and functions that all commands share: store access, output and confirmation.

use {
    super::{error::CtlError, store::Store},
    clap::ArgMatches,
    rand::rngs::ThreadRng,
    std::{
        io::{self, BufRead, IsTerminal, Write},
        net::SocketAddr,
    },
    trefoilring_core::ids::random_suffix,
};

/// Maximum length of an author's name.
const MAX_AUTHOR_CHARS: usize = 64;

/// Format of reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Output {
    Text,
    Json,
}

/// Validated global settings of one run.
#[derive(Debug)]
pub(super) struct Context {
    object_api: Option<SocketAddr>,
    author: String,
    skips_confirmation: bool,
    pub output: Output,
}

impl TryFrom<&ArgMatches> for Context {
    type Error = CtlError;

    fn try_from(matches: &ArgMatches) -> Result<Self, CtlError> {
        let output = match matches.get_one::<String>("output").map(String::as_str) {
            Some("json") => Output::Json,
            _ => Output::Text,
        };
        let object_api = address_arg(matches, "object-api")?;
        let skips_confirmation = matches.get_flag("yes");
        Ok(Self { object_api, author: author_arg(matches)?, skips_confirmation, output })
    }
}

/// Parses an address to connect to.
pub(super) fn address_arg(
    matches: &ArgMatches,
    flag: &str,
) -> Result<Option<SocketAddr>, CtlError> {
    let Some(value) = matches.get_one::<String>(flag) else { return Ok(None) };
    match value.parse::<SocketAddr>() {
        Ok(address) if address.port() != 0 => Ok(Some(address)),
        _ => Err(CtlError::Usage(format!(
            "--{flag}: {value:?} is not accepted; accepted: an IP address and a port above 0, \
             such as 10.0.0.7:9000"
        ))),
    }
}

fn author_arg(matches: &ArgMatches) -> Result<String, CtlError> {
    let flag_value = matches.get_one::<String>("author").cloned();
    let author =
        flag_value.or_else(|| std::env::var("USER").ok()).unwrap_or_else(|| "operator".into());
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.@".contains(c);
    if !author.is_empty() && author.len() <= MAX_AUTHOR_CHARS && author.chars().all(is_allowed) {
        return Ok(author);
    }
    Err(CtlError::Usage(format!(
        "--author: {author:?} is not accepted; accepted: 1 to {MAX_AUTHOR_CHARS} letters, digits \
         and - _ . @"
    )))
}

impl Context {
    /// Returns a client of the store. Without `--object-api` returns a usage error.
    pub fn store(&self) -> Result<Store, CtlError> {
        match self.object_api {
            Some(address) => Ok(Store::new(address)),
            None => Err(CtlError::Usage(
                "--object-api (TREFOILRING_OBJECT_API): is missing; accepted: an IP address and a \
                 port, such as 10.0.0.7:9000"
                    .into(),
            )),
        }
    }

    /// Returns a new change id that starts with the author's name.
    pub fn new_change_id(&self) -> String {
        format!("{}-{}", self.author, random_suffix(&mut ThreadRng::default()))
    }

    /// Asks for confirmation before an action that can't easily be undone. Without a terminal,
    /// fails unless `--yes` is given.
    pub fn confirm(&self, question: &str) -> Result<(), CtlError> {
        if self.skips_confirmation {
            return Ok(());
        }
        let input = io::stdin();
        if !input.is_terminal() {
            return Err(CtlError::NotConfirmed);
        }
        eprint!("{question} Type yes to continue: ");
        let mut answer = String::new();
        let read = io::stderr().flush().and_then(|()| input.lock().read_line(&mut answer));
        match read {
            Ok(_) if answer.trim() == "yes" => Ok(()),
            _ => Err(CtlError::NotConfirmed),
        }
    }

    /// Prints a report as JSON or as text, depending on `--output`.
    pub fn print<T>(&self, report: &T) -> Result<(), CtlError>
    where
        T: serde::Serialize + std::fmt::Display,
    {
        let text = match self.output {
            Output::Text => report.to_string(),
            Output::Json => serde_json::to_string_pretty(report)
                .map_err(|error| CtlError::Failed(error.to_string()))?,
        };
        write_stdout(text.trim_end().as_bytes())?;
        write_stdout(b"\n")
    }
}

/// Writes to standard output. Ignores a broken pipe: a reader such as `head` may close the pipe
/// early.
pub(super) fn write_stdout(bytes: &[u8]) -> Result<(), CtlError> {
    let mut out = io::stdout().lock();
    match out.write_all(bytes).and_then(|()| out.flush()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => {
            Err(CtlError::File { name: "standard output".into(), error })
        }
        _ => Ok(()),
    }
}
