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
    command::{AdoptedSlot, CacheEvent, Command, LoadReport, LogEvent, UpstreamView, WaiterId},
    dispatcher::{Dispatcher, DispatcherCounts},
    models::{EngineState, ModelOrder, ModelPlacement, ModelPlacementOptions, OrderKind},
    options::{DispatcherOptions, LimitPolicy, Placement, QueueOrder},
    request::{Outcome, SlotGrant, SlotRelease, SlotRequest, Ticket},
};
