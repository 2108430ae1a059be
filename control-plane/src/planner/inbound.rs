//! Handling of messages from forwarders. Each message changes the records, is passed to the decision core as an event,
//! or both.

use super::request_table::RequestRecord;
use super::zone::QueuedRequest;
use super::{Planner, PlannerAction, RecordKey};
use crate::conversions::is_valid_load;
use crate::error::{LinkError, ProtocolViolation};
use crate::messages::{ForwarderMessage, PlacementRequest, PlannerMessage, PriorAttempts};
use reedferry::{AttemptOutcome, Event, HostId, IncomingRequest, Nanos, SECOND};

/// The time after which a zone stops waiting for a forwarder to report its open connections.
pub(super) const STATE_SYNC_TIMEOUT: Nanos = SECOND;
/// The upper limit to which a reported message latency is cut.
const MAX_MESSAGE_LATENCY: Nanos = 60 * SECOND;

impl Planner {
    /// Handles the messages that a session has received since the last turn. An invalid message closes the session.
    pub(super) fn handle_inbox(&mut self, now: Nanos, key: usize, out: &mut Vec<PlannerAction>) {
        for message in self.sessions[key].take_inbox() {
            if let Err(why) = self.handle_message(now, key, message, out) {
                return self.close_session(key, &why.to_string(), out);
            }
        }
    }

    fn handle_message(
        &mut self,
        now: Nanos,
        key: usize,
        message: ForwarderMessage,
        out: &mut Vec<PlannerAction>,
    ) -> Result<(), LinkError> {
        let zone = self.sessions[key].zone;
        match message {
            ForwarderMessage::Follow { open_connections } => {
                self.handle_follow(now, key, open_connections, out);
            }
            ForwarderMessage::StateSyncComplete => self.sessions[key].state_sync_until = None,
            ForwarderMessage::Unfollow => self.handle_unfollow(key, out),
            ForwarderMessage::OpenConnection { id, request, host } => {
                self.handle_open_connection(now, key, id, &request, HostId(host), out)?;
            }
            ForwarderMessage::RequestPlacement {
                id,
                decision_sequence,
                request,
                prior_attempts,
            } => self.queue_placement(now, key, id, decision_sequence, request, prior_attempts)?,
            ForwarderMessage::ConnectionEstablished { id, took } => {
                if let Some(record) = self.record_key(key, id) {
                    let id = record.request_id();
                    self.notify_core(now, zone, Event::ConnectionEstablished { id, took }, out);
                }
            }
            ForwarderMessage::AttemptEnded {
                id,
                decision_sequence,
                outcome,
                request_over,
            } => {
                if let Some(record) = self.record_key(key, id) {
                    let outcome = outcome.into();
                    if request_over {
                        self.remove_request(now, record, outcome, out);
                    } else {
                        self.handle_failed_attempt(now, record, decision_sequence, outcome, out);
                    }
                }
            }
            ForwarderMessage::LoadMeasured { id, load } => {
                if let Some(record) = self.record_key(key, id) {
                    if !is_valid_load(load) {
                        return Err(ProtocolViolation::InvalidLoad.into());
                    }
                    let id = record.request_id();
                    self.notify_core(now, zone, Event::LoadMeasured { id, load }, out);
                }
            }
            ForwarderMessage::MessageLatency { host, latency } => {
                let (host, latency) = (HostId(host), latency.min(MAX_MESSAGE_LATENCY));
                self.notify_core(now, zone, Event::MessageLatency { host, latency }, out);
            }
            ForwarderMessage::ClientLeft { id } => self.handle_client_left(now, key, id, out),
            ForwarderMessage::RequestClosed { id } => {
                if let Some(record) = self.record_key(key, id) {
                    self.remove_request(now, record, AttemptOutcome::NeverSent, out);
                }
            }
        }
        Ok(())
    }

    fn handle_follow(
        &mut self,
        now: Nanos,
        key: usize,
        open_connections: u32,
        out: &mut Vec<PlannerAction>,
    ) {
        self.unfollow(key);
        let session = &mut self.sessions[key];
        session.follows = true;
        session.state_sync_until = Some(now + STATE_SYNC_TIMEOUT);
        let zone = &mut self.zones[session.zone];
        if zone.followers == 0 {
            zone.settled_at = now + self.config.settle_time;
        }
        zone.followers += 1;
        let name = &session.forwarder;
        out.push(PlannerAction::Log(format!(
            "follower added name={name} open_connections={open_connections}"
        )));
    }

    fn handle_unfollow(&mut self, key: usize, out: &mut Vec<PlannerAction>) {
        let session = &self.sessions[key];
        let (name, requests) = (&session.forwarder, session.requests.len());
        out.push(PlannerAction::Log(format!(
            "follower removed name={name} requests={requests}"
        )));
        self.unfollow(key);
    }

    fn handle_open_connection(
        &mut self,
        now: Nanos,
        key: usize,
        id: u64,
        request: &PlacementRequest,
        host: HostId,
        out: &mut Vec<PlannerAction>,
    ) -> Result<(), LinkError> {
        if let Some(record) = self.add_record(key, id, 0, Some(host))? {
            let incoming = self.incoming_request(record, request)?;
            let event = Event::ConnectionFound(incoming, host);
            self.notify_core(now, self.sessions[key].zone, event, out);
        }
        Ok(())
    }

    /// Queues a request for [`Planner::place_queued`], or rejects it if its forwarder has too many requests.
    fn queue_placement(
        &mut self,
        now: Nanos,
        key: usize,
        id: u64,
        decision_sequence: u32,
        request: PlacementRequest,
        prior_attempts: PriorAttempts,
    ) -> Result<(), LinkError> {
        let Some(record) = self.add_record(key, id, decision_sequence, None)? else {
            self.sessions[key].send(&PlannerMessage::Reject {
                id,
                decision_sequence,
                retry_after: self.config.balancer_settings.max_retry_after,
            });
            return Ok(());
        };
        self.incoming_request(record, &request)?;
        self.sessions[key].recent_placements += 1.0;
        self.placement_requests += 1;
        if let Some(record) = self.requests.get_mut(record) {
            record.is_queued = true;
        }
        self.zones[self.sessions[key].zone]
            .queue
            .push_back(QueuedRequest {
                record,
                request,
                prior_attempts,
                queued_at: now,
            });
        Ok(())
    }

    /// Reports a failed attempt to the decision core, which then decides again on the request.
    fn handle_failed_attempt(
        &mut self,
        now: Nanos,
        record_key: RecordKey,
        decision_sequence: u32,
        ending: AttemptOutcome,
        out: &mut Vec<PlannerAction>,
    ) {
        let Some(record) = self.requests.get_mut(record_key) else {
            return;
        };
        record.decision_sequence = decision_sequence;
        let Some(host) = record.host.take() else {
            return;
        };
        let (id, zone) = (record_key.request_id(), record.zone());
        let event = Event::AttemptEnded {
            id,
            attempt: 0,
            host,
            request_over: false,
            ending,
            load_metrics: Vec::new(),
        };
        self.notify_core(now, zone, event, out);
    }

    fn handle_client_left(
        &mut self,
        now: Nanos,
        key: usize,
        id: u64,
        out: &mut Vec<PlannerAction>,
    ) {
        let Some(record_key) = self.record_key(key, id) else {
            return;
        };
        let Some(record) = self.requests.get(record_key) else {
            return;
        };
        if record.host.is_none() {
            self.remove_request(now, record_key, AttemptOutcome::NeverSent, out);
        } else {
            let (id, zone) = (record_key.request_id(), record.zone());
            self.notify_core(now, zone, Event::ClientLeft { id }, out);
        }
    }

    fn record_key(&self, key: usize, id: u64) -> Option<RecordKey> {
        self.sessions[key].requests.get(&id).copied()
    }

    /// Adds a record of a request and returns its key; `None` if its forwarder has too many requests.
    fn add_record(
        &mut self,
        key: usize,
        id: u64,
        decision_sequence: u32,
        host: Option<HostId>,
    ) -> Result<Option<RecordKey>, LinkError> {
        let session = &mut self.sessions[key];
        if !session.follows {
            return Err(ProtocolViolation::NotFollowing.into());
        }
        if session.requests.contains_key(&id) {
            return Err(ProtocolViolation::DuplicateRequest.into());
        }
        if session.requests.len() >= self.config.max_requests_per_forwarder {
            return Ok(None);
        }
        let record = self.requests.insert(RequestRecord::new(
            key,
            session.zone,
            id,
            decision_sequence,
            host,
        ));
        session.requests.insert(id, record);
        Ok(Some(record))
    }

    /// Converts a request for the decision core, and checks that its class exists.
    fn incoming_request(
        &self,
        record: RecordKey,
        request: &PlacementRequest,
    ) -> Result<IncomingRequest, LinkError> {
        if usize::from(request.class) >= self.config.balancer_settings.classes.len() {
            return Err(ProtocolViolation::UnknownClass.into());
        }
        Ok(request.to_incoming(record.request_id()))
    }
}
