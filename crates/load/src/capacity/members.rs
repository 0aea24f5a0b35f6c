//! Cost of membership: heartbeats, delegates and rosters.

use {
    super::{
        CapacityError,
        cluster::{Cluster, HostUsage},
        design_size,
        figure::{FigureKind, Figures, memory_per_item},
    },
    error_stack::Report,
    std::{hint::black_box, time::Duration},
    trefoilring_core::membership::RoleKey,
};

/// Hosts and failure domains of the measured clusters. The last one has the design size.
pub const CLUSTERS: [(usize, usize); 4] = [(9, 3), (50, 11), (150, 11), (350, 11)];
/// Virtual seconds until all hosts see each other as live.
const SETTLE_S: usize = 30;
/// Number of virtual seconds without events that are measured one by one.
const STEADY_S: usize = 9;
/// Virtual seconds after which an event has reached all hosts.
const EVENT_PROPAGATION_S: usize = 20;

/// Maximum time for a manifest to reach all hosts. The measurement fails if it takes longer.
const MANIFEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Measures the memory of one host's membership state machine in a cluster of `hosts` hosts.
pub fn memory(hosts: usize) -> Result<f64, Report<CapacityError>> {
    memory_per_item(hosts, || settled_cluster(hosts, design_size::DOMAINS))
}

fn settled_cluster(hosts: usize, domains: usize) -> Result<Cluster, Report<CapacityError>> {
    let mut cluster = Cluster::new(hosts, domains);
    cluster.run(SETTLE_S)?;
    cluster.check_converged()?;
    Ok(cluster)
}

/// Measures clusters of all sizes.
pub fn measure(figures: &mut Figures) -> Result<(), Report<CapacityError>> {
    let mut last = None;
    for (hosts, domains) in CLUSTERS {
        let mut cluster = settled_cluster(hosts, domains)?;
        measure_steady_state(figures, &mut cluster, hosts)?;
        last = Some(cluster);
    }
    let mut cluster = last.ok_or_else(|| Report::new(CapacityError))?;
    measure_events(figures, &mut cluster)?;
    measure_role_lookups(figures, &cluster)
}

/// Returns the mean of a value over the delegates and over the followers.
fn delegate_and_follower_means(
    cluster: &Cluster,
    all: &[HostUsage],
    value: impl Fn(&HostUsage) -> f64,
) -> [f64; 2] {
    [true, false].map(|is_delegate| {
        let values: Vec<f64> = all
            .iter()
            .enumerate()
            .filter(|(number, _)| cluster.membership(*number).is_delegate() == is_delegate)
            .map(|(_, usage)| value(usage))
            .collect();
        values.iter().sum::<f64>() / values.len().max(1) as f64
    })
}

fn measure_steady_state(
    figures: &mut Figures,
    cluster: &mut Cluster,
    hosts: usize,
) -> Result<(), Report<CapacityError>> {
    let mut handling_us = [Vec::new(), Vec::new()];
    let mut total = vec![HostUsage::default(); hosts];
    for _ in 0..STEADY_S {
        let usage_in_one_second = cluster.run(1)?;
        let [delegate, follower] =
            delegate_and_follower_means(cluster, &usage_in_one_second, |usage| {
                usage.handling_time.as_secs_f64() * 1e6
            });
        handling_us[0].push(delegate);
        handling_us[1].push(follower);
        for (sum, added) in total.iter_mut().zip(&usage_in_one_second) {
            add_usage(sum, added);
        }
    }
    let [delegate_us, follower_us] = handling_us;
    let time = |figures: &mut Figures, role: &str, samples| {
        let description =
            format!("time spent in a {role}'s state machine in a second without events");
        figures.add(
            FigureKind::Time,
            format!("member.{role}.us.{hosts}"),
            "us",
            description,
            samples,
        );
    };
    time(figures, "delegate", delegate_us);
    time(figures, "follower", follower_us);
    let per_s = |value: &dyn Fn(&HostUsage) -> f64| {
        delegate_and_follower_means(cluster, &total, value).map(|mean| mean / STEADY_S as f64)
    };
    let [delegate, follower] = per_s(&|usage| usage.peer_bytes);
    let mut count = |name: &str, unit, description, value| {
        figures.add_constant(format!("member.{name}.{hosts}"), unit, description, value);
    };
    count("follower.bytes", "B/s", "follower: bytes to and from its delegate", follower);
    count("delegate.bytes", "B/s", "delegate: bytes to and from its followers", delegate);
    let [delegate, follower] = per_s(&|usage| usage.peer_messages);
    count("follower.messages", "1/s", "follower: messages, responses included", follower);
    count("delegate.messages", "1/s", "delegate: messages, responses included", delegate);
    let store = per_s(&|usage| usage.store_bytes)[0];
    count("delegate.store", "B/s", "delegate: bytes of values to and from the store", store);
    let reads = per_s(&|usage| usage.reads + usage.lists)[0];
    count("delegate.reads", "1/s", "delegate: store reads and lists", reads);
    let writes = per_s(&|usage| usage.writes)[0];
    count("delegate.writes", "1/s", "delegate: store writes", writes);
    count("roster", "B", "the largest roster as stored", cluster.roster_bytes());
    Ok(())
}

fn add_usage(sum: &mut HostUsage, added: &HostUsage) {
    sum.peer_bytes += added.peer_bytes;
    sum.peer_messages += added.peer_messages;
    sum.store_bytes += added.store_bytes;
    sum.reads += added.reads;
    sum.lists += added.lists;
    sum.writes += added.writes;
}

/// Measures the traffic that a configuration change and a restart add to the traffic without
/// events.
fn measure_events(
    figures: &mut Figures,
    cluster: &mut Cluster,
) -> Result<(), Report<CapacityError>> {
    let baseline = cluster.run(EVENT_PROPAGATION_S)?;
    let baseline = delegate_and_follower_means(cluster, &baseline, HostUsage::bytes);
    // The memberships were created with version 1.
    for membership in cluster.memberships() {
        membership.set_config(2);
    }
    let changed = cluster.run(EVENT_PROPAGATION_S)?;
    let changed = delegate_and_follower_means(cluster, &changed, HostUsage::bytes);
    let description =
        "bytes that a configuration change adds, because every host announces its version";
    figures.add_constant("member.change.follower", "B", description, changed[1] - baseline[1]);
    figures.add_constant("member.change.delegate", "B", description, changed[0] - baseline[0]);
    // All hosts tick at the same times here, so the result depends on the phase of the change
    // within a heartbeat. Ten changes show the range.
    const PHASES: usize = 10;
    let mut times = Vec::with_capacity(PHASES);
    for _ in 0..PHASES {
        times.push(cluster.write_manifest_and_wait(MANIFEST_TIMEOUT)?.as_secs_f64());
    }
    let description =
        "time until all 350 hosts have seen a manifest's version, virtual time, no loss";
    figures.add(FigureKind::Counted, "member.change.seen", "s", description, times);
    let last = design_size::HOSTS as usize - 1;
    let restarted = cluster.restart(last, design_size::DOMAINS, EVENT_PROPAGATION_S)?;
    cluster.check_converged()?;
    let restarted = delegate_and_follower_means(cluster, &restarted, HostUsage::bytes);
    // The restart covers two periods of `EVENT_PROPAGATION_S`, the baseline one.
    let description = "bytes that a planned restart of one host adds to another";
    figures.add_constant(
        "member.restart.follower",
        "B",
        description,
        restarted[1] - 2.0 * baseline[1],
    );
    figures.add_constant(
        "member.restart.delegate",
        "B",
        description,
        restarted[0] - 2.0 * baseline[0],
    );
    Ok(())
}

/// Measures the lookup of a role's holder among 350 hosts.
fn measure_role_lookups(
    figures: &mut Figures,
    cluster: &Cluster,
) -> Result<(), Report<CapacityError>> {
    const LOOKUPS: u64 = 100;
    let membership = cluster.membership(0);
    let now = cluster.now();
    let team = |number: u64| format!("team-{number:05}").into();
    figures.measure_cpu_time(
        "role.limiter",
        "find the limiter of a team's half among 350 hosts",
        || {
            for number in 0..LOOKUPS {
                black_box(membership.limiter_of(&team(number), 0));
            }
            Ok(LOOKUPS)
        },
    )?;
    figures.measure_cpu_time(
        "role.standing",
        "look up the host's own standing as a limiter among 350 hosts",
        || {
            for number in 0..LOOKUPS {
                black_box(membership.standing(&RoleKey::limiter(&team(number), 0), now));
            }
            Ok(LOOKUPS)
        },
    )?;
    figures.measure_cpu_time(
        "role.dispatcher",
        "find the dispatcher of a pool among 350 hosts",
        || {
            for number in 0..LOOKUPS {
                black_box(membership.dispatcher_of(&format!("model-{number:02}")));
            }
            Ok(LOOKUPS)
        },
    )
}
