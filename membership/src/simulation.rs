//! Simulates a fleet for tests: members in simulated time, a network that loses, duplicates and delays messages and can
//! be partitioned, and processes that end and stall.

use crate::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;

/// The protocol period of simulated members, in nanoseconds.
pub(crate) const PERIOD: Nanos = SECOND;
/// The system clock at the start of the simulation, in milliseconds since the Unix epoch.
pub(crate) const START_UNIX_MS: u64 = 1_790_000_000_000;
const FIRST_PORT: u16 = 1000;
const MILLISECOND: Nanos = SECOND / 1000;

pub(crate) fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + node as u16))
}

pub(crate) fn node_at(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_PORT)
}

pub(crate) fn node_named(name: &str) -> usize {
    name[1..].parse().unwrap()
}

pub(crate) fn info(node: usize) -> MemberInfo {
    MemberInfo {
        name: format!("n{node}"),
        address: address(node),
        role: Role::Node,
        zone: format!("z{}", node % 3),
        build: "1".to_string(),
        member_index: node as u32,
        cluster_size: 0,
    }
}

pub(crate) fn new_member(node: usize, now: Nanos, seeds: &[usize]) -> Membership {
    let config = MembershipConfig {
        period: PERIOD,
        seeds: seeds.iter().map(|seed| address(*seed)).collect(),
        max_members: 10_000,
        fleet_id: 7,
    };
    let unix_ms = START_UNIX_MS + now / 1_000_000;
    Membership::new(info(node), config, now, unix_ms, node as u64 + now)
}

/// A message in transit. The derived order puts the message that arrives first in front.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct InFlight {
    arrives_at: Nanos,
    order: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// A change of a member's state, as seen by another member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Observation {
    pub time: Nanos,
    pub observer: usize,
    pub subject: usize,
    pub state: MemberState,
}

/// How long the detection of a death took, in periods.
pub(crate) struct Detection {
    /// Until any member suspected it.
    pub first: f64,
    /// Until all members had declared it dead.
    pub all: f64,
}

pub(crate) struct Simulation {
    pub now: Nanos,
    pub nodes: Vec<Option<Membership>>,
    /// The time at which each node's stall ends; 0 if it never stalled.
    pub stalled_until: Vec<Nanos>,
    wakeups: BinaryHeap<Reverse<(Nanos, usize)>>,
    in_flight: BinaryHeap<Reverse<InFlight>>,
    random: ChaCha8Rng,
    pub loss: f64,
    pub duplication: f64,
    pub max_delay: Nanos,
    /// The network partition that each node is in. Messages between partitions are lost.
    pub partition: Vec<usize>,
    /// Links that are cut, in the direction from the first node to the second.
    pub cut_links: Vec<(usize, usize)>,
    pub sent: u64,
    pub observed: Vec<Observation>,
    pub declared_dead: Vec<usize>,
}

impl Simulation {
    /// Creates `count` members. They all know each other already if `preloaded` is true; otherwise each knows only its
    /// seeds.
    pub fn new(count: usize, preloaded: bool, seed: u64) -> Simulation {
        let mut nodes: Vec<Membership> = (0..count)
            .map(|node| new_member(node, 0, &[0, 1, 2]))
            .collect();
        if preloaded {
            let all: Vec<_> = nodes
                .iter()
                .map(|member| (Arc::new(member.info().clone()), member.version()))
                .collect();
            for member in &mut nodes {
                member.table.preload(&all);
            }
        }
        let wakeups = nodes
            .iter()
            .enumerate()
            .map(|(node, member)| Reverse((member.next_wakeup(), node)))
            .collect();
        Simulation {
            now: 0,
            nodes: nodes.into_iter().map(Some).collect(),
            stalled_until: vec![0; count],
            wakeups,
            in_flight: BinaryHeap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            loss: 0.0,
            duplication: 0.0,
            max_delay: 5 * MILLISECOND,
            partition: vec![0; count],
            cut_links: Vec::new(),
            sent: 0,
            observed: Vec::new(),
            declared_dead: Vec::new(),
        }
    }

    /// Returns a running node.
    pub fn member(&self, node: usize) -> &Membership {
        self.nodes[node].as_ref().unwrap()
    }

    /// Iterates over the running nodes.
    pub fn running(&self) -> impl Iterator<Item = &Membership> {
        self.nodes.iter().flatten()
    }

    pub fn handle(&mut self, node: usize, event: Event) {
        let Some(member) = &mut self.nodes[node] else {
            return;
        };
        let mut out = Vec::new();
        member.handle(self.now, event, &mut out);
        self.wakeups.push(Reverse((member.next_wakeup(), node)));
        for action in out {
            match action {
                Action::Send { to, bytes } => self.send(node, node_at(to), &bytes),
                Action::MemberChanged { name, state, .. } => self.observed.push(Observation {
                    time: self.now,
                    observer: node,
                    subject: node_named(&name),
                    state,
                }),
                Action::DeclaredDead => self.declared_dead.push(node),
                Action::MemberMoved { .. }
                | Action::Stalled(_)
                | Action::Superseded { .. }
                | Action::MessageDropped { .. } => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: &[u8]) {
        assert!(bytes.len() <= MAX_MESSAGE_BYTES);
        self.sent += 1;
        let copies = 1 + usize::from(self.random.random_bool(self.duplication));
        for _ in 0..copies {
            let is_cut =
                self.partition[from] != self.partition[to] || self.cut_links.contains(&(from, to));
            if is_cut || self.random.random_bool(self.loss) {
                continue;
            }
            let delay = self.random.random_range(MILLISECOND..=self.max_delay);
            self.in_flight.push(Reverse(InFlight {
                arrives_at: self.now + delay,
                order: self.sent,
                from,
                to,
                bytes: bytes.to_vec(),
            }));
        }
    }

    pub fn run(&mut self, until: Nanos) {
        loop {
            let message = self.in_flight.peek();
            let message = message.map_or(Nanos::MAX, |Reverse(next)| next.arrives_at);
            let wakeup = self.wakeups.peek();
            let wakeup = wakeup.map_or(Nanos::MAX, |Reverse(next)| next.0);
            if message.min(wakeup) > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(message.min(wakeup));
            if message <= wakeup {
                self.deliver_next();
            } else {
                self.wake_next();
            }
        }
    }

    fn deliver_next(&mut self) {
        let Some(Reverse(mut message)) = self.in_flight.pop() else {
            return;
        };
        let stalled_until = self.stalled_until[message.to];
        if stalled_until > message.arrives_at {
            message.arrives_at = stalled_until;
            self.in_flight.push(Reverse(message));
            return;
        }
        let event = Event::MessageReceived {
            from: address(message.from),
            bytes: &message.bytes,
        };
        self.handle(message.to, event);
    }

    fn wake_next(&mut self) {
        let Some(Reverse((at, node))) = self.wakeups.pop() else {
            return;
        };
        let member = self.nodes[node].as_ref();
        let due = member.map_or(Nanos::MAX, Membership::next_wakeup);
        if self.stalled_until[node] > at && due == at {
            // After a stall, the messages that have arrived are handled before the timer.
            let later = self.stalled_until[node] + 1;
            self.wakeups.push(Reverse((later, node)));
        } else if due <= at {
            self.handle(node, Event::TimerFired);
        }
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node] = None;
    }

    /// Starts a node without any state.
    pub fn start(&mut self, node: usize, member: Membership) {
        self.nodes[node] = Some(member);
        self.handle(node, Event::TimerFired);
    }

    pub fn has_converged(&self) -> bool {
        let mut digests = self.running().map(Membership::digest);
        let first = digests.next();
        digests.all(|digest| Some(digest) == first)
    }

    /// Whether each running node counts `alive` members that are not dead, itself included.
    pub fn all_know_of(&self, alive: usize) -> bool {
        self.running()
            .all(|member| member.table.alive_count() == alive)
    }

    /// Runs until all tables agree, and returns how many periods that took.
    pub fn run_until_converged(&mut self, max_periods: u64) -> f64 {
        let from = self.now;
        while !self.has_converged() {
            assert!(
                self.now < from + max_periods * PERIOD,
                "tables differ after {max_periods} periods"
            );
            self.run(self.now + PERIOD / 10);
        }
        (self.now - from) as f64 / PERIOD as f64
    }

    /// Returns the observations that declared a running node dead.
    pub fn false_deaths(&self) -> Vec<Observation> {
        let is_false = |seen: &&Observation| {
            seen.state == MemberState::Dead && self.nodes[seen.subject].is_some()
        };
        self.observed.iter().filter(is_false).copied().collect()
    }

    /// Returns how long the detection of a death took. Panics unless every running node has declared it dead.
    pub fn detection(&self, dead: usize, at: Nanos) -> Detection {
        let observations = |states: &[MemberState]| -> Vec<Observation> {
            let seen = self.observed.iter();
            seen.filter(|o| o.subject == dead && o.time >= at && states.contains(&o.state))
                .copied()
                .collect()
        };
        let periods = |seen: Option<&Observation>| {
            seen.map_or(f64::INFINITY, |o| (o.time - at) as f64 / PERIOD as f64)
        };
        let found = observations(&[MemberState::Suspect, MemberState::Dead]);
        let known = observations(&[MemberState::Dead]);
        assert_eq!(
            known.len(),
            self.running().count(),
            "{:?} {known:?}",
            observations(&[MemberState::Suspect])
        );
        Detection {
            first: periods(found.first()),
            all: periods(known.last()),
        }
    }
}
