//! A node on a simulated clock.

use reedferry::*;
use std::collections::HashMap;

/// The clock has no special starting value: a day is as good as zero.
pub const START: Nanos = 86_400 * SECOND;

/// One node, its connections by their host, and its timers.
pub struct Node {
    pub now: Nanos,
    balancer: Balancer,
    next_request: u64,
    timers: Vec<(Nanos, u64)>,
    connections: HashMap<RequestId, HostId>,
}

impl Node {
    /// A node that knows these endpoints.
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

    /// Hands an event to the module, and returns what it orders.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    /// Hands an event to the module, and does what it orders.
    pub fn handle_and_execute(&mut self, event: Event) {
        let actions = self.handle(event);
        self.execute(actions);
    }

    /// Each attempt is accepted at once, and each migrated client leaves.
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

    /// A connection ends, if it is open.
    pub fn end(&mut self, id: RequestId) {
        if let Some(host) = self.connections.remove(&id) {
            self.handle_and_execute(completed(id, host));
        }
    }

    /// A new request, with this time left.
    pub fn new_request(&mut self, time_left: Nanos) -> IncomingRequest {
        self.next_request += 1;
        IncomingRequest {
            id: RequestId(self.next_request),
            time_left,
            ..IncomingRequest::default()
        }
    }

    /// So many clients connect now.
    pub fn connect(&mut self, count: usize) {
        for _ in 0..count {
            let incoming = self.new_request(2 * SECOND);
            self.handle_and_execute(Event::RequestArrived(incoming));
        }
    }

    /// The connections at a host, the oldest first.
    pub fn connections_at(&self, host: HostId) -> Vec<RequestId> {
        let at_host = self.connections.iter().filter(|(_, at)| **at == host);
        let mut ids: Vec<RequestId> = at_host.map(|(id, _)| *id).collect();
        ids.sort_by_key(|id| id.0);
        ids
    }

    /// Lets time pass, in which timers fire.
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

/// The first attempt of a request, or the connection that it became, ends well.
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
