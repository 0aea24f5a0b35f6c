//! Takes callers' requests and sends them to upstreams itself: one hop, no home and no dispatcher.
//!
//! The gateway serves sites whose callers keep the history of their programs and name route, program
//! and budget in each request. It decides by `trefoilring-core`, and speaks through an adapter that
//! implements [`Dialect`], [`Store`] and [`Directory`]; nothing here knows the adapter's names.
//!
//! All of it runs on one thread: the hosts that it is for have a quarter of a core.

mod allowance;
mod call;
pub mod dialect;
mod front;
mod gateway;
pub mod http;
mod ledger;
mod listen;
mod outage_notes;
mod peers;
mod roster;
pub mod settings;
mod status;
pub mod store;
pub mod time;
mod watch;

pub use {
    dialect::Dialect,
    gateway::{Adapter, BoundAddresses, Command, Gateway, ReadSettings},
    settings::GatewaySettings,
    store::{Directory, Store},
};
