//! A fleet of processes of the program, hosts that warm up and can be overloaded, a front load balancer that notices
//! the end of a process only after a delay, and clients that reconnect under the same affinity key. Hosts and clients
//! record what they saw with its time; the rules are checked by these records alone.

mod front;
mod options;
mod processes;
mod returning_clients;
mod warming_hosts;

pub use front::Front;
pub use options::FleetOptions;
pub use processes::Fleet;
pub use returning_clients::{ClientRecord, RequestRecord, ReturningClients};
pub use warming_hosts::WarmingHosts;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long the clients of a fleet wait for an answer.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// How long hosts recognize and drop repeats of a request with an idempotency key.
pub const IDEMPOTENCY_WINDOW: Duration = Duration::from_millis(1500);

/// Returns a lock that makes the tests of one binary run one at a time: each starts dozens of processes and depends
/// on timing.
pub fn one_test_at_a_time() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}
