//! Placement of requests: passes queued requests to the decision core of their zone and sends its decisions to the
//! forwarders.

use super::zone::QueuedRequest;
use super::{Planner, PlannerAction, RecordKey};
use crate::messages::PlannerMessage;
use reedferry::{Action, AttemptOutcome, Event, HostId, Nanos, RequestId};

impl Planner {
    /// Passes the queued requests to the zone's decision core, unless the zone is not settled yet or a forwarder still
    /// reports its open connections. Without this wait, a planner that has just started would place the first requests
    /// as if no connection were open.
    pub(super) fn place_queued(&mut self, now: Nanos, zone: usize, out: &mut Vec<PlannerAction>) {
        if self.zones[zone].queue.is_empty() {
            return;
        }
        let is_syncing = self.sessions.iter().any(|(_, session)| {
            session.zone == zone && session.state_sync_until.is_some_and(|until| now < until)
        });
        if now < self.zones[zone].settled_at || is_syncing {
            return;
        }
        while let Some(queued) = self.zones[zone].queue.pop_front() {
            let Some(record) = self.requests.get_mut(queued.record) else {
                continue;
            };
            record.is_queued = false;
            self.notify_core(now, zone, arrival_event(queued, now), out);
        }
    }

    /// Carries out the actions of a zone's decision core, including those that follow from them, until none are left.
    pub(super) fn carry_out_actions(
        &mut self,
        now: Nanos,
        zone: usize,
        out: &mut Vec<PlannerAction>,
    ) {
        loop {
            let actions = self.zones[zone].take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.carry_out_action(now, zone, action, out);
            }
        }
    }

    fn carry_out_action(
        &mut self,
        now: Nanos,
        zone: usize,
        action: Action,
        out: &mut Vec<PlannerAction>,
    ) {
        match action {
            // The message has one time limit, which is the earlier of the two times, because nothing of the attempt
            // may be in flight after either.
            Action::StartAttempt {
                id,
                host,
                until,
                by,
            } => self.start_attempt(now, zone, id, host, until.min(by)),
            Action::Reject { id, retry_after } => {
                self.answer(id, |id, decision_sequence| PlannerMessage::Reject {
                    id,
                    decision_sequence,
                    retry_after,
                });
            }
            Action::Fail { id } => {
                self.answer(id, |id, decision_sequence| PlannerMessage::Fail {
                    id,
                    decision_sequence,
                });
            }
            Action::Migrate { id } => {
                if let Some(record) = self.requests.get(RecordKey::from_request_id(id)) {
                    let id = record.forwarder_id;
                    self.send_to(record.session(), &PlannerMessage::Migrate { id });
                }
            }
            // A forwarder cancels an attempt on its own when the client leaves, whichever planner it follows. A
            // planner learns everything from its forwarders and has no peers for gossip.
            Action::CancelAttempt { .. } | Action::Gossip { .. } => {}
            Action::SetTimer { time, timer } => out.push(PlannerAction::SetTimer {
                time,
                zone: zone as u16,
                timer,
            }),
            Action::PollEndpoints => out.push(PlannerAction::PollEndpoints),
            Action::WatchEndpoints => out.push(PlannerAction::WatchEndpoints),
            Action::Probe { host } => out.push(PlannerAction::Probe { host }),
            Action::Log(text) => out.push(PlannerAction::Log(format!("{text} zone={zone}"))),
        }
    }

    fn send_to(&mut self, session: Option<usize>, message: &PlannerMessage) {
        if let Some(session) = session.and_then(|key| self.sessions.get_mut(key)) {
            session.send(message);
        }
    }

    /// Sends the forwarder the decision to start an attempt. If the host's slow start does not admit the attempt, or
    /// the endpoint list may be stale, the decision core is asked to choose again.
    fn start_attempt(
        &mut self,
        now: Nanos,
        zone: usize,
        id: RequestId,
        host: HostId,
        until: Nanos,
    ) {
        let record_key = RecordKey::from_request_id(id);
        if self.requests.get(record_key).is_none() {
            return;
        }
        if self.endpoints_stale {
            // The host may be draining without this planner knowing it.
            return self.skip_attempt(now, zone, id, host);
        }
        let warm_up = self.config.balancer_settings.warm_up;
        if self.hosts.is_warming_up(host, now, warm_up) {
            if !self.admits_slow_start(now, zone) {
                return self.skip_attempt(now, zone, id, host);
            }
        } else {
            self.zones[zone].shares.record(host, now);
        }
        let Some(record) = self.requests.get_mut(record_key) else {
            return;
        };
        record.host = Some(host);
        let session = record.session();
        let message = PlannerMessage::StartAttempt {
            id: record.forwarder_id,
            decision_sequence: record.decision_sequence,
            host: host.0,
            time_limit: until.saturating_sub(now),
        };
        self.send_host_if_unknown(session, host);
        self.send_to(session, &message);
    }

    /// Reports to the decision core that an attempt is not started, so that it chooses again or gives the request up.
    fn skip_attempt(&mut self, now: Nanos, zone: usize, id: RequestId, host: HostId) {
        let event = Event::AttemptEnded {
            id,
            attempt: 0,
            host,
            request_over: false,
            ending: AttemptOutcome::NeverSent,
            load_metrics: Vec::new(),
        };
        self.zones[zone].handle(now, event);
    }

    /// Sends a host to a forwarder that lacks its present version, so that the forwarder knows the host before the
    /// attempt.
    fn send_host_if_unknown(&mut self, session: Option<usize>, host: HostId) {
        let Some(record) = self.hosts.get(host) else {
            return;
        };
        let Some(session) = session.and_then(|key| self.sessions.get_mut(key)) else {
            return;
        };
        if record.is_newer_than(session.sent_change) {
            session.send(&PlannerMessage::Host(record.entry.clone()));
        }
    }

    fn admits_slow_start(&mut self, now: Nanos, zone: usize) -> bool {
        // Admits nothing during the first overload window after the start. Without this, the quota of a warming host
        // could be used twice: by a planner that failed, and again by the restarted planner, which does not know of
        // the first use.
        if now < self.started_at + self.config.balancer_settings.overload_window {
            return false;
        }
        let sessions = self
            .sessions
            .iter()
            .filter(|(_, session)| session.number.is_some())
            .count();
        let core_count = self.config.planner_count.max(1) as usize * self.zones.len();
        self.zones[zone].admit_slow_start(sessions, core_count)
    }

    /// Sends a final answer and removes the record.
    fn answer(&mut self, id: RequestId, message: impl FnOnce(u64, u32) -> PlannerMessage) {
        let Some(record) = self.requests.remove(RecordKey::from_request_id(id)) else {
            return;
        };
        let message = message(record.forwarder_id, record.decision_sequence);
        self.send_to(record.session(), &message);
        self.remove_from_session(record.session(), record.forwarder_id);
    }
}

/// Converts a queued request into an event for the decision core. The time spent in the queue is subtracted from the
/// time left.
fn arrival_event(queued: QueuedRequest, now: Nanos) -> Event {
    let mut incoming = queued.request.to_incoming(queued.record.request_id());
    let queued_for = now - queued.queued_at.min(now);
    incoming.time_left = incoming.time_left.saturating_sub(queued_for);
    if queued.prior_attempts.is_empty() {
        Event::RequestArrived(incoming)
    } else {
        Event::RequestTakenOver(incoming, queued.prior_attempts.into_core(now))
    }
}
