//! The allowance of a team, exact over all hosts.
//!
//! A team's rate and burst are split into two halves, held by two hosts in different failure
//! domains. A small burst is not split. Tokens may be granted for a later time, in order of
//! arrival. Each half is one bucket that one host holds at a time
//! ([`crate::membership::Standing`]). The rates and bursts of the halves add up to the team's, so a
//! team never gets more than its allowance. `docs/decisions/0004-limits.md` has the choice, the
//! proof and the figures.

mod bucket;
mod client;
mod limiter;
#[cfg(test)]
mod tests;

pub use {
    bucket::{Allowance, Bucket, Level, Tokens, WAIT_MAX},
    client::{Action, LimiterResult, PreferredHalves, TokenRequest},
    limiter::{Handover, Limiter, Taken},
};
