//! What nodes tell each other. It must never depend on any of it arriving.

pub mod fleet;
pub mod wards;
pub mod words;
