//! The record of one client's connection: its state from the first line to the end. Changed by the modules
//! beside this one, each for its stage.

use super::host_connection::HostConnection;
use super::peer_socket::PeerSocket;
use super::relay::Relay;
use reedferry::{AttemptOutcome, HostId, IncomingRequest, Nanos, RequestId};
use reedferry_runtime::Buffer;
use std::collections::VecDeque;
use std::rc::Rc;

/// Where a connection has got to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    /// The client's first line is not complete.
    AwaitingRequest,
    /// The request is with the decision module, which owes it an answer.
    Pending,
    /// The client was connected to a host before this node started, and is connected to it again; the time
    /// of the next attempt.
    Reconnecting(Nanos),
    /// A host has accepted it: lines are proxied both ways.
    Open,
    /// Another process is to go on with it; whether it was open, or had sent no request yet.
    HandingOver(bool),
    /// The final answer is given, or the host is gone; until when the client's end is waited for.
    Closing(Nanos),
}

/// A client's connection and what belongs to it.
pub(super) struct Connection {
    /// The client's side; none once the client has gone.
    pub(super) client: Option<PeerSocket>,
    /// The host's side, from the attempt on.
    pub(super) host_connection: Option<HostConnection>,
    pub(super) stage: Stage,
    /// When the client connected.
    pub(super) accepted_at: Nanos,
    /// When the request arrived or, for want of one, the client; then when closing began.
    pub(super) started_at: Nanos,
    /// The request as the decision module knows it.
    pub(super) incoming: IncomingRequest,
    /// The client's id for the request, while it is open.
    pub(super) wire_id: Option<Rc<str>>,
    pub(super) pings: u32,
    /// How many hosts have answered with an error.
    pub(super) host_errors: u32,
    /// Bytes discarded since the last sweep.
    pub(super) discarded: usize,
    /// The client's first line, kept until a host has accepted it.
    pub(super) request_line: Option<Buffer>,
    /// The length of that line without its CRLF.
    pub(super) request_line_length: usize,
    /// The host that the client was connected to before this node started.
    pub(super) previous_host: Option<HostId>,
    /// How long the client waits for an answer.
    pub(super) timeout: Nanos,
    /// How long the attempt in flight may take.
    pub(super) attempt_timeout: Nanos,
    /// What flows from the client to the host.
    pub(super) to_host: Relay,
    /// What flows from the host to the client.
    pub(super) to_client: Relay,
    pub(super) attempts: u32,
    /// How its last attempt ended, where that failed.
    pub(super) last_failure: Option<AttemptOutcome>,
    /// When the first attempt that may have run was written.
    pub(super) may_have_run_since: Option<Nanos>,
    /// When each line of the client passed that its host has not answered.
    pub(super) unanswered_lines: VecDeque<Nanos>,
    /// The client is to connect elsewhere; until when the end of a line is waited for.
    pub(super) migrate_by: Option<Nanos>,
    /// What a migration is reported as.
    pub(super) migration_outcome: AttemptOutcome,
    /// When the client ended its sending.
    pub(super) client_finished_at: Option<Nanos>,
    /// The next process of a hot restart has refused it.
    pub(super) handover_rejected: bool,
}

impl Connection {
    /// One that has just been accepted in `slot`.
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
            unanswered_lines: VecDeque::new(),
            migrate_by: None,
            migration_outcome: AttemptOutcome::Cancelled,
            client_finished_at: None,
            handover_rejected: false,
        }
    }

    /// Whether its request waits for its answer.
    pub(super) fn awaits_answer(&self) -> bool {
        matches!(self.stage, Stage::Pending | Stage::Reconnecting(_))
    }

    /// Whether it has no request: none has arrived yet, or it has been answered.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.stage, Stage::AwaitingRequest | Stage::Closing(_))
    }

    /// Whether this is the connection of the client with this generation.
    pub(super) fn has_client(&self, generation: u32) -> bool {
        self.client_generation() == Some(generation)
    }

    /// The generation of the client's socket, while there is a client.
    pub(super) fn client_generation(&self) -> Option<u32> {
        self.client.as_ref().map(|client| client.generation)
    }

    /// Has the client's socket read from, whatever the poller has reported so far.
    pub(super) fn assume_client_readable(&mut self) {
        if let Some(client) = &mut self.client {
            client.readable = true;
        }
    }

    /// Has the host's socket read from, whatever the poller has reported so far.
    pub(super) fn assume_host_readable(&mut self) {
        if let Some(host_connection) = &mut self.host_connection {
            host_connection.peer.readable = true;
        }
    }

    /// The two ends that stand, the client's first.
    pub(super) fn peers(&self) -> impl Iterator<Item = &PeerSocket> {
        let host = self.host_connection.as_ref().map(|host| &host.peer);
        self.client.iter().chain(host)
    }

    /// The two ends that stand, the client's first.
    pub(super) fn peers_mut(&mut self) -> impl Iterator<Item = &mut PeerSocket> {
        let host = self.host_connection.as_mut().map(|host| &mut host.peer);
        self.client.iter_mut().chain(host)
    }

    /// By when its final answer has to be out.
    pub(super) fn answer_deadline(&self) -> Nanos {
        self.started_at.saturating_add(self.timeout)
    }

    /// The client's id for its request, for the log.
    pub(super) fn log_id(&self) -> &str {
        self.wire_id.as_deref().unwrap_or("-")
    }
}
