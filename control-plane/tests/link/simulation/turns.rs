//! The progress of simulated time: the turns of planners and forwarders, and the answers of hosts.

use super::{
    attempt_ended, HostBehavior, PendingHostAnswer, SimulatedForwarder, SimulatedHost, Simulation,
    TICK,
};
use reedferry::{AttemptOutcome, EndpointUpdate, Event, Nanos, RequestId};
use std::cmp::Reverse;
use std::collections::VecDeque;

/// Removes and returns the bytes that have arrived by now.
fn arrived(queue: &mut VecDeque<(Nanos, Vec<u8>)>, now: Nanos) -> Vec<Vec<u8>> {
    let mut arrived = Vec::new();
    while queue.front().is_some_and(|(at, _)| *at <= now) {
        arrived.extend(queue.pop_front().map(|(_, bytes)| bytes));
    }
    arrived
}

impl Simulation {
    /// Runs the simulation for the given duration, and checks the invariants at each tick.
    pub fn run(&mut self, duration: Nanos) {
        let until = self.now + duration;
        while self.now < until {
            self.now += TICK;
            (0..self.planners.len()).for_each(|index| self.planner_turn(index));
            (0..self.forwarders.len()).for_each(|index| self.forwarder_turn(index));
            self.check_invariants();
        }
    }

    fn planner_turn(&mut self, index: usize) {
        let now = self.now;
        if now < self.planners[index].paused_until {
            return;
        }
        let Some(mut core) = self.planners[index].core.take() else {
            return;
        };
        let mut out = Vec::new();
        for forwarder in &mut self.forwarders {
            for connection in forwarder
                .connections
                .values_mut()
                .filter(|c| c.planner == index && !c.cut_to_planner)
            {
                for bytes in arrived(&mut connection.to_planner, now) {
                    core.receive(now, connection.planner_connection, &bytes, &mut out);
                }
            }
        }
        for (host, state) in std::mem::take(&mut self.planners[index].unread_updates) {
            self.planners[index].list_version += 1;
            let (mut endpoint, mut entry) = self.endpoint(host, self.planners[index].list_version);
            (endpoint.state, entry.state) = (state, state.into());
            let (endpoints, entries) = (vec![endpoint], vec![entry]);
            core.update_hosts(now, EndpointUpdate::Delta, endpoints, entries, &mut out);
        }
        let timers = &mut self.planners[index].timers;
        while timers.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Reverse((_, zone, timer)) = timers.pop().unwrap();
            core.timer_fired(now, zone, timer, &mut out);
        }
        core.decide(now, &mut out);
        for forwarder in &mut self.forwarders {
            for connection in forwarder
                .connections
                .values_mut()
                .filter(|c| c.planner == index)
            {
                let bytes = core.outgoing(connection.planner_connection).to_vec();
                core.mark_sent(connection.planner_connection, bytes.len());
                if !bytes.is_empty() {
                    connection.to_forwarder.push_back((now + self.delay, bytes));
                }
            }
        }
        self.planners[index].core = Some(core);
        self.carry_out_planner_actions(index, out);
    }

    fn forwarder_turn(&mut self, index: usize) {
        let now = self.now;
        let forwarder = &mut self.forwarders[index];
        if now < forwarder.paused.end {
            return;
        }
        let mut actions = Vec::new();
        let mut numbers: Vec<u32> = forwarder.connections.keys().copied().collect();
        numbers.sort_unstable();
        for number in numbers {
            let Some(connection) = forwarder
                .connections
                .get_mut(&number)
                .filter(|c| !c.cut_to_forwarder)
            else {
                continue;
            };
            for bytes in arrived(&mut connection.to_forwarder, now) {
                forwarder.core.receive(now, number, &bytes, &mut actions);
            }
        }
        forwarder.deliver_host_answers(&self.hosts, now);
        forwarder.time_out_attempts(now);
        for event in std::mem::take(&mut forwarder.events) {
            forwarder.core.handle_event(now, event, &mut actions);
        }
        forwarder.core.tick(now, &mut actions);
        for action in actions {
            self.carry_out_forwarder_action(index, action);
        }
        let forwarder = &mut self.forwarders[index];
        for (number, connection) in forwarder.connections.iter_mut().filter(|(_, c)| !c.blocked) {
            let bytes = forwarder.core.outgoing(*number).to_vec();
            forwarder.core.mark_sent(*number, bytes.len());
            if !bytes.is_empty() {
                connection.to_planner.push_back((now + self.delay, bytes));
            }
        }
    }
}

impl SimulatedForwarder {
    fn deliver_host_answers(&mut self, hosts: &[SimulatedHost], now: Nanos) {
        while self.host_answers.front().is_some_and(|a| a.at <= now) {
            let PendingHostAnswer {
                client: id,
                attempt: number,
                host,
                ..
            } = self.host_answers.pop_front().unwrap();
            let client = self.clients.get_mut(&id).unwrap();
            let is_current = client
                .in_flight
                .is_some_and(|a| a.number == number && a.host == host);
            if !is_current {
                continue;
            }
            let outcome = match hosts[host].behavior {
                HostBehavior::Accepts => {
                    client.in_flight = None;
                    client.open = true;
                    client.last_attempt().may_have_run = Some(true);
                    client.answers.push((now, super::Answer::Established));
                    self.events.push(Event::ConnectionEstablished {
                        id: RequestId(id),
                        took: now - client.attempt_started_at,
                    });
                    continue;
                }
                HostBehavior::Rejects => AttemptOutcome::Rejected,
                HostBehavior::Fails => AttemptOutcome::Error,
                HostBehavior::Silent => continue,
            };
            client.last_attempt().may_have_run = Some(outcome == AttemptOutcome::Error);
            client.in_flight = None;
            self.events
                .push(attempt_ended(id, number, host, false, outcome));
        }
    }

    /// Ends the attempts whose deadline has passed, as the caller of a real forwarder does.
    fn time_out_attempts(&mut self, now: Nanos) {
        for (&id, client) in &mut self.clients {
            if client.in_flight.is_some_and(|a| now >= a.deadline) {
                let attempt = client.lose_attempt();
                let outcome = AttemptOutcome::TimedOut;
                self.events.push(attempt_ended(
                    id,
                    attempt.number,
                    attempt.host,
                    false,
                    outcome,
                ));
            }
        }
    }
}
