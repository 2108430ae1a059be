//! What a planner is given.

use reedferry::{BalancerSettings, Nanos};

/// The settings of a planner.
#[derive(Clone, Debug)]
pub struct PlannerConfig {
    /// The planner's name, which forwarders greet it by.
    pub name: String,
    /// The settings of the decision core of each zone.
    pub balancer_settings: BalancerSettings,
    /// How many zones there are.
    pub zone_count: u16,
    /// Its index among the planners that the operator lists.
    pub planner_index: u32,
    /// How many planners the operator lists.
    pub planner_count: u32,
    /// Hash of the lists whose positions stand for names in messages.
    pub fingerprint: u64,
    /// How long a forwarder may be silent.
    pub silence_timeout: Nanos,
    /// How long a zone without followers waits, from its first follower, for others to report their connections.
    pub settle_time: Nanos,
    /// The most requests of one forwarder.
    pub max_requests_per_forwarder: usize,
}
