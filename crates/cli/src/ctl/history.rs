//! The commands `export` and `rollback`, which read earlier configurations.

use {
    super::{
        apply::apply_catalog,
        context::{Context, write_stdout},
        error::CtlError,
    },
    clap::ArgMatches,
    std::{fs, path::PathBuf},
    trefoilring_config::declarations::render,
    trefoilring_core::catalog::Catalog,
};

/// Writes the configuration in force, or an earlier one, as declarations.
pub(super) async fn export(context: &Context, matches: &ArgMatches) -> Result<(), CtlError> {
    let store = context.store()?;
    let current = store.current_config().await?;
    let catalog = match version_arg(matches)? {
        None => current.catalog,
        Some(version) if version == current.catalog.version => current.catalog,
        Some(version) => store.catalog(&store.past_manifest(version).await?).await?,
    };
    let text = render(&catalog).map_err(|error| CtlError::Failed(error.to_string()))?;
    match matches.get_one::<PathBuf>("file") {
        None => write_stdout(text.as_bytes()),
        Some(path) => {
            let name = path.display().to_string();
            fs::write(path, text).map_err(|error| CtlError::File { name, error })
        }
    }
}

fn version_arg(matches: &ArgMatches) -> Result<Option<u64>, CtlError> {
    let Some(value) = matches.get_one::<String>("version") else { return Ok(None) };
    match value.parse() {
        Ok(version) if version > 0 => Ok(Some(version)),
        _ => Err(CtlError::Usage(format!(
            "--version: {value:?} is not accepted; accepted: a whole number above 0"
        ))),
    }
}

/// Applies the content of an earlier version as a new version, since versions only increase. Keys
/// that were withdrawn in the meantime stay withdrawn.
pub(super) async fn rollback(context: &Context, matches: &ArgMatches) -> Result<(), CtlError> {
    let version = matches.get_one::<u64>("version").copied().unwrap_or_default();
    let store = context.store()?;
    let current = store.current_config().await?;
    if version == 0 || version >= current.catalog.version {
        let latest = current.catalog.version;
        let text =
            format!("VERSION: {version} is not accepted; accepted: a version below {latest}");
        return Err(CtlError::Usage(text));
    }
    let past = store.catalog(&store.past_manifest(version).await?).await?;
    let new = with_current_withdrawals_and_drains(past, &current.catalog);
    apply_catalog(context, &store, current, new, matches.into()).await
}

/// Copies withdrawn keys and drain requests of the current catalog into the past one, so that a
/// rollback, for example of a class's target, neither makes a key valid again that was withdrawn
/// because its secret was compromised, nor changes which hosts are draining.
fn with_current_withdrawals_and_drains(mut past: Catalog, current: &Catalog) -> Catalog {
    for (hash, key) in current.keys.iter().filter(|(_, key)| key.is_withdrawn) {
        past.keys.insert(hash.clone(), key.clone());
    }
    past.draining.clone_from(&current.draining);
    past
}
