//! Places one request: sends it to the best host, or gives its final answer at once.

use super::Balancer;
use crate::action::Action;
use crate::connection::Connection;
use crate::hashing::hash_to_unit_interval;
use crate::host::is_large_fleet;
use crate::messages::HostMessage;
use crate::permission::{answer_by, may_reject, repeat_deadline};
use crate::request_table::Request;
use crate::settings::{Idempotency, RequestClass};
use crate::time::{Nanos, SECOND};
use rand::Rng;

/// The number of attempts ending with an error after which no other host is tried.
const MAX_ERRORS: u32 = 2;
/// How much longer than the latency objective a node of a large fleet waits for a set-up when it
/// sees hardly any set-ups and no loads.
const EXTRA_SETUP_TIME: Nanos = 6 * SECOND;
/// The same if probes report loads or the loads of connections are measured. It is shorter because
/// a hanging host is then detected by its load.
const EXTRA_SETUP_TIME_WITH_LOADS: Nanos = 2 * SECOND;
/// The arrival rate, in requests per second, at which the extra set-up time is halved.
const HALVING_ARRIVAL_RATE: f64 = 5.0;
/// The increase of the set-up timeout when all set-ups fail, as a multiple of the usual timeout.
const FAILURE_TIMEOUT_FACTOR: f64 = 20.0;

impl Balancer {
    /// Sends the request to the best host, or gives its final answer at once.
    pub(super) fn place(&mut self, now: Nanos, slot: usize, actions: &mut Vec<Action>) {
        let random: u64 = self.rng.random();
        let Some(request) = self.requests.get(slot) else {
            return;
        };
        let class = &self.settings.classes[request.incoming.class];
        let answer_by = self.answer_by(request);
        let write_by = repeat_deadline(class, request.first_run.map(|first| first.sent_at));
        let shed = self.should_shed(now, request, random) || self.would_time_out(now, answer_by);
        let attempt_ruled_out =
            now >= answer_by || now >= write_by || self.has_exhausted_attempts(request);
        let vector = self.weight_optimizer.current();
        let host = if attempt_ruled_out || shed {
            None
        } else {
            self.select_host(now, request, vector, random)
        };
        if shed {
            self.load_shedding.request_rejected(now);
        }
        let Some(host) = host else {
            return self.give_final_answer(slot, actions);
        };
        let last_attempt = request.attempts + 1 >= request.max_attempts
            || class.idempotency == Idempotency::NonIdempotent;
        let until = if last_attempt {
            answer_by
        } else {
            answer_by.min(now + self.setup_timeout(now, class))
        };
        actions.push(Action::StartAttempt {
            id: request.id,
            host: self.hosts[host].id,
            until,
            by: write_by,
        });
        self.attempt_started(now, slot, host, vector);
    }

    fn attempt_started(&mut self, now: Nanos, slot: usize, host: usize, vector: usize) {
        self.weight_optimizer.advance();
        self.load_shedding.request_placed();
        self.gossip_budget.attempt_started();
        let endpoint = self.hosts[host].endpoint;
        let Some(request) = self.requests.get_mut(slot) else {
            return;
        };
        request.attempt_started(host, endpoint, now);
        let incoming = request.incoming;
        let connection = Connection {
            weight_vector: Some(vector),
            ..Connection::new(now, slot, &incoming, &self.history, &self.settings)
        };
        self.send_host(host, HostMessage::ConnectionAdded(connection));
    }

    /// Returns the time by which the request gets its answer. It is no later than the shutdown
    /// deadline: otherwise a stopping node might be killed before it answers.
    fn answer_by(&self, request: &Request) -> Nanos {
        let shutdown_deadline = self.shutdown.deadline.unwrap_or(Nanos::MAX);
        answer_by(
            request.deadline.min(shutdown_deadline),
            request.incoming.time_left,
            self.settings.min_call_interval,
        )
    }

    /// Returns whether the request has failed too often to be attempted again. While set-up
    /// failures are common, one attempt is the limit: otherwise a session store that fails at once
    /// would get five set-ups for each request. The limit of errors keeps requests that no host
    /// accepts, such as malformed ones, from being sent to host after host.
    fn has_exhausted_attempts(&self, request: &Request) -> bool {
        let max_attempts = if self.setup_failures.are_common() {
            1
        } else {
            request.max_attempts
        };
        request.attempts >= max_attempts || request.errors >= MAX_ERRORS
    }

    /// Returns whether a request that has just arrived is rejected. In a shutdown, all are. In an
    /// overload, requests are rejected at random, and more of them the less load this node sees.
    /// This prevents many nodes from refilling hosts as fast as each migrates its one connection
    /// away.
    fn should_shed(&self, now: Nanos, request: &Request, random: u64) -> bool {
        if request.attempts > 0 {
            return false;
        }
        if self.shutdown.is_in_progress() {
            return true;
        }
        if !self.load_shedding.is_active() || self.load_shedding.should_admit_trial(now) {
            return false;
        }
        let unseen_share = self.estimate_fleet(now).unseen_share();
        // Classes with a low priority per unit of load are rejected first.
        let lowest_priority = self
            .settings
            .classes
            .iter()
            .enumerate()
            .filter(|(_, class)| class.active)
            .map(|(class, _)| self.priority_per_load(class))
            .fold(f64::INFINITY, f64::min);
        let relative_priority = lowest_priority / self.priority_per_load(request.incoming.class);
        let unseen_share = unseen_share * relative_priority.sqrt();
        hash_to_unit_interval(random, 0) < self.load_shedding.rejected_share(unseen_share)
    }

    /// Returns whether, judging by recent set-ups, the request would expire before a set-up can
    /// end. Without this check, a class with a short deadline would get nothing from a slow session
    /// store and would also take its time from the other classes, because the store goes on with
    /// set-ups that the client has given up. A small fleet sees enough set-ups and waits for each
    /// of them.
    fn would_time_out(&self, now: Nanos, answer_by: Nanos) -> bool {
        let shortest = self.recent_setups.shortest(now);
        is_large_fleet(&self.settings)
            && shortest.is_some_and(|shortest| now + shortest >= answer_by)
            && !self.load_shedding.should_admit_trial(now)
    }

    fn priority_per_load(&self, class: usize) -> f64 {
        let priority =
            self.settings.classes[class].priority_weight / self.history.load(class, None);
        priority.max(f64::MIN_POSITIVE)
    }

    /// Gives the final answer to a request that is not attempted again: a rejection if the client
    /// may safely retry, otherwise a failure.
    fn give_final_answer(&mut self, slot: usize, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(slot) else {
            return;
        };
        let class = &self.settings.classes[request.incoming.class];
        let may_be_rejected = may_reject(class, request.first_run.is_some());
        let id = request.id;
        // The wait is random, so that the clients do not come back in step.
        let wait = self.settings.max_retry_after as f64 * self.rng.random_range(0.25..1.0);
        actions.push(if may_be_rejected {
            let retry_after = wait as Nanos;
            Action::Reject { id, retry_after }
        } else {
            Action::Fail { id }
        });
        self.requests.remove(slot);
    }

    /// Returns how long a set-up may take before another host is tried. A node that sees few
    /// set-ups cannot tell a slow shared session store from a hanging host and therefore waits
    /// longer. Without the longer timeouts, a slow store would answer only after the node has
    /// already retried.
    fn setup_timeout(&self, now: Nanos, class: &RequestClass) -> Nanos {
        let knows_loads = self.settings.load_from_probes || self.history.has_measured_loads();
        let max_extra = match (is_large_fleet(&self.settings), knows_loads) {
            (false, _) => 0,
            (true, true) => EXTRA_SETUP_TIME_WITH_LOADS,
            (true, false) => EXTRA_SETUP_TIME,
        };
        let arrivals = self.arrival_rate.per_second(now);
        let extra = max_extra as f64 / (1.0 + (arrivals / HALVING_ARRIVAL_RATE).powi(2));
        let usual = (class.latency_objective as f64 + extra).max(self.history.slow_setup_time());
        (usual * (1.0 + FAILURE_TIMEOUT_FACTOR * self.setup_failures.rate())) as Nanos
    }
}
