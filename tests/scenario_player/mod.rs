//! Plays the steps of a scenario: simulates the hosts and clients of a node, and checks the rules
//! that hold in every scenario.

mod expectations;
mod parsing;
mod steps;

use reedferry::*;
use std::collections::BTreeMap;

/// The time on the node's clock at the start of a scenario. It is not zero, because the clock may
/// start at any value.
const START: Nanos = 86_400 * SECOND;
/// How long a connection set-up takes where the scenario does not say.
const SETUP_TIME: Nanos = 20 * MILLI;

/// A request as the simulated client and hosts see it.
#[derive(Default)]
struct Request {
    deadline: Nanos,
    /// The host of the attempt in flight or the open connection, and the time at which an attempt
    /// times out.
    attempt: Option<(HostId, Nanos)>,
    attempts: u32,
    may_have_run: bool,
    established: bool,
    answered: bool,
    non_idempotent: bool,
}

/// A node in a scenario, with its simulated hosts and clients.
pub struct Player {
    settings: BalancerSettings,
    /// The balancer; `None` until the first event.
    node: Option<Balancer>,
    now: Nanos,
    timers: Vec<(Nanos, u64)>,
    /// The actions since the last event.
    actions: Vec<Action>,
    host_states: BTreeMap<u64, HostState>,
    accepting_hosts: Vec<HostId>,
    rejecting_hosts: Vec<HostId>,
    requests: BTreeMap<u64, Request>,
    /// The attempts at each host since they were last counted.
    attempts: BTreeMap<u64, u32>,
    /// The probes since they were last counted.
    probes: usize,
    /// The gossip messages since they were last counted.
    gossip_messages: usize,
}

impl Player {
    /// Creates a player whose node has not started yet.
    pub fn new() -> Self {
        Player {
            settings: BalancerSettings::default(),
            node: None,
            now: START,
            timers: Vec::new(),
            actions: Vec::new(),
            host_states: BTreeMap::new(),
            accepting_hosts: Vec::new(),
            rejecting_hosts: Vec::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            probes: 0,
            gossip_messages: 0,
        }
    }

    /// Lets a minute pass, so that every request gets its answer.
    pub fn finish(&mut self) {
        self.pass_until(self.now + 60 * SECOND);
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        let node = self.node.get_or_insert_with(|| {
            Balancer::new(self.settings.clone(), 11, self.now, &mut actions)
        });
        node.handle(self.now, event, &mut actions);
        for action in actions {
            self.check(&action);
            self.actions.push(action.clone());
            match action {
                Action::StartAttempt { id, host, .. } if self.accepting_hosts.contains(&host) => {
                    self.establish(id.0, SETUP_TIME);
                }
                Action::StartAttempt { id, host, .. } if self.rejecting_hosts.contains(&host) => {
                    self.end(id.0, AttemptOutcome::Rejected, false);
                }
                Action::Migrate { id } => self.end(id.0, AttemptOutcome::Cancelled, true),
                _ => {}
            }
        }
    }

    /// Checks the rules that hold in every scenario.
    fn check(&mut self, action: &Action) {
        match action {
            Action::StartAttempt {
                id, host, until, ..
            } => self.check_attempt(id.0, *host, *until),
            Action::Reject { id, .. } => self.check_answer(id.0, true),
            Action::Fail { id } => self.check_answer(id.0, false),
            Action::SetTimer { time, timer } => self.timers.push((*time, *timer)),
            Action::Probe { .. } => {
                assert!(
                    self.settings.load_from_probes,
                    "probe although probes are not allowed"
                );
                self.probes += 1;
            }
            Action::Gossip { message } => {
                assert!(
                    self.settings.gossip_enabled && message.len() <= gossip::MAX_MESSAGE_BYTES,
                    "gossip that is too long or not allowed"
                );
                self.gossip_messages += 1;
            }
            _ => {}
        }
    }

    fn check_attempt(&mut self, id: u64, host: HostId, until: Nanos) {
        let request = self.requests.get_mut(&id);
        let request = request.expect("attempt for a request that never arrived");
        assert!(
            !request.answered,
            "attempt for request {id} after its answer"
        );
        assert!(
            request.attempt.is_none(),
            "second attempt in flight for request {id}"
        );
        assert!(
            !(request.non_idempotent && request.may_have_run),
            "non-idempotent request {id} may run twice"
        );
        assert!(
            until > self.now && until <= request.deadline,
            "time limit of request {id} not between now and its deadline"
        );
        assert_eq!(
            self.host_states.get(&host.0),
            Some(&HostState::Ready),
            "attempt at a host that is not ready"
        );
        assert!(
            request.attempts < self.settings.max_attempts,
            "too many attempts for request {id}"
        );
        request.attempt = Some((host, until));
        request.attempts += 1;
        *self.attempts.entry(host.0).or_insert(0) += 1;
    }

    fn check_answer(&mut self, id: u64, rejected: bool) {
        let request = self.requests.get_mut(&id);
        let request = request.expect("answer to a request that never arrived");
        assert!(!request.answered, "request {id} answered twice");
        assert!(
            self.now <= request.deadline,
            "request {id} answered after its deadline"
        );
        assert!(
            !(rejected && request.non_idempotent && request.may_have_run),
            "non-idempotent request {id} rejected although it may have run"
        );
        request.answered = true;
    }

    /// Lets time pass: fires timers and times out attempts in the order of their times.
    fn pass_until(&mut self, until: Nanos) {
        loop {
            let timer = self.timers.iter().copied().min();
            let limit = self
                .requests
                .iter()
                .filter(|(_, request)| !request.established)
                .filter_map(|(id, request)| Some((request.attempt?.1, *id)))
                .min();
            let timer_time = timer.map_or(Nanos::MAX, |(time, _)| time);
            let limit_time = limit.map_or(Nanos::MAX, |(time, _)| time);
            let next = timer_time.min(limit_time);
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            match (timer, limit) {
                (Some((time, timer)), limit) if limit.is_none_or(|(at, _)| time <= at) => {
                    self.timers.retain(|other| *other != (time, timer));
                    self.handle(Event::TimerFired { timer });
                }
                (_, Some((_, id))) => self.end(id, AttemptOutcome::TimedOut, false),
                _ => unreachable!(),
            }
        }
        self.now = until;
        for (id, request) in &self.requests {
            assert!(
                request.answered || request.established || self.now <= request.deadline,
                "request {id} not answered by its deadline"
            );
        }
    }

    fn establish(&mut self, id: u64, took: Nanos) {
        let request = self.requests.get_mut(&id).unwrap();
        request.established = true;
        request.answered = true;
        let id = RequestId(id);
        self.handle(Event::ConnectionEstablished { id, took });
    }

    /// Ends the attempt in flight or the open connection.
    fn end(&mut self, id: u64, ending: AttemptOutcome, request_over: bool) {
        let request = self.requests.get_mut(&id).unwrap();
        let (host, _) = request.attempt.take().expect("no attempt in flight");
        request.may_have_run |= !ending.never_ran();
        request.answered |= request_over;
        let attempt = request.attempts - 1;
        self.handle(Event::AttemptEnded {
            id: RequestId(id),
            attempt,
            host,
            request_over,
            ending,
            load_metrics: Vec::new(),
        });
    }

    /// Returns the requests with an open connection at a host, or at any host for the name `all`.
    fn connections_at(&self, name: &str) -> Vec<u64> {
        let is_there = |request: &Request| {
            let host = request.attempt.map(|(host, _)| host);
            request.established && host.is_some_and(|at| name == "all" || at == parsing::host(name))
        };
        let there = self
            .requests
            .iter()
            .filter(|(_, request)| is_there(request));
        there.map(|(id, _)| *id).collect()
    }
}
