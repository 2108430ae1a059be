//! The configuration, the metrics and the operators' API: the means by which operators and the platform control and observe the
//! program. This module reads and reports; it must never act on a configuration or a request by itself.

pub mod api;
pub mod config_files;
pub mod counters;
pub mod metrics;
pub mod node_config;
pub mod operator_config;
