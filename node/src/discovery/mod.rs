//! The list of hosts: the client of the list service, what is believed of its answers, and the hosts as the
//! node reaches them. Must never judge a host.

mod call;
pub mod client;
mod host_record;
pub mod hosts;
mod http;
mod json;
pub mod list;
mod message_latency;
mod staleness;
mod start_times;
mod versions;
mod zones;
