//! A zone of a planner: its decision core, the requests that wait for a placement, its fallback plan, and the limit on
//! placements on hosts in slow start.

use super::host_table::HostTable;
use super::request_table::RecordKey;
use crate::fallback_plan::PlacementShares;
use crate::messages::{HostWeight, PlacementRequest, PriorAttempts};
use reedferry::{Action, Balancer, Event, Nanos, MILLI};
use std::collections::VecDeque;

/// The interval at which the fallback plan is computed and sent.
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
    /// The time at which `plan_weights` was computed; `None` if it must be computed again because hosts have changed.
    plan_computed_at: Option<Nanos>,
    /// The number of sessions of the zone that follow this planner.
    pub followers: u32,
    /// The time before which nothing is placed.
    pub settled_at: Nanos,
    /// The accumulated credit for placements on hosts in slow start. Each placement uses up 1.0 of it.
    slow_start_credit: f64,
    pub queue: VecDeque<QueuedRequest>,
}

impl Zone {
    /// Creates a zone with a new decision core. `actions` are the first actions of the core.
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

    /// Passes an event to the decision core. Its actions are kept for [`Zone::take_actions`].
    pub fn handle(&mut self, now: Nanos, event: Event) {
        self.balancer.handle(now, event, &mut self.actions);
    }

    /// Takes the actions that the decision core has returned since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns whether a placement of the decision core on a host in slow start may be sent. The core computes its
    /// quota as one of `core_count` equal cores. If this zone's followers are more than one in `core_count` of all
    /// `sessions`, a correspondingly smaller part of its placements is admitted. Without this, a warming host would be
    /// overloaded when planners are down or many forwarders follow the same planner.
    pub fn admit_slow_start(&mut self, sessions: usize, core_count: usize) -> bool {
        let scaled_followers = f64::from(self.followers) * core_count as f64;
        self.slow_start_credit += (sessions as f64 / scaled_followers.max(1.0)).min(1.0);
        let admitted = self.slow_start_credit >= 1.0;
        self.slow_start_credit -= f64::from(u8::from(admitted));
        admitted
    }

    /// Marks the fallback plan as outdated because hosts have changed, so that it is computed and sent again.
    pub fn invalidate_plan(&mut self) {
        self.plan_computed_at = None;
    }

    /// Returns whether a plan is due for a session that was sent its last plan at `sent_at`.
    pub fn is_plan_due(&self, now: Nanos, sent_at: Nanos) -> bool {
        now >= sent_at + PLAN_INTERVAL || self.plan_computed_at.is_none()
    }

    /// Returns the hosts of the fallback plan, which is computed again if it is outdated or [`PLAN_INTERVAL`] old. The
    /// plan is empty if no hosts are given.
    pub fn plan_weights(
        &mut self,
        now: Nanos,
        hosts: Option<&HostTable>,
        warm_up: Nanos,
    ) -> Vec<HostWeight> {
        if self
            .plan_computed_at
            .is_none_or(|computed_at| now >= computed_at + PLAN_INTERVAL)
        {
            self.plan_weights = self.shares.weights(now, |host| {
                hosts.is_some_and(|hosts| hosts.is_ready_and_warm(host, now, warm_up))
            });
            self.plan_computed_at = Some(now);
        }
        self.plan_weights.clone()
    }
}
