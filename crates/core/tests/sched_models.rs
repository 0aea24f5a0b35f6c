//! Tests model placement with engines that carry out orders or ignore them. Time is virtual.

use {
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::UpstreamId,
        sched::{EngineState, ModelOrder, ModelPlacement, ModelPlacementOptions, OrderKind},
    },
};

const LOAD_INTERVAL: Duration = Duration::from_secs(10);
const FENCING: u64 = 7;

/// Engines of a pool. [`Fleet::run`] carries out every order at once; [`Fleet::tick`] carries out
/// none.
struct Fleet {
    placement: ModelPlacement,
    engines: BTreeMap<UpstreamId, EngineState>,
    now: Instant,
    loads: Vec<Instant>,
}

impl Fleet {
    fn new(engines: usize, models_per_engine: usize) -> Self {
        let options = ModelPlacementOptions { models_per_engine, load_interval: LOAD_INTERVAL };
        let name = |index: usize| UpstreamId::from(format!("up-{index}"));
        let mut fleet = Self {
            placement: ModelPlacement::new(options, FENCING),
            engines: (0..engines).map(|index| (name(index), EngineState::default())).collect(),
            now: Instant::now(),
            loads: Vec::new(),
        };
        fleet.observe();
        fleet
    }

    fn observe(&mut self) {
        self.placement.observe(self.now, self.engines.clone());
    }

    fn tick(&mut self) -> Vec<ModelOrder> {
        self.now += Duration::from_secs(1);
        let orders = self.placement.tick(self.now);
        assert!(orders.iter().all(|order| order.fencing == FENCING));
        let is_load = |order: &&ModelOrder| order.kind == OrderKind::Load;
        self.loads.extend(orders.iter().filter(is_load).map(|_| self.now));
        orders
    }

    fn apply_orders(&mut self, orders: &[ModelOrder]) {
        for order in orders {
            let engine =
                self.engines.get_mut(&order.upstream).expect("the order names a known engine");
            match order.kind {
                OrderKind::Load => drop(engine.models.insert(order.name.clone())),
                OrderKind::Unload => drop(engine.models.remove(&order.name)),
                kind => drop(engine.settings.insert((kind, order.name.clone()))),
            }
        }
        self.observe();
    }

    fn run(&mut self, seconds: u64, demand: &[(&str, u64)]) {
        for _ in 0..seconds {
            for (model, tokens) in demand {
                self.placement.record_demand(self.now, model, *tokens);
            }
            let orders = self.tick();
            self.apply_orders(&orders);
        }
    }

    fn replica_count(&self, model: &str) -> usize {
        self.engines.values().filter(|engine| engine.models.contains(model)).count()
    }
}

#[test]
fn every_model_in_demand_is_loaded_and_spare_capacity_follows_demand() {
    let names: Vec<String> = (0..33).map(|index| format!("model-{index:02}")).collect();
    let demand: Vec<(&str, u64)> = names
        .iter()
        .enumerate()
        .map(|(i, name)| (name.as_str(), if i == 0 { 900 } else { 10 }))
        .collect();
    let mut fleet = Fleet::new(9, 4);
    fleet.run(1_000, &demand);
    assert!(names.iter().all(|name| fleet.replica_count(name) >= 1));
    assert_eq!(
        fleet.replica_count("model-00"),
        4,
        "the model with most demand did not get the spare capacity of 36 for 33 models"
    );
    // Loads are ordered no faster than the weight store allows.
    assert!(fleet.loads.windows(2).all(|pair| pair[1] - pair[0] >= LOAD_INTERVAL));
}

#[test]
fn placement_follows_a_change_of_demand_and_then_stabilizes() {
    let mut fleet = Fleet::new(6, 1);
    fleet.run(400, &[("a", 500), ("b", 100)]);
    assert_eq!((fleet.replica_count("a"), fleet.replica_count("b")), (5, 1));
    fleet.run(3_000, &[("a", 100), ("b", 500)]);
    assert_eq!((fleet.replica_count("a"), fleet.replica_count("b")), (1, 5));
    let loads = fleet.loads.len();
    fleet.run(1_000, &[("a", 100), ("b", 500)]);
    assert_eq!(fleet.loads.len(), loads, "a model was loaded although demand was constant");
}

#[test]
fn an_order_without_effect_is_resent_unchanged() {
    let mut fleet = Fleet::new(1, 1);
    fleet.placement.record_demand(fleet.now, "a", 1_000);
    let first = fleet.tick();
    assert_eq!(first.len(), 1);
    // 65 s are enough for two repetitions, one every 30 s.
    let repeated: Vec<ModelOrder> = (0..65).flat_map(|_| fleet.tick()).collect();
    assert_eq!(repeated, [first[0].clone(), first[0].clone()]);
}

#[test]
fn declared_settings_reach_every_engine_that_is_not_draining() {
    let mut fleet = Fleet::new(3, 1);
    let leaving: UpstreamId = "up-1".into();
    fleet.engines.get_mut(&leaving).expect("the fleet has the engine").is_leaving = true;
    fleet.observe();
    let settings = BTreeSet::from([
        (OrderKind::Version, "a@2".to_owned()),
        (OrderKind::Adapter, "a+watches".to_owned()),
        (OrderKind::Role, "decode".to_owned()),
    ]);
    fleet.placement.declare(settings.clone());
    fleet.run(100, &[]);
    for (id, engine) in &fleet.engines {
        assert_eq!(engine.settings == settings, *id != leaving, "{id}");
    }
}

#[test]
fn a_fenced_owner_sends_no_more_orders() {
    let mut fleet = Fleet::new(2, 1);
    fleet.placement.record_demand(fleet.now, "a", 1_000);
    assert!(!fleet.tick().is_empty());
    fleet.placement.on_fenced(FENCING + 1);
    assert!((0..100).all(|_| fleet.tick().is_empty()));
}
