//! The commands `check`, `diff` and `apply`, and the steps that all configuration changes share.

use {
    super::{
        changes::{Changes, conflict_error},
        context::{Context, Output},
        error::CtlError,
        store::{CurrentConfig, Store, SubmitOutcome},
    },
    clap::ArgMatches,
    smol::Timer,
    std::{
        fmt,
        path::PathBuf,
        time::{Duration, Instant},
    },
    trefoilring_config::declarations::Declarations,
    trefoilring_core::{catalog::Catalog, ids::ConfigVersion, membership::HostState},
};

/// Interval at which the rosters are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum time to wait for the hosts; `None` without `--wait`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wait(Option<Duration>);

impl From<&ArgMatches> for Wait {
    fn from(matches: &ArgMatches) -> Self {
        let wait_ms = matches.get_one::<u64>("wait-ms").copied().unwrap_or_default();
        Self(matches.get_flag("wait").then(|| Duration::from_millis(wait_ms)))
    }
}

impl Wait {
    /// Returns the maximum wait, or `None` if the command does not wait.
    pub fn duration(self) -> Option<Duration> {
        self.0
    }
}

/// Result of a configuration change.
#[derive(Clone, Debug, serde::Serialize)]
pub(super) struct AppliedReport {
    /// The version that contains the change.
    pub version: ConfigVersion,
    /// Id of the change; `None` if the content was already in force.
    pub change: Option<String>,
    /// The items that were changed.
    #[serde(flatten)]
    pub changes: Changes,
    /// Number of hosts that have the version in force, if the command waited for them.
    pub in_force_on: Option<usize>,
}

impl fmt::Display for AppliedReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.changes)?;
        match &self.change {
            Some(change) => write!(f, "version {} accepted ({change})", self.version)?,
            None => write!(f, "version {} already has this content", self.version)?,
        }
        match self.in_force_on {
            Some(hosts) => write!(f, ", in force on {hosts} hosts"),
            None => Ok(()),
        }
    }
}

/// Validates a file. Opens no connection.
pub(super) fn check(context: &Context, matches: &ArgMatches) -> Result<(), CtlError> {
    let declarations = Declarations::read(file_arg(matches))?;
    context.print(&Summary::from(declarations.catalog()))
}

/// Prints what applying a file would change. Returns whether there are differences.
pub(super) async fn diff(context: &Context, matches: &ArgMatches) -> Result<bool, CtlError> {
    let declarations = Declarations::read(file_arg(matches))?;
    let current = context.store()?.current_config().await?;
    let new = catalog_with_drains(declarations, &current);
    let changes = Changes::between(&current.catalog, &new);
    context.print(&changes)?;
    Ok(!changes.is_empty())
}

/// Applies the declarations of a file.
pub(super) async fn apply(context: &Context, matches: &ArgMatches) -> Result<(), CtlError> {
    let declarations = Declarations::read(file_arg(matches))?;
    let store = context.store()?;
    let current = store.current_config().await?;
    let version = current.catalog.version;
    if let Some(expected) = matches.get_one::<u64>("if-version").filter(|v| **v != version) {
        let text = format!("version {version} is in force, not {expected}; nothing was changed");
        return Err(CtlError::Conflict(text));
    }
    let new = catalog_with_drains(declarations, &current);
    apply_catalog(context, &store, current, new, matches.into()).await
}

/// Returns the declared catalog with the current drain requests, which are not part of
/// declarations.
fn catalog_with_drains(declarations: Declarations, current: &CurrentConfig) -> Catalog {
    let draining = current.catalog.draining.clone();
    Catalog { draining, ..declarations.into_catalog(current.catalog.version) }
}

/// Applies a change and waits for the hosts. Asks for confirmation first if the change removes
/// items or withdraws keys.
pub(super) async fn apply_catalog(
    context: &Context,
    store: &Store,
    current: CurrentConfig,
    new: Catalog,
    wait: Wait,
) -> Result<(), CtlError> {
    let changes = Changes::between(&current.catalog, &new);
    if changes.destructive_count() > 0 {
        eprint!("{changes}");
        let question = format!("{} items will stop working.", changes.destructive_count());
        context.confirm(&question)?;
    }
    let (version, change) = match changes.is_empty() && current.manifest.is_some() {
        true => (current.catalog.version, None),
        false => {
            let change = context.new_change_id();
            let version = submit(store, &current, &new, &change).await?;
            (version, Some(change))
        }
    };
    let in_force_on = wait_for_hosts(context, store, version, wait).await?;
    context.print(&AppliedReport { version, change, changes, in_force_on })
}

/// Replaces the configuration `current` with `new`, unless another change has replaced `current`.
/// In that case, the error lists what each side changed.
async fn submit(
    store: &Store,
    current: &CurrentConfig,
    new: &Catalog,
    change: &str,
) -> Result<ConfigVersion, CtlError> {
    match store.apply(current, new, change).await? {
        SubmitOutcome::Accepted(version) => Ok(version),
        SubmitOutcome::Conflict { change: accepted_change, .. } => {
            let theirs = store.current_config().await?;
            Err(conflict_error(current, new, &theirs, &accepted_change))
        }
    }
}

/// Waits until every host that has not left reports a version in force. Returns their number, or
/// `None` without `--wait`.
pub(super) async fn wait_for_hosts(
    context: &Context,
    store: &Store,
    version: ConfigVersion,
    Wait(max_wait): Wait,
) -> Result<Option<usize>, CtlError> {
    let Some(max_wait) = max_wait else { return Ok(None) };
    let start = Instant::now();
    let mut shown = None;
    loop {
        let (up_to_date, behind) = hosts_by_version(store, version).await?;
        let (done, all) = (up_to_date.len(), up_to_date.len() + behind.len());
        if context.output == Output::Text && shown != Some((done, all)) {
            eprintln!("version {version} is in force on {done} of {all} hosts");
            shown = Some((done, all));
        }
        if behind.is_empty() {
            return Ok(Some(done));
        }
        if start.elapsed() >= max_wait {
            let waited_ms = max_wait.as_millis();
            return Err(CtlError::NotInForce { version, waited_ms, hosts: behind });
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Returns the hosts that have a version in force, and those that do not.
async fn hosts_by_version(
    store: &Store,
    version: ConfigVersion,
) -> Result<(Vec<String>, Vec<String>), CtlError> {
    let rosters = store.rosters().await?;
    let entries = rosters.iter().flat_map(|roster| roster.hosts.values());
    let present = entries.filter(|entry| entry.state != HostState::Left);
    let (up_to_date, behind): (Vec<_>, Vec<_>) = present.partition(|entry| entry.config >= version);
    let names = |entries: Vec<&trefoilring_core::membership::HostEntry>| {
        entries.iter().map(|entry| entry.member.host.to_string()).collect()
    };
    Ok((names(up_to_date), names(behind)))
}

/// Returns the value of FILE.
pub(super) fn file_arg(matches: &ArgMatches) -> &PathBuf {
    // The parser rejects a command line without this required argument.
    matches.get_one::<PathBuf>("file").unwrap_or_else(|| unreachable!("FILE is required"))
}

/// Number of declared items by kind.
#[derive(Debug, serde::Serialize)]
struct Summary {
    classes: usize,
    teams: usize,
    keys: usize,
    withdrawn_keys: usize,
    services: usize,
}

impl From<&Catalog> for Summary {
    fn from(catalog: &Catalog) -> Self {
        Self {
            classes: catalog.classes.len(),
            teams: catalog.teams.len(),
            keys: catalog.keys.len(),
            withdrawn_keys: catalog.keys.values().filter(|key| key.is_withdrawn).count(),
            services: catalog.services.len(),
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { classes, teams, keys, withdrawn_keys, services } = self;
        write!(
            f,
            "accepted: {classes} classes, {teams} teams, {keys} keys ({withdrawn_keys} withdrawn), \
             {services} services"
        )
    }
}
