//! Runs the program as a child process: starts it with a node config or an operator config, reads its log, sends it
//! signals and suspends it. A process is killed when its handle is dropped, so that none outlives the test that
//! started it.

mod config;
mod files;
mod launch;
mod log;
mod node;
mod ops_call;
mod process;

pub use config::{node_config, node_config_of};
pub use files::folder;
pub use launch::{listener, path, program, program_at};
pub use node::Node;
pub use ops_call::{read_response, send_call};
