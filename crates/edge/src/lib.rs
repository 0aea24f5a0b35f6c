//! The callers' HTTP interface.
//!
//! This crate bounds, parses and answers HTTP; all else is behind [`Backend`], so that it can be
//! tested with a fake and reused with another home.

mod backend;
mod options;
mod stop;

pub use {
    backend::{Answer, Backend, Readiness},
    options::{EdgeOptions, MAX_HEAD_BYTES, MAX_HEADERS},
    stop::{Stop, Stopper, stop_signal},
};
