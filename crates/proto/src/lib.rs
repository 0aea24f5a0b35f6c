//! Services and messages between hosts.
