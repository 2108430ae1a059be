//! Checks each action of the balancer against the rules.

use crate::world::{Request, World};
use reedferry::permission::{may_reject, may_repeat_at};
use reedferry::*;

impl World {
    /// Checks an action against the rules and carries it out.
    pub fn check(&mut self, action: &Action) {
        let seed = self.seed;
        match action {
            Action::StartAttempt {
                id,
                host,
                until,
                by,
            } => self.check_attempt(id.0, *host, *until, *by),
            Action::Reject { id, retry_after } => self.check_rejection(id.0, *retry_after),
            Action::Fail { id } => _ = self.take_answer(id.0),
            Action::Migrate { id } => self.check_migration(id.0),
            Action::CancelAttempt { id, attempt } => self.check_cancellation(id.0, *attempt),
            Action::SetTimer { time, timer } => self.timers.push((*time, *timer)),
            Action::Probe { host } => {
                assert!(
                    self.settings.load_from_probes,
                    "seed {seed}: probe although probes are not allowed"
                );
                assert_eq!(
                    self.hosts[&host.0].state,
                    HostState::Ready,
                    "seed {seed}: probe of {host:?}, which is not ready"
                );
            }
            Action::Gossip { message } => {
                assert!(
                    self.settings.gossip_enabled && message.len() <= gossip::MAX_MESSAGE_BYTES,
                    "seed {seed}: gossip that is too long or not allowed"
                );
            }
            Action::PollEndpoints | Action::WatchEndpoints | Action::Log(_) => {}
        }
    }

    fn check_rejection(&mut self, id: u64, retry_after: Nanos) {
        let seed = self.seed;
        let request = self.take_answer(id);
        assert!(
            may_reject(&request.class, request.first_run.is_some()),
            "seed {seed}: request {id} rejected although a retry may do harm"
        );
        assert!(
            retry_after <= self.settings.max_retry_after,
            "seed {seed}: Retry-After of {retry_after} ns is too long"
        );
    }

    fn check_migration(&mut self, id: u64) {
        let request = self
            .requests
            .get_mut(&id)
            .expect("migration of a request that is over");
        assert!(
            request.established_at.is_some() && !request.migrating,
            "seed {}: request {id} migrated twice or before its connection was open",
            self.seed
        );
        request.migrating = true;
    }

    fn check_cancellation(&mut self, id: u64, attempt: u32) {
        let (seed, request) = (self.seed, &self.requests[&id]);
        assert!(
            request.client_gone && self.settings.may_cancel,
            "seed {seed}: request {id} cancelled although its client waits or it is not allowed"
        );
        assert!(
            request.established_at.is_none() && attempt + 1 == request.attempts,
            "seed {seed}: request {id} cancelled, but not its attempt in flight"
        );
    }

    fn check_attempt(&mut self, id: u64, host: HostId, until: Nanos, by: Nanos) {
        let (seed, now) = (self.seed, self.now);
        let endpoint = self.hosts[&host.0];
        let request = self
            .requests
            .get_mut(&id)
            .expect("attempt for a request that is over");
        assert!(
            !request.client_gone,
            "seed {seed}: attempt for request {id} after its client has left"
        );
        assert!(
            request.attempt.is_none(),
            "seed {seed}: second attempt in flight for request {id}"
        );
        assert!(
            now < until && until <= request.deadline,
            "seed {seed}: request {id} has time limit {until}, deadline {}",
            request.deadline
        );
        assert!(
            request.attempts < request.max_attempts,
            "seed {seed}: too many attempts for request {id}"
        );
        assert_eq!(
            endpoint.state,
            HostState::Ready,
            "seed {seed}: attempt for request {id} at a host that is not ready"
        );
        if let Some((first, sent_at)) = &request.first_run {
            assert_ne!(
                request.class.idempotency,
                Idempotency::NonIdempotent,
                "seed {seed}: non-idempotent request {id} may run twice"
            );
            assert_eq!(
                may_repeat_at(&request.class, Some(first), &endpoint),
                Ok(()),
                "seed {seed}: request {id} repeated outside its idempotency group"
            );
            if request.class.idempotency == Idempotency::WithKey {
                let window = sent_at + request.class.idempotency_window;
                assert!(
                    now < window && by <= window,
                    "seed {seed}: request {id} repeated outside its idempotency window"
                );
            }
        }
        (request.attempt, request.sent_at) = (Some((host, until)), now);
        request.attempts += 1;
        request.tried_hosts.push(host);
    }

    /// Checks a final answer, and removes and returns its request.
    fn take_answer(&mut self, id: u64) -> Request {
        let request = self
            .requests
            .remove(&id)
            .expect("answer to a request that is over");
        assert!(
            request.attempt.is_none(),
            "seed {}: request {id} answered with an attempt in flight",
            self.seed
        );
        request
    }
}
