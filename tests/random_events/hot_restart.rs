//! Hot restart: a successor process replaces the node.

use crate::world::World;
use rand::Rng;
use reedferry::*;

impl World {
    /// Replaces the node by a successor that inherits its state and takes over all its requests.
    pub fn restart_hot(&mut self) {
        let state = self.node.export_state();
        let seed = self.rng.random();
        self.timers.clear();
        self.node = Balancer::new(self.settings.clone(), seed, self.now, &mut self.actions);
        self.in_hot_restart = true;
        self.check_actions();
        let hosts: Vec<Endpoint> = self.hosts.values().copied().collect();
        self.handle(Event::EndpointsUpdated {
            kind: EndpointUpdate::Cached,
            endpoints: hosts,
        });
        self.handle(Event::StateInherited(Box::new(state)));
        let open: Vec<u64> = self.requests.keys().copied().collect();
        for id in open {
            self.take_over(id);
        }
        self.in_hot_restart = false;
        self.check_actions();
    }

    /// Hands one request over to the successor. An attempt in flight ends with the predecessor and
    /// counts as one that may have run.
    fn take_over(&mut self, id: u64) {
        let now = self.now;
        let request = self.requests.get_mut(&id).unwrap();
        request.incoming.time_left = request.deadline.saturating_sub(now);
        let incoming = request.incoming;
        let (host, _) = request.attempt.unwrap();
        if request.client_gone && request.established_at.is_none() {
            self.requests.remove(&id);
            return;
        }
        if let Some(since) = request.established_at {
            (request.migrating, request.attempts) = (false, 1);
            return self.handle(Event::ConnectionHandedOver(incoming, host, since));
        }
        request.attempt = None;
        request.max_attempts = self.settings.max_attempts;
        if request.first_run.is_none() {
            request.first_run = Some((self.hosts[&host.0], request.sent_at));
        }
        let first_run = request
            .first_run
            .as_ref()
            .map(|(first, sent_at)| (first.id, *sent_at));
        let prior = PriorAttempts {
            attempts: request.attempts,
            may_have_run: first_run,
            tried_hosts: request.tried_hosts.clone(),
        };
        self.handle(Event::RequestTakenOver(incoming, prior));
    }
}
