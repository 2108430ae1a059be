//! The configuration, the metrics and the operators' API: how operators and the platform direct the program, and what it
//! reports. This module must never act on that by itself.

pub mod api;
pub mod config_files;
pub mod counters;
pub mod metrics;
pub mod node_config;
pub mod operator_config;
