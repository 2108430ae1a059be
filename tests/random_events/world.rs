//! One node, its hosts and its clients, on a simulated clock.

use crate::draws;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reedferry::*;
use std::collections::BTreeMap;

pub const START: Nanos = 86_400 * SECOND;
pub const MAX_HOSTS: u64 = 6;

/// A request, as its client and its hosts see it.
#[derive(Clone)]
pub struct Request {
    pub incoming: IncomingRequest,
    pub class: RequestClass,
    pub deadline: Nanos,
    pub max_attempts: u32,
    pub attempts: u32,
    /// The attempt in flight, with its limit, or the open connection.
    pub attempt: Option<(HostId, Nanos)>,
    pub sent_at: Nanos,
    pub established_at: Option<Nanos>,
    pub migrating: bool,
    /// The first attempt that may have run.
    pub first_run: Option<(Endpoint, Nanos)>,
    pub tried_hosts: Vec<HostId>,
    pub client_gone: bool,
}

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
    /// A successor takes over, and has not been told of all requests yet.
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
                    "{}: {id} neither answered nor in flight",
                    self.seed
                );
            }
        }
    }

    /// Lets time pass; timers and limits come in their order, or late where the process stalls.
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

    pub fn any_request(&mut self, is_wanted: impl Fn(&Request) -> bool) -> Option<u64> {
        let fitting: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, r)| is_wanted(r))
            .map(|(id, _)| *id)
            .collect();
        fitting.choose(&mut self.rng).copied()
    }

    /// The attempt in flight, or the open connection, ends.
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

    /// Whether all requests that are left have become connections.
    pub fn all_requests_are_established(&self) -> bool {
        let mut requests = self.requests.values();
        requests.all(|request| request.established_at.is_some())
    }
}
