//! The operators' API: HTTP/1.1, one request to a connection. This module owns the listener for operators, its few connections with
//! descriptors and buffers of their own, and their timeouts. It must never decide anything, wait for a caller, or look into the
//! decision core: a whole request is given to the event loop, which has it answered.

mod connection;
mod request;
mod response;

pub use request::ApiRequest;
pub use response::ApiResponse;

use crate::context::{token, Context, OPS, OPS_LISTENER, START_TIMEOUT};
use crate::error::FatalError;
use connection::{Connection, Progress, Stage};
use reedferry::{Nanos, SECOND};
use reedferry_runtime::errors::{classify_accept, retry_for, AcceptFailure};
use reedferry_runtime::{BufferPool, DescriptorBudget, PollToken, Readiness, Socket};
use slab::Slab;
use slog::info;
use std::net::SocketAddr;

/// Connections at a time.
const MAX_CONNECTIONS: usize = 16;
/// Connections accepted at once.
const MAX_ACCEPTED_PER_TURN: usize = 64;
/// How long a request may take to come whole, and how long the caller may take to read the response.
const CALL_TIMEOUT: Nanos = 2 * SECOND;
/// How long a caller has after its response to end the connection.
const LINGER_TIMEOUT: Nanos = SECOND;

/// The connection that a request came on, until its response.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    slot: usize,
    generation: u32,
}

/// The server of the operators' API.
pub struct OperatorApi {
    listener: Socket,
    budget: DescriptorBudget,
    pool: BufferPool,
    connections: Slab<Connection>,
    /// Whole requests, in the order in which they came.
    requests: Vec<(Caller, ApiRequest)>,
}

impl OperatorApi {
    /// Listens for operators, with descriptors that clients can't use up.
    pub fn open(context: &mut Context, address: &SocketAddr) -> Result<OperatorApi, FatalError> {
        let cannot_listen = |error| FatalError::ListenForOperators {
            address: *address,
            error,
        };
        let budget = context.budget.split_off(MAX_CONNECTIONS + 1);
        let listener =
            retry_for(START_TIMEOUT, || budget.listen(address)).map_err(cannot_listen)?;
        let register = || context.poller.register(&listener, token(OPS_LISTENER));
        retry_for(START_TIMEOUT, register).map_err(cannot_listen)?;
        let at = listener.local_address().unwrap_or(*address);
        info!(context.log, "operators"; "at" => %at);
        Ok(OperatorApi {
            listener,
            budget,
            pool: BufferPool::new(MAX_CONNECTIONS),
            connections: Slab::new(),
            requests: Vec::new(),
        })
    }

    /// Accepts the connections that wait at the listener.
    pub fn accept(&mut self, context: &mut Context) {
        for _ in 0..MAX_ACCEPTED_PER_TURN {
            if self.connections.len() >= MAX_CONNECTIONS {
                self.evict();
            }
            let socket = match self.budget.accept(&self.listener) {
                Ok(socket) => socket,
                Err(error) => match classify_accept(error) {
                    AcceptFailure::NoneWaiting => return,
                    AcceptFailure::AbortedConnection => continue,
                    // The next sweep accepts again.
                    AcceptFailure::LocalResources => {
                        return context.record_transient_failure("accept")
                    }
                },
            };
            let Some(head) = self.pool.take() else {
                continue;
            };
            let slot = self.connections.insert(Connection {
                socket,
                generation: context.next_generation(),
                stage_started_at: context.now,
                stage: Stage::ReadingHead(head),
                is_registered: false,
            });
            self.register(context, slot);
            // What has come with it is read at once. Without this, it could be evicted unread by those behind it.
            self.read(context, slot);
        }
        // More may wait.
        _ = context
            .poller
            .update_registration(&self.listener, token(OPS_LISTENER));
    }

    /// Has the poller report a connection, from now or from the next sweep on.
    fn register(&mut self, context: &mut Context, slot: usize) {
        let connection = &mut self.connections[slot];
        let token = PollToken {
            component: OPS,
            slot: slot as u32,
            generation: connection.generation,
        };
        connection.is_registered = context.poller.register(&connection.socket, token).is_ok();
        if !connection.is_registered {
            context.record_transient_failure("epoll_ctl");
        }
    }

    /// Goes on with connections that the poller may not report: they are not watched, or a read or write failed for a moment.
    fn resume_all(&mut self, context: &mut Context) {
        let slots: Vec<usize> = self.connections.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            if !self.connections[slot].is_registered {
                self.register(context, slot);
            }
            self.write(context, slot);
            self.read(context, slot);
        }
    }

    /// Drops the connection that has its response, or else the one that has taken longest over its request.
    fn evict(&mut self) {
        let has_response = |connection: &Connection| matches!(connection.stage, Stage::Lingering);
        // Of those accepted in one turn the generation tells which came first. Without it, the last would go where its slot is the
        // lowest.
        let first = self
            .connections
            .iter()
            .min_by_key(|(_, c)| (!has_response(c), c.stage_started_at, c.generation));
        if let Some(slot) = first.map(|(slot, _)| slot) {
            self.connections.remove(slot);
        }
    }

    /// Handles what the poller reports of a connection.
    pub fn on_ready(&mut self, context: &mut Context, ready: Readiness) {
        let slot = ready.token.slot as usize;
        let connection = self.connections.get(slot);
        if connection.is_none_or(|connection| connection.generation != ready.token.generation) {
            return;
        }
        if ready.writable {
            self.write(context, slot);
        }
        if ready.readable {
            self.read(context, slot);
        }
    }

    /// The next whole request.
    pub fn next_request(&mut self) -> Option<(Caller, ApiRequest)> {
        (!self.requests.is_empty()).then(|| self.requests.remove(0))
    }

    /// Gives a request its response.
    pub fn respond(&mut self, context: &mut Context, to: Caller, response: &ApiResponse) {
        let Some(connection) = self.connections.get_mut(to.slot) else {
            return;
        };
        if connection.generation == to.generation
            && matches!(connection.stage, Stage::AwaitingResponse)
        {
            connection.respond(response.to_bytes(""), context.now);
            self.write(context, to.slot);
        }
    }

    /// Reads all that has come on a connection.
    fn read(&mut self, context: &mut Context, slot: usize) {
        while let Some(connection) = self.connections.get_mut(slot) {
            let progress = connection.receive();
            if progress == Progress::Ended {
                self.connections.remove(slot);
                return;
            }
            if progress == Progress::Waiting {
                return;
            }
            if connection.parse_head(context.now) {
                self.write(context, slot);
                continue;
            }
            if let Stage::ReadingBody {
                request,
                pending: 0,
            } = connection.stage
            {
                let caller = Caller {
                    slot,
                    generation: connection.generation,
                };
                connection.stage = Stage::AwaitingResponse;
                self.requests.push((caller, request));
            }
        }
    }

    /// Writes as much of a response as the connection takes.
    fn write(&mut self, context: &mut Context, slot: usize) {
        if let Some(connection) = self.connections.get_mut(slot) {
            if connection.send(context.now) == Progress::Ended {
                self.connections.remove(slot);
            }
        }
    }

    /// Goes on with all connections and ends what has taken too long.
    pub fn sweep(&mut self, context: &mut Context) {
        let now = context.now;
        self.resume_all(context);
        let overdue: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, connection)| now >= connection.stage_started_at + CALL_TIMEOUT)
            .map(|(slot, _)| slot)
            .collect();
        for slot in overdue {
            let connection = &mut self.connections[slot];
            let is_reading = matches!(
                connection.stage,
                Stage::ReadingHead(_) | Stage::ReadingBody { .. }
            );
            if is_reading {
                let response = ApiResponse::new(408, "no whole call in time\n");
                connection.respond(response.to_bytes(""), now);
                self.write(context, slot);
            } else {
                self.connections.remove(slot);
            }
        }
        self.connections.retain(|_, connection| {
            !matches!(connection.stage, Stage::Lingering)
                || now < connection.stage_started_at + LINGER_TIMEOUT
        });
        self.accept(context);
    }
}
