//! The wire format of what members send each other: one datagram each, of bounded length, with a version first. It must
//! never let anything through that has no bound.

use crate::member::{MemberInfo, MemberState, MemberVersion, MAX_MESSAGE_BYTES, MAX_NAME_BYTES};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

const VERSION: u8 = 1;
/// The version and the checksum, in bytes.
const FRONT_BYTES: usize = 5;
/// Partitions of the member table that are compared by a digest each.
pub(crate) const TABLE_PARTITIONS: usize = 32;

/// Why a message, or what it says of a member, is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum MessageError {
    /// Longer than [`MAX_MESSAGE_BYTES`].
    #[error("a message that is too long")]
    TooLong,
    /// Not of this version.
    #[error("another version, or no message")]
    Version,
    /// Cut short, or changed on its way.
    #[error("a garbled message")]
    Garbled,
    /// Fields out of their bounds.
    #[error("a message out of bounds")]
    OutOfBounds,
    /// Of a fleet of another name.
    #[error("a message of another fleet")]
    OtherFleet,
    /// Its sender's address is not where it came from.
    #[error("a member that speaks for another address")]
    WrongAddress,
    /// Its receiver is not this member.
    #[error("a message for another member")]
    OtherMember,
    /// An incarnation that the system's clock does not allow.
    #[error("an incarnation of the far future")]
    FarFuture,
    /// The member table is full.
    #[error("more members than may be kept")]
    TooManyMembers,
    /// Two names with one id.
    #[error("two names of one id")]
    IdCollision,
    /// Two addresses in one incarnation.
    #[error("two addresses in one incarnation")]
    TwoAddresses,
}

/// What is said of a member. The order of the fields is the wire format.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub(crate) struct MemberClaim {
    pub info: MemberInfo,
    pub version: MemberVersion,
    pub state: MemberState,
    /// The id of the member that found it out, where it is suspect.
    pub accuser: u64,
}

/// The order of the variants is the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum MessageBody {
    /// A probe of the member with this id, or with 0 of any member.
    Ping { sequence: u32, target: u64 },
    /// The answer to a ping.
    Ack { sequence: u32 },
    /// Asks the receiver to ping another member.
    PingRequest { sequence: u32, target: u64 },
    /// The answer to that: whether the other member has answered.
    PingResult { sequence: u32, answered: bool },
    /// Claims alone.
    Gossip,
    /// The digest of each partition of the sender's table.
    Digests { partitions: Vec<u32> },
    /// Asks for leases on these members' quota.
    LeaseRequest { sequence: u32, shares: Vec<u32> },
    /// The answer to that: the leases that are granted.
    LeaseGrant { sequence: u32, shares: Vec<u32> },
    /// Members of the sender's table; the receiver's partitions in this bit mask are requested.
    TablePage { requested: u32 },
}

/// The start of each message. The order of the fields is the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct MessageHeader {
    pub fleet_id: u32,
    pub sender: MemberClaim,
    /// The digest of the sender's whole table.
    pub digest: u64,
    pub body: MessageBody,
}

/// Writes a message: version and checksum, the header, then claims to the end.
pub(crate) struct MessageWriter(Vec<u8>);

impl MessageWriter {
    pub fn new(header: &MessageHeader) -> MessageWriter {
        let mut bytes = vec![VERSION, 0, 0, 0, 0];
        bytes.extend(postcard::to_allocvec(header).unwrap_or_default());
        MessageWriter(bytes)
    }

    /// Adds a claim; gives whether it fits.
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
        let checksum = checksum(&self.0[FRONT_BYTES..]);
        self.0[1..FRONT_BYTES].copy_from_slice(&checksum);
        self.0
    }
}

/// The checksum of a message's rest. Without it, a flipped bit in a name, an address or a version is believed.
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

/// Reads a whole message.
///
/// # Errors
/// What is wrong with it.
pub(crate) fn read(bytes: &[u8]) -> Result<(MessageHeader, Vec<MemberClaim>), MessageError> {
    match bytes.first() {
        _ if bytes.len() > MAX_MESSAGE_BYTES => return Err(MessageError::TooLong),
        Some(&VERSION) => {}
        _ => return Err(MessageError::Version),
    }
    let garbled = |_| MessageError::Garbled;
    let (Some(sent), Some(rest)) = (bytes.get(1..FRONT_BYTES), bytes.get(FRONT_BYTES..)) else {
        return Err(MessageError::Garbled);
    };
    if sent != checksum(rest) {
        return Err(MessageError::Garbled);
    }
    let (header, mut rest): (MessageHeader, &[u8]) =
        postcard::take_from_bytes(rest).map_err(garbled)?;
    let mut claims = Vec::new();
    while !rest.is_empty() {
        let (claim, after): (MemberClaim, &[u8]) =
            postcard::take_from_bytes(rest).map_err(garbled)?;
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
