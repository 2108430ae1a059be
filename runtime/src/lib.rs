//! The I/O layer of all reedferry programs: the poller and its timers, sockets and their descriptor
//! budget, the buffer pool, the clock, signals and the log.
//!
//! This crate owns all descriptors, all buffers and the log lines that are not yet written. It does
//! not interpret the bytes that pass through a socket and makes no placement decisions.

pub mod channel;
pub mod clock;
mod descriptor_budget;
pub mod errors;
pub mod log;
pub mod poller;
pub mod pool;
pub mod signals;
pub mod sockets;

pub use clock::Clock;
pub use descriptor_budget::DescriptorBudget;
pub use poller::{merge_readiness, PollToken, Poller, Readiness};
pub use pool::{Buffer, BufferPool};
pub use rustix::io::Errno;
pub use signals::Signal;
pub use sockets::Socket;

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;
