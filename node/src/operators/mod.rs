//! Configuration, metrics and the operators' API: what operators and the platform tell the program, and what it tells them. This
//! module must never act on that by itself.

pub mod api;
pub mod config_files;
pub mod counts;
pub mod node_config;
pub mod operator_config;
pub mod tally;
