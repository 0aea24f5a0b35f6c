//! Starts, changes and stops the parts of a site.

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
        config_distribution::{MANIFEST_KEY, decode_manifest, plan_apply, shard_key},
        ids::{ConfigVersion, DomainId, HostId, ServiceId, UpstreamId},
    },
    trefoilring_host::Host,
    trefoilring_standin::{
        RunningStandin,
        engine::{self, EngineStandin},
        hosts::{self, HostListStandin},
        objects::{self, ObjectsStandin},
        tool::{self, ToolStandin},
    },
};

/// Interval at which [`Site::wait_until`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum time that a draining host waits for running requests.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of one call to the Object API.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// A site could not be started or changed, or a condition did not hold in time.
#[derive(Debug, Display, Error)]
pub enum SiteError {
    /// A stand-in failed to start.
    #[display("a stand-in did not start")]
    Standin,
    /// A host failed to start.
    #[display("host {host} did not start")]
    Host {
        /// Name of the host.
        host: HostId,
    },
    /// The declarations could not be applied.
    #[display("could not apply the declarations")]
    Declarations,
    /// A condition did not hold in time.
    #[display("timed out waiting for: {what}")]
    Timeout {
        /// Description of the condition.
        what: &'static str,
    },
}

/// Name and failure domain of a host to start.
#[derive(Clone, Debug)]
pub struct HostSpec {
    /// Name of the host.
    pub host: HostId,
    /// The failure domain that the host runs in.
    pub domain: DomainId,
}

/// An upstream of a site.
#[derive(Clone, Debug)]
pub struct UpstreamSpec {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// The service that the upstream belongs to.
    pub service: ServiceId,
    /// The failure domain that the upstream runs in.
    pub domain: DomainId,
}

/// Parts and settings of a site.
#[derive(Clone, Debug)]
pub struct SiteOptions {
    /// Hosts to start.
    pub hosts: Vec<HostSpec>,
    /// Upstreams to start. The service's kind decides whether an upstream is an engine or a tool.
    pub upstreams: Vec<UpstreamSpec>,
    /// Declarations to apply at the start.
    pub catalog: Catalog,
    /// Time between heartbeats. The lease duration is four times this.
    pub heartbeat: Duration,
    /// Speed-up of the engines over real time.
    pub time_scale: f64,
    /// Number of traffic threads of each host.
    pub traffic_threads: usize,
    /// Cache capacity of each engine; `None` uses the stand-in's default.
    pub kv_capacity_tokens: Option<u64>,
}

impl SiteOptions {
    /// Sets the speed-up of the engines over real time.
    pub fn with_time_scale(mut self, time_scale: f64) -> Self {
        self.time_scale = time_scale;
        self
    }
}

/// A running site. Dropping it aborts all hosts and stops all stand-ins.
pub struct Site {
    options: SiteOptions,
    /// The Object API.
    pub objects: RunningStandin<ObjectsStandin>,
    /// The host list.
    pub host_list: RunningStandin<HostListStandin>,
    /// Stand-ins of the upstreams whose service is a model engine.
    pub engines: BTreeMap<UpstreamId, RunningStandin<EngineStandin>>,
    /// Stand-ins of all other upstreams.
    pub tools: BTreeMap<UpstreamId, RunningStandin<ToolStandin>>,
    hosts: BTreeMap<HostId, Host>,
}

impl Site {
    /// Starts all parts, applies the declarations, and waits until every host is ready.
    ///
    /// # Errors
    ///
    /// Fails if a part does not start or the hosts are not ready within `timeout`.
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
        for spec in site.options.upstreams.clone() {
            site.start_upstream(&spec)?;
        }
        let catalog = site.options.catalog.clone();
        let version = deploy(&site.object_api(), &catalog, "start").await?;
        for spec in site.options.hosts.clone() {
            site.start_host(&spec)?;
        }
        site.wait_until(timeout, "all hosts ready", |site| {
            let is_ready = |host: &Host| host.is_ready() && host.config_version() >= version;
            site.hosts.values().all(is_ready)
        })
        .await?;
        Ok(site)
    }

    /// Returns a client of the site's Object API.
    pub fn object_api(&self) -> ObjectApi {
        ObjectApi::new(self.objects.address(), STORE_TIMEOUT)
    }

    /// Starts an upstream, or replaces a running one, and adds it to the host list.
    pub fn start_upstream(&mut self, spec: &UpstreamSpec) -> Result<(), Report<SiteError>> {
        let service = self.options.catalog.services.get(&spec.service);
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
                self.engines.insert(spec.upstream.clone(), engine);
                address
            }
            false => {
                let tool =
                    tool::start(tool::Options::default()).change_context(SiteError::Standin)?;
                let address = tool.address();
                self.tools.insert(spec.upstream.clone(), tool);
                address
            }
        };
        self.host_list.add(UpstreamRecord {
            upstream: spec.upstream.clone(),
            service: spec.service.clone(),
            address,
            domain: spec.domain.clone(),
            is_leaving: false,
            models,
        });
        Ok(())
    }

    /// Starts a host. Also restarts a host that was removed.
    pub fn start_host(&mut self, spec: &HostSpec) -> Result<(), Report<SiteError>> {
        let failed = || SiteError::Host { host: spec.host.clone() };
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let raw = RawSettings::default()
            .with("host", &spec.host)
            .with("domain", &spec.domain)
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
        self.hosts.insert(spec.host.clone(), host);
        Ok(())
    }

    /// Returns the running hosts.
    pub fn hosts(&self) -> &BTreeMap<HostId, Host> {
        &self.hosts
    }

    /// Returns the addresses at which the hosts serve callers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.hosts.values().map(Host::callers_address).collect()
    }

    /// Removes a host and returns it for shutdown.
    pub fn remove_host(&mut self, host: &str) -> Option<Host> {
        self.hosts.remove(host)
    }

    /// Waits until `condition` holds. `what` describes it in the error.
    ///
    /// # Errors
    ///
    /// Fails if the condition does not hold within `timeout`.
    pub async fn wait_until(
        &self,
        timeout: Duration,
        what: &'static str,
        condition: impl Fn(&Self) -> bool,
    ) -> Result<(), Report<SiteError>> {
        let deadline = std::time::Instant::now() + timeout;
        while !condition(self) {
            if std::time::Instant::now() >= deadline {
                return Err(Report::new(SiteError::Timeout { what }));
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Drains and stops all hosts.
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

/// Writes declarations as the next configuration version and returns that version. `change` is
/// recorded in the manifest as the description of the change.
///
/// # Errors
///
/// Fails if the store is unavailable or another change was written first.
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
    let previous = current.as_ref().map(|(version, manifest)| (*version, manifest));
    let plan = plan_apply(previous, catalog, change).change_context(SiteError::Declarations)?;
    for shard in plan.new_shards {
        match store.put(&shard_key(&shard.hash), 0, shard.bytes).await {
            // A shard's key is the hash of its content, so an existing shard is identical.
            Ok(_) | Err(WriteError::Conflict { .. }) => (),
            Err(error) => return Err(Report::new(error).change_context(failed)),
        }
    }
    store.put(MANIFEST_KEY, plan.if_version, plan.bytes).await.change_context(failed)?;
    Ok(plan.manifest.version)
}
