//! Resource use of each role at the design size, computed from the figures.

use {
    super::{CapacityError, design_size, figure::Figures, home::BACKUP_BYTES_MAX},
    error_stack::Report,
};

/// Interval between polls of an engine, in seconds, as `POLL_EVERY` in `host::control::dispatch`.
const POLL_INTERVAL_S: f64 = 0.5;
/// Entries per second that all journals write together, as `SITE_WRITES_PER_S` in
/// `host::control::journals`.
const SITE_WRITES_PER_S: f64 = 250.0;
/// Messages per call between hosts: a request and a response.
const MESSAGES_PER_CALL: f64 = 2.0;
/// Microseconds per second.
const US_PER_S: f64 = 1e6;

/// Resource use of one holder of a role.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Role {
    /// Name of the role.
    pub role: &'static str,
    /// Number of hosts that hold the role.
    pub holders: f64,
    /// State that a holder stores.
    pub state: String,
    /// Messages per second, including responses.
    pub messages_per_s: f64,
    /// Processor use as a fraction of a core.
    pub cpu: f64,
    /// Memory in bytes.
    pub memory_bytes: f64,
    /// Reads and lists per second at the store.
    pub reads_per_s: f64,
    /// Writes and deletes per second at the store.
    pub writes_per_s: f64,
    /// Bytes per second exchanged with other hosts, the store and upstreams.
    pub bytes_per_s: f64,
    /// Mechanism that bounds the resource use.
    pub mechanism: &'static str,
}

/// A total and its limit.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Total {
    /// Subject of the total.
    pub what: &'static str,
    /// Unit of `value` and `limit`.
    pub unit: &'static str,
    /// Value of the total.
    pub value: f64,
    /// Maximum allowed value.
    pub limit: f64,
}

/// Returns the resource use of one holder of each role. Roles whose name begins with `data:` carry
/// callers' content and are excluded from a host's totals.
pub fn roles(figures: &Figures) -> Result<Vec<Role>, Report<CapacityError>> {
    Ok(vec![
        process(figures)?,
        follower(figures)?,
        configuration(figures)?,
        host_list(figures)?,
        delegate(figures)?,
        home(figures)?,
        limiter(figures)?,
        dispatcher(figures)?,
        backup(figures)?,
        programs(figures)?,
        tokens_and_turns(figures)?,
    ])
}

fn process(figures: &Figures) -> Result<Role, Report<CapacityError>> {
    let get = |id: &str| figures.get(id);
    Ok(Role {
        role: "process",
        holders: design_size::HOSTS,
        state: format!("{} own threads, listeners, logs", get("process.threads")?),
        cpu: (get("process.control.30")? + get("process.traffic.30")?) / US_PER_S,
        memory_bytes: get("process.alone")?,
        mechanism: "one control thread, traffic threads, timers no finer than a tenth of a heartbeat",
        ..Role::default()
    })
}

fn follower(figures: &Figures) -> Result<Role, Report<CapacityError>> {
    let get = |id: &str| figures.get(id);
    let restarts_per_s = design_size::RESTARTS_PER_S + design_size::FAILURES_PER_S;
    Ok(Role {
        role: "follower",
        holders: design_size::HOSTS - design_size::DOMAINS as f64,
        state: "the view of all hosts and their journals".into(),
        messages_per_s: get("member.follower.messages.350")?,
        cpu: get("member.follower.us.350")? / US_PER_S,
        memory_bytes: get("member.memory.350")?,
        bytes_per_s: get("member.follower.bytes.350")?
            + get("member.change.follower")? * design_size::CHANGES_PER_S
            + get("member.restart.follower")? * restarts_per_s,
        mechanism: "one heartbeat a second to the delegate of the domain; responses contain only \
                    changes of the view",
        ..Role::default()
    })
}

fn delegate(figures: &Figures) -> Result<Role, Report<CapacityError>> {
    let get = |id: &str| figures.get(id);
    let restarts_per_s = design_size::RESTARTS_PER_S + design_size::FAILURES_PER_S;
    let (reads, writes) = (get("member.delegate.reads.350")?, get("member.delegate.writes.350")?);
    let config_bytes_per_s =
        get("config.change.bytes")? * design_size::CHANGES_PER_S * design_size::HOSTS_PER_DOMAIN;
    Ok(Role {
        role: "delegate",
        holders: design_size::DOMAINS as f64,
        state: "the domain's roster, the other rosters, the last heartbeats".into(),
        messages_per_s: get("member.delegate.messages.350")? + MESSAGES_PER_CALL * (reads + writes),
        cpu: (get("member.delegate.us.350")? + get("store.call.cpu")? * (reads + writes))
            / US_PER_S,
        memory_bytes: 0.0,
        reads_per_s: reads,
        writes_per_s: writes,
        bytes_per_s: get("member.delegate.bytes.350")?
            + get("member.delegate.store.350")?
            + get("store.call.bytes")? * (reads + writes)
            + get("member.change.delegate")? * design_size::CHANGES_PER_S
            + get("member.restart.delegate")? * restarts_per_s
            + config_bytes_per_s,
        mechanism: "store calls grow with failure domains, not with hosts; rosters by conditional \
                    update",
    })
}

fn configuration(figures: &Figures) -> Result<Role, Report<CapacityError>> {
    let get = |id: &str| figures.get(id);
    let fetches = 1.0 + get("config.change.shards")?;
    Ok(Role {
        role: "configuration",
        holders: design_size::HOSTS,
        state: format!(
            "{} teams with a key each, {} shards",
            design_size::TEAMS,
            get("config.shards")?
        ),
        messages_per_s: MESSAGES_PER_CALL * fetches * design_size::CHANGES_PER_S,
        cpu: get("config.change")? * design_size::CHANGES_PER_S / US_PER_S,
        // The previous catalog stays in memory while a change is applied.
        memory_bytes: 2.0 * get(&format!("config.memory.{}", design_size::TEAMS))?,
        bytes_per_s: get("config.change.bytes")? * design_size::CHANGES_PER_S,
        mechanism: "content-addressed shards and a manifest, fetched from the delegate, not from \
                    the store; heartbeats announce the manifest's version",
        ..Role::default()
    })
}

fn host_list(figures: &Figures) -> Result<Role, Report<CapacityError>> {
    let get = |id: &str| figures.get(id);
    Ok(Role {
        role: "host list",
        holders: design_size::HOSTS,
        state: format!("{} upstreams", design_size::WORKERS),
        messages_per_s: MESSAGES_PER_CALL,
        cpu: get("hostlist.cpu.600")? / US_PER_S,
        bytes_per_s: get("hostlist.bytes.600")?,
        mechanism: "every host reads the complete list once a second",
        ..Role::default()
    })
}

fn home(figures: &Figures) -> Result<Role, Report<CapacityError>> {
    let get = |id: &str| figures.get(id);
    let bytes_per_request = get("limiter.take.bytes")?
        + get("dispatch.acquire.bytes")?
        + get("dispatch.release.bytes")?;
    let writes = SITE_WRITES_PER_S / design_size::HOSTS;
    Ok(Role {
        role: "home",
        holders: design_size::HOSTS,
        state: format!("order, budget and steps of {} programs", design_size::PROGRAMS_PER_HOST),
        // Three calls per request: take a token, acquire a slot and release it.
        messages_per_s: 3.0 * MESSAGES_PER_CALL * design_size::REQUESTS_PER_S_PER_HOST,
        // The processor time of a turn varies the most between runs, so the highest repetition is
        // used.
        cpu: (figures.highest("turn.control.relayed")?
            + get("journal.append")?
            + get("journal.encode")?)
            * design_size::REQUESTS_PER_S_PER_HOST
            / US_PER_S,
        memory_bytes: get("home.program.empty")? * design_size::PROGRAMS_PER_HOST,
        // An entry is written once and deleted once.
        writes_per_s: 2.0 * writes,
        bytes_per_s: bytes_per_request * design_size::REQUESTS_PER_S_PER_HOST,
        mechanism: "a program's home is the host that creates it; group commit at a rate \
                    shared by all hosts; an entry is deleted once",
        ..Role::default()
    })
}

fn limiter(figures: &Figures) -> Result<Role, Report<CapacityError>> {
    let get = |id: &str| figures.get(id);
    let take_us = get("role.limiter")? + get("role.standing")? + get("limiter.take")?;
    // Buckets are swept every 5 s.
    let sweeps_us = get("limiter.sweep")? * design_size::HALVES_PER_HOST / 5.0;
    Ok(Role {
        role: "limiter",
        holders: design_size::HOSTS,
        state: format!("at most {:.0} half allowances", design_size::HALVES_PER_HOST),
        messages_per_s: MESSAGES_PER_CALL * design_size::REQUESTS_PER_S_PER_HOST,
        cpu: (take_us * design_size::REQUESTS_PER_S_PER_HOST + sweeps_us) / US_PER_S,
        memory_bytes: get("limiter.bucket")? * design_size::HALVES_PER_HOST,
        bytes_per_s: get("limiter.take.bytes")? * design_size::REQUESTS_PER_S_PER_HOST,
        mechanism: "two halves per team, placed on hosts by rendezvous hashing; full buckets are \
                    dropped; one message per request",
        ..Role::default()
    })
}

fn dispatcher(figures: &Figures) -> Result<Role, Report<CapacityError>> {
    let get = |id: &str| figures.get(id);
    let polls_per_s = design_size::WORKERS_PER_POOL / POLL_INTERVAL_S;
    let bytes_per_request = get("dispatch.acquire.bytes")? + get("dispatch.release.bytes")?;
    let cycle_us = get("dispatch.cycle.queue.200")?;
    Ok(Role {
        role: "dispatcher",
        holders: design_size::MODELS as f64,
        state: format!(
            "queue, slots, {:.0} upstreams, {:.0} programs in the cache map",
            design_size::WORKERS_PER_POOL,
            design_size::PROGRAMS_PER_POOL
        ),
        // Two calls per request (acquire, release) and per poll (load, cache events).
        messages_per_s: 2.0 * MESSAGES_PER_CALL * design_size::REQUESTS_PER_S_PER_POOL
            + 2.0 * MESSAGES_PER_CALL * polls_per_s,
        cpu: (cycle_us * design_size::REQUESTS_PER_S_PER_POOL
            + (get("poll.cpu")? + get("dispatch.report")?) * polls_per_s
            + get("dispatch.catalog")? * design_size::CHANGES_PER_S)
            / US_PER_S,
        memory_bytes: get("dispatch.memory")?
            + get("dispatch.program")? * design_size::PROGRAMS_PER_POOL,
        bytes_per_s: bytes_per_request * design_size::REQUESTS_PER_S_PER_POOL
            + get("poll.bytes")? * polls_per_s,
        mechanism: "one dispatcher per pool, placed by rendezvous hashing; soft state; only the \
                    dispatcher polls the engines",
        ..Role::default()
    })
}

fn backup(figures: &Figures) -> Result<Role, Report<CapacityError>> {
    // Each host is the backup of two journals.
    let copies_per_s = 2.0 * design_size::REQUESTS_PER_S_PER_HOST;
    Ok(Role {
        role: "backup, store down",
        holders: design_size::HOSTS,
        state: "copies of entries of two journals that are not yet stored".into(),
        messages_per_s: MESSAGES_PER_CALL * copies_per_s,
        cpu: figures.get("backup.copy")? * copies_per_s / US_PER_S,
        memory_bytes: BACKUP_BYTES_MAX,
        bytes_per_s: figures.get("backup.copy.bytes")? * copies_per_s,
        mechanism: "two backups per journal in other failure domains; no copies while the store is \
                    available; bounded memory",
        ..Role::default()
    })
}

fn programs(figures: &Figures) -> Result<Role, Report<CapacityError>> {
    Ok(Role {
        role: "data: programs",
        holders: design_size::HOSTS,
        state: format!("histories and responses of {} programs", design_size::PROGRAMS_PER_HOST),
        memory_bytes: figures.get("home.program")? * design_size::PROGRAMS_PER_HOST,
        writes_per_s: 0.0,
        bytes_per_s: figures.get("journal.record")? * design_size::REQUESTS_PER_S_PER_HOST,
        mechanism: "histories at the home, each record once in the journal",
        ..Role::default()
    })
}

fn tokens_and_turns(figures: &Figures) -> Result<Role, Report<CapacityError>> {
    let get = |id: &str| figures.get(id);
    Ok(Role {
        role: "data: tokens and turns",
        holders: design_size::HOSTS,
        state: format!("{:.0} tokens a second", design_size::TOKENS_PER_S_PER_HOST),
        messages_per_s: MESSAGES_PER_CALL * design_size::TOKENS_PER_S_PER_HOST,
        cpu: (get("token.traffic.relayed")? * design_size::TOKENS_PER_S_PER_HOST
            + get("turn.traffic.relayed")? * design_size::REQUESTS_PER_S_PER_HOST)
            / US_PER_S,
        bytes_per_s: get("token.bytes")? * design_size::TOKENS_PER_S_PER_HOST,
        mechanism: "one message per batch of chunks; a slow reader gets larger batches",
        ..Role::default()
    })
}

/// Returns the totals with the limits of a node and of the store.
pub fn totals(figures: &Figures, roles: &[Role]) -> Result<Vec<Total>, Report<CapacityError>> {
    let sum = |names: &[&str], value: fn(&Role) -> f64| -> f64 {
        roles.iter().filter(|role| names.contains(&role.role)).map(value).sum()
    };
    let idle_roles = ["process", "follower", "configuration", "host list"];
    let peak_roles = [&idle_roles[..], &["home", "limiter"]].concat();
    let delegate = [&peak_roles[..], &["delegate"]].concat();
    let dispatcher = [&peak_roles[..], &["dispatcher"]].concat();
    let mut totals = Vec::new();
    let host_kinds: [(&'static str, &[&str]); 4] = [
        ("any host, idle", &idle_roles),
        ("any host, peak", &peak_roles),
        ("a delegate, peak", &delegate),
        ("a dispatcher, peak", &dispatcher),
    ];
    for (what, names) in host_kinds {
        let cpu = sum(names, |role| role.cpu) * 100.0;
        let memory = sum(names, |role| role.memory_bytes) / 1e6;
        let bytes = sum(names, |role| role.bytes_per_s) / 1e3;
        totals.push(Total {
            what,
            unit: "% of a core",
            value: cpu,
            limit: design_size::CPU_SHARE_MAX * 1e2,
        });
        totals.push(Total {
            what,
            unit: "MB",
            value: memory,
            limit: design_size::MEMORY_BYTES_MAX / 1e6,
        });
        totals.push(Total {
            what,
            unit: "KB/s",
            value: bytes,
            limit: design_size::BYTES_PER_S_MAX / 1e3,
        });
    }
    let site_total = |value: fn(&Role) -> f64| -> f64 {
        roles.iter().map(|role| value(role) * role.holders).sum()
    };
    totals.push(Total {
        what: "the store, reads and lists",
        unit: "1/s",
        value: site_total(|role| role.reads_per_s),
        limit: design_size::STORE_READS_PER_S,
    });
    totals.push(Total {
        what: "the store, writes and deletes",
        unit: "1/s",
        value: site_total(|role| role.writes_per_s),
        limit: design_size::STORE_WRITES_PER_S,
    });
    totals.push(Total {
        what: "a change in force everywhere, no loss",
        unit: "s",
        value: figures.get("member.change.seen")? + figures.get("config.change")? / US_PER_S,
        limit: design_size::MAX_CONFIG_DELAY_S,
    });
    totals.push(Total {
        what: "wait of an answer's last chunk, p95, against the time between tokens",
        unit: "ms",
        value: figures.get("journal.wait.host.p95")?,
        limit: design_size::MAX_TIME_BETWEEN_TOKENS_P95_MS,
    });
    Ok(totals)
}
