//! A scripted client of a planner, for measurements of a planner alone: it speaks the protocol of a forwarder at full
//! speed, without clients or hosts. It keeps none of the rules of a forwarder, so it must not be used in its place.

use reedferry_control_plane::codec::{self, FrameReader, FrameWriter, SequenceCheck};
use reedferry_control_plane::messages::{
    ForwarderMessage, Hello, PlacementRequest, PlannerMessage, PriorAttempts, Welcome, WireOutcome,
};
use reedferry_control_plane::LinkError;
use std::collections::VecDeque;
use std::fmt;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long the session waits for the planner.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
const READ_BUFFER_BYTES: usize = 1 << 16;
/// The number of distinct affinity keys of the requests.
const KEY_COUNT: u64 = 4096;
/// The time in which a request has to be answered.
const REQUEST_TIMEOUT_NANOS: u64 = 2_000_000_000;
/// How long each attempt takes according to the script.
const ATTEMPT_NANOS: u64 = 1_000_000;
/// The number of open connections that are reported between two writes to the socket.
const REPORT_BATCH: u64 = 1024;

/// Why a session with a planner ended.
#[derive(Debug)]
pub enum SessionError {
    /// The socket failed.
    Io(io::Error),
    /// The planner rejected the session, or violated the protocol.
    Link(LinkError),
    /// The planner closed the connection.
    Closed,
}

impl fmt::Display for SessionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SessionError::Io(error) => error.fmt(f),
            SessionError::Link(error) => error.fmt(f),
            SessionError::Closed => f.write_str("the planner closed the connection"),
        }
    }
}

impl std::error::Error for SessionError {}

impl From<io::Error> for SessionError {
    fn from(error: io::Error) -> Self {
        SessionError::Io(error)
    }
}

impl From<LinkError> for SessionError {
    fn from(error: LinkError) -> Self {
        SessionError::Link(error)
    }
}

/// A forwarder's session with a planner, in which a script replaces clients and hosts.
pub struct ScriptedForwarder {
    stream: TcpStream,
    reader: FrameReader,
    writer: FrameWriter,
    sequence_check: SequenceCheck,
    /// The number of the session; `None` until the planner's greeting.
    session: Option<u64>,
    /// The id of the last request that was sent; ids start at 1.
    last_request: u64,
}

/// Returns the request with this id as these measurements send it.
pub fn placement_request(id: u64) -> PlacementRequest {
    PlacementRequest {
        class: 0,
        key: Some(id % KEY_COUNT + 1),
        group: None,
        usual_load: None,
        time_left: REQUEST_TIMEOUT_NANOS,
    }
}

impl ScriptedForwarder {
    /// Connects to a planner and begins to follow it.
    ///
    /// # Errors
    /// If the connection fails or ends, or if the planner rejects the session.
    pub fn follow(
        address: SocketAddr,
        planner: &str,
        name: &str,
        fingerprint: u64,
    ) -> Result<Self, SessionError> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        let mut forwarder = ScriptedForwarder {
            stream,
            reader: FrameReader::default(),
            writer: FrameWriter::default(),
            sequence_check: SequenceCheck::default(),
            session: None,
            last_request: 0,
        };
        forwarder.writer.append_greeting(&Hello {
            name: name.into(),
            planner: planner.into(),
            zone: 0,
            epoch: 1,
            fingerprint,
        });
        forwarder.flush()?;
        while forwarder.session.is_none() {
            forwarder.receive(&mut |_| {})?;
        }
        forwarder.append(&ForwarderMessage::Follow {
            open_connections: 0,
        });
        forwarder.append(&ForwarderMessage::StateSyncComplete);
        forwarder.flush()?;
        Ok(forwarder)
    }

    fn append(&mut self, message: &ForwarderMessage) {
        self.writer
            .append(self.session.unwrap_or_default(), 0, message);
    }

    fn flush(&mut self) -> Result<(), SessionError> {
        self.writer.finish_frame();
        let count = self.writer.sendable().len();
        self.stream.write_all(self.writer.sendable())?;
        self.writer.mark_sent(count);
        Ok(())
    }

    /// Waits for bytes from the planner, and calls `handle` with each message in them.
    fn receive(&mut self, handle: &mut impl FnMut(PlannerMessage)) -> Result<(), SessionError> {
        let mut bytes = [0; READ_BUFFER_BYTES];
        let count = self.stream.read(&mut bytes)?;
        if count == 0 {
            return Err(SessionError::Closed);
        }
        let ScriptedForwarder {
            session,
            sequence_check,
            ..
        } = self;
        self.reader.feed(&bytes[..count], |body| {
            let Some(number) = *session else {
                match codec::decode_greeting(body)? {
                    Welcome::Session(number) => *session = Some(number),
                    Welcome::Refused(reason) => return Err(LinkError::RejectedByPeer(reason)),
                }
                return Ok(());
            };
            let (header, mut messages) = codec::decode_frame(body)?;
            sequence_check.accept(&header, number)?;
            while let Some(message) = messages.next_message()? {
                handle(message);
            }
            Ok(())
        })?;
        Ok(())
    }

    fn request_placement(&mut self) {
        self.last_request += 1;
        let id = self.last_request;
        self.append(&ForwarderMessage::RequestPlacement {
            id,
            decision_sequence: 0,
            request: placement_request(id),
            prior_attempts: PriorAttempts::default(),
        });
    }

    /// Reports `count` open connections, spread evenly over the hosts, and waits until the planner has read the
    /// reports.
    ///
    /// # Errors
    /// If the connection fails or ends.
    pub fn report_open_connections(
        &mut self,
        count: u64,
        hosts: &[u64],
    ) -> Result<(), SessionError> {
        for n in 0..count {
            self.last_request += 1;
            let id = self.last_request;
            self.append(&ForwarderMessage::OpenConnection {
                id,
                request: placement_request(id),
                host: hosts[(n % hosts.len() as u64) as usize],
            });
            if n % REPORT_BATCH == 0 {
                self.flush()?;
            }
        }
        // The planner decides on this request only after it has read all reports before it.
        self.request_placement();
        self.flush()?;
        let mut decided = false;
        while !decided {
            self.receive(&mut |message| {
                decided |= matches!(
                    message,
                    PlannerMessage::StartAttempt { .. } | PlannerMessage::Reject { .. }
                );
            })?;
        }
        Ok(())
    }

    /// Sends `count` requests, at most `window` of which wait for a decision at a time. Each connection stays open
    /// until `max_open` newer ones are open. Returns how many requests got a host.
    ///
    /// # Errors
    /// If the connection fails or ends.
    pub fn request_decisions(
        &mut self,
        count: u64,
        window: u64,
        max_open: usize,
    ) -> Result<u64, SessionError> {
        let first = self.last_request;
        let (mut answered, mut placed, mut open) = (0, 0, VecDeque::new());
        while answered < count {
            while self.last_request - first < count && self.last_request - first - answered < window
            {
                self.request_placement();
            }
            self.flush()?;
            let mut messages = Vec::new();
            self.receive(&mut |message| messages.push(message))?;
            for message in messages {
                match message {
                    PlannerMessage::StartAttempt { id, .. } => {
                        answered += 1;
                        placed += 1;
                        let took = ATTEMPT_NANOS;
                        self.append(&ForwarderMessage::ConnectionEstablished { id, took });
                        open.push_back(id);
                    }
                    PlannerMessage::Reject { .. } | PlannerMessage::Fail { .. } => answered += 1,
                    _ => {}
                }
            }
            while open.len() > max_open {
                if let Some(id) = open.pop_front() {
                    self.append(&ForwarderMessage::AttemptEnded {
                        id,
                        decision_sequence: 0,
                        outcome: WireOutcome::Completed,
                        request_over: true,
                    });
                }
            }
        }
        Ok(placed)
    }
}
