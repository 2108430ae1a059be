//! The selection of the planner to follow, and the state sync by which a newly followed planner learns of the open
//! connections before it is asked to place requests.

use super::{Forwarder, ForwarderAction, ForwarderMessage, Phase};
use crate::fallback_plan::FallbackPlan;
use reedferry::Nanos;
use std::collections::VecDeque;

/// The progress of the state sync with the planner that is followed.
#[derive(Default)]
pub struct StateSync {
    /// Whether all connections that were open at the start of the sync were reported.
    pub complete: bool,
    /// The ids of open connections that are still to be reported.
    pub unreported: VecDeque<u64>,
    /// The ids of requests that are sent to the planner once the sync is complete.
    pub parked: Vec<u64>,
}

impl Forwarder {
    /// Returns whether the planner that is followed may be asked: its lease holds, or it has not had time to answer a
    /// heartbeat since a pause of this process.
    pub(super) fn can_ask_planner(&self, now: Nanos) -> bool {
        self.followed.is_some_and(|index| {
            let session = &self.sessions[index];
            session.has_lease(now) || session.session().is_some() && now < self.pause_grace_until
        })
    }

    /// Selects the planner to follow, and logs once if there is none.
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

    /// Returns the planner to follow: the first in the order of preference whose lease holds and that does not shut
    /// down, or one that shuts down if there is no other. `present` is the planner that is followed, if its lease
    /// holds. Unless `present` shuts down, a more preferred planner replaces it only after being healthy for the
    /// failback delay. Without this, forwarders would flap between two planners.
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

    /// Marks all requests as unknown to the planner and restarts the state sync, because the planner that is followed
    /// has changed. Without a planner, the previous fallback plan stays in use until its lease ends.
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

    /// Reports open connections to the planner as far as its backlog allows, and sends the parked requests once all
    /// are reported. Without a planner, decides the parked requests locally.
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

    /// Reports an open connection that the planner does not know, or queues it behind those that are not reported yet.
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
