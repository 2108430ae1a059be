//! A simulated fleet of nodes on a simulated clock. Hosts and the network behave only as a test
//! specifies.

use reedferry::*;
use std::collections::{HashMap, VecDeque};

/// The time at which each test starts. It is far from 0 because the clock may start at any value.
pub const START: Nanos = 86_400 * SECOND;
/// The seed of the first node; each further node has the next higher seed.
const FIRST_SEED: u64 = 77;
/// The duration of a set-up.
const SETUP_TIME: Nanos = 20 * MILLI;
/// The time after which a migrated client reconnects, and how many nodes further on. If nodes
/// are assigned to six zones in turn, that node is in the same zone.
const RECONNECT_DELAY: Nanos = 100 * MILLI;
const RECONNECT_NODES: usize = 36;
/// The multiplier that spreads the keys of clients over the range of `u64`.
const KEY_FACTOR: u64 = 0x9E37_79B9;

/// An action of one node, and its time.
pub struct LoggedAction {
    pub at: Nanos,
    pub node: usize,
    pub action: Action,
}

/// A migrated client that will reconnect.
#[derive(Clone, Copy)]
struct Reconnect {
    at: Nanos,
    node: usize,
    key: u64,
}

/// A timer that a node has set.
struct Timer {
    time: Nanos,
    node: usize,
    timer: u64,
}

/// The nodes of the fleet, the log of their actions, and their clients.
pub struct Fleet {
    pub nodes: Vec<Balancer>,
    pub now: Nanos,
    pub log: Vec<LoggedAction>,
    timers: Vec<Timer>,
    next_request: u64,
    /// The clients' keys by request.
    keys: HashMap<RequestId, u64>,
    reconnects: VecDeque<Reconnect>,
}

impl Fleet {
    pub fn new(nodes: usize, settings: impl Fn(u32) -> BalancerSettings) -> Fleet {
        let mut fleet = Fleet {
            nodes: Vec::new(),
            now: START,
            log: Vec::new(),
            timers: Vec::new(),
            next_request: 1,
            keys: HashMap::new(),
            reconnects: VecDeque::new(),
        };
        for node in 0..nodes {
            fleet.add_node(settings(node as u32), FIRST_SEED + node as u64);
        }
        fleet
    }

    /// Starts one more node and returns its index.
    pub fn add_node(&mut self, settings: BalancerSettings, seed: u64) -> usize {
        let mut actions = Vec::new();
        let balancer = Balancer::new(settings, seed, self.now, &mut actions);
        self.nodes.push(balancer);
        let node = self.nodes.len() - 1;
        self.record(node, actions);
        node
    }

    /// Replaces a node by a new process that knows these endpoints and nothing else.
    pub fn restart_node(
        &mut self,
        node: usize,
        settings: BalancerSettings,
        seed: u64,
        endpoints: &[Endpoint],
    ) {
        self.timers.retain(|timer| timer.node != node);
        let mut actions = Vec::new();
        self.nodes[node] = Balancer::new(settings, seed, self.now, &mut actions);
        self.record(node, actions);
        self.update_endpoints_of(node, EndpointUpdate::Cached, endpoints);
    }

    fn record(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            if let Action::SetTimer { time, timer } = action {
                self.timers.push(Timer { time, node, timer });
            }
            let at = self.now;
            self.log.push(LoggedAction { at, node, action });
        }
    }

    pub fn handle(&mut self, node: usize, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.nodes[node].handle(self.now, event, &mut actions);
        self.record(node, actions.clone());
        actions
    }

    pub fn update_endpoints_of(
        &mut self,
        node: usize,
        kind: EndpointUpdate,
        endpoints: &[Endpoint],
    ) {
        let endpoints = endpoints.to_vec();
        self.handle(node, Event::EndpointsUpdated { kind, endpoints });
    }

    /// Updates the endpoint list of all nodes.
    pub fn update_endpoints(&mut self, kind: EndpointUpdate, endpoints: &[Endpoint]) {
        for node in 0..self.nodes.len() {
            self.update_endpoints_of(node, kind, endpoints);
        }
    }

    /// Advances the clock: timers fire, and migrated clients reconnect.
    pub fn advance(&mut self, span: Nanos) {
        let end = self.now + span;
        while let Some(next) = (0..self.timers.len()).min_by_key(|&n| self.timers[n].time) {
            if self.timers[next].time > end {
                break;
            }
            let Timer { time, node, timer } = self.timers.swap_remove(next);
            self.reconnect_clients(time);
            self.now = self.now.max(time);
            for action in self.handle(node, Event::TimerFired { timer }) {
                if let Action::Migrate { id } = action {
                    self.migrate(node, id);
                }
            }
        }
        self.now = end;
    }

    fn reconnect_clients(&mut self, until: Nanos) {
        while let Some(client) = self.reconnects.front().copied() {
            if client.at > until {
                break;
            }
            self.reconnects.pop_front();
            self.now = self.now.max(client.at);
            self.client_arrives(client.node, client.key);
        }
    }

    fn migrate(&mut self, node: usize, id: RequestId) {
        // In the tests in which the host of an ended connection matters, it is host 1.
        self.end(node, id, HostId(1), AttemptOutcome::Cancelled);
        self.reconnects.push_back(Reconnect {
            at: self.now + RECONNECT_DELAY,
            node: (node + RECONNECT_NODES) % self.nodes.len(),
            key: self.keys[&id],
        });
    }

    /// Ends a connection and its request.
    pub fn end(&mut self, node: usize, id: RequestId, host: HostId, ending: AttemptOutcome) {
        self.attempt_ended(node, id, host, ending, true);
    }

    pub fn attempt_ended(
        &mut self,
        node: usize,
        id: RequestId,
        host: HostId,
        ending: AttemptOutcome,
        request_over: bool,
    ) {
        let event = Event::AttemptEnded {
            id,
            attempt: 0,
            host,
            request_over,
            ending,
            load_metrics: Vec::new(),
        };
        self.handle(node, event);
    }

    /// Lets a new client connect to a node; its set-up succeeds at once. Returns its host.
    pub fn new_client(&mut self, node: usize) -> Option<HostId> {
        self.client_arrives(node, key(self.next_request))
    }

    /// Lets the given number of new clients connect to the nodes in turn.
    pub fn new_clients(&mut self, count: usize) {
        for client in 0..count {
            self.new_client(client % self.nodes.len());
        }
    }

    /// Lets a new client connect to a node and leave at once.
    pub fn short_lived_client(&mut self, node: usize) {
        if let Some(host) = self.new_client(node) {
            self.end(node, self.last_request(), host, AttemptOutcome::Completed);
        }
    }

    /// Lets a client connect to a node; its set-up succeeds at once. Returns its host.
    pub fn client_arrives(&mut self, node: usize, key: u64) -> Option<HostId> {
        let id = self.next_request_id();
        self.keys.insert(id, key);
        let host = self.request(node, id, key)?;
        let took = SETUP_TIME;
        self.handle(node, Event::ConnectionEstablished { id, took });
        Some(host)
    }

    /// Passes a request to a node and returns the host of its first attempt, if any.
    pub fn request(&mut self, node: usize, id: RequestId, key: u64) -> Option<HostId> {
        let incoming = IncomingRequest {
            id,
            key: Some(key),
            time_left: 3 * SECOND,
            ..IncomingRequest::default()
        };
        let actions = self.handle(node, Event::RequestArrived(incoming));
        actions.iter().find_map(|action| match action {
            Action::StartAttempt { host, .. } => Some(*host),
            _ => None,
        })
    }

    pub fn next_request_id(&mut self) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        id
    }

    pub fn last_request(&self) -> RequestId {
        RequestId(self.next_request - 1)
    }

    /// Returns the number of requests so far.
    pub fn request_count(&self) -> u64 {
        self.next_request - 1
    }

    /// Returns the key of a request's client.
    pub fn client_key(&self, id: RequestId) -> u64 {
        self.keys[&id]
    }

    /// Returns the times of the actions that are counted.
    pub fn times(&self, is_counted: impl Fn(&Action) -> bool) -> Vec<Nanos> {
        let counted = self.log.iter().filter(|logged| is_counted(&logged.action));
        counted.map(|logged| logged.at).collect()
    }

    /// Returns the maximum number of counted actions within any window of this length.
    pub fn max_within(&self, window: Nanos, is_counted: impl Fn(&Action) -> bool) -> usize {
        let times = self.times(is_counted);
        let starts = 0..times.len();
        starts
            .map(|start| count_within(&times[start..], window))
            .max()
            .unwrap_or(0)
    }

    /// Returns the number of counted actions from this position of the log on.
    pub fn count_since(&self, position: usize, is_counted: impl Fn(&Action) -> bool) -> usize {
        let logged = self.log[position..].iter();
        logged.filter(|logged| is_counted(&logged.action)).count()
    }

    /// Returns the number of nodes that took counted actions.
    pub fn nodes_with(&self, is_counted: impl Fn(&Action) -> bool) -> usize {
        let counted = self.log.iter().filter(|logged| is_counted(&logged.action));
        let mut nodes: Vec<usize> = counted.map(|logged| logged.node).collect();
        nodes.sort_unstable();
        nodes.dedup();
        nodes.len()
    }
}

/// Returns the key of a client by its number.
pub fn key(number: u64) -> u64 {
    number * KEY_FACTOR
}

/// Returns how many of these times are within the window that starts with the first.
pub fn count_within(times: &[Nanos], window: Nanos) -> usize {
    let end = times[0] + window;
    times.iter().take_while(|&&time| time < end).count()
}

pub fn settings(node: u32, nodes: u32) -> BalancerSettings {
    BalancerSettings {
        node_index: node,
        node_count: nodes,
        classes: vec![RequestClass::default()],
        endpoints_are_polled: true,
        max_request_timeout: 3 * SECOND,
        warm_up: 20 * SECOND,
        warm_up_initial_share: 0.1,
        ..BalancerSettings::default()
    }
}

pub fn host(id: u64) -> Endpoint {
    Endpoint {
        id: HostId(id),
        state: HostState::Ready,
        size: 2.0,
        ..Endpoint::default()
    }
}

/// Returns a predicate for attempts at this host.
pub fn attempt_at(host: u64) -> impl Fn(&Action) -> bool {
    move |action| matches!(action, Action::StartAttempt { host: at, .. } if at.0 == host)
}

pub fn is_migration(action: &Action) -> bool {
    matches!(action, Action::Migrate { .. })
}

/// Returns the number of connections per second that do not yet overload a host of these settings.
/// `age_seconds` is the time since its start, and `warm_connections` what it holds when it is warm.
/// A host takes on its share within 20 s, at first at a tenth of the full rate, and three times
/// that rate overloads it.
pub fn overload_budget(age_seconds: f64, warm_connections: f64) -> f64 {
    3.0 * (0.1 + 0.9 * age_seconds / 20.0) * warm_connections / 20.0
}

/// Returns the number of connections that a host of size 2 can hold when it is warm. The `open`
/// connections on four hosts of that size are assumed to be a quarter of what they can hold.
pub fn warm_connections(open: f64) -> f64 {
    (4.0 * open / 8.0) * 2.0
}
