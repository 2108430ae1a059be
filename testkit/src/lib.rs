//! What tests and measurements share: stand-ins on loopback for all that the program meets, the program
//! itself as it is started and ended, a relay that spoils what passes, and a invariant checker of the four rules. It
//! must never be linked into the program.

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
pub mod simulated;
pub mod soak;
pub mod speaker;
pub mod syscalls;
pub mod tiers;
pub mod two_tier;

pub use discovery::Discovery;
pub use peers::*;
pub use program::{answered, ask, folder, listener, node_config, program, program_at, Node};
