//! One process in place of another. It owns the listener that the platform holds open for both, who of them takes
//! in new clients, and the channel over which the one that ends leaves the next what it knows and its
//! connections. It must never trust what it finds, nor wait long for it: without an elder a node starts as
//! ever, and without an heir it moves its clients as ever.

use crate::connections::{Connections, Passenger};
use crate::context::{self, Context, ELDER, HEIR, HEIR_LISTENER};
use crate::listing::list::Member;
use crate::operators::papers::Papers;
use reedferry::{AttachmentId, Event, Legacy, Nanos, Offering, MILLI};
use reedferry_quay::{channel, Clock, Errno, Mark, Readiness, Socket};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Both speak the same version, or the heir starts without.
const VERSION: u16 = 2;
const FILE: &str = "reedferry.next";
/// How long an heir waits for what its elder knows.
const ESTATE_WITHIN: Nanos = 1500 * MILLI;
/// The longest estate, and what of it goes with one message.
const MOST_ESTATE: usize = 4 << 20;
const PIECE: usize = 32 << 10;
/// Connections that are on their way to the heir at a time; how long it may take to say that it has one.
const WINDOW: usize = 32;
const TAKEN_WITHIN: Nanos = 1500 * MILLI;
/// Connections taken from an elder in one turn.
const A_TURN: usize = 64;

/// What an heir says.
#[derive(Debug, Serialize, Deserialize)]
enum FromHeir {
    Hello(u16),
    /// It goes on with the next connection of those on their way; or cannot.
    Has(bool),
}

/// What an elder says.
#[derive(Debug, Serialize, Deserialize)]
enum FromElder {
    /// Of its estate, in order; the last of it.
    Piece(Vec<u8>, bool),
    Passenger(Box<Passenger>),
}

/// What an elder knows.
#[derive(Serialize, Deserialize)]
pub struct Estate {
    /// Which service it followed, and how far; the hosts that it lists.
    pub discovery: SocketAddr,
    pub revision: Option<u64>,
    pub members: Vec<Member>,
    /// The names of the offerings, in the order in which the rest speaks of them.
    pub offerings: Vec<String>,
    /// Those of them that connections go by, and what they mean.
    pub held: Vec<(String, Offering)>,
    pub legacy: Legacy,
}

impl Estate {
    /// The same, as one speaks of it to whom these offerings are named in this order.
    pub fn in_terms_of(mut self, offerings: &[String]) -> Estate {
        let usual = |name: &String| {
            let place = self.offerings.iter().position(|o| o == name)?;
            self.legacy.usual.get(place).copied().flatten()
        };
        self.legacy.usual = offerings.iter().map(usual).collect();
        self.offerings = offerings.to_vec();
        self
    }
}

struct Heir {
    line: Socket,
    stamp: u32,
    /// Messages that the line has not taken yet.
    out: VecDeque<Vec<u8>>,
    /// Those on their way, the first first, and since when.
    going: VecDeque<(AttachmentId, Nanos)>,
}

#[derive(Default)]
pub struct Succession {
    listener: Option<Socket>,
    /// Other processes take in clients there too.
    shared: bool,
    /// Where the next process calls, and by which path.
    heirs: Option<Socket>,
    path: PathBuf,
    heir: Option<Heir>,
    elder: Option<(Socket, u32)>,
    /// An heir wants what this one knows.
    wanted: bool,
}

fn message(of: &impl Serialize) -> Vec<u8> {
    postcard::to_allocvec(of).unwrap_or_default()
}

impl Succession {
    /// The listener that the platform holds, where it names one, or else one of the node's own.
    pub fn open(context: &mut Context, papers: &Papers) -> Result<Succession, String> {
        let Ok(named) = std::env::var("GW_ACCEPT_FD") else {
            let listener = context.listen(&papers.listen, context::LISTENER)?;
            return Ok(Succession { listener: Some(listener), ..Succession::default() });
        };
        let number = named.parse().map_err(|_| format!("GW_ACCEPT_FD {named:?} is no descriptor"))?;
        Ok(Succession { listener: Some(context.inherit(number)?), shared: true, ..Succession::default() })
    }

    /// Where this process takes in clients, while it does.
    pub fn listener(&self) -> Option<&Socket> {
        self.listener.as_ref()
    }

    /// Asks the process before this one for what it knows, if there is one, and is there for the next.
    pub fn begin(&mut self, context: &mut Context, clock: &Clock) -> Option<Estate> {
        self.path = PathBuf::from(std::env::var_os("TMPDIR").filter(|_| self.shared)?).join(FILE);
        let estate = match context.budget.call_at(&self.path) {
            Ok(line) => self.ask(context, clock, line),
            Err(_) => None,
        };
        self.expect(context);
        estate
    }

    /// Is there for the next process, in place of whoever was.
    fn expect(&mut self, context: &Context) {
        match context.budget.listen_at(&self.path) {
            Ok(heirs) if context.poller.watch(&heirs, context::mark(HEIR_LISTENER)).is_ok() => {
                self.heirs = Some(heirs)
            }
            other => {
                let why = other.err().map_or("cannot poll".into(), |e| e.to_string());
                warn!(context.log, "no process can follow this one"; "why" => why);
            }
        }
    }

    fn ask(&mut self, context: &mut Context, clock: &Clock, line: Socket) -> Option<Estate> {
        line.send_with(&message(&FromHeir::Hello(VERSION)), &[]).ok()?;
        let until = clock.read() + ESTATE_WITHIN;
        let (mut space, mut bytes) = (vec![0; channel::LONGEST], Vec::new());
        let mut estate = None;
        while estate.is_none() {
            let left = until.saturating_sub(clock.read());
            if left == 0 || !line.readable_within(left) {
                warn!(context.log, "no word from the process before in time");
                break;
            }
            let length = match context.budget.receive_with(&line, &mut space) {
                Err(Errno::AGAIN) => continue,
                // It ends, or speaks another version.
                Ok((0, _)) | Err(_) => return None,
                Ok((length, _)) => length,
            };
            let Ok(FromElder::Piece(piece, last)) = postcard::from_bytes(&space[..length]) else {
                return None;
            };
            bytes.extend(piece);
            if bytes.len() > MOST_ESTATE {
                return None;
            }
            if last {
                estate = Some(postcard::from_bytes(&bytes).ok()?);
            }
        }
        // What is still to come is read from here on.
        let mark = Mark { part: ELDER, slot: 0, stamp: context.stamp() };
        context.poller.watch(&line, mark).ok()?;
        self.elder = Some((line, mark.stamp));
        info!(context.log, "in the place of another process"; "knows" => estate.is_some());
        estate
    }

    /// The process is asked to stop: whoever still comes to a listener that is shared is the next one's.
    pub fn part(&mut self, context: &Context) {
        if self.shared {
            if let Some(listener) = self.listener.take() {
                _ = context.poller.unwatch(&listener);
            }
        }
    }

    /// Whether another process goes on with what this one lets go of.
    pub fn has_heir(&self) -> bool {
        self.heir.is_some()
    }

    /// Whether nobody comes any more, nor anything to be passed on.
    pub fn over(&self) -> bool {
        self.shared && self.listener.is_none() && self.elder.is_none()
    }

    /// Whether an heir wants to know what this one knows.
    pub fn wanted(&mut self) -> bool {
        std::mem::take(&mut self.wanted)
    }

    pub fn leave(&mut self, context: &mut Context, connections: &mut Connections, estate: &Estate) {
        let bytes = message(estate);
        let Some(heir) = self.heir.as_mut() else { return };
        let pieces = bytes.chunks(PIECE);
        let last = pieces.len().saturating_sub(1);
        for (n, piece) in pieces.enumerate() {
            heir.out.push_back(message(&FromElder::Piece(piece.to_vec(), n == last)));
        }
        context.events.push(Event::Heir(true));
        info!(context.log, "another process comes"; "bytes" => bytes.len());
        self.write(context, connections);
    }

    fn write(&mut self, context: &mut Context, connections: &mut Connections) {
        while let Some(heir) = self.heir.as_mut() {
            let Some(next) = heir.out.front() else { return };
            match heir.line.send_with(next, &[]) {
                Ok(()) => _ = heir.out.pop_front(),
                Err(Errno::AGAIN) => return,
                Err(_) => self.alone_again(context, connections),
            }
        }
    }

    pub fn ready(&mut self, context: &mut Context, connections: &mut Connections, ready: Readiness) {
        match ready.mark.part {
            HEIR_LISTENER => self.called(context, connections),
            HEIR if self.heir.as_ref().is_some_and(|h| h.stamp == ready.mark.stamp) => {
                self.write(context, connections);
                self.hear(context, connections);
            }
            ELDER if self.elder.as_ref().is_some_and(|e| e.1 == ready.mark.stamp) => {
                self.take(context, connections)
            }
            _ => {}
        }
    }

    /// Another process calls: the last that does is the heir.
    fn called(&mut self, context: &mut Context, connections: &mut Connections) {
        while let Some(Ok(line)) = self.heirs.as_ref().map(|heirs| context.budget.called(heirs)) {
            self.alone_again(context, connections);
            let mark = Mark { part: HEIR, slot: 0, stamp: context.stamp() };
            if context.poller.watch(&line, mark).is_ok() {
                self.heir =
                    Some(Heir { line, stamp: mark.stamp, out: VecDeque::new(), going: VecDeque::new() });
            }
        }
    }

    fn hear(&mut self, context: &mut Context, connections: &mut Connections) {
        let mut space = [0; 64];
        while let Some(heir) = self.heir.as_mut() {
            let length = match context.budget.receive_with(&heir.line, &mut space) {
                Ok((length @ 1.., _)) => length,
                Err(Errno::AGAIN) => return,
                _ => return self.alone_again(context, connections),
            };
            match postcard::from_bytes(&space[..length]) {
                Ok(FromHeir::Hello(VERSION)) if !self.wanted => self.wanted = true,
                Ok(FromHeir::Has(goes_on)) => {
                    if let Some((id, _)) = heir.going.pop_front() {
                        match goes_on {
                            true => connections.passed(id),
                            false => connections.turned_down(context, id),
                        }
                    }
                }
                _ => return self.alone_again(context, connections),
            }
        }
    }

    /// The heir is gone, if there was one: this process goes on with what it had not taken.
    fn alone_again(&mut self, context: &mut Context, connections: &mut Connections) {
        let Some(heir) = self.heir.take() else { return };
        warn!(context.log, "the process that came is gone"; "kept" => heir.going.len());
        heir.going.into_iter().for_each(|(id, _)| connections.keep(context, id));
        self.wanted = false;
        context.events.push(Event::Heir(false));
        // Guards: a next try that calls where the one that died would have listened.
        if context.leaving.is_none() {
            self.expect(context);
        }
    }

    /// Passes on what can be, as much at a time as the heir takes.
    pub fn pass_on(&mut self, context: &mut Context, connections: &mut Connections) {
        let Some(heir) = self.heir.as_mut().filter(|heir| heir.out.is_empty()) else { return };
        // Guards: clients of a process that ends, left with one that stands still.
        if heir.going.front().is_some_and(|(_, since)| context.now >= since + TAKEN_WITHIN) {
            return self.alone_again(context, connections);
        }
        for slot in connections.passable() {
            if heir.going.len() >= WINDOW {
                return;
            }
            let (passenger, id) = connections.let_go(context, slot);
            let bytes = message(&FromElder::Passenger(Box::new(passenger)));
            match heir.line.send_with(&bytes, &connections.descriptors(slot)) {
                Ok(()) => heir.going.push_back((id, context.now)),
                // The line is full, and tells when it is not; or broken, and tells that.
                Err(_) => return connections.keep(context, id),
            }
        }
    }

    /// Goes on with what the elder has let go of.
    fn take(&mut self, context: &mut Context, connections: &mut Connections) {
        let mut space = vec![0; channel::LONGEST];
        let Some((line, stamp)) = &self.elder else { return };
        for _ in 0..A_TURN {
            let (length, sockets) = match context.budget.receive_with(line, &mut space) {
                Ok((length @ 1.., sockets)) => (length, sockets),
                Err(Errno::AGAIN) => return,
                _ => {
                    info!(context.log, "the process before is gone"; "connections" => connections.count());
                    return self.elder = None;
                }
            };
            let goes_on = match postcard::from_bytes(&space[..length]) {
                // What it knows comes too late.
                Ok(FromElder::Piece(..)) => continue,
                Ok(FromElder::Passenger(passenger)) => connections.adopt(context, *passenger, sockets),
                Err(_) => false,
            };
            if line.send_with(&message(&FromHeir::Has(goes_on)), &[]).is_err() {
                return self.elder = None;
            }
        }
        let mark = Mark { part: ELDER, slot: 0, stamp: *stamp };
        _ = context.poller.rewatch(line, mark);
    }
}
