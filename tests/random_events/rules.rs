//! The rules, to which each action of the module is held.

use crate::world::{Request, World};
use reedferry::permission::{may_reject, may_repeat_at};
use reedferry::*;

impl World {
    /// Checks an action against the rules, and carries it out.
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
                    "{seed}: a probe though none is allowed"
                );
                assert_eq!(
                    self.hosts[&host.0].state,
                    HostState::Ready,
                    "{seed}: {host:?} probed"
                );
            }
            Action::Gossip { message } => {
                assert!(
                    self.settings.gossip_enabled && message.len() <= gossip::MAX_MESSAGE_BYTES,
                    "{seed}: gossip that is not allowed"
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
            "{seed}: {id} rejected"
        );
        assert!(
            retry_after <= self.settings.max_retry_after,
            "{seed}: Retry-After of {retry_after}"
        );
    }

    fn check_migration(&mut self, id: u64) {
        let request = self.requests.get_mut(&id).expect("migrated after its end");
        assert!(
            request.established_at.is_some() && !request.migrating,
            "{}: {id} migrated twice or too early",
            self.seed
        );
        request.migrating = true;
    }

    fn check_cancellation(&mut self, id: u64, attempt: u32) {
        let (seed, request) = (self.seed, &self.requests[&id]);
        assert!(
            request.client_gone && self.settings.may_cancel,
            "{seed}: {id} cancelled"
        );
        assert!(
            request.established_at.is_none() && attempt + 1 == request.attempts,
            "{seed}: {id}"
        );
    }

    fn check_attempt(&mut self, id: u64, host: HostId, until: Nanos, by: Nanos) {
        let (seed, now) = (self.seed, self.now);
        let endpoint = self.hosts[&host.0];
        let request = self
            .requests
            .get_mut(&id)
            .expect("an attempt after the answer");
        assert!(
            !request.client_gone,
            "{seed}: {id} attempted after its client had gone"
        );
        assert!(
            request.attempt.is_none(),
            "{seed}: {id} has two attempts in flight"
        );
        assert!(
            now < until && until <= request.deadline,
            "{seed}: {id} limit {until}, {}",
            request.deadline
        );
        assert!(
            request.attempts < request.max_attempts,
            "{seed}: {id} attempted too often"
        );
        assert_eq!(
            endpoint.state,
            HostState::Ready,
            "{seed}: {id} to a host that is not ready"
        );
        if let Some((first, sent_at)) = &request.first_run {
            assert_ne!(
                request.class.idempotency,
                Idempotency::NonIdempotent,
                "{seed}: {id} may run twice"
            );
            assert_eq!(
                may_repeat_at(&request.class, Some(first), &endpoint),
                Ok(()),
                "{seed}: {id}"
            );
            if request.class.idempotency == Idempotency::WithKey {
                let window = sent_at + request.class.idempotency_window;
                assert!(
                    now < window && by <= window,
                    "{seed}: {id} out of its window"
                );
            }
        }
        (request.attempt, request.sent_at) = (Some((host, until)), now);
        request.attempts += 1;
        request.tried_hosts.push(host);
    }

    /// Takes the final answer.
    fn take_answer(&mut self, id: u64) -> Request {
        let request = self.requests.remove(&id).expect("a second answer");
        assert!(
            request.attempt.is_none(),
            "{}: {id} answered beside an attempt",
            self.seed
        );
        request
    }
}
