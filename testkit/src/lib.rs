//! Shared code of the integration tests and the measurements: simulated peers on loopback for everything that the
//! program talks to, the program as a child process, and relays and networks that inject faults. This crate is never
//! linked into the program.
//!
//! The checkers judge a run by four rules, from what hosts and clients recorded:
//!
//! 1. Each request gets exactly one answer, in time, and no attempt starts after the answer.
//! 2. A request that may have run is repeated only where, and for as long as, its class allows, one attempt at a time.
//! 3. No request reaches a host later than the drain grace after the announcement of its drain.
//! 4. No host is sent more connections than it can take while it warms up.

pub mod coldstart;
pub mod discovery;
pub mod fleet;
pub mod fleet_view;
pub mod html_chart;
pub mod network;
pub mod peers;
pub mod pressure;
pub mod program;
pub mod relay;
pub mod schedule;
pub mod scripted_forwarder;
pub mod simulated;
pub mod soak;
pub mod spawn_guard;
pub mod syscalls;
pub mod two_tier;
pub mod two_tier_cluster;

pub use discovery::Discovery;
pub use peers::*;
pub use program::{
    folder, listener, node_config, program, program_at, read_response, send_call, Node,
};
