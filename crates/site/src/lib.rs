//! A complete site in one process: hosts, and stand-ins for the platform and for upstreams, on
//! loopback ports that the kernel assigns. Used by the demo, end-to-end tests and measurements.

mod caller;
mod site;

pub use {
    caller::{CallerClient, CallerError, Reply, SseReply},
    site::{HostSpec, Site, SiteError, SiteOptions, UpstreamSpec, deploy},
};
