//! The host's side of a connection: the attempt in flight, or the connection that came of it, and what the
//! host has said on it.

use super::peer_socket::PeerSocket;
use super::protocol::HostMessage;
use crate::discovery::hosts::Hosts;
use reedferry::{AttemptOutcome, Event, Nanos, RequestId};
use std::collections::VecDeque;
use std::rc::Rc;

/// An attempt, or the connection that came of it.
pub(super) struct HostConnection {
    pub(super) peer: PeerSocket,
    /// The index of the host's record.
    pub(super) host: usize,
    /// Keeps the host's record from being reused for another host.
    pub(super) _record_lease: Rc<()>,
    /// The number of this attempt of its request.
    pub(super) attempt: u32,
    pub(super) started_at: Nanos,
    /// By when the last byte of the request line must be written.
    pub(super) write_by: Nanos,
    pub(super) connected: bool,
    /// Whether the last byte of the request line is written.
    pub(super) request_written: bool,
    /// When it was.
    pub(super) request_written_at: Nanos,
    pub(super) statements: HostStatements,
}

impl HostConnection {
    /// One that has been open since `opened_at`, in the process before this one.
    pub(super) fn adopted(
        peer: PeerSocket,
        host: usize,
        record_lease: Rc<()>,
        opened_at: Nanos,
        statements: HostStatements,
    ) -> Self {
        HostConnection {
            peer,
            host,
            _record_lease: record_lease,
            attempt: 0,
            started_at: opened_at,
            write_by: opened_at,
            connected: true,
            request_written: true,
            request_written_at: opened_at,
            statements,
        }
    }

    /// What an attempt whose time is over is reported as.
    pub(super) fn timeout_outcome(&self) -> AttemptOutcome {
        match (self.request_written, self.connected) {
            (true, _) => AttemptOutcome::TimedOut,
            // The line was not written for want of something at this machine: the host is not to blame.
            (false, true) => AttemptOutcome::NeverSent,
            (false, false) => AttemptOutcome::ConnectFailed,
        }
    }
}

/// What a host has said that bears on the end of the connection.
#[derive(Default)]
pub(super) struct HostStatements {
    /// It ends the connection in order.
    pub(super) bye: bool,
    /// The client is to connect elsewhere.
    pub(super) migrating: bool,
    /// The load that it reported last.
    pub(super) last_load: Option<f64>,
}

/// Records what a host says on an open connection.
pub(super) struct MessageRecorder<'a> {
    pub(super) id: RequestId,
    /// The index of the host's record.
    pub(super) host: usize,
    pub(super) now: Nanos,
    pub(super) statements: &'a mut HostStatements,
    pub(super) unanswered_lines: &'a mut VecDeque<Nanos>,
    pub(super) events: &'a mut Vec<Event>,
    pub(super) hosts: &'a mut Hosts,
}

impl MessageRecorder<'_> {
    /// Records one line.
    pub(super) fn record(&mut self, message: HostMessage) {
        match message {
            HostMessage::Load(load) => {
                self.statements.last_load = Some(load);
                self.events.push(Event::LoadMeasured { id: self.id, load });
            }
            HostMessage::Bye => self.statements.bye = true,
            HostMessage::Migrate => self.statements.migrating = true,
            _ => {
                if let Some(asked_at) = self.unanswered_lines.pop_front() {
                    self.hosts.record_answer(self.host, asked_at, self.now);
                }
            }
        }
    }
}
