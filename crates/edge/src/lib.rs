//! The callers' HTTP interface.
//!
//! This crate bounds, parses and answers HTTP; all else is behind [`Backend`], so that it can be
//! tested with a fake and reused with another home. A request passes these modules in turn:
//! `server` accepts its connection, `receive` reads it within [`EdgeOptions`], `head`, `route` and
//! `body` turn raw input into checked types, `handler` asks the backend, `relay` follows the
//! answer, and `reply` writes it. Any failure on the way is a `problem`.

mod backend;
mod body;
mod conn;
mod forward;
mod handler;
mod head;
mod implicit;
mod options;
mod path;
mod problem;
mod receive;
mod relay;
mod reply;
mod route;
mod server;
mod stop;
#[cfg(test)]
mod tests;
mod view;

pub use {
    backend::{Answer, Backend, Readiness},
    options::{EdgeOptions, MAX_HEAD_BYTES, MAX_HEADERS},
    server::Edge,
    stop::{Stop, Stopper, stop_signal},
};
