//! Declarations and settings: raw input to checked types.
