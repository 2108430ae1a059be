//! The host's side of a connection: the attempt in flight or the open connection that it became, and what the
//! host has reported on it.

use super::peer_socket::PeerSocket;
use super::protocol::HostMessage;
use super::unanswered_lines::UnansweredLines;
use crate::discovery::hosts::Hosts;
use reedferry::{AttemptOutcome, Event, Nanos, RequestId};
use std::rc::Rc;

/// An attempt in flight, or the open connection that it became.
pub(super) struct HostConnection {
    pub(super) peer: PeerSocket,
    /// The index of the host's record.
    pub(super) host: usize,
    /// Keeps the host's record from being reused for another host.
    pub(super) _record_lease: Rc<()>,
    /// The number of this attempt among those of its request, from 0.
    pub(super) attempt: u32,
    /// When the attempt started, or since when the connection has been open if it was adopted.
    pub(super) started_at: Nanos,
    /// The latest time at which the last byte of the request line may be written.
    pub(super) write_by: Nanos,
    pub(super) connected: bool,
    /// Whether the whole request line has been written.
    pub(super) request_written: bool,
    /// When the last byte of the request line was written, or 0 if it has not been.
    pub(super) request_written_at: Nanos,
    pub(super) reports: HostReports,
}

impl HostConnection {
    /// Creates a host connection that has been open in the predecessor since `opened_at`.
    pub(super) fn adopted(
        peer: PeerSocket,
        host: usize,
        record_lease: Rc<()>,
        opened_at: Nanos,
        reports: HostReports,
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
            reports,
        }
    }

    /// Returns the outcome of an attempt that has timed out.
    pub(super) fn timeout_outcome(&self) -> AttemptOutcome {
        match (self.request_written, self.connected) {
            (true, _) => AttemptOutcome::TimedOut,
            // This machine was short of a resource for the write. The host must not be blamed for it.
            (false, true) => AttemptOutcome::NeverSent,
            (false, false) => AttemptOutcome::ConnectFailed,
        }
    }
}

/// What a host has reported on an open connection.
#[derive(Default)]
pub(super) struct HostReports {
    /// Whether it has announced that it closes the connection in order (`BYE`).
    pub(super) bye: bool,
    /// Whether it has asked the client to connect elsewhere (`MOVE`).
    pub(super) migrating: bool,
    /// The load that it reported last, as a share of a core, or `None` if it has reported none.
    pub(super) last_load: Option<f64>,
}

/// Records the messages of a host on an open connection.
pub(super) struct MessageRecorder<'a> {
    pub(super) id: RequestId,
    /// The index of the host's record.
    pub(super) host: usize,
    pub(super) now: Nanos,
    pub(super) reports: &'a mut HostReports,
    pub(super) unanswered_lines: &'a mut UnansweredLines,
    pub(super) events: &'a mut Vec<Event>,
    pub(super) hosts: &'a mut Hosts,
}

impl MessageRecorder<'_> {
    /// Reports a load. It replaces the one that was reported just before, so that a host that sends its load at full speed
    /// does not fill the turn with events.
    fn report_load(&mut self, measured: f64) {
        match self.events.last_mut() {
            Some(Event::LoadMeasured { id, load }) if *id == self.id => *load = measured,
            _ => self.events.push(Event::LoadMeasured {
                id: self.id,
                load: measured,
            }),
        }
    }

    /// Records one message: a load report, the announcement of an end or a migration, or the answer to the
    /// oldest unanswered line of the client.
    pub(super) fn record(&mut self, message: HostMessage) {
        match message {
            HostMessage::Load(load) => {
                self.reports.last_load = Some(load);
                self.report_load(load);
            }
            HostMessage::Bye => self.reports.bye = true,
            HostMessage::Migrate => self.reports.migrating = true,
            _ => {
                if let Some(asked_at) = self.unanswered_lines.pop() {
                    self.hosts.record_answer(self.host, asked_at, self.now);
                }
            }
        }
    }
}
