//! The wire format of membership messages. Each is one datagram of bounded length that starts with a version.
//! Everything that is read is checked against its bounds before it is passed on.

use crate::member::{MemberInfo, MemberState, MemberVersion, MAX_MESSAGE_BYTES, MAX_NAME_BYTES};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

const VERSION: u8 = 1;
/// The length of the version and the checksum, in bytes.
const PREFIX_BYTES: usize = 5;
/// The number of partitions of the member table, each of which has a digest.
pub(crate) const TABLE_PARTITIONS: usize = 32;

/// The reason why a message or one of its claims was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum MessageError {
    /// The message is longer than [`MAX_MESSAGE_BYTES`].
    #[error("message exceeds the maximum datagram length")]
    TooLong,
    /// The message does not start with the supported version.
    #[error("unsupported version, or not a membership message")]
    Version,
    /// The message is truncated or corrupt.
    #[error("message is truncated or corrupt")]
    Corrupt,
    /// A field exceeds its bounds.
    #[error("field out of bounds")]
    OutOfBounds,
    /// The message has another fleet id.
    #[error("message from another fleet")]
    OtherFleet,
    /// The sender announces another address than the one that the message came from, or announces itself as suspect.
    #[error("sender address does not match the announced address")]
    WrongAddress,
    /// The message is addressed to another member.
    #[error("message for another member")]
    OtherMember,
    /// The incarnation lies too far ahead of the system clock.
    #[error("incarnation too far in the future")]
    FarFuture,
    /// The member table is full.
    #[error("member table is full")]
    TooManyMembers,
    /// Two names have the same id.
    #[error("two member names with the same id")]
    IdCollision,
    /// A member has two addresses in one incarnation.
    #[error("two addresses in one incarnation")]
    TwoAddresses,
}

/// A statement about a member, made by itself or by another. The order of the fields is the wire format.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub(crate) struct MemberClaim {
    pub info: MemberInfo,
    pub version: MemberVersion,
    pub state: MemberState,
    /// The id of the latest member that raised or confirmed the suspicion; 0 if it is unknown. Messages carry 0 for
    /// members that are not suspect.
    pub accuser: u64,
}

/// The kind of a message and its fields. The order of the variants is the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum MessageBody {
    /// A probe of the member with the id `target`, or of any member if that is 0.
    Ping { sequence: u32, target: u64 },
    /// The answer to a ping.
    Ack { sequence: u32 },
    /// Asks the receiver to ping another member.
    PingRequest { sequence: u32, target: u64 },
    /// The answer to a ping request: whether the other member has answered.
    PingResult { sequence: u32, answered: bool },
    /// Carries only claims.
    Gossip,
    /// The digests of all partitions of the sender's table.
    Digests { partitions: Vec<u32> },
    /// Asks for leases on the quota of the members with these indexes.
    LeaseRequest { sequence: u32, shares: Vec<u32> },
    /// The answer to a lease request: the shares that are granted.
    LeaseGrant { sequence: u32, shares: Vec<u32> },
    /// Carries members of the sender's table as claims, and requests the receiver's partitions in this bit mask.
    TablePage { requested: u32 },
}

/// The header of every message. The order of the fields is the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct MessageHeader {
    pub fleet_id: u32,
    pub sender: MemberClaim,
    /// The digest of the sender's whole member table.
    pub digest: u64,
    pub body: MessageBody,
}

/// Writes a message: version, checksum, header, then claims up to the end.
pub(crate) struct MessageWriter(Vec<u8>);

impl MessageWriter {
    pub fn new(header: &MessageHeader) -> MessageWriter {
        let mut bytes = vec![VERSION, 0, 0, 0, 0];
        bytes.extend(postcard::to_allocvec(header).unwrap_or_default());
        MessageWriter(bytes)
    }

    /// Appends a claim. Returns whether it fits.
    pub fn push(&mut self, claim: &MemberClaim) -> bool {
        let Ok(bytes) = postcard::to_allocvec(claim) else {
            return false;
        };
        let fits = self.0.len() + bytes.len() <= MAX_MESSAGE_BYTES;
        if fits {
            self.0.extend(bytes);
        }
        fits
    }

    pub fn finish(mut self) -> Vec<u8> {
        let checksum = checksum(&self.0[PREFIX_BYTES..]);
        self.0[1..PREFIX_BYTES].copy_from_slice(&checksum);
        self.0
    }
}

/// Returns the checksum of everything that follows it in a message. Without it, a flipped bit in a name, an address or
/// a version would be accepted.
pub fn checksum(bytes: &[u8]) -> [u8; 4] {
    (xxh3_64(bytes) as u32).to_le_bytes()
}

fn is_in_bounds(claim: &MemberClaim) -> bool {
    let info = &claim.info;
    let is_short =
        |text: &String| text.len() <= MAX_NAME_BYTES && !text.chars().any(char::is_control);
    !info.name.is_empty()
        && [&info.name, &info.zone, &info.build]
            .into_iter()
            .all(is_short)
        && info.address.port() != 0
        && !info.address.ip().is_unspecified()
}

/// Decodes and validates a complete message.
///
/// # Errors
///
/// Returns the reason for which the message must be dropped.
pub(crate) fn read(bytes: &[u8]) -> Result<(MessageHeader, Vec<MemberClaim>), MessageError> {
    match bytes.first() {
        _ if bytes.len() > MAX_MESSAGE_BYTES => return Err(MessageError::TooLong),
        Some(&VERSION) => {}
        _ => return Err(MessageError::Version),
    }
    let corrupt = |_| MessageError::Corrupt;
    let (Some(sent), Some(rest)) = (bytes.get(1..PREFIX_BYTES), bytes.get(PREFIX_BYTES..)) else {
        return Err(MessageError::Corrupt);
    };
    if sent != checksum(rest) {
        return Err(MessageError::Corrupt);
    }
    let (header, mut rest): (MessageHeader, &[u8]) =
        postcard::take_from_bytes(rest).map_err(corrupt)?;
    let mut claims = Vec::new();
    while !rest.is_empty() {
        let (claim, after): (MemberClaim, &[u8]) =
            postcard::take_from_bytes(rest).map_err(corrupt)?;
        claims.push(claim);
        rest = after;
    }
    let partitions = match &header.body {
        MessageBody::Digests { partitions } => partitions.len(),
        _ => TABLE_PARTITIONS,
    };
    let in_bounds = is_in_bounds(&header.sender) && claims.iter().all(is_in_bounds);
    if partitions != TABLE_PARTITIONS || !in_bounds {
        return Err(MessageError::OutOfBounds);
    }
    Ok((header, claims))
}

#[cfg(test)]
#[path = "message_bytes_tests.rs"]
mod bytes_tests;
