//! A fleet of nodes on a simulated clock. It must never model a host or a network beyond what a
//! test says of them.

use reedferry::*;
use std::collections::{HashMap, VecDeque};

/// The clock has no special starting value: a day is as good as zero.
pub const START: Nanos = 86_400 * SECOND;
/// The seed of the first node; each further node has the next.
const FIRST_SEED: u64 = 77;
/// How long a set-up takes.
const SETUP_TIME: Nanos = 20 * MILLI;
/// After which time a migrated client reconnects, and how many nodes further on: one of the same
/// zone, where nodes take zones in turn.
const RECONNECT_DELAY: Nanos = 100 * MILLI;
const RECONNECT_NODES: usize = 36;
/// Spreads the keys of clients.
const KEY_FACTOR: u64 = 0x9E37_79B9;

/// What one node ordered, and when.
pub struct LoggedAction {
    pub at: Nanos,
    pub node: usize,
    pub action: Action,
}

/// A migrated client that is to reconnect.
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

/// Many nodes.
pub struct Fleet {
    pub nodes: Vec<Balancer>,
    pub now: Nanos,
    pub log: Vec<LoggedAction>,
    timers: Vec<Timer>,
    next_request: u64,
    /// The clients' keys by their requests.
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

    /// Starts one more node, and returns its index.
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

    /// Updates the list of all nodes.
    pub fn update_endpoints(&mut self, kind: EndpointUpdate, endpoints: &[Endpoint]) {
        for node in 0..self.nodes.len() {
            self.update_endpoints_of(node, kind, endpoints);
        }
    }

    /// Lets time pass: timers fire, and migrated clients reconnect.
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
        // Every host whose connections end in these tests is host 1 where that matters.
        self.end(node, id, HostId(1), AttemptOutcome::Cancelled);
        self.reconnects.push_back(Reconnect {
            at: self.now + RECONNECT_DELAY,
            node: (node + RECONNECT_NODES) % self.nodes.len(),
            key: self.keys[&id],
        });
    }

    /// A connection ends, and its request with it.
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

    /// A new client comes to a node, and its set-up succeeds at once; returns its host.
    pub fn new_client(&mut self, node: usize) -> Option<HostId> {
        self.client_arrives(node, key(self.next_request))
    }

    /// So many new clients come to the nodes in turn.
    pub fn new_clients(&mut self, count: usize) {
        for client in 0..count {
            self.new_client(client % self.nodes.len());
        }
    }

    /// A new client comes to a node and leaves at once.
    pub fn short_lived_client(&mut self, node: usize) {
        if let Some(host) = self.new_client(node) {
            self.end(node, self.last_request(), host, AttemptOutcome::Completed);
        }
    }

    /// A client comes to a node, and its set-up succeeds at once; returns its host.
    pub fn client_arrives(&mut self, node: usize, key: u64) -> Option<HostId> {
        let id = self.next_request_id();
        self.keys.insert(id, key);
        let host = self.request(node, id, key)?;
        let took = SETUP_TIME;
        self.handle(node, Event::ConnectionEstablished { id, took });
        Some(host)
    }

    /// A request arrives at a node; returns the host of its first attempt.
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

    /// How many requests there were.
    pub fn request_count(&self) -> u64 {
        self.next_request - 1
    }

    /// The key of a request's client.
    pub fn client_key(&self, id: RequestId) -> u64 {
        self.keys[&id]
    }

    /// The moments of such actions.
    pub fn times(&self, is_counted: impl Fn(&Action) -> bool) -> Vec<Nanos> {
        let counted = self.log.iter().filter(|logged| is_counted(&logged.action));
        counted.map(|logged| logged.at).collect()
    }

    /// The most such actions within any window of this length.
    pub fn max_within(&self, window: Nanos, is_counted: impl Fn(&Action) -> bool) -> usize {
        let times = self.times(is_counted);
        let starts = 0..times.len();
        starts
            .map(|start| count_within(&times[start..], window))
            .max()
            .unwrap_or(0)
    }

    /// How many such actions there were from this position of the log on.
    pub fn count_since(&self, position: usize, is_counted: impl Fn(&Action) -> bool) -> usize {
        let logged = self.log[position..].iter();
        logged.filter(|logged| is_counted(&logged.action)).count()
    }

    /// How many nodes ordered such actions.
    pub fn nodes_with(&self, is_counted: impl Fn(&Action) -> bool) -> usize {
        let counted = self.log.iter().filter(|logged| is_counted(&logged.action));
        let mut nodes: Vec<usize> = counted.map(|logged| logged.node).collect();
        nodes.sort_unstable();
        nodes.dedup();
        nodes.len()
    }
}

/// The key of a client by its number.
pub fn key(number: u64) -> u64 {
    number * KEY_FACTOR
}

/// How many of these moments are within a window that starts with the first.
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

/// Whether an action is an attempt at this host.
pub fn attempt_at(host: u64) -> impl Fn(&Action) -> bool {
    move |action| matches!(action, Action::StartAttempt { host: at, .. } if at.0 == host)
}

pub fn is_migration(action: &Action) -> bool {
    matches!(action, Action::Migrate { .. })
}

/// How many connections a second do not yet overload a host of these settings that started so many
/// seconds ago, and that holds so many when it is warm: it takes on its share of these within 20 s,
/// at its start a tenth as fast; three times as much overloads it.
pub fn overload_budget(age_seconds: f64, warm_connections: f64) -> f64 {
    3.0 * (0.1 + 0.9 * age_seconds / 20.0) * warm_connections / 20.0
}

/// What a host of size 2 holds when it is warm: what the fleet holds on four hosts of that size is
/// taken for a quarter of what they bear.
pub fn warm_connections(open: f64) -> f64 {
    (4.0 * open / 8.0) * 2.0
}
