//! Many nodes of the module with the same events, and assertions on their sums: what is harmless at
//! one node may not be when a hundred do it.

mod discovery;
mod draining;
mod restarts;
mod simulation;
mod slow_start;
