//! What every reedferry program is built on: the poller and its timers, sockets with their
//! descriptor budget, the buffer pool, the clock, signals and the log. Owns descriptors, buffers
//! and what is still to be logged. Must never know what flows through a socket, nor take any
//! decision.

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

/// Time or a span of time in whole nanoseconds.
pub type Nanos = u64;
