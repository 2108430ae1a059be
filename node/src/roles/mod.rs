//! The roles of the program, each with its own event loop, and the hot restart that replaces a running process with a new one.
//! The roles connect sockets, timers and signals to the decision cores, and leave every balancing decision to them.

pub mod forward;
pub mod hot_restart;
pub mod plan;
pub mod standalone;
