//! The frames that carry messages. A frame is four bytes of length, little-endian, and a body of at most
//! [`MAX_BODY_BYTES`]. The first frame each way is a greeting; each later one is a header and as many messages as
//! one turn gathered, in the postcard format. This module owns how frames are written and how they are read
//! as bytes arrive. It must never buffer more of a peer's bytes than one frame, nor trust a length.

use crate::error::{LinkError, ProtocolViolation};
use crate::messages::FrameHeader;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Both ends must speak the same version.
pub const PROTOCOL_VERSION: u16 = 1;
/// The longest body of a frame.
pub const MAX_BODY_BYTES: usize = 32 << 10;
const MAGIC: [u8; 4] = *b"rfLK";
const LENGTH_BYTES: usize = 4;
/// More than any message takes: a name, or a list of hosts, and what goes with them.
const MAX_MESSAGE_BYTES: usize = 2048;
/// Sent bytes from which on the writer's buffer is compacted, and the memory that an empty one keeps.
const COMPACT_BYTES: usize = 4 * MAX_BODY_BYTES;

/// Splits a peer's bytes, as they arrive, into the bodies of frames.
#[derive(Default)]
pub struct FrameReader {
    partial_frame: Vec<u8>,
}

impl FrameReader {
    /// Hands each complete body to `handle_body`, in order.
    ///
    /// # Errors
    /// [`LinkError::FrameTooLong`] as soon as a length says so, before anything is buffered for it, and whatever
    /// `handle_body` returns.
    pub fn feed(
        &mut self,
        mut bytes: &[u8],
        mut handle_body: impl FnMut(&[u8]) -> Result<(), LinkError>,
    ) -> Result<(), LinkError> {
        while !bytes.is_empty() {
            // A frame that arrived complete is read where it is, without a copy.
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

    /// The length that a frame's first bytes announce, if all of them are there.
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

    /// Where the first frame ends, if it is complete.
    fn frame_end(bytes: &[u8]) -> Result<Option<usize>, LinkError> {
        Ok(Self::body_length(bytes)?
            .map(|length| LENGTH_BYTES + length)
            .filter(|&end| end <= bytes.len()))
    }

    /// Bytes of an incomplete frame that are buffered.
    pub fn buffered(&self) -> usize {
        self.partial_frame.len()
    }
}

/// Encodes what is to be sent to a peer. The messages of one turn share a frame, as far as they fit.
#[derive(Default)]
pub struct FrameWriter {
    buffer: Vec<u8>,
    sent_bytes: usize,
    /// Where the frame begins that is still open.
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

    /// Encodes a value into `scratch` and returns its bytes. These types fail to encode only for lack of space,
    /// and none needs as much as there is: names and lists are bounded.
    pub(crate) fn encode<'a>(scratch: &'a mut Vec<u8>, value: &impl Serialize) -> &'a [u8] {
        scratch.resize(MAX_MESSAGE_BYTES, 0);
        postcard::to_slice(value, scratch).map_or(&[], |bytes| bytes)
    }

    fn append_encoded(&mut self, value: &impl Serialize) {
        self.buffer
            .extend_from_slice(Self::encode(&mut self.scratch, value));
    }

    /// Appends a greeting, in a frame of its own.
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

    /// Appends a message to the frame of this turn.
    pub fn append(&mut self, session: u64, heartbeat: u64, message: &impl Serialize) {
        let is_full =
            |start| self.buffer.len() - start - LENGTH_BYTES + MAX_MESSAGE_BYTES > MAX_BODY_BYTES;
        if self.open_frame.is_some_and(is_full) {
            self.finish_frame();
        }
        self.append_heartbeat(session, heartbeat);
        self.append_encoded(message);
    }

    /// Opens a frame, which may stay without messages, unless this turn has one.
    pub fn append_heartbeat(&mut self, session: u64, heartbeat: u64) {
        if self.open_frame.is_none() {
            self.start_frame(session, heartbeat);
        }
    }

    /// Ends the frame of this turn.
    pub fn finish_frame(&mut self) {
        if let Some(start) = self.open_frame.take() {
            self.end_frame(start);
        }
    }

    /// What may be sent: complete frames only.
    pub fn sendable(&self) -> &[u8] {
        &self.buffer[self.sent_bytes..self.open_frame.unwrap_or(self.buffer.len())]
    }

    /// Bytes that were not sent yet, of complete frames and the open one.
    pub fn unsent_bytes(&self) -> usize {
        self.buffer.len() - self.sent_bytes
    }

    /// Records that the first bytes of [`FrameWriter::sendable`] were sent.
    pub fn mark_sent(&mut self, count: usize) {
        self.sent_bytes += count.min(self.sendable().len());
        if self.sent_bytes == self.buffer.len() {
            self.buffer.clear();
            self.sent_bytes = 0;
            // Without this, the memory of one long backlog would be kept for ever.
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
/// If it is no greeting, or one of another version.
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

/// Decodes a value that must take up all the bytes.
fn decode_all<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, LinkError> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        _ => Err(LinkError::Malformed),
    }
}

/// The messages of a frame, one after the other.
pub struct MessageDecoder<'a>(&'a [u8]);

impl MessageDecoder<'_> {
    /// The next message; `None` behind the last byte.
    ///
    /// # Errors
    /// [`LinkError::Malformed`] if what is left is no message.
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

/// Decodes the header of a frame's body.
///
/// # Errors
/// [`LinkError::Malformed`] if there is none.
pub fn decode_frame(body: &[u8]) -> Result<(FrameHeader, MessageDecoder<'_>), LinkError> {
    let (header, rest) = postcard::take_from_bytes(body).map_err(|_| LinkError::Malformed)?;
    Ok((header, MessageDecoder(rest)))
}

/// Checks that a peer's frames arrive in one session and in sequence.
#[derive(Default)]
pub struct SequenceCheck {
    last_sequence: u64,
}

impl SequenceCheck {
    /// Accepts the next frame.
    ///
    /// # Errors
    /// If the frame is of another session, repeated, or out of sequence.
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
