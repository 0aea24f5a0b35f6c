//! Commands that put a configuration in force.

use {
    super::{
        changes::{Changes, lost_race},
        context::{Context, Output},
        fault::CtlError,
        store::{Applied, Current, Store},
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

/// Time between two looks at the rosters.
const WAIT_STEP: Duration = Duration::from_millis(200);

/// Whether to wait for the hosts, and how long.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wait(Option<Duration>);

impl From<&ArgMatches> for Wait {
    fn from(matches: &ArgMatches) -> Self {
        let wait_ms = matches.get_one::<u64>("wait-ms").copied().unwrap_or_default();
        Self(matches.get_flag("wait").then(|| Duration::from_millis(wait_ms)))
    }
}

impl Wait {
    /// Returns how long to wait, if at all.
    pub fn duration(self) -> Option<Duration> {
        self.0
    }
}

/// What a change came to.
#[derive(Clone, Debug, serde::Serialize)]
pub(super) struct AppliedReport {
    /// The version that holds the change.
    pub version: ConfigVersion,
    /// Names the change; none if nothing had to be changed.
    pub change: Option<String>,
    /// What was changed.
    #[serde(flatten)]
    pub changes: Changes,
    /// Hosts that have it in force, if the command waited for them.
    pub in_force_on: Option<usize>,
}

impl fmt::Display for AppliedReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.changes)?;
        match &self.change {
            Some(change) => write!(f, "version {} accepted ({change})", self.version)?,
            None => write!(f, "version {} has this content already", self.version)?,
        }
        match self.in_force_on {
            Some(hosts) => write!(f, ", in force on {hosts} hosts"),
            None => Ok(()),
        }
    }
}

/// Checks a file without any connection.
pub(super) fn check(context: &Context, matches: &ArgMatches) -> Result<(), CtlError> {
    let declarations = Declarations::read(file(matches))?;
    context.print(&Summary::from(declarations.content()))
}

/// Shows what applying a file would change; returns whether that is anything.
pub(super) async fn diff(context: &Context, matches: &ArgMatches) -> Result<bool, CtlError> {
    let declarations = Declarations::read(file(matches))?;
    let current = context.store()?.current().await?;
    let new = declared(declarations, &current);
    let changes = Changes::between(&current.catalog, &new);
    context.print(&changes)?;
    Ok(!changes.is_empty())
}

/// Puts a file in force.
pub(super) async fn apply(context: &Context, matches: &ArgMatches) -> Result<(), CtlError> {
    let declarations = Declarations::read(file(matches))?;
    let store = context.store()?;
    let current = store.current().await?;
    let version = current.catalog.version;
    if let Some(wanted) = matches.get_one::<u64>("if-version").filter(|v| **v != version) {
        let text = format!("version {version} is in force, not {wanted}; nothing was changed");
        return Err(CtlError::Conflict(text));
    }
    let new = declared(declarations, &current);
    put_in_force(context, &store, current, new, matches.into()).await
}

/// Returns what a document declares, with what operators asked for beside declarations.
fn declared(declarations: Declarations, current: &Current) -> Catalog {
    let draining = current.catalog.draining.clone();
    Catalog { draining, ..declarations.into_catalog(current.catalog.version) }
}

/// Shows a change, asks if it takes something away, makes it and waits for the hosts.
pub(super) async fn put_in_force(
    context: &Context,
    store: &Store,
    current: Current,
    new: Catalog,
    wait: Wait,
) -> Result<(), CtlError> {
    let changes = Changes::between(&current.catalog, &new);
    if changes.losses() > 0 {
        eprint!("{changes}");
        let question = format!("{} items stop working.", changes.losses());
        context.confirm(&question)?;
    }
    let (version, change) = match changes.is_empty() && current.manifest.is_some() {
        true => (current.catalog.version, None),
        false => {
            let change = context.new_change();
            let version = accept(store, &current, &new, &change).await?;
            (version, Some(change))
        }
    };
    let in_force_on = wait_for_hosts(context, store, version, wait).await?;
    context.print(&AppliedReport { version, change, changes, in_force_on })
}

/// Makes a change on what was read, and explains a lost race.
async fn accept(
    store: &Store,
    current: &Current,
    new: &Catalog,
    change: &str,
) -> Result<ConfigVersion, CtlError> {
    match store.apply(current, new, change).await? {
        Applied::Accepted(version) => Ok(version),
        Applied::Conflict { change: winner, .. } => {
            let theirs = store.current().await?;
            Err(lost_race(current, new, &theirs, &winner))
        }
    }
}

/// Waits until every live host says that it has a version in force. Returns their number, or
/// `None` without a wish to wait.
pub(super) async fn wait_for_hosts(
    context: &Context,
    store: &Store,
    version: ConfigVersion,
    Wait(wait): Wait,
) -> Result<Option<usize>, CtlError> {
    let Some(wait) = wait else { return Ok(None) };
    let start = Instant::now();
    let mut shown = None;
    loop {
        let (with, without) = hosts_with(store, version).await?;
        let (done, all) = (with.len(), with.len() + without.len());
        if context.output == Output::Text && shown != Some((done, all)) {
            eprintln!("version {version} is in force on {done} of {all} hosts");
            shown = Some((done, all));
        }
        if without.is_empty() {
            return Ok(Some(done));
        }
        if start.elapsed() >= wait {
            let waited_ms = wait.as_millis();
            return Err(CtlError::NotInForce { version, waited_ms, hosts: without });
        }
        Timer::after(WAIT_STEP).await;
    }
}

/// Returns which hosts have a version in force, and which have not.
async fn hosts_with(
    store: &Store,
    version: ConfigVersion,
) -> Result<(Vec<String>, Vec<String>), CtlError> {
    let rosters = store.rosters().await?;
    let entries = rosters.iter().flat_map(|roster| roster.hosts.values());
    let serving = entries.filter(|entry| entry.state != HostState::Left);
    let (with, without): (Vec<_>, Vec<_>) = serving.partition(|entry| entry.config >= version);
    let names = |entries: Vec<&trefoilring_core::membership::HostEntry>| {
        entries.iter().map(|entry| entry.member.host.to_string()).collect()
    };
    Ok((names(with), names(without)))
}

pub(super) fn file(matches: &ArgMatches) -> &PathBuf {
    // The argument is required, so that the parser has refused a command line without it.
    matches.get_one::<PathBuf>("file").unwrap_or_else(|| unreachable!("FILE is required"))
}

/// What a document declares.
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
