//! What a forwarder is given.

use reedferry::{BalancerSettings, Nanos, RequestClass};

use crate::pending_request::PendingRequest;

/// The settings of a forwarder.
#[derive(Clone, Debug)]
pub struct ForwarderConfig {
    /// The forwarder's name.
    pub name: String,
    /// The request classes and limits, as the planners have them.
    pub balancer_settings: BalancerSettings,
    /// Hash of the lists whose positions stand for names in messages.
    pub fingerprint: u64,
    /// Grows with each start.
    pub epoch: u64,
    /// How long a planner's decisions hold, from the heartbeat that they answer. Shorter than the drain grace.
    pub lease: Nanos,
    /// How long a planner may take to decide.
    pub decision_timeout: Nanos,
    /// The most requests that await a planner's decision.
    pub max_awaiting_decision: usize,
    /// How long a preferred planner must have been healthy before it is followed again.
    pub failback_delay: Nanos,
}

impl ForwarderConfig {
    /// The class of a request.
    pub(super) fn class_of(&self, request: &PendingRequest) -> &RequestClass {
        let classes = &self.balancer_settings.classes;
        &classes[request.incoming.class.min(classes.len() - 1)]
    }

    /// Whether there may be another attempt at the request.
    pub(super) fn may_attempt(&self, request: &PendingRequest, now: Nanos) -> bool {
        let settings = &self.balancer_settings;
        now < request.answer_by(settings)
            && request.may_attempt(self.class_of(request), settings.max_attempts, now)
    }
}
