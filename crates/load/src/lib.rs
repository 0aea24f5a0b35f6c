//! Load and experiment tool.
//!
//! [`Experiment`] measures a policy in virtual time: the dispatcher of the product, or the naive
//! one, against a small model of the engines. The same seed gives every policy the same programs.

mod bench_site;
pub mod capacity;
pub mod cli;
pub mod engine;
pub mod experiment;
pub mod latency;
pub mod measure;
pub mod naive;
pub mod plan;
pub mod policy;
pub mod report;
pub mod sim;
pub mod summary;
pub mod workload;

pub use experiment::Experiment;
