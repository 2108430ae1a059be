//! The operators' calls: HTTP/1.1, one call to a connection. It owns the listener for them, its few
//! connections with descriptors and buffers of their own, and their time limits. It must never decide
//! anything, wait for a caller, or look into the module: a whole call is given to the loop, which has it
//! answered.

use crate::context::{mark, Context, OPS, OPS_LISTENER, START_WITHIN};
use reedferry::{Nanos, SECOND};
use reedferry_runtime::errors::{
    classify_accept, classify_io, retry_for, AcceptFailure, IoFailure,
};
use reedferry_runtime::{
    Buffer, BufferPool, DescriptorBudget, Errno, PollToken, Readiness, Socket,
};
use slab::Slab;
use slog::info;
use std::net::SocketAddr;

/// Callers at a time, and those taken in at once.
const CALLERS: usize = 16;
const ACCEPTS: usize = 64;
/// How long a call may take to come whole; how long its caller may take to read the answer and end.
const WITHIN: Nanos = 2 * SECOND;
const LINGER: Nanos = SECOND;
/// The longest body of a call, none of which means anything.
const MOST_BODY: u64 = 64 << 10;
const MOST_HEADERS: usize = 64;

/// What operators ask for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Call {
    Status,
    Figures,
    Fleet,
    Standby,
    Active,
}

/// Who called, until the answer.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    slot: usize,
    stamp: u32,
}

/// An answer: its status, and its text.
#[derive(Debug, PartialEq)]
pub struct Reply {
    pub status: u16,
    pub text: String,
}

impl Reply {
    pub fn new(status: u16, text: impl Into<String>) -> Self {
        Reply {
            status,
            text: text.into(),
        }
    }

    fn bytes(&self, head: &str) -> Vec<u8> {
        let why = match self.status {
            200 => "OK",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            409 => "Conflict",
            411 => "Length Required",
            413 => "Content Too Large",
            431 => "Request Header Fields Too Large",
            503 => "Service Unavailable",
            505 => "HTTP Version Not Supported",
            _ => "",
        };
        let Reply { status, text } = self;
        let length = text.len();
        let kind = if text.starts_with('{') {
            "application/json"
        } else {
            "text/plain; charset=utf-8"
        };
        format!(
            "HTTP/1.1 {status} {why}\r\nContent-Type: {kind}\r\nContent-Length: {length}\r\n\
             Cache-Control: no-store\r\nConnection: close\r\n{head}\r\n{text}"
        )
        .into_bytes()
    }
}

/// How far a call has been read.
#[derive(Debug, PartialEq)]
enum Heard {
    /// The head has not come whole.
    Part,
    /// It has, and so much of the body is still to come.
    Head(Call, u64),
    /// It will never be a call; with what the answer's head has to say beside.
    Wrong(Reply, &'static str),
}

fn wrong(status: u16, text: &str) -> Heard {
    Heard::Wrong(Reply::new(status, format!("{text}\n")), "")
}

/// Reads the head of a call from all that has come of it.
fn read(bytes: &[u8], full: bool) -> Heard {
    let mut space = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut request = httparse::Request::new(&mut space);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if full => return wrong(431, "a head that is too long"),
        Ok(httparse::Status::Partial) => return Heard::Part,
        Err(httparse::Error::TooManyHeaders) => return wrong(431, "too many headers"),
        Err(httparse::Error::Version) => return wrong(505, "HTTP/1.1 is spoken here"),
        Err(_) => return wrong(400, "not a call of HTTP/1.1"),
    };
    let mut body = None;
    for header in request.headers.iter() {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return wrong(411, "a body needs a Content-Length");
        }
        if header.name.eq_ignore_ascii_case("content-length") {
            let plain = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            if !plain || body.is_some_and(|other| other != value) {
                return wrong(400, "a wild Content-Length");
            }
            body = Some(value);
        }
    }
    let body = body.map_or(0, |digits| digits.parse().unwrap_or(u64::MAX));
    if body > MOST_BODY {
        return wrong(413, "a body that is too long");
    }
    let path = request.path.unwrap_or("").split('?').next().unwrap_or("");
    let (call, method, allow) = match path {
        "/status" => (Call::Status, "GET", "Allow: GET\r\n"),
        "/status/metrics" => (Call::Figures, "GET", "Allow: GET\r\n"),
        "/status/fleet" => (Call::Fleet, "GET", "Allow: GET\r\n"),
        "/standby" => (Call::Standby, "POST", "Allow: POST\r\n"),
        "/active" => (Call::Active, "POST", "Allow: POST\r\n"),
        _ => return wrong(404, "no such path"),
    };
    if request.method != Some(method) {
        return Heard::Wrong(Reply::new(405, format!("{path} takes {method}\n")), allow);
    }
    Heard::Head(call, body.saturating_sub((bytes.len() - length) as u64))
}

enum Stage {
    /// The head is still to come whole.
    Head(Buffer),
    /// So much of the body is still to come.
    Body(Call, u64),
    /// The call is whole, and the answer is still to be given.
    Asked,
    /// So much of the answer has been written.
    Answered(Vec<u8>, usize),
    /// All of it has; the caller's end is waited for.
    AttemptOutcome,
}

struct Line {
    socket: Socket,
    stamp: u32,
    since: Nanos,
    stage: Stage,
    /// The poller tells of it.
    watched: bool,
}

pub struct Ops {
    listener: Socket,
    budget: DescriptorBudget,
    pool: BufferPool,
    lines: Slab<Line>,
    /// Whole calls, in the order in which they came.
    calls: Vec<(Caller, Call)>,
}

impl Ops {
    /// Listens for callers, with descriptors that clients can't use up, and no more.
    pub fn open(context: &mut Context, address: &SocketAddr) -> Result<Ops, String> {
        let wrong = |e: Errno| format!("cannot listen for operators on {address}: {e}");
        let budget = context.budget.split_off(CALLERS + 1);
        let listener = retry_for(START_WITHIN, || budget.listen(address)).map_err(wrong)?;
        let watch = || context.poller.register(&listener, mark(OPS_LISTENER));
        retry_for(START_WITHIN, watch).map_err(wrong)?;
        let at = listener.local_address().unwrap_or(*address);
        info!(context.log, "operators"; "at" => %at);
        Ok(Ops {
            listener,
            budget,
            pool: BufferPool::new(CALLERS),
            lines: Slab::new(),
            calls: Vec::new(),
        })
    }

    /// Takes in the callers that wait at the listener.
    pub fn accept(&mut self, context: &mut Context) {
        for _ in 0..ACCEPTS {
            if self.lines.len() >= CALLERS {
                self.make_room();
            }
            let socket = match self.budget.accept(&self.listener) {
                Ok(socket) => socket,
                Err(e) => match classify_accept(e) {
                    AcceptFailure::NoneWaiting => return,
                    AcceptFailure::AbortedConnection => continue,
                    // The next sweep asks again.
                    AcceptFailure::LocalResources => return context.machine_trouble("accept"),
                },
            };
            let (Some(head), slot) = (self.pool.take(), self.lines.vacant_key()) else {
                continue;
            };
            let (stamp, stage) = (context.stamp(), Stage::Head(head));
            self.lines.insert(Line {
                socket,
                stamp,
                since: context.now,
                stage,
                watched: false,
            });
            self.watch(context, slot);
            // What has come with it is read at once. Guards: a caller put out by those behind it, unread.
            self.read(context, slot);
        }
        // More may wait.
        _ = context
            .poller
            .update_registration(&self.listener, mark(OPS_LISTENER));
    }

    /// Has one watched, now or at the next sweep.
    fn watch(&mut self, context: &mut Context, slot: usize) {
        let line = &mut self.lines[slot];
        let mark = PollToken {
            component: OPS,
            slot: slot as u32,
            generation: line.stamp,
        };
        line.watched = context.poller.register(&line.socket, mark).is_ok();
        if !line.watched {
            context.machine_trouble("epoll_ctl");
        }
    }

    /// Goes on with calls of which the poller may not tell: they are not watched, or a read or write failed for a moment's
    /// trouble of this machine.
    fn go_on(&mut self, context: &mut Context) {
        let slots: Vec<usize> = self.lines.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            if !self.lines[slot].watched {
                self.watch(context, slot);
            }
            self.write(context, slot);
            self.read(context, slot);
        }
    }

    /// Puts the one out that has its answer, or else the one that has taken longest over its call.
    fn make_room(&mut self) {
        let answered = |line: &Line| matches!(line.stage, Stage::AttemptOutcome);
        // Guards: of those that came in one turn the last put out, as it stands in the first place that was free.
        let first = self
            .lines
            .iter()
            .min_by_key(|(_, line)| (!answered(line), line.since, line.stamp));
        if let Some(slot) = first.map(|(slot, _)| slot) {
            self.lines.remove(slot);
        }
    }

    pub fn ready(&mut self, context: &mut Context, ready: Readiness) {
        let slot = ready.token.slot as usize;
        if self
            .lines
            .get(slot)
            .is_none_or(|line| line.stamp != ready.token.generation)
        {
            return;
        }
        if ready.writable {
            self.write(context, slot);
        }
        if ready.readable {
            self.read(context, slot);
        }
    }

    /// The next whole call.
    pub fn next(&mut self) -> Option<(Caller, Call)> {
        (!self.calls.is_empty()).then(|| self.calls.remove(0))
    }

    pub fn reply(&mut self, context: &mut Context, to: Caller, reply: &Reply) {
        let same = |line: &&mut Line| line.stamp == to.stamp && matches!(line.stage, Stage::Asked);
        if let Some(line) = self.lines.get_mut(to.slot).filter(same) {
            line.stage = Stage::Answered(reply.bytes(""), 0);
            line.since = context.now;
            self.write(context, to.slot);
        }
    }

    fn read(&mut self, context: &mut Context, slot: usize) {
        let mut waste = [0; 4096];
        loop {
            let Some(line) = self.lines.get_mut(slot) else {
                return;
            };
            let space = match &mut line.stage {
                Stage::Head(head) => head.free_space(),
                _ => &mut waste,
            };
            let count = match line.socket.receive(space) {
                // It may have ended its sending alone: then it still hears its answer.
                Ok(0) => match &line.stage {
                    Stage::Answered(..) | Stage::Asked => return,
                    _ => {
                        self.lines.remove(slot);
                        return;
                    }
                },
                Ok(count) => count,
                // The next sweep goes on where the poller does not.
                Err(e) if classify_io(e) != IoFailure::Disconnected => return,
                Err(_) => {
                    self.lines.remove(slot);
                    return;
                }
            };
            match &mut line.stage {
                Stage::Head(head) => {
                    head.commit(count);
                    let full = head.free_space().is_empty();
                    match read(head.unsent(), full) {
                        Heard::Part => {}
                        Heard::Head(call, left) => line.stage = Stage::Body(call, left),
                        Heard::Wrong(reply, head) => {
                            (line.stage, line.since) =
                                (Stage::Answered(reply.bytes(head), 0), context.now);
                            self.write(context, slot);
                            continue;
                        }
                    }
                }
                Stage::Body(_, left) => *left = left.saturating_sub(count as u64),
                // Guards: an answer lost in the reset that closing over unread input brings.
                _ => {}
            }
            if let Stage::Body(call, 0) = line.stage {
                self.calls.push((
                    Caller {
                        slot,
                        stamp: line.stamp,
                    },
                    call,
                ));
                line.stage = Stage::Asked;
            }
        }
    }

    fn write(&mut self, context: &mut Context, slot: usize) {
        let Some(line) = self.lines.get_mut(slot) else {
            return;
        };
        let Stage::Answered(answer, written) = &mut line.stage else {
            return;
        };
        while *written < answer.len() {
            match line.socket.send(&answer[*written..]) {
                Ok(count) => *written += count,
                Err(e) if classify_io(e) != IoFailure::Disconnected => return,
                Err(_) => {
                    self.lines.remove(slot);
                    return;
                }
            }
        }
        line.socket.shutdown_write();
        (line.stage, line.since) = (Stage::AttemptOutcome, context.now);
    }

    /// Ends what has taken too long.
    pub fn sweep(&mut self, context: &mut Context) {
        let now = context.now;
        self.go_on(context);
        let late: Vec<usize> = self
            .lines
            .iter()
            .filter(|(_, l)| now >= l.since + WITHIN)
            .map(|l| l.0)
            .collect();
        for slot in late {
            let line = &mut self.lines[slot];
            if matches!(line.stage, Stage::Head(_) | Stage::Body(..)) {
                let reply = Reply::new(408, "no whole call in time\n");
                (line.stage, line.since) = (Stage::Answered(reply.bytes(""), 0), now);
                self.write(context, slot);
            } else {
                self.lines.remove(slot);
            }
        }
        let gone =
            |line: &Line| matches!(line.stage, Stage::AttemptOutcome) && now >= line.since + LINGER;
        self.lines.retain(|_, line| !gone(line));
        self.accept(context);
    }
}
