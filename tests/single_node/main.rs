//! Tests of one node on a simulated clock.

mod load_limit;
mod node;
mod settings_change;
mod setup_timeout;
mod slow_store;
