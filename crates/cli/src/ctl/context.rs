//! What all commands have in common: the store, the output, and consent.

use {
    super::{fault::CtlError, store::Store},
    clap::ArgMatches,
    rand::rngs::ThreadRng,
    std::{
        io::{self, BufRead, IsTerminal, Write},
        net::SocketAddr,
    },
    trefoilring_core::ids::random_suffix,
};

/// The longest name of an author.
const MAX_AUTHOR_CHARS: usize = 64;

/// Format of reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Output {
    Text,
    Json,
}

/// Checked settings of one run.
#[derive(Debug)]
pub(super) struct Context {
    object_api: Option<SocketAddr>,
    author: String,
    has_consent: bool,
    pub output: Output,
}

impl TryFrom<&ArgMatches> for Context {
    type Error = CtlError;

    fn try_from(matches: &ArgMatches) -> Result<Self, CtlError> {
        let output = match matches.get_one::<String>("output").map(String::as_str) {
            Some("json") => Output::Json,
            _ => Output::Text,
        };
        let object_api = address(matches, "object-api")?;
        let has_consent = matches.get_flag("yes");
        Ok(Self { object_api, author: author(matches)?, has_consent, output })
    }
}

/// Reads an address to connect to.
pub(super) fn address(matches: &ArgMatches, flag: &str) -> Result<Option<SocketAddr>, CtlError> {
    let Some(value) = matches.get_one::<String>(flag) else { return Ok(None) };
    match value.parse::<SocketAddr>() {
        Ok(address) if address.port() != 0 => Ok(Some(address)),
        _ => Err(CtlError::Usage(format!(
            "--{flag}: {value:?} is not accepted; accepted: an IP number and a port above 0, \
             such as 10.0.0.7:9000"
        ))),
    }
}

fn author(matches: &ArgMatches) -> Result<String, CtlError> {
    let given = matches.get_one::<String>("author").cloned();
    let author = given.or_else(|| std::env::var("USER").ok()).unwrap_or_else(|| "operator".into());
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.@".contains(c);
    if !author.is_empty() && author.len() <= MAX_AUTHOR_CHARS && author.chars().all(is_plain) {
        return Ok(author);
    }
    Err(CtlError::Usage(format!(
        "--author: {author:?} is not accepted; accepted: 1 to {MAX_AUTHOR_CHARS} letters, digits \
         and - _ . @"
    )))
}

impl Context {
    /// Returns the store; without an address, the command line is at fault.
    pub fn store(&self) -> Result<Store, CtlError> {
        match self.object_api {
            Some(address) => Ok(Store::new(address)),
            None => Err(CtlError::Usage(
                "--object-api (TREFOILRING_OBJECT_API): is missing; accepted: an IP number and a \
                 port, such as 10.0.0.7:9000"
                    .into(),
            )),
        }
    }

    /// Names a new change after its author.
    pub fn new_change(&self) -> String {
        format!("{}-{}", self.author, random_suffix(&mut ThreadRng::default()))
    }

    /// Asks before something that can't simply be taken back. Without a terminal to ask on, the
    /// answer is no.
    pub fn confirm(&self, question: &str) -> Result<(), CtlError> {
        if self.has_consent {
            return Ok(());
        }
        let input = io::stdin();
        if !input.is_terminal() {
            return Err(CtlError::NotConfirmed);
        }
        eprint!("{question} Type yes to go on: ");
        let mut answer = String::new();
        let read = io::stderr().flush().and_then(|()| input.lock().read_line(&mut answer));
        match read {
            Ok(_) if answer.trim() == "yes" => Ok(()),
            _ => Err(CtlError::NotConfirmed),
        }
    }

    /// Prints a report: JSON for programs, or its text for people.
    pub fn print<T>(&self, report: &T) -> Result<(), CtlError>
    where
        T: serde::Serialize + std::fmt::Display,
    {
        let text = match self.output {
            Output::Text => report.to_string(),
            Output::Json => serde_json::to_string_pretty(report)
                .map_err(|error| CtlError::Failed(error.to_string()))?,
        };
        write_out(text.trim_end().as_bytes())?;
        write_out(b"\n")
    }
}

/// Writes to standard output. A reader that has seen enough, such as `head`, is no failure.
pub(super) fn write_out(bytes: &[u8]) -> Result<(), CtlError> {
    let mut out = io::stdout().lock();
    match out.write_all(bytes).and_then(|()| out.flush()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => {
            Err(CtlError::File { name: "standard output".into(), error })
        }
        _ => Ok(()),
    }
}
