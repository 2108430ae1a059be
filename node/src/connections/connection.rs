//! The state of one client connection from its first line to its end. Each sibling module changes it during
//! the stage that the module is responsible for.

use super::answer_receipts::ReceiptState;
use super::host_connection::HostConnection;
use super::peer_socket::PeerSocket;
use super::relay::Relay;
use super::unanswered_lines::UnansweredLines;
use reedferry::{AttemptOutcome, HostId, IncomingRequest, Nanos, RequestId};
use reedferry_runtime::Buffer;
use std::rc::Rc;

/// The stage of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    /// The client has not sent a complete first line yet.
    AwaitingRequest,
    /// The decision module has the request and has not answered it yet.
    Pending,
    /// The client was connected to a host before this node started, and the node is reconnecting it. Holds
    /// the time of the next attempt.
    Reconnecting(Nanos),
    /// A host has accepted the request, and lines are proxied in both directions.
    Open,
    /// The connection is being handed over between processes. Holds whether it was open; otherwise it had
    /// sent no request yet.
    HandingOver(bool),
    /// The final answer has been given, or the host has closed. Holds the time until which the node
    /// waits for the client to close.
    Closing(Nanos),
}

/// A client connection with its request and its host connection.
pub(super) struct Connection {
    /// The client's socket, or `None` once the client has gone.
    pub(super) client: Option<PeerSocket>,
    /// The attempt in flight or the open host connection.
    pub(super) host_connection: Option<HostConnection>,
    pub(super) stage: Stage,
    /// When the client connected.
    pub(super) accepted_at: Nanos,
    /// When the request arrived, or the client if there is no request yet. Once the connection is closing,
    /// when closing began.
    pub(super) started_at: Nanos,
    /// The request as reported to the decision module.
    pub(super) incoming: IncomingRequest,
    /// The client's id for the request, from its arrival until closing begins.
    pub(super) wire_id: Option<Rc<str>>,
    /// The number of pings answered.
    pub(super) pings: u32,
    /// The number of attempts that a host has answered with an error.
    pub(super) host_errors: u32,
    /// The number of bytes discarded since the last sweep.
    pub(super) discarded: usize,
    /// What the client has sent of its first line, kept until a host accepts it or the final answer is given.
    pub(super) request_line: Option<Buffer>,
    /// The length in bytes of the complete first line without its CRLF.
    pub(super) request_line_length: usize,
    /// The host that the client was connected to before this node started, or `None` for a new request.
    pub(super) previous_host: Option<HostId>,
    /// How long the client waits for an answer, counted from `started_at`.
    pub(super) timeout: Nanos,
    /// How long the attempt in flight may take, counted from its start.
    pub(super) attempt_timeout: Nanos,
    /// The relay from the client to the host.
    pub(super) to_host: Relay,
    /// The relay from the host to the client.
    pub(super) to_client: Relay,
    /// The number of attempts started.
    pub(super) attempts: u32,
    /// How the last failed attempt ended, or `None` if none has failed.
    pub(super) last_failure: Option<AttemptOutcome>,
    /// When the request line of the first attempt that the host may have run was written, or `None` if no
    /// attempt can have run.
    pub(super) may_have_run_since: Option<Nanos>,
    /// Whether the request line of the attempt in flight, or of the open connection, has been begun.
    pub(super) line_begun: bool,
    /// Whether the client has the final answer.
    pub(super) receipt: ReceiptState,
    /// The client's lines that the host has not answered yet.
    pub(super) unanswered_lines: UnansweredLines,
    /// Until when a migration waits for the end of the client's line, or `None` if the client is not to be
    /// migrated.
    pub(super) migrate_by: Option<Nanos>,
    /// The outcome to report when the connection is migrated.
    pub(super) migration_outcome: AttemptOutcome,
    /// When the client half-closed its connection, or `None` if it still sends.
    pub(super) client_finished_at: Option<Nanos>,
    /// Whether the successor of a hot restart has refused to adopt it.
    pub(super) handover_rejected: bool,
}

impl Connection {
    /// Creates the connection for a client that has just been accepted, to be stored in `slot`.
    pub(super) fn new(client: PeerSocket, slot: usize, now: Nanos) -> Self {
        let id = RequestId(u64::from(client.generation) << 32 | slot as u64);
        Connection {
            client: Some(client),
            host_connection: None,
            stage: Stage::AwaitingRequest,
            accepted_at: now,
            started_at: now,
            incoming: IncomingRequest {
                id,
                ..IncomingRequest::default()
            },
            wire_id: None,
            pings: 0,
            host_errors: 0,
            discarded: 0,
            request_line: None,
            request_line_length: 0,
            previous_host: None,
            timeout: 0,
            attempt_timeout: 0,
            to_host: Relay::default(),
            to_client: Relay::default(),
            attempts: 0,
            last_failure: None,
            may_have_run_since: None,
            line_begun: false,
            receipt: ReceiptState::default(),
            unanswered_lines: UnansweredLines::default(),
            migrate_by: None,
            migration_outcome: AttemptOutcome::Cancelled,
            client_finished_at: None,
            handover_rejected: false,
        }
    }

    /// Returns whether the request has arrived and waits for its answer.
    pub(super) fn awaits_answer(&self) -> bool {
        matches!(self.stage, Stage::Pending | Stage::Reconnecting(_))
    }

    /// Returns whether the connection holds no pending or open request: none has arrived yet, or the
    /// connection is closing.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.stage, Stage::AwaitingRequest | Stage::Closing(_))
    }

    /// Returns whether the client's socket has this generation.
    pub(super) fn has_client(&self, generation: u32) -> bool {
        self.client_generation() == Some(generation)
    }

    /// Returns the generation of the client's socket, or `None` once the client has gone.
    pub(super) fn client_generation(&self) -> Option<u32> {
        self.client.as_ref().map(|client| client.generation)
    }

    /// Marks the client's socket as readable, so that it is read even if the poller has not reported it.
    pub(super) fn assume_client_readable(&mut self) {
        if let Some(client) = &mut self.client {
            client.readable = true;
        }
    }

    /// Marks the host's socket as readable, so that it is read even if the poller has not reported it.
    pub(super) fn assume_host_readable(&mut self) {
        if let Some(host_connection) = &mut self.host_connection {
            host_connection.peer.readable = true;
        }
    }

    /// Returns the sockets that exist, the client's first and then the host's.
    pub(super) fn peers(&self) -> impl Iterator<Item = &PeerSocket> {
        let host = self.host_connection.as_ref().map(|host| &host.peer);
        self.client.iter().chain(host)
    }

    /// Returns the sockets that exist for modification, the client's first and then the host's.
    pub(super) fn peers_mut(&mut self) -> impl Iterator<Item = &mut PeerSocket> {
        let host = self.host_connection.as_mut().map(|host| &mut host.peer);
        self.client.iter_mut().chain(host)
    }

    /// Returns whether any attempt, also one in flight, may have run or may yet run.
    pub(super) fn may_have_run(&self) -> bool {
        self.line_begun || self.may_have_run_since.is_some()
    }

    /// Returns the time by which the final answer must be sent.
    pub(super) fn answer_deadline(&self) -> Nanos {
        self.started_at.saturating_add(self.timeout)
    }

    /// Returns the client's id for its request as it is logged, `-` if there is none.
    pub(super) fn log_id(&self) -> &str {
        self.wire_id.as_deref().unwrap_or("-")
    }
}
