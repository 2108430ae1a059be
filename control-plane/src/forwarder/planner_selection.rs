//! Which planner is followed, and the state sync that a newly followed planner gets before it is asked.

use super::{Forwarder, ForwarderAction, ForwarderMessage, Phase};
use crate::fallback_plan::FallbackPlan;
use reedferry::Nanos;
use std::collections::VecDeque;

/// What the planner that is followed does not know yet.
#[derive(Default)]
pub struct StateSync {
    /// Whether all open connections were reported once.
    pub complete: bool,
    /// Open connections that are still to be reported.
    pub unreported: VecDeque<u64>,
    /// Requests that are asked for once the sync is complete.
    pub parked: Vec<u64>,
}

impl Forwarder {
    /// Whether the planner that is followed may be asked: its lease holds, or it has had no heartbeat to answer.
    pub(super) fn can_ask_planner(&self, now: Nanos) -> bool {
        self.followed.is_some_and(|index| {
            let session = &self.sessions[index];
            session.has_lease(now) || session.session().is_some() && now < self.pause_grace_until
        })
    }

    /// Follows the first planner in the order of preference whose lease holds.
    pub(super) fn select_planner(&mut self, now: Nanos, out: &mut Vec<ForwarderAction>) {
        let leased = self
            .followed
            .filter(|&index| self.sessions[index].has_lease(now));
        if leased.is_none() && self.can_ask_planner(now) {
            return;
        }
        let chosen = self.preferred_planner(now, leased);
        if chosen.is_none() && !std::mem::replace(&mut self.no_planner_logged, true) {
            out.push(ForwarderAction::Log(format!(
                "no planner available requests={}",
                self.requests.len()
            )));
        }
        if chosen != self.followed {
            self.follow(chosen, out);
        }
    }

    /// The planner to follow, given the present one if its lease holds. One that is preferred to the present one must
    /// have been healthy for a while; without this, forwarders would flap between two.
    fn preferred_planner(&self, now: Nanos, present: Option<usize>) -> Option<usize> {
        let has_lease = |index: &usize| self.sessions[*index].has_lease(now);
        let indices = 0..self.sessions.len();
        let best = indices
            .clone()
            .find(|index| has_lease(index) && !self.sessions[*index].shutting_down);
        match (present, best) {
            (Some(present), Some(best)) if self.sessions[present].shutting_down => Some(best),
            (Some(present), Some(best)) if best < present => {
                let healthy_since = self.sessions[best].healthy_since;
                let is_stable = now >= healthy_since + self.config.failback_delay;
                Some(if is_stable { best } else { present })
            }
            (Some(present), _) => Some(present),
            (None, Some(best)) => Some(best),
            (None, None) => indices.clone().find(has_lease),
        }
    }

    fn follow(&mut self, chosen: Option<usize>, out: &mut Vec<ForwarderAction>) {
        self.report(&ForwarderMessage::Unfollow);
        self.followed = chosen;
        self.reset_planner_state();
        let Some(index) = chosen else {
            return;
        };
        self.no_planner_logged = false;
        let name = &self.sessions[index].planner.name;
        let (open_connections, requests) = (self.state_sync.unreported.len(), self.requests.len());
        out.push(ForwarderAction::Log(format!(
            "following planner={name} open_connections={open_connections} requests={requests}"
        )));
        self.report(&ForwarderMessage::Follow {
            open_connections: open_connections as u32,
        });
    }

    /// No planner knows any more what was reported to the last one; all waits for the next.
    pub(super) fn reset_planner_state(&mut self) {
        let unreported = self.requests.reset_planner_state();
        self.state_sync = StateSync {
            complete: false,
            unreported: unreported.open_connections.into(),
            parked: unreported.awaiting_decision,
        };
        if self.followed.is_some() {
            self.fallback_plan = FallbackPlan::default();
            self.plan_valid_until = 0;
        }
    }

    /// Reports open connections to the planner, as many as fit at once, and then asks for what waits. Where there is no
    /// planner, what waits is decided here.
    pub(super) fn synchronize_state(&mut self, now: Nanos, out: &mut Vec<ForwarderAction>) {
        if self.followed.is_none() {
            for id in std::mem::take(&mut self.state_sync.parked) {
                self.decide_locally(now, id, out);
            }
            return;
        }
        while !self.is_backlogged() {
            let Some(id) = self.state_sync.unreported.pop_front() else {
                break;
            };
            self.report_open_connection(now, id);
        }
        if !self.state_sync.complete && self.state_sync.unreported.is_empty() {
            self.state_sync.complete = true;
            self.report(&ForwarderMessage::StateSyncComplete);
            for id in std::mem::take(&mut self.state_sync.parked) {
                self.request_decision(now, id, out);
            }
        }
    }

    /// Reports an open connection that the planner does not know, behind those that are to be reported before.
    pub(super) fn queue_open_connection(&mut self, now: Nanos, id: u64) {
        if self.state_sync.complete && self.state_sync.unreported.is_empty() {
            self.report_open_connection(now, id);
        } else {
            self.state_sync.unreported.push_back(id);
        }
    }

    fn report_open_connection(&mut self, now: Nanos, id: u64) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Phase::Open(host) = request.phase else {
            return;
        };
        if std::mem::replace(&mut request.known_to_planner, true) {
            return;
        }
        let message = ForwarderMessage::OpenConnection {
            id,
            request: request.placement_request(now),
            host: host.0,
        };
        self.report(&message);
    }
}
