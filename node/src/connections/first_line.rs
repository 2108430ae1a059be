//! Reads a client's first line, answers the pings that precede it, and admits the request that it opens. A
//! request that is malformed or not served by this node is rejected and never reaches the decision module.

use super::attempted_ids::{AttemptedIds, IdHash};
use super::connection::{Connection, Stage};
use super::listener::{must_not_run_twice, Listener};
use super::protocol::keys::fnv1a;
use super::protocol::{self, ClientMessage, OpenRequest, BUSY_LINE};
use super::reconnect::RECONNECT_TIMEOUT;
use super::rejection::RejectReason;
use super::relay::RelayStatus;
use super::Connections;
use crate::context::Context;
use crate::operators::counters::CloseReason;
use reedferry::{Event, HostId, IncomingRequest, Nanos, RequestId};
use reedferry_runtime::errors::{classify_io, IoFailure};
use reedferry_runtime::BufferPool;
use std::rc::Rc;

/// The most pings that are answered on one connection.
const MAX_PINGS: u32 = 16;
const PING_LINE: &[u8] = b"PING\r\n";
const PONG_LINE: &[u8] = b"PONG\r\n";
const CRLF_BYTES: usize = 2;
/// A timeout of more than this many times the longest one that the settings allow is rejected.
const MAX_TIMEOUT_FACTOR: u64 = 10;

/// Why reading a client's first line failed.
enum ReceiveFailure {
    /// The buffer pool is exhausted.
    NoBuffer,
    /// This machine is short of a resource, such as memory. The connection stands.
    LocalResources,
    /// The connection is closed.
    Disconnected,
}

/// A valid request that this node serves.
struct AdmittedRequest {
    incoming: IncomingRequest,
    wire_id: Rc<str>,
    previous_host: Option<HostId>,
}

impl Connection {
    /// Reads what the client has sent into `request_line`. Returns whether the client has ended its sending.
    fn receive_first_line(&mut self, pool: &BufferPool) -> Result<bool, ReceiveFailure> {
        if self.request_line.is_none() {
            self.request_line = pool.take();
        }
        let line = self.request_line.as_mut().ok_or(ReceiveFailure::NoBuffer)?;
        let Some(client) = self.client.as_mut() else {
            return Ok(false);
        };
        while client.readable && !line.free_space().is_empty() {
            match client.socket.receive(line.free_space()) {
                Ok(0) => return Ok(true),
                Ok(count) => line.commit(count),
                Err(error) => match classify_io(error) {
                    IoFailure::WouldBlock => client.readable = false,
                    IoFailure::LocalResources => return Err(ReceiveFailure::LocalResources),
                    IoFailure::Disconnected => return Err(ReceiveFailure::Disconnected),
                },
            }
        }
        Ok(false)
    }

    /// Queues the answers to the pings that have arrived. Stops at [`MAX_PINGS`], so that a flood of pings
    /// neither blocks the event loop nor fills the send buffer of a client that does not read.
    fn answer_pings(&mut self, context: &Context) {
        let Some(line) = self.request_line.as_mut() else {
            return;
        };
        while line.unsent().starts_with(PING_LINE) && self.pings < MAX_PINGS {
            line.consume(PING_LINE.len());
            self.pings += 1;
            let answer = if context.standby_deadline.is_some() {
                BUSY_LINE
            } else {
                PONG_LINE
            };
            self.to_client
                .buffer
                .get_or_insert_with(|| context.pool.take_beyond_limit())
                .append(answer);
        }
    }
}

impl Connections {
    /// Reads the client's first line and starts or rejects its request once the line is complete.
    pub(super) fn read_request(&mut self, context: &mut Context, slot: usize) {
        loop {
            let connection = &mut self.slab[slot];
            if connection.client.is_none() {
                return;
            }
            let ended = match connection.receive_first_line(&context.pool) {
                Ok(ended) => ended,
                Err(ReceiveFailure::NoBuffer) => return self.retry_soon(context, slot),
                Err(ReceiveFailure::LocalResources) => {
                    context.record_transient_failure("receive");
                    return self.retry_soon(context, slot);
                }
                Err(ReceiveFailure::Disconnected) => {
                    return self.remove(context, slot, CloseReason::ClientBroke);
                }
            };
            connection.answer_pings(context);
            if !self.send_ping_answers(context, slot) {
                return;
            }
            let connection = &mut self.slab[slot];
            let (Some(buffer), Some(client)) = (&connection.request_line, &connection.client)
            else {
                return;
            };
            match protocol::split_first_line(buffer.unsent()) {
                Ok(None) if ended => return self.remove(context, slot, CloseReason::ClientEnded),
                Ok(None) if client.readable => continue,
                Ok(None) if buffer.is_empty() => connection.request_line = None,
                Ok(None) => {}
                Ok(Some(line)) if ended || buffer.unsent().len() > line.length => {
                    self.reject_client(context, slot, RejectReason::MoreThanOneLine);
                }
                Ok(Some(line)) => {
                    let length = line.length - CRLF_BYTES;
                    let id = connection.incoming.id;
                    let ids = (&self.listener, &mut self.attempted_ids);
                    match admit_line(context, ids, id, line.text) {
                        Ok(request) => self.start_request(context, slot, request, length),
                        Err(reason) => self.reject_client(context, slot, reason),
                    }
                }
                Err(error) => self.reject_client(context, slot, error.into()),
            }
            return;
        }
    }

    /// Sends the queued answers to pings. Returns whether all are sent; the request is not processed before.
    fn send_ping_answers(&mut self, context: &mut Context, slot: usize) -> bool {
        let connection = &mut self.slab[slot];
        let Some(client) = connection.client.as_mut() else {
            return false;
        };
        match connection.to_client.write_to(client) {
            RelayStatus::Finished => return true,
            RelayStatus::Idle => {}
            RelayStatus::LocalResources => {
                context.record_transient_failure("send");
                self.retry_soon(context, slot);
            }
            _ => self.remove(context, slot, CloseReason::ClientBroke),
        }
        false
    }

    /// Starts an admitted request: reports it to the decision module, or reconnects it to its previous host
    /// if it names one.
    fn start_request(
        &mut self,
        context: &mut Context,
        slot: usize,
        request: AdmittedRequest,
        line_length: usize,
    ) {
        let connection = &mut self.slab[slot];
        connection.started_at = context.now;
        connection.timeout = request.incoming.time_left;
        connection.incoming = request.incoming;
        connection.request_line_length = line_length;
        self.listener.open_ids.insert(Rc::clone(&request.wire_id));
        connection.wire_id = Some(request.wire_id);
        if let Some(host) = request.previous_host {
            connection.previous_host = Some(host);
            connection.stage = Stage::Reconnecting(context.now);
            return self.reconnect(context, slot);
        }
        connection.stage = Stage::Pending;
        context
            .events
            .push(Event::RequestArrived(connection.incoming));
    }
}

/// Parses a client's first line and admits its request.
///
/// # Errors
/// Returns why the line or the request is rejected.
fn admit_line(
    context: &Context,
    (listener, attempted_ids): (&Listener, &mut AttemptedIds),
    id: RequestId,
    line: &[u8],
) -> Result<AdmittedRequest, RejectReason> {
    let request = match protocol::parse_client_line(line)? {
        ClientMessage::Ping => return Err(RejectReason::TooManyPings),
        ClientMessage::Request(request) => request,
    };
    let incoming = admit_request(context, id, &request)?;
    if listener.is_id_taken(request.id) {
        return Err(RejectReason::IdInUse);
    }
    if attempted_ids.contains(context.now, IdHash::of(request.id)) {
        return Err(RejectReason::IdAttempted);
    }
    if must_not_run_twice(context, incoming.class) && attempted_ids.is_full(context.now) {
        return Err(RejectReason::TooManyIds);
    }
    Ok(AdmittedRequest {
        incoming,
        wire_id: Rc::from(request.id),
        previous_host: request.previous_host.map(|name| HostId(fnv1a(name))),
    })
}

/// Checks a request against the settings and returns it in the form for the decision module.
///
/// # Errors
/// Returns why this node does not serve the request.
fn admit_request(
    context: &Context,
    id: RequestId,
    request: &OpenRequest,
) -> Result<IncomingRequest, RejectReason> {
    let settings = &context.settings;
    let class = settings
        .active_class_index(request.class)
        .ok_or(RejectReason::UnknownClass)?;
    if !settings.tenants.is_empty() && !settings.tenants.iter().any(|t| t == request.tenant) {
        return Err(RejectReason::UnknownTenant);
    }
    let reconnects = request.previous_host.is_some();
    // Accepts reconnects only shortly after the start. Their timeout is not limited, so without this a client
    // that claims to reconnect could stay for as long as it asks.
    if reconnects && context.now > context.start + 2 * RECONNECT_TIMEOUT {
        return Err(RejectReason::LateReconnect);
    }
    let max_timeout = if settings.max_request_timeout > 0 {
        settings.max_request_timeout
    } else {
        Nanos::MAX / MAX_TIMEOUT_FACTOR
    };
    if !reconnects && request.timeout > MAX_TIMEOUT_FACTOR * max_timeout {
        return Err(RejectReason::ExcessiveTimeout);
    }
    let time_left = if reconnects {
        request.timeout
    } else {
        request.timeout.min(max_timeout)
    };
    Ok(IncomingRequest {
        id,
        class,
        key: request.key,
        group: request.group,
        time_left,
        usual_load: request.usual_load,
        mid_stream: false,
    })
}
