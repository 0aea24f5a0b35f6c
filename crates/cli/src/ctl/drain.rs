//! The command `drain`: stops a host gracefully. The drain request is part of the configuration, so
//! it reaches the host within seconds and needs no additional requests to the store.

use {
    super::{apply::Wait, context::Context, error::CtlError, keys::edit_config, store::Store},
    clap::ArgMatches,
    smol::Timer,
    std::{
        collections::BTreeSet,
        fmt,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::{ConfigVersion, Member},
        membership::{HostState, Roster},
    },
};

/// Interval at which the rosters are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Result of a drain request.
#[derive(Debug, serde::Serialize)]
struct DrainReport {
    host: String,
    version: ConfigVersion,
    /// Whether the host has left its roster. Always false without `--wait`.
    is_drained: bool,
}

impl fmt::Display for DrainReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = if self.is_drained { "has drained" } else { "has been asked to drain" };
        write!(f, "{} {state} (version {})", self.host, self.version)
    }
}

/// Requests that a host drain. With `--wait`, waits until it has left its roster.
pub(super) async fn drain(context: &Context, matches: &ArgMatches) -> Result<(), CtlError> {
    let host = matches.get_one::<String>("host").cloned().unwrap_or_default();
    let store = context.store()?;
    let members = members(&store.rosters().await?);
    let Some(member) = members.iter().find(|member| *member.host == *host) else {
        return Err(CtlError::Failed(format!("host {host} is not in any roster")));
    };
    context.confirm(&format!("{host} will stop accepting work and exit."))?;
    let version = edit_config(context, &store, |catalog| {
        // Drain requests for hosts that have left or restarted are complete.
        catalog.draining.retain(|host, incarnation| {
            let drained = Member { host: host.clone(), incarnation: *incarnation };
            members.contains(&drained)
        });
        catalog.draining.insert(member.host.clone(), member.incarnation);
        Ok(())
    })
    .await?;
    let is_drained = wait_until_left(&store, member, matches.into()).await?;
    context.print(&DrainReport { host, version, is_drained })
}

/// Waits until a member has left its roster. Returns false without `--wait`.
async fn wait_until_left(store: &Store, member: &Member, wait: Wait) -> Result<bool, CtlError> {
    let Some(max_wait) = wait.duration() else { return Ok(false) };
    let start = Instant::now();
    while members(&store.rosters().await?).contains(member) {
        if start.elapsed() >= max_wait {
            let (host, waited_ms) = (member.host.to_string(), max_wait.as_millis());
            return Err(CtlError::NotDrained { host, waited_ms });
        }
        Timer::after(POLL_INTERVAL).await;
    }
    Ok(true)
}

/// Returns the members that are in a roster and have not left.
fn members(rosters: &[Roster]) -> BTreeSet<Member> {
    let entries = rosters.iter().flat_map(|roster| roster.hosts.values());
    let present = entries.filter(|entry| entry.state != HostState::Left);
    present.map(|entry| entry.member.clone()).collect()
}
