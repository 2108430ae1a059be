//! Simulates one node with its hosts and clients on a simulated clock.

use crate::draws;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reedferry::*;
use std::collections::BTreeMap;

/// The time on the node's clock at the start.
pub const START: Nanos = 86_400 * SECOND;
/// The maximum number of hosts in an endpoint list.
pub const MAX_HOSTS: u64 = 6;

/// A request as the simulated client and hosts see it.
#[derive(Clone)]
pub struct Request {
    pub incoming: IncomingRequest,
    pub class: RequestClass,
    pub deadline: Nanos,
    pub max_attempts: u32,
    pub attempts: u32,
    /// The host of the attempt in flight or the open connection, and the time at which an attempt
    /// times out.
    pub attempt: Option<(HostId, Nanos)>,
    pub sent_at: Nanos,
    pub established_at: Option<Nanos>,
    pub migrating: bool,
    /// The host of the first attempt that may have run, as it was listed when the attempt ended,
    /// and when the attempt was sent.
    pub first_run: Option<(Endpoint, Nanos)>,
    pub tried_hosts: Vec<HostId>,
    pub client_gone: bool,
}

/// A node, the state of its simulated surroundings, and the random generator of the events.
pub struct World {
    pub seed: u64,
    pub rng: ChaCha8Rng,
    pub now: Nanos,
    pub settings: BalancerSettings,
    pub node: Balancer,
    pub hosts: BTreeMap<u64, Endpoint>,
    pub requests: BTreeMap<u64, Request>,
    pub next_request: u64,
    pub timers: Vec<(Nanos, u64)>,
    pub actions: Vec<Action>,
    /// Whether a successor is starting that has not taken over all requests yet.
    pub in_hot_restart: bool,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let settings = draws::settings(&mut rng);
        let mut actions = Vec::new();
        let node = Balancer::new(settings.clone(), seed, START, &mut actions);
        let (hosts, requests, timers) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
        let (now, next_request, in_hot_restart) = (START, 0, false);
        let mut world = World {
            seed,
            rng,
            now,
            settings,
            node,
            hosts,
            requests,
            next_request,
            timers,
            actions,
            in_hot_restart,
        };
        world.check_actions();
        world
    }

    pub fn handle(&mut self, event: Event) {
        self.node.handle(self.now, event, &mut self.actions);
        self.check_actions();
    }

    pub fn check_actions(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            self.check(&action);
        }
        if !self.in_hot_restart {
            for (id, request) in &self.requests {
                assert!(
                    request.attempt.is_some(),
                    "seed {}: request {id} neither answered nor in flight",
                    self.seed
                );
            }
        }
    }

    /// Lets time pass: fires timers and times out attempts in the order of their times, or all of
    /// them late where the process stalls.
    pub fn let_time_pass(&mut self, span: Nanos, stalled: bool) {
        let until = self.now + span;
        if stalled {
            self.now = until;
        }
        loop {
            let timer = self
                .timers
                .iter()
                .copied()
                .min()
                .filter(|(time, _)| *time <= until);
            let limit = |(id, r): (&u64, &Request)| {
                Some((r.attempt?.1, *id))
                    .filter(|(limit, _)| r.established_at.is_none() && *limit <= until)
            };
            let limit = self.requests.iter().filter_map(limit).min();
            match (timer, limit) {
                (Some(timer), limit) if limit.is_none_or(|limit| timer.0 <= limit.0) => {
                    self.timers.retain(|other| *other != timer);
                    self.now = self.now.max(timer.0);
                    self.handle(Event::TimerFired { timer: timer.1 });
                }
                (_, Some((limit, id))) => {
                    self.now = self.now.max(limit);
                    self.end(id, AttemptOutcome::TimedOut);
                }
                _ => break,
            }
        }
        self.now = until;
    }

    /// Returns a random request that satisfies the predicate; `None` where there is none.
    pub fn any_request(&mut self, is_wanted: impl Fn(&Request) -> bool) -> Option<u64> {
        let matching: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, r)| is_wanted(r))
            .map(|(id, _)| *id)
            .collect();
        matching.choose(&mut self.rng).copied()
    }

    /// Ends the attempt in flight or the open connection.
    pub fn end(&mut self, id: u64, ending: AttemptOutcome) {
        let request = self.requests.get_mut(&id).unwrap();
        let (host, _) = request.attempt.take().unwrap();
        if !ending.never_ran() && request.first_run.is_none() {
            request.first_run = Some((self.hosts[&host.0], request.sent_at));
        }
        let over = request.established_at.is_some()
            || request.client_gone
            || ending == AttemptOutcome::Completed;
        let attempt = request.attempts.saturating_sub(1);
        if over {
            self.requests.remove(&id);
        }
        let load_metrics = vec![self.rng.random_range(-1.0..2.0), f64::NAN];
        self.handle(Event::AttemptEnded {
            id: RequestId(id),
            attempt,
            host,
            request_over: over,
            ending,
            load_metrics,
        });
    }

    /// Returns whether all remaining requests are open connections.
    pub fn all_requests_are_established(&self) -> bool {
        let mut requests = self.requests.values();
        requests.all(|request| request.established_at.is_some())
    }
}
