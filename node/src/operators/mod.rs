//! What operators and the platform tell the program, and what it tells them. It must never act on it by itself.

pub mod config_files;
pub mod counts;
pub mod node_config;
pub mod operator_config;
pub mod ops;
pub mod tally;
