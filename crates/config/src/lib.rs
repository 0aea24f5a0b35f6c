//! Parsing and validation of settings and declarations.
//!
//! Settings configure one process and come from flags and environment variables. Declarations
//! configure the whole system and come from TOML files. Both report all invalid values of their
//! input in one pass.

pub mod declarations;
pub mod secret;
pub mod settings;
