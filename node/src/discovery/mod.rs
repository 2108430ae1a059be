//! The list of hosts: calls to discovery, what is believed of their answers, and the hosts as the node reaches them.
//! It must never judge a host.

pub mod client;
pub mod hosts;
pub mod http;
pub mod list;
pub mod staleness;
pub mod starts;
pub mod versions;
