//! Which engine holds which model, following demand at the rate of the weight store.
//!
//! Demand is counted in tokens and forgotten with a half-life. Each model in demand gets at least
//! one engine where there is capacity, and the rest of the capacity is shared in proportion. Orders go out
//! no faster than the weight store serves loads, one an engine, and are repeated until the engine
//! shows the desired state: repeated orders are harmless. All carry the fencing number of the
//! present owner, so that engines which check it refuse those of a former one; at the others a
//! stray order is undone by the next tick.

use {
    crate::ids::{Epoch, UpstreamId},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Demand halves in this time.
const DEMAND_HALF_LIFE_S: f64 = 300.0;
/// Demand below this doesn't count.
const MIN_DEMAND_TOKENS: f64 = 1.0;
/// An order that hasn't shown effect is repeated after this.
const RESEND_AFTER: Duration = Duration::from_secs(30);
/// A loaded model stays at least so long, so that models don't go to and fro.
const MIN_LOADED_TIME: Duration = Duration::from_secs(120);

/// What an order asks of an engine.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum OrderKind {
    /// Load a model.
    Load,
    /// Drop a model.
    Unload,
    /// Add an adapter to a model.
    Adapter,
    /// Change a model's version.
    Version,
    /// Change the engine's role.
    Role,
}

impl OrderKind {
    /// Whether the order makes the engine read from the weight store.
    fn needs_weights(self) -> bool {
        matches!(self, Self::Load | Self::Adapter | Self::Version)
    }
}

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelOrder {
    /// The engine.
    pub upstream: UpstreamId,
    /// What it shall do.
    pub kind: OrderKind,
    /// The model, adapter, version or role by name.
    pub name: String,
    /// The fencing number of the owner that orders.
    pub fencing: Epoch,
}

/// What an engine shows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineState {
    /// Whether it is to get no new work, and so no orders.
    pub is_leaving: bool,
    /// Models that it holds.
    pub models: BTreeSet<String>,
    /// Adapters, versions and roles in force.
    pub settings: BTreeSet<(OrderKind, String)>,
}

/// Settings of model placement.
#[derive(Clone, Copy, Debug)]
pub struct ModelPlacementOptions {
    /// Models that fit into one engine.
    pub models_per_engine: usize,
    /// Least time between two orders that read from the weight store.
    pub load_interval: Duration,
}

#[derive(Clone, Debug)]
struct PendingOrder {
    order: ModelOrder,
    sent: Instant,
}

/// Decides which engine holds which model.
#[derive(Debug)]
pub struct ModelPlacement {
    options: ModelPlacementOptions,
    fencing: Epoch,
    engines: BTreeMap<UpstreamId, EngineState>,
    declared: BTreeSet<(OrderKind, String)>,
    /// Tokens asked for, and when they were last counted.
    demand: BTreeMap<String, (f64, Instant)>,
    loaded_at: BTreeMap<(UpstreamId, String), Instant>,
    /// At most one order an engine.
    pending: BTreeMap<UpstreamId, PendingOrder>,
    last_load: Option<Instant>,
}

impl ModelPlacement {
    /// Starts as the owner with a fencing number.
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

    /// Sets adapters, versions and roles that every engine shall have. Loads and unloads follow
    /// demand and are ignored here.
    pub fn declare(&mut self, settings: BTreeSet<(OrderKind, String)>) {
        let is_setting = |kind| !matches!(kind, OrderKind::Load | OrderKind::Unload);
        self.declared = settings.into_iter().filter(|(kind, _)| is_setting(*kind)).collect();
    }

    /// Takes what the engines show. Orders that had their effect are done.
    pub fn observe(&mut self, now: Instant, engines: BTreeMap<UpstreamId, EngineState>) {
        for (upstream, state) in &engines {
            let before = self.engines.get(upstream);
            let is_new = |model: &&String| before.is_none_or(|old| !old.models.contains(*model));
            for model in state.models.iter().filter(is_new) {
                self.loaded_at.insert((upstream.clone(), model.clone()), now);
            }
        }
        let is_held = |(upstream, model): &(UpstreamId, String)| {
            engines.get(upstream).is_some_and(|state| state.models.contains(model))
        };
        self.loaded_at.retain(|key, _| is_held(key));
        self.pending.retain(|upstream, pending| {
            engines.get(upstream).is_some_and(|state| !is_done(&pending.order, state))
        });
        self.engines = engines;
    }

    /// Counts what was asked of a model.
    pub fn record_demand(&mut self, now: Instant, model: &str, tokens: u64) {
        let before = self.demand_at(now, model);
        self.demand.insert(model.into(), (before + tokens as f64, now));
    }

    /// An engine refused an order because of its fencing number: another owner is in charge.
    /// No more orders go out under the present number.
    pub fn on_fenced(&mut self, epoch: Epoch) {
        if epoch > self.fencing {
            self.pending.clear();
            self.engines.clear();
        }
    }

    /// Orders that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<ModelOrder> {
        let mut out = self.resend(now);
        let desired = self.desired(now);
        for upstream in self.engines.keys().cloned().collect::<Vec<_>>() {
            if self.pending.contains_key(&upstream) || self.engines[&upstream].is_leaving {
                continue;
            }
            if let Some((kind, name)) = self.next_order_for(now, &upstream, &desired) {
                out.extend(self.send(now, upstream, kind, name));
            }
        }
        out
    }

    fn resend(&mut self, now: Instant) -> Vec<ModelOrder> {
        let is_due = |pending: &&mut PendingOrder| now.duration_since(pending.sent) >= RESEND_AFTER;
        let due = self.pending.values_mut().filter(is_due);
        due.map(|pending| {
            pending.sent = now;
            pending.order.clone()
        })
        .collect()
    }

    fn send(
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
        let is_under_replicated =
            |model: &String| !state.models.contains(model) && self.holders(model) < desired[model];
        let under_replicated = desired.keys().filter(|model| is_under_replicated(model));
        // The model that lacks most, in relation to what it should have, goes first.
        let fraction = |model: &String| self.holders(model) as f64 / desired[model] as f64;
        let Some(load) = under_replicated.min_by(|a, b| fraction(a).total_cmp(&fraction(b))) else {
            return self.model_to_copy(upstream, desired).map(|model| (OrderKind::Load, model));
        };
        if state.models.len() < self.options.models_per_engine {
            return Some((OrderKind::Load, load.clone()));
        }
        self.model_to_drop(now, upstream, desired).map(|model| (OrderKind::Unload, model))
    }

    /// A model to copy here from a full engine, which can then drop it and load one that is under_replicated
    /// but is already held wherever there is capacity.
    fn model_to_copy(
        &self,
        upstream: &UpstreamId,
        desired: &BTreeMap<String, usize>,
    ) -> Option<String> {
        let here = &self.engines[upstream].models;
        if here.len() >= self.options.models_per_engine {
            return None;
        }
        let under_replicated = here.iter().find(|model| {
            desired.get(*model).is_some_and(|desired| self.holders(model) < *desired)
        })?;
        let is_full = |state: &&EngineState| {
            let is_in_use = !state.is_leaving && !state.models.contains(under_replicated);
            is_in_use && state.models.len() >= self.options.models_per_engine
        };
        let models = || self.engines.values().filter(is_full).flat_map(|state| &state.models);
        let is_over_replicated =
            |model: &String| self.holders(model) > desired.get(model).copied().unwrap_or_default();
        if models().any(is_over_replicated) {
            // That one will be dropped as soon as it has stayed long enough.
            return None;
        }
        models().find(|model| !here.contains(*model)).cloned()
    }

    /// A model that the engine holds, more engines hold than should, and that stayed long enough.
    fn model_to_drop(
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
            self.holders(model) > desired.get(*model).copied().unwrap_or_default()
        };
        let models = self.engines[upstream].models.iter();
        models.filter(may_unload).find(is_over_replicated).cloned()
    }

    /// Engines that hold a model or were ordered to load it, without those that were ordered to
    /// drop it.
    fn holders(&self, model: &str) -> usize {
        let holds = |(upstream, state): &(&UpstreamId, &EngineState)| {
            let order = self.pending.get(*upstream).map(|pending| &pending.order);
            let ordered = order.filter(|order| order.name == model).map(|order| order.kind);
            match ordered {
                Some(OrderKind::Load) => true,
                Some(OrderKind::Unload) => false,
                _ => state.models.contains(model),
            }
        };
        let remaining = self.engines.iter().filter(|(_, state)| !state.is_leaving);
        remaining.filter(holds).count()
    }

    /// How many engines should hold each model in demand: capacity goes to the model whose demand an
    /// engine is highest, one place after the other, each model at most once an engine.
    fn desired(&self, now: Instant) -> BTreeMap<String, usize> {
        let engines = self.engines.values().filter(|state| !state.is_leaving).count();
        let mut capacity = engines * self.options.models_per_engine;
        let demand = self.demand.keys().map(|model| (model, self.demand_at(now, model)));
        let demand: Vec<_> = demand.filter(|(_, tokens)| *tokens >= MIN_DEMAND_TOKENS).collect();
        let mut desired: BTreeMap<String, usize> = BTreeMap::new();
        while capacity > 0 {
            let count = |model: &String| desired.get(model).copied().unwrap_or_default();
            let candidates = demand.iter().filter(|(model, _)| count(model) < engines);
            // A model without any engine goes before all that have one.
            let key = |model: &String, tokens: f64| {
                let held = count(model);
                if held == 0 { (true, tokens) } else { (false, tokens / (held + 1) as f64) }
            };
            let next = candidates.max_by(|(a, x), (b, y)| {
                let (a, b) = (key(a, *x), key(b, *y));
                a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
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
