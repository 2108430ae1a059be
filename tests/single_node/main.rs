//! Tests of one node whose hosts accept every attempt at once.

mod load_limit;
mod node;
mod settings_change;
mod setup_timeout;
mod slow_store;
