//! Stand-in for a model engine: it batches continuously, caches prefixes in limited memory and
//! takes time that depends on both.

pub mod cache;
mod chat;
pub mod cost;
mod events;
mod scheduler;
mod sequence;
pub mod text;
mod transfer;

pub use scheduler::Stats;

use {
    crate::{
        faults::Faults,
        request::{Received, Refused, empty_response, json_response, refused},
        server::{Running, ServerOptions, Service, start as serve},
    },
    http_types::Response,
    scheduler::Scheduler,
    smol::{Task, Timer},
    std::{
        collections::{BTreeMap, BTreeSet},
        io,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    trefoilring_clients::{CacheEventKind, CachedProgram, Load, ModelOrder, OrderKind},
};

/// The largest body: an import.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// How the stand-in behaves.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where and how it serves.
    pub server: ServerOptions,
    /// Models that are loaded at the start; none means that every name is served.
    pub models: Vec<String>,
    /// How much faster than life it runs.
    pub time_scale: f64,
    /// Tokens that the cache holds.
    pub kv_capacity_tokens: u64,
    /// Turns in one batch.
    pub max_batch: usize,
    /// Time that an order to load takes, before scaling.
    pub load_time: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            server: ServerOptions::default(),
            models: Vec::new(),
            time_scale: 1.0,
            kv_capacity_tokens: cost::KV_CAPACITY_TOKENS,
            max_batch: cost::MAX_BATCH,
            load_time: Duration::ZERO,
        }
    }
}

/// The stand-in.
#[derive(Debug)]
pub struct EngineStandin {
    scheduler: Arc<Scheduler>,
    shared: Arc<Mutex<Shared>>,
    serves_any_model: bool,
    load_time: Duration,
    _loop: Task<()>,
}

#[derive(Debug, Default)]
struct Shared {
    models: BTreeSet<String>,
    orders: Vec<ModelOrder>,
    /// The highest fencing number by model or by program.
    fencing: BTreeMap<String, u64>,
}

impl Shared {
    /// Takes a number in and returns whether it is not an old one.
    fn admits(&mut self, scope: String, number: u64) -> bool {
        let highest = self.fencing.entry(scope).or_default();
        let is_current = number >= *highest;
        *highest = number.max(*highest);
        is_current
    }
}

/// Starts the stand-in.
///
/// # Errors
///
/// Returns an error if the address can't be bound or the time scale is not above zero.
pub fn start(options: Options) -> io::Result<Running<EngineStandin>> {
    if !options.time_scale.is_finite() || options.time_scale <= 0.0 {
        let detail = format!("time scale {}: expected a number above 0", options.time_scale);
        return Err(io::Error::new(io::ErrorKind::InvalidInput, detail));
    }
    let scheduler = Arc::new(Scheduler::new(
        options.kv_capacity_tokens,
        options.max_batch.max(1),
        options.time_scale,
    ));
    let serves_any_model = options.models.is_empty();
    let shared = Shared { models: options.models.into_iter().collect(), ..Shared::default() };
    let service = EngineStandin {
        scheduler: scheduler.clone(),
        shared: Arc::new(Mutex::new(shared)),
        serves_any_model,
        load_time: cost::scaled(options.load_time, options.time_scale),
        _loop: smol::spawn(scheduler.run()),
    };
    serve(service, options.server)
}

impl EngineStandin {
    /// What it did so far.
    pub fn stats(&self) -> Stats {
        self.scheduler.state().stats
    }

    /// Its load now.
    pub fn load(&self) -> Load {
        self.scheduler.state().load()
    }

    /// Memory held by program now.
    pub fn programs(&self) -> Vec<CachedProgram> {
        let now_us = self.scheduler.uptime_us();
        let state = self.scheduler.state();
        let held = state.cache.programs().iter().map(|(program, held)| CachedProgram {
            program: program.clone(),
            tokens: held.tokens,
            idle_ms: now_us.saturating_sub(held.used_us) / 1000,
        });
        held.collect()
    }

    /// Orders taken so far.
    pub fn orders(&self) -> Vec<ModelOrder> {
        self.shared().orders.clone()
    }

    fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lagging_load(&self, faults: &Faults) -> Load {
        let state = self.scheduler.state();
        match faults.lag_ms {
            0 => state.load(),
            lag_ms => state.reports.lagging(Duration::from_millis(lag_ms)),
        }
    }

    fn cache_events(&self, request: &Received, faults: &Faults) -> Result<Response, Refused> {
        let since = request.number("since", 0)?;
        let delay = Duration::from_millis(faults.cache_event_delay_ms);
        let state = self.scheduler.state();
        Ok(json_response(&state.events.since(since, delay, faults.cache_event_lose_every)))
    }

    fn release(&self, request: &Received) -> Result<Response, Refused> {
        let named: transfer::Named = request.json()?;
        let mut state = self.scheduler.state();
        if state.cache.release(&named.program) {
            state.events.push(CacheEventKind::Evicted, &named.program.into(), 0);
        }
        Ok(empty_response(204))
    }

    fn order(&self, request: &Received, faults: &Faults) -> Result<Response, Refused> {
        let order: ModelOrder = request.json()?;
        let mut shared = self.shared();
        let is_current = shared.admits(format!("model {}", order.model), order.fencing);
        if faults.checks_fencing && !is_current {
            return Err(refused(409, "old fencing number"));
        }
        match order.order {
            OrderKind::Load => self.load_later(order.model.clone()),
            OrderKind::Unload => drop(shared.models.remove(&order.model)),
            // The stand-in has no weights: these are only remembered.
            OrderKind::Adapter | OrderKind::Version | OrderKind::Role => (),
        }
        shared.orders.push(order);
        Ok(empty_response(204))
    }

    fn load_later(&self, model: String) {
        let (shared, load_time) = (self.shared.clone(), self.load_time);
        let load = async move {
            Timer::after(load_time).await;
            shared.lock().unwrap_or_else(PoisonError::into_inner).models.insert(model);
        };
        smol::spawn(load).detach();
    }

    fn serves(&self, model: &str) -> bool {
        self.serves_any_model || self.shared().models.contains(model)
    }
}

impl Service for EngineStandin {
    fn max_body_bytes(&self) -> usize {
        MAX_BODY_BYTES
    }

    async fn handle(&self, request: Received, faults: &Faults) -> Response {
        let answered = match (&*request.method, request.path()) {
            ("POST", "/v1/chat/completions") => self.chat(request, faults).await,
            ("GET", "/v1/load") => Ok(json_response(&self.lagging_load(faults))),
            ("GET", "/v1/cache/events") => self.cache_events(&request, faults),
            ("GET", "/v1/cache/programs") => {
                Ok(json_response(&serde_json::json!({ "programs": self.programs() })))
            }
            ("POST", "/v1/cache/release") => self.release(&request),
            ("POST", "/v1/cache/export") => self.export(&request).await,
            ("POST", "/v1/cache/import") => self.import(&request).await,
            ("POST", "/v1/models") => self.order(&request, faults),
            _ => Err(refused(404, "no such call")),
        };
        answered.unwrap_or_else(Refused::into)
    }

    fn control(&self, request: &Received) -> Option<Response> {
        match (&*request.method, request.path()) {
            ("GET", "/standin/stats") => Some(json_response(&self.stats())),
            ("GET", "/standin/orders") => Some(json_response(&self.orders())),
            _ => None,
        }
    }

    fn crashed(&self) {
        self.scheduler.stop();
    }
}
