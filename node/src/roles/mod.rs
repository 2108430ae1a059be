//! The roles of the program, each with its event loop, and the hot restart that replaces one process by another. This module
//! must never decide what a decision core decides.

pub mod forward;
pub mod hot_restart;
pub mod plan;
pub mod standalone;
