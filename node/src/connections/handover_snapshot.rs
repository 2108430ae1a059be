//! The serialized form in which a connection is sent to the successor in a hot restart. The predecessor and
//! the successor may be of different versions, so the bytes must not change. The order of the fields
//! determines the bytes; their names do not.

use super::connection::Connection;
use super::protocol::LineScanner;
use super::relay::Relay;
use crate::context::Context;
use reedferry::{AttemptOutcome, Nanos, RequestClass};
use reedferry_runtime::{Buffer, BufferPool};
use serde::{Deserialize, Serialize};

/// The state of one direction of an open connection when this process stopped using it.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct RelaySnapshot {
    /// Received bytes that are not sent yet.
    unsent: Vec<u8>,
    /// The position in the line being received.
    scanner: LineScanner,
    /// Whether the sender has ended its sending.
    finished: bool,
}

/// The state of an open connection between a client and a host.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct OpenSnapshot {
    /// The host's name.
    pub(super) host: String,
    /// The load that the host reported last, as a share of a core, or `None` if it has reported none.
    pub(super) load: Option<f64>,
    pub(super) to_host: RelaySnapshot,
    pub(super) to_client: RelaySnapshot,
    /// When each client line that the host has not answered yet was forwarded, the oldest first.
    pub(super) unanswered_lines: Vec<Nanos>,
    /// Until when a migration waits for the end of the client's line, or `None` if the client is not to be
    /// migrated.
    pub(super) migrate_by: Option<Nanos>,
    /// Whether a migration is reported as [`AttemptOutcome::ConnectionLost`], which counts against the host.
    pub(super) host_faulty: bool,
    /// When the client half-closed its connection, or `None` if it still sends.
    pub(super) client_finished_at: Option<Nanos>,
    /// Whether the host has announced that it closes the connection in order.
    pub(super) bye: bool,
    /// Whether the host has asked the client to connect elsewhere.
    pub(super) migrating: bool,
}

/// A client connection whose request is open or has not arrived yet.
#[derive(Debug, Serialize, Deserialize)]
pub struct ConnectionHandover {
    /// By how many nanoseconds the clock of the times in this message is ahead of the machine's monotonic
    /// clock.
    pub(super) clock_offset: Nanos,
    /// When the client connected.
    pub(super) accepted_at: Nanos,
    /// When the request arrived, or the client if there is no request yet.
    pub(super) started_at: Nanos,
    /// The number of pings answered.
    pub(super) pings: u32,
    /// The part of the first line that has arrived. Empty if the request is open.
    pub(super) request_line: Vec<u8>,
    /// The client's id for the request, or `None` before the request.
    pub(super) wire_id: Option<String>,
    /// The name and the settings of the request's class, or `None` before the request.
    pub(super) class: Option<(String, RequestClass)>,
    /// The idempotency key, or `None` if the request has none.
    pub(super) key: Option<u64>,
    /// The group within which the key is known, or `None` if the request names none.
    pub(super) group: Option<u64>,
    /// The load that the request usually causes, as a share of a core, or `None` if it names none.
    pub(super) usual_load: Option<f64>,
    /// The state of the open connection, or `None` before the request.
    pub(super) open: Option<OpenSnapshot>,
}

impl ConnectionHandover {
    /// Captures a connection that this process no longer reads or writes. `open` tells whether its request is
    /// open.
    pub(super) fn capture(connection: &Connection, open: bool, context: &Context) -> Self {
        let incoming = connection.incoming;
        let open = open
            .then(|| OpenSnapshot::capture(connection, context))
            .flatten();
        let class = open.as_ref().and_then(|_| {
            let name = context.settings.classes.get(incoming.class)?;
            let class = context.classes.get(incoming.class)?;
            Some((name.clone(), class.clone()))
        });
        let request_line = connection.request_line.as_ref();
        ConnectionHandover {
            clock_offset: context.clock.offset(),
            accepted_at: connection.accepted_at,
            started_at: connection.started_at,
            pings: connection.pings,
            request_line: unsent_bytes(request_line),
            wire_id: connection.wire_id.as_deref().map(str::to_string),
            class,
            key: incoming.key,
            group: incoming.group,
            usual_load: incoming.usual_load,
            open,
        }
    }

    /// Converts all times to a clock that is `offset` nanoseconds ahead of the machine's monotonic clock.
    pub(super) fn with_clock_offset(mut self, offset: Nanos) -> Self {
        let old_offset = std::mem::replace(&mut self.clock_offset, offset);
        let convert = |time: Nanos| time.saturating_sub(old_offset).saturating_add(offset);
        self.accepted_at = convert(self.accepted_at);
        self.started_at = convert(self.started_at);
        if let Some(open) = &mut self.open {
            for time in &mut open.unanswered_lines {
                *time = convert(*time);
            }
            open.migrate_by = open.migrate_by.map(convert);
            open.client_finished_at = open.client_finished_at.map(convert);
        }
        self
    }
}

impl OpenSnapshot {
    fn capture(connection: &Connection, context: &Context) -> Option<Self> {
        let host_connection = connection.host_connection.as_ref()?;
        let reports = &host_connection.reports;
        Some(OpenSnapshot {
            host: context.hosts.record(host_connection.host).name.clone(),
            load: reports.last_load,
            to_host: RelaySnapshot::capture(&connection.to_host),
            to_client: RelaySnapshot::capture(&connection.to_client),
            unanswered_lines: connection.unanswered_lines.times().collect(),
            migrate_by: connection.migrate_by,
            host_faulty: connection.migration_outcome == AttemptOutcome::ConnectionLost,
            client_finished_at: connection.client_finished_at,
            bye: reports.bye,
            migrating: reports.migrating,
        })
    }
}

impl RelaySnapshot {
    fn capture(relay: &Relay) -> Self {
        RelaySnapshot {
            unsent: unsent_bytes(relay.buffer.as_ref()),
            scanner: relay.scanner,
            finished: relay.finished,
        }
    }

    /// Restores the relay. Returns `None` if no buffer is free or the unsent bytes do not fit into one.
    pub(super) fn restore(&self, pool: &BufferPool) -> Option<Relay> {
        let mut buffer = None;
        if !self.unsent.is_empty() {
            let mut restored = pool.take()?;
            restored.append(&self.unsent).then_some(())?;
            buffer = Some(restored);
        }
        Some(Relay {
            buffer,
            scanner: self.scanner,
            finished: self.finished,
        })
    }
}

fn unsent_bytes(buffer: Option<&Buffer>) -> Vec<u8> {
    buffer.map_or(Vec::new(), |buffer| buffer.unsent().to_vec())
}

#[cfg(test)]
#[path = "handover_bytes_tests.rs"]
mod bytes_tests;
