//! One zone of a planner: its decision core, the requests that wait for a placement, its fallback plan and its
//! thinning of placements on hosts in slow start.

use super::host_table::HostTable;
use super::request_table::RecordKey;
use crate::fallback_plan::PlacementShares;
use crate::messages::{HostWeight, PlacementRequest, PriorAttempts};
use reedferry::{Action, Balancer, Event, Nanos, MILLI};
use std::collections::VecDeque;

/// How often the fallback plan is computed and sent.
pub const PLAN_INTERVAL: Nanos = 100 * MILLI;

/// A request that waits for its placement.
pub struct QueuedRequest {
    pub record: RecordKey,
    pub request: PlacementRequest,
    pub prior_attempts: PriorAttempts,
    pub queued_at: Nanos,
}

/// The state of a zone.
pub struct Zone {
    balancer: Balancer,
    actions: Vec<Action>,
    pub shares: PlacementShares,
    plan_weights: Vec<HostWeight>,
    /// None once the hosts have changed.
    plan_computed_at: Option<Nanos>,
    /// Sessions that follow this planner in the zone.
    pub followers: u32,
    /// Nothing is placed before.
    pub settled_at: Nanos,
    /// Fractions of placements on hosts in slow start that add up to the next one allowed.
    slow_start_credit: f64,
    pub queue: VecDeque<QueuedRequest>,
}

impl Zone {
    /// A zone with a new decision core, and the actions that the core began with.
    pub fn new(balancer: Balancer, actions: Vec<Action>) -> Self {
        Zone {
            balancer,
            actions,
            shares: PlacementShares::default(),
            plan_weights: Vec::new(),
            plan_computed_at: None,
            followers: 0,
            settled_at: 0,
            slow_start_credit: 0.0,
            queue: VecDeque::new(),
        }
    }

    /// Hands an event to the decision core, whose actions await [`Zone::take_actions`].
    pub fn handle(&mut self, now: Nanos, event: Event) {
        self.balancer.handle(now, event, &mut self.actions);
    }

    /// Takes the actions that the decision core has put out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Whether a placement that the decision core makes on a host in slow start may go out. The core takes its
    /// quota for that of one of `core_count`; where more forwarders follow this planner than its part, as many
    /// fewer go. Without this, a warming host would be overloaded when planners are gone or forwarders gather
    /// at one.
    pub fn admit_slow_start(&mut self, sessions: usize, core_count: usize) -> bool {
        let part = f64::from(self.followers) * core_count as f64;
        self.slow_start_credit += (sessions as f64 / part.max(1.0)).min(1.0);
        let admitted = self.slow_start_credit >= 1.0;
        self.slow_start_credit -= f64::from(u8::from(admitted));
        admitted
    }

    /// The hosts have changed: the plan must be computed again.
    pub fn invalidate_plan(&mut self) {
        self.plan_computed_at = None;
    }

    /// Whether a session that was sent its last plan at `sent_at` is to be sent one now.
    pub fn is_plan_due(&self, now: Nanos, sent_at: Nanos) -> bool {
        now >= sent_at + PLAN_INTERVAL || self.plan_computed_at.is_none()
    }

    /// The hosts of the fallback plan, computed again when they are too old.
    pub fn plan_weights(
        &mut self,
        now: Nanos,
        hosts: &HostTable,
        warm_up: Nanos,
    ) -> Vec<HostWeight> {
        if self
            .plan_computed_at
            .is_none_or(|computed_at| now >= computed_at + PLAN_INTERVAL)
        {
            self.plan_weights = self
                .shares
                .weights(now, |host| hosts.is_ready_and_warm(host, now, warm_up));
            self.plan_computed_at = Some(now);
        }
        self.plan_weights.clone()
    }
}
