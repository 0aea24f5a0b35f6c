//! HTTP clients for upstreams and for the platform: its host list and its Object API.
//!
//! Each client sends HTTP/1.1 requests to one address. Every failure states whether the call may
//! have run (see [`CallError`]). The clients never retry a call that has an effect; the code that
//! uses them decides about that.

pub mod engine;
pub mod error;
pub mod hosts;
mod http;
pub mod objects;
pub mod service;

pub use {
    engine::{
        CacheEvent, CacheEventKind, CacheEvents, CachedProgram, ChatAssembler, ChatEvent,
        ChatRequest, ChatStream, Engine, Load, ModelOrder, OrderKind,
    },
    error::{CallError, ErrorKind},
    hosts::{HostList, UpstreamRecord},
    http::{has_ended, is_forbidden_header},
    objects::{
        CallCounts, ChangedKey, KeyVersion, Object, ObjectApi, ReadError, Version, WatchReply,
        WriteError,
    },
    service::{ServiceClient, ServiceReply, ServiceRequest},
};
