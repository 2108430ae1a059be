//! The configuration of a planner.

use reedferry::{BalancerSettings, Nanos};

/// The configuration of a planner.
#[derive(Clone, Debug)]
pub struct PlannerConfig {
    /// The planner's name, which forwarders must give in their greeting.
    pub name: String,
    /// The settings that the decision cores of all zones have in common.
    pub balancer_settings: BalancerSettings,
    /// The number of zones; 0 counts as 1.
    pub zone_count: u16,
    /// The planner's index on the operator's list of planners, from 0.
    pub planner_index: u32,
    /// The number of planners on the operator's list; 0 counts as 1.
    pub planner_count: u32,
    /// The [`fingerprint`](crate::fingerprint) of the lists of names that messages refer to by index.
    pub fingerprint: u64,
    /// The time without a frame after which a forwarder's connection is closed.
    pub silence_timeout: Nanos,
    /// The time for which a zone places nothing after its first follower arrives, so that other forwarders can follow
    /// too and report their open connections.
    pub settle_time: Nanos,
    /// The maximum number of requests, including open connections, that are kept for one forwarder.
    pub max_requests_per_forwarder: usize,
}
