//! Accepts callers' requests and sends them directly to upstreams: one hop, without a home or a
//! dispatcher.
//!
//! The gateway serves sites whose callers keep the history of their programs and send the route,
//! the program and the budget with each request. `trefoilring-core` makes the decisions. An adapter
//! implements [`Dialect`], [`Store`] and [`ObjectParser`]; this crate contains no site-specific
//! header or object names.
//!
//! The gateway runs on one thread, because its hosts are limited to a quarter of a CPU core.

mod allowance;
mod call;
mod callers;
mod cold;
mod crashes;
pub mod dialect;
mod evacuations;
mod files;
mod gateway;
pub mod http;
mod inbound;
mod leaving;
mod ledger;
mod listen;
mod memory;
mod outage_notes;
mod peers;
mod registrations;
mod relay;
mod roster;
pub mod settings;
mod sockets;
mod status;
pub mod store;
mod stream_origins;
mod task_count;
pub mod time;
mod turns;
mod upstream_limits;
mod watch;

pub use {
    dialect::Dialect,
    gateway::{Adapter, BoundAddresses, Command, Gateway, ReadSettings},
    settings::GatewaySettings,
    store::{ObjectParser, Store},
};
