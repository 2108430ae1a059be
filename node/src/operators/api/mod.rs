//! The operators' API: HTTP/1.1 with one request per connection. This module owns the listener for operators, at most 16
//! connections with their own descriptors and buffers, and their timeouts. It must never decide anything, block on a caller, or
//! access the decision core: it passes each complete request to the event loop, which gives the response.

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

/// The maximum number of open connections.
const MAX_CONNECTIONS: usize = 16;
/// The maximum number of connections accepted in one turn of the event loop.
const MAX_ACCEPTED_PER_TURN: usize = 64;
/// The time within which a complete request must arrive, and that within which the caller must read the response.
const CALL_TIMEOUT: Nanos = 2 * SECOND;
/// The time that a caller has to close the connection after its response.
const LINGER_TIMEOUT: Nanos = SECOND;

/// Identifies the connection on which a request arrived, so that the response reaches the same caller.
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
    /// The complete requests that the event loop has not taken yet, in the order of arrival.
    requests: Vec<(Caller, ApiRequest)>,
}

impl OperatorApi {
    /// Listens for operators, with descriptors that are reserved so that clients cannot exhaust them.
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

    /// Accepts pending connections. While the maximum is open, evicts one connection before each that it accepts.
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
            // Reads at once what has already arrived. Otherwise a later connection could evict this one before its request was
            // read.
            self.read(context, slot);
        }
        // More connections may be pending, so the poller has to report the listener again.
        _ = context
            .poller
            .update_registration(&self.listener, token(OPS_LISTENER));
    }

    /// Registers a connection with the poller. If that fails, the next sweep tries again.
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

    /// Continues all connections, because the poller does not report those that are not registered, or whose last read or write
    /// failed with a transient error.
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

    /// Removes the connection that was sent its whole response first, or else the one whose current stage began first.
    fn evict(&mut self) {
        let has_response = |connection: &Connection| matches!(connection.stage, Stage::Lingering);
        // The generation orders the connections that were accepted in one turn. Without it, the lowest slot would be removed, even
        // if its connection is the newest.
        let victim = self
            .connections
            .iter()
            .min_by_key(|(_, c)| (!has_response(c), c.stage_started_at, c.generation));
        if let Some(slot) = victim.map(|(slot, _)| slot) {
            self.connections.remove(slot);
        }
    }

    /// Handles the readiness of a connection. A report for an earlier connection in the same slot is ignored.
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

    /// Takes the next complete request, or returns `None` if there is none.
    pub fn next_request(&mut self) -> Option<(Caller, ApiRequest)> {
        (!self.requests.is_empty()).then(|| self.requests.remove(0))
    }

    /// Responds to a request. Does nothing if its connection has ended.
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

    /// Reads all available input of a connection, and queues its request once that is complete.
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

    /// Writes as much of a response as the socket accepts.
    fn write(&mut self, context: &mut Context, slot: usize) {
        if let Some(connection) = self.connections.get_mut(slot) {
            if connection.send(context.now) == Progress::Ended {
                self.connections.remove(slot);
            }
        }
    }

    /// Continues all connections, ends those whose time is over, and accepts new ones.
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
                let response = ApiResponse::new(408, "request not complete within 2 s\n");
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
