//! Enforces a team's allowance exactly across all hosts.
//!
//! A team's rate and burst are split into two halves, held by two hosts in different failure
//! domains. A small burst is not split. Grants may be deferred, in order of arrival. Each half is a
//! token bucket held by at most one host at a time ([`crate::membership::Standing`]). The rates and
//! bursts of the halves add up to the team's, so a team never gets more than its allowance.
//! `docs/decisions/0004-limits.md` explains the design and gives the proof and the measurements.

mod bucket;
mod client;
mod limiter;
#[cfg(test)]
mod tests;

pub use {
    bucket::{Allowance, Bucket, Level, MAX_DEFERRAL, TokenUnits},
    client::{Action, LimiterResult, PreferredHalves, TokenRequest},
    limiter::{Handover, Limiter, Taken},
};
