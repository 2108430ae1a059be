//! The roles of the program, each with its one loop, and how one process takes the place of another. It must never
//! decide what the module, or a core, decides.

pub mod alone;
pub mod forward;
pub mod hot_restart;
pub mod plan;
