//! Earlier configurations: written out, and brought back.

use {
    super::{
        apply::put_in_force,
        context::{Context, write_out},
        fault::CtlError,
    },
    clap::ArgMatches,
    std::{fs, path::PathBuf},
    trefoilring_config::declarations::render,
    trefoilring_core::catalog::Catalog,
};

/// Writes the configuration in force, or an earlier one, as declarations.
pub(super) async fn export(context: &Context, matches: &ArgMatches) -> Result<(), CtlError> {
    let store = context.store()?;
    let current = store.current().await?;
    let catalog = match version(matches)? {
        None => current.catalog,
        Some(version) if version == current.catalog.version => current.catalog,
        Some(version) => store.catalog(&store.past(version).await?).await?,
    };
    let text = render(&catalog).map_err(|error| CtlError::Failed(error.to_string()))?;
    match matches.get_one::<PathBuf>("file") {
        None => write_out(text.as_bytes()),
        Some(path) => {
            let name = path.display().to_string();
            fs::write(path, text).map_err(|error| CtlError::File { name, error })
        }
    }
}

fn version(matches: &ArgMatches) -> Result<Option<u64>, CtlError> {
    let Some(value) = matches.get_one::<String>("version") else { return Ok(None) };
    match value.parse() {
        Ok(version) if version > 0 => Ok(Some(version)),
        _ => Err(CtlError::Usage(format!(
            "--version: {value:?} is not accepted; accepted: a whole number above 0"
        ))),
    }
}

/// Applies the content of an earlier version. Versions never go back: it gets a new one. Keys that
/// were withdrawn since stay withdrawn.
pub(super) async fn rollback(context: &Context, matches: &ArgMatches) -> Result<(), CtlError> {
    let version = matches.get_one::<u64>("version").copied().unwrap_or_default();
    let store = context.store()?;
    let current = store.current().await?;
    if version == 0 || version >= current.catalog.version {
        let latest = current.catalog.version;
        let text =
            format!("VERSION: {version} is not accepted; accepted: a version below {latest}");
        return Err(CtlError::Usage(text));
    }
    let past = store.catalog(&store.past(version).await?).await?;
    let new = keep_withdrawn(past, &current.catalog);
    put_in_force(context, &store, current, new, matches.into()).await
}

/// Keeps what is withdrawn or draining now: bringing back a class's target must not bring back a
/// key that somebody lost.
fn keep_withdrawn(mut past: Catalog, now: &Catalog) -> Catalog {
    for (hash, key) in now.keys.iter().filter(|(_, key)| key.is_withdrawn) {
        past.keys.insert(hash.clone(), key.clone());
    }
    past.draining.clone_from(&now.draining);
    past
}
