//! Stand-in for a model engine, with continuous batching and a prefix cache of limited size. Both
//! determine how long a turn takes.

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
        request::{ErrorResponse, ReceivedRequest, empty_response, error_response, json_response},
        server::{RequestHandler, RunningStandin, ServerOptions, start as serve},
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

/// Body size limit. Imports have the largest bodies.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Settings of the engine stand-in.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address and initial faults.
    pub server: ServerOptions,
    /// Models that are loaded at the start. If empty, every model name is served.
    pub models: Vec<String>,
    /// Speed-up over real time.
    pub time_scale: f64,
    /// Capacity of the cache, in tokens.
    pub kv_capacity_tokens: u64,
    /// Maximum number of turns in one batch.
    pub max_batch: usize,
    /// Time to load a model, before division by `time_scale`.
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

/// A model engine stand-in.
#[derive(Debug)]
pub struct EngineStandin {
    scheduler: Arc<Scheduler>,
    model_state: Arc<Mutex<ModelState>>,
    serves_any_model: bool,
    load_time: Duration,
    _loop: Task<()>,
}

#[derive(Debug, Default)]
struct ModelState {
    models: BTreeSet<String>,
    orders: Vec<ModelOrder>,
    /// The highest fencing number received, keyed by `model NAME` or `program ID`. A program's
    /// number comes in the header `Fencing-Epoch`.
    fencing: BTreeMap<String, u64>,
}

impl ModelState {
    /// Records a fencing number and returns whether it is current: at least the highest so far.
    fn accept_fencing_number(&mut self, scope: String, number: u64) -> bool {
        let highest = self.fencing.entry(scope).or_default();
        let is_current = number >= *highest;
        *highest = number.max(*highest);
        is_current
    }
}

/// Starts the engine and its HTTP server.
///
/// # Errors
///
/// Returns an error if the address can't be bound or the time scale is not above zero.
pub fn start(options: Options) -> io::Result<RunningStandin<EngineStandin>> {
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
    let model_state =
        ModelState { models: options.models.into_iter().collect(), ..ModelState::default() };
    let service = EngineStandin {
        scheduler: scheduler.clone(),
        model_state: Arc::new(Mutex::new(model_state)),
        serves_any_model,
        load_time: cost::scaled(options.load_time, options.time_scale),
        _loop: smol::spawn(scheduler.run()),
    };
    serve(service, options.server)
}

impl EngineStandin {
    /// Returns counters since the start.
    pub fn stats(&self) -> Stats {
        self.scheduler.state().stats
    }

    /// Returns the current load, without the lag that the `lag_ms` fault adds over HTTP.
    pub fn load(&self) -> Load {
        self.scheduler.state().load()
    }

    /// Returns the cache memory currently held for each program.
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

    /// Returns the orders accepted so far.
    pub fn orders(&self) -> Vec<ModelOrder> {
        self.model_state().orders.clone()
    }

    fn model_state(&self) -> MutexGuard<'_, ModelState> {
        self.model_state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lagged_load(&self, faults: &Faults) -> Load {
        let state = self.scheduler.state();
        match faults.lag_ms {
            0 => state.load(),
            lag_ms => state.load_history.lagged(Duration::from_millis(lag_ms)),
        }
    }

    fn cache_events(
        &self,
        request: &ReceivedRequest,
        faults: &Faults,
    ) -> Result<Response, ErrorResponse> {
        let since = request.query_number("since", 0)?;
        let delay = Duration::from_millis(faults.cache_event_delay_ms);
        let state = self.scheduler.state();
        Ok(json_response(&state.events.since(since, delay, faults.cache_event_lose_every)))
    }

    fn release(&self, request: &ReceivedRequest) -> Result<Response, ErrorResponse> {
        let body: transfer::ProgramBody = request.json()?;
        let mut state = self.scheduler.state();
        if state.cache.release(&body.program) {
            state.events.push(CacheEventKind::Evicted, &body.program.into(), 0);
        }
        Ok(empty_response(204))
    }

    fn apply_order(
        &self,
        request: &ReceivedRequest,
        faults: &Faults,
    ) -> Result<Response, ErrorResponse> {
        let order: ModelOrder = request.json()?;
        let mut model_state = self.model_state();
        let is_current =
            model_state.accept_fencing_number(format!("model {}", order.model), order.fencing);
        if faults.checks_fencing && !is_current {
            return Err(error_response(409, "old fencing number"));
        }
        match order.order {
            OrderKind::Load => self.spawn_model_load(order.model.clone()),
            OrderKind::Unload => drop(model_state.models.remove(&order.model)),
            // The stand-in has no weights, so these orders are only recorded.
            OrderKind::Adapter | OrderKind::Version | OrderKind::Role => (),
        }
        model_state.orders.push(order);
        Ok(empty_response(204))
    }

    fn spawn_model_load(&self, model: String) {
        let (model_state, load_time) = (self.model_state.clone(), self.load_time);
        let load = async move {
            Timer::after(load_time).await;
            model_state.lock().unwrap_or_else(PoisonError::into_inner).models.insert(model);
        };
        smol::spawn(load).detach();
    }

    fn serves(&self, model: &str) -> bool {
        self.serves_any_model || self.model_state().models.contains(model)
    }
}

impl RequestHandler for EngineStandin {
    fn max_body_bytes(&self) -> usize {
        MAX_BODY_BYTES
    }

    async fn handle(&self, request: ReceivedRequest, faults: &Faults) -> Response {
        let result = match (&*request.method, request.path()) {
            ("POST", "/v1/chat/completions") => self.chat(request, faults).await,
            ("GET", "/v1/load") => Ok(json_response(&self.lagged_load(faults))),
            ("GET", "/v1/cache/events") => self.cache_events(&request, faults),
            ("GET", "/v1/cache/programs") => {
                Ok(json_response(&serde_json::json!({ "programs": self.programs() })))
            }
            ("POST", "/v1/cache/release") => self.release(&request),
            ("POST", "/v1/cache/export") => self.export(&request).await,
            ("POST", "/v1/cache/import") => self.import(&request).await,
            ("POST", "/v1/models") => self.apply_order(&request, faults),
            _ => Err(error_response(404, "no such call")),
        };
        result.unwrap_or_else(ErrorResponse::into)
    }

    fn handle_control(&self, request: &ReceivedRequest) -> Option<Response> {
        match (&*request.method, request.path()) {
            ("GET", "/standin/stats") => Some(json_response(&self.stats())),
            ("GET", "/standin/orders") => Some(json_response(&self.orders())),
            _ => None,
        }
    }

    fn on_stop(&self) {
        self.scheduler.stop();
    }
}
