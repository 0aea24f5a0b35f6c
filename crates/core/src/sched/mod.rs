//! Order, fairness, placement and admission for one pool of upstreams.

mod command;
mod dispatcher;
mod estimate;
mod fair;
mod limit;
mod options;
mod order;
mod programs;
mod request;
mod retry;
mod shed;
mod suspects;
mod upstream;

pub use {
    command::{AdoptedSlot, CacheEvent, Command, LoadReport, Note, UpstreamView, Waiter},
    dispatcher::{Dispatcher, DispatcherCounts},
    options::{DispatcherOptions, LimitPolicy, Order, Placement},
    request::{Outcome, SlotGrant, SlotRelease, SlotRequest, Ticket},
};
