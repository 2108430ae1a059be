//! Tests of many nodes that get the same events. They check the sums over all nodes, because an
//! action that is harmless at one node may overload a host if a hundred nodes take it.

mod discovery;
mod draining;
mod restarts;
mod simulation;
mod slow_start;
