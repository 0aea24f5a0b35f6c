//! Clients of the platform and of upstreams.
