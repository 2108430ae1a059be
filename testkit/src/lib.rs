//! What tests and measurements share: stand-ins on loopback for everything that the program talks to, the program as a
//! child process, relays and networks with faults, and a checker of the four rules. Never linked into the program.

pub mod coldstart;
pub mod discovery;
pub mod fleet;
pub mod fleet_view;
pub mod html_chart;
pub mod network;
pub mod peers;
pub mod program;
pub mod relay;
pub mod schedule;
pub mod scripted_forwarder;
pub mod simulated;
pub mod soak;
pub mod syscalls;
pub mod two_tier;
pub mod two_tier_cluster;

pub use discovery::Discovery;
pub use peers::*;
pub use program::{
    folder, listener, node_config, program, program_at, read_response, send_call, Node,
};
