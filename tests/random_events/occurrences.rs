//! Draws the next random event and applies it.

use crate::draws;
use crate::world::{Request, World, MAX_HOSTS};
use rand::seq::IndexedRandom;
use rand::Rng;
use reedferry::*;

impl World {
    fn request_arrives(&mut self) {
        self.next_request += 1;
        let id = self.next_request;
        let rng = &mut self.rng;
        let incoming = IncomingRequest {
            id: RequestId(id),
            class: rng.random_range(0..self.settings.classes.len()),
            key: rng.random_bool(0.7).then(|| rng.random_range(0..20)),
            group: rng.random_bool(0.5).then(|| rng.random_range(0..4)),
            time_left: *[0, MILLI, 300 * MILLI, 3 * SECOND].choose(rng).unwrap(),
            usual_load: rng
                .random_bool(0.3)
                .then(|| *[0.0, 1e-9, 0.3, 1e6].choose(rng).unwrap()),
            mid_stream: rng.random_bool(0.1),
        };
        let request = Request {
            incoming,
            class: self.settings.classes[incoming.class].clone(),
            deadline: self.now + incoming.time_left,
            max_attempts: self.settings.max_attempts,
            attempts: 0,
            attempt: None,
            sent_at: 0,
            established_at: None,
            migrating: false,
            first_run: None,
            tried_hosts: Vec::new(),
            client_gone: false,
        };
        self.requests.insert(id, request);
        self.handle(Event::RequestArrived(incoming));
    }

    fn connection_opens(&mut self) {
        let Some(id) = self.any_request(|r| r.established_at.is_none()) else {
            return;
        };
        let request = self.requests.get_mut(&id).unwrap();
        (request.established_at, request.client_gone) = (Some(self.now), false);
        let took = self.now - request.sent_at;
        self.handle(Event::ConnectionEstablished {
            id: RequestId(id),
            took,
        });
    }

    fn attempt_ends(&mut self) {
        let Some(id) = self.any_request(|r| r.established_at.is_none()) else {
            return;
        };
        let endings = [
            AttemptOutcome::Completed,
            AttemptOutcome::Error,
            AttemptOutcome::Rejected,
            AttemptOutcome::ConnectFailed,
            AttemptOutcome::ConnectionLost,
            AttemptOutcome::NeverSent,
            AttemptOutcome::NoRoute,
        ];
        let ending = *endings.choose(&mut self.rng).unwrap();
        self.end(id, ending);
    }

    fn connection_ends(&mut self) {
        let Some(id) = self.any_request(|r| r.established_at.is_some()) else {
            return;
        };
        let ending = *[
            AttemptOutcome::Completed,
            AttemptOutcome::ConnectionLost,
            AttemptOutcome::Cancelled,
        ]
        .choose(&mut self.rng)
        .unwrap();
        self.end(id, ending);
    }

    fn client_leaves(&mut self) {
        let Some(id) = self.any_request(|r| r.established_at.is_none() && !r.client_gone) else {
            return;
        };
        self.requests.get_mut(&id).unwrap().client_gone = true;
        self.handle(Event::ClientLeft { id: RequestId(id) });
    }

    fn endpoints_change(&mut self) {
        let kinds = [
            EndpointUpdate::Delta,
            EndpointUpdate::Delta,
            EndpointUpdate::Full,
            EndpointUpdate::Cached,
            EndpointUpdate::Failed,
        ];
        let kind = *kinds.choose(&mut self.rng).unwrap();
        let count = self.rng.random_range(0..=MAX_HOSTS);
        let mut ids: Vec<u64> = (0..count)
            .map(|_| self.rng.random_range(0..MAX_HOSTS))
            .collect();
        ids.sort_unstable();
        ids.dedup();
        let hosts: Vec<Endpoint> = ids
            .into_iter()
            .map(|name| draws::endpoint(&mut self.rng, name, self.now))
            .collect();
        if kind != EndpointUpdate::Failed {
            if kind != EndpointUpdate::Delta {
                self.hosts
                    .values_mut()
                    .for_each(|host| host.state = HostState::Gone);
            }
            self.hosts
                .extend(hosts.iter().map(|host| (host.id.0, *host)));
        }
        self.handle(Event::EndpointsUpdated {
            kind,
            endpoints: hosts,
        });
    }

    fn host_reports(&mut self) {
        let host = HostId(self.rng.random_range(0..MAX_HOSTS + 1));
        let time = *[0, MILLI, 63 * MILLI, 10 * SECOND, Nanos::MAX]
            .choose(&mut self.rng)
            .unwrap();
        let values = vec![self.rng.random_range(-1.0..3.0), f64::NAN];
        let load = self.rng.random_range(0.0..2.0);
        let bytes: Vec<u8> = (0..self.rng.random_range(0..12))
            .map(|_| self.rng.random())
            .collect();
        let event = match self.rng.random_range(0..5) {
            0 | 1 => Event::MessageLatency {
                host,
                latency: time,
            },
            2 => Event::ProbeEnded {
                host,
                ending: AttemptOutcome::Completed,
                load_metrics: values,
            },
            3 => Event::GossipReceived {
                message: gossip::encode(host, load),
            },
            _ => Event::GossipReceived { message: bytes },
        };
        self.handle(event);
    }

    fn load_changes(&mut self) {
        let Some(id) = self.any_request(|r| r.established_at.is_some()) else {
            return;
        };
        let load = *[0.0, 1e-9, 0.5, 3.0, 1e6].choose(&mut self.rng).unwrap();
        self.handle(Event::LoadMeasured {
            id: RequestId(id),
            load,
        });
    }

    /// Changes the settings: the old classes remain, some of them inactive, and new ones are added.
    fn settings_change(&mut self) {
        let mut new = draws::settings(&mut self.rng);
        let added = std::mem::take(&mut new.classes);
        let before = self.settings.classes.len();
        new.classes = self.settings.classes.clone();
        for class in &mut new.classes {
            class.active = self.rng.random();
        }
        new.classes.extend(added);
        let replaced = (before..new.classes.len()).collect();
        self.settings = new.clone();
        self.handle(Event::SettingsChanged(Box::new(new), replaced));
    }

    fn shut_down(&mut self) {
        let from = self.now + self.rng.random_range(0..SECOND);
        let by = from + self.rng.random_range(0..10 * SECOND);
        self.handle(Event::ShutdownStarted { from, by });
    }

    /// Applies one random event.
    pub fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..30 => self.request_arrives(),
            30..45 => self.connection_opens(),
            45..58 => self.attempt_ends(),
            58..66 => self.connection_ends(),
            66..70 => self.client_leaves(),
            70..77 => self.endpoints_change(),
            77..84 => self.host_reports(),
            84..88 => self.load_changes(),
            88 => self.settings_change(),
            89 => self.shut_down(),
            90 => self.handle(Event::ShutdownCancelled),
            91 => self.restart_hot(),
            92 => {
                let has_state = self.rng.random();
                self.handle(Event::SuccessorChanged(has_state));
            }
            93 => {
                let slots = (0..4)
                    .map(|_| (self.rng.random_range(0..300), self.rng.random()))
                    .collect();
                self.handle(Event::SlowStartSlotsAssigned(slots));
            }
            94 => {
                let targets = (0..3)
                    .map(|_| HostId(self.rng.random_range(0..MAX_HOSTS + 2)))
                    .collect();
                self.handle(Event::ProbeTargetsAssigned(targets));
            }
            _ => {
                let span = *[0, MILLI, 100 * MILLI, SECOND, 20 * SECOND]
                    .choose(&mut self.rng)
                    .unwrap();
                let stalled = self.rng.random_bool(0.2);
                self.let_time_pass(span, stalled);
            }
        }
    }
}
