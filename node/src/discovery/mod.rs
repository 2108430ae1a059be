//! Discovery of hosts: the client of the list service, the decision which of its answers are accepted, and the
//! records of the hosts. Whether a host is healthy or overloaded is not decided here.

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
