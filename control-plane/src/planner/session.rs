//! A planner's session with one forwarder: its frames and heartbeats, the requests that it holds, and the hosts and
//! fallback plans that it was sent.

use super::host_table::HostTable;
use super::request_table::RecordKey;
use super::zone::Zone;
use crate::codec::{self, FrameReader, FrameWriter, SequenceCheck};
use crate::error::{LinkError, ProtocolViolation};
use crate::messages::{ForwarderMessage, PlannerMessage, MAX_TRIED_HOSTS};
use reedferry::{Nanos, SECOND};
use rustc_hash::FxHashMap;

/// The number of unsent bytes above which host changes are held back, because they are less urgent than decisions.
const HOST_BACKLOG_BYTES: usize = 128 << 10;
/// The minimum and maximum allowance of a fallback plan, in requests.
const MIN_PLAN_ALLOWANCE: f64 = 4.0;
const MAX_PLAN_ALLOWANCE: f64 = 256.0;
/// The allowance of a fallback plan, as a fraction of the recent placements.
const PLAN_ALLOWANCE_RATIO: f64 = 0.5;
/// The fraction of the count of recent placements that remains after one second, and the maximum number of seconds for
/// which the count decays at once.
const PLACEMENT_DECAY_PER_SECOND: f64 = 0.5;
const MAX_DECAY_SECONDS: f64 = 10.0;

/// The session with a forwarder. It exists from the start to the end of the connection, also before the greeting.
pub struct Session {
    /// The caller's number for the connection.
    pub connection: u32,
    /// The session's number; `None` before the greeting and after the release.
    pub number: Option<u64>,
    pub forwarder: String,
    pub epoch: u64,
    pub zone: usize,
    pub reader: FrameReader,
    pub writer: FrameWriter,
    sequence_check: SequenceCheck,
    /// The messages that the next turn handles.
    pub inbox: Vec<ForwarderMessage>,
    /// The number of the last heartbeat that was read.
    received_heartbeat: u64,
    /// The number of the last heartbeat for which decisions take its frame and all earlier frames into account.
    decided_heartbeat: u64,
    /// The number of the last heartbeat that was answered.
    answered_heartbeat: u64,
    pub last_received_at: Nanos,
    /// Whether the forwarder follows this planner.
    pub follows: bool,
    /// The time until which placements wait for the forwarder's open connections; `None` once all are reported.
    pub state_sync_until: Option<Nanos>,
    /// The keys of the records of the forwarder's requests, by the forwarder's ids.
    pub requests: FxHashMap<u64, RecordKey>,
    /// The number of the last host change that the forwarder was sent, along with all earlier ones.
    pub sent_change: u64,
    /// The version of the list of which all hosts were last announced as sent; `None` before the first time.
    announced_version: Option<u64>,
    /// The number of requested placements, which decays over time.
    pub recent_placements: f64,
    plan_sent_at: Nanos,
    /// Whether the connection is about to be closed, after which its bytes are ignored.
    pub closing: bool,
}

impl Session {
    /// Creates the session of a connection that was accepted now.
    pub fn new(connection: u32, now: Nanos) -> Self {
        Session {
            connection,
            number: None,
            forwarder: String::new(),
            epoch: 0,
            zone: 0,
            reader: FrameReader::default(),
            writer: FrameWriter::default(),
            sequence_check: SequenceCheck::default(),
            inbox: Vec::new(),
            received_heartbeat: 0,
            decided_heartbeat: 0,
            answered_heartbeat: 0,
            last_received_at: now,
            follows: false,
            state_sync_until: None,
            requests: FxHashMap::default(),
            sent_change: 0,
            announced_version: None,
            recent_placements: 0.0,
            plan_sent_at: 0,
            closing: false,
        }
    }

    /// Checks a frame after the greeting and adds its messages to the inbox.
    pub fn receive_frame(&mut self, number: u64, body: &[u8]) -> Result<(), LinkError> {
        let (header, mut messages) = codec::decode_frame(body)?;
        self.sequence_check.accept(&header, number)?;
        if header.heartbeat < self.received_heartbeat {
            return Err(ProtocolViolation::HeartbeatBackwards.into());
        }
        self.received_heartbeat = header.heartbeat;
        while let Some(message) = messages.next_message()? {
            if let ForwarderMessage::RequestPlacement { prior_attempts, .. } = &message {
                if prior_attempts.tried_hosts.len() > MAX_TRIED_HOSTS {
                    return Err(ProtocolViolation::TooManyTriedHosts.into());
                }
            }
            self.inbox.push(message);
        }
        Ok(())
    }

    /// Takes the messages to handle in this turn. Every message that is sent from now on answers the heartbeat of the
    /// last frame that was read.
    pub fn take_inbox(&mut self) -> Vec<ForwarderMessage> {
        self.decided_heartbeat = self.received_heartbeat;
        std::mem::take(&mut self.inbox)
    }

    /// Sends a message. Does nothing before the greeting and after the release.
    pub fn send(&mut self, message: &PlannerMessage) {
        if let Some(number) = self.number {
            self.writer.append(number, self.decided_heartbeat, message);
        }
    }

    /// Sends the host changes that the forwarder lacks as far as its backlog allows, and announces once that all hosts
    /// were sent, or twice if those of the first time came from this process's own file.
    pub fn send_host_changes(&mut self, hosts: &HostTable) {
        for (change, entry) in hosts.changes_after(self.sent_change) {
            if self.writer.unsent_bytes() > HOST_BACKLOG_BYTES {
                break;
            }
            self.sent_change = change;
            self.send(&PlannerMessage::Host(entry.clone()));
        }
        let is_current = self.sent_change == hosts.last_change() && hosts.last_change() > 0;
        let list_version = hosts.list_version();
        let is_news = match self.announced_version {
            None => true,
            Some(announced) => announced == 0 && list_version > 0,
        };
        if is_current && is_news {
            self.announced_version = Some(list_version);
            self.send(&PlannerMessage::HostsComplete { list_version });
        }
    }

    /// Sends the fallback plan of its zone to a forwarder that follows this planner if the plan is due. The plan is
    /// empty if no hosts are given.
    pub fn send_plan(
        &mut self,
        now: Nanos,
        zone: &mut Zone,
        hosts: Option<&HostTable>,
        warm_up: Nanos,
    ) {
        if !self.follows || !zone.is_plan_due(now, self.plan_sent_at) {
            return;
        }
        let hosts = zone.plan_weights(now, hosts, warm_up);
        let allowance = (self.recent_placements * PLAN_ALLOWANCE_RATIO)
            .clamp(MIN_PLAN_ALLOWANCE, MAX_PLAN_ALLOWANCE) as u32;
        let elapsed_seconds = (now - self.plan_sent_at.min(now)) as f64 / SECOND as f64;
        self.recent_placements *=
            PLACEMENT_DECAY_PER_SECOND.powf(elapsed_seconds.min(MAX_DECAY_SECONDS));
        self.plan_sent_at = now;
        self.send(&PlannerMessage::Plan { hosts, allowance });
    }

    /// Answers the last heartbeat unless it was answered before, and ends this turn's frame.
    pub fn finish_frame(&mut self, number: u64) {
        if self.answered_heartbeat < self.decided_heartbeat {
            self.answered_heartbeat = self.decided_heartbeat;
            self.writer.append_heartbeat(number, self.decided_heartbeat);
        }
        self.writer.finish_frame();
    }
}
