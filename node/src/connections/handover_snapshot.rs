//! The form in which a connection passes to the next process of a hot restart: what that one must know of
//! it. Its bytes must stay the same, as an older and a newer process meet: the order of the fields is part
//! of them, their names are not.

use super::connection::Connection;
use super::protocol::LineScanner;
use super::relay::Relay;
use crate::context::Context;
use reedferry::{AttemptOutcome, Nanos, RequestClass};
use reedferry_runtime::{Buffer, BufferPool};
use serde::{Deserialize, Serialize};

/// What flows one way, as it was left.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct RelaySnapshot {
    unsent: Vec<u8>,
    scanner: LineScanner,
    finished: bool,
}

/// An open connection between its client and its host.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct OpenSnapshot {
    /// The host's name.
    pub(super) host: String,
    /// The load that the host reported last.
    pub(super) load: Option<f64>,
    pub(super) to_host: RelaySnapshot,
    pub(super) to_client: RelaySnapshot,
    pub(super) unanswered_lines: Vec<Nanos>,
    pub(super) migrate_by: Option<Nanos>,
    /// Whether a migration is reported as a connection that the host lost.
    pub(super) host_faulty: bool,
    pub(super) client_finished_at: Option<Nanos>,
    pub(super) bye: bool,
    pub(super) migrating: bool,
}

/// A client with its open request, or before it has sent one.
#[derive(Debug, Serialize, Deserialize)]
pub struct ConnectionHandover {
    /// How far the clock of these times is ahead of the machine's monotonic one.
    pub(super) clock_offset: Nanos,
    pub(super) accepted_at: Nanos,
    pub(super) started_at: Nanos,
    pub(super) pings: u32,
    /// What has arrived of the first line.
    pub(super) request_line: Vec<u8>,
    pub(super) wire_id: Option<String>,
    /// The name and the terms of the request's class.
    pub(super) class: Option<(String, RequestClass)>,
    pub(super) key: Option<u64>,
    pub(super) group: Option<u64>,
    pub(super) usual_load: Option<f64>,
    pub(super) open: Option<OpenSnapshot>,
}

impl ConnectionHandover {
    /// The snapshot of a connection that this process no longer reads or writes.
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

    /// The same, with its times by a clock that is `offset` ahead of the machine's monotonic one.
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
        let statements = &host_connection.statements;
        Some(OpenSnapshot {
            host: context.hosts.record(host_connection.host).name.clone(),
            load: statements.last_load,
            to_host: RelaySnapshot::capture(&connection.to_host),
            to_client: RelaySnapshot::capture(&connection.to_client),
            unanswered_lines: connection.unanswered_lines.iter().copied().collect(),
            migrate_by: connection.migrate_by,
            host_faulty: connection.migration_outcome == AttemptOutcome::ConnectionLost,
            client_finished_at: connection.client_finished_at,
            bye: statements.bye,
            migrating: statements.migrating,
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

    /// None where no buffer is free, or the bytes do not fit one.
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
