//! Clients of the simulation: arrivals, departures and the answers that they got.

use super::{attempt_ended, Answer, Client, Simulation, REQUEST_TIMEOUT};
use reedferry::{AttemptOutcome, Event, IncomingRequest, Nanos, RequestId};

impl Simulation {
    /// Adds a client with a request of this class to a forwarder, and returns its id.
    pub fn add_client(&mut self, forwarder: usize, class: usize) -> u64 {
        self.last_client += 1;
        let id = self.last_client;
        let client = Client {
            deadline: self.now + REQUEST_TIMEOUT,
            class,
            arrived_at: self.now,
            ..Client::default()
        };
        let incoming = IncomingRequest {
            id: RequestId(id),
            class,
            key: Some(id),
            time_left: REQUEST_TIMEOUT,
            ..IncomingRequest::default()
        };
        let forwarder = &mut self.forwarders[forwarder];
        forwarder.clients.insert(id, client);
        forwarder.events.push(Event::RequestArrived(incoming));
        id
    }

    pub fn client(&mut self, id: u64) -> &mut Client {
        self.forwarders
            .iter_mut()
            .find_map(|forwarder| forwarder.clients.get_mut(&id))
            .unwrap()
    }

    /// Returns whether the client's connection is open.
    pub fn is_open(&mut self, id: u64) -> bool {
        self.client(id).open
    }

    /// Returns the client's first answer; `None` if it has none yet.
    pub fn answer(&mut self, id: u64) -> Option<Answer> {
        self.client(id).answers.first().map(|(_, answer)| *answer)
    }

    /// Returns whether the first answer of each of these clients was an open connection.
    pub fn all_established(&mut self, ids: &[u64]) -> bool {
        ids.iter()
            .all(|id| self.answer(*id) == Some(Answer::Established))
    }

    /// Returns the number of these clients whose first answer is this one.
    pub fn count_answers(&mut self, ids: &[u64], answer: Answer) -> usize {
        ids.iter()
            .filter(|id| self.answer(**id) == Some(answer))
            .count()
    }

    /// Closes a client's open connection.
    pub fn close_client(&mut self, forwarder: usize, id: u64) {
        self.forwarders[forwarder].events.push(attempt_ended(
            id,
            0,
            0,
            true,
            AttemptOutcome::Completed,
        ));
        self.client(id).open = false;
    }

    /// Returns the longest time from the arrival of one of these clients to its first attempt, or to its first answer
    /// if it had no attempt. Returns [`Nanos::MAX`] if one had neither.
    pub fn max_decision_time(&self, ids: &[u64]) -> Nanos {
        let first = |client: &Client| {
            let attempt = client.attempts.first().map(|attempt| attempt.at);
            attempt.or(client.answers.first().map(|(at, _)| *at))
        };
        self.forwarders
            .iter()
            .flat_map(|forwarder| &forwarder.clients)
            .filter(|(id, _)| ids.contains(id))
            .map(|(_, client)| first(client).map_or(Nanos::MAX, |t| t - client.arrived_at))
            .max()
            .unwrap()
    }
}
