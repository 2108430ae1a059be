//! One process in place of another. It owns the listener that the platform holds open for both, who of them takes
//! in new clients, and the channel over which the one that ends leaves the next what it knows and its
//! connections. It must never trust what it finds, nor wait long for it: without a predecessor a node starts as
//! ever, and without a successor it moves its clients as ever.

use crate::connections::{ConnectionHandover, Connections, RETRY_AFTER};
use crate::context::{self, Context, PREDECESSOR, SUCCESSOR, SUCCESSOR_LISTENER};
use crate::discovery::list::Member;
use crate::operators::node_config::NodeConfig;
use reedferry::{Event, InheritedState, Nanos, RequestClass, RequestId, MILLI};
use reedferry_runtime::errors::{classify_io, retry_for, IoFailure};
use reedferry_runtime::{channel, Clock, Errno, PollToken, Readiness, Socket};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Both speak the same version, or the successor starts without.
const VERSION: u16 = 3;
const FILE: &str = "reedferry.next";
/// How long a successor waits for what its predecessor knows.
const KNOWLEDGE_WITHIN: Nanos = 1500 * MILLI;
/// How long it tries to say that it is there.
const HELLO_WITHIN: Duration = Duration::from_millis(200);
/// The longest knowledge, and what of it goes with one message.
const MOST_KNOWLEDGE: usize = 4 << 20;
const PIECE: usize = 32 << 10;
/// Connections that are on their way to the successor at a time; how long it may take to say that it has one.
const WINDOW: usize = 32;
const TAKEN_WITHIN: Nanos = 1500 * MILLI;
/// How long before nobody is held any more nothing is passed on, and what is on its way is taken back.
const TIME_TO_MOVE: Nanos = 400 * MILLI;
/// The pause between two tries to be there for the next process.
const EXPECT_AGAIN: Nanos = 1000 * MILLI;
/// Connections taken from a predecessor in one turn.
const A_TURN: usize = 64;

/// What a successor says.
#[derive(Debug, Serialize, Deserialize)]
enum FromSuccessor {
    Hello(u16),
    /// It goes on with the next connection of those on their way; or cannot.
    Has(bool),
}

/// What a predecessor says.
#[derive(Debug, Serialize, Deserialize)]
enum FromPredecessor {
    /// Of its knowledge, in order; the last of it.
    Piece(Vec<u8>, bool),
    HandedOver(Box<ConnectionHandover>),
}

/// What a predecessor knows.
#[derive(Serialize, Deserialize)]
pub struct Knowledge {
    /// Which service it followed, and how far; the hosts that it lists.
    pub discovery: SocketAddr,
    /// How far its clock is ahead of the machine's steady one.
    pub clock_ahead: Nanos,
    pub revision: Option<u64>,
    pub members: Vec<Member>,
    /// The names of the offerings, in the order in which the rest speaks of them.
    pub classes: Vec<String>,
    /// Those of them that connections go by, and what they mean.
    pub held: Vec<(String, RequestClass)>,
    pub legacy: InheritedState,
}

impl Knowledge {
    /// The same, as one speaks of it to whom these offerings are named in this order.
    pub fn in_terms_of(mut self, classes: &[String]) -> Knowledge {
        let usual = |name: &String| {
            let place = self.classes.iter().position(|o| o == name)?;
            self.legacy.class_loads.get(place).copied().flatten()
        };
        self.legacy.class_loads = classes.iter().map(usual).collect();
        self.classes = classes.to_vec();
        self
    }
}

struct Successor {
    line: Socket,
    stamp: u32,
    /// Messages that the line has not taken yet.
    out: VecDeque<Vec<u8>>,
    /// Those on their way, the first first, and since when.
    going: VecDeque<(RequestId, Nanos)>,
    /// It took too long: nothing it says from now on can reach this process, what it has said is still read.
    given_up: bool,
}

#[derive(Default)]
pub struct Succession {
    listener: Option<Socket>,
    /// Other processes take in clients there too.
    shared: bool,
    /// Where the next process calls, and by which path.
    successor_listener: Option<Socket>,
    path: PathBuf,
    successor: Option<Successor>,
    predecessor: Option<(Socket, u32)>,
    /// What the predecessor has not been told yet of the connection that came last: which it is here, where it was adopted.
    owed: Option<Option<RequestId>>,
    /// A successor wants what this one knows.
    wanted: bool,
    /// When it tries to be there for the next process again, where it could not.
    expected_again: Nanos,
    /// A retry of what failed for a moment's trouble of this machine is timed.
    retries: bool,
}

fn message(of: &impl Serialize) -> Vec<u8> {
    postcard::to_allocvec(of).unwrap_or_default()
}

impl Succession {
    /// The listener that the platform holds, where it names one, or else one of the node's own.
    pub fn open(context: &mut Context, node_config: &NodeConfig) -> Result<Succession, String> {
        let Ok(named) = std::env::var("GW_ACCEPT_FD") else {
            let listener = context.listen(&node_config.listen, context::LISTENER)?;
            return Ok(Succession {
                listener: Some(listener),
                ..Succession::default()
            });
        };
        let number = named
            .parse()
            .map_err(|_| format!("GW_ACCEPT_FD {named:?} is no descriptor"))?;
        Ok(Succession {
            listener: Some(context.inherit(number)?),
            shared: true,
            ..Succession::default()
        })
    }

    /// Where this process takes in clients, while it does.
    pub fn listener(&self) -> Option<&Socket> {
        self.listener.as_ref()
    }

    /// Asks the process before this one for what it knows, if there is one, and is there for the next.
    pub fn begin(&mut self, context: &mut Context, clock: &Clock) -> Option<Knowledge> {
        self.path = PathBuf::from(std::env::var_os("TMPDIR").filter(|_| self.shared)?).join(FILE);
        let knowledge = match context.budget.connect_unix(&self.path) {
            Ok(line) => self.ask(context, clock, line),
            Err(_) => None,
        };
        if let Some(knowledge) = &knowledge {
            // Guards: times that pass between both, where the wall clock was stepped in between.
            clock.set_offset(knowledge.clock_ahead);
            (context.now, context.start) = (clock.read(), clock.read());
        }
        self.expect(context);
        knowledge
    }

    /// Is there for the next process after all, where that could not be before. Guards: clients moved where they could have
    /// been passed on, for a moment in which the folder took nothing.
    pub fn sweep(&mut self, context: &mut Context, connections: &mut Connections) {
        self.go_on(context, connections);
        if self.shared
            && self.successor_listener.is_none()
            && context.leaving.is_none()
            && context.now >= self.expected_again
        {
            self.expect(context);
        }
    }

    /// Goes on with whatever the poller has said of. Guards: words that could not be sent or read for a moment, of which it
    /// tells no more.
    fn go_on(&mut self, context: &mut Context, connections: &mut Connections) {
        self.called(context, connections);
        if self.predecessor.is_some() {
            self.take(context, connections);
        }
        if self.successor.is_some() {
            self.write(context, connections);
            self.hear(context, connections);
        }
    }

    /// Tries again what failed for a moment's trouble of this machine.
    pub fn retry(&mut self, context: &mut Context, connections: &mut Connections) {
        self.retries = false;
        self.go_on(context, connections);
    }

    /// Has what failed so tried again soon.
    fn retry_soon(&mut self, context: &mut Context, error: Errno, call: &'static str) {
        if classify_io(error) != IoFailure::LocalResources {
            return;
        }
        context.machine_trouble(call);
        if !std::mem::replace(&mut self.retries, true) {
            context.poller.set_timer(
                context.now + RETRY_AFTER,
                context::mark(context::CHANNEL_RETRY),
                0,
            );
        }
    }

    /// Is there for the next process, in place of whoever was.
    fn expect(&mut self, context: &Context) {
        match context.budget.listen_unix(&self.path) {
            Ok(successor_listener)
                if context
                    .poller
                    .register(&successor_listener, context::mark(SUCCESSOR_LISTENER))
                    .is_ok() =>
            {
                self.successor_listener = Some(successor_listener);
            }
            other => {
                self.expected_again = context.now + EXPECT_AGAIN;
                let why = other.err().map_or("cannot poll".into(), |e| e.to_string());
                warn!(context.log, "no process can follow this one"; "why" => why);
            }
        }
    }

    fn ask(&mut self, context: &mut Context, clock: &Clock, line: Socket) -> Option<Knowledge> {
        retry_for(HELLO_WITHIN, || {
            line.send_with_descriptors(&message(&FromSuccessor::Hello(VERSION)), &[])
        })
        .ok()?;
        let until = clock.read() + KNOWLEDGE_WITHIN;
        let (mut space, mut bytes) = (vec![0; channel::MAX_MESSAGE_BYTES], Vec::new());
        let mut knowledge = None;
        while knowledge.is_none() {
            let left = until.saturating_sub(clock.read());
            if left == 0 || !line.wait_readable(left) {
                warn!(context.log, "no word from the process before in time");
                break;
            }
            let length = match context.budget.receive_with_descriptors(&line, &mut space) {
                Err(e) if classify_io(e) != IoFailure::Disconnected => continue,
                // It ends, or speaks another version.
                Ok((0, _)) | Err(_) => return None,
                Ok((length, _)) => length,
            };
            let Ok(FromPredecessor::Piece(piece, last)) = postcard::from_bytes(&space[..length])
            else {
                return None;
            };
            bytes.extend(piece);
            if bytes.len() > MOST_KNOWLEDGE {
                return None;
            }
            if last {
                knowledge = Some(postcard::from_bytes(&bytes).ok()?);
            }
        }
        // What is still to come is read from here on.
        let mark = PollToken {
            component: PREDECESSOR,
            slot: 0,
            generation: context.stamp(),
        };
        if context.poller.register(&line, mark).is_err() {
            // The sweep looks at it.
            context.machine_trouble("epoll_ctl");
        }
        self.predecessor = Some((line, mark.generation));
        info!(context.log, "in the place of another process"; "knows" => knowledge.is_some());
        knowledge
    }

    /// The process is asked to stop: whoever still comes to a listener that is shared is the next one's.
    pub fn part(&mut self, context: &Context) {
        if self.shared {
            if let Some(listener) = self.listener.take() {
                _ = context.poller.deregister(&listener);
            }
        }
    }

    /// Whether another process goes on with what this one lets go of.
    pub fn has_successor(&self) -> bool {
        self.successor.is_some()
    }

    /// Whether nobody comes any more, nor anything to be passed on.
    pub fn over(&self) -> bool {
        self.shared && self.listener.is_none() && self.predecessor.is_none()
    }

    /// Whether a successor wants to know what this one knows.
    pub fn wanted(&mut self) -> bool {
        std::mem::take(&mut self.wanted)
    }

    pub fn leave(
        &mut self,
        context: &mut Context,
        connections: &mut Connections,
        knowledge: &Knowledge,
    ) {
        let bytes = message(knowledge);
        let Some(successor) = self.successor.as_mut() else {
            return;
        };
        let pieces = bytes.chunks(PIECE);
        let last = pieces.len().saturating_sub(1);
        for (n, piece) in pieces.enumerate() {
            successor
                .out
                .push_back(message(&FromPredecessor::Piece(piece.to_vec(), n == last)));
        }
        context.events.push(Event::SuccessorChanged(true));
        info!(context.log, "another process comes"; "bytes" => bytes.len());
        self.write(context, connections);
    }

    fn write(&mut self, context: &mut Context, connections: &mut Connections) {
        while let Some(successor) = self.successor.as_mut() {
            let Some(next) = successor.out.front() else {
                return;
            };
            match successor.line.send_with_descriptors(next, &[]) {
                Ok(()) => _ = successor.out.pop_front(),
                Err(e) if classify_io(e) != IoFailure::Disconnected => {
                    return self.retry_soon(context, e, "sendmsg");
                }
                Err(_) => return self.give_up(context, connections),
            }
        }
    }

    pub fn ready(
        &mut self,
        context: &mut Context,
        connections: &mut Connections,
        ready: Readiness,
    ) {
        match ready.token.component {
            SUCCESSOR_LISTENER => self.called(context, connections),
            SUCCESSOR
                if self
                    .successor
                    .as_ref()
                    .is_some_and(|h| h.stamp == ready.token.generation) =>
            {
                self.write(context, connections);
                self.hear(context, connections);
            }
            PREDECESSOR
                if self
                    .predecessor
                    .as_ref()
                    .is_some_and(|e| e.1 == ready.token.generation) =>
            {
                self.take(context, connections);
            }
            _ => {}
        }
    }

    /// Another process calls: the last that does is the successor.
    fn called(&mut self, context: &mut Context, connections: &mut Connections) {
        while let Some(Ok(line)) = self
            .successor_listener
            .as_ref()
            .map(|successor_listener| context.budget.accept_unix(successor_listener))
        {
            self.give_up(context, connections);
            if self.successor.is_some() {
                warn!(
                    context.log,
                    "a process is not followed, as another's words can't be read now"
                );
                continue;
            }
            let mark = PollToken {
                component: SUCCESSOR,
                slot: 0,
                generation: context.stamp(),
            };
            if context.poller.register(&line, mark).is_err() {
                // The sweep looks at it.
                context.machine_trouble("epoll_ctl");
            }
            self.successor = Some(Successor {
                line,
                stamp: mark.generation,
                out: VecDeque::new(),
                going: VecDeque::new(),
                given_up: false,
            });
        }
    }

    fn hear(&mut self, context: &mut Context, connections: &mut Connections) {
        let (mut space, mut broke) = ([0; 64], false);
        while let Some(successor) = self.successor.as_mut() {
            let length = match context
                .budget
                .receive_with_descriptors(&successor.line, &mut space)
            {
                Ok((length @ 1.., _)) => length,
                Err(e) if classify_io(e) != IoFailure::Disconnected => {
                    return self.retry_soon(context, e, "recvmsg");
                }
                // Guards: words that lie behind the error which tells that it is gone.
                Err(_) if !std::mem::replace(&mut broke, true) => continue,
                _ => return self.lose_successor(context, connections),
            };
            match postcard::from_bytes(&space[..length]) {
                Ok(FromSuccessor::Hello(VERSION)) if !self.wanted => self.wanted = true,
                Ok(FromSuccessor::Has(goes_on)) => {
                    if let Some((id, _)) = successor.going.pop_front() {
                        match goes_on {
                            true => connections.complete_handover(context, id),
                            false => connections.resume_after_rejection(context, id),
                        }
                    }
                }
                _ => return self.give_up(context, connections),
            }
        }
    }

    /// Waits for the successor no longer: what it has not said by now it can't say any more. Guards: connections that both go on
    /// with, as its word comes in the moment in which this process gives up, or lies unread.
    fn give_up(&mut self, context: &mut Context, connections: &mut Connections) {
        let Some(successor) = self
            .successor
            .as_mut()
            .filter(|successor| !successor.given_up)
        else {
            return;
        };
        successor.given_up = true;
        successor.out.clear();
        successor.line.shutdown_read();
        self.hear(context, connections);
    }

    /// The successor is gone, if there was one: this process goes on with what it had not taken.
    fn lose_successor(&mut self, context: &mut Context, connections: &mut Connections) {
        let Some(successor) = self.successor.take() else {
            return;
        };
        warn!(context.log, "the process that came is gone"; "kept" => successor.going.len());
        successor
            .going
            .into_iter()
            .for_each(|(id, _)| connections.resume_connection(context, id));
        self.wanted = false;
        context.events.push(Event::SuccessorChanged(false));
        // Guards: a next try that calls where the one that died would have listened.
        if context.leaving.is_none() {
            self.expect(context);
        }
    }

    /// Passes on what can be, as much at a time as the successor takes.
    pub fn pass_on(&mut self, context: &mut Context, connections: &mut Connections) {
        // Guards: clients of a process that ends, left with one that stands still.
        if self.overdue(context) {
            return self.give_up(context, connections);
        }
        let ready = |successor: &&mut Successor| successor.out.is_empty() && !successor.given_up;
        let Some(successor) = self.successor.as_mut().filter(ready) else {
            return;
        };
        for slot in connections.handover_candidates() {
            if successor.going.len() >= WINDOW {
                return;
            }
            let (handed_over, id) = connections.begin_handover(context, slot);
            let bytes = message(&FromPredecessor::HandedOver(Box::new(handed_over)));
            match successor
                .line
                .send_with_descriptors(&bytes, &connections.descriptors(slot))
            {
                Ok(()) => successor.going.push_back((id, context.now)),
                // The line is full, and tells when it is not; or broken, and tells that.
                Err(e) => {
                    connections.resume_connection(context, id);
                    return self.retry_soon(context, e, "sendmsg");
                }
            }
        }
    }

    /// Whether the successor takes too long to say that it has a connection, or those that it has not are to be moved now.
    fn overdue(&self, context: &Context) -> bool {
        let Some(successor) = &self.successor else {
            return false;
        };
        let first = successor.going.front();
        let late = first.is_some_and(|(_, since)| context.now >= since + TAKEN_WITHIN);
        late || context
            .stopped_by
            .is_some_and(|by| context.now + TIME_TO_MOVE >= by)
    }

    /// Goes on with what the predecessor has let go of.
    fn take(&mut self, context: &mut Context, connections: &mut Connections) {
        let mut space = vec![0; channel::MAX_MESSAGE_BYTES];
        for _ in 0..A_TURN {
            if !self.answer_predecessor(context, connections) {
                return;
            }
            let Some((line, _)) = &self.predecessor else {
                return;
            };
            let (length, sockets) = match context.budget.receive_with_descriptors(line, &mut space)
            {
                Ok((length @ 1.., sockets)) => (length, sockets),
                Err(e) if classify_io(e) != IoFailure::Disconnected => {
                    return self.retry_soon(context, e, "recvmsg");
                }
                _ => {
                    info!(context.log, "the process before is gone"; "connections" => connections.count());
                    return self.predecessor = None;
                }
            };
            let adopted = match postcard::from_bytes(&space[..length]) {
                // What it knows comes too late.
                Ok(FromPredecessor::Piece(..)) => continue,
                Ok(FromPredecessor::HandedOver(handed_over)) => {
                    connections.adopt(context, *handed_over, sockets)
                }
                Err(_) => None,
            };
            self.owed = Some(adopted);
        }
        if !self.answer_predecessor(context, connections) {
            return;
        }
        let Some((line, stamp)) = &self.predecessor else {
            return;
        };
        let mark = PollToken {
            component: PREDECESSOR,
            slot: 0,
            generation: *stamp,
        };
        _ = context.poller.update_registration(line, mark);
    }

    /// Tells the predecessor what has become of the connection that came last; false where that has to wait, or it is gone.
    fn answer_predecessor(&mut self, context: &mut Context, connections: &mut Connections) -> bool {
        let (Some((line, _)), Some(adopted)) = (&self.predecessor, self.owed) else {
            return true;
        };
        match line.send_with_descriptors(&message(&FromSuccessor::Has(adopted.is_some())), &[]) {
            Ok(()) => {
                self.owed = None;
                adopted
                    .into_iter()
                    .for_each(|id| connections.resume_connection(context, id));
                true
            }
            Err(e) if classify_io(e) != IoFailure::Disconnected => {
                self.retry_soon(context, e, "sendmsg");
                false
            }
            // Guards: a connection that two processes go on with: the predecessor keeps what it was not told of.
            Err(_) => {
                (self.predecessor, self.owed) = (None, None);
                adopted
                    .into_iter()
                    .for_each(|id| connections.abandon_adopted(context, id));
                false
            }
        }
    }
}

#[cfg(test)]
#[path = "succession_bytes_tests.rs"]
mod bytes_tests;
