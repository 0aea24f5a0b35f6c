//! Assignment of models to engines, by demand and limited by the rate of the weight store.
//!
//! Demand is counted in tokens and decays with a half-life. Each model in demand gets at least one
//! engine if there is capacity. The remaining capacity is divided in proportion to demand. New
//! orders that read weights are sent no faster than the weight store can serve loads, and at most
//! one order is pending for each engine. An order is repeated until the engine reports the desired
//! state; repeated orders are harmless. Each order carries the fencing epoch of the current owner,
//! so that engines that check it refuse orders of a former owner. At engines that do not check it,
//! the next tick reverses a stale order.

use {
    crate::ids::{Epoch, UpstreamId},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Half-life of demand.
const DEMAND_HALF_LIFE_S: f64 = 300.0;
/// Models with less demand than this are ignored.
const MIN_DEMAND_TOKENS: f64 = 1.0;
/// An order without visible effect is sent again after this time.
const RESEND_AFTER: Duration = Duration::from_secs(30);
/// Minimum time that a model stays loaded, so that models don't move back and forth.
const MIN_LOADED_TIME: Duration = Duration::from_secs(120);

/// Change that an order requests from an engine.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum OrderKind {
    /// Load a model.
    Load,
    /// Unload a model.
    Unload,
    /// Add an adapter to a model.
    Adapter,
    /// Change a model's version.
    Version,
    /// Change the engine's role.
    Role,
}

impl OrderKind {
    /// Returns whether the order makes the engine read from the weight store.
    fn needs_weights(self) -> bool {
        matches!(self, Self::Load | Self::Adapter | Self::Version)
    }
}

/// An order to change the state of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelOrder {
    /// Engine that receives the order.
    pub upstream: UpstreamId,
    /// Change to make.
    pub kind: OrderKind,
    /// Name of the model, adapter, version or role.
    pub name: String,
    /// Fencing epoch of the owner that sends the order.
    pub fencing: Epoch,
}

/// Observed state of an engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineState {
    /// Whether the engine is draining. A draining engine gets neither work nor orders.
    pub is_leaving: bool,
    /// Models that are loaded.
    pub models: BTreeSet<String>,
    /// Adapters, versions and roles in force.
    pub settings: BTreeSet<(OrderKind, String)>,
}

/// Options of model placement.
#[derive(Clone, Copy, Debug)]
pub struct ModelPlacementOptions {
    /// Number of models that fit into one engine.
    pub models_per_engine: usize,
    /// Minimum time between two orders that read from the weight store.
    pub load_interval: Duration,
}

#[derive(Clone, Debug)]
struct PendingOrder {
    order: ModelOrder,
    sent: Instant,
}

/// Decides which engine loads which model.
#[derive(Debug)]
pub struct ModelPlacement {
    options: ModelPlacementOptions,
    fencing: Epoch,
    engines: BTreeMap<UpstreamId, EngineState>,
    declared: BTreeSet<(OrderKind, String)>,
    /// Decayed tokens by model, and the time of the last update.
    demand: BTreeMap<String, (f64, Instant)>,
    loaded_at: BTreeMap<(UpstreamId, String), Instant>,
    /// Invariant: at most one order for each engine.
    pending: BTreeMap<UpstreamId, PendingOrder>,
    last_load: Option<Instant>,
}

impl ModelPlacement {
    /// Creates the placement for an owner with this fencing epoch.
    pub fn new(options: ModelPlacementOptions, fencing: Epoch) -> Self {
        Self {
            options,
            fencing,
            engines: BTreeMap::new(),
            declared: BTreeSet::new(),
            demand: BTreeMap::new(),
            loaded_at: BTreeMap::new(),
            pending: BTreeMap::new(),
            last_load: None,
        }
    }

    /// Sets the adapters, versions and roles that every engine must have. Loads and unloads follow
    /// demand and are ignored here.
    pub fn declare(&mut self, settings: BTreeSet<(OrderKind, String)>) {
        let is_setting = |kind| !matches!(kind, OrderKind::Load | OrderKind::Unload);
        self.declared = settings.into_iter().filter(|(kind, _)| is_setting(*kind)).collect();
    }

    /// Applies the observed state of all engines and drops the pending orders that have taken
    /// effect.
    pub fn observe(&mut self, now: Instant, engines: BTreeMap<UpstreamId, EngineState>) {
        for (upstream, state) in &engines {
            let before = self.engines.get(upstream);
            let is_new = |model: &&String| before.is_none_or(|old| !old.models.contains(*model));
            for model in state.models.iter().filter(is_new) {
                self.loaded_at.insert((upstream.clone(), model.clone()), now);
            }
        }
        let is_loaded = |(upstream, model): &(UpstreamId, String)| {
            engines.get(upstream).is_some_and(|state| state.models.contains(model))
        };
        self.loaded_at.retain(|key, _| is_loaded(key));
        self.pending.retain(|upstream, pending| {
            engines.get(upstream).is_some_and(|state| !is_done(&pending.order, state))
        });
        self.engines = engines;
    }

    /// Adds tokens to the demand of a model.
    pub fn record_demand(&mut self, now: Instant, model: &str, tokens: u64) {
        let before = self.demand_at(now, model);
        self.demand.insert(model.into(), (before + tokens as f64, now));
    }

    /// Handles the refusal of an order by an engine that has seen a newer epoch, which means that
    /// another owner is in charge. Clears the pending orders and the observed engines, so that no
    /// order is sent until the next [`ModelPlacement::observe`].
    pub fn on_fenced(&mut self, epoch: Epoch) {
        if epoch > self.fencing {
            self.pending.clear();
            self.engines.clear();
        }
    }

    /// Returns the orders that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<ModelOrder> {
        let mut orders = self.overdue_orders(now);
        let desired = self.desired(now);
        for upstream in self.engines.keys().cloned().collect::<Vec<_>>() {
            if self.pending.contains_key(&upstream) || self.engines[&upstream].is_leaving {
                continue;
            }
            if let Some((kind, name)) = self.next_order_for(now, &upstream, &desired) {
                orders.extend(self.create_order(now, upstream, kind, name));
            }
        }
        orders
    }

    fn overdue_orders(&mut self, now: Instant) -> Vec<ModelOrder> {
        let is_due = |pending: &&mut PendingOrder| now.duration_since(pending.sent) >= RESEND_AFTER;
        let due = self.pending.values_mut().filter(is_due);
        due.map(|pending| {
            pending.sent = now;
            pending.order.clone()
        })
        .collect()
    }

    fn create_order(
        &mut self,
        now: Instant,
        upstream: UpstreamId,
        kind: OrderKind,
        name: String,
    ) -> Option<ModelOrder> {
        if kind.needs_weights() {
            let interval = self.options.load_interval;
            if self.last_load.is_some_and(|last| now.duration_since(last) < interval) {
                return None;
            }
            self.last_load = Some(now);
        }
        let order = ModelOrder { upstream: upstream.clone(), kind, name, fencing: self.fencing };
        self.pending.insert(upstream, PendingOrder { order: order.clone(), sent: now });
        Some(order)
    }

    fn next_order_for(
        &self,
        now: Instant,
        upstream: &UpstreamId,
        desired: &BTreeMap<String, usize>,
    ) -> Option<(OrderKind, String)> {
        let state = &self.engines[upstream];
        let missing = self.declared.difference(&state.settings).next();
        if let Some((kind, name)) = missing {
            return Some((*kind, name.clone()));
        }
        let is_under_replicated = |model: &String| {
            !state.models.contains(model) && self.replica_count(model) < desired[model]
        };
        let under_replicated = desired.keys().filter(|model| is_under_replicated(model));
        // Load the model with the lowest share of its desired number of engines first.
        let fraction = |model: &String| self.replica_count(model) as f64 / desired[model] as f64;
        let Some(model) = under_replicated.min_by(|a, b| fraction(a).total_cmp(&fraction(b)))
        else {
            return self.model_to_copy(upstream, desired).map(|model| (OrderKind::Load, model));
        };
        if state.models.len() < self.options.models_per_engine {
            return Some((OrderKind::Load, model.clone()));
        }
        self.model_to_unload(now, upstream, desired).map(|model| (OrderKind::Unload, model))
    }

    /// Returns a model that this engine should also load, so that a full engine can unload it and
    /// load an under-replicated model instead, which every engine with free capacity already has.
    fn model_to_copy(
        &self,
        upstream: &UpstreamId,
        desired: &BTreeMap<String, usize>,
    ) -> Option<String> {
        let loaded = &self.engines[upstream].models;
        if loaded.len() >= self.options.models_per_engine {
            return None;
        }
        let under_replicated = loaded.iter().find(|model| {
            desired.get(*model).is_some_and(|desired| self.replica_count(model) < *desired)
        })?;
        let is_full = |state: &&EngineState| {
            let is_in_use = !state.is_leaving && !state.models.contains(under_replicated);
            is_in_use && state.models.len() >= self.options.models_per_engine
        };
        let models = || self.engines.values().filter(is_full).flat_map(|state| &state.models);
        let is_over_replicated = |model: &String| {
            self.replica_count(model) > desired.get(model).copied().unwrap_or_default()
        };
        if models().any(is_over_replicated) {
            // An over-replicated model is unloaded after [`MIN_LOADED_TIME`], which frees the
            // capacity.
            return None;
        }
        models().find(|model| !loaded.contains(*model)).cloned()
    }

    /// Returns a model that this engine may unload: more engines have it than desired, and it was
    /// loaded long enough ago.
    fn model_to_unload(
        &self,
        now: Instant,
        upstream: &UpstreamId,
        desired: &BTreeMap<String, usize>,
    ) -> Option<String> {
        let may_unload = |model: &&String| {
            let key = (upstream.clone(), (*model).clone());
            let loaded_at = self.loaded_at.get(&key);
            loaded_at.is_none_or(|at| now.duration_since(*at) >= MIN_LOADED_TIME)
        };
        let is_over_replicated = |model: &&String| {
            self.replica_count(model) > desired.get(*model).copied().unwrap_or_default()
        };
        let models = self.engines[upstream].models.iter();
        models.filter(may_unload).find(is_over_replicated).cloned()
    }

    /// Returns the number of engines that have a model loaded or a pending order to load it,
    /// excluding those with a pending order to unload it.
    fn replica_count(&self, model: &str) -> usize {
        let has_replica = |(upstream, state): &(&UpstreamId, &EngineState)| {
            let order = self.pending.get(*upstream).map(|pending| &pending.order);
            let ordered = order.filter(|order| order.name == model).map(|order| order.kind);
            match ordered {
                Some(OrderKind::Load) => true,
                Some(OrderKind::Unload) => false,
                _ => state.models.contains(model),
            }
        };
        let active = self.engines.iter().filter(|(_, state)| !state.is_leaving);
        active.filter(has_replica).count()
    }

    /// Returns the desired number of engines for each model in demand. Capacity is assigned one
    /// model at a time, to the model with the highest demand per engine, and each model at most
    /// once per engine.
    fn desired(&self, now: Instant) -> BTreeMap<String, usize> {
        let engines = self.engines.values().filter(|state| !state.is_leaving).count();
        let mut capacity = engines * self.options.models_per_engine;
        let demand = self.demand.keys().map(|model| (model, self.demand_at(now, model)));
        let demand: Vec<_> = demand.filter(|(_, tokens)| *tokens >= MIN_DEMAND_TOKENS).collect();
        let mut desired: BTreeMap<String, usize> = BTreeMap::new();
        while capacity > 0 {
            let count = |model: &String| desired.get(model).copied().unwrap_or_default();
            let candidates = demand.iter().filter(|(model, _)| count(model) < engines);
            // A model without an engine takes precedence over all models that have one.
            let priority = |model: &String, tokens: f64| {
                let assigned = count(model);
                if assigned == 0 { (true, tokens) } else { (false, tokens / (assigned + 1) as f64) }
            };
            let next = candidates.max_by(|(left, left_tokens), (right, right_tokens)| {
                let (first, second) =
                    (priority(left, *left_tokens), priority(right, *right_tokens));
                first.0.cmp(&second.0).then(first.1.total_cmp(&second.1))
            });
            let Some((model, _)) = next else {
                break;
            };
            *desired.entry((*model).clone()).or_default() += 1;
            capacity -= 1;
        }
        desired
    }

    fn demand_at(&self, now: Instant, model: &str) -> f64 {
        self.demand.get(model).map_or(0.0, |&(tokens, at)| {
            let halvings = now.duration_since(at).as_secs_f64() / DEMAND_HALF_LIFE_S;
            tokens * 0.5f64.powf(halvings)
        })
    }
}

fn is_done(order: &ModelOrder, state: &EngineState) -> bool {
    match order.kind {
        OrderKind::Load => state.models.contains(&order.name),
        OrderKind::Unload => !state.models.contains(&order.name),
        kind => state.settings.contains(&(kind, order.name.clone())),
    }
}
