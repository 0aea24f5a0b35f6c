//! Declarations and settings: raw input to checked types.
//!
//! The settings are what one process is started with; the declarations are what operators declare
//! for the whole system. Both report every fault of their input in one pass.

pub mod declarations;
pub mod secret;
pub mod settings;
