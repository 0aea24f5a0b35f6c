//! Load and experiment tool.
//!
//! [`Experiment`] measures a scheduling policy in virtual time: the production dispatcher or the
//! naive baseline, on a model of the engines. The same seed gives every policy the same programs.

pub mod capacity;
pub mod charts;
pub mod cli;
pub mod engine;
pub mod experiment;
pub mod latency;
pub mod measure;
mod measurement_site;
pub mod naive;
pub mod plan;
pub mod policy;
pub mod sim;
pub mod summary;
pub mod workload;

pub use experiment::Experiment;
