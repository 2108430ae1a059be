//! The configuration of a forwarder, and the checks of requests that depend on it.

use reedferry::{BalancerSettings, Nanos, RequestClass};

use crate::pending_request::PendingRequest;

/// The configuration of a forwarder.
#[derive(Clone, Debug)]
pub struct ForwarderConfig {
    /// The forwarder's name.
    pub name: String,
    /// The request classes and limits, which the planners have as well.
    pub balancer_settings: BalancerSettings,
    /// The [`fingerprint`](crate::fingerprint) of the lists of names that messages refer to by index.
    pub fingerprint: u64,
    /// A number that grows with each start of the forwarder.
    pub epoch: u64,
    /// The time for which a planner's decisions hold, counted from the sending of the heartbeat that they answer. It
    /// must be shorter than the drain grace.
    pub lease: Nanos,
    /// The time that a planner may take to decide.
    pub decision_timeout: Nanos,
    /// The maximum number of requests that await a planner's decision.
    pub max_awaiting_decision: usize,
    /// The time for which a preferred planner must have been healthy before it is followed again.
    pub failback_delay: Nanos,
}

impl ForwarderConfig {
    /// Returns the class of a request. An index out of range counts as that of the last class.
    pub(super) fn class_of(&self, request: &PendingRequest) -> &RequestClass {
        let classes = &self.balancer_settings.classes;
        &classes[request.incoming.class.min(classes.len() - 1)]
    }

    /// Returns whether another attempt at the request is allowed and its final answer is not due yet.
    pub(super) fn may_attempt(&self, request: &PendingRequest, now: Nanos) -> bool {
        let settings = &self.balancer_settings;
        now < request.answer_by(settings)
            && request.may_attempt(self.class_of(request), settings.max_attempts, now)
    }
}
