//! Both ends of the link together, in simulated time: forwarders and planners over connections that can be cut,
//! delayed and blocked, among hosts that accept, reject, fail or stay silent. The invariants are checked by
//! what hosts and clients saw, never by what an end says of itself.

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
