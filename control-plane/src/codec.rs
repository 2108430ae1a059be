//! Encoding and decoding of the frames that carry messages. A frame is a length prefix of four bytes, little-endian,
//! followed by a body of at most [`MAX_BODY_BYTES`]. The first frame in each direction is a greeting. Each later frame
//! is a header followed by the messages of one turn, in the postcard format.
//!
//! Invariants: at most one frame of a peer's bytes is buffered, and a length is checked before it is used.

use crate::error::{LinkError, ProtocolViolation};
use crate::messages::FrameHeader;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// The version of the protocol, which must be the same at both ends.
pub const PROTOCOL_VERSION: u16 = 1;
/// The maximum length of a frame's body, in bytes, without the length prefix.
pub const MAX_BODY_BYTES: usize = 32 << 10;
const MAGIC: [u8; 4] = *b"rfLK";
const LENGTH_BYTES: usize = 4;
/// The maximum length of an encoded message, in bytes. A longer message is left out of the frame, for example a
/// fallback plan of 200 hosts with 64-bit ids.
const MAX_MESSAGE_BYTES: usize = 2048;
/// The number of sent bytes at which the writer's buffer is compacted, and the capacity that an empty buffer keeps at
/// most.
const COMPACT_BYTES: usize = 4 * MAX_BODY_BYTES;

/// Splits the bytes that arrive from a peer into frame bodies.
#[derive(Default)]
pub struct FrameReader {
    partial_frame: Vec<u8>,
}

impl FrameReader {
    /// Takes the next bytes and calls `handle_body` for each body that is complete, in order.
    ///
    /// # Errors
    /// [`LinkError::FrameTooLong`] as soon as a length prefix exceeds [`MAX_BODY_BYTES`], before any of the body is
    /// buffered; [`LinkError::Malformed`] if a length is 0; and any error of `handle_body`.
    pub fn feed(
        &mut self,
        mut bytes: &[u8],
        mut handle_body: impl FnMut(&[u8]) -> Result<(), LinkError>,
    ) -> Result<(), LinkError> {
        while !bytes.is_empty() {
            // Reads a frame that arrived complete in place, without a copy.
            if self.partial_frame.is_empty() {
                if let Some(frame_end) = Self::frame_end(bytes)? {
                    handle_body(&bytes[LENGTH_BYTES..frame_end])?;
                    bytes = &bytes[frame_end..];
                    continue;
                }
            }
            let wanted = match Self::body_length(&self.partial_frame)? {
                None => LENGTH_BYTES,
                Some(length) => LENGTH_BYTES + length,
            };
            let taken = (wanted - self.partial_frame.len()).min(bytes.len());
            self.partial_frame.extend_from_slice(&bytes[..taken]);
            bytes = &bytes[taken..];
            if let Some(frame_end) = Self::frame_end(&self.partial_frame)? {
                let frame = std::mem::take(&mut self.partial_frame);
                handle_body(&frame[LENGTH_BYTES..frame_end])?;
                self.partial_frame = frame;
                self.partial_frame.clear();
            }
        }
        Ok(())
    }

    /// Returns the body length from a frame's length prefix; `None` if the prefix is incomplete.
    fn body_length(bytes: &[u8]) -> Result<Option<usize>, LinkError> {
        let Some(prefix) = bytes.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        match u32::from_le_bytes(*prefix) as usize {
            0 => Err(LinkError::Malformed),
            length if length > MAX_BODY_BYTES => Err(LinkError::FrameTooLong),
            length => Ok(Some(length)),
        }
    }

    /// Returns the offset at which the first frame ends; `None` if the frame is incomplete.
    fn frame_end(bytes: &[u8]) -> Result<Option<usize>, LinkError> {
        Ok(Self::body_length(bytes)?
            .map(|length| LENGTH_BYTES + length)
            .filter(|&end| end <= bytes.len()))
    }

    /// Returns the number of buffered bytes, which belong to one incomplete frame.
    pub fn buffered(&self) -> usize {
        self.partial_frame.len()
    }
}

/// Encodes the frames to a peer. The messages of one turn share a frame as long as they fit.
#[derive(Default)]
pub struct FrameWriter {
    buffer: Vec<u8>,
    sent_bytes: usize,
    /// The offset of the frame that still takes messages; `None` if there is no such frame.
    open_frame: Option<usize>,
    scratch: Vec<u8>,
    last_sequence: u64,
}

impl FrameWriter {
    fn begin_frame(&mut self) -> usize {
        let start = self.buffer.len();
        self.buffer.extend_from_slice(&[0; LENGTH_BYTES]);
        start
    }

    fn end_frame(&mut self, start: usize) {
        let length = (self.buffer.len() - start - LENGTH_BYTES) as u32;
        self.buffer[start..start + LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    }

    /// Encodes a value into `scratch` and returns its bytes, or no bytes if they exceed [`MAX_MESSAGE_BYTES`]. The
    /// message types fail to encode for no other reason.
    pub(crate) fn encode<'a>(scratch: &'a mut Vec<u8>, value: &impl Serialize) -> &'a [u8] {
        scratch.resize(MAX_MESSAGE_BYTES, 0);
        postcard::to_slice(value, scratch).map_or(&[], |bytes| bytes)
    }

    fn append_encoded(&mut self, value: &impl Serialize) {
        self.buffer
            .extend_from_slice(Self::encode(&mut self.scratch, value));
    }

    /// Appends a greeting in a frame of its own.
    pub fn append_greeting(&mut self, greeting: &impl Serialize) {
        let start = self.begin_frame();
        self.buffer.extend_from_slice(&MAGIC);
        self.buffer
            .extend_from_slice(&PROTOCOL_VERSION.to_le_bytes());
        self.append_encoded(greeting);
        self.end_frame(start);
    }

    fn start_frame(&mut self, session: u64, heartbeat: u64) {
        self.last_sequence += 1;
        let start = self.begin_frame();
        self.append_encoded(&FrameHeader {
            session,
            sequence: self.last_sequence,
            heartbeat,
        });
        self.open_frame = Some(start);
    }

    /// Appends a message to this turn's frame, and begins another frame if the message might not fit.
    pub fn append(&mut self, session: u64, heartbeat: u64, message: &impl Serialize) {
        let is_full =
            |start| self.buffer.len() - start - LENGTH_BYTES + MAX_MESSAGE_BYTES > MAX_BODY_BYTES;
        if self.open_frame.is_some_and(is_full) {
            self.finish_frame();
        }
        self.append_heartbeat(session, heartbeat);
        self.append_encoded(message);
    }

    /// Begins a frame unless one is open. The frame carries the heartbeat even if no message is added to it.
    pub fn append_heartbeat(&mut self, session: u64, heartbeat: u64) {
        if self.open_frame.is_none() {
            self.start_frame(session, heartbeat);
        }
    }

    /// Ends this turn's frame, if one is open, which makes it sendable.
    pub fn finish_frame(&mut self) {
        if let Some(start) = self.open_frame.take() {
            self.end_frame(start);
        }
    }

    /// Returns the bytes that may be sent, which belong to complete frames only.
    pub fn sendable(&self) -> &[u8] {
        &self.buffer[self.sent_bytes..self.open_frame.unwrap_or(self.buffer.len())]
    }

    /// Returns the number of bytes that were not sent yet, including those of the open frame.
    pub fn unsent_bytes(&self) -> usize {
        self.buffer.len() - self.sent_bytes
    }

    /// Records that the first `count` bytes of [`FrameWriter::sendable`] were sent.
    pub fn mark_sent(&mut self, count: usize) {
        self.sent_bytes += count.min(self.sendable().len());
        if self.sent_bytes == self.buffer.len() {
            self.buffer.clear();
            self.sent_bytes = 0;
            // Without this, the buffer would keep the memory of its longest backlog.
            self.buffer.shrink_to(COMPACT_BYTES);
        } else if self.sent_bytes >= COMPACT_BYTES && self.open_frame.is_none() {
            self.buffer.drain(..self.sent_bytes);
            self.sent_bytes = 0;
        }
    }
}

/// Decodes the body of a greeting.
///
/// # Errors
/// [`ProtocolViolation::NoGreeting`] if the body is not a greeting, [`LinkError::Version`] if the greeting is of
/// another protocol version, and [`LinkError::Malformed`] if the rest does not decode.
pub fn decode_greeting<T: DeserializeOwned>(body: &[u8]) -> Result<T, LinkError> {
    let rest = body
        .strip_prefix(&MAGIC)
        .ok_or(ProtocolViolation::NoGreeting)?;
    let (version, rest) = rest.split_first_chunk::<2>().ok_or(LinkError::Malformed)?;
    match u16::from_le_bytes(*version) {
        PROTOCOL_VERSION => decode_all(rest),
        other => Err(LinkError::Version(other)),
    }
}

/// Decodes a value and fails if bytes are left over.
fn decode_all<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, LinkError> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        _ => Err(LinkError::Malformed),
    }
}

/// Decodes the messages of a frame one after the other.
pub struct MessageDecoder<'a>(&'a [u8]);

impl MessageDecoder<'_> {
    /// Returns the next message; `None` after the last one.
    ///
    /// # Errors
    /// [`LinkError::Malformed`] if the remaining bytes do not decode as a message.
    pub fn next_message<T: DeserializeOwned>(&mut self) -> Result<Option<T>, LinkError> {
        if self.0.is_empty() {
            return Ok(None);
        }
        let (message, rest) =
            postcard::take_from_bytes(self.0).map_err(|_| LinkError::Malformed)?;
        self.0 = rest;
        Ok(Some(message))
    }
}

/// Decodes the header of a frame's body and returns it with a decoder of the messages.
///
/// # Errors
/// [`LinkError::Malformed`] if the header does not decode.
pub fn decode_frame(body: &[u8]) -> Result<(FrameHeader, MessageDecoder<'_>), LinkError> {
    let (header, rest) = postcard::take_from_bytes(body).map_err(|_| LinkError::Malformed)?;
    Ok((header, MessageDecoder(rest)))
}

/// Checks that a peer's frames belong to one session and arrive in sequence.
#[derive(Default)]
pub struct SequenceCheck {
    last_sequence: u64,
}

impl SequenceCheck {
    /// Accepts the next frame, whose session number must be `session`.
    ///
    /// # Errors
    /// [`ProtocolViolation::OtherSession`] if the frame belongs to another session, and
    /// [`ProtocolViolation::OutOfSequence`] if it is repeated or does not follow the previous one.
    pub fn accept(&mut self, header: &FrameHeader, session: u64) -> Result<(), LinkError> {
        if header.session != session {
            return Err(ProtocolViolation::OtherSession.into());
        }
        if header.sequence != self.last_sequence + 1 {
            return Err(ProtocolViolation::OutOfSequence.into());
        }
        self.last_sequence = header.sequence;
        Ok(())
    }
}

#[cfg(test)]
#[path = "codec_tests.rs"]
mod tests;
