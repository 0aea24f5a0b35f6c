//! Starting, changing and stopping the parts of a site.

use {
    derive_more::{Display, Error},
    error_stack::{Report, ResultExt},
    std::{
        collections::BTreeMap,
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
    trefoilring_clients::{ObjectApi, UpstreamRecord, WriteError},
    trefoilring_config::settings::{RawSettings, Settings},
    trefoilring_core::{
        catalog::{Catalog, ServiceKind},
        ids::{ConfigVersion, DomainId, HostId, ServiceId, UpstreamId},
        spread::{MANIFEST_KEY, decode_manifest, plan_apply, shard_key},
    },
    trefoilring_host::Host,
    trefoilring_standin::{
        Running,
        engine::{self, EngineStandin},
        hosts::{self, Hosts},
        objects::{self, Objects},
        tool::{self, Tool},
    },
};

/// Time between two looks at whether something has come true.
const POLL: Duration = Duration::from_millis(10);
/// How long a planned stop waits for running requests.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);
/// How long one call to the Object API may take.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// What went wrong with a site.
#[derive(Debug, Display, Error)]
pub enum SiteError {
    /// A stand-in did not start.
    #[display("a stand-in did not start")]
    Standin,
    /// A host did not start.
    #[display("host {host} did not start")]
    Host {
        /// The host.
        host: HostId,
    },
    /// The declarations were not accepted.
    #[display("the declarations were not accepted")]
    Declarations,
    /// Something did not come true in time.
    #[display("timeout: {what}")]
    Timeout {
        /// What did not.
        what: &'static str,
    },
}

/// One host and where it stands.
#[derive(Clone, Debug)]
pub struct HostPlace {
    /// The host.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainId,
}

/// One upstream and where it stands.
#[derive(Clone, Debug)]
pub struct UpstreamPlace {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its service.
    pub service: ServiceId,
    /// Its failure domain.
    pub domain: DomainId,
}

/// What a site consists of.
#[derive(Clone, Debug)]
pub struct SiteOptions {
    /// The hosts.
    pub hosts: Vec<HostPlace>,
    /// The upstreams; what each is follows from its service's kind.
    pub upstreams: Vec<UpstreamPlace>,
    /// The declarations.
    pub catalog: Catalog,
    /// Time between heartbeats; leases are four of them.
    pub heartbeat: Duration,
    /// How much faster than life the engines run.
    pub time_scale: f64,
    /// Traffic threads of each host.
    pub traffic_threads: usize,
    /// Tokens that each engine's cache holds, or as the stand-in has it.
    pub kv_capacity_tokens: Option<u64>,
}

impl SiteOptions {
    /// Sets how much faster than life the engines run.
    pub fn with_time_scale(mut self, time_scale: f64) -> Self {
        self.time_scale = time_scale;
        self
    }
}

/// A running site. Dropping it stops it at once.
pub struct Site {
    options: SiteOptions,
    /// The Object API.
    pub objects: Running<Objects>,
    /// The host list.
    pub host_list: Running<Hosts>,
    /// Model engines.
    pub engines: BTreeMap<UpstreamId, Running<EngineStandin>>,
    /// Tool and plain services.
    pub tools: BTreeMap<UpstreamId, Running<Tool>>,
    hosts: BTreeMap<HostId, Host>,
}

impl Site {
    /// Starts all parts, applies the declarations, and waits until every host serves.
    ///
    /// # Errors
    ///
    /// Fails if a part does not start, or the hosts are not ready within `timeout`.
    pub async fn start(options: SiteOptions, timeout: Duration) -> Result<Self, Report<SiteError>> {
        let objects =
            objects::start(objects::Options::default()).change_context(SiteError::Standin)?;
        let mut site = Self {
            host_list: hosts::start(hosts::Options::default())
                .change_context(SiteError::Standin)?,
            objects,
            engines: BTreeMap::new(),
            tools: BTreeMap::new(),
            hosts: BTreeMap::new(),
            options,
        };
        for place in site.options.upstreams.clone() {
            site.start_upstream(&place)?;
        }
        let catalog = site.options.catalog.clone();
        let version = deploy(&site.object_api(), &catalog, "start").await?;
        for place in site.options.hosts.clone() {
            site.start_host(&place)?;
        }
        site.wait_until(timeout, "all hosts ready", |site| {
            let is_ready = |host: &Host| host.is_ready() && host.config_version() >= version;
            site.hosts.values().all(is_ready)
        })
        .await?;
        Ok(site)
    }

    /// A client of the site's Object API.
    pub fn object_api(&self) -> ObjectApi {
        ObjectApi::new(self.objects.address(), STORE_TIMEOUT)
    }

    /// Starts an upstream, or starts it anew.
    pub fn start_upstream(&mut self, place: &UpstreamPlace) -> Result<(), Report<SiteError>> {
        let service = self.options.catalog.services.get(&place.service);
        let is_engine = service.is_some_and(|service| service.kind == ServiceKind::Engine);
        let models = service.map(|service| service.models.clone()).unwrap_or_default();
        let address = match is_engine {
            true => {
                let mut options = engine::Options {
                    models: models.clone(),
                    time_scale: self.options.time_scale,
                    ..engine::Options::default()
                };
                if let Some(tokens) = self.options.kv_capacity_tokens {
                    options.kv_capacity_tokens = tokens;
                }
                let engine = engine::start(options).change_context(SiteError::Standin)?;
                let address = engine.address();
                self.engines.insert(place.upstream.clone(), engine);
                address
            }
            false => {
                let tool =
                    tool::start(tool::Options::default()).change_context(SiteError::Standin)?;
                let address = tool.address();
                self.tools.insert(place.upstream.clone(), tool);
                address
            }
        };
        self.host_list.add(UpstreamRecord {
            upstream: place.upstream.clone(),
            service: place.service.clone(),
            address,
            domain: place.domain.clone(),
            is_leaving: false,
            models,
        });
        Ok(())
    }

    /// Starts a host, also one that was there before.
    pub fn start_host(&mut self, place: &HostPlace) -> Result<(), Report<SiteError>> {
        let failed = || SiteError::Host { host: place.host.clone() };
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let raw = RawSettings::default()
            .with("host", &place.host)
            .with("domain", &place.domain)
            .with("listen", loopback)
            .with("peer-listen", loopback)
            .with("advertise", loopback)
            .with("object-api", self.objects.address())
            .with("host-list", self.host_list.address())
            .with("traffic-threads", self.options.traffic_threads)
            .with("heartbeat-ms", self.options.heartbeat.as_millis())
            .with("lease-ms", (self.options.heartbeat * 4).as_millis())
            .with("metrics-interval-ms", 200)
            .with("drain-timeout-ms", DRAIN_TIMEOUT.as_millis());
        let settings = Settings::try_from(raw).change_context_lazy(failed)?;
        let host = Host::start(settings).change_context_lazy(failed)?;
        self.hosts.insert(place.host.clone(), host);
        Ok(())
    }

    /// The hosts that run.
    pub fn hosts(&self) -> &BTreeMap<HostId, Host> {
        &self.hosts
    }

    /// Where callers reach the hosts.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.hosts.values().map(Host::callers_address).collect()
    }

    /// Takes a host out, to stop it.
    pub fn take_host(&mut self, host: &str) -> Option<Host> {
        self.hosts.remove(host)
    }

    /// Waits until something is true.
    ///
    /// # Errors
    ///
    /// Fails after `timeout`.
    pub async fn wait_until(
        &self,
        timeout: Duration,
        what: &'static str,
        is_true: impl Fn(&Self) -> bool,
    ) -> Result<(), Report<SiteError>> {
        let give_up = std::time::Instant::now() + timeout;
        while !is_true(self) {
            if std::time::Instant::now() >= give_up {
                return Err(Report::new(SiteError::Timeout { what }));
            }
            smol::Timer::after(POLL).await;
        }
        Ok(())
    }

    /// Stops all hosts gracefully.
    pub async fn stop(mut self) {
        for host in std::mem::take(&mut self.hosts).into_values() {
            host.drain().await;
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        std::mem::take(&mut self.hosts).into_values().for_each(Host::abort);
    }
}

/// Writes declarations as the next version. Returns that version.
///
/// # Errors
///
/// Fails if the store does not answer or another change came first.
pub async fn deploy(
    store: &ObjectApi,
    catalog: &Catalog,
    change: &str,
) -> Result<ConfigVersion, Report<SiteError>> {
    let failed = SiteError::Declarations;
    let current = store.get(MANIFEST_KEY).await.change_context(SiteError::Declarations)?;
    let current = match &current {
        None => None,
        Some(object) => {
            let manifest =
                decode_manifest(&object.value).change_context(SiteError::Declarations)?;
            Some((object.version, manifest))
        }
    };
    let known = current.as_ref().map(|(version, manifest)| (*version, manifest));
    let plan = plan_apply(known, catalog, change).change_context(SiteError::Declarations)?;
    for shard in plan.new_shards {
        match store.put(&shard_key(&shard.hash), 0, shard.bytes).await {
            // Shards are named by their content: one that is there is the same.
            Ok(_) | Err(WriteError::Conflict { .. }) => (),
            Err(error) => return Err(Report::new(error).change_context(failed)),
        }
    }
    store.put(MANIFEST_KEY, plan.if_version, plan.bytes).await.change_context(failed)?;
    Ok(plan.manifest.version)
}
