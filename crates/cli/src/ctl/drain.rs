//! Stops a host gracefully. The wish travels with the configuration, so that it reaches the host
//! within seconds and costs the store no calls of its own.

use {
    super::{apply::Wait, context::Context, fault::CtlError, keys::change, store::Store},
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

/// Time between two looks at the rosters.
const WAIT_STEP: Duration = Duration::from_millis(200);

/// What a drain came to.
#[derive(Debug, serde::Serialize)]
struct DrainReport {
    host: String,
    version: ConfigVersion,
    /// Whether the host is known to have ended.
    is_drained: bool,
}

impl fmt::Display for DrainReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = if self.is_drained { "has drained" } else { "was told to drain" };
        write!(f, "{} {state} (version {})", self.host, self.version)
    }
}

/// Tells a host to drain, and waits for its end if asked to.
pub(super) async fn drain(context: &Context, matches: &ArgMatches) -> Result<(), CtlError> {
    let host = matches.get_one::<String>("host").cloned().unwrap_or_default();
    let store = context.store()?;
    let members = members(&store.rosters().await?);
    let Some(member) = members.iter().find(|member| *member.host == *host) else {
        return Err(CtlError::Failed(format!("no host {host} is in a roster")));
    };
    context.confirm(&format!("{host} stops taking work and ends."))?;
    let version = change(context, &store, |catalog| {
        // What was asked of hosts that are gone, or were started again, is done.
        catalog.draining.retain(|host, incarnation| {
            let asked = Member { host: host.clone(), incarnation: *incarnation };
            members.contains(&asked)
        });
        catalog.draining.insert(member.host.clone(), member.incarnation);
        Ok(())
    })
    .await?;
    let is_drained = wait_for_end(&store, member, matches.into()).await?;
    context.print(&DrainReport { host, version, is_drained })
}

/// Waits until a member has left its roster; returns whether it did.
async fn wait_for_end(store: &Store, member: &Member, wait: Wait) -> Result<bool, CtlError> {
    let Some(wait) = wait.duration() else { return Ok(false) };
    let start = Instant::now();
    while members(&store.rosters().await?).contains(member) {
        if start.elapsed() >= wait {
            let (host, waited_ms) = (member.host.to_string(), wait.as_millis());
            return Err(CtlError::NotDrained { host, waited_ms });
        }
        Timer::after(WAIT_STEP).await;
    }
    Ok(true)
}

/// Returns who is in the rosters and has not ended.
fn members(rosters: &[Roster]) -> BTreeSet<Member> {
    let entries = rosters.iter().flat_map(|roster| roster.hosts.values());
    let here = entries.filter(|entry| entry.state != HostState::Left);
    here.map(|entry| entry.member.clone()).collect()
}
