//! The allowance of a team, exact over all hosts.
//!
//! A team's rate and burst are split into two halves at two hosts in different failure domains.
//! A small burst is not split. Tokens may be promised for a later time, in order of arrival.
//! Each half is one bucket that one host holds at a time ([`crate::membership::Standing`]). The
//! sum of the halves' bursts and rates is the team's, so the team never gets more.
//! `docs/decisions/0004-limits.md` has the choice, the proof and the figures.

mod bucket;
mod client;
mod limiter;
#[cfg(test)]
mod tests;

pub use {
    bucket::{Allowance, Bucket, Level, Tokens, WAIT_MAX},
    client::{Attempt, HalfAnswer, Hints, Step},
    limiter::{Handover, Limiter, Taken},
};
