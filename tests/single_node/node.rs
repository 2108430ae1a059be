//! A test harness that runs one node on a simulated clock.

use reedferry::*;
use std::collections::HashMap;

/// The time at which each test starts. It is far from 0 because the clock may start at any value.
pub const START: Nanos = 86_400 * SECOND;

/// One node, the hosts of its connections, and its timers.
pub struct Node {
    pub now: Nanos,
    balancer: Balancer,
    next_request: u64,
    timers: Vec<(Nanos, u64)>,
    connections: HashMap<RequestId, HostId>,
}

impl Node {
    /// Starts a node that knows these endpoints.
    pub fn start(settings: BalancerSettings, endpoints: Vec<Endpoint>) -> Self {
        let mut actions = Vec::new();
        let mut node = Node {
            now: START,
            balancer: Balancer::new(settings, 7, START, &mut actions),
            next_request: 0,
            timers: Vec::new(),
            connections: HashMap::new(),
        };
        node.execute(actions);
        node.update_endpoints(EndpointUpdate::Full, endpoints);
        node
    }

    pub fn update_endpoints(&mut self, kind: EndpointUpdate, endpoints: Vec<Endpoint>) {
        self.handle_and_execute(Event::EndpointsUpdated { kind, endpoints });
    }

    /// Passes an event to the balancer and returns the actions that it appends.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    /// Passes an event to the balancer and carries out the actions that it appends.
    pub fn handle_and_execute(&mut self, event: Event) {
        let actions = self.handle(event);
        self.execute(actions);
    }

    /// Carries out actions: each attempt is accepted at once, and each migrated client leaves.
    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::StartAttempt { id, host, .. } => {
                    self.connections.insert(id, host);
                    let took = MILLI;
                    self.handle_and_execute(Event::ConnectionEstablished { id, took });
                }
                Action::Migrate { id } => self.end(id),
                Action::SetTimer { time, timer } => self.timers.push((time, timer)),
                _ => {}
            }
        }
    }

    /// Ends a connection if it is open.
    pub fn end(&mut self, id: RequestId) {
        if let Some(host) = self.connections.remove(&id) {
            self.handle_and_execute(completed(id, host));
        }
    }

    /// Returns a new request with this time left.
    pub fn new_request(&mut self, time_left: Nanos) -> IncomingRequest {
        self.next_request += 1;
        IncomingRequest {
            id: RequestId(self.next_request),
            time_left,
            ..IncomingRequest::default()
        }
    }

    /// Lets the given number of clients connect now.
    pub fn connect(&mut self, count: usize) {
        for _ in 0..count {
            let incoming = self.new_request(2 * SECOND);
            self.handle_and_execute(Event::RequestArrived(incoming));
        }
    }

    /// Returns the connections at a host, the oldest first.
    pub fn connections_at(&self, host: HostId) -> Vec<RequestId> {
        let at_host = self.connections.iter().filter(|(_, at)| **at == host);
        let mut ids: Vec<RequestId> = at_host.map(|(id, _)| *id).collect();
        ids.sort_by_key(|id| id.0);
        ids
    }

    /// Advances the clock and fires the timers that are due.
    pub fn advance(&mut self, span: Nanos) {
        let until = self.now + span;
        let next = |timers: &[(Nanos, u64)]| timers.iter().copied().min();
        while let Some(due) = next(&self.timers).filter(|(time, _)| *time <= until) {
            self.timers.retain(|timer| *timer != due);
            self.now = self.now.max(due.0);
            self.handle_and_execute(Event::TimerFired { timer: due.1 });
        }
        self.now = until;
    }
}

/// Returns the event that the first attempt of a request, or its connection, has completed.
pub fn completed(id: RequestId, host: HostId) -> Event {
    Event::AttemptEnded {
        id,
        attempt: 0,
        host,
        request_over: true,
        ending: AttemptOutcome::Completed,
        load_metrics: Vec::new(),
    }
}

pub fn endpoint(id: HostId) -> Endpoint {
    Endpoint {
        id,
        state: HostState::Ready,
        size: 1.0,
        ..Endpoint::default()
    }
}
