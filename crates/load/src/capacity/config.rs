//! Cost per host of a configuration of 32,000 teams.

use {
    super::{
        CapacityError, design_size,
        figure::{Figures, memory_of_large_item},
        limiter::team_id,
        wire,
    },
    error_stack::{Report, ResultExt},
    std::{
        hint::black_box,
        sync::Arc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        catalog::{Budget, Catalog, Class, Key, Service, ServiceKind, Team},
        config_distribution::{
            Command, ConfigFetcher, Event, FetchSource, Options, Shard, assemble, plan_apply, split,
        },
    },
    trefoilring_proto::{ConfigPart, PeerRequest, PeerResponse},
};

/// Measures the memory of a configuration of `teams` teams on one host.
pub fn memory(teams: usize) -> Result<f64, Report<CapacityError>> {
    let manifest_and_shards =
        split(&sample_catalog(teams), "first").change_context(CapacityError)?;
    memory_of_large_item(|| load_config(&manifest_and_shards))
}

/// Measures splitting, sending and assembling a configuration. Returns the catalog.
pub fn measure(figures: &mut Figures) -> Result<Arc<Catalog>, Report<CapacityError>> {
    let catalog = sample_catalog(design_size::TEAMS);
    let manifest_and_shards = split(&catalog, "first").change_context(CapacityError)?;
    let fetcher = load_config(&manifest_and_shards)?;
    measure_full_size(figures, catalog, fetcher)
}

/// An encoded manifest and the shards that the previous manifest does not name.
type Change = (Vec<u8>, Vec<Shard>);

/// Returns a change of one team and the change that reverts it.
fn alternating_changes(catalog: &Catalog) -> Result<[Change; 2], Report<CapacityError>> {
    let first = plan_apply(None, catalog, "first").change_context(CapacityError)?;
    let mut changed = catalog.clone();
    changed.teams.entry(team_id(7)).and_modify(|team| team.rate_per_s += 1.0);
    let second = plan_apply(Some((1, &first.manifest)), &changed, "second");
    let second = second.change_context(CapacityError)?;
    let reverted = plan_apply(Some((2, &second.manifest)), catalog, "third");
    let reverted = reverted.change_context(CapacityError)?;
    Ok([(second.bytes, second.new_shards), (reverted.bytes, reverted.new_shards)])
}

/// Applies the change for an even or an odd version.
fn apply_change(
    fetcher: &mut ConfigFetcher,
    version: u64,
    changes: &[Change; 2],
) -> Result<(), Report<CapacityError>> {
    let (bytes, shards) = &changes[(version % 2) as usize];
    apply_version(fetcher, version, with_version(bytes, version)?, shards)
}

/// Measures a change of one team at the design size.
fn measure_full_size(
    figures: &mut Figures,
    catalog: Catalog,
    fetcher: ConfigFetcher,
) -> Result<Arc<Catalog>, Report<CapacityError>> {
    let changes = alternating_changes(&catalog)?;
    let (bytes, new_shards) = &changes[0];
    let shard_bytes: usize = new_shards.iter().map(|shard| shard.bytes.len()).sum();
    let (manifest, shards) = split(&catalog, "first").change_context(CapacityError)?;
    let mut count =
        |id, unit, description, value| figures.add_constant(id, unit, description, value);
    count("config.shards", "", "shards of the complete configuration", shards.len() as f64);
    let total_bytes: usize = shards.iter().map(|shard| shard.bytes.len()).sum();
    count("config.whole", "B", "bytes of all shards", total_bytes as f64);
    count("config.manifest", "B", "bytes of the manifest", bytes.len() as f64);
    count("config.change.shards", "", "new shards of a change", new_shards.len() as f64);
    count("config.change.shard", "B", "bytes of the new shards of a change", shard_bytes as f64);
    let sent = change_transfer_bytes(bytes, new_shards)?;
    count("config.change.bytes", "B", "bytes exchanged to send a change to one host", sent);
    figures.measure_cpu_time(
        "config.split",
        "split the complete catalog, as the operator's tool does",
        || {
            black_box(split(&catalog, "first").change_context(CapacityError)?);
            Ok(1)
        },
    )?;
    figures.measure_cpu_time(
        "config.assemble",
        "assemble the complete catalog from its shards",
        || {
            black_box(assemble(&manifest, &shards).change_context(CapacityError)?);
            Ok(1)
        },
    )?;
    let mut fetcher = fetcher;
    // Above the version that the fetcher has loaded.
    let mut version = 10;
    figures.measure_cpu_time("config.change", "apply a change of one team on one host", || {
        version += 1;
        apply_change(&mut fetcher, version, &changes)?;
        Ok(1)
    })?;
    Ok(Arc::new(catalog))
}

/// Returns the encoded manifest with its version replaced.
fn with_version(bytes: &[u8], version: u64) -> Result<Vec<u8>, Report<CapacityError>> {
    let manifest = trefoilring_core::config_distribution::decode_manifest(bytes);
    let mut manifest = manifest.change_context(CapacityError)?;
    manifest.version = version;
    trefoilring_core::config_distribution::encode_manifest(&manifest).change_context(CapacityError)
}

fn change_transfer_bytes(manifest: &[u8], shards: &[Shard]) -> Result<f64, Report<CapacityError>> {
    let fetch_bytes = |part, value: &[u8]| {
        let sent = wire::request_bytes(PeerRequest::ConfigPart { part })?;
        let received = wire::response_bytes(PeerResponse::ConfigPart(Some((1, value.to_vec()))))?;
        Ok::<f64, Report<CapacityError>>(sent + received)
    };
    let mut bytes = fetch_bytes(ConfigPart::Manifest, manifest)?;
    for shard in shards {
        bytes += fetch_bytes(ConfigPart::Shard(shard.hash.clone()), &shard.bytes)?;
    }
    Ok(bytes)
}

/// Loads a configuration as a starting host does.
fn load_config(
    (manifest, shards): &(trefoilring_core::config_distribution::Manifest, Vec<Shard>),
) -> Result<ConfigFetcher, Report<CapacityError>> {
    let mut fetcher = ConfigFetcher::new(Options::default(), 0);
    let bytes = trefoilring_core::config_distribution::encode_manifest(manifest);
    apply_version(&mut fetcher, 1, bytes.change_context(CapacityError)?, shards)?;
    Ok(fetcher)
}

/// Applies a version. Fails if it is not in force afterwards.
fn apply_version(
    fetcher: &mut ConfigFetcher,
    object_version: u64,
    manifest: Vec<u8>,
    shards: &[Shard],
) -> Result<(), Report<CapacityError>> {
    let now = Instant::now();
    fetcher.handle(now, Event::ManifestSeen { object_version, as_of: now });
    let mut commands = fetcher.handle(now, Event::Manifest { object_version, bytes: manifest });
    let mut is_in_force = false;
    while let Some(command) = commands.pop() {
        match command {
            Command::FetchShard { hash, from: FetchSource::Store | FetchSource::Host(_) } => {
                let shard = shards.iter().find(|shard| shard.hash == hash);
                let shard = shard.ok_or_else(|| {
                    Report::new(CapacityError)
                        .attach("a requested shard is not part of the configuration")
                })?;
                commands.extend(fetcher.handle(now, Event::Shard(shard.clone())));
            }
            Command::PutInForce { .. } => is_in_force = true,
            Command::Log(event) => return Err(Report::new(CapacityError).attach(event.to_string())),
            Command::FetchManifest { .. } => (),
        }
    }
    let error =
        || Report::new(CapacityError).attach(format!("version {object_version} is not in force"));
    is_in_force.then_some(()).ok_or_else(error)
}

/// Returns a catalog of `teams` teams with one key each, and of one service per model.
pub fn sample_catalog(teams: usize) -> Catalog {
    let target_ms = Duration::from_secs(60).as_millis() as u64;
    let class = |name: &str| (name.into(), Class { target_ms, budget: Budget::default() });
    let service = |number: usize| {
        let model = format!("model-{number:02}");
        let service = Service {
            kind: ServiceKind::Engine,
            models: vec![model.clone()],
            repeatable: Vec::new(),
            open: Vec::new(),
            checks_fencing: true,
            deadline_ms: 120_000,
        };
        (model.into(), service)
    };
    let team = |number: usize| Team {
        rate_per_s: 1.0 + (number % 50) as f64,
        burst_requests: 100,
        classes: vec!["interactive".into()],
    };
    let key = |number: usize| {
        let hash = secret_hash(number);
        let id = format!("key-{number:05}").into();
        (hash, Key { id, team: team_id(number), is_withdrawn: false })
    };
    Catalog {
        version: 1,
        classes: ["interactive", "batch", "research"].map(class).into(),
        teams: (0..teams).map(|number| (team_id(number), team(number))).collect(),
        keys: (0..teams).map(key).collect(),
        services: (0..design_size::MODELS).map(service).collect(),
        draining: Default::default(),
    }
}

/// Returns the hash of a generated secret.
fn secret_hash(number: usize) -> String {
    trefoilring_config::secret::hash_secret(&format!("secret-{number}"))
}
