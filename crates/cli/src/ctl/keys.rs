//! The commands `key grant`, `key withdraw`, `key list` and `key hash`.

use {
    super::{
        apply::{Wait, wait_for_hosts},
        context::Context,
        error::CtlError,
        store::{Store, SubmitOutcome},
    },
    clap::ArgMatches,
    rand::rngs::ThreadRng,
    std::{
        fmt, fs,
        io::{self, Read},
        path::PathBuf,
    },
    trefoilring_config::secret::{hash_secret, new_secret},
    trefoilring_core::{
        catalog::{Catalog, Key, KeyHash},
        ids::ConfigVersion,
    },
};

/// Maximum number of tries to apply one change. A try fails if another change is accepted first.
/// The edit does not conflict with changes to other items, so it is applied again on top of them.
const MAX_TRIES: usize = 10;
const MAX_NAME_CHARS: usize = 63;

/// Result of granting or withdrawing a key.
#[derive(Debug, serde::Serialize)]
struct KeyReport {
    key: String,
    version: ConfigVersion,
    /// The secret of a new key. It is printed only once.
    #[serde(skip_serializing_if = "Option::is_none")]
    secret: Option<String>,
    in_force_on: Option<usize>,
}

impl fmt::Display for KeyReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.secret {
            Some(secret) => write!(
                f,
                "granted {} with version {}; its secret, shown only once:\n{secret}",
                self.key, self.version
            ),
            None => write!(f, "withdrew {} with version {}", self.key, self.version),
        }
    }
}

/// Creates a key and prints its secret.
pub(super) async fn grant(context: &Context, matches: &ArgMatches) -> Result<(), CtlError> {
    let name = name_arg(matches)?;
    let team = matches.get_one::<String>("team").cloned().unwrap_or_default();
    let secret = new_secret(&mut ThreadRng::default());
    let add = |catalog: &mut Catalog| {
        if !catalog.teams.contains_key(team.as_str()) {
            return Err(CtlError::Failed(format!("team {team} is not declared")));
        }
        if catalog.keys.values().any(|key| *key.id == *name) {
            return Err(CtlError::Failed(format!("key {name} is already declared")));
        }
        let (id, team) = (name.as_str().into(), team.as_str().into());
        catalog.keys.insert(hash_secret(&secret), Key { id, team, is_withdrawn: false });
        Ok(())
    };
    let store = context.store()?;
    let version = edit_config(context, &store, add).await?;
    // Prints the secret before the wait, so that a failed wait does not lose it.
    let wait = Wait::from(matches);
    let secret = Some(secret.clone());
    context.print(&KeyReport { key: name.clone(), version, secret, in_force_on: None })?;
    wait_for_hosts(context, &store, version, wait).await.map(drop)
}

/// Withdraws a key. Its hash stays declared, so that the key can't be granted again by mistake.
pub(super) async fn withdraw(context: &Context, matches: &ArgMatches) -> Result<(), CtlError> {
    let name = name_arg(matches)?;
    context.confirm(&format!("The key {name} will stop working, also for connected callers."))?;
    let withdraw = |catalog: &mut Catalog| {
        let mut found = false;
        for key in catalog.keys.values_mut().filter(|key| *key.id == *name) {
            key.is_withdrawn = true;
            found = true;
        }
        found.then_some(()).ok_or_else(|| CtlError::Failed(format!("key {name} is not declared")))
    };
    let store = context.store()?;
    let version = edit_config(context, &store, withdraw).await?;
    let in_force_on = wait_for_hosts(context, &store, version, matches.into()).await?;
    context.print(&KeyReport { key: name, version, secret: None, in_force_on })
}

/// Edits the current configuration. If another change is accepted first, edits the new
/// configuration, up to [`MAX_TRIES`] times.
pub(super) async fn edit_config(
    context: &Context,
    store: &Store,
    edit: impl Fn(&mut Catalog) -> Result<(), CtlError>,
) -> Result<ConfigVersion, CtlError> {
    for _ in 0..MAX_TRIES {
        let current = store.current_config().await?;
        let mut new = current.catalog.clone();
        edit(&mut new)?;
        if new == current.catalog {
            return Ok(current.catalog.version);
        }
        if let SubmitOutcome::Accepted(version) =
            store.apply(&current, &new, &context.new_change_id()).await?
        {
            return Ok(version);
        }
    }
    let text = format!(
        "another change was accepted first in each of {MAX_TRIES} tries; nothing was changed"
    );
    Err(CtlError::Conflict(text))
}

fn name_arg(matches: &ArgMatches) -> Result<String, CtlError> {
    let name = matches.get_one::<String>("name").cloned().unwrap_or_default();
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if !name.is_empty() && name.len() <= MAX_NAME_CHARS && name.chars().all(is_allowed) {
        return Ok(name);
    }
    Err(CtlError::Usage(format!(
        "NAME: {name:?} is not accepted; accepted: 1 to {MAX_NAME_CHARS} characters out of a-z, \
         0-9 and -"
    )))
}

/// One key of the list.
#[derive(Debug, serde::Serialize)]
struct KeyRow {
    key: String,
    team: String,
    is_withdrawn: bool,
    /// First digits of the hash, to distinguish keys.
    hash_start: String,
}

#[derive(Debug, serde::Serialize)]
struct KeyList {
    keys: Vec<KeyRow>,
}

impl From<(&KeyHash, &Key)> for KeyRow {
    fn from((hash, key): (&KeyHash, &Key)) -> Self {
        Self {
            key: key.id.to_string(),
            team: key.team.to_string(),
            is_withdrawn: key.is_withdrawn,
            hash_start: hash.chars().take(12).collect(),
        }
    }
}

impl fmt::Display for KeyList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<32} {:<24} {:<10} hash", "key", "team", "state")?;
        for row in &self.keys {
            let state = if row.is_withdrawn { "withdrawn" } else { "works" };
            writeln!(f, "{:<32} {:<24} {state:<10} {}...", row.key, row.team, row.hash_start)?;
        }
        Ok(())
    }
}

/// Prints all keys, sorted by name.
pub(super) async fn list(context: &Context) -> Result<(), CtlError> {
    let current = context.store()?.current_config().await?;
    let mut keys: Vec<_> = current.catalog.keys.iter().map(KeyRow::from).collect();
    keys.sort_by(|one, other| one.key.cmp(&other.key));
    context.print(&KeyList { keys })
}

/// Prints the hash of a secret. The secret comes from a file or standard input because other users
/// of the machine can see the arguments of a process.
pub(super) fn hash(matches: &ArgMatches) -> Result<(), CtlError> {
    let mut secret = String::new();
    match matches.get_one::<PathBuf>("file") {
        Some(path) => {
            let name = path.display().to_string();
            secret = fs::read_to_string(path).map_err(|error| CtlError::File { name, error })?;
        }
        None => {
            let name = "standard input".to_owned();
            let read = io::stdin().lock().read_to_string(&mut secret);
            read.map_err(|error| CtlError::File { name, error })?;
        }
    }
    let secret = secret.trim_end_matches(['\r', '\n']);
    if secret.is_empty() {
        return Err(CtlError::Failed("the secret is empty".into()));
    }
    super::context::write_stdout(format!("{}\n", hash_secret(secret)).as_bytes())
}
