//! Order, fairness, placement and admission for one pool of upstreams.

mod command;
mod dispatcher;
mod estimate;
mod fair;
mod limit;
mod models;
mod options;
mod order;
mod programs;
mod request;
mod retry;
mod shed;
mod suspects;
mod upstream;

pub use {
    command::{AdoptedSlot, CacheEvent, Command, LoadReport, LogEvent, UpstreamView, Waiter},
    dispatcher::{Dispatcher, DispatcherCounts},
    models::{EngineState, ModelOrder, ModelPlacement, ModelPlacementOptions, OrderKind},
    options::{DispatcherOptions, LimitPolicy, Order, Placement},
    request::{Outcome, SlotGrant, SlotRelease, SlotRequest, Ticket},
};
