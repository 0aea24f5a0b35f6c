//! Keys: granted, withdrawn, listed.

use {
    super::{
        apply::{Wait, wait_for_hosts},
        context::Context,
        fault::CtlError,
        store::{Applied, Store},
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

/// Races that one change of a key may lose before it gives up. Another operator's change of other
/// items does not stand against it, so that it is made again on top.
const MAX_RACES: usize = 10;
const MAX_NAME_CHARS: usize = 63;

/// What a change of a key came to.
#[derive(Debug, serde::Serialize)]
struct KeyReport {
    key: String,
    version: ConfigVersion,
    /// Shown once, for a new key.
    #[serde(skip_serializing_if = "Option::is_none")]
    secret: Option<String>,
    in_force_on: Option<usize>,
}

impl fmt::Display for KeyReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.secret {
            Some(secret) => write!(
                f,
                "granted {} with version {}; its secret, shown only now:\n{secret}",
                self.key, self.version
            ),
            None => write!(f, "withdrew {} with version {}", self.key, self.version),
        }
    }
}

/// Grants a key and shows its secret.
pub(super) async fn grant(context: &Context, matches: &ArgMatches) -> Result<(), CtlError> {
    let name = checked_name(matches)?;
    let team = matches.get_one::<String>("team").cloned().unwrap_or_default();
    let secret = new_secret(&mut ThreadRng::default());
    let add = |catalog: &mut Catalog| {
        if !catalog.teams.contains_key(team.as_str()) {
            return Err(CtlError::Failed(format!("no team {team} is declared")));
        }
        if catalog.keys.values().any(|key| *key.id == *name) {
            return Err(CtlError::Failed(format!("a key {name} is declared already")));
        }
        let (id, team) = (name.as_str().into(), team.as_str().into());
        catalog.keys.insert(hash_secret(&secret), Key { id, team, is_withdrawn: false });
        Ok(())
    };
    let store = context.store()?;
    let version = change(context, &store, add).await?;
    // The secret is shown before the wait: a wait that fails must not lose it.
    let wait = Wait::from(matches);
    let secret = Some(secret.clone());
    context.print(&KeyReport { key: name.clone(), version, secret, in_force_on: None })?;
    wait_for_hosts(context, &store, version, wait).await.map(drop)
}

/// Withdraws a key. Its hash stays declared, so that it can't be granted again by mistake.
pub(super) async fn withdraw(context: &Context, matches: &ArgMatches) -> Result<(), CtlError> {
    let name = checked_name(matches)?;
    context.confirm(&format!("The key {name} stops working, also for connected callers."))?;
    let withdraw = |catalog: &mut Catalog| {
        let mut found = false;
        for key in catalog.keys.values_mut().filter(|key| *key.id == *name) {
            key.is_withdrawn = true;
            found = true;
        }
        found.then_some(()).ok_or_else(|| CtlError::Failed(format!("no key {name} is declared")))
    };
    let store = context.store()?;
    let version = change(context, &store, withdraw).await?;
    let in_force_on = wait_for_hosts(context, &store, version, matches.into()).await?;
    context.print(&KeyReport { key: name, version, secret: None, in_force_on })
}

/// Makes a change, again on top of other changes that come first.
pub(super) async fn change(
    context: &Context,
    store: &Store,
    edit: impl Fn(&mut Catalog) -> Result<(), CtlError>,
) -> Result<ConfigVersion, CtlError> {
    for _ in 0..MAX_RACES {
        let current = store.current().await?;
        let mut new = current.catalog.clone();
        edit(&mut new)?;
        if new == current.catalog {
            return Ok(current.catalog.version);
        }
        if let Applied::Accepted(version) =
            store.apply(&current, &new, &context.new_change()).await?
        {
            return Ok(version);
        }
    }
    let text = format!("{MAX_RACES} other changes came first; nothing was changed");
    Err(CtlError::Conflict(text))
}

fn checked_name(matches: &ArgMatches) -> Result<String, CtlError> {
    let name = matches.get_one::<String>("name").cloned().unwrap_or_default();
    let is_known = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if !name.is_empty() && name.len() <= MAX_NAME_CHARS && name.chars().all(is_known) {
        return Ok(name);
    }
    Err(CtlError::Usage(format!(
        "NAME: {name:?} is not accepted; accepted: 1 to {MAX_NAME_CHARS} characters out of a-z, \
         0-9 and -"
    )))
}

/// A key as it is listed.
#[derive(Debug, serde::Serialize)]
struct KeyRow {
    key: String,
    team: String,
    is_withdrawn: bool,
    /// The start of the hash, to tell keys apart.
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

/// Lists keys by name.
pub(super) async fn list(context: &Context) -> Result<(), CtlError> {
    let current = context.store()?.current().await?;
    let mut keys: Vec<_> = current.catalog.keys.iter().map(KeyRow::from).collect();
    keys.sort_by(|one, other| one.key.cmp(&other.key));
    context.print(&KeyList { keys })
}

/// Prints the hash of a secret. It is read from a file or from input: arguments of a process can
/// be seen by others.
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
    super::context::write_out(format!("{}\n", hash_secret(secret)).as_bytes())
}
