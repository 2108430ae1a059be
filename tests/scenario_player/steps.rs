//! Plays the steps of a scenario that set it up or report an event.

use super::parsing::{
    apply_settings, endpoint, endpoint_update, host, milliseconds, number, outcome, request,
    request_class,
};
use super::{Player, Request, SETUP_TIME, START};
use reedferry::*;

impl Player {
    /// Plays one line.
    pub fn step(&mut self, words: &[&str]) {
        match words[0] {
            "settings" => apply_settings(&mut self.settings, &words[1..]),
            "class" => self.settings.classes.push(request_class(&words[1..])),
            "accept" => self.accepting_hosts = words[1..].iter().map(|name| host(name)).collect(),
            "reject" => self.rejecting_hosts = words[1..].iter().map(|name| host(name)).collect(),
            _ if self.expect(words) => {}
            time => {
                self.actions.clear();
                self.pass_until(START + milliseconds(time));
                self.play_event(words[1], &words[2..]);
            }
        }
    }

    fn play_event(&mut self, name: &str, words: &[&str]) {
        let id = || number(words[0]) as u64;
        match name {
            "wait" => {}
            "endpoints" => self.update_endpoints(words[0], &words[1..]),
            "open" => self.arrive(id(), &words[2..], Some(host(words[1]))),
            "arrive" => match words[0].split_once('-') {
                Some((first, last)) => {
                    for id in number(first) as u64..=number(last) as u64 {
                        self.arrive(id, &words[2..], None);
                        self.pass_until(self.now + milliseconds(words[1]));
                    }
                }
                None => self.arrive(id(), &words[1..], None),
            },
            "established" => {
                let took = words.get(1).map_or(SETUP_TIME, |word| milliseconds(word));
                self.establish(id(), took);
            }
            "ended" => self.end_with(id(), outcome(words[1])),
            "client-left" => {
                self.requests.get_mut(&id()).unwrap().answered = true;
                let id = RequestId(id());
                self.handle(Event::ClientLeft { id });
            }
            "break-connections" => {
                let connections = self.connections_at(words[0]);
                for id in connections.into_iter().take(number(words[1]) as usize) {
                    self.end(id, AttemptOutcome::ConnectionLost, true);
                }
            }
            "shutdown" => {
                let from = self.now + milliseconds(words[0]);
                let by = self.now + milliseconds(words[1]);
                self.handle(Event::ShutdownStarted { from, by });
            }
            _ => self.handle(reported_event(name, words)),
        }
    }

    /// Ends an attempt or a connection. A lost connection ends the request only if it was
    /// established.
    fn end_with(&mut self, id: u64, outcome: AttemptOutcome) {
        let request_over = match outcome {
            AttemptOutcome::Completed => true,
            AttemptOutcome::ConnectionLost => self.requests[&id].established,
            _ => false,
        };
        self.end(id, outcome, request_over);
    }

    /// Reports a request that arrives or is taken over, or an open connection found at `host`.
    fn arrive(&mut self, id: u64, words: &[&str], host: Option<HostId>) {
        let (incoming, prior) = request(id, words, self.now);
        let class = self.settings.classes.get(incoming.class);
        let mut request = Request {
            deadline: self.now + incoming.time_left,
            non_idempotent: class.is_some_and(|c| c.idempotency == Idempotency::NonIdempotent),
            attempts: prior.attempts,
            may_have_run: prior.may_have_run.is_some(),
            ..Request::default()
        };
        if let Some(host) = host {
            request.established = true;
            request.answered = true;
            request.attempt = Some((host, Nanos::MAX));
            request.attempts = 1;
        }
        self.requests.insert(id, request);
        self.handle(match host {
            Some(host) => Event::ConnectionFound(incoming, host),
            None if prior.attempts > 0 => Event::RequestTakenOver(incoming, prior),
            None => Event::RequestArrived(incoming),
        });
    }

    fn update_endpoints(&mut self, kind: &str, entries: &[&str]) {
        let kind = endpoint_update(kind);
        if matches!(kind, EndpointUpdate::Full | EndpointUpdate::Cached) {
            self.host_states.clear();
        }
        let endpoints: Vec<Endpoint> = entries.iter().map(|entry| endpoint(entry)).collect();
        for endpoint in &endpoints {
            self.host_states.insert(endpoint.id.0, endpoint.state);
        }
        self.handle(Event::EndpointsUpdated { kind, endpoints });
    }
}

/// Returns an event that changes nothing in the player itself.
fn reported_event(name: &str, words: &[&str]) -> Event {
    match name {
        "slow-start-slots" => {
            let slot = |word: &&str| {
                let (node, share) = word.split_once(':')?;
                Some((number(node) as u32, number(share)))
            };
            Event::SlowStartSlotsAssigned(words.iter().filter_map(slot).collect())
        }
        "probe-targets" => {
            Event::ProbeTargetsAssigned(words.iter().map(|name| host(name)).collect())
        }
        "probe-report" => probe_ended(host(words[0]), words[1]),
        "gossip" => Event::GossipReceived {
            message: gossip::encode(host(words[0]), number(words[1])),
        },
        "gossip-bytes" => {
            let byte = |start| u8::from_str_radix(&words[0][start..start + 2], 16).unwrap();
            let message = (0..words[0].len()).step_by(2).map(byte).collect();
            Event::GossipReceived { message }
        }
        "load" => Event::LoadMeasured {
            id: RequestId(number(words[0]) as u64),
            load: number(words[1]),
        },
        "message-latency" => Event::MessageLatency {
            host: host(words[0]),
            latency: milliseconds(words[1]),
        },
        other => panic!("unknown event {other}"),
    }
}

fn probe_ended(host: HostId, report: &str) -> Event {
    let (ending, load_metrics) = match report {
        "silent" => (AttemptOutcome::TimedOut, Vec::new()),
        "nan" => (AttemptOutcome::Completed, vec![1.0, f64::NAN]),
        load => (AttemptOutcome::Completed, vec![1.0, number(load)]),
    };
    Event::ProbeEnded {
        host,
        ending,
        load_metrics,
    }
}
