//! Tests of forwarders and planners together in simulated time, over connections that can be cut, delayed and blocked,
//! with hosts that accept, reject, fail or stay silent. The invariants are checked against what hosts and clients
//! observe, and never against the state that a forwarder or planner reports of itself.

mod connections;
mod drains;
mod limits;
mod pauses;
mod placement;
mod planner_failures;
mod protocol_errors;
mod random_faults;
mod shutdown;
mod simulation;
mod slow_start;
