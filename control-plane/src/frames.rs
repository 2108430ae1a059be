//! The frames of the link. A frame is four bytes of length, least first, and a body of at most
//! [`LONGEST`] bytes; a first frame each way greets, each later one is a piece: a head and as many notes
//! as a turn gathered, in the postcard format. This file owns the form of what passes and how it is read
//! as it arrives. It must never hold more of a peer's bytes than one frame, nor believe a length.

use reedferry::{AttemptOutcome, HostState, IncomingRequest, Nanos, RequestId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Both ends speak the same version, or part.
pub const VERSION: u16 = 1;
/// The longest body.
pub const LONGEST: usize = 32 << 10;
const MAGIC: [u8; 4] = *b"rfLK";
const PREFIX: usize = 4;
/// The longest name of a host, a forwarder or a planner.
pub const LONGEST_NAME: usize = 256;
/// More than any note takes: a name, or the hosts of one note, and what goes with them.
const MOST_NOTE: usize = 2048;
/// The most hosts that a note names.
pub const MOST_NAMED: usize = 32;

/// Why a peer's connection ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkError {
    FrameTooLong,
    Malformed,
    Version(u16),
    /// It is not what was expected here, and in what.
    Unexpected(&'static str),
    /// It will have nothing to do with us, and why.
    Refused(String),
}

impl std::fmt::Display for LinkError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            LinkError::FrameTooLong => write!(f, "a frame that is too long"),
            LinkError::Malformed => write!(f, "a frame that cannot be read"),
            LinkError::Version(theirs) => write!(f, "version {theirs} of the link, not {VERSION}"),
            LinkError::Unexpected(what) => write!(f, "{what}"),
            LinkError::Refused(why) => write!(f, "turned away there: {why:?}"),
        }
    }
}

/// What a forwarder greets with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    pub name: String,
    /// Which planner it takes the other end for.
    pub planner: String,
    pub zone: u16,
    /// Grows with each start of the forwarder.
    pub epoch: u64,
    pub fingerprint: u64,
}

/// What a planner answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Welcome {
    /// The number that every later piece of this session bears.
    Session(u64),
    Refused(String),
}

/// The head of a piece.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    pub session: u64,
    /// Counts the pieces of one way, from one.
    pub number: u64,
    /// From a forwarder: its last beat. From a planner: the last beat that it had read when it decided
    /// what the piece holds.
    pub beat: u64,
}

/// An attachment as it is asked for. Times are spans: the two ends share no clock.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementRequest {
    pub class: u16,
    pub key: Option<u64>,
    pub group: Option<u64>,
    pub usual_load: Option<f64>,
    pub time_left: Nanos,
}

impl PlacementRequest {
    pub fn of(incoming: &IncomingRequest, time_left: Nanos) -> Self {
        let IncomingRequest {
            class,
            key,
            group,
            usual_load,
            ..
        } = *incoming;
        PlacementRequest {
            class: class.min(usize::from(u16::MAX)) as u16,
            key,
            group,
            usual_load,
            time_left,
        }
    }

    /// As the module takes it, under a name of the caller's.
    pub fn incoming(&self, id: RequestId) -> IncomingRequest {
        let PlacementRequest {
            key,
            group,
            time_left,
            ..
        } = *self;
        // A load that is no figure is none.
        let usual_load = self
            .usual_load
            .filter(|l| l.is_finite() && (0.0..1e9).contains(l));
        IncomingRequest {
            id,
            class: self.class.into(),
            key,
            group,
            time_left,
            usual_load,
            mid_stream: false,
        }
    }
}

/// What has become of an attachment so far. `ran` names the host of the first hand-off that may have run
/// and how long ago that was sent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PriorAttempts {
    pub attempts: u32,
    pub ran: Option<(u64, Nanos)>,
    pub tried: Vec<u64>,
}

/// How a hand-off ended, as it is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireOutcome {
    Completed,
    Error,
    Rejected,
    TimedOut,
    ConnectFailed,
    ConnectionLost,
    Cancelled,
    NeverSent,
    HandedOver,
}

macro_rules! both_ways {
    ($a:ident <-> $b:ident : $($name:ident)+) => {
        impl From<$a> for $b {
            fn from(it: $a) -> $b {
                match it { $($a::$name => $b::$name),+ }
            }
        }
        impl From<$b> for $a {
            fn from(it: $b) -> $a {
                match it { $($b::$name => $a::$name),+ }
            }
        }
    };
}

impl From<AttemptOutcome> for WireOutcome {
    fn from(ending: AttemptOutcome) -> WireOutcome {
        match ending {
            AttemptOutcome::Completed => WireOutcome::Completed,
            AttemptOutcome::Error => WireOutcome::Error,
            AttemptOutcome::Rejected => WireOutcome::Rejected,
            AttemptOutcome::TimedOut => WireOutcome::TimedOut,
            AttemptOutcome::ConnectFailed => WireOutcome::ConnectFailed,
            AttemptOutcome::ConnectionLost => WireOutcome::ConnectionLost,
            AttemptOutcome::Cancelled => WireOutcome::Cancelled,
            // The same to a planner, of which an older one knows no more.
            AttemptOutcome::NeverSent | AttemptOutcome::NoRoute => WireOutcome::NeverSent,
            AttemptOutcome::HandedOver => WireOutcome::HandedOver,
        }
    }
}

impl From<WireOutcome> for AttemptOutcome {
    fn from(came: WireOutcome) -> AttemptOutcome {
        match came {
            WireOutcome::Completed => AttemptOutcome::Completed,
            WireOutcome::Error => AttemptOutcome::Error,
            WireOutcome::Rejected => AttemptOutcome::Rejected,
            WireOutcome::TimedOut => AttemptOutcome::TimedOut,
            WireOutcome::ConnectFailed => AttemptOutcome::ConnectFailed,
            WireOutcome::ConnectionLost => AttemptOutcome::ConnectionLost,
            WireOutcome::Cancelled => AttemptOutcome::Cancelled,
            WireOutcome::NeverSent => AttemptOutcome::NeverSent,
            WireOutcome::HandedOver => AttemptOutcome::HandedOver,
        }
    }
}

both_ways!(WireHostState <-> HostState: Ready Draining Gone);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireHostState {
    Ready,
    Draining,
    Gone,
}

/// A host as a forwarder needs to know it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostEntry {
    pub id: u64,
    pub name: String,
    pub address: Option<SocketAddr>,
    pub stands: WireHostState,
    /// The version of the roll that says so.
    pub as_of: u64,
}

/// From a forwarder to a planner. Attachments go by the forwarder's names; `step` counts what the
/// forwarder has told of one, and an answer bears the step that it answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ForwarderMessage {
    /// This planner decides from now on, and so many open connections will be told first.
    Follow {
        standing: u32,
    },
    /// All that stood has been told.
    StateSyncComplete,
    /// Another decides: all that was told is void.
    Unfollow,
    OpenConnection {
        id: u64,
        asked: PlacementRequest,
        host: u64,
    },
    RequestPlacement {
        id: u64,
        step: u32,
        asked: PlacementRequest,
        past: PriorAttempts,
    },
    ConnectionEstablished {
        id: u64,
        took: Nanos,
    },
    AttemptEnded {
        id: u64,
        step: u32,
        came: WireOutcome,
        over: bool,
    },
    LoadMeasured {
        id: u64,
        load: f64,
    },
    MessageLatency {
        host: u64,
        time: Nanos,
    },
    /// The client left.
    ClientLeft {
        id: u64,
    },
    /// The forwarder settled it without this planner, whatever was ordered meanwhile.
    RequestClosed {
        id: u64,
    },
}

/// From a planner to a forwarder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlannerMessage {
    StartAttempt {
        id: u64,
        step: u32,
        host: u64,
        /// How long the host may take.
        within: Nanos,
    },
    Reject {
        id: u64,
        step: u32,
        wait: Nanos,
    },
    Fail {
        id: u64,
        step: u32,
    },
    Migrate {
        id: u64,
    },
    Host(HostEntry),
    /// All hosts have been told, as of this version.
    HostsComplete {
        as_of: u64,
    },
    /// Where the next attachments would go, by weight, and how many may go there unasked.
    Plan {
        hosts: Vec<(u64, u16)>,
        allowance: u32,
    },
    /// The planner is about to stop.
    ShuttingDown,
}

/// Takes a peer's bytes as they come and gives whole bodies.
#[derive(Default)]
pub struct Reader {
    held: Vec<u8>,
}

impl Reader {
    /// Hands each body that is whole to `each`, in order.
    ///
    /// # Errors
    /// [`LinkError::FrameTooLong`] as soon as a length says so, before anything is kept for it, and whatever
    /// `each` says.
    pub fn feed(
        &mut self,
        mut bytes: &[u8],
        mut each: impl FnMut(&[u8]) -> Result<(), LinkError>,
    ) -> Result<(), LinkError> {
        while !bytes.is_empty() {
            // Without a copy where a frame came whole.
            if self.held.is_empty() {
                if let Some(whole) = Self::whole(bytes)? {
                    each(&bytes[PREFIX..whole])?;
                    bytes = &bytes[whole..];
                    continue;
                }
            }
            let wanted = match Self::length(&self.held)? {
                None => PREFIX,
                Some(length) => PREFIX + length,
            };
            let more = (wanted - self.held.len()).min(bytes.len());
            self.held.extend_from_slice(&bytes[..more]);
            bytes = &bytes[more..];
            if let Some(whole) = Self::whole(&self.held)? {
                let held = std::mem::take(&mut self.held);
                each(&held[PREFIX..whole])?;
                self.held = held;
                self.held.clear();
            }
        }
        Ok(())
    }

    fn length(bytes: &[u8]) -> Result<Option<usize>, LinkError> {
        let Some(prefix) = bytes.first_chunk::<PREFIX>() else {
            return Ok(None);
        };
        match u32::from_le_bytes(*prefix) as usize {
            0 => Err(LinkError::Malformed),
            length if length > LONGEST => Err(LinkError::FrameTooLong),
            length => Ok(Some(length)),
        }
    }

    fn whole(bytes: &[u8]) -> Result<Option<usize>, LinkError> {
        Ok(Self::length(bytes)?
            .map(|length| PREFIX + length)
            .filter(|&whole| whole <= bytes.len()))
    }

    /// How much of an unfinished frame is kept.
    pub fn held(&self) -> usize {
        self.held.len()
    }
}

/// What is still to be sent to a peer. Notes of one turn go in one frame, as far as one holds them.
#[derive(Default)]
pub struct Writer {
    out: Vec<u8>,
    sent: usize,
    /// Where the frame begins that is still open.
    open: Option<usize>,
    scratch: Vec<u8>,
    numbers: u64,
}

impl Writer {
    fn begin(&mut self) -> usize {
        let from = self.out.len();
        self.out.extend_from_slice(&[0; PREFIX]);
        from
    }

    fn end(&mut self, from: usize) {
        let length = (self.out.len() - from - PREFIX) as u32;
        self.out[from..from + PREFIX].copy_from_slice(&length.to_le_bytes());
    }

    /// Packs a value into `space`, and gives its bytes. Of these types none fails but for want of room, and
    /// none takes as much as there is: names and lists are bounded.
    fn pack<'a>(space: &'a mut Vec<u8>, value: &impl Serialize) -> &'a [u8] {
        space.resize(MOST_NOTE, 0);
        postcard::to_slice(value, space).map_or(&[], |bytes| bytes)
    }

    /// Puts a greeting behind what waits.
    pub fn greet(&mut self, greeting: &impl Serialize) {
        let from = self.begin();
        self.out.extend_from_slice(&MAGIC);
        self.out.extend_from_slice(&VERSION.to_le_bytes());
        self.out
            .extend_from_slice(Self::pack(&mut self.scratch, greeting));
        self.end(from);
    }

    fn open(&mut self, session: u64, beat: u64) {
        self.numbers += 1;
        let from = self.begin();
        let head = Head {
            session,
            number: self.numbers,
            beat,
        };
        self.out
            .extend_from_slice(Self::pack(&mut self.scratch, &head));
        self.open = Some(from);
    }

    /// Puts a note behind what waits, in the piece of this turn.
    pub fn put(&mut self, session: u64, beat: u64, note: &impl Serialize) {
        if self
            .open
            .is_some_and(|from| self.out.len() - from - PREFIX + MOST_NOTE > LONGEST)
        {
            self.seal();
        }
        if self.open.is_none() {
            self.open(session, beat);
        }
        self.out
            .extend_from_slice(Self::pack(&mut self.scratch, note));
    }

    /// Puts a piece without notes, unless this turn has one.
    pub fn mark(&mut self, session: u64, beat: u64) {
        if self.open.is_none() {
            self.open(session, beat);
        }
    }

    /// Ends the piece of this turn.
    pub fn seal(&mut self) {
        if let Some(from) = self.open.take() {
            self.end(from);
        }
    }

    /// What may be sent: whole frames alone.
    pub fn waiting(&self) -> &[u8] {
        &self.out[self.sent..self.open.unwrap_or(self.out.len())]
    }

    /// How much waits, sealed or not.
    pub fn unsent(&self) -> usize {
        self.out.len() - self.sent
    }

    pub fn sent(&mut self, count: usize) {
        self.sent += count.min(self.waiting().len());
        if self.sent == self.out.len() {
            self.out.clear();
            self.sent = 0;
            // Guards: the memory of one long backlog kept for ever.
            self.out.shrink_to(4 * LONGEST);
        } else if self.sent >= 4 * LONGEST && self.open.is_none() {
            self.out.drain(..self.sent);
            self.sent = 0;
        }
    }
}

/// Reads a greeting.
///
/// # Errors
/// Where it is none, is of another version or bears a name that is too long.
pub fn greeting<T: DeserializeOwned>(body: &[u8]) -> Result<T, LinkError> {
    let rest = body
        .strip_prefix(&MAGIC)
        .ok_or(LinkError::Unexpected("no greeting of the link"))?;
    let (version, rest) = rest.split_first_chunk::<2>().ok_or(LinkError::Malformed)?;
    match u16::from_le_bytes(*version) {
        VERSION => whole(rest),
        other => Err(LinkError::Version(other)),
    }
}

fn whole<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, LinkError> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        _ => Err(LinkError::Malformed),
    }
}

/// The notes of a piece, one after the other.
pub struct Notes<'a>(&'a [u8]);

impl Notes<'_> {
    /// The next note; none behind the last byte.
    ///
    /// # Errors
    /// [`LinkError::Malformed`] where what is left is no note.
    pub fn take<T: DeserializeOwned>(&mut self) -> Result<Option<T>, LinkError> {
        if self.0.is_empty() {
            return Ok(None);
        }
        let (note, rest) = postcard::take_from_bytes(self.0).map_err(|_| LinkError::Malformed)?;
        self.0 = rest;
        Ok(Some(note))
    }
}

/// Reads the head of a piece.
///
/// # Errors
/// [`LinkError::Malformed`] where there is none.
pub fn piece(body: &[u8]) -> Result<(Head, Notes<'_>), LinkError> {
    let (head, rest) = postcard::take_from_bytes(body).map_err(|_| LinkError::Malformed)?;
    Ok((head, Notes(rest)))
}

/// What both ends keep to count a peer's pieces by.
#[derive(Default)]
pub struct Tally(u64);

impl Tally {
    /// # Errors
    /// Where a piece is of another session, comes twice, or out of its turn.
    pub fn take(&mut self, head: &Head, session: u64) -> Result<(), LinkError> {
        if head.session != session {
            return Err(LinkError::Unexpected("a piece of another session"));
        }
        if head.number != self.0 + 1 {
            return Err(LinkError::Unexpected("a piece out of its turn"));
        }
        self.0 = head.number;
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn notes() -> Vec<ForwarderMessage> {
        let asked = PlacementRequest {
            class: 1,
            key: Some(7),
            group: None,
            usual_load: Some(0.5),
            time_left: 9,
        };
        let past = PriorAttempts {
            attempts: 2,
            ran: Some((3, 4)),
            tried: vec![3, 5],
        };
        vec![
            ForwarderMessage::Follow { standing: 2 },
            ForwarderMessage::OpenConnection {
                id: 1,
                asked,
                host: 8,
            },
            ForwarderMessage::RequestPlacement {
                id: u64::MAX,
                step: 3,
                asked,
                past,
            },
            ForwarderMessage::AttemptEnded {
                id: 1,
                step: 2,
                came: WireOutcome::ConnectionLost,
                over: false,
            },
            ForwarderMessage::StateSyncComplete,
        ]
    }

    fn read(bytes: &[u8], size: usize) -> Result<(Vec<Head>, Vec<ForwarderMessage>), LinkError> {
        let (mut reader, mut heads, mut all) = (Reader::default(), Vec::new(), Vec::new());
        for part in bytes.chunks(size) {
            reader.feed(part, |body| {
                let (head, mut notes) = piece(body)?;
                heads.push(head);
                while let Some(note) = notes.take()? {
                    all.push(note);
                }
                Ok(())
            })?;
            assert!(reader.held() <= LONGEST + PREFIX);
        }
        Ok((heads, all))
    }

    #[test]
    fn what_a_turn_gathered_goes_in_one_piece_and_is_read_however_it_is_split() {
        let mut writer = Writer::default();
        for turn in 0..3 {
            notes().iter().for_each(|note| writer.put(5, turn, note));
            writer.seal();
            writer.mark(5, turn);
            assert!(!writer.waiting().is_empty());
            writer.seal();
        }
        let bytes = writer.waiting().to_vec();
        for size in 1..bytes.len() {
            let (heads, all) = read(&bytes, size).unwrap();
            assert_eq!(
                heads.iter().map(|h| h.number).collect::<Vec<_>>(),
                [1, 2, 3, 4, 5, 6]
            );
            assert_eq!(all, [notes(), notes(), notes()].concat());
        }
        let count = bytes.len();
        writer.sent(count);
        assert_eq!(writer.unsent(), 0);
    }

    #[test]
    fn a_long_turn_is_split_into_frames_that_are_allowed() {
        let mut writer = Writer::default();
        for _ in 0..4000 {
            notes().iter().for_each(|note| writer.put(5, 1, note));
        }
        writer.seal();
        let (heads, all) = read(writer.waiting(), 1 << 20).unwrap();
        assert!(heads.len() > 4 && all.len() == 20_000);
    }

    #[test]
    fn a_frame_of_four_gigabytes_is_refused_before_anything_is_kept_for_it() {
        let mut reader = Reader::default();
        assert_eq!(
            reader.feed(&[0xff; 4], |_| Ok(())),
            Err(LinkError::FrameTooLong)
        );
        let mut reader = Reader::default();
        reader.feed(&[0xff; 3], |_| Ok(())).unwrap();
        assert_eq!(
            reader.feed(&[0xff; 1 << 16], |_| Ok(())),
            Err(LinkError::FrameTooLong)
        );
        assert!(reader.held() <= PREFIX);
        // A length within a body is not believed either.
        let mut space = Vec::new();
        let mut body = Writer::pack(
            &mut space,
            &Head {
                session: 1,
                number: 1,
                beat: 1,
            },
        )
        .to_vec();
        body.extend_from_slice(&[6, 0xff, 0xff, 0xff, 0xff, 0x0f]);
        assert_eq!(
            piece(&body).unwrap().1.take::<PlannerMessage>(),
            Err(LinkError::Malformed)
        );
    }

    #[test]
    fn an_older_version_and_a_piece_of_another_session_or_out_of_turn_are_told_apart() {
        let mut writer = Writer::default();
        writer.greet(&Welcome::Session(3));
        let mut body = writer.waiting()[PREFIX..].to_vec();
        assert_eq!(greeting::<Welcome>(&body), Ok(Welcome::Session(3)));
        body[4] = 0;
        assert_eq!(greeting::<Welcome>(&body), Err(LinkError::Version(0)));
        assert!(greeting::<Welcome>(b"GET / HTTP/1.1\r\n").is_err());
        let mut tally = Tally::default();
        let head = |session, number| Head {
            session,
            number,
            beat: 0,
        };
        assert!(tally.take(&head(3, 1), 3).is_ok() && tally.take(&head(3, 2), 3).is_ok());
        assert!(tally.take(&head(3, 2), 3).is_err() && tally.take(&head(3, 4), 3).is_err());
        assert!(tally.take(&head(4, 3), 3).is_err() && tally.take(&head(3, 3), 3).is_ok());
    }

    proptest::proptest! {
        #![proptest_config(proptest::test_runner::Config {
            rng_seed: proptest::test_runner::RngSeed::Fixed(7),
            failure_persistence: None,
            ..Default::default()
        })]
        #[test]
        fn garbage_never_holds_more_than_a_frame_and_never_panics(bytes: Vec<u8>, size in 1usize..64) {
            let mut reader = Reader::default();
            for part in bytes.chunks(size) {
                let fed = reader.feed(part, |body| {
                    let (_, mut notes) = piece(body)?;
                    while notes.take::<ForwarderMessage>()?.is_some() {}
                    Ok(())
                });
                proptest::prop_assert!(reader.held() <= LONGEST + PREFIX);
                if fed.is_err() {
                    break;
                }
            }
        }
    }
}
